//! The text of unfinished items as it is saved in the store, so that it survives the loss of the
//! scheduling process.

use std::collections::BTreeSet;

use crate::carried::Carried;
use crate::reward;

plain! {
    /// Text of unfinished items that was added since the last checkpoint.
    pub struct Checkpoint {
        /// The fencing token of the scheduler that took the checkpoint.
        pub fence: u64,
        /// The new text.
        #[serde(rename = "pieces")]
        pub segments: Vec<Segment>,
        /// Groups of earlier batches, which count as carried over if a later batch submits them.
        pub groups: Vec<Carried>,
    }
}

plain! {
    /// A part of one item's text.
    pub struct Segment {
        /// The id of the item.
        pub item: Carried,
        /// The number of the series: segments with the same number under the same fencing token
        /// form one text. An item that starts over gets a new number.
        #[serde(rename = "life")]
        pub series: u64,
        /// The id of the last event in the previous segment; `None` in the first.
        pub after: Option<u64>,
        /// The id of the last event in this segment.
        pub last: u64,
        /// The data of its events, separated by line feeds.
        pub data: String,
        /// The versions of the weights that generated the text up to the end of this segment.
        pub versions: BTreeSet<u64>,
        /// The version of the software of the server that generated the text.
        #[serde(default)]
        pub software: Option<String>,
        /// Whether the text is complete with this segment.
        #[serde(default)]
        pub is_whole: bool,
        /// How far the call has come that scores the text.
        #[serde(default)]
        pub reward: Option<reward::Progress>,
    }
}
