//! The request to stop: SIGTERM or SIGINT.

use tokio::signal::unix::{SignalKind, signal};

/// Waits until the process is asked to stop.
///
/// # Errors
/// If the signals cannot be watched.
pub async fn requested() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
