//! The control thread of a process: its configuration, its calls to the platform and its
//! messages to peers.
//!
//! [`config_actor::ConfigActor`] drives the configuration replica of `tamaracksail-policy` and tells
//! subscribers what is in force. [`peer`] sends messages. [`options`] holds the settings that
//! entries and agents share.

pub mod config_actor;
pub mod headers;
pub mod object_store;
pub mod options;
pub mod peer;
