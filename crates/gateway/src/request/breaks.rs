//! Responses that break off after the server may have started the request.

use std::rc::Rc;

use tamaracksail_model::backend::Registration;
use tamaracksail_policy::fleet::ServerKey;

use super::content::Content;
use super::liveness::{self, Liveness};
use crate::gateway::{Gateway, now};

/// A response that broke off, and the request and server that it concerns.
pub struct Break {
    gateway: Rc<Gateway>,
    /// None if the server is no longer registered.
    registration: Option<Registration>,
    content: Content,
    id: String,
    /// Whether the request ran alone on the server.
    is_alone: bool,
}

impl Break {
    /// Describes a break of the response to the request `id`.
    pub fn new(
        gateway: &Rc<Gateway>,
        key: ServerKey,
        content: &Content,
        id: &str,
        is_alone: bool,
    ) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            registration: gateway.fleet.borrow().registration(key).cloned(),
            content: content.clone(),
            id: id.to_owned(),
            is_alone,
        }
    }

    /// Checks whether the server has ended, and records it if so.
    pub async fn record(self) {
        let Some(registration) = self.registration else {
            return;
        };
        let liveness = liveness::check(registration.address).await;
        let state = liveness.as_str();
        self.gateway
            .metrics
            .broken_responses
            .with_label_values(&[state])
            .inc();
        log::info!(
            request = self.id.as_str(), server = registration.instance.as_str(), state,
            content:% = self.content.fingerprint();
            "response broke off"
        );
        if liveness == Liveness::Ended {
            let fingerprint = self.content.fingerprint();
            let suspects = &self.gateway.suspects;
            let ends = suspects.record_end(now(), fingerprint, &registration, self.is_alone);
            log::info!(
                request = self.id.as_str(), content:% = fingerprint, ends, is_alone = self.is_alone;
                "content suspected of ending servers"
            );
        }
    }
}
