//! Text of unfinished items as it is kept in the store, so that it outlives the process that
//! made it.

use std::collections::BTreeSet;

plain! {
    /// What one save adds.
    pub struct Checkpoint {
        /// The fencing number under which the text was made.
        pub fence: u64,
        /// New text.
        #[serde(rename = "pieces")]
        pub segments: Vec<Segment>,
        /// Groups that were left unfinished when their batches ended.
        pub groups: Vec<String>,
    }
}

plain! {
    /// Text of one item that follows what was saved before.
    pub struct Segment {
        /// The item.
        pub item: String,
        /// Pieces with the same number, under the same fencing number, continue one text. An item
        /// that begins anew gets another.
        #[serde(rename = "life")]
        pub series: u64,
        /// The last event of the piece before; none if this is the first.
        pub after: Option<u64>,
        /// The last event of this one.
        pub last: u64,
        /// The data of its events, separated by line feeds.
        pub data: String,
        /// The versions of the whole text up to here.
        pub versions: BTreeSet<u64>,
    }
}
