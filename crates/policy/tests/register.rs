//! Batches whose loads, reads, ends and removals meet in any order.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use tamaracksail_policy::batch::Register;

const IDS: [&str; 2] = ["a", "b"];

/// What happens to a batch at the process that schedules, by its number.
#[derive(Clone, Copy, Debug)]
enum Input {
    /// Its manifest is read from the store, and its load begins if it is not ended.
    BeginLoad(usize),
    /// The load that began first is complete: it is scheduled, or restored if its manifest was ended.
    FinishLoad,
    /// Its client ends it at this process.
    End(usize),
    /// Its client ends it at another process: only the store knows.
    EndElsewhere(usize),
    /// The watch shows its manifest.
    Watch(usize),
    /// Its log is evicted.
    Evict(usize),
    /// It is removed from the store by this process.
    Remove(usize),
    /// The term ends, and the next begins with a list of the manifests.
    ChangeTerm,
}

/// A load in progress: the batch, the term, and whether its manifest was ended.
type Load = (usize, u64, bool);

/// What the store has of a batch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stored {
    #[default]
    Open,
    Ended,
    Removed,
}

#[derive(Default)]
struct Process {
    register: Register<u64, u64>,
    stored: [Stored; 2],
    /// The batches whose end this process has seen in this term, or read from the store.
    seen_ends: BTreeSet<usize>,
    /// The scheduler's batches, by key.
    scheduled: BTreeMap<u64, usize>,
    loads: Vec<Load>,
    term: u64,
    last_key: u64,
}

impl Process {
    fn close(&mut self, key: Option<u64>) {
        if let Some(key) = key {
            assert!(
                self.scheduled.remove(&key).is_some(),
                "it was not scheduled"
            );
        }
    }

    fn end(&mut self, batch: usize) {
        self.seen_ends.insert(batch);
        let key = self.register.end(IDS[batch]);
        self.close(key);
    }

    fn forget(&mut self, batch: usize) {
        self.seen_ends.insert(batch);
        let key = self.register.forget(IDS[batch]);
        self.close(key);
    }

    fn watch(&mut self, batch: usize) {
        match self.stored[batch] {
            Stored::Open if self.register.may_open(IDS[batch]) => self.begin_load(batch, false),
            Stored::Open => {}
            Stored::Ended => self.end(batch),
            Stored::Removed => self.forget(batch),
        }
    }

    fn begin_load(&mut self, batch: usize, is_ended: bool) {
        self.register.begin_load(IDS[batch]);
        self.loads.push((batch, self.term, is_ended));
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::BeginLoad(batch) => match self.stored[batch] {
                Stored::Open => self.begin_load(batch, false),
                Stored::Ended => {
                    self.end(batch);
                    self.begin_load(batch, true);
                }
                Stored::Removed => {}
            },
            Input::FinishLoad if self.loads.is_empty() => {}
            Input::FinishLoad => {
                let (batch, term, is_ended) = self.loads.remove(0);
                if term == self.term && is_ended {
                    let key = self.register.restore(IDS[batch], 0);
                    self.close(key);
                } else if term == self.term {
                    self.last_key += 1;
                    let key = self.last_key;
                    if self.register.open(IDS[batch], || (key, key)) {
                        self.scheduled.insert(key, batch);
                    }
                }
                self.register.end_load(IDS[batch]);
            }
            Input::End(batch) if self.stored[batch] == Stored::Removed => {}
            Input::End(batch) => {
                self.stored[batch] = Stored::Ended;
                self.end(batch);
            }
            Input::EndElsewhere(batch) if self.stored[batch] == Stored::Removed => {}
            Input::EndElsewhere(batch) => self.stored[batch] = Stored::Ended,
            Input::Watch(batch) => self.watch(batch),
            Input::Evict(batch) => {
                if !self.register.is_open(IDS[batch]) {
                    let _ = self.register.drop_log(IDS[batch]);
                }
            }
            Input::Remove(batch) => {
                self.stored[batch] = Stored::Removed;
                self.forget(batch);
            }
            Input::ChangeTerm => {
                drop(self.register.clear());
                self.scheduled.clear();
                self.seen_ends.clear();
                self.term += 1;
                for batch in 0..IDS.len() {
                    if self.stored[batch] != Stored::Removed {
                        self.watch(batch);
                    }
                }
            }
        }
        self.check();
    }

    fn check(&self) {
        for (key, batch) in &self.scheduled {
            assert!(
                !self.seen_ends.contains(batch),
                "{batch} runs after its end"
            );
            assert_eq!(self.register.id(*key), Some(IDS[*batch]));
            assert!(self.register.is_open(IDS[*batch]));
            // The log of a batch that runs is the one that was opened with it.
            assert_eq!(self.register.log(IDS[*batch]), Some(key));
        }
        for (batch, id) in IDS.iter().enumerate() {
            let of_batch = self.scheduled.values().filter(|found| **found == batch);
            assert!(of_batch.count() <= 1, "{batch} runs twice");
            let is_loading = self.loads.iter().any(|(found, ..)| *found == batch);
            if self.stored[batch] == Stored::Removed && !is_loading {
                assert!(self.register.log(id).is_none(), "a removed batch has a log");
            }
        }
    }
}

fn input() -> impl Strategy<Value = Input> {
    let batch = 0..IDS.len();
    prop_oneof![
        batch.clone().prop_map(Input::BeginLoad),
        Just(Input::FinishLoad),
        Just(Input::FinishLoad),
        batch.clone().prop_map(Input::End),
        batch.clone().prop_map(Input::EndElsewhere),
        batch.clone().prop_map(Input::Watch),
        batch.clone().prop_map(Input::Evict),
        batch.prop_map(Input::Remove),
        Just(Input::ChangeTerm),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    // Guards against: a batch that runs, or loses the log by which it is found, after its end or removal.
    #[test]
    fn an_end_holds_in_any_order_of_loads_reads_watches_terms_and_removals(
        inputs in proptest::collection::vec(input(), 1..40)
    ) {
        let mut process = Process::default();
        for input in inputs {
            process.handle(input);
        }
        // Nothing remains of batches that were removed, once their loads have ended.
        while !process.loads.is_empty() {
            process.handle(Input::FinishLoad);
        }
        for (batch, id) in IDS.iter().enumerate() {
            if process.stored[batch] == Stored::Removed {
                process.handle(Input::Remove(batch));
                let logs: Vec<&str> = process.register.logs().map(|(id, ..)| id).collect();
                prop_assert!(!logs.contains(id));
            }
        }
        if process.stored == [Stored::Removed; 2] {
            prop_assert!(process.register.is_empty());
        }
    }
}
