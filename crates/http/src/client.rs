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

/// The maximum number of idle connections to one peer. Other clients of a backend server need a part
/// of its connections too.
const MAX_IDLE_CONNECTIONS_PER_PEER: usize = 16;

/// Sends requests on pooled connections. Clones share the pool. All clones stay on one thread.
#[derive(Clone, Debug, Default)]
pub struct Client {
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<Connection>>>>,
}

impl Client {
    /// Sends a request on an idle connection, or on a new one, for which the time limit is
    /// `connect_timeout`.
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
        let idle = self.take_idle(peer);
        if let Some(connection) = idle {
            match connection.request(request.clone()).await {
                Err(error) if error.is_unsent() => {}
                outcome => return outcome,
            }
        }
        let connection = Connection::open(peer, connect_timeout).await?;
        connection.request(request).await
    }

    /// Closes the idle connections to a peer.
    pub fn close_idle(&self, peer: SocketAddr) {
        self.idle.borrow_mut().remove(&peer);
    }

    fn take_idle(&self, peer: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&peer)?;
        while let Some(connection) = connections.pop() {
            if !connection.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Adds a connection to the pool once its response has ended, unless the peer closes it.
    pub(crate) fn store_idle(&self, mut connection: Connection) {
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
