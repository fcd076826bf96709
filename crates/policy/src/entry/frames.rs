//! The progress and the end of attempts: frames from agents, refusals and failed connections.

use bytes::Bytes;
use tamaracksail_model::id;
use tamaracksail_model::status;
use tamaracksail_model::time::Instant;
use tamaracksail_wire::{Failure, Frame, Load, Reason, Revoked, Usage};

use super::action::{Action, Cause, Problem, Stage};
use super::machine::Entry;
use super::request::Attempt;
use crate::process::cost::Disposition;

impl Entry {
    pub(super) fn handle_frame(&mut self, now: Instant, frame: Frame) {
        let id = frame.attempt();
        let Some(attempt) = self.attempts.get_mut(&id) else {
            self.counters.misfits += 1;
            return;
        };
        attempt.last_frame_at = now;
        match frame {
            Frame::Head {
                status: code,
                headers,
                ..
            } => {
                // A status that is not final is no response, also if an agent passes it on.
                if !status::is_final(code) {
                    return self.fail_attempt(now, id, false, Cause::Server(Reason::Failed));
                }
                // An error that answers the continuation of a stream is no part of the stream.
                let request = self.requests.get(&attempt.request);
                let is_continuation = request.is_some_and(|request| request.relayed > 0);
                if is_continuation && !(200..300).contains(&code) {
                    return self.fail_attempt(now, id, false, Cause::Server(Reason::Failed));
                }
                if attempt.head.is_none() {
                    attempt.head = Some((code, headers));
                }
            }
            Frame::Data {
                offset,
                version,
                bytes,
                ..
            } => {
                self.handle_data(now, id, offset, version, bytes);
            }
            Frame::End {
                length,
                versions,
                usage,
                load,
                ..
            } => {
                self.record_load(now, id, load);
                self.handle_end(now, id, length, versions, usage);
            }
            Frame::Failed {
                failure,
                usage,
                load,
                ..
            } => {
                self.record_load(now, id, load);
                self.handle_failure(now, id, &failure, usage);
            }
        }
    }

    fn record_load(&mut self, now: Instant, id: id::Attempt, load: Load) {
        if let Some(view) = self
            .attempts
            .get(&id)
            .and_then(|a| self.servers.get_mut(a.server))
        {
            view.record_load(now, load);
            view.link_breaker.record_success();
        }
    }

    fn handle_data(
        &mut self,
        now: Instant,
        id: id::Attempt,
        offset: u64,
        version: Option<id::Version>,
        bytes: Bytes,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if !attempt.accept(offset, &bytes) {
            self.counters.misfits += 1;
            return self.fail_attempt(now, id, false, Cause::Server(Reason::Failed));
        }
        attempt.versions.extend(version);
        let Some(request) = self.requests.get_mut(&attempt.request) else {
            return;
        };
        if !request.arrival.streamed {
            attempt.body.extend_from_slice(&bytes);
            return;
        }
        if request.relayed_attempt.is_none() {
            // An attempt that started from fewer bytes would repeat what was already relayed.
            if offset != request.relayed {
                return self.fail_attempt(now, id, false, Cause::Server(Reason::Failed));
            }
            request.relayed_attempt = Some(id);
            if offset == 0
                && let Some((status, headers)) = attempt.head.clone()
            {
                self.actions.push(Action::StartResponse {
                    request: attempt.request,
                    status,
                    headers,
                });
            }
        }
        if request.relayed_attempt == Some(id) {
            request.relayed += bytes.len() as u64;
            request.versions.extend(version);
            self.actions.push(Action::Relay {
                request: attempt.request,
                version,
                bytes,
            });
        } else {
            self.revoke(id);
        }
    }

