//! Publishes a set of changes: checked as a whole, accepted whole or not at all.

use tamaracksail_model::change::{self, Change, Refusal};
use tamaracksail_model::config::{Objects, Snapshot};
use tamaracksail_model::id::{Generation, Nonce, Revision};
use tamaracksail_model::time::Instant;

use super::fetch::{Done as Fetched, Fetch};
use super::head::{self, Accepted, Head};
use crate::store::{self, Answer, Call, Op, Reply, Ticket, Tickets};

/// Times that a lost answer or a race is tried again before the publisher gives up.
const MAX_TRIES: u32 = 8;

/// Why nothing is known to be published.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// The changes do not fit the set in force.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// The platform did not answer before the head was written: nothing is published.
    #[error("read head: the platform does not answer; nothing was published")]
    Unavailable,
    /// The platform did not answer after the head may have been written.
    #[error("write head: the platform does not answer; look for change {0:x} in the history")]
    Unknown(u64),
    /// The base generation is not listed any more.
    #[error("read head: {0} is not in the history any more; take a newer base")]
    NoBase(Generation),
    /// Others published too often meanwhile.
    #[error("write head: lost the race too often; nothing was published")]
    Contended,
}

/// What the operator wants.
#[derive(Clone, Debug)]
pub enum Wanted {
    /// These objects and no others.
    Whole(Objects),
    /// These objects added or replaced.
    Merge(Objects),
}

/// What a publisher asks for, or how it ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call the platform.
    Store(Call),
    /// It is over: the generation in which the changes are in force.
    Done(Result<Generation, Error>),
}

#[derive(Debug)]
enum Stage {
    /// Reads the set that the operator saw.
    Base(Fetch),
    /// Reads the newest set.
    Newest(Fetch),
    /// Writes the parts.
    Parts {
        revision: Revision,
        head: Head,
        ticket: Ticket,
        parts: Vec<Vec<u8>>,
        written: u32,
    },
    /// Writes the head.
    Head {
        ticket: Ticket,
        generation: Generation,
    },
    Over,
}

/// A change set on its way.
#[derive(Debug)]
pub struct Publisher {
    wanted: Wanted,
    nonce: Nonce,
    author: String,
    base: Option<Generation>,
    /// The set that the operator saw and the changes to it.
    change: Option<(Snapshot, Change)>,
    tickets: Tickets,
    stage: Stage,
    tries: u32,
    /// Whether a write of the head may have taken effect unseen.
    may_stand: bool,
}

impl Publisher {
    /// Starts publishing. `base`: the generation the operator saw, the newest if none.
    /// `nonce` must be new: by it a lost answer is found again.
    #[must_use]
    pub fn start(
        wanted: Wanted,
        base: Option<Generation>,
        author: String,
        nonce: Nonce,
    ) -> (Self, Action) {
        let mut tickets = Tickets::default();
        let (fetch, call) = Fetch::start(&mut tickets, base.filter(|base| base.0 > 0));
        let publisher = Self {
            wanted,
            nonce,
            author,
            base,
            change: None,
            tickets,
            stage: Stage::Base(fetch),
            tries: 0,
            may_stand: false,
        };
        (publisher, Action::Store(call))
    }

    /// Takes a reply and says what follows; none if the reply is not awaited.
    pub fn handle(&mut self, now: Instant, reply: &Reply) -> Option<Action> {
        match &mut self.stage {
            Stage::Base(fetch) | Stage::Newest(fetch) => {
                match fetch.reply(&mut self.tickets, reply) {
                    Ok(call) => call.map(Action::Store),
                    Err(done) => Some(self.take_fetched(now, done)),
                }
            }
            Stage::Parts { ticket, .. } if *ticket == reply.ticket => {
                Some(self.take_part(&reply.answer))
            }
            Stage::Head { ticket, generation } if *ticket == reply.ticket => {
                let generation = *generation;
                Some(self.take_head(generation, &reply.answer))
            }
            _ => None,
        }
    }

    fn end(&mut self, result: Result<Generation, Error>) -> Action {
        self.stage = Stage::Over;
        Action::Done(result)
    }

    fn fail_unavailable(&mut self) -> Action {
        let error = if self.may_stand {
            Error::Unknown(self.nonce.0)
        } else {
            Error::Unavailable
        };
        self.end(Err(error))
    }

