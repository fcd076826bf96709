//! A batch: requests that are accepted at once and run later.

use std::collections::BTreeSet;

use bytes::Bytes;

key! {
    /// How an item ended.
    pub enum Ending {
        /// Its text is whole.
        Completed,
        /// It was given up.
        Aborted,
    }
}

plain! {
    /// One item of a batch.
    pub struct Item {
        /// Its id, which is also its request id at a backend server.
        pub id: String,
        /// The path at the backend server.
        pub path: String,
        /// Headers to send.
        pub headers: Vec<(String, String)>,
        /// The body to send.
        pub body: Bytes,
        /// Prompt tokens plus the most output tokens.
        pub tokens: u64,
        /// The client's estimate of the output tokens.
        pub hint: Option<u64>,
        /// The group whose samples share one prompt.
        pub group: Option<String>,
    }
}

plain! {
    /// A batch as its client sent it.
    pub struct Submission {
        /// The model of a training step.
        pub model: Option<String>,
        /// The training step.
        pub step: Option<u64>,
        /// The oldest version of the weights that may generate.
        pub min_version: Option<u64>,
        /// How many whole groups the trainer waits for.
        pub target_groups: Option<usize>,
        /// The items.
        pub items: Vec<Item>,
    }
}

plain! {
    /// A result as it is listed. Its position and content never change.
    pub struct ItemResult {
        /// The item.
        pub item: String,
        /// How it ended.
        pub ending: Ending,
        /// The data of all events, separated by line feeds.
        pub text: String,
        /// The versions under which the events were made, rising.
        pub versions: Vec<u64>,
    }
}

plain! {
    /// The text that an item has so far.
    #[derive(Default)]
    pub struct PartialText {
        /// The data of the events so far, separated by line feeds.
        pub data: String,
        /// The id of the last event.
        pub last: Option<u64>,
        /// The versions under which the events were made.
        pub versions: BTreeSet<u64>,
        /// Whether the last event is the stream's last.
        pub is_whole: bool,
    }
}

impl PartialText {
    /// Whether all of it comes from allowed versions.
    #[must_use]
    pub fn fits(&self, min_version: Option<u64>) -> bool {
        match (self.versions.first(), min_version) {
            (Some(oldest), Some(min)) => *oldest >= min,
            _ => true,
        }
    }

    /// Whether a batch may use it, which allows versions from `min_version` on and perhaps only
    /// one of them.
    #[must_use]
    pub fn is_usable(&self, min_version: Option<u64>, is_single_version: bool) -> bool {
        self.fits(min_version) && !(is_single_version && self.versions.len() > 1)
    }

    /// Adds an event.
    pub fn push(&mut self, id: u64, data: &str, version: Option<u64>) {
        if self.last.is_some() {
            self.data.push('\n');
        }
        self.data.push_str(data);
        self.last = Some(id);
        self.versions.extend(version);
    }
}