    fn handle_end(
        &mut self,
        now: Instant,
        id: id::Attempt,
        length: u64,
        versions: std::collections::BTreeSet<id::Version>,
        usage: Usage,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.versions.extend(versions);
        let is_complete = attempt.head.is_some() && attempt.received == length;
        let is_relayed_attempt = self.requests.get(&attempt.request).is_some_and(|request| {
            !request.arrival.streamed
                || request.relayed_attempt == Some(id)
                || (request.relayed_attempt.is_none() && request.relayed == length)
        });
        if !is_complete {
            self.counters.misfits += 1;
            return self.fail_attempt(now, id, false, Cause::Server(Reason::Failed));
        }
        let Some(attempt) = self.end_attempt(id) else {
            return;
        };
        if let Some(view) = self.servers.get_mut(attempt.server) {
            view.grow_limit();
            view.run_breaker.record_success();
        }
        if attempt.alone
            && let Some(request) = self.requests.get(&attempt.request)
        {
            self.suspects.clear(request.arrival.fingerprint);
        }
        if is_relayed_attempt {
            self.finish_success(now, attempt, usage);
        } else {
            self.record_cost(&attempt.cost_key, Disposition::Loser, usage);
        }
        self.route_waiting(now);
    }

    fn handle_failure(&mut self, now: Instant, id: id::Attempt, failure: &Failure, usage: Usage) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let server = attempt.server;
        let (request, alone, cost_key) = (attempt.request, attempt.alone, attempt.cost_key.clone());
        let crash = failure.crash.map(|count| (attempt.host.clone(), count));
        let view = self.servers.get_mut(attempt.server);
        match (failure.reason, view) {
            (Reason::Busy, Some(view)) => view.shrink_limit(),
            (Reason::Failed | Reason::Crashed, Some(view)) => view.run_breaker.record_failure(now),
            (Reason::OtherIncarnation, Some(view)) => view.incarnation = None,
            _ => {}
        }
        if failure.reason == Reason::OtherIncarnation {
            self.send_heartbeat(now, server);
        }
        let disposition = if self.requests.contains_key(&request) {
            Disposition::Retried
        } else {
            Disposition::Loser
        };
        if usage != Usage::default() {
            self.record_cost(&cost_key, disposition, usage);
        }
        if let (Some(crash), Some(request)) = (crash, self.requests.get(&request)) {
            self.suspects
                .record(now, request.arrival.fingerprint, crash, alone);
        }
        self.fail_attempt(now, id, failure.not_run, Cause::Server(failure.reason));
    }

    pub(super) fn handle_link_failure(&mut self, now: Instant, id: id::Attempt, sent: bool) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        if let Some(view) = self.servers.get_mut(attempt.server) {
            view.link_breaker.record_failure(now);
        }
        self.fail_attempt(now, id, !sent, Cause::Link);
    }

    pub(super) fn handle_revoked(&mut self, now: Instant, revoked: &Revoked) {
        if revoked.not_run && self.attempts.contains_key(&revoked.attempt) {
            self.fail_attempt(now, revoked.attempt, true, Cause::Server(Reason::Revoked));
        }
    }

    /// Removes an attempt that ended.
    pub(super) fn end_attempt(&mut self, id: id::Attempt) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        if let Some(view) = self.servers.get_mut(attempt.server) {
            view.record_end(id);
        }
        if let Some(request) = self.requests.get_mut(&attempt.request) {
            request.in_flight.remove(&id);
        }
        Some(attempt)
    }

    /// Handles an attempt that ended without a complete response: retries its request, or ends the
    /// request without a response.
    fn fail_attempt(&mut self, now: Instant, id: id::Attempt, not_run: bool, cause: Cause) {
        self.revoke(id);
        let Some(attempt) = self.end_attempt(id) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&attempt.request) else {
            return;
        };
        let peer = Some(attempt.host);
        request.problem = Some(Problem {
            stage: Stage::Run,
            peer,
            cause,
        });
        request.may_have_run |= !not_run;
        if request.relayed_attempt == Some(id) {
            request.relayed_attempt = None;
        }
        let is_repeatable = not_run || !request.arrival.once;
        let can_resume = request.relayed == 0 || request.arrival.resumable;
        if !request.in_flight.is_empty() {
            return;
        }
        // A planned stop is not a failure, so its retries are not charged to the budget. Each
        // server causes at most one per request.
        let is_uncharged = cause == Cause::Server(Reason::Leaving);
        if is_repeatable && can_resume && (is_uncharged || self.withdraw_retry(attempt.request)) {
            self.route(now, attempt.request);
        } else if is_repeatable && can_resume {
            self.fail_request(now, attempt.request, Stage::Run, Cause::RetryBudget);
        } else {
            self.fail_request(now, attempt.request, Stage::Run, cause);
        }
        self.route_waiting(now);
    }
}
