//! Exchange of counts with other gateways.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tamaracksail_model::time::Instant;
use tamaracksail_policy::duty::Member;
use tamaracksail_wire::peer::{Reporter, Request as PeerRequest, Response as PeerResponse};

use super::state::Usage;
use crate::gateway::now;
use crate::peer;

/// The least time between two messages with counts to a peer. A killed gateway loses the counts of at
/// most this time.
const PUSH_INTERVAL: Duration = Duration::from_millis(300);

/// The time between two questions to a peer whether its process runs, or who reports.
const HELLO_INTERVAL: Duration = Duration::from_millis(500);

/// The time limit on a message. A peer responds in milliseconds.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(800);

/// How long a peer that did not respond gets no counts.
const FAILURE_BACKOFF: Duration = Duration::from_secs(3);

/// What is known of another gateway.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peer {
    /// The incarnation of its process.
    incarnation: Option<u64>,
    /// The revision of this process's counts that it has.
    acknowledged: u64,
    is_in_flight: bool,
    sent_at: Option<Instant>,
    failed_at: Option<Instant>,
}

impl Peer {
    /// Whether the peer did not respond lately.
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        self.failed_at
            .is_some_and(|at| now.since(at) < FAILURE_BACKOFF)
    }
}

impl Usage {
    /// Whether a peer did not respond lately.
    pub(super) fn is_unresponsive(&self, now: Instant, address: SocketAddr) -> bool {
        let peers = self.peers.borrow();
        let peer = peers.get(&address);
        peer.is_some_and(|peer| peer.is_unresponsive(now))
    }

    /// Sends changed counts to the reporter and a deputy. While no reporter is known, asks for it.
    pub(super) fn push(self: &Rc<Self>, now: Instant, ranked: &[Member]) {
        let reporter = self.reporter().map(|reporter| reporter.address);
        let is_usable = |address: &SocketAddr| {
            *address != self.own.address && !self.is_unresponsive(now, *address)
        };
        let others = ranked.iter().map(|member| member.address);
        let others = others.filter(|address| Some(*address) != reporter);
        let targets = reporter.into_iter().chain(others).filter(is_usable);
        let count = if reporter == Some(self.own.address) {
            1
        } else {
            2
        };
        let targets: Vec<SocketAddr> = targets.take(count).collect();
        let revision = self.counter.borrow().revision();
        for target in targets {
            let mut peers = self.peers.borrow_mut();
            let peer = peers.entry(target).or_default();
            let age = peer.sent_at.map_or(Duration::MAX, |at| now.since(at));
            let is_due = if revision > peer.acknowledged {
                age >= PUSH_INTERVAL
            } else {
                reporter.is_none() && age >= HELLO_INTERVAL
            };
            if is_due && !peer.is_in_flight {
                peer.is_in_flight = true;
                peer.sent_at = Some(now);
                actix_rt::spawn(Rc::clone(self).send_counts(target, peer.acknowledged));
            }
        }
    }

    async fn send_counts(self: Rc<Self>, target: SocketAddr, acknowledged: u64) {
        let (revision, reports) = {
            let counter = self.counter.borrow();
            (counter.revision(), counter.changed_since(acknowledged))
        };
        let is_received = self.send(target, reports).await;
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(target).or_default();
        peer.is_in_flight = false;
        if is_received {
            peer.acknowledged = peer.acknowledged.max(revision);
        }
    }

    /// Sends counts. Returns whether a process has them from now on that has all earlier ones too.
    async fn send(
        &self,
        target: SocketAddr,
        reports: Vec<tamaracksail_model::usage::Report>,
    ) -> bool {
        let request = PeerRequest::Usage {
            incarnation: self.own.incarnation,
            reports,
        };
        let response =
            peer::call_with(&self.connections.http, target, &request, MESSAGE_TIMEOUT).await;
        let error = match response {
            Ok(PeerResponse::Usage {
                incarnation,
                reporter,
            }) => return self.record_response(target, incarnation, reporter),
            Ok(other) => format!("unexpected response {other:?}"),
            Err(error) => {
                if let peer::Error::NotListening(_) = error {
                    self.record_gone(target, None);
                }
                error.to_string()
            }
        };
        log::info!(peer:% = target, error; "usage counts not sent");
        let mut peers = self.peers.borrow_mut();
        peers.entry(target).or_default().failed_at = Some(now());
        false
    }

    /// Records the response of a process. Returns whether it has responded before; a new process at the
    /// address has nothing of what the one before it got.
    fn record_response(
        &self,
        target: SocketAddr,
        incarnation: u64,
        reporter: Option<Reporter>,
    ) -> bool {
        if let Some(reporter) = reporter {
            self.adopt_reporter(reporter);
        }
        self.record_gone(target, Some(incarnation));
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(target).or_default();
        peer.failed_at = None;
        let before = peer.incarnation.replace(incarnation);
        let is_same = before.is_none_or(|before| before == incarnation);
        if !is_same {
            peer.acknowledged = 0;
        }
        is_same
    }

    /// Records that the holder's process is gone if it was the one at an address where now none, or the
    /// one with `incarnation`, responds.
    fn record_gone(&self, address: SocketAddr, incarnation: Option<u64>) {
        let mut duty = self.duty.borrow_mut();
        let gone = duty.record().filter(|record| {
            record.holder.address == address && Some(record.holder.incarnation) != incarnation
        });
        if let Some(fence) = gone.map(|record| record.fence) {
            duty.record_gone(now(), fence);
        }
    }

    /// Asks the holder whether its process runs.
    pub(super) fn check_holder(self: &Rc<Self>, now: Instant) {
        let holder = {
            let duty = self.duty.borrow();
            let record = duty.record().filter(|_| !duty.is_holder());
            record.map(|record| record.holder.address)
        };
        let Some(holder) = holder.filter(|holder| *holder != self.own.address) else {
            return;
        };
        if now.since(self.holder_checked_at.get()) < HELLO_INTERVAL {
            return;
        }
        self.holder_checked_at.set(now);
        let usage = Rc::clone(self);
        actix_rt::spawn(async move {
            usage.send(holder, Vec::new()).await;
        });
    }

    /// Tells all members that this process reports, and merges the counts that they know.
    pub(super) fn pull(self: &Rc<Self>, members: &[Member], reporter: &Reporter) {
        let from = self.duty.borrow().record().map(|record| record.next);
        for member in members.iter().filter(|member| member.host != self.own.host) {
            let (usage, address) = (Rc::clone(self), member.address);
            let request = PeerRequest::PullUsage {
                reporter: reporter.clone(),
                from: from.unwrap_or_default(),
            };
            actix_rt::spawn(async move {
                let http = &usage.connections.http;
                match peer::call_with(http, address, &request, MESSAGE_TIMEOUT).await {
                    Ok(PeerResponse::UsageCounts { processes }) => {
                        for process in processes {
                            usage.merge(process.incarnation, &process.reports);
                        }
                    }
                    Ok(other) => {
                        log::warn!(peer:% = address, response:? = other; "usage counts not read");
                    }
                    Err(error) => {
                        log::info!(peer:% = address, error:%; "usage counts not read");
                    }
                }
            });
        }
    }
}
