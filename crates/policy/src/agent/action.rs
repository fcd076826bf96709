//! What an agent asks its process to do.

use tamaracksail_model::id;
use tamaracksail_wire::{Frame, LoadCommand, LoadOutcome, Report, Revoked};

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
    SendFrame(Frame),
    /// Close the connection of a second copy of an attempt; the first one goes on.
    CloseDuplicate(id::Attempt),
    /// Answer a revocation.
    Revoked(Revoked),
    /// Answer a heartbeat.
    Report(Box<Report>),
    /// Give the order to the engine.
    Load(LoadCommand),
    /// Ask the engine which versions it has loaded.
    ReadVersions,
    /// Ask the platform for the fencing number of the model's rollout.
    ReadFence(id::Object),
    /// Answer an order.
    LoadOutcome(LoadOutcome),
    /// End the process: nothing is in flight.
    Exit,
}
