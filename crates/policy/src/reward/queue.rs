//! The calls of all open batches.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use slotmap::SlotMap;
use tamaracksail_model::reward;
use tamaracksail_model::time::Instant;

use super::action::{Action, Outcome, Rank, Target, Verdict};
use super::pending::{CallKey, Pending};
use super::window::Window;
use crate::fleet::{Fleet, Query, ServerKey};
use crate::request::latency::LatencyWindow;

/// The percentage of calls that are faster than one of which a second copy is sent.
const HEDGE_PERCENT: u32 = 95;

/// The shortest time after which a second copy is sent.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(300);

/// The time after which a second copy is sent while too few durations are known.
const DEFAULT_HEDGE_DELAY: Duration = Duration::from_secs(1);

/// The number of second copies that each send allows: one in ten calls may have one.
const HEDGES_PER_SEND: f64 = 0.1;

/// The number of second copies that may be saved up: as many calls may wait for one server that
/// stops responding, and a few more.
const MAX_SAVED_HEDGES: f64 = 12.0;

/// The factor on the delay of a second copy after which a send is given up.
const TIMEOUT_FACTOR: u32 = 4;

/// The shortest time after which a send is given up.
const MIN_TIMEOUT: Duration = Duration::from_secs(2);

/// A call as it is submitted.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The call.
    pub call: Rc<reward::Call>,
    /// The number of reported failures at which the call has failed for good, unless its route allows
    /// more attempts.
    pub max_failures: u32,
    /// The number of failures that were reported before.
    pub failures: u32,
    /// When the call is given up.
    pub deadline: Instant,
}

/// A send that waits for its response.
#[derive(Clone, Copy, Debug)]
struct Send {
    call: CallKey,
    server: ServerKey,
    sent_at: Instant,
    /// Whether another copy was sent since.
    is_overtaken: bool,
}

/// The calls of all open batches.
#[derive(Debug)]
pub struct Queue {
    calls: SlotMap<CallKey, Pending>,
    sends: BTreeMap<u64, Send>,
    windows: BTreeMap<ServerKey, Window>,
    latencies: LatencyWindow,
    saved_hedges: f64,
    last_send: u64,
    actions: Vec<Action>,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            calls: SlotMap::default(),
            sends: BTreeMap::new(),
            windows: BTreeMap::new(),
            latencies: LatencyWindow::default(),
            saved_hedges: MAX_SAVED_HEDGES,
            last_send: 0,
            actions: Vec::new(),
        }
    }
}

impl Queue {
    /// Adds a call.
    pub fn add(&mut self, now: Instant, submission: Submission) -> CallKey {
        self.calls.insert(Pending {
            call: submission.call,
            service: String::new(),
            deadline: submission.deadline,
            max_failures: submission.max_failures.max(1),
            failures: submission.failures,
            since: now,
            retry_at: now,
            losses: 0,
            sends: Vec::new(),
            tried: Vec::new(),
        })
    }

    /// Removes a call and cancels its sends. Returns the number of its reported failures.
    pub fn remove(&mut self, key: CallKey, reason: &'static str) -> u32 {
        let Some(call) = self.calls.remove(key) else {
            return 0;
        };
        for send in call.sends {
            self.cancel(send, reason);
        }
        call.failures
    }

    /// Removes all calls. Their sends are not cancelled.
    pub fn clear(&mut self) {
        self.calls.clear();
        self.sends.clear();
        self.windows.clear();
        self.actions.clear();
    }

    /// Returns since when a call waits for its score.
    #[must_use]
    pub fn since(&self, key: CallKey) -> Option<Instant> {
        self.calls.get(key).map(|call| call.since)
    }

