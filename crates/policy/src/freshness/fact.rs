use std::time::Duration;

use super::Bounds;

/// A kind of facts that the store holds and this process watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fact {
    /// The routes and services.
    Routes,
    /// The registrations of backend servers.
    Servers,
    /// The batches and their ends.
    Batches,
    /// The versions of weights that trainers announce.
    Versions,
    /// The contents of requests under which servers ended.
    Suspects,
    /// The request limits of servers.
    Limits,
    /// The software versions of servers.
    Software,
    /// The holder of a duty.
    Duties,
    /// The registrations of gateways.
    Gateways,
    /// The operator's requests to retire a host.
    Retirements,
}

/// What a process does about a fact whose age exceeds its bound, besides asking the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overdue {
    /// It goes on with what it knows: callers do not lose service because the store is down.
    UseLast,
    /// As before, and it asks other gateways if these exchange the fact.
    AskGateways,
}

impl Fact {
    /// Returns the bound on the age of the fact while the store is undisturbed.
    ///
    /// It is no longer than the time that the fact has to take effect: a watch may be dead although nothing
    /// was changed while it died, and then only the next read brings a change.
    #[must_use]
    pub fn bound(self, bounds: &Bounds) -> Duration {
        match self {
            Self::Routes | Self::Versions => bounds.configuration.min(bounds.stable),
            Self::Servers => bounds.drain.min(bounds.stable),
            Self::Batches => bounds.cancel.min(bounds.stable),
            Self::Suspects | Self::Software => bounds.stable,
            // Gateways that do not respond are noticed sooner by calls to them, and limits by responses of
            // the servers and permits of the lease holder. The operator allows several seconds for a
            // retirement, and any gateway may complete it. A duty is acquired and kept by conditional
            // writes, which fail if the holder is another.
            Self::Gateways | Self::Limits | Self::Retirements | Self::Duties => bounds.stable * 2,
        }
    }

    /// Returns what the process does while the age exceeds the bound.
    ///
    /// Requests are checked further by the server that gets them (`Servers`), and a process that schedules
    /// loses its lease if it does not reach the store (`Batches`, `Versions`).
    #[must_use]
    pub fn when_overdue(self) -> Overdue {
        match self {
            Self::Routes => Overdue::AskGateways,
            Self::Servers
            | Self::Batches
            | Self::Versions
            | Self::Suspects
            | Self::Limits
            | Self::Software
            | Self::Duties
            | Self::Gateways
            | Self::Retirements => Overdue::UseLast,
        }
    }

    /// Returns the share of the bound after which the fact is read sooner than others are. Each process
    /// watches the routes, so one read of them serves all facts.
    pub(super) fn read_share(self) -> Option<f64> {
        (self == Self::Routes).then_some(0.85)
    }
}
