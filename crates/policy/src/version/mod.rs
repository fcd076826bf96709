//! What lives as long as a weight version or a generation of the configuration.

pub mod fetch;
pub mod follower;
pub mod head;
pub mod ledger;
pub mod owner;
pub mod publish;
pub mod rollout;
