//! Leases that are kept in the object that they protect.
//!
//! Taking a lease raises its fencing number, and every write of its holder is conditional on the
//! object's revision. A lease has lapsed when its object has stood still for [`LEASE`] by the
//! clock of whoever wants it, so no two clocks are ever compared.

use std::time::Duration;

use tamaracksail_model::id::{self, Fence};
use tamaracksail_model::plain;
use tamaracksail_model::time::Instant;

/// How long an object must stand still before another host takes its lease.
pub const LEASE: Duration = Duration::from_secs(10);

/// The time after which a holder writes even if nothing changed.
pub const RENEWAL: Duration = Duration::from_secs(3);

plain! {
    /// The lease as it is stored.
    #[derive(Default)]
    pub struct Stamp {
        /// Raised whenever the holder changes.
        pub fence: Fence,
        /// The holder; none if it was given back.
        pub owner: Option<id::Host>,
        /// The life of the holder's process.
        pub incarnation: id::Incarnation,
        /// Changes with every write, so that a renewal shows.
        pub writes: u64,
    }
}

plain! {
    /// A host that may hold a lease.
    pub struct Claimant {
        /// The host.
        pub host: id::Host,
        /// The life of its process.
        pub incarnation: id::Incarnation,
    }
}

/// Whether a host holds a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Nobody is known to hold it.
    Free,
    /// Another holds it; since when it stands still.
    Other {
        /// The writes that were counted then.
        writes: u64,
        /// Since when.
        since: Instant,
    },
    /// This host holds it under the number.
    Holder(Fence),
    /// Given up for good.
    Stopped,
}

impl Role {
    /// The role that a stored lease shows, after `self`.
    #[must_use]
    pub fn judge(self, now: Instant, stamp: &Stamp, own: &Claimant) -> Self {
        let is_ours =
            stamp.owner.as_ref() == Some(&own.host) && stamp.incarnation == own.incarnation;
        match self {
            Self::Stopped => Self::Stopped,
            _ if is_ours => Self::Holder(stamp.fence),
            _ if stamp.owner.is_none() => Self::Free,
            Self::Other { writes, since } if writes == stamp.writes => {
                Self::Other { writes, since }
            }
            _ => Self::Other {
                writes: stamp.writes,
                since: now,
            },
        }
    }

    /// Whether the lease may be taken now.
    #[must_use]
    pub fn may_take(self, now: Instant) -> bool {
        match self {
            Self::Free => true,
            Self::Other { since, .. } => now.since(since) >= LEASE,
            Self::Holder(_) | Self::Stopped => false,
        }
    }
}

impl Stamp {
    /// The stamp of the next write by `own`, under `fence`.
    #[must_use]
    pub fn next(&self, fence: Fence, own: &Claimant) -> Self {
        Self {
            fence,
            owner: Some(own.host.clone()),
            incarnation: own.incarnation,
            writes: self.writes + 1,
        }
    }

    /// The stamp with which the holder gives the lease back.
    #[must_use]
    pub fn given_back(&self) -> Self {
        Self {
            owner: None,
            writes: self.writes + 1,
            ..self.clone()
        }
    }
}
