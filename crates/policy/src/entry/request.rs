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

/// The phase of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The claim of its idempotency key has not been decided.
    Claiming,
    /// It waits for a server that has room.
    Waiting,
    /// At least one attempt is in flight.
    Running,
}

/// A request that has no final response yet.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) arrival: Arrival,
    pub(super) arrived: Instant,
    pub(super) phase: Phase,
    /// The nonce of its claim, if it has one.
    pub(super) nonce: Option<id::Nonce>,
    /// The attempts in flight.
    pub(super) in_flight: BTreeSet<id::Attempt>,
    /// The servers that were tried since the request last waited.
    pub(super) tried: BTreeSet<ServerKey>,
    pub(super) attempts: u32,
    /// Whether an attempt that got no complete response may have run.
    pub(super) may_have_run: bool,
    /// The latest problem.
    pub(super) problem: Option<Problem>,
    /// The attempt whose bytes are relayed to the caller.
    pub(super) relayed_attempt: Option<id::Attempt>,
    /// The number of bytes relayed so far.
    pub(super) relayed: u64,
    /// The model versions that produced the relayed bytes.
    pub(super) versions: BTreeSet<id::Version>,
    /// The tokens used by attempts before the relayed one.
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
    /// Returns the key under which the costs of this request's attempts are counted.
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
    /// Whether the attempt must run with no other on the server.
    pub(super) alone: bool,
    /// When the last frame arrived, or when the attempt was dispatched.
    pub(super) last_frame_at: Instant,
    pub(super) revoked: bool,
    /// Whether the attempt was already handled as stalled.
    pub(super) stalled: bool,
    /// The key under which its cost is counted, also after its request got a response.
    pub(super) cost_key: CostKey,
    /// The HTTP status and the headers of the response.
    pub(super) head: Option<(u16, Vec<Header>)>,
    /// The offset of the next frame in the response, which counts the bytes that earlier attempts
    /// delivered.
    pub(super) received: u64,
    pub(super) body: BytesMut,
    pub(super) versions: BTreeSet<id::Version>,
}

impl Attempt {
    /// Counts the bytes of a frame as received. Returns `false` if they are not the next ones.
    pub(super) fn accept(&mut self, offset: u64, bytes: &Bytes) -> bool {
        if self.head.is_none() || offset != self.received {
            return false;
        }
        self.received += bytes.len() as u64;
        true
    }
}
