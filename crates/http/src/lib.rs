//! An HTTP/1.1 client that gives access to its connections, with one request at a time on each.
//!
//! `awc` hides its connections. But forwarding must know which connection carried a response, close
//! it immediately when the client disconnects, and never reuse one that carried bytes beyond its
//! response. So this crate builds on hyper, whose connections are values.

mod client;
mod connection;
mod error;
mod response;
mod send_mark;
pub mod socket;
mod tag;

pub use client::Client;
pub use connection::Connection;
pub use error::{Error, Stage};
pub use response::IncomingResponse;
pub use send_mark::SendMark;
pub use tag::Tag;
