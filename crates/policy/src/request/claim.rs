//! Claims: a keyed request runs only after its claim stands in the platform.
//!
//! Claims live in shard objects. All claims that wait while a shard's write is under way go out
//! with the next one, so writes are bounded by round trips and not by requests.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_with::base64::Base64;
use tamaracksail_model::id::{self, Nonce, Revision};
use tamaracksail_model::plain;
use tamaracksail_model::time::Instant;
use tamaracksail_wire::Header;

use crate::store::{self, Answer, Call, Op, Reply, Ticket, Tickets};

/// Shard objects. More shards conflict less often; fewer batch better.
const SHARDS: u64 = 64;

/// How long a claim is kept.
pub const RETENTION: Duration = Duration::from_hours(24);

/// The largest answer that is kept with its claim, in bytes.
const MAX_KEPT_BYTES: usize = 4096;

/// How long a shard is left alone after a call to the platform was lost.
const BACKOFF: Duration = Duration::from_millis(500);

plain! {
    /// An answer kept for the caller's repeat.
    #[serde_as]
    pub struct Kept {
        /// The HTTP status.
        pub status: u16,
        /// The headers.
        pub headers: Vec<Header>,
        /// The body; none if it was too large to keep.
        #[serde_as(as = "Option<Base64>")]
        pub body: Option<Vec<u8>>,
    }
}

plain! {
    /// The state of a claim.
    #[serde(rename_all = "kebab-case")]
    pub enum State {
        /// It runs, or its entry was lost.
        Claimed,
        /// It ran.
        Done(Kept),
        /// It may have run.
        Unknown,
    }
}

plain! {
    struct Record {
        nonce: Nonce,
        until: Instant,
        at: Instant,
        state: State,
    }
}

plain! {
    #[derive(Default)]
    struct Shard {
        records: BTreeMap<String, Record>,
    }
}

/// What a claim came to.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The claim is ours: run it.
    Won,
    /// It ran before; the answer.
    Kept(Kept),
    /// It runs elsewhere, at most until the instant.
    Running(Instant),
    /// It may have run and will not be run again.
    Unknown,
    /// The platform did not confirm the claim, so this entry will not run it.
    Unavailable,
}

/// A request that wants its claim.
#[derive(Clone, Debug)]
pub(crate) struct Wish {
    /// The request.
    pub(crate) request: id::Request,
    /// The name of the claim.
    pub(crate) name: String,
    /// By which the writer recognises its own claim.
    pub(crate) nonce: Nonce,
    /// When the request is over at the latest.
    pub(crate) until: Instant,
    /// Whether the request may not be repeated.
    pub(crate) once: bool,
}

/// How a claim ended: the nonce that it was written with and the state to record.
/// No state frees the name.
type End = (Nonce, Option<State>);

/// A call under way and, for a write, what it carries.
#[derive(Clone, Debug)]
struct Flight {
    write: Option<Write>,
}

#[derive(Clone, Debug)]
struct Write {
    shard: Shard,
    wanted: Vec<(String, Nonce)>,
    ends: BTreeMap<String, End>,
}

/// What is to be done for one shard.
#[derive(Clone, Debug, Default)]
struct Work {
    wanted: BTreeMap<String, Wish>,
    ends: BTreeMap<String, End>,
    flight: Option<Flight>,
    known: Option<(Revision, Shard)>,
    retry_at: Option<Instant>,
}

/// The claims of one entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct Claims {
    shards: BTreeMap<u64, Work>,
    tickets: BTreeMap<Ticket, u64>,
}

/// Decisions and calls that follow from an event.
#[derive(Debug, Default)]
pub(crate) struct Step {
    pub(crate) decisions: Vec<(id::Request, Decision)>,
    pub(crate) calls: Vec<Call>,
}

/// The name under which a caller's key is claimed.
#[must_use]
pub fn name(caller: &id::Caller, key: &str) -> String {
    format!("{caller}/{key}")
}

fn shard_of(name: &str) -> u64 {
    id::fingerprint(name.as_bytes()).0 % SHARDS
}

