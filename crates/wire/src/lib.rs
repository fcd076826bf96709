//! Messages between the system's processes, and their encoding.
//!
//! [`message`] and [`peer`] define the messages, [`codec`] encodes and decodes them. They are sent
//! over HTTP. Frames in a stream are delimited by the length-delimited codec of `tokio-util`. How a
//! process reacts to a message is decided in `tamaracksail-policy`.

pub mod codec;
pub mod message;
pub mod peer;

pub use codec::{Error, decode, encode};
pub use message::{
    Attempt, Content, Dispatch, Failure, Frame, Gossip, Header, Hello, Load, LoadCommand,
    LoadOutcome, Message, Reason, Report, Revoke, Revoked, Sender, Suspect, Usage,
};
