//! The end of the process, and changes of its settings.

use std::rc::Rc;
use std::time::Duration;

use tamaracksail_adapter::settings::Settings;
use tamaracksail_process::stop;
use tokio::signal::unix::{SignalKind, signal};

use crate::gateway::{Gateway, now};

/// How long after SIGTERM new connections may still come: the balancer asks once a second and
/// passes over a process after two refusals, and clients use open connections on.
const LINGER: Duration = Duration::from_millis(3500);

/// Before SIGKILL, so that the process ends by itself.
const BEFORE_KILL: Duration = Duration::from_millis(600);

/// Before that end the lease is given back even if the store does not answer, so that the next
/// holder has the text of unfinished items from this process.
const HAND_OVER: Duration = Duration::from_secs(2);

/// Between two readings of the settings. They change with deployments, minutes apart at the least.
const REREAD: Duration = Duration::from_secs(5);

/// Between two looks at what is still open.
const LOOK: Duration = Duration::from_millis(50);

/// Returns when the process was asked to stop and has answered what was open, or just before it
/// would be killed.
pub async fn serve_until_stopped(gateway: &Rc<Gateway>) {
    actix_rt::spawn(reload(Rc::clone(gateway)));
    if let Err(error) = stop::requested().await {
        log::error!(error:%; "signals cannot be watched");
    }
    let start = now();
    gateway.stopping_since.set(Some(start));
    log::info!(open = gateway.active_requests.get(); "stopping");
    let limit = gateway
        .settings
        .borrow()
        .termination_grace
        .saturating_sub(BEFORE_KILL);
    let hand_over = {
        let gateway = Rc::clone(gateway);
        let deadline = start.after(limit.saturating_sub(HAND_OVER));
        async move { gateway.coordinator.hand_over(&gateway, deadline).await }
    };
    actix_rt::spawn(hand_over);
    loop {
        let passed = now().since(start);
        let is_idle = gateway.active_requests.get() == 0 && !gateway.coordinator.is_needed();
        if passed >= limit || (passed >= LINGER && is_idle) {
            return;
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Reads the settings again on SIGHUP, and every [`REREAD`], since they may change unsignalled.
async fn reload(gateway: Rc<Gateway>) {
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => hangups,
        Err(error) => {
            log::error!(error:%; "SIGHUP cannot be watched");
            return;
        }
    };
    loop {
        let is_signalled = tokio::select! {
            hangup = hangups.recv() => {
                if hangup.is_none() {
                    return;
                }
                true
            }
            () = tokio::time::sleep(REREAD) => false,
        };
        match Settings::load() {
            Ok(settings) => {
                let is_changed = *gateway.settings.borrow() != settings;
                *gateway.settings.borrow_mut() = settings;
                if is_signalled || is_changed {
                    log::info!(is_changed, is_signalled; "settings read");
                }
            }
            Err(error) => log::error!(error:%; "settings refused"),
        }
    }
}
