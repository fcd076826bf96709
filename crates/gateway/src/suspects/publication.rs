//! The object in which a gateway publishes the contents that it suspects.

use std::collections::BTreeSet;
use std::time::Duration;

use serde_with::{DisplayFromStr, DurationMilliSeconds};
use tamaracksail_model::id::{Fingerprint, Host};
use tamaracksail_model::plain;
use tamaracksail_policy::clock::Estimate;
use tamaracksail_wire::Suspect;

/// The kind of these objects. Each has the name of the gateway's host.
pub const KIND: &str = "suspects";

/// The number of contents in one object, which keeps it far below the store's limit.
pub const MAX_CONTENTS: usize = 256;

plain! {
    /// The contents that one gateway suspects.
    pub struct Publication {
        /// When it was written, in milliseconds since the Unix epoch, if that was known. For operators
        /// only: gateways use it in no comparison.
        written_at_ms: Option<u64>,
        contents: Vec<Content>,
    }
}

plain! {
    /// A content under which servers ended.
    #[serde_as]
    struct Content {
        /// The fingerprint, as text since it exceeds the integers that JSON numbers hold exactly.
        #[serde_as(as = "DisplayFromStr")]
        fingerprint: u64,
        /// The servers that ended, by instance id, and when their processes had started, in
        /// milliseconds since the Unix epoch.
        servers: BTreeSet<(String, u64)>,
        /// Whether one of them ran no other request of its gateway.
        is_alone: bool,
        /// How long the suspicion is valid after the object is read.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        valid_ms: Duration,
    }
}

impl Publication {
    /// Returns an object with these suspects.
    pub fn new(written_at: Option<Estimate>, suspects: Vec<Suspect>) -> Self {
        let contents = suspects.into_iter().map(|suspect| Content {
            fingerprint: suspect.fingerprint.0,
            servers: suspect
                .crashes
                .into_iter()
                .map(|(server, started_at)| (server.0, started_at))
                .collect(),
            is_alone: suspect.alone,
            valid_ms: suspect.valid,
        });
        Self {
            written_at_ms: written_at.map(|time| time.unix_ms),
            contents: contents.collect(),
        }
    }

    /// Returns the suspects, which are valid from when they are read.
    pub fn into_suspects(self) -> Vec<Suspect> {
        let suspects = self.contents.into_iter().map(|content| Suspect {
            fingerprint: Fingerprint(content.fingerprint),
            crashes: content
                .servers
                .into_iter()
                .map(|(server, started_at)| (Host(server), started_at))
                .collect(),
            alone: content.is_alone,
            valid: content.valid_ms,
        });
        suspects.collect()
    }
}
