//! Requests that run alone on a server, since servers have ended under their content.

use std::rc::Rc;
use std::time::Duration;

use tamaracksail_model::id::Fingerprint;
use tamaracksail_model::time::Instant;
use tamaracksail_policy::fleet::ServerKey;
use tamaracksail_policy::request::survival::Liveness;
use tamaracksail_policy::request::suspects::Verdict;

use super::content::Content;
use super::liveness;
use crate::gateway::{Gateway, now};
use crate::limits::{self, Candidates};

/// How long a request waits for a server that may run it alone. Servers back off for half a second
/// after the first failure.
const MAX_WAIT: Duration = Duration::from_millis(700);

/// The time between two checks of whether a server may run the request.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The time between two checks of a server that does not respond.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The use of a server for a request that runs alone. Until it is dropped, other requests of this
/// gateway prefer other servers, and no other request with its content runs here.
#[derive(Debug)]
pub struct Trial {
    gateway: Rc<Gateway>,
    /// The server.
    pub key: ServerKey,
    fingerprint: Fingerprint,
    has_started: bool,
}

impl Trial {
    /// Waits for one of `candidates` that has no request of this gateway in flight. Returns `None` if
    /// there is none in time, or if the content is refused meanwhile.
    pub async fn start(
        gateway: &Rc<Gateway>,
        candidates: Candidates<'_>,
        content: &Content,
        deadline: Instant,
    ) -> Option<Self> {
        let limit = now().after(MAX_WAIT).min(deadline);
        let mut trial: Option<Self> = None;
        loop {
            let fingerprint = || content.fingerprint();
            if gateway.suspects.verdict(now(), fingerprint) == Verdict::Refused {
                return None;
            }
            let is_registered =
                |trial: &Self| gateway.fleet.borrow().registration(trial.key).is_some();
            trial = trial
                .filter(is_registered)
                .or_else(|| Self::choose(gateway, candidates, content));
            if let Some(planned) = &mut trial {
                planned.start_if_possible();
                if planned.has_started && !planned.is_server_running().await {
                    trial = None;
                    tokio::time::sleep(CHECK_INTERVAL).await;
                } else if planned.has_started {
                    let key = planned.key;
                    let permit =
                        limits::acquire_for(gateway, candidates.service, key, limit.since(now()));
                    return permit.await.ok().and(trial);
                }
            }
            if now() >= limit {
                return None;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn choose(
        gateway: &Rc<Gateway>,
        candidates: Candidates<'_>,
        content: &Content,
    ) -> Option<Self> {
        let fingerprint = content.fingerprint();
        let key = {
            let (settings, fleet) = (gateway.settings.borrow(), gateway.fleet.borrow());
            let choose = |except: &[ServerKey]| {
                let query = candidates.query(&settings.domain, except);
                fleet.choose_alone(now(), query, fingerprint)
            };
            choose(candidates.avoided).or_else(|| choose(&[]))?
        };
        gateway.fleet.borrow_mut().plan_trial(key);
        Some(Self {
            gateway: Rc::clone(gateway),
            key,
            fingerprint,
            has_started: false,
        })
    }

    /// Whether the server responds. The end of one that was down before the request was sent tells
    /// nothing about the content.
    async fn is_server_running(&self) -> bool {
        let registration = {
            let fleet = self.gateway.fleet.borrow();
            fleet.registration(self.key).cloned()
        };
        let Some(registration) = registration else {
            return false;
        };
        let liveness = liveness::check(&self.gateway, &registration).await;
        matches!(liveness, Liveness::Confirmed | Liveness::Responding)
    }

    fn start_if_possible(&mut self) {
        let mut trials = self.gateway.suspects.trials.borrow_mut();
        let mut fleet = self.gateway.fleet.borrow_mut();
        if !trials.contains(&self.fingerprint) && fleet.start_trial(self.key) {
            trials.insert(self.fingerprint);
            self.has_started = true;
        }
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let mut fleet = self.gateway.fleet.borrow_mut();
        fleet.end_trial(self.key, self.has_started);
        if self.has_started {
            let mut trials = self.gateway.suspects.trials.borrow_mut();
            trials.remove(&self.fingerprint);
        }
    }
}
