//! What an agent asks its process to do.

use tamaracksail_model::id;
use tamaracksail_wire::{Frame, Order, Ordered, Report, Revoked};

/// An action of an agent.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the attempt's request to the backend server.
    Run {
        /// The attempt.
        attempt: id::Attempt,
        /// The bytes of the answer that an earlier attempt delivered.
        resume: u64,
    },
    /// Cancel the attempt at the backend server.
    Cancel(id::Attempt),
    /// Send a frame to the attempt's entry. `End` and `Failed` close the connection.
    Reply(Frame),
    /// Close the connection of a second copy of an attempt; the first one goes on.
    Drop(id::Attempt),
    /// Answer a revocation.
    Revoked(Revoked),
    /// Answer a heartbeat.
    Report(Box<Report>),
    /// Give the order to the engine.
    Load(Order),
    /// Ask the engine which versions it has loaded.
    ReadBack,
    /// Ask the platform for the fencing number of the model's rollout.
    ReadFence(id::Object),
    /// Answer an order.
    Ordered(Ordered),
    /// End the process: nothing is in flight.
    Exit,
}
