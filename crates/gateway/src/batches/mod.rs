//! Batches: kept in the platform's store from their acceptance on, run by the one gateway that
//! holds the scheduling lease, read at any gateway.

mod accept;
mod coordinator;
mod lease_loop;
mod lease_query;
mod listing;
mod orders;
mod partial_texts;
mod read;
mod readiness;
mod record;
mod result_log;
mod retention;
mod running;
mod takeover;

pub use accept::{Request, accept, keep_for_peer};
pub use coordinator::Coordinator;
pub use lease_query::{answer_lease_query, yield_lease};
pub use read::{body, end, end_for_peer, results, shared_body, shared_results};

use std::rc::Rc;

use crate::gateway::Gateway;

/// Starts what batches need in the background.
pub fn start(gateway: &Rc<Gateway>) {
    actix_rt::spawn(lease_loop::run(Rc::clone(gateway)));
    actix_rt::spawn(coordinator::run_scheduler(Rc::clone(gateway)));
}
