//! HTTP/1.1 connections of our own making, one request at a time on each.
//!
//! `awc` hides its connections. Forwarding must know which connection carried an answer, close
//! it at once when the client leaves, and never reuse one that brought bytes beyond its answer;
//! so this crate builds on hyper, whose connections are values.

mod client;
mod connection;
mod error;
mod response;
pub mod socket;

pub use client::Client;
pub use connection::Connection;
pub use error::{Error, Stage};
pub use response::IncomingResponse;
