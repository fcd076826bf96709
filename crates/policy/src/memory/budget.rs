//! One budget of bytes for all that a process holds for clients, servers and peers.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::reservation::Reservation;

/// The memory of a process at rest, with its code, connections and configuration, in bytes. 15 MB
/// were measured with one trainer; the rest is for heads, sockets and the allocator's overhead.
const AT_REST_BYTES: u64 = 24 << 20;

/// The part of the memory that other bounds cover: result logs may use a quarter.
const OTHER_DIVISOR: u64 = 4;

/// The least budget, as a part of the memory.
const LEAST_DIVISOR: u64 = 8;

/// The part of the budget that is kept for responses and messages of peers, so that work that has
/// begun can end while new bodies fill the rest.
const KEPT_DIVISOR: u64 = 8;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Use {
    /// The body of a client's request.
    Request,
    /// The body of a batch.
    Batch,
    /// A response, or a part of one, on its way to a client.
    Response,
    /// A message of a peer.
    Peer,
}

impl Use {
    /// Returns the name for metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Batch => "batch",
            Self::Response => "response",
            Self::Peer => "peer",
        }
    }

    /// Whether it is work that has begun, or that other processes wait for.
    fn is_begun(self) -> bool {
        matches!(self, Self::Response | Self::Peer)
    }
}

/// The bytes do not fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{asked} bytes do not fit: {used} of {limit} are used, {own} by the account")]
pub struct Exhausted {
    /// The bytes that were asked for.
    pub asked: u64,
    /// The bytes in use.
    pub used: u64,
    /// The bytes in use by the account.
    pub own: u64,
    /// The size of the budget.
    pub limit: u64,
}

#[derive(Debug)]
pub(super) struct State {
    limit: u64,
    used: u64,
    by_use: BTreeMap<Use, u64>,
    by_account: BTreeMap<String, u64>,
}

/// One budget of bytes. Clones share it.
#[derive(Clone, Debug)]
pub struct Budget(Arc<Mutex<State>>);

impl Budget {
    /// Returns the budget of a process that may use `memory_bytes`.
    #[must_use]
    pub fn of_process(memory_bytes: u64) -> Self {
        Self::new(Self::part_of(memory_bytes))
    }

    /// Returns a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: u64) -> Self {
        Self(Arc::new(Mutex::new(State {
            limit,
            used: 0,
            by_use: BTreeMap::new(),
            by_account: BTreeMap::new(),
        })))
    }

    /// Returns the part of a process's memory that its budget has.
    fn part_of(memory_bytes: u64) -> u64 {
        let others = AT_REST_BYTES + memory_bytes / OTHER_DIVISOR;
        let rest = memory_bytes.saturating_sub(others);
        rest.max(memory_bytes / LEAST_DIVISOR)
    }

    /// Reserves bytes for an account, or for requests without one.
    ///
    /// An account that holds some already may hold up to half of what the others leave, so that one
    /// account cannot keep the others from being served. Requests without an account share what is
    /// there.
    ///
    /// # Errors
    /// If the bytes do not fit.
    pub fn reserve(
        &self,
        kind: Use,
        account: Option<&str>,
        bytes: u64,
    ) -> Result<Reservation, Exhausted> {
        let mut reservation = Reservation::new(self.clone(), kind, account.map(str::to_owned));
        reservation.grow_to(bytes)?;
        Ok(reservation)
    }

    /// Counts bytes that are in memory already, whether they fit or not.
    #[must_use]
    pub fn count(&self, kind: Use, account: Option<&str>, bytes: u64) -> Reservation {
        let mut reservation = Reservation::new(self.clone(), kind, account.map(str::to_owned));
        reservation.count_to(bytes);
        reservation
    }

    /// Whether more than half of the budget is in use, so that buffers are kept small.
    #[must_use]
    pub fn is_tight(&self) -> bool {
        let state = self.state();
        state.used > state.limit / 2
    }

    /// Returns the bytes in use.
    #[must_use]
    pub fn used(&self) -> u64 {
        self.state().used
    }

    /// Returns the bytes in use for one purpose.
    #[must_use]
    pub fn used_for(&self, kind: Use) -> u64 {
        self.state().by_use.get(&kind).copied().unwrap_or_default()
    }

    /// Returns the bytes that an account uses.
    #[must_use]
    pub fn used_by(&self, account: &str) -> u64 {
        let state = self.state();
        state.by_account.get(account).copied().unwrap_or_default()
    }

    /// Returns the size of the budget.
    #[must_use]
    pub fn limit(&self) -> u64 {
        self.state().limit
    }

    /// Applies another memory limit of the process. Reservations stay valid.
    pub fn set_process_limit(&self, memory_bytes: u64) {
        self.state().limit = Self::part_of(memory_bytes);
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        // Each change is complete before the lock is released, also if its holder panics.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns an error if `more` bytes do not fit beside what is used.
    pub(super) fn check(
        &self,
        kind: Use,
        account: Option<&str>,
        more: u64,
    ) -> Result<(), Exhausted> {
        let own = account.and_then(|account| self.by_account.get(account));
        let own = own.copied().unwrap_or_default();
        let kept = if kind.is_begun() {
            0
        } else {
            self.limit / KEPT_DIVISOR
        };
        let fits = self.used.saturating_add(more) <= self.limit - kept;
        let others = self.used - own;
        let half = self.limit.saturating_sub(others) / 2;
        let is_fair = own == 0 || kind.is_begun() || own.saturating_add(more) <= half;
        if fits && is_fair {
            return Ok(());
        }
        Err(Exhausted {
            asked: more,
            used: self.used,
            own,
            limit: self.limit,
        })
    }

    /// Changes what is used from `before` to `after` bytes.
    pub(super) fn change(&mut self, kind: Use, account: Option<&str>, before: u64, after: u64) {
        let change = |used: u64| (used - before) + after;
        self.used = change(self.used);
        let for_use = self.by_use.entry(kind).or_default();
        *for_use = change(*for_use);
        let Some(account) = account else {
            return;
        };
        if let Some(own) = self.by_account.get_mut(account) {
            *own = change(*own);
            if *own == 0 {
                self.by_account.remove(account);
            }
        } else if after > 0 {
            self.by_account.insert(account.to_owned(), after);
        }
    }
}
