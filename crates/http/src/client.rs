//! Connections that are kept between requests.

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

/// Idle connections kept to one peer. A share of what a backend server takes from all callers.
const MOST_IDLE: usize = 16;

/// Keeps connections by peer. Clones share them. For one thread.
#[derive(Clone, Debug, Default)]
pub struct Client {
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<Connection>>>>,
}

impl Client {
    /// Sends on a kept connection, or on a new one that must stand within `connect`.
    ///
    /// A kept connection that turns out to have ended before the request was sent is replaced.
    ///
    /// # Errors
    /// As [`Connection::send`].
    pub async fn send(
        &self,
        peer: SocketAddr,
        request: Request<Full<Bytes>>,
        connect: Duration,
    ) -> Result<IncomingResponse, Error> {
        let kept = self.take(peer);
        if let Some(mut connection) = kept {
            match connection.send(request.clone()).await {
                Ok(response) => {
                    let (head, body) = response.into_parts();
                    return Ok(IncomingResponse::new(head, body, connection));
                }
                Err(error) if error.is_unsent() => {}
                Err(error) => return Err(error),
            }
        }
        let mut connection = Connection::open(peer, connect).await?;
        let (head, body) = connection.send(request).await?.into_parts();
        Ok(IncomingResponse::new(head, body, connection))
    }

    /// Closes the idle connections to a peer.
    pub fn close_idle(&self, peer: SocketAddr) {
        self.idle.borrow_mut().remove(&peer);
    }

    fn take(&self, peer: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let of_peer = idle.get_mut(&peer)?;
        while let Some(connection) = of_peer.pop() {
            if !connection.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read, if nothing came after the answer.
    pub(crate) fn store_idle(&self, mut connection: Connection) {
        let idle = Rc::clone(&self.idle);
        tokio::task::spawn_local(async move {
            if !connection.is_reusable().await {
                return;
            }
            let mut idle = idle.borrow_mut();
            let of_peer = idle.entry(connection.peer()).or_default();
            of_peer.retain(|kept| !kept.is_closed());
            if of_peer.len() < MOST_IDLE {
                of_peer.push(connection);
            }
        });
    }
}
