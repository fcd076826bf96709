//! How old a process lets what it knows of the platform's store become.
//!
//! A watch of the store reports changes as they are made, but a store or a connection may fail without a
//! sign: a watch is never answered, or waits on a connection that brings nothing any more. So each kind of
//! fact has a bound on its age, and before that is reached the store is asked again.
//!
//! A current read is charged in full. A stale read costs a tenth and may be out of date, but it states the
//! revision of the store that it shows. Once one current read has told which revision the store was at, stale
//! reads at that revision or later confirm the age of all other facts. This is the read index of replicated
//! logs, with the stale replica as the follower.
//!
//! An answer without changes is not taken as the end of what it may have left out: a store that drops its
//! history may report nothing for a while before, and the platform does not promise which revision a stale
//! answer shows. So later calls ask for changes from the same revision on, until a second current answer some
//! time after the first has none either. A stale answer advances no revision; while the store does not change,
//! a second one some time after the first confirms the age of the fact without further calls. A watch goes on
//! from the revision with which its last wait ended without changes; if a failure follows soon, all objects are
//! listed.

mod bounds;
mod fact;
mod index;
mod quiet;
mod watch;

pub use bounds::Bounds;
pub use fact::{Fact, Overdue};
pub use index::Index;
pub use watch::{Answer, Call, Check, Failure, Finding, Loss, MAX_WAIT, Watch};
