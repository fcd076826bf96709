//! Options of sockets.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Silence after which the kernel probes a connection. Probes find a peer that fell silent
/// about two seconds later, within the three seconds after which platforms judge a host again.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// Time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Lost probes that end a connection.
const PROBES: u32 = 2;

/// How long sent bytes may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2500);

/// Sends small pieces at once and finds silent peers.
///
/// # Errors
/// If the system refuses an option.
pub fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(PROBE_AFTER)
            .with_interval(PROBE_INTERVAL)
            .with_retries(PROBES),
    )?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
