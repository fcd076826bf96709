//! Attempts at an agent. Each runs at most once, and a refusal with `not_run` proves that it has
//! not run and never will.

use std::collections::BTreeSet;

use bytes::Bytes;
use tamaracksail_model::id;
use tamaracksail_model::outcome::Class;
use tamaracksail_model::time::Instant;
use tamaracksail_wire::{Dispatch, Failure, Frame, Header, Reason, Revoke, Revoked, Usage};

use super::action::Action;
use super::history::Record;
use super::machine::{ActiveAttempt, Agent, Phase};
use crate::request::suspects::Verdict;

impl Agent {
    pub(super) fn handle_dispatch(&mut self, now: Instant, dispatch: Dispatch) {
        let attempt = dispatch.attempt;
        if dispatch.agent != self.settings.incarnation {
            // An earlier incarnation may have run a copy, so this does not prove that none ran.
            return self.refuse(attempt, Reason::OtherIncarnation, false);
        }
        if self.attempts.contains_key(&attempt) {
            return self.actions.push(Action::CloseDuplicate(attempt));
        }
        match self.history.get(attempt) {
            Some(Record::NeverStarted) => return self.refuse(attempt, Reason::Revoked, true),
            Some(Record::Started) => return self.actions.push(Action::CloseDuplicate(attempt)),
            Some(Record::Forgotten) => return self.refuse(attempt, Reason::Duplicate, false),
            None => {}
        }
        if let Some(reason) = self.refusal_reason(now, &dispatch) {
            self.history.record(now, attempt, Record::NeverStarted);
            return self.refuse(attempt, reason, true);
        }
        let deadline = now.after(dispatch.timeout);
        let relayed = dispatch.resume;
        let active = ActiveAttempt {
            dispatch,
            deadline,
            phase: Phase::Waiting,
            relayed,
            versions: BTreeSet::new(),
            usage: Usage::default(),
        };
        self.attempts.insert(attempt, active);
    }

    fn refusal_reason(&mut self, now: Instant, dispatch: &Dispatch) -> Option<Reason> {
        if self.is_leaving() {
            return Some(Reason::Leaving);
        }
        if !self.is_up {
            return Some(Reason::ServerDown);
        }
        if dispatch.timeout.is_zero() {
            return Some(Reason::Expired);
        }
        if self.suspects.verdict(now, dispatch.fingerprint) == Verdict::Refused {
            return Some(Reason::Suspect);
        }
        let waiting = self
            .attempts
            .values()
            .filter(|active| !active.is_running())
            .count();
        let room = self.settings.limit as usize + self.settings.queue as usize;
        if self.attempts.len() < room || waiting == 0 && self.attempts.len() < room.max(1) {
            return None;
        }
        if self.refuse_less_urgent(now, dispatch.class) {
            None
        } else {
            Some(Reason::Busy)
        }
    }

    /// Makes room for an attempt of a class by refusing a waiting attempt of a less urgent class.
    fn refuse_less_urgent(&mut self, now: Instant, class: Class) -> bool {
        let waiting = self
            .attempts
            .iter()
            .filter(|(_, active)| !active.is_running());
        let last = waiting.max_by_key(|(_, active)| (active.dispatch.class, active.deadline));
        let Some((attempt, active)) = last else {
            return false;
        };
        if active.dispatch.class <= class {
            return false;
        }
        let attempt = *attempt;
        self.refuse_waiting_attempt(now, attempt, Reason::Busy);
        true
    }

    fn refuse(&mut self, attempt: id::Attempt, reason: Reason, not_run: bool) {
        self.fail(
            attempt,
            Failure {
                reason,
                not_run,
                crash: None,
            },
            Usage::default(),
        );
    }

    fn fail(&mut self, attempt: id::Attempt, failure: Failure, usage: Usage) {
        let frame = Frame::Failed {
            attempt,
            failure,
            usage,
            load: self.load(),
        };
        self.actions.push(Action::SendFrame(frame));
    }

    /// Refuses a waiting attempt, which then never starts.
    fn refuse_waiting_attempt(&mut self, now: Instant, attempt: id::Attempt, reason: Reason) {
        self.attempts.remove(&attempt);
        self.history.record(now, attempt, Record::NeverStarted);
        self.refuse(attempt, reason, true);
    }

    fn waiting_attempts(&self) -> Vec<id::Attempt> {
        let waiting = self
            .attempts
            .iter()
            .filter(|(_, active)| !active.is_running());
        waiting.map(|(attempt, _)| *attempt).collect()
    }

    pub(super) fn refuse_waiting(&mut self, now: Instant) {
        for attempt in self.waiting_attempts() {
            self.refuse_waiting_attempt(now, attempt, Reason::Leaving);
        }
    }

    /// Starts waiting attempts, ordered by class and deadline. An attempt that must run alone waits
    /// until nothing runs, and none is started before it meanwhile.
    pub(super) fn start_waiting(&mut self, now: Instant) {
        while self.is_up {
            let running: Vec<&ActiveAttempt> = self
                .attempts
                .values()
                .filter(|active| active.is_running())
                .collect();
            let runs_alone = running.iter().any(|active| active.dispatch.alone);
            let count = running.len();
            if runs_alone || count >= self.settings.limit as usize {
                return;
            }
            let waiting = self
                .attempts
                .iter()
                .filter(|(_, active)| !active.is_running());
            let next = waiting.min_by_key(|(attempt, active)| {
                (active.dispatch.class, active.deadline, **attempt)
            });
            let Some((attempt, active)) = next else {
                return;
            };
            if active.dispatch.alone && count > 0 {
                return;
            }
            let attempt = *attempt;
            self.start(now, attempt);
        }
    }

