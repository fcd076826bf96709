//! The servers that have one stream, and what they do next.

use std::future::{Future, pending};
use std::pin::Pin;

use futures_util::future::select_all;
use tamaracksail_adapter::event::Event;
use tamaracksail_http::Error;
use tamaracksail_model::time::Instant;
use tamaracksail_policy::fleet::ServerKey;

use super::server_stream::ServerStream;
use crate::gateway::now;

/// The search for another server, for a stream whose servers are silent.
pub type Search<'a> = Pin<Box<dyn Future<Output = Option<Box<ServerStream>>> + 'a>>;

/// The servers that have a stream.
pub struct Servers<'a> {
    /// The one that sent the last event.
    pub current: ServerStream,
    /// Those that were found while it was silent, the oldest first. None has sent an event yet.
    pub successors: Vec<ServerStream>,
    /// The search for a further one.
    pub search: Option<Search<'a>>,
}

/// What happens next in a stream.
pub enum Occurrence {
    /// The current server sent an event, ended the stream or broke off.
    Current(Result<Option<Event>, Error>),
    /// The successor at this position did.
    Successor(usize, Result<Option<Event>, Error>),
    /// The search has ended.
    Found(Option<Box<ServerStream>>),
    /// A search is due.
    Due,
}

impl Servers<'_> {
    /// Returns the servers of a stream that one server has.
    pub fn of(current: ServerStream) -> Self {
        Self {
            current,
            successors: Vec::new(),
            search: None,
        }
    }

    /// Waits for what happens next in a stream of which `last` is the last event relayed.
    pub async fn next(&mut self, last: Option<u64>, next_search: Option<Instant>) -> Occurrence {
        tokio::select! {
            biased;
            event = self.current.next_event(last) => Occurrence::Current(event),
            (position, event) = next_event(&mut self.successors, last) => {
                Occurrence::Successor(position, event)
            }
            found = next_found(&mut self.search) => Occurrence::Found(found),
            () = wait_until(next_search) => Occurrence::Due,
        }
    }

    /// Returns the one that was found last.
    pub fn newest(&self) -> ServerKey {
        self.successors.last().unwrap_or(&self.current).key
    }
}

/// Waits until one of `streams` has an event, and returns its position too.
async fn next_event(
    streams: &mut [ServerStream],
    last: Option<u64>,
) -> (usize, Result<Option<Event>, Error>) {
    if streams.is_empty() {
        return pending().await;
    }
    let events = streams
        .iter_mut()
        .map(|stream| Box::pin(stream.next_event(last)));
    let (event, position, _) = select_all(events).await;
    (position, event)
}

async fn next_found(search: &mut Option<Search<'_>>) -> Option<Box<ServerStream>> {
    match search {
        Some(search) => search.await,
        None => pending().await,
    }
}

async fn wait_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep(at.since(now())).await,
        None => pending().await,
    }
}
