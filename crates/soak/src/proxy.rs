//! A loopback proxy whose link can be slowed, silenced one way or both, and reset.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::plan::Link;

/// Bytes that are read at once.
const PIECE: usize = 16 << 10;

/// What the connections of a proxy obey.
#[derive(Clone, Copy, Debug)]
struct State {
    link: Link,
    /// Raised by each reset.
    resets: u64,
}

/// The way of some bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Requests,
    Answers,
}

/// A proxy before one server.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    state: watch::Sender<State>,
}

impl Proxy {
    /// Starts a proxy on `address` before `server`.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn start(address: SocketAddr, server: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let (state, watcher) = watch::channel(State {
            link: Link::Open,
            resets: 0,
        });
        tokio::spawn(async move {
            // A listener fails for want of descriptors only, which ends the run anyway.
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(carry(client, server, watcher.clone()));
            }
        });
        Ok(Self { address, state })
    }

    /// Sets what the link does.
    pub fn set(&self, link: Link) {
        self.state.send_modify(|state| state.link = link);
    }

    /// Resets all connections.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }
}

/// Carries one connection until it ends or is reset.
async fn carry(client: TcpStream, server: SocketAddr, mut state: watch::Receiver<State>) {
    let resets = state.borrow().resets;
    if wait_open(&mut state, resets, Way::Requests).await.is_none() {
        reset(&client);
        return;
    }
    let Ok(upstream) = TcpStream::connect(server).await else {
        // Nothing listens: the client sees its connection reset.
        reset(&client);
        return;
    };
    drop((client.set_nodelay(true), upstream.set_nodelay(true)));
    let sockets = [duplicate(&client), duplicate(&upstream)];
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = upstream.into_split();
    let requests = pump(from_client, to_server, state.clone(), resets, Way::Requests);
    let answers = pump(from_server, to_client, state.clone(), resets, Way::Answers);
    let both = async { tokio::join!(requests, answers) };
    let changed = async { while wait_changed(&mut state, resets).await.is_some() {} };
    tokio::select! {
        _ = both => {}
        () = changed => {}
    }
    if state.borrow().resets != resets {
        for socket in sockets.iter().flatten() {
            // The socket may have ended meanwhile.
            drop(socket.set_linger(Some(Duration::ZERO)));
        }
    }
}

/// Carries bytes one way until they end. The connection is over when both ways are.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<State>,
    resets: u64,
    way: Way,
) {
    let mut piece = vec![0; PIECE];
    loop {
        let count = from.read(&mut piece).await.unwrap_or(0);
        if wait_open(&mut state, resets, way).await.is_none() {
            return;
        }
        if count == 0 || to.write_all(&piece[..count]).await.is_err() {
            // The other side hears of the end; if it has gone there is nobody to tell.
            drop(to.shutdown().await);
            return;
        }
    }
}

/// Waits until the link lets bytes pass, and as long as it delays them. None after a reset.
async fn wait_open(state: &mut watch::Receiver<State>, resets: u64, way: Way) -> Option<()> {
    loop {
        let now = *state.borrow();
        if now.resets != resets {
            return None;
        }
        let is_cut = match now.link {
            Link::Open => return Some(()),
            Link::Slow(pause) => {
                tokio::time::sleep(pause).await;
                return Some(());
            }
            Link::Silent => true,
            Link::NoRequests => way == Way::Requests,
            Link::NoResponses => way == Way::Answers,
        };
        if !is_cut {
            return Some(());
        }
        state.changed().await.ok()?;
    }
}

/// Waits for a change. None after a reset.
async fn wait_changed(state: &mut watch::Receiver<State>, resets: u64) -> Option<()> {
    state.changed().await.ok()?;
    (state.borrow().resets == resets).then_some(())
}

fn duplicate(stream: &TcpStream) -> std::io::Result<socket2::Socket> {
    SockRef::from(stream).try_clone()
}

/// Ends a connection with a reset.
fn reset(stream: &TcpStream) {
    // The socket may have ended meanwhile.
    drop(SockRef::from(stream).set_linger(Some(Duration::ZERO)));
}
