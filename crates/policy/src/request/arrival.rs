//! A request as it arrives from a caller.

use tamaracksail_model::id;
use tamaracksail_model::outcome::Class;
use tamaracksail_model::plain;
use tamaracksail_model::time::Instant;

plain! {
    /// The model or service that a request is for.
    pub enum Target {
        /// A model, which the engines of its pools serve.
        Model(id::Object),
        /// A plain service.
        Service(id::Object),
    }
}

plain! {
    /// A request as it arrived from a caller.
    pub struct Arrival {
        /// The id of the request within the entry.
        pub request: id::Request,
        /// The client account that sent the request.
        pub caller: id::Caller,
        /// The model or service that the request is for.
        pub target: Target,
        /// The class of the request, which decides the order of service.
        pub class: Class,
        /// Whether the request may run at most once.
        pub once: bool,
        /// The caller's idempotency key.
        pub key: Option<String>,
        /// A digest of the content.
        pub fingerprint: id::Fingerprint,
        /// A digest of the start of the prompt, for servers that cache prompt prefixes.
        pub prefix: Option<id::Fingerprint>,
        /// The time at which the caller stops waiting.
        pub deadline: Instant,
        /// Whether the caller receives the response as a stream.
        pub streamed: bool,
        /// Whether another server can continue a streamed response that broke off.
        pub resumable: bool,
    }
}
