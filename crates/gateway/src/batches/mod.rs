//! Batches. They are stored in the platform's store when they are accepted, scheduled by the one
//! gateway that holds the scheduling lease, and readable at any gateway.

mod accept;
mod announcement;
mod coordinator;
mod item_run;
mod lease_loop;
mod lease_query;
mod orders;
mod owner;
mod partial_texts;
mod read;
mod readiness;
mod reads;
mod reload;
mod result_log;
mod result_writer;
mod retention;
mod reward_calls;
mod schema;
mod service;
mod takeover;
mod waits;

pub use accept::{Submission, accept, is_repeated, store_for_peer};
pub use announcement::receive as receive_announcement;
pub use coordinator::{Coordinator, Tenure};
pub use lease_loop::{find_holder, known_holder, request_lease};
pub use lease_query::{answer_lease_query, has_spare_cpu, yield_lease};
pub use read::{end, end_for_peer, item_body, item_body_for_peer, results, results_for_peer};

use std::rc::Rc;

use crate::gateway::Gateway;

/// Starts the lease loop and the scheduling loop.
pub fn start(gateway: &Rc<Gateway>) {
    actix_rt::spawn(lease_loop::run(Rc::clone(gateway)));
    actix_rt::spawn(coordinator::run_scheduler(Rc::clone(gateway)));
}
