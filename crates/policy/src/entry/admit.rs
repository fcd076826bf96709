//! Admission: which requests are refused on arrival, and the claims of requests with an
//! idempotency key.

use rand::RngCore;
use tamaracksail_model::id;
use tamaracksail_model::time::Instant;

use super::action::{Action, Cause, Problem, Stage};
use super::machine::Entry;
use super::request::{Phase, Request};
use crate::request::arrival::{Arrival, Target};
use crate::request::claim::{self, ClaimRequest, Decision};
use crate::request::suspects::Verdict;
use crate::store::Reply;

impl Entry {
    pub(super) fn admit(&mut self, now: Instant, arrival: Arrival) {
        self.counters.arrived += 1;
        let id = arrival.request;
        if self.requests.contains_key(&id) {
            self.counters.misfits += 1;
            return;
        }
        let refusal = self.refusal(now, &arrival);
        self.requests.insert(id, Request::new(now, arrival));
        match refusal {
            Some(cause) => self.fail_request(now, id, Stage::Admit, cause),
            None if self.requests[&id].arrival.key.is_some() => self.claim(now, id),
            None => self.route(now, id),
        }
    }

    /// Returns why a request must be refused on arrival, if it must be.
    fn refusal(&self, now: Instant, arrival: &Arrival) -> Option<Cause> {
        if self.stopping {
            return Some(Cause::Stopping);
        }
        let Some(config) = &self.config else {
            return Some(Cause::NotReady);
        };
        let is_known = match &arrival.target {
            Target::Model(model) => config.target_version(model).is_some(),
            Target::Service(service) => config.service(service).is_some(),
        };
        if !is_known {
            return Some(Cause::UnknownTarget);
        }
        if arrival.deadline <= now {
            return Some(Cause::Deadline);
        }
        let is_refused = self.suspects.verdict(now, arrival.fingerprint) == Verdict::Refused;
        is_refused.then_some(Cause::Suspect)
    }

    /// Requests the claim of a request's idempotency key.
    fn claim(&mut self, now: Instant, id: id::Request) {
        let nonce = id::Nonce(self.random.next_u64());
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(key) = &request.arrival.key else {
            return;
        };
        request.phase = Phase::Claiming;
        request.nonce = Some(nonce);
        let claim = ClaimRequest {
            request: id,
            name: claim::claim_name(&request.arrival.caller, key),
            nonce,
            until: request.arrival.deadline,
            once: request.arrival.once,
        };
        let effects = self.claims.acquire(now, &mut self.call_ids, claim);
        self.apply_claim_effects(now, effects);
    }

    pub(super) fn handle_store_reply(&mut self, now: Instant, reply: &Reply) {
        if let Some(effects) = self.claims.reply(now, &mut self.call_ids, reply) {
            self.apply_claim_effects(now, effects);
        }
    }

    pub(super) fn apply_claim_effects(&mut self, now: Instant, effects: claim::Effects) {
        self.actions
            .extend(effects.calls.into_iter().map(Action::Store));
        for (request, decision) in effects.decisions {
            self.handle_claim_decision(now, request, decision);
        }
    }

    fn handle_claim_decision(&mut self, now: Instant, id: id::Request, decision: Decision) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.phase != Phase::Claiming {
            return;
        }
        if decision != Decision::Acquired {
            // This request does not hold the claim, so it must not settle it.
            request.nonce = None;
        }
        match decision {
            Decision::Acquired => {
                request.phase = Phase::Waiting;
                self.route(now, id);
            }
            Decision::Completed(saved) => self.finish_with_saved(now, id, saved),
            Decision::Running(until) => self.finish_still_running(now, id, until),
            Decision::Unknown => {
                request.may_have_run = true;
                self.fail_request(now, id, Stage::Claim, Cause::MayHaveRun);
            }
            // A repeatable request may run without a claim.
            Decision::Unavailable if !request.arrival.once => {
                request.phase = Phase::Waiting;
                self.route(now, id);
            }
            Decision::Unavailable => self.fail_request(now, id, Stage::Claim, Cause::Platform),
        }
    }

    pub(super) fn handle_caller_gone(&mut self, now: Instant, id: id::Request) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.arrival.once && request.phase == Phase::Running {
            // The request keeps running, so that a repeat by the caller gets its response.
            let problem = Problem {
                stage: Stage::Relay,
                peer: None,
                cause: Cause::CallerGone,
            };
            request.problem = Some(problem);
            return;
        }
        self.fail_request(now, id, Stage::Relay, Cause::CallerGone);
    }
}
