//! Leases that are stored in the object they protect.
//!
//! Acquiring a lease raises its fencing token, and every write of its holder is conditional on
//! the object's revision. A lease has expired once its object has not changed for
//! [`LEASE_DURATION`] by the clock of the host that wants it, so clocks of two hosts are never
//! compared.

use std::time::Duration;

use tamaracksail_model::id::{self, Fence};
use tamaracksail_model::plain;
use tamaracksail_model::time::Instant;

/// How long an object must stay unchanged before another host may acquire its lease.
pub const LEASE_DURATION: Duration = Duration::from_secs(10);

/// The time after its last write at which a holder writes again even if nothing changed.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);

plain! {
    /// The lease as stored in the object.
    #[derive(Default)]
    pub struct LeaseRecord {
        /// The fencing token, raised whenever the holder changes.
        pub fence: Fence,
        /// The holder; `None` if the lease was released.
        pub owner: Option<id::Host>,
        /// The incarnation of the holder's process.
        pub incarnation: id::Incarnation,
        /// The number of writes so far, so that a renewal is visible as a change.
        pub writes: u64,
    }
}

plain! {
    /// A process that may hold a lease.
    pub struct Claimant {
        /// Its host.
        pub host: id::Host,
        /// Its incarnation.
        pub incarnation: id::Incarnation,
    }
}

/// The state of a lease as one host sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// No host is known to hold it.
    Free,
    /// Another host holds it.
    HeldByOther {
        /// The write count last seen.
        writes: u64,
        /// When that count was first seen.
        since: Instant,
    },
    /// This host holds it with this fencing token.
    Held(Fence),
    /// This host has released the lease and does not acquire it again.
    Stopped,
}

impl LeaseState {
    /// Returns the state that follows `self` once `record` has been read or written.
    #[must_use]
    pub fn observe(self, now: Instant, record: &LeaseRecord, own: &Claimant) -> Self {
        let is_ours =
            record.owner.as_ref() == Some(&own.host) && record.incarnation == own.incarnation;
        match self {
            Self::Stopped => Self::Stopped,
            _ if is_ours => Self::Held(record.fence),
            _ if record.owner.is_none() => Self::Free,
            Self::HeldByOther { writes, since } if writes == record.writes => {
                Self::HeldByOther { writes, since }
            }
            _ => Self::HeldByOther {
                writes: record.writes,
                since: now,
            },
        }
    }

    /// Returns whether this host may try to acquire the lease now.
    #[must_use]
    pub fn can_acquire(self, now: Instant) -> bool {
        match self {
            Self::Free => true,
            Self::HeldByOther { since, .. } => now.since(since) >= LEASE_DURATION,
            Self::Held(_) | Self::Stopped => false,
        }
    }
}

impl LeaseRecord {
    /// Returns the record for the next write by `own` with the token `fence`.
    #[must_use]
    pub fn next(&self, fence: Fence, own: &Claimant) -> Self {
        Self {
            fence,
            owner: Some(own.host.clone()),
            incarnation: own.incarnation,
            writes: self.writes + 1,
        }
    }

    /// Returns the record with which the holder releases the lease.
    #[must_use]
    pub fn released(&self) -> Self {
        Self {
            owner: None,
            writes: self.writes + 1,
            ..self.clone()
        }
    }
}
