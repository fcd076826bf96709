//! Final responses. Each request gets exactly one, as soon as its outcome is known.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use tamaracksail_model::id;
use tamaracksail_model::outcome::Outcome;
use tamaracksail_model::time::Instant;
use tamaracksail_wire::Usage;

use super::action::{Action, Cause, FinalResponse, Problem, Stage};
use super::machine::Entry;
use super::request::{Attempt, Phase, Request};
use crate::process::cost::{CostKey, Disposition};
use crate::request::claim::{self, SavedResponse, State};

/// The least time after which a caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

impl Entry {
    /// Ends a request without a complete response. The outcome is "not run" only if no attempt can
    /// have run, and "unknown" otherwise.
    pub(super) fn fail_request(
        &mut self,
        now: Instant,
        id: id::Request,
        stage: Stage,
        cause: Cause,
    ) {
        let retry_after = self.retry_after(now, id).max(MIN_RETRY_AFTER);
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let is_known_not_run = request.in_flight.is_empty() && !request.may_have_run;
        let outcome = if is_known_not_run {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        };
        let peer = request
            .problem
            .as_ref()
            .and_then(|problem| problem.peer.clone());
        let problem = Problem { stage, peer, cause };
        let response = FinalResponse {
            outcome,
            status: status(cause, outcome),
            headers: Vec::new(),
            body: Bytes::new(),
            versions: request.versions.clone(),
            usage: request.usage,
            attempts: request.attempts,
            problem: Some(problem),
            retry_after: is_retry_useful(cause, outcome, request.arrival.once)
                .then_some(retry_after),
            generation: self.generation(),
        };
        let final_state = (outcome == Outcome::Unknown).then_some(State::Unknown);
        self.finish(now, id, response, final_state);
    }

    /// Ends a request whose attempt succeeded.
    pub(super) fn finish_success(&mut self, now: Instant, attempt: Attempt, usage: Usage) {
        let id = attempt.request;
        self.record_cost(&attempt.cost_key, Disposition::Delivered, usage);
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let mut versions = attempt.versions;
        versions.extend(request.versions.iter().copied());
        let (status, headers) = attempt.head.unwrap_or((200, Vec::new()));
        let body = attempt.body.freeze();
        let saved = SavedResponse {
            status,
            headers: headers.clone(),
            body: (!request.arrival.streamed).then(|| body.to_vec()),
        };
        let has_not_started = request.arrival.streamed && request.relayed == 0;
        if has_not_started {
            let headers = headers.clone();
            self.actions.push(Action::StartResponse {
                request: id,
                status,
                headers,
            });
        }
        let response = FinalResponse {
            outcome: Outcome::Done,
            status,
            headers,
            body,
            versions,
            usage,
            attempts: request.attempts,
            problem: None,
            retry_after: None,
            generation: self.generation(),
        };
        self.finish(now, id, response, Some(State::Done(saved)));
    }

    /// Ends a repeated request with the response of the first run.
    pub(super) fn finish_with_saved(
        &mut self,
        now: Instant,
        id: id::Request,
        saved: SavedResponse,
    ) {
        if self
            .requests
            .get(&id)
            .is_some_and(|request| request.arrival.streamed)
        {
            let (status, headers) = (saved.status, saved.headers.clone());
            self.actions.push(Action::StartResponse {
                request: id,
                status,
                headers,
            });
            let bytes = Bytes::from(saved.body.clone().unwrap_or_default());
            self.actions.push(Action::Relay {
                request: id,
                version: None,
                bytes,
            });
        }
        let response = FinalResponse {
            outcome: Outcome::Done,
            status: saved.status,
            headers: saved.headers,
            body: Bytes::from(saved.body.unwrap_or_default()),
            versions: BTreeSet::new(),
            usage: Usage::default(),
            attempts: 0,
            problem: None,
            retry_after: None,
            generation: self.generation(),
        };
        self.finish(now, id, response, None);
    }

    /// Ends a repeated request whose first run has not ended. The repeated request itself did not
    /// run.
    pub(super) fn finish_still_running(&mut self, now: Instant, id: id::Request, until: Instant) {
        let problem = Problem {
            stage: Stage::Claim,
            peer: None,
            cause: Cause::Running,
        };
        let response = FinalResponse {
            outcome: Outcome::Unknown,
            status: status(Cause::Running, Outcome::Unknown),
            headers: Vec::new(),
            body: Bytes::new(),
            versions: BTreeSet::new(),
            usage: Usage::default(),
            attempts: 0,
            problem: Some(problem),
            retry_after: Some(
                until
                    .since(now)
                    .clamp(MIN_RETRY_AFTER, Duration::from_secs(1)),
            ),
            generation: self.generation(),
        };
        self.finish(now, id, response, None);
    }

    /// Sends the final response, revokes the remaining attempts and settles the claim.
    fn finish(
        &mut self,
        now: Instant,
        id: id::Request,
        response: FinalResponse,
        final_state: Option<State>,
    ) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        match response.outcome {
            Outcome::Done => self.counters.done += 1,
            Outcome::NotRun => self.counters.not_run += 1,
            Outcome::Unknown => self.counters.unknown += 1,
        }
        for attempt in &request.in_flight {
            self.revoke(*attempt);
        }
        self.actions.push(Action::Respond {
            request: id,
            response: Box::new(response),
        });
        self.settle_claim(now, &request, final_state);
    }

    /// Settles the claim of a request that ended, or cancels it if it was not decided yet.
    fn settle_claim(&mut self, now: Instant, request: &Request, final_state: Option<State>) {
        let (Some(nonce), Some(key)) = (request.nonce, &request.arrival.key) else {
            return;
        };
        let name = claim::claim_name(&request.arrival.caller, key);
        if request.phase == Phase::Claiming {
            return self.claims.abandon(&name, nonce);
        }
        let effects = self
            .claims
            .settle(now, &mut self.call_ids, &name, (nonce, final_state));
        self.apply_claim_effects(now, effects);
    }

    /// Counts the cost of an attempt.
    pub(super) fn record_cost(
        &mut self,
        cost_key: &CostKey,
        disposition: Disposition,
        usage: Usage,
    ) {
        let cost_key = CostKey {
            disposition,
            ..cost_key.clone()
        };
        self.costs.record(cost_key, usage);
    }
}

/// Returns the HTTP status of a request without a complete response.
fn status(cause: Cause, outcome: Outcome) -> u16 {
    match cause {
        Cause::UnknownTarget => 404,
        Cause::Suspect => 422,
        Cause::Running | Cause::MayHaveRun => 409,
        Cause::Overload if outcome == Outcome::NotRun => 429,
        Cause::Deadline => 504,
        _ if outcome == Outcome::Unknown => 502,
        _ => 503,
    }
}

/// Returns whether the request may succeed if the caller sends it again.
fn is_retry_useful(cause: Cause, outcome: Outcome, once: bool) -> bool {
    let is_final = matches!(
        cause,
        Cause::UnknownTarget | Cause::Suspect | Cause::MayHaveRun
    );
    !is_final && (outcome == Outcome::NotRun || !once)
}
