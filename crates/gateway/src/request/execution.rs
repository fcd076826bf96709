//! The execution of a request on a backend server, from when it is sent until its end is known.

use std::net::SocketAddr;
use std::rc::Rc;

use hyper::StatusCode;
use tamaracksail_adapter::backend::ResponseHead;
use tamaracksail_model::backend::Registration;
use tamaracksail_policy::request::survival::{Interruption, Listing, Liveness, Observation, Step};

use super::content::Content;
use super::liveness;
use super::trial::Trial;
use crate::gateway::{Gateway, now};

/// The number of servers of unsuspected contents that are observed at a time.
const MAX_OBSERVATIONS: usize = 128;

/// The execution of a request on a server. Dropping it means that the gateway no longer waits for
/// its end; whether the server survives is observed then.
#[derive(Debug)]
pub struct Execution {
    gateway: Rc<Gateway>,
    registration: Registration,
    content: Rc<Content>,
    id: String,
    /// Set if the request runs alone.
    trial: Option<Trial>,
    is_settled: bool,
}

impl Execution {
    /// Begins the execution of the request `id` on a server, which runs alone during `trial`.
    pub fn begin(
        gateway: &Rc<Gateway>,
        registration: Registration,
        content: &Rc<Content>,
        id: &str,
        trial: Option<Trial>,
    ) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            registration,
            content: Rc::clone(content),
            id: id.to_owned(),
            trial,
            is_settled: false,
        }
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.registration.address
    }

    /// Ends the execution of a request that the server did not execute.
    pub fn settle(mut self) {
        self.is_settled = true;
    }

    /// Ends the execution with a complete response. A failure clears no suspicion, and a response that
    /// is not attested by the server may come from a proxy before a server that has ended.
    pub fn record_response(self, response: &ResponseHead, status: StatusCode) {
        if !response.is_attested {
            self.observe(Interruption::Broken);
        } else if status.is_server_error() {
            self.settle();
        } else {
            self.complete();
        }
    }

    /// Ends the execution with a complete response that the server attests, and with it any suspicion
    /// of the content.
    pub fn complete(mut self) {
        self.is_settled = true;
        let fingerprint = || self.content.fingerprint();
        if self.gateway.suspects.record_response(fingerprint) {
            log::info!(
                request = self.id.as_str(), content:% = self.content.fingerprint(),
                server = self.registration.instance.as_str();
                "content no longer suspected, a server responded"
            );
        }
    }

    /// Ends the execution with a response that broke off. Returns when it is known that the server has
    /// ended, or that this takes longer than a connection attempt.
    pub async fn break_off(self) {
        if !liveness::is_refusing(self.registration.address).await {
            return self.observe(Interruption::Broken);
        }
        let mut ended = self;
        ended.is_settled = true;
        ended.record_state(Interruption::Broken, Liveness::Refusing);
        ended.record_end();
    }

    /// Observes in the background whether the server survives. A request that runs alone keeps its
    /// trial meanwhile.
    pub fn observe(mut self, interruption: Interruption) {
        self.is_settled = true;
        let suspects = &self.gateway.suspects;
        let is_suspect = suspects.is_suspect(now(), || self.content.fingerprint());
        let Some(slot) = Slot::take(&self.gateway, is_suspect) else {
            log::warn!(
                request = self.id.as_str(), server = self.registration.instance.as_str();
                "server not observed, too many observations"
            );
            return;
        };
        let observation = Observation::begin(now(), interruption, is_suspect);
        actix_rt::spawn(async move {
            self.run_checks(observation).await;
            drop(slot);
        });
    }

    async fn run_checks(self, mut observation: Observation) {
        let mut step = Step::Check(observation.first_delay());
        let mut liveness = None;
        loop {
            step = match step {
                Step::Check(delay) => {
                    tokio::time::sleep(delay).await;
                    let found = liveness::check(&self.gateway, &self.registration).await;
                    liveness = Some(found);
                    observation.record_check(now(), found, self.listing())
                }
                Step::Look(delay) => {
                    tokio::time::sleep(delay).await;
                    observation.record_listing(now(), self.listing())
                }
                Step::Ended | Step::Survived | Step::Unknown => break,
            };
        }
        if let Some(liveness) = liveness {
            self.record_state(observation.interruption(), liveness);
        }
        if step == Step::Ended {
            self.record_end();
        }
    }

    /// Returns what service discovery says about the process that got the request.
    fn listing(&self) -> Listing {
        self.gateway.fleet.borrow().listing(&self.registration)
    }

    fn record_state(&self, interruption: Interruption, liveness: Liveness) {
        let state = liveness.as_str();
        let event = match interruption {
            Interruption::Broken => "response broke off",
            Interruption::Abandoned => "server checked after an abandoned attempt",
        };
        let metrics = &self.gateway.metrics;
        metrics.broken_responses.with_label_values(&[state]).inc();
        log::info!(
            request = self.id.as_str(), server = self.registration.instance.as_str(), state,
            content:% = self.content.fingerprint();
            "{event}"
        );
    }

    fn record_end(&self) {
        let fingerprint = self.content.fingerprint();
        let suspects = &self.gateway.suspects;
        let is_alone = self.trial.is_some();
        let ends = suspects.record_end(now(), fingerprint, &self.registration, is_alone);
        log::info!(
            request = self.id.as_str(), content:% = fingerprint, ends, is_alone,
            server = self.registration.instance.as_str();
            "content suspected of ending servers"
        );
    }
}

impl Drop for Execution {
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        log::info!(
            request = self.id.as_str(), server = self.registration.instance.as_str(),
            content:% = self.content.fingerprint();
            "attempt abandoned"
        );
        let abandoned = Self {
            gateway: Rc::clone(&self.gateway),
            registration: self.registration.clone(),
            content: Rc::clone(&self.content),
            id: std::mem::take(&mut self.id),
            trial: self.trial.take(),
            is_settled: true,
        };
        abandoned.observe(Interruption::Abandoned);
    }
}

/// One of the observations that may run at a time. Held until it is dropped.
struct Slot(Rc<Gateway>);

impl Slot {
    /// Returns a free slot. Suspect contents have slots of their own.
    fn take(gateway: &Rc<Gateway>, is_suspect: bool) -> Option<Self> {
        let observations = &gateway.suspects.observations;
        let limit = if is_suspect {
            MAX_OBSERVATIONS * 2
        } else {
            MAX_OBSERVATIONS
        };
        if observations.get() >= limit {
            return None;
        }
        observations.set(observations.get() + 1);
        Some(Self(Rc::clone(gateway)))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let observations = &self.0.suspects.observations;
        observations.set(observations.get() - 1);
    }
}
