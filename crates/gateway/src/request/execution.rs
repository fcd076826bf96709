//! The execution of a request on a backend server, from when it is sent until its end is known.

use std::rc::Rc;

use tamaracksail_model::backend::Registration;

use super::content::Content;
use super::liveness::{self, Liveness};
use super::trial::Trial;
use crate::gateway::{Gateway, now};

/// The execution of a request on a server. Dropping it means that the gateway no longer waits for
/// its end.
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

    /// Ends the execution of a request that the server did not execute, or responded to with a
    /// failure.
    pub fn settle(mut self) {
        self.is_settled = true;
    }

    /// Ends the execution with a complete response of the server.
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

    /// Ends the execution with a response that broke off. Checks whether the server has ended, and
    /// records it if so.
    pub async fn break_off(mut self) {
        self.is_settled = true;
        let liveness = liveness::check(self.registration.address).await;
        let state = liveness.as_str();
        self.gateway
            .metrics
            .broken_responses
            .with_label_values(&[state])
            .inc();
        log::info!(
            request = self.id.as_str(), server = self.registration.instance.as_str(), state,
            content:% = self.content.fingerprint();
            "response broke off"
        );
        if liveness == Liveness::Ended {
            self.record_end();
        }
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
    }
}