impl Claims {
    /// Asks for a claim. During the back-off after a lost call the answer is at once
    /// [`Decision::Unavailable`].
    pub(crate) fn want(&mut self, now: Instant, tickets: &mut Tickets, wish: Wish) -> Step {
        let shard = shard_of(&wish.name);
        let work = self.shards.entry(shard).or_default();
        let refusal = if let Some(other) = work.wanted.get(&wish.name) {
            Some(Decision::Running(other.until))
        } else if work.retry_at.is_some_and(|at| now < at) {
            Some(Decision::Unavailable)
        } else {
            None
        };
        if let Some(refusal) = refusal {
            return Step {
                decisions: vec![(wish.request, refusal)],
                calls: Vec::new(),
            };
        }
        // What another entry had not ended when the shard was read may have ended since.
        let is_open = work.known.as_ref().is_some_and(|(_, known)| {
            let record = known.records.get(&wish.name);
            record.is_some_and(|record| !matches!(record.state, State::Done(_)))
        });
        if is_open && work.flight.is_none() {
            work.known = None;
        }
        work.wanted.insert(wish.name.clone(), wish);
        self.start(now, tickets, shard)
    }

    /// Records how a claim ended; no state frees it, since the request did not run.
    pub(crate) fn settle(
        &mut self,
        now: Instant,
        tickets: &mut Tickets,
        name: &str,
        end: (Nonce, Option<State>),
    ) -> Step {
        let shard = shard_of(name);
        let work = self.shards.entry(shard).or_default();
        work.ends
            .insert(name.to_owned(), (end.0, end.1.map(limit_size)));
        self.start(now, tickets, shard)
    }

    /// Gives up a claim whose request has been answered; it is freed if it was written.
    pub(crate) fn abandon(&mut self, name: &str, nonce: Nonce) {
        let Some(work) = self.shards.get_mut(&shard_of(name)) else {
            return;
        };
        if work
            .wanted
            .get(name)
            .is_some_and(|wish| wish.nonce == nonce)
        {
            work.wanted.remove(name);
            work.ends.insert(name.to_owned(), (nonce, None));
        }
    }

    /// Whether nothing is left to write.
    pub(crate) fn is_idle(&self) -> bool {
        self.shards
            .values()
            .all(|work| work.wanted.is_empty() && work.ends.is_empty())
    }

    /// Starts the calls whose back-off is over.
    pub(crate) fn tick(&mut self, now: Instant, tickets: &mut Tickets) -> Step {
        let shards: Vec<u64> = self.shards.keys().copied().collect();
        let mut step = Step::default();
        for shard in shards {
            step.append(self.start(now, tickets, shard));
        }
        step
    }

    /// Decides what the known shard answers, and starts the next call if one is due.
    ///
    /// Invariant: a claim is written only over a shard that was asked for it first, so that
    /// one's own known shard protects a claim as well as another entry's write does.
    fn start(&mut self, now: Instant, tickets: &mut Tickets, shard: u64) -> Step {
        let mut step = Step::default();
        let Some(work) = self.shards.get_mut(&shard) else {
            return step;
        };
        let is_waiting = work.retry_at.is_some_and(|at| now < at);
        if work.flight.is_some() || is_waiting {
            return step;
        }
        decide(now, work, &mut step.decisions);
        if work.wanted.is_empty() && work.ends.is_empty() {
            return step;
        }
        let ticket = tickets.issue();
        let (op, write) = match &work.known {
            None => (Op::Get, None),
            Some((revision, known)) => {
                let write = next_write(now, work, known);
                let value = store::encode(&write.shard);
                let revision = *revision;
                (Op::Put { revision, value }, Some(write))
            }
        };
        work.flight = Some(Flight { write });
        self.tickets.insert(ticket, shard);
        let key = format!("claims/{shard:02}");
        step.calls.push(Call { ticket, key, op });
        step
    }

    /// Takes a reply. `None`: it does not belong to a claim.
    pub(crate) fn reply(
        &mut self,
        now: Instant,
        tickets: &mut Tickets,
        reply: &Reply,
    ) -> Option<Step> {
        let shard = self.tickets.remove(&reply.ticket)?;
        let work = self.shards.get_mut(&shard)?;
        let flight = work.flight.take()?;
        let mut step = Step::default();
        match &reply.answer {
            Answer::Value { revision, value } => {
                work.known = store::decode("claims", value)
                    .ok()
                    .map(|shard| (*revision, shard));
                if work.known.is_none() {
                    give_up(now, work, &mut step.decisions);
                }
            }
            Answer::Missing => work.known = Some((Revision(0), Shard::default())),
            Answer::Written { revision } => {
                if let Some(write) = flight.write {
                    commit(work, *revision, write, &mut step.decisions);
                }
            }
            Answer::Conflict => work.known = None,
            // A write may stand: read it back and look for one's own nonce.
            Answer::Lost if flight.write.is_some() => work.known = None,
            Answer::Lost => give_up(now, work, &mut step.decisions),
        }
        step.append(self.start(now, tickets, shard));
        Some(step)
    }
}

