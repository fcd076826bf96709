//! Claims: a request with an idempotency key runs only after its claim was written to the
//! platform's store.
//!
//! Claims are stored in shard objects. All claims that arrive while a write of their shard is in
//! progress are written together by the next one, so the number of writes is bounded by round
//! trips and not by requests.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_with::base64::Base64;
use tamaracksail_model::id::{self, Nonce, Revision};
use tamaracksail_model::plain;
use tamaracksail_model::time::Instant;
use tamaracksail_wire::Header;

use crate::store::{self, Call, CallId, CallIds, CallResult, Op, Reply};

/// The number of shard objects. With more shards, writes conflict less often; with fewer, more
/// claims share a write.
const SHARDS: u64 = 64;

/// How long a claim is stored, from the time it was written.
pub const CLAIM_RETENTION: Duration = Duration::from_hours(24);

/// The largest body of a response that is saved with its claim.
const MAX_SAVED_BODY_BYTES: usize = 4096;

/// How long no calls are made for a shard after a call to the platform failed.
const STORE_BACKOFF: Duration = Duration::from_millis(500);

plain! {
    /// A response that is saved for a caller that repeats the request.
    #[serde_as]
    pub struct SavedResponse {
        /// The HTTP status.
        pub status: u16,
        /// The headers.
        pub headers: Vec<Header>,
        /// The body, or `None` if it was streamed or larger than `MAX_SAVED_BODY_BYTES`.
        #[serde_as(as = "Option<Base64>")]
        pub body: Option<Vec<u8>>,
    }
}

plain! {
    /// The state of a claim.
    #[serde(rename_all = "kebab-case")]
    pub enum State {
        /// The request is running, or its entry was lost.
        Claimed,
        /// The request ran and got this response.
        Done(SavedResponse),
        /// The request may have run.
        Unknown,
    }
}

plain! {
    /// A claim as it is stored.
    struct Record {
        /// Identifies the entry's attempt to claim the name.
        nonce: Nonce,
        /// The latest time at which the request ends.
        until: Instant,
        /// When the claim was written.
        at: Instant,
        state: State,
    }
}

plain! {
    /// The content of a shard object.
    #[derive(Default)]
    struct StoredShard {
        records: BTreeMap<String, Record>,
    }
}

/// Whether a request may run, by the state of its claim.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// This entry holds the claim and must run the request.
    Acquired,
    /// The request ran before and got this response.
    Completed(SavedResponse),
    /// Another request with the same key is running, at the latest until this instant.
    Running(Instant),
    /// The request may have run and must not run again.
    Unknown,
    /// The platform did not confirm the claim, so this entry does not hold it.
    Unavailable,
}

/// A claim that a request needs.
#[derive(Clone, Debug)]
pub(crate) struct ClaimRequest {
    /// The request.
    pub(crate) request: id::Request,
    /// The name of the claim.
    pub(crate) name: String,
    /// Identifies this claim, so that an entry recognises its own write when it reads it back.
    pub(crate) nonce: Nonce,
    /// The latest time at which the request ends.
    pub(crate) until: Instant,
    /// Whether the request may run at most once.
    pub(crate) once: bool,
}

/// How a claim ended: the nonce that it was written with, and the state to record. `None` removes
/// the claim.
type Settlement = (Nonce, Option<State>);

/// A call to the platform that is in progress: a read, or a write with its content.
#[derive(Clone, Debug)]
struct StoreCall {
    write: Option<Write>,
}

/// A write of a shard object, and the claims and settlements that are new in it.
#[derive(Clone, Debug)]
struct Write {
    shard: StoredShard,
    requested: Vec<(String, Nonce)>,
    settlements: BTreeMap<String, Settlement>,
}

/// The claims of one shard that are to be decided, written or settled.
#[derive(Clone, Debug, Default)]
struct PendingClaims {
    requested: BTreeMap<String, ClaimRequest>,
    settlements: BTreeMap<String, Settlement>,
    call: Option<StoreCall>,
    /// The shard as last read or written by this entry.
    cached: Option<(Revision, StoredShard)>,
    retry_at: Option<Instant>,
}

/// The claims of one entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct Claims {
    shards: BTreeMap<u64, PendingClaims>,
    call_ids: BTreeMap<CallId, u64>,
}

/// The decisions and calls that result from an event.
#[derive(Debug, Default)]
pub(crate) struct Effects {
    pub(crate) decisions: Vec<(id::Request, Decision)>,
    pub(crate) calls: Vec<Call>,
}

/// Returns the name of the claim for a caller's idempotency key.
#[must_use]
pub fn claim_name(caller: &id::Caller, key: &str) -> String {
    format!("{caller}/{key}")
}

fn shard_index(name: &str) -> u64 {
    id::fingerprint(name.as_bytes()).0 % SHARDS
}