    /// Decides which calls are sent now, and returns the actions to take. `route` returns the target
    /// of a call, and `rank` the rank of a call. A call without a target waits.
    pub fn poll(
        &mut self,
        now: Instant,
        fleet: &mut Fleet,
        domain: &str,
        route: impl Fn(&reward::Call) -> Option<Target>,
        rank: impl Fn(CallKey) -> Rank,
    ) -> Vec<Action> {
        if self.calls.is_empty() {
            return std::mem::take(&mut self.actions);
        }
        self.windows
            .retain(|key, window| window.in_flight() > 0 || fleet.registration(*key).is_some());
        let hedge_delay = self.hedge_delay(now);
        self.give_up_silent(now, hedge_delay);
        let mut due: Vec<(Rank, Instant, CallKey)> = self
            .calls
            .iter()
            .filter(|(_, call)| call.is_due(now))
            .map(|(key, call)| (rank(key), call.since, key))
            .collect();
        due.sort_unstable();
        let mut full: BTreeMap<String, Vec<ServerKey>> = BTreeMap::new();
        for (_, _, key) in due {
            let call = &mut self.calls[key];
            let Some(target) = route(&call.call) else {
                continue;
            };
            call.service = target.service;
            call.max_failures = call.max_failures.max(target.max_attempts);
            self.send(now, fleet, domain, key, &mut full);
        }
        self.hedge(now, fleet, domain, hedge_delay, &mut full);
        std::mem::take(&mut self.actions)
    }

    /// Records how a send ended. Returns the verdict on its call once there is one, which is removed
    /// then.
    pub fn record_outcome(
        &mut self,
        now: Instant,
        send: u64,
        outcome: Outcome,
    ) -> Option<(CallKey, Verdict)> {
        let ended = self.end_send(send)?;
        let key = ended.call;
        if let Some(window) = self.windows.get_mut(&ended.server) {
            match &outcome {
                Outcome::Scored(_) => window.raise(),
                Outcome::Refused | Outcome::Broken => window.lower(now),
                Outcome::Failed => {}
            }
        }
        let call = &mut self.calls[key];
        let verdict = match outcome {
            Outcome::Scored(score) => {
                self.latencies.record(now.since(ended.sent_at));
                Some(Verdict::Scored(score))
            }
            Outcome::Failed => {
                call.failures += 1;
                call.losses = 0;
                let is_final = call.failures >= call.max_failures;
                is_final.then_some(Verdict::Failed(call.failures))
            }
            Outcome::Refused | Outcome::Broken => {
                call.record_loss(now);
                None
            }
        };
        if matches!(verdict, Some(Verdict::Scored(_))) {
            self.lower_overtaken(now, key);
        }
        if verdict.is_some() {
            self.remove(key, "the call has ended");
        }
        verdict.map(|verdict| (key, verdict))
    }

    /// Removes a send from its call and from the window of its server.
    fn end_send(&mut self, send: u64) -> Option<Send> {
        let ended = self.sends.remove(&send)?;
        if let Some(window) = self.windows.get_mut(&ended.server) {
            window.record_end();
        }
        if let Some(call) = self.calls.get_mut(ended.call) {
            call.sends.retain(|other| *other != send);
        }
        Some(ended)
    }

    fn cancel(&mut self, send: u64, reason: &'static str) {
        if self.end_send(send).is_some() {
            self.actions.push(Action::Cancel { send, reason });
        }
    }

    /// Lowers the windows of servers whose sends of a call another server has overtaken.
    fn lower_overtaken(&mut self, now: Instant, key: CallKey) {
        for send in &self.calls[key].sends {
            let Some(send) = self.sends.get(send).filter(|send| send.is_overtaken) else {
                continue;
            };
            if let Some(window) = self.windows.get_mut(&send.server) {
                window.lower(now);
            }
        }
    }

    /// Returns the time after which a second copy of a call is sent.
    fn hedge_delay(&self, now: Instant) -> Duration {
        let ages: Vec<Duration> = self
            .sends
            .values()
            .map(|send| now.since(send.sent_at))
            .collect();
        let quantile = self.latencies.quantile(HEDGE_PERCENT, &ages);
        quantile.map_or(DEFAULT_HEDGE_DELAY, |quantile| {
            quantile.max(MIN_HEDGE_DELAY)
        })
    }

