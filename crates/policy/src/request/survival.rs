//! Whether a server survives a request that it did not respond to in full.

use std::time::Duration;

use tamaracksail_model::time::Instant;

/// The delay of the first check that follows a broken response. A process that exits closes its
/// sockets one after the other, so its listener may outlive a connection for a moment.
const BROKEN_DELAY: Duration = Duration::from_millis(20);

/// The delay of the first check after a request under whose content servers have ended.
const SUSPECT_DELAY: Duration = Duration::from_millis(50);

/// The time for which a server must survive such a request.
const SUSPECT_SURVIVAL: Duration = Duration::from_millis(1500);

/// The time for which a server must survive any other request that was abandoned. Requests last tens
/// of milliseconds, and one check is enough if the server responds.
const SURVIVAL: Duration = Duration::from_millis(500);

/// The time after which checks end without a result. The registration of a server that has ended is
/// removed or replaced sooner.
const MAX_OBSERVATION: Duration = Duration::from_secs(8);

/// The time between two looks at service discovery.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// The time within which a restarted server is registered, and gateways know it.
const REGISTRATION_TIME: Duration = Duration::from_secs(3);

/// What a check of a server shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// Its host refuses connections.
    Refusing,
    /// Another process responds at its address.
    Replaced,
    /// The registered process responds.
    Confirmed,
    /// A process responds that does not say when it started. It may be a restarted one.
    Responding,
    /// Connections are accepted, but requests get no response.
    Unresponsive,
    /// The host does not respond.
    Unreachable,
}

impl Liveness {
    /// Returns the text for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Refusing => "ended",
            Self::Replaced => "replaced",
            Self::Confirmed => "running",
            Self::Responding => "responding",
            Self::Unresponsive => "unresponsive",
            Self::Unreachable => "unreachable",
        }
    }
}

/// What service discovery says about a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// It is registered.
    Listed,
    /// It is registered and about to stop.
    Leaving,
    /// Another process is registered under its id or its address.
    Replaced,
    /// It is not registered any more.
    Gone,
}

/// Why there is no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interruption {
    /// The response broke off, or came from elsewhere.
    Broken,
    /// The gateway no longer waited for it.
    Abandoned,
}

/// What follows from a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Check again after this time.
    Check(Duration),
    /// Look at service discovery again after this time, without a check of the server.
    Look(Duration),
    /// The server's process has ended.
    Ended,
    /// The server has survived the request.
    Survived,
    /// The checks end without a result.
    Unknown,
}

/// The observation of a server after a request without a complete response.
#[derive(Clone, Debug)]
pub struct Observation {
    interruption: Interruption,
    began_at: Instant,
    /// The delay of the next check.
    delay: Duration,
    /// When a process responded that did not say when it started.
    responded_at: Option<Instant>,
    /// The time for which the server must survive the request.
    survival: Duration,
    /// Whether the server has been about to stop, so that its end has another cause.
    is_leaving: bool,
}

impl Observation {
    /// Begins an observation at `now`. `is_suspect` says whether servers have ended under the
    /// request's content.
    #[must_use]
    pub fn begin(now: Instant, interruption: Interruption, is_suspect: bool) -> Self {
        let (delay, survival) = match interruption {
            Interruption::Broken => (BROKEN_DELAY, Duration::ZERO),
            Interruption::Abandoned if is_suspect => (SUSPECT_DELAY, SUSPECT_SURVIVAL),
            Interruption::Abandoned => (SURVIVAL, SURVIVAL),
        };
        Self {
            interruption,
            began_at: now,
            delay,
            responded_at: None,
            survival,
            is_leaving: false,
        }
    }

    /// Returns why there is no complete response.
    #[must_use]
    pub fn interruption(&self) -> Interruption {
        self.interruption
    }

    /// Returns the delay of the first check.
    #[must_use]
    pub fn first_delay(&self) -> Duration {
        self.delay
    }

    /// Returns what follows from a check that ended at `now`.
    pub fn record_check(&mut self, now: Instant, liveness: Liveness, listing: Listing) -> Step {
        self.is_leaving |= listing == Listing::Leaving;
        let has_ended = match liveness {
            Liveness::Refusing | Liveness::Replaced => true,
            Liveness::Confirmed => false,
            Liveness::Responding => listing == Listing::Replaced,
            Liveness::Unresponsive | Liveness::Unreachable => {
                matches!(listing, Listing::Replaced | Listing::Gone)
            }
        };
        if has_ended {
            return self.end();
        }
        let elapsed = now.since(self.began_at);
        let is_responding = matches!(liveness, Liveness::Confirmed | Liveness::Responding);
        if is_responding && elapsed >= self.survival {
            if liveness == Liveness::Confirmed {
                return Step::Survived;
            }
            self.responded_at = Some(now);
            return Step::Look(LOOK_INTERVAL);
        }
        if elapsed >= MAX_OBSERVATION {
            return Step::Unknown;
        }
        self.delay *= 2;
        Step::Check(self.delay)
    }

    /// Returns what follows from what service discovery says at `now`, after [`Step::Look`].
    pub fn record_listing(&mut self, now: Instant, listing: Listing) -> Step {
        self.is_leaving |= listing == Listing::Leaving;
        if listing == Listing::Replaced {
            return self.end();
        }
        match self.responded_at {
            Some(at) if now.since(at) < REGISTRATION_TIME => Step::Look(LOOK_INTERVAL),
            _ => Step::Survived,
        }
    }

    /// A server that stops as announced did not end under a request that was abandoned.
    fn end(&self) -> Step {
        if self.is_leaving && self.interruption == Interruption::Abandoned {
            Step::Unknown
        } else {
            Step::Ended
        }
    }
}
