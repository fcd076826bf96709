//! What gateways ask each other.

use std::net::SocketAddr;

use bytes::Bytes;
use tamaracksail_model::batch::{ItemResult, PartialText};
use tamaracksail_model::plain;

plain! {
    /// A question.
    pub enum Request {
        /// Whether the peer holds the scheduling lease under a fencing number. The answer waits a
        /// while for a change.
        Holding {
            /// The fencing number.
            fence: u64,
            /// Where the asking gateway answers.
            #[serde(rename = "asker")]
            sender: SocketAddr,
            /// Whether the asking gateway has the processor time to schedule.
            #[serde(rename = "is_strong")]
            has_spare_cpu: bool,
        },
        /// Asks a holder that cannot reach the store to stop.
        Yield {
            /// The fencing number under which it holds.
            fence: u64,
            /// Where the peer answers that will take the lease.
            successor: SocketAddr,
        },
        /// Keeps a batch for a gateway that cannot reach the store.
        Keep {
            /// The batch.
            batch: String,
            /// The host name that the client asked for.
            host: String,
            /// The path of the submission.
            path: String,
            /// The submission as the client sent it.
            body: Bytes,
            /// How long the client waits, in milliseconds.
            limit_ms: u64,
        },
        /// Ends a batch for a gateway that cannot reach the store.
        End {
            /// The batch.
            batch: String,
        },
        /// Results of a batch that the peer schedules.
        Results {
            /// The batch.
            batch: String,
            /// The first position wanted.
            from: usize,
            /// How long the answer may wait for a result, in milliseconds.
            wait_ms: u64,
        },
        /// The body of an item of a batch that the peer schedules or has at hand.
        Item {
            /// The batch.
            batch: String,
            /// The item.
            item: String,
        },
        /// Text of unfinished items, from a peer that has stopped scheduling. Several questions
        /// at once bring it faster than one long answer.
        Drafts {
            /// Which part is asked for, from 0.
            part: usize,
            /// How many parts there are.
            parts: usize,
        },
    }
}

plain! {
    /// An answer.
    pub enum Response {
        /// The peer holds the lease.
        Holding {
            /// Whether it cannot reach the store.
            #[serde(rename = "is_cut")]
            is_store_unreachable: bool,
            /// The revision of its last renewal.
            revision: u64,
        },
        /// The peer does not hold the lease and will not act under the fencing number again.
        Released {
            /// How long ago it gave its last order, in milliseconds. A process that gave none
            /// states its own age, since the life before it may have.
            order_age_ms: u64,
            /// Where the peer answers to which it left the lease.
            successor: Option<SocketAddr>,
        },
        /// The batch is kept, or its end is.
        Kept,
        /// The batch is not kept and will not be, or its end is not.
        NotKept,
        /// It may be kept.
        Unclear,
        /// Results.
        Results {
            /// How many items the batch has.
            total: usize,
            /// The results.
            results: Vec<ItemResult>,
        },
        /// The body of an item; none if the batch has no such item.
        Item {
            /// The body.
            body: Option<Bytes>,
        },
        /// The peer does not schedule that batch.
        Unknown,
        /// Text of unfinished items.
        Drafts {
            /// The text, by item.
            #[serde(rename = "drafts")]
            partial_texts: Vec<(String, PartialText)>,
            /// Groups that later batches may bring again.
            groups: Vec<String>,
        },
    }
}
