//! Reward calls: requests whose responses score the texts of a batch's items.

use bytes::Bytes;

plain! {
    /// The request that scores the text of an item. It may run more than once.
    pub struct Call {
        /// Its id, which is also the request id at the backend server.
        pub id: String,
        /// The host name by which its route is found.
        pub host: String,
        /// The path, by which its route is found, with the query.
        pub path: String,
        /// The body to send.
        pub body: Bytes,
    }
}

plain! {
    /// How far the call for one text has come.
    pub struct Progress {
        /// The id of the call.
        pub call: String,
        /// The number of responses that reported a failure of the call.
        pub failures: u32,
        /// The score, once there is one.
        pub score: Option<String>,
    }
}
