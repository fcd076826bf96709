//! Reads the head object and a configuration snapshot that it lists.

use tamaracksail_model::config::Snapshot;
use tamaracksail_model::id::{Generation, Revision};

use super::head::{self, AcceptedChange, Head};
use crate::store::{self, Call, CallId, CallIds, CallResult, Op, Reply};

/// The outcome of a fetch.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The revision of the head, the head, and the requested snapshot.
    Found(Revision, Head, Snapshot),
    /// The platform did not respond, or an object is missing or malformed.
    Failed,
    /// The requested generation is no longer in the history.
    NotInHistory,
}

#[derive(Clone, Debug)]
enum Stage {
    Head,
    Parts {
        revision: Revision,
        head: Head,
        accepted: AcceptedChange,
        parts: Vec<Vec<u8>>,
    },
}

/// A fetch in progress, of the newest generation or of an older one that the head still lists.
#[derive(Clone, Debug)]
pub struct Fetch {
    call_id: CallId,
    generation: Option<Generation>,
    stage: Stage,
}

impl Fetch {
    /// Starts a fetch of `generation`, or of the newest generation if it is `None`.
    pub fn start(call_ids: &mut CallIds, generation: Option<Generation>) -> (Self, Call) {
        let call_id = call_ids.issue();
        let call = Call {
            call_id,
            key: head::HEAD_KEY.to_owned(),
            op: Op::Get,
        };
        (
            Self {
                call_id,
                generation,
                stage: Stage::Head,
            },
            call,
        )
    }

    /// Returns the id of the pending call.
    #[must_use]
    pub fn call_id(&self) -> CallId {
        self.call_id
    }

    /// Handles a reply and returns the next call, or `None` if the reply belongs to another call.
    ///
    /// # Errors
    /// Returns the outcome, successful or not, once the fetch has ended.
    pub fn handle_reply(
        &mut self,
        call_ids: &mut CallIds,
        reply: &Reply,
    ) -> Result<Option<Call>, Outcome> {
        if reply.call_id != self.call_id {
            return Ok(None);
        }
        match &reply.result {
            CallResult::Value { revision, value } => self.handle_value(call_ids, *revision, value),
            CallResult::Missing if matches!(self.stage, Stage::Head) => Err(Outcome::Found(
                Revision(0),
                Head::default(),
                Snapshot::default(),
            )),
            _ => Err(Outcome::Failed),
        }
    }

    fn handle_value(
        &mut self,
        call_ids: &mut CallIds,
        at: Revision,
        value: &[u8],
    ) -> Result<Option<Call>, Outcome> {
        match &mut self.stage {
            Stage::Head => {
                let head: Head =
                    store::decode(head::HEAD_KEY, value).map_err(|_| Outcome::Failed)?;
                let wanted = self.generation.unwrap_or(head.generation());
                let accepted = head.find(wanted).cloned().ok_or(Outcome::NotInHistory)?;
                self.stage = Stage::Parts {
                    revision: at,
                    head,
                    accepted,
                    parts: Vec::new(),
                };
            }
            Stage::Parts { parts, .. } => parts.push(value.to_vec()),
        }
        self.advance(call_ids)
    }

    fn advance(&mut self, call_ids: &mut CallIds) -> Result<Option<Call>, Outcome> {
        let Stage::Parts {
            revision,
            head,
            accepted,
            parts,
        } = &self.stage
        else {
            return Err(Outcome::Failed);
        };
        let index = u32::try_from(parts.len()).unwrap_or(u32::MAX);
        if index < accepted.parts {
            self.call_id = call_ids.issue();
            let call = Call {
                call_id: self.call_id,
                key: accepted.part_key(index),
                op: Op::Get,
            };
            return Ok(Some(call));
        }
        match head::decode_parts(accepted.generation, parts) {
            Ok(snapshot) => Err(Outcome::Found(*revision, head.clone(), snapshot)),
            Err(_) => Err(Outcome::Failed),
        }
    }
}
