//! Signals: SIGTERM and SIGINT stop the process, SIGHUP is ignored.

use tokio::signal::unix::{SignalKind, signal};

/// Ignores SIGHUP, which would otherwise end the process. For processes whose settings are flags and
/// variables, so that there is nothing to reload.
///
/// # Errors
/// If the signal handler can't be installed.
pub fn ignore_hangups() -> std::io::Result<()> {
    let mut hangups = signal(SignalKind::hangup())?;
    actix_rt::spawn(async move {
        while hangups.recv().await.is_some() {
            log::info!("SIGHUP ignored: settings are flags and variables, nothing to reload");
        }
    });
    Ok(())
}

/// Waits until the process receives SIGTERM or SIGINT.
///
/// # Errors
/// If the signal handlers can't be installed.
pub async fn requested() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