    fn restart(&mut self) -> Action {
        self.tries += 1;
        if self.tries >= MAX_TRIES {
            let error = if self.may_stand {
                Error::Unknown(self.nonce.0)
            } else {
                Error::Contended
            };
            return self.end(Err(error));
        }
        let (fetch, call) = Fetch::start(&mut self.tickets, None);
        self.stage = Stage::Newest(fetch);
        Action::Store(call)
    }

    fn take_fetched(&mut self, now: Instant, done: Fetched) -> Action {
        let (revision, head, found) = match (done, self.base) {
            (Fetched::Found(revision, head, found), _) => (revision, head, found),
            (Fetched::Unlisted, Some(base)) => return self.end(Err(Error::NoBase(base))),
            _ => return self.fail_unavailable(),
        };
        let ours = head
            .history
            .iter()
            .find(|accepted| accepted.change == self.nonce);
        if let Some(accepted) = ours {
            let generation = accepted.generation;
            return self.end(Ok(generation));
        }
        let newest = head.generation();
        if self.change.is_none() {
            // A base of zero stands for the empty set, whatever is there by now.
            let base = if self.base == Some(Generation(0)) {
                Snapshot::default()
            } else {
                found
            };
            let change = change::diff(&base.objects, &self.whole(&base.objects));
            let is_newest = base.generation == newest;
            self.change = Some((base.clone(), change));
            if !is_newest {
                return self.restart();
            }
            return self.write(now, revision, head, &base);
        }
        self.write(now, revision, head, &found)
    }

    fn whole(&self, base: &Objects) -> Objects {
        match &self.wanted {
            Wanted::Whole(objects) => objects.clone(),
            Wanted::Merge(objects) => {
                let mut whole = base.clone();
                whole.extend(
                    objects
                        .iter()
                        .map(|(key, spec)| (key.clone(), spec.clone())),
                );
                whole
            }
        }
    }

    fn write(&mut self, now: Instant, revision: Revision, head: Head, newest: &Snapshot) -> Action {
        let Some((base, change)) = &self.change else {
            return self.fail_unavailable();
        };
        if change.specs.is_empty() {
            return self.end(Ok(newest.generation));
        }
        let merged = match change::merge(base, change, newest) {
            Ok(merged) => merged,
            Err(refusal) => return self.end(Err(refusal.into())),
        };
        let parts = head::split(&merged.objects);
        // A name of its own for each try: a part is never written twice with other content.
        let prefix = Nonce(self.nonce.0.wrapping_add(u64::from(self.tries)));
        let accepted = Accepted {
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
        let ticket = self.tickets.issue();
        self.stage = Stage::Parts {
            revision,
            head,
            ticket,
            parts,
            written: 0,
        };
        self.write_part()
    }

    fn write_part(&mut self) -> Action {
        let Stage::Parts {
            revision,
            head,
            ticket,
            parts,
            written,
        } = &mut self.stage
        else {
            return self.fail_unavailable();
        };
        *ticket = self.tickets.issue();
        let ticket = *ticket;
        let accepted = head.current();
        if let (Some(value), Some(accepted)) = (parts.get(*written as usize), accepted) {
            let op = Op::Put {
                revision: Revision(0),
                value: value.clone(),
            };
            return Action::Store(Call {
                ticket,
                key: accepted.part(*written),
                op,
            });
        }
        let op = Op::Put {
            revision: *revision,
            value: store::encode(head),
        };
        let generation = head.generation();
        self.stage = Stage::Head { ticket, generation };
        Action::Store(Call {
            ticket,
            key: head::HEAD.to_owned(),
            op,
        })
    }

    fn take_part(&mut self, answer: &Answer) -> Action {
        match answer {
            // A conflict means that an earlier write of the same part stands.
            Answer::Written { .. } | Answer::Conflict => {
                if let Stage::Parts { written, .. } = &mut self.stage {
                    *written += 1;
                }
                self.write_part()
            }
            _ => self.restart(),
        }
    }

    fn take_head(&mut self, generation: Generation, answer: &Answer) -> Action {
        match answer {
            Answer::Written { .. } => self.end(Ok(generation)),
            Answer::Conflict => self.restart(),
            _ => {
                self.may_stand = true;
                self.restart()
            }
        }
    }
}
