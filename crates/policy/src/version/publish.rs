//! Publishes configuration changes: validated together and accepted atomically.

use tamaracksail_model::change::{self, Change, MergeError};
use tamaracksail_model::config::{Objects, Snapshot};
use tamaracksail_model::id::{Generation, Nonce, Revision};
use tamaracksail_model::time::Instant;

use super::fetch::{Fetch, Outcome};
use super::head::{self, AcceptedChange, Head};
use crate::store::{self, Call, CallId, CallIds, CallResult, Op, Reply};

/// The number of attempts, after lost responses or conflicts with other publishers, before the
/// publisher gives up.
const MAX_ATTEMPTS: u32 = 8;

/// The reasons for which publishing failed or its outcome is unknown.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// The changes conflict with those of another operator, or their result is not valid.
    #[error(transparent)]
    Merge(#[from] MergeError),
    /// The platform did not respond before the head was written; nothing was published.
    #[error("read head: the platform does not respond; nothing was published")]
    Unavailable,
    /// The platform did not respond, and the head may have been written.
    #[error("write head: the platform does not respond; look for change {0:x} in the history")]
    Unknown(u64),
    /// The base generation is no longer in the history.
    #[error("read head: {0} is no longer in the history; use a newer base")]
    BaseNotInHistory(Generation),
    /// All attempts failed, usually because other publishers updated the head first.
    #[error("write head: gave up after {MAX_ATTEMPTS} attempts; nothing was published")]
    Contended,
}

/// The update that the operator requests.
#[derive(Clone, Debug)]
pub enum ObjectUpdate {
    /// Replaces all objects by these.
    ReplaceAll(Objects),
    /// Adds or replaces these objects.
    Merge(Objects),
}

/// What the caller of a publisher must do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call the platform.
    Store(Call),
    /// Publishing has ended, on success with the generation that has the changes.
    Done(Result<Generation, Error>),
}

#[derive(Debug)]
enum Stage {
    /// Reads the base snapshot, which the operator saw.
    Base(Fetch),
    /// Reads the newest snapshot.
    Newest(Fetch),
    /// Writes the parts.
    Parts {
        revision: Revision,
        head: Head,
        call_id: CallId,
        parts: Vec<Vec<u8>>,
        written: u32,
    },
    /// Writes the head.
    Head {
        call_id: CallId,
        generation: Generation,
    },
    Finished,
}

/// The state machine that publishes one update.
#[derive(Debug)]
pub struct Publisher {
    update: ObjectUpdate,
    nonce: Nonce,
    author: String,
    base: Option<Generation>,
    /// The base snapshot and the changes to it.
    change: Option<(Snapshot, Change)>,
    call_ids: CallIds,
    stage: Stage,
    attempts: u32,
    /// Whether a head write without a response may have taken effect.
    may_be_written: bool,
}

impl Publisher {
    /// Starts publishing. `base` is the generation that the operator saw, by default the newest.
    /// `nonce` must be unique: it identifies the change in the history after a lost response.
    #[must_use]
    pub fn start(
        update: ObjectUpdate,
        base: Option<Generation>,
        author: String,
        nonce: Nonce,
    ) -> (Self, Action) {
        let mut call_ids = CallIds::default();
        let (fetch, call) = Fetch::start(&mut call_ids, base.filter(|base| base.0 > 0));
        let publisher = Self {
            update,
            nonce,
            author,
            base,
            change: None,
            call_ids,
            stage: Stage::Base(fetch),
            attempts: 0,
            may_be_written: false,
        };
        (publisher, Action::Store(call))
    }

    /// Handles a reply and returns the next action, or `None` if the reply is not expected.
    pub fn handle(&mut self, now: Instant, reply: &Reply) -> Option<Action> {
        match &mut self.stage {
            Stage::Base(fetch) | Stage::Newest(fetch) => {
                match fetch.handle_reply(&mut self.call_ids, reply) {
                    Ok(call) => call.map(Action::Store),
                    Err(outcome) => Some(self.handle_fetched(now, outcome)),
                }
            }
            Stage::Parts { call_id, .. } if *call_id == reply.call_id => {
                Some(self.handle_part_result(&reply.result))
            }
            Stage::Head {
                call_id,
                generation,
            } if *call_id == reply.call_id => {
                let generation = *generation;
                Some(self.handle_head_result(generation, &reply.result))
            }
            _ => None,
        }
    }

    fn finish(&mut self, result: Result<Generation, Error>) -> Action {
        self.stage = Stage::Finished;
        Action::Done(result)
    }

    fn fail_unavailable(&mut self) -> Action {
        let error = if self.may_be_written {
            Error::Unknown(self.nonce.0)
        } else {
            Error::Unavailable
        };
        self.finish(Err(error))
    }