    fn start(&mut self, now: Instant, attempt: id::Attempt) {
        let Some(active) = self.attempts.get_mut(&attempt) else {
            return;
        };
        active.phase = Phase::Running { since: now };
        self.history.record(now, attempt, Record::Started);
        self.actions.push(Action::Run {
            attempt,
            resume: active.dispatch.resume,
        });
    }

    pub(super) fn handle_revoke(&mut self, now: Instant, revoke: &Revoke) {
        let attempt = revoke.attempt;
        let not_run = if revoke.agent != self.settings.incarnation {
            // An earlier incarnation may have run it.
            false
        } else if let Some(active) = self.attempts.get(&attempt) {
            let is_running = active.is_running();
            if is_running {
                self.cancel(attempt, Reason::Revoked);
            } else {
                self.refuse_waiting_attempt(now, attempt, Reason::Revoked);
            }
            !is_running
        } else {
            let record = self.history.get(attempt);
            if record.is_none() {
                self.history.record(now, attempt, Record::NeverStarted);
            }
            matches!(record, None | Some(Record::NeverStarted))
        };
        self.actions
            .push(Action::Revoked(Revoked { attempt, not_run }));
    }

    /// Cancels a running attempt, unless it may run at most once: such an attempt is left to
    /// complete its effect.
    fn cancel(&mut self, attempt: id::Attempt, reason: Reason) {
        let Some(active) = self.attempts.get(&attempt) else {
            return;
        };
        if active.dispatch.once {
            return;
        }
        let usage = active.usage;
        self.attempts.remove(&attempt);
        self.actions.push(Action::Cancel(attempt));
        self.fail(
            attempt,
            Failure {
                reason,
                not_run: false,
                crash: None,
            },
            usage,
        );
    }

    pub(super) fn handle_entry_disconnected(&mut self, now: Instant, attempt: id::Attempt) {
        match self.attempts.get(&attempt).map(ActiveAttempt::is_running) {
            Some(true) => self.cancel(attempt, Reason::Revoked),
            Some(false) => self.refuse_waiting_attempt(now, attempt, Reason::Revoked),
            None => {}
        }
    }

    pub(super) fn relay_head(&mut self, attempt: id::Attempt, status: u16, headers: Vec<Header>) {
        if self.attempts.contains_key(&attempt) {
            self.actions.push(Action::SendFrame(Frame::Head {
                attempt,
                status,
                headers,
            }));
        }
    }

    pub(super) fn relay_chunk(
        &mut self,
        attempt: id::Attempt,
        bytes: Bytes,
        version: Option<id::Version>,
    ) {
        let Some(active) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let offset = active.relayed;
        active.relayed += bytes.len() as u64;
        active.versions.extend(version);
        active.usage.completion_tokens += u64::from(version.is_some());
        self.actions.push(Action::SendFrame(Frame::Data {
            attempt,
            offset,
            version,
            bytes,
        }));
    }

    pub(super) fn finish(
        &mut self,
        now: Instant,
        attempt: id::Attempt,
        versions: BTreeSet<id::Version>,
        usage: Usage,
    ) {
        let Some(mut active) = self.attempts.remove(&attempt) else {
            return;
        };
        if let Phase::Running { since } = active.phase {
            self.record_service_time(now.since(since));
        }
        if active.dispatch.alone {
            self.suspects.clear(active.dispatch.fingerprint);
        }
        active.versions.extend(versions);
        let (length, versions) = (active.relayed, active.versions);
        let load = self.load();
        self.actions.push(Action::SendFrame(Frame::End {
            attempt,
            length,
            versions,
            usage,
            load,
        }));
    }

    pub(super) fn handle_failed(&mut self, now: Instant, attempt: id::Attempt, sent: bool) {
        let Some(active) = self.attempts.remove(&attempt) else {
            return;
        };
        if !sent {
            self.history.record(now, attempt, Record::NeverStarted);
        }
        let reason = if sent {
            Reason::Failed
        } else {
            Reason::ServerDown
        };
        self.fail(
            attempt,
            Failure {
                reason,
                not_run: !sent,
                crash: None,
            },
            active.usage,
        );
    }

    /// Handles the loss of the backend server. What ran on it is recorded as suspect, since it may
    /// have caused the crash.
    pub(super) fn handle_server_down(&mut self, now: Instant) {
        if !std::mem::replace(&mut self.is_up, false) {
            return;
        }
        self.crashes += 1;
        self.versions.clear();
        let crash = self.crashes;
        for (attempt, active) in std::mem::take(&mut self.attempts) {
            if active.is_running() {
                let (fingerprint, alone) = (active.dispatch.fingerprint, active.dispatch.alone);
                let host = self.settings.host.name.clone();
                self.suspects.record(now, fingerprint, (host, crash), alone);
                let failure = Failure {
                    reason: Reason::Crashed,
                    not_run: false,
                    crash: Some(crash),
                };
                self.fail(attempt, failure, active.usage);
            } else {
                self.refuse_waiting_attempt(now, attempt, Reason::ServerDown);
            }
        }
    }

    pub(super) fn expire_attempts(&mut self, now: Instant) {
        let expired = self
            .attempts
            .iter()
            .filter(|(_, active)| active.deadline <= now);
        let expired: Vec<(id::Attempt, bool)> = expired
            .map(|(attempt, active)| (*attempt, active.is_running()))
            .collect();
        for (attempt, is_running) in expired {
            if is_running {
                self.cancel(attempt, Reason::Expired);
            } else {
                self.refuse_waiting_attempt(now, attempt, Reason::Expired);
            }
        }
    }
}
