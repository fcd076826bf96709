//! Attempts at an agent: each runs at most once, and a refusal is a proof.

use std::collections::BTreeSet;

use bytes::Bytes;
use tamaracksail_model::id;
use tamaracksail_model::outcome::Class;
use tamaracksail_model::time::Instant;
use tamaracksail_wire::{Dispatch, Failure, Frame, Header, Reason, Revoke, Revoked, Usage};

use super::action::Action;
use super::machine::{Agent, Job, Phase};
use super::window::Mark;
use crate::request::suspicion::Verdict;

impl Agent {
    pub(super) fn take_dispatch(&mut self, now: Instant, dispatch: Dispatch) {
        let attempt = dispatch.attempt;
        if dispatch.agent != self.settings.incarnation {
            // A copy may have run under the predecessor, so this is no proof.
            return self.refuse(attempt, Reason::OtherIncarnation, false);
        }
        if self.jobs.contains_key(&attempt) {
            return self.out.push(Action::Drop(attempt));
        }
        match self.window.get(attempt) {
            Some(Mark::NeverStarted) => return self.refuse(attempt, Reason::Revoked, true),
            Some(Mark::Started) => return self.out.push(Action::Drop(attempt)),
            Some(Mark::Forgotten) => return self.refuse(attempt, Reason::Duplicate, false),
            None => {}
        }
        if let Some(reason) = self.reason_to_refuse(now, &dispatch) {
            self.window.mark(now, attempt, Mark::NeverStarted);
            return self.refuse(attempt, reason, true);
        }
        let deadline = now.after(dispatch.timeout);
        let passed = dispatch.resume;
        let job = Job {
            dispatch,
            deadline,
            phase: Phase::Waiting,
            passed,
            versions: BTreeSet::new(),
            usage: Usage::default(),
        };
        self.jobs.insert(attempt, job);
    }

    fn reason_to_refuse(&mut self, now: Instant, dispatch: &Dispatch) -> Option<Reason> {
        if self.is_leaving() {
            return Some(Reason::Leaving);
        }
        if !self.is_up {
            return Some(Reason::ServerDown);
        }
        if dispatch.timeout.is_zero() {
            return Some(Reason::Expired);
        }
        if self.suspicion.verdict(now, dispatch.fingerprint) == Verdict::Refused {
            return Some(Reason::Suspect);
        }
        let waiting = self.jobs.values().filter(|job| !job.is_running()).count();
        let room = self.settings.limit as usize + self.settings.queue as usize;
        if self.jobs.len() < room || waiting == 0 && self.jobs.len() < room.max(1) {
            return None;
        }
        if self.displace(now, dispatch.class) {
            None
        } else {
            Some(Reason::Busy)
        }
    }

    /// Makes room for a class by refusing a waiting attempt of a later one.
    fn displace(&mut self, now: Instant, class: Class) -> bool {
        let waiting = self.jobs.iter().filter(|(_, job)| !job.is_running());
        let last = waiting.max_by_key(|(_, job)| (job.dispatch.class, job.deadline));
        let Some((attempt, job)) = last else {
            return false;
        };
        if job.dispatch.class <= class {
            return false;
        }
        let attempt = *attempt;
        self.refuse_job(now, attempt, Reason::Busy);
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
        self.out.push(Action::Reply(frame));
    }

    /// Refuses an attempt that waits: it never starts.
    fn refuse_job(&mut self, now: Instant, attempt: id::Attempt, reason: Reason) {
        self.jobs.remove(&attempt);
        self.window.mark(now, attempt, Mark::NeverStarted);
        self.refuse(attempt, reason, true);
    }

    fn waiting(&self) -> Vec<id::Attempt> {
        let waiting = self.jobs.iter().filter(|(_, job)| !job.is_running());
        waiting.map(|(attempt, _)| *attempt).collect()
    }

    pub(super) fn refuse_waiting(&mut self, now: Instant) {
        for attempt in self.waiting() {
            self.refuse_job(now, attempt, Reason::Leaving);
        }
    }

    /// Starts waiting attempts in the order of class and deadline. One that must run alone
    /// waits until nothing runs, and nothing passes it.
    pub(super) fn start_waiting(&mut self, now: Instant) {
        while self.is_up {
            let running: Vec<&Job> = self.jobs.values().filter(|job| job.is_running()).collect();
            let is_exclusive = running.iter().any(|job| job.dispatch.alone);
            let count = running.len();
            if is_exclusive || count >= self.settings.limit as usize {
                return;
            }
            let waiting = self.jobs.iter().filter(|(_, job)| !job.is_running());
            let next =
                waiting.min_by_key(|(attempt, job)| (job.dispatch.class, job.deadline, **attempt));
            let Some((attempt, job)) = next else { return };
            if job.dispatch.alone && count > 0 {
                return;
            }
            let attempt = *attempt;
            self.start(now, attempt);
        }
    }

