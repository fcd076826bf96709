//! Graceful shutdown, and reloading of settings.

use std::rc::Rc;
use std::time::Duration;

use tamaracksail_adapter::settings::Settings;
use tamaracksail_process::stop;
use tokio::signal::unix::{SignalKind, signal};

use crate::gateway::{Gateway, now};

/// How long after SIGTERM new connections may still arrive. The balancer checks readiness once a
/// second and stops routing to a process after two failures, and clients keep using open
/// connections.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(3500);

/// How long before SIGKILL the process exits by itself.
const KILL_MARGIN: Duration = Duration::from_millis(600);

/// How long before that exit the process gives up the lease even if the store does not answer, so
/// that the next holder can still fetch the text of unfinished items from it.
const HAND_OVER_MARGIN: Duration = Duration::from_secs(2);

/// The time between two reads of the settings. They change with deployments, which are at least
/// minutes apart.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// The time between two checks of whether requests are still active.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Serves until the process is asked to stop. Returns once it has drained: no request is active and
/// no peer needs its partial texts; at the latest shortly before it would be killed.
pub async fn serve_until_stopped(gateway: &Rc<Gateway>) {
    actix_rt::spawn(reload(Rc::clone(gateway)));
    if let Err(error) = stop::requested().await {
        log::error!(error:%; "stop signals cannot be handled");
    }
    let start = now();
    gateway.stopping_since.set(Some(start));
    log::info!(open = gateway.active_requests.get(); "stopping");
    let limit = gateway
        .settings
        .borrow()
        .termination_grace
        .saturating_sub(KILL_MARGIN);
    let hand_over = {
        let gateway = Rc::clone(gateway);
        let deadline = start.after(limit.saturating_sub(HAND_OVER_MARGIN));
        async move { gateway.coordinator.hand_over(&gateway, deadline).await }
    };
    actix_rt::spawn(hand_over);
    loop {
        let elapsed = now().since(start);
        let is_idle = gateway.active_requests.get() == 0 && !gateway.coordinator.is_needed();
        if elapsed >= limit || (elapsed >= MIN_DRAIN_TIME && is_idle) {
            return;
        }
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Reloads the settings on SIGHUP, and every [`RELOAD_INTERVAL`] because they may change without a
/// signal.
async fn reload(gateway: Rc<Gateway>) {
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => hangups,
        Err(error) => {
            log::error!(error:%; "SIGHUP cannot be handled");
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
            () = tokio::time::sleep(RELOAD_INTERVAL) => false,
        };
        match Settings::load() {
            Ok(settings) => {
                let is_changed = *gateway.settings.borrow() != settings;
                gateway.memory.set_process_limit(settings.memory_bytes);
                *gateway.settings.borrow_mut() = settings;
                if is_signalled || is_changed {
                    log::info!(is_changed, is_signalled; "settings reloaded");
                }
            }
            Err(error) => log::error!(error:%; "settings rejected"),
        }
    }
}