impl Step {
    fn append(&mut self, other: Self) {
        self.decisions.extend(other.decisions);
        self.calls.extend(other.calls);
    }
}

/// The next write: the wanted claims and the ends, without outdated records.
fn next_write(now: Instant, work: &Work, known: &Shard) -> Write {
    let mut shard = known.clone();
    shard
        .records
        .retain(|_, record| now.since(record.at) < RETENTION);
    for (name, (nonce, state)) in &work.ends {
        let ours = shard
            .records
            .get_mut(name)
            .filter(|record| record.nonce == *nonce);
        match (ours, state) {
            (Some(record), Some(state)) => record.state = state.clone(),
            (Some(_), None) => drop(shard.records.remove(name)),
            (None, _) => {}
        }
    }
    for (name, wish) in &work.wanted {
        let record = Record {
            nonce: wish.nonce,
            until: wish.until,
            at: now,
            state: State::Claimed,
        };
        shard.records.insert(name.clone(), record);
    }
    let wanted = work
        .wanted
        .iter()
        .map(|(name, wish)| (name.clone(), wish.nonce))
        .collect();
    Write {
        shard,
        wanted,
        ends: work.ends.clone(),
    }
}

/// Decides the wanted claims that the known shard already answers, and drops the ends that
/// need no write: recorded already, or of a claim that is not there.
fn decide(now: Instant, work: &mut Work, decisions: &mut Vec<(id::Request, Decision)>) {
    let Some((_, known)) = &work.known else {
        return;
    };
    let is_full = store::encode(known).len() > store::MAX_VALUE_BYTES * 9 / 10;
    work.wanted.retain(|name, wish| {
        let found = known
            .records
            .get(name)
            .filter(|record| now.since(record.at) < RETENTION);
        let decision = match found {
            Some(record) if record.nonce == wish.nonce => Decision::Won,
            Some(record) => match &record.state {
                State::Done(kept) => Decision::Kept(kept.clone()),
                State::Claimed if now < record.until => Decision::Running(record.until),
                // A repeatable request may run again once its first run is over.
                _ if !wish.once => return true,
                State::Claimed | State::Unknown => Decision::Unknown,
            },
            None if is_full => Decision::Unavailable,
            None => return true,
        };
        decisions.push((wish.request, decision));
        false
    });
    work.ends.retain(|name, (nonce, state)| {
        let ours = known
            .records
            .get(name)
            .filter(|record| record.nonce == *nonce);
        ours.is_some_and(|record| state.as_ref() != Some(&record.state))
    });
}

/// A write took effect: what it carried stands, what came since is still to be written.
fn commit(
    work: &mut Work,
    revision: Revision,
    write: Write,
    decisions: &mut Vec<(id::Request, Decision)>,
) {
    for (name, nonce) in write.wanted {
        if work
            .wanted
            .get(&name)
            .is_some_and(|wish| wish.nonce == nonce)
            && let Some(wish) = work.wanted.remove(&name)
        {
            decisions.push((wish.request, Decision::Won));
        }
    }
    work.ends
        .retain(|name, end| write.ends.get(name) != Some(end));
    work.known = Some((revision, write.shard));
}

/// The platform does not answer: refuses what waits, and frees it later if it was written.
fn give_up(now: Instant, work: &mut Work, decisions: &mut Vec<(id::Request, Decision)>) {
    work.known = None;
    work.retry_at = Some(now.after(BACKOFF));
    for (name, wish) in std::mem::take(&mut work.wanted) {
        work.ends.insert(name, (wish.nonce, None));
        decisions.push((wish.request, Decision::Unavailable));
    }
}

fn limit_size(state: State) -> State {
    match state {
        State::Done(kept) if kept.body.as_ref().is_some_and(|b| b.len() > MAX_KEPT_BYTES) => {
            State::Done(Kept { body: None, ..kept })
        }
        state => state,
    }
}
