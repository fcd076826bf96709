//! The state of a request and of its attempts.

use std::collections::BTreeSet;

use bytes::{Bytes, BytesMut};
use tamaracksail_model::id;
use tamaracksail_model::time::Instant;
use tamaracksail_wire::{Header, Usage};

use super::action::Problem;
use crate::connection::view::ServerKey;
use crate::process::cost::{CostKey, Disposition};
use crate::request::arrival::{Arrival, Target};

/// Where a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Its claim is not decided.
    Claiming,
    /// No server has room.
    Waiting,
    /// At least one attempt is in flight.
    Running,
}

/// A request that has no final answer yet.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) arrival: Arrival,
    pub(super) arrived: Instant,
    pub(super) phase: Phase,
    /// The nonce of its claim, if it has one.
    pub(super) nonce: Option<id::Nonce>,
    /// The attempts in flight.
    pub(super) in_flight: BTreeSet<id::Attempt>,
    /// Servers that were tried since the request last waited.
    pub(super) tried: BTreeSet<ServerKey>,
    pub(super) attempts: u32,
    /// Whether an attempt may have run without a whole answer.
    pub(super) may_have_run: bool,
    /// The latest thing that went wrong.
    pub(super) problem: Option<Problem>,
    /// The attempt whose bytes are relayed.
    pub(super) relayed_attempt: Option<id::Attempt>,
    /// Bytes relayed so far.
    pub(super) relayed: u64,
    /// The versions of the relayed bytes.
    pub(super) versions: BTreeSet<id::Version>,
    /// What attempts before the relayed one cost and delivered.
    pub(super) usage: Usage,
}

impl Request {
    pub(super) fn new(now: Instant, arrival: Arrival) -> Self {
        Self {
            arrival,
            arrived: now,
            phase: Phase::Waiting,
            nonce: None,
            in_flight: BTreeSet::new(),
            tried: BTreeSet::new(),
            attempts: 0,
            may_have_run: false,
            problem: None,
            relayed_attempt: None,
            relayed: 0,
            versions: BTreeSet::new(),
            usage: Usage::default(),
        }
    }
}

impl Request {
    /// What an attempt of this request is counted by.
    pub(super) fn cost_key(&self) -> CostKey {
        let (Target::Model(target) | Target::Service(target)) = &self.arrival.target;
        CostKey {
            caller: self.arrival.caller.clone(),
            target: target.clone(),
            class: self.arrival.class,
            disposition: Disposition::Delivered,
        }
    }
}

/// An attempt in flight.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) request: id::Request,
    pub(super) server: ServerKey,
    pub(super) host: id::Host,
    pub(super) agent: id::Incarnation,
    pub(super) alone: bool,
    pub(super) last_frame_at: Instant,
    pub(super) revoked: bool,
    /// Whether a further attempt was considered since it fell silent.
    pub(super) stalled: bool,
    /// What its cost is counted by, even after its request was answered.
    pub(super) cost_key: CostKey,
    pub(super) head: Option<(u16, Vec<Header>)>,
    /// Bytes of the answer before the next frame, those of earlier attempts included.
    pub(super) received: u64,
    pub(super) body: BytesMut,
    pub(super) versions: BTreeSet<id::Version>,
}

impl Attempt {
    /// Takes the bytes of a frame; `false` if they are not the next ones.
    pub(super) fn accept(&mut self, offset: u64, bytes: &Bytes) -> bool {
        if self.head.is_none() || offset != self.received {
            return false;
        }
        self.received += bytes.len() as u64;
        true
    }
}
