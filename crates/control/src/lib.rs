//! Common parts of the control threads of entries and agents: the configuration, calls to the
//! platform and messages to other processes.
//!
//! [`config_actor::ConfigActor`] runs the configuration replica of `tamaracksail-policy` and
//! notifies subscribers of each configuration and host list that comes into force. [`peer`] sends
//! messages to other processes, [`delivery`] tells which requests were not sent, [`object_store`] makes calls to the platform's object store, and
//! [`headers`] selects the headers to forward. [`options`] holds the settings that entries and
//! agents share.

pub mod config_actor;
pub mod delivery;
pub mod headers;
pub mod object_store;
pub mod options;
pub mod peer;
