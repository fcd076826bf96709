//! A caller's request as the entry sees it.

use tamaracksail_model::id;
use tamaracksail_model::outcome::Class;
use tamaracksail_model::plain;
use tamaracksail_model::time::Instant;

plain! {
    /// What the request is for.
    pub enum Target {
        /// A model, served by the engines of its pools.
        Model(id::Object),
        /// A plain service.
        Service(id::Object),
    }
}

plain! {
    /// A request that a caller sent.
    pub struct Arrival {
        /// Its id within the entry.
        pub request: id::Request,
        /// Who sent it.
        pub caller: id::Caller,
        /// What it is for.
        pub target: Target,
        /// Its class.
        pub class: Class,
        /// Whether it may not be repeated.
        pub once: bool,
        /// The caller's idempotency key.
        pub key: Option<String>,
        /// A digest of its content.
        pub fingerprint: id::Fingerprint,
        /// A digest of the start of its prompt, for servers that cache prefixes.
        pub prefix: Option<id::Fingerprint>,
        /// When the caller stops waiting.
        pub deadline: Instant,
        /// Whether the caller takes the answer in pieces.
        pub streamed: bool,
        /// Whether another server can go on where a streamed answer broke off.
        pub resumable: bool,
    }
}
