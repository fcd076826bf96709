use std::time::Duration;

/// The platform's bounds on the time until a change takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// From the confirmation of routes or of a version of weights to its effect.
    pub configuration: Duration,
    /// From the confirmation that a backend server leaves to the last request that it gets.
    pub drain: Duration,
    /// From the confirmation of a batch's end to the last of its items that a server gets.
    pub cancel: Duration,
    /// How long the store must have been undisturbed for the other bounds to hold.
    pub stable: Duration,
}
