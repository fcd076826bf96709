//! Socket options.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// The idle time after which the kernel sends keep-alive probes. They detect an unreachable peer
/// about two seconds later, which is within the three seconds after which platforms check a host
/// again.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// The time between two keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of unanswered keep-alive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// How long sent bytes may remain unacknowledged before the connection is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2500);

/// Sets the options with which small writes are sent without delay and unreachable peers are
/// detected.
///
/// # Errors
/// If an option cannot be set.
pub fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(KEEPALIVE_IDLE)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_PROBES),
    )?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
