//! The request to stop: SIGTERM or SIGINT.

use tokio::signal::unix::{SignalKind, signal};

/// Goes on when SIGHUP comes, which would end the process. For processes whose settings are flags
/// and variables: there is nothing to read again.
///
/// # Errors
/// If the signal cannot be watched.
pub fn ignore_hangups() -> std::io::Result<()> {
    let mut hangups = signal(SignalKind::hangup())?;
    actix_rt::spawn(async move {
        while hangups.recv().await.is_some() {
            log::info!("SIGHUP: settings are flags and variables, nothing is read again");
        }
    });
    Ok(())
}

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
