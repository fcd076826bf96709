//! Reads the head and the snapshot that it names.

use tamaracksail_model::config::Snapshot;
use tamaracksail_model::id::{Generation, Revision};

use super::head::{self, Accepted, Head};
use crate::store::{self, Answer, Call, Op, Reply, Ticket, Tickets};

/// What a fetch came to.
#[derive(Clone, Debug, PartialEq)]
pub enum Done {
    /// The head and the snapshot it names.
    Found(Revision, Head, Snapshot),
    /// The platform did not answer, or a part is missing.
    Failed,
    /// The generation asked for is not listed any more.
    Unlisted,
}

#[derive(Clone, Debug)]
enum Stage {
    Head,
    Parts {
        revision: Revision,
        head: Head,
        accepted: Accepted,
        parts: Vec<Vec<u8>>,
    },
}

/// A fetch under way. Reads the newest generation, or an older one that the head still lists.
#[derive(Clone, Debug)]
pub struct Fetch {
    ticket: Ticket,
    generation: Option<Generation>,
    stage: Stage,
}

impl Fetch {
    /// Starts a fetch; `generation` none: the newest.
    pub fn start(tickets: &mut Tickets, generation: Option<Generation>) -> (Self, Call) {
        let ticket = tickets.issue();
        let call = Call {
            ticket,
            key: head::HEAD.to_owned(),
            op: Op::Get,
        };
        (
            Self {
                ticket,
                generation,
                stage: Stage::Head,
            },
            call,
        )
    }

    /// The ticket of the call under way.
    #[must_use]
    pub fn ticket(&self) -> Ticket {
        self.ticket
    }

    /// Takes a reply; `Ok` with the next call, `Err` when it is over.
    ///
    /// # Errors
    /// The result: it is over, well or not.
    pub fn reply(&mut self, tickets: &mut Tickets, reply: &Reply) -> Result<Option<Call>, Done> {
        if reply.ticket != self.ticket {
            return Ok(None);
        }
        match &reply.answer {
            Answer::Value { revision, value } => self.take_value(tickets, *revision, value),
            Answer::Missing if matches!(self.stage, Stage::Head) => Err(Done::Found(
                Revision(0),
                Head::default(),
                Snapshot::default(),
            )),
            _ => Err(Done::Failed),
        }
    }

    fn take_value(
        &mut self,
        tickets: &mut Tickets,
        at: Revision,
        value: &[u8],
    ) -> Result<Option<Call>, Done> {
        match &mut self.stage {
            Stage::Head => {
                let head: Head = store::decode(head::HEAD, value).map_err(|_| Done::Failed)?;
                let wanted = self.generation.unwrap_or(head.generation());
                let accepted = head.find(wanted).cloned().ok_or(Done::Unlisted)?;
                self.stage = Stage::Parts {
                    revision: at,
                    head,
                    accepted,
                    parts: Vec::new(),
                };
            }
            Stage::Parts { parts, .. } => parts.push(value.to_vec()),
        }
        self.next(tickets)
    }

    fn next(&mut self, tickets: &mut Tickets) -> Result<Option<Call>, Done> {
        let Stage::Parts {
            revision,
            head,
            accepted,
            parts,
        } = &self.stage
        else {
            return Err(Done::Failed);
        };
        let index = u32::try_from(parts.len()).unwrap_or(u32::MAX);
        if index < accepted.parts {
            self.ticket = tickets.issue();
            let call = Call {
                ticket: self.ticket,
                key: accepted.part(index),
                op: Op::Get,
            };
            return Ok(Some(call));
        }
        match head::join(accepted.generation, parts) {
            Ok(snapshot) => Err(Done::Found(*revision, head.clone(), snapshot)),
            Err(_) => Err(Done::Failed),
        }
    }
}
