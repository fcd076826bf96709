//! A client with a pool of idle connections.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

use crate::connection::Connection;
use crate::error::Error;
use crate::response::IncomingResponse;
use crate::tag::Tag;

/// The maximum number of idle connections to one peer. Other clients of a backend server need a part
/// of its connections too.
const MAX_IDLE_CONNECTIONS_PER_PEER: usize = 16;

/// The number of requests to a peer that use connections of their own after a response on a pooled
/// connection was to another request.
const SINGLE_USE_REQUESTS: u32 = 32;

/// Sends requests on pooled connections. Clones share the pool. All clones stay on one thread.
#[derive(Clone, Debug, Default)]
pub struct Client {
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<Connection>>>>,
    /// The peers whose next requests use connections of their own, and the number of these requests.
    distrusted: Rc<RefCell<BTreeMap<SocketAddr, u32>>>,
}

impl Client {
    /// Sends a request on an idle connection, or on a new one, for which the time limit is
    /// `connect_timeout`. A request with a [`Tag`] is not sent on a connection whose last request had
    /// the same.
    ///
    /// If an idle connection turns out to have been closed before the request was sent, the request
    /// is sent on a new one.
    ///
    /// # Errors
    /// As [`Connection::open`] and [`Connection::send`].
    pub async fn send(
        &self,
        peer: SocketAddr,
        request: Request<Full<Bytes>>,
        connect_timeout: Duration,
    ) -> Result<IncomingResponse, Error> {
        let is_single_use = self.use_distrust(peer);
        let idle = if is_single_use {
            None
        } else {
            self.take_idle(peer, request.extensions().get::<Tag>())
        };
        if let Some(connection) = idle {
            match connection.request(request.clone()).await {
                Err(error) if error.is_unsent() => {}
                outcome => return outcome,
            }
        }
        let mut connection = Connection::open(peer, connect_timeout).await?;
        connection.is_single_use = is_single_use;
        connection.request(request).await
    }

    /// Records that a response of a peer was to another request: a second copy of a response that
    /// arrived late. Closes the idle connections to the peer, and sends its next requests on
    /// connections of their own.
    pub fn distrust(&self, peer: SocketAddr) {
        self.close_idle(peer);
        let mut distrusted = self.distrusted.borrow_mut();
        distrusted.insert(peer, SINGLE_USE_REQUESTS);
    }

    /// Returns whether the next request to a peer uses a connection of its own, and counts it.
    fn use_distrust(&self, peer: SocketAddr) -> bool {
        let mut distrusted = self.distrusted.borrow_mut();
        let Some(left) = distrusted.get_mut(&peer) else {
            return false;
        };
        *left -= 1;
        if *left == 0 {
            distrusted.remove(&peer);
        }
        true
    }

    /// Closes the idle connections to a peer.
    pub fn close_idle(&self, peer: SocketAddr) {
        self.idle.borrow_mut().remove(&peer);
    }

    /// Takes the idle connection that was used last, but for those whose last request had `tag`.
    fn take_idle(&self, peer: SocketAddr, tag: Option<&Tag>) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&peer)?;
        connections.retain(|connection| !connection.is_closed());
        let is_usable =
            |connection: &Connection| tag.is_none() || connection.last_tag.as_ref() != tag;
        let position = connections.iter().rposition(is_usable)?;
        Some(connections.remove(position))
    }

    /// Adds a connection to the pool once its response has ended, unless the peer closes it.
    pub(crate) fn store_idle(&self, mut connection: Connection) {
        let is_distrusted = self.distrusted.borrow().contains_key(&connection.peer());
        if connection.is_single_use || is_distrusted {
            return;
        }
        let idle = Rc::clone(&self.idle);
        tokio::task::spawn_local(async move {
            if !connection.is_reusable().await {
                return;
            }
            let mut idle = idle.borrow_mut();
            let connections = idle.entry(connection.peer()).or_default();
            connections.retain(|pooled| !pooled.is_closed());
            if connections.len() < MAX_IDLE_CONNECTIONS_PER_PEER {
                connections.push(connection);
            }
        });
    }
}