    fn start(&mut self, now: Instant, attempt: id::Attempt) {
        let Some(job) = self.jobs.get_mut(&attempt) else {
            return;
        };
        job.phase = Phase::Running { since: now };
        self.window.mark(now, attempt, Mark::Started);
        self.out.push(Action::Run {
            attempt,
            resume: job.dispatch.resume,
        });
    }

    pub(super) fn take_revoke(&mut self, now: Instant, revoke: &Revoke) {
        let attempt = revoke.attempt;
        let not_run = if revoke.agent != self.settings.incarnation {
            // The predecessor may have run it.
            false
        } else if let Some(job) = self.jobs.get(&attempt) {
            let is_running = job.is_running();
            if is_running {
                self.cancel(attempt, Reason::Revoked);
            } else {
                self.refuse_job(now, attempt, Reason::Revoked);
            }
            !is_running
        } else {
            let mark = self.window.get(attempt);
            if mark.is_none() {
                self.window.mark(now, attempt, Mark::NeverStarted);
            }
            matches!(mark, None | Some(Mark::NeverStarted))
        };
        self.out.push(Action::Revoked(Revoked { attempt, not_run }));
    }

    /// Cancels a running attempt, unless it may not be repeated: its effect is then better whole.
    fn cancel(&mut self, attempt: id::Attempt, reason: Reason) {
        let Some(job) = self.jobs.get(&attempt) else {
            return;
        };
        if job.dispatch.once {
            return;
        }
        let usage = job.usage;
        self.jobs.remove(&attempt);
        self.out.push(Action::Cancel(attempt));
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

    pub(super) fn abandon(&mut self, now: Instant, attempt: id::Attempt) {
        match self.jobs.get(&attempt).map(Job::is_running) {
            Some(true) => self.cancel(attempt, Reason::Revoked),
            Some(false) => self.refuse_job(now, attempt, Reason::Revoked),
            None => {}
        }
    }

    pub(super) fn pass_head(&mut self, attempt: id::Attempt, status: u16, headers: Vec<Header>) {
        if self.jobs.contains_key(&attempt) {
            self.out.push(Action::Reply(Frame::Head {
                attempt,
                status,
                headers,
            }));
        }
    }

    pub(super) fn pass_chunk(
        &mut self,
        attempt: id::Attempt,
        bytes: Bytes,
        version: Option<id::Version>,
    ) {
        let Some(job) = self.jobs.get_mut(&attempt) else {
            return;
        };
        let offset = job.passed;
        job.passed += bytes.len() as u64;
        job.versions.extend(version);
        job.usage.completion_tokens += u64::from(version.is_some());
        self.out.push(Action::Reply(Frame::Data {
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
        let Some(mut job) = self.jobs.remove(&attempt) else {
            return;
        };
        if let Phase::Running { since } = job.phase {
            self.record_service(now.since(since));
        }
        if job.dispatch.alone {
            self.suspicion.clear(job.dispatch.fingerprint);
        }
        job.versions.extend(versions);
        let (length, versions) = (job.passed, job.versions);
        let load = self.load();
        self.out.push(Action::Reply(Frame::End {
            attempt,
            length,
            versions,
            usage,
            load,
        }));
    }

    pub(super) fn take_broken(&mut self, now: Instant, attempt: id::Attempt, sent: bool) {
        let Some(job) = self.jobs.remove(&attempt) else {
            return;
        };
        if !sent {
            self.window.mark(now, attempt, Mark::NeverStarted);
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
            job.usage,
        );
    }

    /// The server is gone: what ran on it may have caused that.
    pub(super) fn lose_server(&mut self, now: Instant) {
        if !std::mem::replace(&mut self.is_up, false) {
            return;
        }
        self.crashes += 1;
        self.versions.clear();
        let crash = self.crashes;
        for (attempt, job) in std::mem::take(&mut self.jobs) {
            if job.is_running() {
                let (fingerprint, alone) = (job.dispatch.fingerprint, job.dispatch.alone);
                let host = self.settings.host.name.clone();
                self.suspicion
                    .record(now, fingerprint, (host, crash), alone);
                let failure = Failure {
                    reason: Reason::Crashed,
                    not_run: false,
                    crash: Some(crash),
                };
                self.fail(attempt, failure, job.usage);
            } else {
                self.refuse_job(now, attempt, Reason::ServerDown);
            }
        }
    }

    pub(super) fn expire_jobs(&mut self, now: Instant) {
        let due = self.jobs.iter().filter(|(_, job)| job.deadline <= now);
        let due: Vec<(id::Attempt, bool)> = due
            .map(|(attempt, job)| (*attempt, job.is_running()))
            .collect();
        for (attempt, is_running) in due {
            if is_running {
                self.cancel(attempt, Reason::Expired);
            } else {
                self.refuse_job(now, attempt, Reason::Expired);
            }
        }
    }
}
