//! Responses that break off after the server may have started the request.

use std::rc::Rc;

use tamaracksail_model::backend::Registration;
use tamaracksail_policy::fleet::ServerKey;

use super::content::Content;
use super::liveness;
use crate::gateway::Gateway;

/// A response that broke off, and the request and server that it concerns.
pub struct Break {
    gateway: Rc<Gateway>,
    /// None if the server is no longer registered.
    registration: Option<Registration>,
    content: Content,
    id: String,
}

impl Break {
    /// Describes a break of the response to the request `id`.
    pub fn new(gateway: &Rc<Gateway>, key: ServerKey, content: &Content, id: &str) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            registration: gateway.fleet.borrow().registration(key).cloned(),
            content: content.clone(),
            id: id.to_owned(),
        }
    }

    /// Checks whether the server has ended, and logs and counts the result.
    pub async fn record(self) {
        let Some(registration) = self.registration else {
            return;
        };
        let state = liveness::check(registration.address).await.as_str();
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
    }
}