impl Claims {
    /// Requests a claim. During the back-off after a failed call, the decision is immediately
    /// [`Decision::Unavailable`].
    pub(crate) fn acquire(
        &mut self,
        now: Instant,
        call_ids: &mut CallIds,
        claim: ClaimRequest,
    ) -> Effects {
        let shard = shard_index(&claim.name);
        let pending = self.shards.entry(shard).or_default();
        let refusal = if let Some(other) = pending.requested.get(&claim.name) {
            Some(Decision::Running(other.until))
        } else if pending.retry_at.is_some_and(|at| now < at) {
            Some(Decision::Unavailable)
        } else {
            None
        };
        if let Some(refusal) = refusal {
            return Effects {
                decisions: vec![(claim.request, refusal)],
                calls: Vec::new(),
            };
        }
        // If another entry had not settled the claim when the shard was read, it may have done so
        // since: the shard must be read again.
        let is_unsettled = pending.cached.as_ref().is_some_and(|(_, cached)| {
            let record = cached.records.get(&claim.name);
            record.is_some_and(|record| !matches!(record.state, State::Done(_)))
        });
        if is_unsettled && pending.call.is_none() {
            pending.cached = None;
        }
        pending.requested.insert(claim.name.clone(), claim);
        self.start(now, call_ids, shard)
    }

    /// Settles a claim: records its final state, or removes it if the request did not run.
    pub(crate) fn settle(
        &mut self,
        now: Instant,
        call_ids: &mut CallIds,
        name: &str,
        settlement: (Nonce, Option<State>),
    ) -> Effects {
        let shard = shard_index(name);
        let pending = self.shards.entry(shard).or_default();
        pending.settlements.insert(
            name.to_owned(),
            (settlement.0, settlement.1.map(drop_large_body)),
        );
        self.start(now, call_ids, shard)
    }

    /// Cancels a claim whose request was responded to before the claim was decided. If the claim
    /// was written, it is removed.
    pub(crate) fn abandon(&mut self, name: &str, nonce: Nonce) {
        let Some(pending) = self.shards.get_mut(&shard_index(name)) else {
            return;
        };
        if pending
            .requested
            .get(name)
            .is_some_and(|claim| claim.nonce == nonce)
        {
            pending.requested.remove(name);
            pending.settlements.insert(name.to_owned(), (nonce, None));
        }
    }

    /// Returns whether nothing is left to decide or write.
    pub(crate) fn is_idle(&self) -> bool {
        self.shards
            .values()
            .all(|pending| pending.requested.is_empty() && pending.settlements.is_empty())
    }

    /// Starts the calls whose back-off has ended.
    pub(crate) fn tick(&mut self, now: Instant, call_ids: &mut CallIds) -> Effects {
        let shards: Vec<u64> = self.shards.keys().copied().collect();
        let mut effects = Effects::default();
        for shard in shards {
            effects.append(self.start(now, call_ids, shard));
        }
        effects
    }

    /// Decides the claims that the cached shard has a record of, and starts the next call for the
    /// shard if one is needed.
    ///
    /// Invariant: a claim is written only if the cached shard has no record that forbids it. So a
    /// claim of this entry is respected like one of another entry, whose write would cause a
    /// conflict.
    fn start(&mut self, now: Instant, call_ids: &mut CallIds, shard: u64) -> Effects {
        let mut effects = Effects::default();
        let Some(pending) = self.shards.get_mut(&shard) else {
            return effects;
        };
        let is_backing_off = pending.retry_at.is_some_and(|at| now < at);
        if pending.call.is_some() || is_backing_off {
            return effects;
        }
        decide(now, pending, &mut effects.decisions);
        if pending.requested.is_empty() && pending.settlements.is_empty() {
            return effects;
        }
        let call_id = call_ids.issue();
        let (op, write) = match &pending.cached {
            None => (Op::Get, None),
            Some((revision, cached)) => {
                let write = next_write(now, pending, cached);
                let value = store::encode(&write.shard);
                let revision = *revision;
                (Op::Put { revision, value }, Some(write))
            }
        };
        pending.call = Some(StoreCall { write });
        self.call_ids.insert(call_id, shard);
        let key = format!("claims/{shard:02}");
        effects.calls.push(Call { call_id, key, op });
        effects
    }

    /// Handles the reply to a call. Returns `None` if the call was not made for a claim.
    pub(crate) fn reply(
        &mut self,
        now: Instant,
        call_ids: &mut CallIds,
        reply: &Reply,
    ) -> Option<Effects> {
        let shard = self.call_ids.remove(&reply.call_id)?;
        let pending = self.shards.get_mut(&shard)?;
        let call = pending.call.take()?;
        let mut effects = Effects::default();
        match &reply.result {
            CallResult::Value { revision, value } => {
                pending.cached = store::decode("claims", value)
                    .ok()
                    .map(|shard| (*revision, shard));
                if pending.cached.is_none() {
                    fail_requested(now, pending, &mut effects.decisions);
                }
            }
            CallResult::Missing => pending.cached = Some((Revision(0), StoredShard::default())),
            CallResult::Written { revision } => {
                if let Some(write) = call.write {
                    apply_write(pending, *revision, write, &mut effects.decisions);
                }
            }
            CallResult::Conflict => pending.cached = None,
            // The write may have taken effect: read the shard and look for the claims' nonces.
            CallResult::Lost if call.write.is_some() => pending.cached = None,
            CallResult::Lost => fail_requested(now, pending, &mut effects.decisions),
        }
        effects.append(self.start(now, call_ids, shard));
        Some(effects)
    }
}