    fn restart(&mut self) -> Action {
        self.attempts += 1;
        if self.attempts >= MAX_ATTEMPTS {
            let error = if self.may_be_written {
                Error::Unknown(self.nonce.0)
            } else {
                Error::Contended
            };
            return self.finish(Err(error));
        }
        let (fetch, call) = Fetch::start(&mut self.call_ids, None);
        self.stage = Stage::Newest(fetch);
        Action::Store(call)
    }

    fn handle_fetched(&mut self, now: Instant, outcome: Outcome) -> Action {
        let (revision, head, snapshot) = match (outcome, self.base) {
            (Outcome::Found(revision, head, snapshot), _) => (revision, head, snapshot),
            (Outcome::NotInHistory, Some(base)) => {
                return self.finish(Err(Error::BaseNotInHistory(base)));
            }
            _ => return self.fail_unavailable(),
        };
        let own_change = head
            .history
            .iter()
            .find(|accepted| accepted.change == self.nonce);
        if let Some(accepted) = own_change {
            let generation = accepted.generation;
            return self.finish(Ok(generation));
        }
        let newest = head.generation();
        if self.change.is_none() {
            // Base zero means the empty configuration, whatever is in force by now.
            let base = if self.base == Some(Generation(0)) {
                Snapshot::default()
            } else {
                snapshot
            };
            let change = change::diff(&base.objects, &self.updated_objects(&base.objects));
            let is_newest = base.generation == newest;
            self.change = Some((base.clone(), change));
            if !is_newest {
                return self.restart();
            }
            return self.start_write(now, revision, head, &base);
        }
        self.start_write(now, revision, head, &snapshot)
    }

    fn updated_objects(&self, base: &Objects) -> Objects {
        match &self.update {
            ObjectUpdate::ReplaceAll(objects) => objects.clone(),
            ObjectUpdate::Merge(objects) => {
                let mut updated_objects = base.clone();
                updated_objects.extend(
                    objects
                        .iter()
                        .map(|(key, spec)| (key.clone(), spec.clone())),
                );
                updated_objects
            }
        }
    }

    fn start_write(
        &mut self,
        now: Instant,
        revision: Revision,
        head: Head,
        newest: &Snapshot,
    ) -> Action {
        let Some((base, change)) = &self.change else {
            return self.fail_unavailable();
        };
        if change.specs.is_empty() {
            return self.finish(Ok(newest.generation));
        }
        let merged = match change::merge(base, change, newest) {
            Ok(merged) => merged,
            Err(error) => return self.finish(Err(error.into())),
        };
        let parts = head::encode_parts(&merged.objects);
        // Each attempt has its own prefix, so that a part is never rewritten with other content.
        let prefix = Nonce(self.nonce.0.wrapping_add(u64::from(self.attempts)));
        let accepted = AcceptedChange {
            generation: merged.generation,
            change: self.nonce,
            prefix,
            author: self.author.clone(),
            at: now,
            objects: change.specs.iter().map(|(key, _)| key.clone()).collect(),
            parts: u32::try_from(parts.len()).unwrap_or(u32::MAX),
        };
        let mut head = head;
        head.push(accepted);
        let call_id = self.call_ids.issue();
        self.stage = Stage::Parts {
            revision,
            head,
            call_id,
            parts,
            written: 0,
        };
        self.write_next()
    }

    fn write_next(&mut self) -> Action {
        let Stage::Parts {
            revision,
            head,
            call_id,
            parts,
            written,
        } = &mut self.stage
        else {
            return self.fail_unavailable();
        };
        *call_id = self.call_ids.issue();
        let call_id = *call_id;
        let accepted = head.current();
        if let (Some(value), Some(accepted)) = (parts.get(*written as usize), accepted) {
            let op = Op::Put {
                revision: Revision(0),
                value: value.clone(),
            };
            return Action::Store(Call {
                call_id,
                key: accepted.part_key(*written),
                op,
            });
        }
        let op = Op::Put {
            revision: *revision,
            value: store::encode(head),
        };
        let generation = head.generation();
        self.stage = Stage::Head {
            call_id,
            generation,
        };
        Action::Store(Call {
            call_id,
            key: head::HEAD_KEY.to_owned(),
            op,
        })
    }

    fn handle_part_result(&mut self, result: &CallResult) -> Action {
        match result {
            // A conflict means that an earlier write of the same part took effect.
            CallResult::Written { .. } | CallResult::Conflict => {
                if let Stage::Parts { written, .. } = &mut self.stage {
                    *written += 1;
                }
                self.write_next()
            }
            _ => self.restart(),
        }
    }

    fn handle_head_result(&mut self, generation: Generation, result: &CallResult) -> Action {
        match result {
            CallResult::Written { .. } => self.finish(Ok(generation)),
            CallResult::Conflict => self.restart(),
            _ => {
                self.may_be_written = true;
                self.restart()
            }
        }
    }
}
