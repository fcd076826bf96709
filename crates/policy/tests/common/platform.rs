//! A fake of the platform's object API, with faults.

use std::collections::BTreeMap;

use tamaracksail_model::id::Revision;
use tamaracksail_model::store::{Call, CallResult, Op, Reply};

/// The stored objects, and the injected faults.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    pub objects: BTreeMap<String, (Revision, Vec<u8>)>,
    /// Whether calls are refused.
    pub is_down: bool,
    /// The number of writes that will take effect but whose response is lost.
    pub lose_answers: u32,
    pub writes: u64,
    pub reads: u64,
}

impl Platform {
    pub fn call(&mut self, call: &Call) -> Reply {
        let result = if self.is_down {
            CallResult::Lost
        } else {
            self.result(call)
        };
        Reply {
            call_id: call.call_id,
            result,
        }
    }

    fn result(&mut self, call: &Call) -> CallResult {
        match &call.op {
            Op::Get => {
                self.reads += 1;
                match self.objects.get(&call.key) {
                    Some((revision, value)) => CallResult::Value {
                        revision: *revision,
                        value: value.clone(),
                    },
                    None => CallResult::Missing,
                }
            }
            Op::Put { revision, value } => {
                self.writes += 1;
                let current = self
                    .objects
                    .get(&call.key)
                    .map_or(Revision(0), |(at, _)| *at);
                if current != *revision {
                    return CallResult::Conflict;
                }
                let revision = current.next();
                self.objects
                    .insert(call.key.clone(), (revision, value.clone()));
                if self.lose_answers > 0 {
                    self.lose_answers -= 1;
                    return CallResult::Lost;
                }
                CallResult::Written { revision }
            }
        }
    }
}
