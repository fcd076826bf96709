//! Reward calls: the second stage of an item, in which a plain service scores its complete text.
//!
//! [`Queue`] decides which call is sent when and to which server, when a second copy of a call that
//! takes long is sent, and when a call has failed for good. The load it answers: a training step of
//! several hundred items that become complete at about the same time, at servers that also serve
//! clients with an objective far below the duration of a call. Clients go first: a server always
//! keeps slots free of calls ([`Window`]), and the other calls wait, in the order in which they
//! complete groups that a trainer waits for.
//!
//! A call may run more than once, so that a lost or late response costs another attempt and never
//! the text. Only responses that report a failure of the call count towards giving it up.

mod action;
mod pending;
mod queue;
mod window;

pub use action::{Action, Outcome, Rank, Target, Verdict};
pub use pending::CallKey;
pub use queue::{Queue, Submission};
pub use window::Window;
