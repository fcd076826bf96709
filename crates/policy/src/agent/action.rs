//! The actions that an agent requests of its process.

use tamaracksail_model::id;
use tamaracksail_wire::{Frame, LoadCommand, LoadOutcome, Report, Revoked};

/// An action of an agent.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the attempt's request to the backend server.
    Run {
        /// The attempt.
        attempt: id::Attempt,
        /// The number of bytes of the response that earlier attempts delivered.
        resume: u64,
    },
    /// Cancel the attempt at the backend server.
    Cancel(id::Attempt),
    /// Send a frame to the attempt's entry. `End` and `Failed` close the connection.
    SendFrame(Frame),
    /// Close the connection of a second copy of an attempt. The first copy continues.
    CloseDuplicate(id::Attempt),
    /// Respond to a revocation.
    Revoked(Revoked),
    /// Respond to a heartbeat.
    Report(Box<Report>),
    /// Send the load command to the engine.
    Load(LoadCommand),
    /// Read the loaded versions from the engine.
    ReadVersions,
    /// Read the fencing token of the model's rollout from the platform.
    ReadFence(id::Object),
    /// Respond to a load command.
    LoadOutcome(LoadOutcome),
    /// End the process, since nothing is in flight any more.
    Exit,
}