impl Effects {
    fn append(&mut self, other: Self) {
        self.decisions.extend(other.decisions);
        self.calls.extend(other.calls);
    }
}

/// Returns the next write of a shard: the cached content without expired records, with the
/// requested claims and the settlements.
fn next_write(now: Instant, pending: &PendingClaims, cached: &StoredShard) -> Write {
    let mut shard = cached.clone();
    shard
        .records
        .retain(|_, record| now.since(record.at) < CLAIM_RETENTION);
    for (name, (nonce, state)) in &pending.settlements {
        let own = shard
            .records
            .get_mut(name)
            .filter(|record| record.nonce == *nonce);
        match (own, state) {
            (Some(record), Some(state)) => record.state = state.clone(),
            (Some(_), None) => drop(shard.records.remove(name)),
            (None, _) => {}
        }
    }
    for (name, claim) in &pending.requested {
        let record = Record {
            nonce: claim.nonce,
            until: claim.until,
            at: now,
            state: State::Claimed,
        };
        shard.records.insert(name.clone(), record);
    }
    let requested = pending
        .requested
        .iter()
        .map(|(name, claim)| (name.clone(), claim.nonce))
        .collect();
    Write {
        shard,
        requested,
        settlements: pending.settlements.clone(),
    }
}

/// Decides the requested claims that the cached shard has a record of. Drops the settlements that
/// need no write because they are already recorded or their claim is not stored.
fn decide(now: Instant, pending: &mut PendingClaims, decisions: &mut Vec<(id::Request, Decision)>) {
    let Some((_, cached)) = &pending.cached else {
        return;
    };
    let is_full = store::encode(cached).len() > store::MAX_VALUE_BYTES * 9 / 10;
    pending.requested.retain(|name, claim| {
        let found = cached
            .records
            .get(name)
            .filter(|record| now.since(record.at) < CLAIM_RETENTION);
        let decision = match found {
            Some(record) if record.nonce == claim.nonce => Decision::Acquired,
            Some(record) => match &record.state {
                State::Done(saved) => Decision::Completed(saved.clone()),
                State::Claimed if now < record.until => Decision::Running(record.until),
                // A repeatable request may run again once its first run has ended.
                _ if !claim.once => return true,
                State::Claimed | State::Unknown => Decision::Unknown,
            },
            None if is_full => Decision::Unavailable,
            None => return true,
        };
        decisions.push((claim.request, decision));
        false
    });
    pending.settlements.retain(|name, (nonce, state)| {
        let own = cached
            .records
            .get(name)
            .filter(|record| record.nonce == *nonce);
        own.is_some_and(|record| state.as_ref() != Some(&record.state))
    });
}

/// Handles a write that took effect. What was requested since the write began remains pending.
fn apply_write(
    pending: &mut PendingClaims,
    revision: Revision,
    write: Write,
    decisions: &mut Vec<(id::Request, Decision)>,
) {
    for (name, nonce) in write.requested {
        if pending
            .requested
            .get(&name)
            .is_some_and(|claim| claim.nonce == nonce)
            && let Some(claim) = pending.requested.remove(&name)
        {
            decisions.push((claim.request, Decision::Acquired));
        }
    }
    pending
        .settlements
        .retain(|name, settlement| write.settlements.get(name) != Some(settlement));
    pending.cached = Some((revision, write.shard));
}

/// Handles a store that does not respond: refuses the requested claims, and removes later those
/// that were written.
fn fail_requested(
    now: Instant,
    pending: &mut PendingClaims,
    decisions: &mut Vec<(id::Request, Decision)>,
) {
    pending.cached = None;
    pending.retry_at = Some(now.after(STORE_BACKOFF));
    for (name, claim) in std::mem::take(&mut pending.requested) {
        pending.settlements.insert(name, (claim.nonce, None));
        decisions.push((claim.request, Decision::Unavailable));
    }
}

/// Removes the body of a saved response if it is larger than [`MAX_SAVED_BODY_BYTES`].
fn drop_large_body(state: State) -> State {
    match state {
        State::Done(saved)
            if saved
                .body
                .as_ref()
                .is_some_and(|b| b.len() > MAX_SAVED_BODY_BYTES) =>
        {
            State::Done(SavedResponse {
                body: None,
                ..saved
            })
        }
        state => state,
    }
}
