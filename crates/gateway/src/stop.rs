//! Graceful shutdown, and reloading of settings.

use std::rc::Rc;
use std::time::Duration;

use tamaracksail_adapter::settings::Settings;
use tamaracksail_policy::stop::Stop;
use tamaracksail_process::stop;
use tokio::signal::unix::{SignalKind, signal};

use crate::gateway::{Gateway, now};

/// How long before that exit the process gives up the lease even if the store does not answer, so
/// that the next holder can still fetch the text of unfinished items from it.
const HAND_OVER_MARGIN: Duration = Duration::from_secs(2);

/// The time between two reads of the settings. They change with deployments, which are at least
/// minutes apart.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// The time between two checks of whether requests are still active.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Serves until the process is asked to stop. Returns once it has drained: all responses are written to
/// their end and no peer needs its partial texts; at the latest shortly before it would be killed.
pub async fn serve_until_stopped(gateway: &Rc<Gateway>) {
    actix_rt::spawn(reload(Rc::clone(gateway)));
    if let Err(error) = stop::requested().await {
        log::error!(error:%; "stop signals cannot be handled");
    }
    let start = now();
    let stop = Stop::new(start, gateway.settings.borrow().termination_grace);
    gateway.stop.begin(stop);
    log::info!(open = gateway.work.open(); "stopping");
    let hand_over = {
        let gateway = Rc::clone(gateway);
        let limit = stop.end().since(start);
        let deadline = start.after(limit.saturating_sub(HAND_OVER_MARGIN));
        async move { gateway.coordinator.hand_over(&gateway, deadline).await }
    };
    actix_rt::spawn(hand_over);
    while !stop.is_over(now(), gateway.work.open(), gateway.coordinator.is_needed()) {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    let (open, after_ms) = (gateway.work.open(), now().since(start).as_millis());
    if open > 0 {
        log::warn!(open, after_ms; "responses cut off, the process would be killed");
    } else {
        log::info!(after_ms; "drained");
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
