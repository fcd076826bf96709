//! What lives as long as the link to a peer.

pub mod breaker;
pub mod choice;
pub mod view;
