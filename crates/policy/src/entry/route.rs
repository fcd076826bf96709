//! Routing: which server gets which request, and which requests wait or are refused.

use std::time::Duration;

use tamaracksail_model::id;
use tamaracksail_model::outcome::Class;
use tamaracksail_model::time::Instant;
use tamaracksail_wire::{Dispatch, Revoke};

use super::action::{Action, Cause, Problem, Stage};
use super::machine::Entry;
use super::request::{Attempt, Phase};
use crate::connection::choice::{self, Candidate};
use crate::connection::view::{ServerKey, ServerView};
use crate::request::arrival::Target;
use crate::request::suspects::Verdict;

/// The time after which callers are asked to retry if no server for their request is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How long a request waits while no server for it is known.
const NO_SERVER_TIMEOUT: Duration = Duration::from_secs(2);

/// How long after its last frame an attempt is kept if its request has already got a response.
const ORPHANED_ATTEMPT_TIMEOUT: Duration = Duration::from_mins(1);

impl Entry {
    /// Sends a request to a server, enqueues it or refuses it.
    pub(super) fn route(&mut self, now: Instant, id: id::Request) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        match self.suspects.verdict(now, request.arrival.fingerprint) {
            Verdict::Refused => self.fail_request(now, id, Stage::Queue, Cause::Suspect),
            Verdict::Unrestricted => self.dispatch_or_enqueue(now, id, false),
            Verdict::Alone => self.dispatch_or_enqueue(now, id, true),
        }
    }

    /// Sends a request to a server if no other request is served before it and a server has room.
    fn dispatch_or_enqueue(&mut self, now: Instant, id: id::Request, alone: bool) {
        let ahead = self.count_waiting_ahead(id);
        let server = if ahead == 0 {
            self.choose(now, id)
        } else {
            None
        };
        match server {
            Some(server) => self.dispatch(now, id, server, alone),
            None => self.enqueue(now, id, ahead),
        }
    }

    /// Chooses a server for a request among those that have room for it.
    fn choose(&mut self, now: Instant, id: id::Request) -> Option<ServerKey> {
        let request = self.requests.get(&id)?;
        let arrival = &request.arrival;
        let usable = |(server, view): &(ServerKey, &ServerView)| {
            self.serves(&view.serves, &arrival.target)
                && !request.tried.contains(server)
                && view.is_eligible(now)
                && view.has_room(now, arrival.class)
        };
        let own_domain = &self.settings.host.domain;
        let candidates: (Vec<ServerKey>, Vec<Candidate>) = self
            .servers
            .iter()
            .filter(usable)
            .map(|(server, view)| {
                let prefix = arrival.prefix;
                let candidate = Candidate {
                    delay: view.expected_delay(now),
                    load: view.estimated_load(now),
                    slots: f64::from(view.load(now).map_or(1, |load| load.limit)),
                    is_remote: view.domain != *own_domain,
                    affinity: prefix
                        .map_or(0, |prefix| choice::affinity(prefix, view.host.as_str())),
                };
                (server, candidate)
            })
            .unzip();
        let fingerprint = arrival.fingerprint;
        if self.suspects.verdict(now, fingerprint) == Verdict::Alone {
            // All entries choose the same server, whose agent refuses the content after one crash.
            let rank = |server: &ServerKey| {
                let view = self.servers.get(*server);
                view.map(|view| choice::affinity(fingerprint, view.host.as_str()))
            };
            return candidates.0.into_iter().max_by_key(rank);
        }
        let index = self.chooser.choose(&mut self.random, &candidates.1)?;
        candidates.0.get(index).copied()
    }

    /// Returns whether the servers of a pool or service can serve a target.
    fn serves(&self, group: &id::Object, target: &Target) -> bool {
        match target {
            Target::Service(service) => group == service,
            Target::Model(model) => {
                let pool = self.config.as_ref().and_then(|config| config.pool(group));
                pool.is_some_and(|pool| pool.model == *model)
            }
        }
    }

    fn dispatch(&mut self, now: Instant, id: id::Request, server: ServerKey, alone: bool) {
        let view = &mut self.servers[server];
        let Some(agent) = view.incarnation else {
            return;
        };
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        self.last_attempt += 1;
        let attempt = id::Attempt {
            entry: self.settings.incarnation,
            number: self.last_attempt,
        };
        if request.attempts == 0 {
            self.counters.firsts += 1;
            let class = request.arrival.class;
            let percent = self
                .config
                .as_ref()
                .map_or(0, |config| config.retry_percent(class));
            if let Some(budget) = self.budgets.get_mut(&class) {
                budget.deposit(percent);
            }
        }
        request.phase = Phase::Running;
        request.attempts += 1;
        request.in_flight.insert(attempt);
        request.tried.insert(server);
        view.record_dispatch(attempt);
        let dispatch = Dispatch {
            attempt,
            agent,
            class: request.arrival.class,
            timeout: request.arrival.deadline.since(now),
            fingerprint: request.arrival.fingerprint,
            alone,
            once: request.arrival.once,
            resume: request.relayed,
        };
        let (host, address) = (view.host.clone(), view.address);
        let cost_key = request.cost_key();
        self.attempts.insert(
            attempt,
            Attempt {
                request: id,
                server,
                host: host.clone(),
                agent,
                alone,
                last_frame_at: now,
                revoked: false,
                stalled: false,
                cost_key,
                head: None,
                received: request.relayed,
                body: bytes::BytesMut::new(),
                versions: std::collections::BTreeSet::new(),
            },
        );
        self.actions.push(Action::Dispatch {
            request: id,
            host,
            address,
            dispatch,
        });
    }

    /// Returns the number of waiting requests for the same target that are served before `id`.
    fn count_waiting_ahead(&self, id: id::Request) -> usize {
        let Some(request) = self.requests.get(&id) else {
            return 0;
        };
        let own = rank(request, id);
        let others = self.requests.iter().filter(|(other, waiting)| {
            waiting.phase == Phase::Waiting
                && **other != id
                && waiting.arrival.target == request.arrival.target
                && rank(waiting, **other) < own
        });
        others.count()
    }

    /// Lets a request wait for a server, or refuses it if it cannot be served before its deadline.
    /// If the queue is full, the waiting request that would be served last is refused.
    fn enqueue(&mut self, now: Instant, id: id::Request, ahead: usize) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.phase = Phase::Waiting;
        request.tried.clear();
        let remaining = request.arrival.deadline.since(now);
        let expected = self.expected_wait(now, id, ahead);
        let waiting = self
            .requests
            .values()
            .filter(|request| request.phase == Phase::Waiting);
        let is_full = waiting.count() > self.settings.queue_limit;
        if expected.is_none() {
            let problem = Problem {
                stage: Stage::Queue,
                peer: None,
                cause: Cause::NoServer,
            };
            if let Some(request) = self.requests.get_mut(&id) {
                request.problem = Some(problem);
            }
        } else if expected.is_some_and(|wait| wait > remaining) {
            self.counters.shed += 1;
            return self.fail_request(now, id, Stage::Queue, Cause::Overload);
        }
        if is_full {
            self.shed_last(now);
        }
    }

    /// Refuses the waiting request that would be served last, to keep the queue within its limit.
    fn shed_last(&mut self, now: Instant) {
        let waiting = self
            .requests
            .iter()
            .filter(|(_, request)| request.phase == Phase::Waiting);
        let last = waiting
            .max_by_key(|(id, request)| rank(request, **id))
            .map(|(id, _)| *id);
        if let Some(id) = last {
            self.counters.shed += 1;
            self.fail_request(now, id, Stage::Queue, Cause::Overload);
        }
    }

    /// Returns the expected time until `ahead` requests and this one have been served, or `None`
    /// if there is no eligible server.
    pub(super) fn expected_wait(
        &self,
        now: Instant,
        id: id::Request,
        ahead: usize,
    ) -> Option<Duration> {
        let target = &self.requests.get(&id)?.arrival.target;
        let servers = self
            .servers
            .values()
            .filter(|view| view.is_eligible(now) && self.serves(&view.serves, target));
        let (mut slots, mut queued, mut service) = (0.0, 0.0, Duration::ZERO);
        for view in servers {
            slots += f64::from(view.load(now).map_or(1, |load| load.limit));
            queued += view.estimated_load(now);
            service = service.max(view.service_time());
        }
        if slots <= 0.0 {
            return None;
        }
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        let estimate = service.mul_f64(((queued + ahead + 1.0) / slots - 1.0).max(0.0) + 1.0);
        // The request that has waited longest has not been served yet, so its total wait will be
        // longer than its wait so far.
        Some(estimate.max(self.longest_wait(now, id) * 2))
    }

    /// Returns how long the longest waiting request of the same target and class has waited. Later
    /// requests of the class will not wait less, whatever arrives in other classes meanwhile.
    fn longest_wait(&self, now: Instant, id: id::Request) -> Duration {
        let Some(own) = self.requests.get(&id) else {
            return Duration::ZERO;
        };
        let alike = self.requests.iter().filter(|(other, waiting)| {
            waiting.phase == Phase::Waiting
                && **other != id
                && waiting.arrival.class == own.arrival.class
                && waiting.arrival.target == own.arrival.target
        });
        let waits = alike.map(|(_, waiting)| now.since(waiting.arrived));
        waits.max().unwrap_or_default()
    }

    /// Returns how long a caller whose request was refused should wait before it retries.
    pub(super) fn retry_after(&self, now: Instant, id: id::Request) -> Duration {
        self.expected_wait(now, id, self.count_waiting_ahead(id))
            .unwrap_or(DEFAULT_RETRY_AFTER)
    }

    /// Sends waiting requests to servers, the most urgent first, as far as servers have room.
    pub(super) fn route_waiting(&mut self, now: Instant) {
        let waiting = self
            .requests
            .iter()
            .filter(|(_, request)| request.phase == Phase::Waiting);
        let mut order: Vec<_> = waiting
            .map(|(id, request)| (rank(request, *id), *id))
            .collect();
        order.sort_unstable();
        for (_, id) in order {
            let verdict = self
                .requests
                .get(&id)
                .map(|request| self.suspects.verdict(now, request.arrival.fingerprint));
            match verdict {
                Some(Verdict::Refused) => self.fail_request(now, id, Stage::Queue, Cause::Suspect),
                Some(verdict) => {
                    if let Some(server) = self.choose(now, id) {
                        self.dispatch(now, id, server, verdict == Verdict::Alone);
                    }
                }
                None => {}
            }
        }
    }

    /// Tries another server for attempts that have been silent for the stall timeout. The silent
    /// attempt of a repeatable request continues beside the new one. That of a request that may
    /// run at most once must be revoked first.
    pub(super) fn handle_stalls(&mut self, now: Instant) {
        let stalled = self.attempts.iter().filter(|(_, attempt)| {
            !attempt.stalled && now.since(attempt.last_frame_at) >= self.settings.stall_timeout
        });
        let stalled: Vec<id::Attempt> = stalled.map(|(id, _)| *id).collect();
        for id in stalled {
            let Some(attempt) = self.attempts.get_mut(&id) else {
                continue;
            };
            attempt.stalled = true;
            let (request, server) = (attempt.request, attempt.server);
            if let Some(view) = self.servers.get_mut(server) {
                view.run_breaker.record_failure(now);
            }
            match self.requests.get(&request) {
                Some(waiting) if waiting.arrival.once => self.revoke(id),
                Some(_) => self.hedge(now, request),
                None => {}
            }
        }
    }

    /// Hedges a request: adds an attempt beside those in flight, if a server has room and the
    /// retry budget allows it.
    fn hedge(&mut self, now: Instant, id: id::Request) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if self.suspects.verdict(now, request.arrival.fingerprint) != Verdict::Unrestricted {
            return;
        }
        if let Some(server) = self.choose(now, id)
            && self.withdraw_retry(id)
        {
            self.dispatch(now, id, server, false);
        }
    }

    /// Refuses requests for which no server has become known within [`NO_SERVER_TIMEOUT`].
    pub(super) fn refuse_without_server(&mut self, now: Instant) {
        let without_server = self.requests.iter().filter(|(id, request)| {
            request.phase == Phase::Waiting
                && now.since(request.arrived) >= NO_SERVER_TIMEOUT
                && self.expected_wait(now, **id, 0).is_none()
        });
        let without_server: Vec<id::Request> = without_server.map(|(id, _)| *id).collect();
        for id in without_server {
            self.fail_request(now, id, Stage::Queue, Cause::NoServer);
        }
    }

    /// Removes attempts whose request has got a response and whose agent has not reported their
    /// end within [`ORPHANED_ATTEMPT_TIMEOUT`].
    pub(super) fn remove_orphaned_attempts(&mut self, now: Instant) {
        let orphaned = self.attempts.iter().filter(|(_, attempt)| {
            now.since(attempt.last_frame_at) >= ORPHANED_ATTEMPT_TIMEOUT
                && !self.requests.contains_key(&attempt.request)
        });
        let orphaned: Vec<id::Attempt> = orphaned.map(|(id, _)| *id).collect();
        for id in orphaned {
            self.end_attempt(id);
        }
    }

    /// Takes a retry from the budget of the request's class. Returns `false` if none is left.
    pub(super) fn withdraw_retry(&mut self, id: id::Request) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let budget = self.budgets.get_mut(&request.arrival.class);
        let is_allowed = budget.is_some_and(crate::request::budget::Budget::withdraw);
        self.counters.retries += u64::from(is_allowed);
        is_allowed
    }

    /// Asks the agent of an attempt not to start the attempt, or to cancel it.
    pub(super) fn revoke(&mut self, id: id::Attempt) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if std::mem::replace(&mut attempt.revoked, true) {
            return;
        }
        let revoke = Revoke {
            attempt: id,
            agent: attempt.agent,
        };
        if let Some(view) = self.servers.get(attempt.server) {
            let (host, address) = (view.host.clone(), view.address);
            self.actions.push(Action::Revoke {
                host,
                address,
                revoke,
            });
        }
    }
}

/// Returns the key that orders service: by class, then by deadline.
fn rank(request: &super::request::Request, id: id::Request) -> (Class, Instant, id::Request) {
    (request.arrival.class, request.arrival.deadline, id)
}
