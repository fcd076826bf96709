//! The object in which the lease holder publishes the limits that servers state.

use std::time::Duration;

use tamaracksail_model::plain;
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
        servers: Vec<ServerLimit>,
    }
}

impl Publication {
    /// Returns an object with the limits that were observed last.
    pub fn new(written_at_ms: u64, mut servers: Vec<ServerLimit>) -> Self {
        servers.sort_by_key(|server| server.age_ms);
        servers.truncate(MAX_SERVERS);
        Self {
            written_at_ms,
            servers,
        }
    }

    /// Returns the limits with their age at `unix_ms`, in milliseconds since the Unix epoch.
    pub fn servers(self, unix_ms: u64) -> impl Iterator<Item = ServerLimit> {
        let age = Duration::from_millis(unix_ms.saturating_sub(self.written_at_ms));
        self.servers.into_iter().filter_map(move |mut server| {
            server.age_ms = server.age_ms.saturating_add(age);
            (server.age_ms < MAX_AGE).then_some(server)
        })
    }
}
