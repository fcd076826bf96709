//! The object in which the lease holder publishes the limits that servers state.

use std::time::Duration;

use tamaracksail_model::plain;
use tamaracksail_policy::clock::Estimate;
use tamaracksail_wire::peer::ServerLimit;

/// The kind of the object.
pub const KIND: &str = "limits";

/// Its name.
pub const NAME: &str = "stated";

/// The number of servers in the object, which keeps it far below the store's limit.
const MAX_SERVERS: usize = 2048;

/// How long a limit that no gateway has observed again is used.
const MAX_AGE: Duration = Duration::from_mins(5);

plain! {
    /// The limits that servers state.
    pub struct Publication {
        /// When it was written, in milliseconds since the Unix epoch.
        written_at_ms: u64,
        /// How far that may be from true time, in milliseconds; `None` from gateways that stated a
        /// time of day.
        #[serde(default)]
        written_error_ms: Option<u64>,
        servers: Vec<ServerLimit>,
    }
}

impl Publication {
    /// Returns an object with the limits that were observed last.
    pub fn new(written_at: Estimate, mut servers: Vec<ServerLimit>) -> Self {
        servers.sort_by_key(|server| server.age_ms);
        servers.truncate(MAX_SERVERS);
        Self {
            written_at_ms: written_at.unix_ms,
            written_error_ms: Some(written_at.error_ms),
            servers,
        }
    }

    /// Returns the limits at `time` with their least age, and how much older they may be. If the time
    /// is not known, nothing is too old.
    pub fn servers(self, time: Option<Estimate>) -> impl Iterator<Item = (ServerLimit, Duration)> {
        let written_at = self.written_error_ms.map_or_else(
            || Estimate::of_time_of_day(self.written_at_ms),
            |error_ms| Estimate {
                unix_ms: self.written_at_ms,
                error_ms,
            },
        );
        let age = time.map_or(Duration::ZERO, |time| time.min_age(written_at));
        let max_age = time.map_or(Duration::MAX, |time| time.max_age(written_at));
        self.servers.into_iter().filter_map(move |mut server| {
            server.age_ms = server.age_ms.saturating_add(age);
            let is_recent = server.age_ms < MAX_AGE;
            is_recent.then_some((server, max_age.saturating_sub(age)))
        })
    }
}
