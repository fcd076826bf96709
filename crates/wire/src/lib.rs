//! Messages between the system's own processes and their encoding.
//!
//! [`message`] holds the types, [`codec`] turns them into bytes and back. HTTP carries the
//! bytes; a stream of frames is cut by the length-delimited codec of `tokio-util`.
//! What a process decides on a message is in `tamaracksail-policy`.

pub mod codec;
pub mod message;
pub mod peer;

pub use codec::{Error, decode, encode};
pub use message::{
    Attempt, Content, Dispatch, Failure, Frame, Gossip, Header, Hello, Load, LoadCommand,
    LoadOutcome, Message, Reason, Report, Revoke, Revoked, Sender, Suspect, Usage,
};