    /// Gives up sends that bring no response.
    fn give_up_silent(&mut self, now: Instant, hedge_delay: Duration) {
        let timeout = (hedge_delay * TIMEOUT_FACTOR).max(MIN_TIMEOUT);
        let silent: Vec<u64> = self
            .sends
            .iter()
            .filter(|(_, send)| now.since(send.sent_at) >= timeout)
            .map(|(number, _)| *number)
            .collect();
        for number in silent {
            let send = self.sends[&number];
            if let Some(window) = self.windows.get_mut(&send.server) {
                window.lower(now);
            }
            self.cancel(number, "no response in time");
            self.calls[send.call].record_loss(now);
        }
    }

    /// Sends second copies of calls that take long, the oldest first.
    fn hedge(
        &mut self,
        now: Instant,
        fleet: &mut Fleet,
        domain: &str,
        delay: Duration,
        full: &mut BTreeMap<String, Vec<ServerKey>>,
    ) {
        let mut late: Vec<(Instant, u64)> = self
            .sends
            .iter()
            .filter(|(_, send)| {
                let is_only = self.calls[send.call].sends.len() == 1;
                is_only && now.since(send.sent_at) >= delay
            })
            .map(|(number, send)| (send.sent_at, *number))
            .collect();
        late.sort_unstable();
        for (_, number) in late {
            if self.saved_hedges < 1.0 {
                return;
            }
            let key = self.sends[&number].call;
            if self.send(now, fleet, domain, key, full) {
                self.saved_hedges -= 1.0;
                if let Some(send) = self.sends.get_mut(&number) {
                    send.is_overtaken = true;
                }
            }
        }
    }

    /// Sends a call to the best server with room, one that it was not sent to before if there is any.
    /// Returns whether there is a server. `full` has the servers without room, by service.
    fn send(
        &mut self,
        now: Instant,
        fleet: &mut Fleet,
        domain: &str,
        key: CallKey,
        full: &mut BTreeMap<String, Vec<ServerKey>>,
    ) -> bool {
        let call = &self.calls[key];
        let service = call.service.clone();
        let full = full
            .entry(service.clone())
            .or_insert_with(|| self.full_servers(now, fleet, &service));
        let in_use = call
            .sends
            .iter()
            .filter_map(|send| self.sends.get(send))
            .map(|send| send.server);
        let excluded: Vec<ServerKey> = full.iter().copied().chain(in_use).collect();
        let untried: Vec<ServerKey> = excluded.iter().chain(&call.tried).copied().collect();
        let choose = |except: &[ServerKey]| {
            let query = Query {
                service: &service,
                software: None,
                domain,
                except,
            };
            fleet.choose(now, query)
        };
        let Some(server) = choose(&untried).or_else(|| choose(&excluded)) else {
            return false;
        };
        fleet.limiter_mut().take(now, server);
        fleet.record_sent(server);
        let slots = fleet
            .registration(server)
            .map_or(1, |registration| registration.slots);
        let window = self
            .windows
            .entry(server)
            .or_insert_with(|| Window::new(slots));
        window.record_sent();
        if !window.has_room(fleet.load(now, server)) {
            full.push(server);
        }
        self.last_send += 1;
        self.saved_hedges = (self.saved_hedges + HEDGES_PER_SEND).min(MAX_SAVED_HEDGES);
        let send = self.last_send;
        self.sends.insert(
            send,
            Send {
                call: key,
                server,
                sent_at: now,
                is_overtaken: false,
            },
        );
        let call = &mut self.calls[key];
        let is_hedge = !call.sends.is_empty();
        call.sends.push(send);
        call.tried.push(server);
        self.actions.push(Action::Send {
            send,
            key,
            call: Rc::clone(&call.call),
            service,
            server,
            deadline: call.deadline,
            attempt: u32::try_from(call.tried.len()).unwrap_or(u32::MAX),
            is_hedge,
        });
        true
    }

    /// Returns the servers of a service that get no further call now.
    fn full_servers(&self, now: Instant, fleet: &Fleet, service: &str) -> Vec<ServerKey> {
        fleet
            .ready_servers(service)
            .filter(|(key, registration)| {
                let known = self.windows.get(key).copied();
                let window = known.unwrap_or_else(|| Window::new(registration.slots));
                fleet.is_backing_off(now, *key) || !window.has_room(fleet.load(now, *key))
            })
            .map(|(key, _)| key)
            .collect()
    }
}
