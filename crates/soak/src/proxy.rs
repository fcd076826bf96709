//! A loopback proxy whose link can be slowed down, silenced in one or both directions, and reset, and which can
//! refuse requests or repeat responses.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

use crate::plan::Link;

/// The size of the buffer for each direction of a connection.
const BUFFER_BYTES: usize = 16 << 10;

/// The response to a request that is refused.
const REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// How a response begins.
const RESPONSE_START: &[u8] = b"HTTP/1.";

/// The state of a proxy, which applies to all its connections.
#[derive(Clone, Copy, Debug)]
struct State {
    link: Link,
    /// The number of resets so far. A connection ends when it changes.
    resets: u64,
    /// Whether new connections are accepted; else they are refused.
    is_listening: bool,
}

/// A direction in which bytes are forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Requests,
    Responses,
}

/// A proxy for one server.
#[derive(Debug)]
pub struct Proxy {
    /// The address on which it listens.
    pub address: SocketAddr,
    state: watch::Sender<State>,
}

impl Proxy {
    /// Starts a proxy that listens on `address` and forwards connections to `server`.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub async fn start(address: SocketAddr, server: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let (state, watcher) = watch::channel(State {
            link: Link::Open,
            resets: 0,
            is_listening: true,
        });
        tokio::spawn(accept(listener, address, server, watcher));
        Ok(Self { address, state })
    }

    /// Sets the state of the link.
    pub fn set(&self, link: Link) {
        self.state.send_modify(|state| state.link = link);
    }

    /// Refuses new connections and resets all others, as a host does whose server has ended, or
    /// accepts connections again.
    pub fn set_listening(&self, is_listening: bool) {
        self.state.send_modify(|state| {
            state.is_listening = is_listening;
            state.resets += u64::from(!is_listening);
        });
    }

    /// Resets all connections.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }
}

/// Accepts connections while the state says so.
async fn accept(
    mut listener: TcpListener,
    address: SocketAddr,
    server: SocketAddr,
    mut state: watch::Receiver<State>,
) {
    let connections = state.clone();
    loop {
        tokio::select! {
            // A listener fails only if file descriptors run out, which fails the run anyway.
            Ok((client, _)) = listener.accept() => {
                tokio::spawn(forward(client, server, connections.clone()));
                continue;
            }
            stopped = state.wait_for(|state| !state.is_listening) => if stopped.is_err() {
                return;
            },
        }
        drop(listener);
        if state.wait_for(|state| state.is_listening).await.is_err() {
            return;
        }
        let Ok(again) = TcpListener::bind(address).await else {
            return;
        };
        listener = again;
    }
}

/// Forwards one connection until it ends or is reset.
async fn forward(client: TcpStream, server: SocketAddr, mut state: watch::Receiver<State>) {
    let resets = state.borrow().resets;
    if wait_until_open(&mut state, resets, Direction::Requests)
        .await
        .is_none()
    {
        reset(&client);
        return;
    }
    let Ok(upstream) = TcpStream::connect(server).await else {
        // The server does not listen, so the client's connection is reset.
        reset(&client);
        return;
    };
    drop((client.set_nodelay(true), upstream.set_nodelay(true)));
    let sockets = [duplicate(&client), duplicate(&upstream)];
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = upstream.into_split();
    let refused = Notify::new();
    let requests = copy_requests(from_client, to_server, state.clone(), resets, &refused);
    let responses = copy_responses(from_server, to_client, state.clone(), resets, &refused);
    let both_directions = async { tokio::join!(requests, responses) };
    let changed = async { while wait_changed(&mut state, resets).await.is_some() {} };
    tokio::select! {
        _ = both_directions => {}
        () = changed => {}
    }
    if state.borrow().resets != resets {
        for socket in sockets.iter().flatten() {
            // An error means that the socket is closed already.
            drop(socket.set_linger(Some(Duration::ZERO)));
        }
    }
}

/// Copies requests until the client closes its direction or one is refused. The connection ends when both
/// directions have ended.
async fn copy_requests(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<State>,
    resets: u64,
    refused: &Notify,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await.unwrap_or(0);
        let link = wait_until_open(&mut state, resets, Direction::Requests).await;
        let Some(link) = link else {
            return;
        };
        if link == Link::Refuses && count > 0 {
            refused.notify_one();
            return;
        }
        if !pass(&mut to, &buffer[..count]).await {
            return;
        }
    }
}

/// Forwards bytes, or the end if there are none. Returns whether more may follow.
async fn pass(to: &mut OwnedWriteHalf, bytes: &[u8]) -> bool {
    if !bytes.is_empty() && to.write_all(bytes).await.is_ok() {
        return true;
    }
    // An error means that the receiver has closed already.
    drop(to.shutdown().await);
    false
}

/// Copies responses until the server closes its direction or a request is refused.
async fn copy_responses(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<State>,
    resets: u64,
    refused: &Notify,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut last = Vec::new();
    loop {
        let count = tokio::select! {
            count = from.read(&mut buffer) => count.unwrap_or(0),
            () = refused.notified() => {
                drop(to.write_all(REFUSAL).await);
                drop(to.shutdown().await);
                return;
            }
        };
        let link = wait_until_open(&mut state, resets, Direction::Responses).await;
        let Some(link) = link else {
            return;
        };
        let bytes = &buffer[..count];
        let is_start = bytes.starts_with(RESPONSE_START);
        if is_start && link == Link::Repeats {
            // An error ends the direction with the bytes that follow.
            drop(to.write_all(&last).await);
        }
        if !pass(&mut to, bytes).await {
            return;
        }
        if is_start {
            last = bytes.to_vec();
        }
    }
}

/// Waits until the link forwards bytes in this direction, including the delay of a slow link, and returns its
/// state. Returns `None` after a reset.
async fn wait_until_open(
    state: &mut watch::Receiver<State>,
    resets: u64,
    direction: Direction,
) -> Option<Link> {
    loop {
        let now = *state.borrow();
        if now.resets != resets {
            return None;
        }
        let is_blocked = match now.link {
            Link::Open | Link::Refuses | Link::Repeats => return Some(now.link),
            Link::Slow(delay) => {
                tokio::time::sleep(delay).await;
                return Some(now.link);
            }
            Link::Silent => true,
            Link::NoRequests => direction == Direction::Requests,
            Link::NoResponses => direction == Direction::Responses,
        };
        if !is_blocked {
            return Some(now.link);
        }
        state.changed().await.ok()?;
    }
}

/// Waits for a change of the state. Returns `None` after a reset.
async fn wait_changed(state: &mut watch::Receiver<State>, resets: u64) -> Option<()> {
    state.changed().await.ok()?;
    (state.borrow().resets == resets).then_some(())
}

fn duplicate(stream: &TcpStream) -> std::io::Result<socket2::Socket> {
    SockRef::from(stream).try_clone()
}

/// Sets a socket up so that closing it resets the connection.
fn reset(stream: &TcpStream) {
    // An error means that the socket is closed already.
    drop(SockRef::from(stream).set_linger(Some(Duration::ZERO)));
}
