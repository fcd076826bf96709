//! The ledger's transitions, applied in any order and repeatedly.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use tamaracksail_model::id::{Batch, Epoch, Fingerprint, Nonce, Slot, Step, Version};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::version::ledger::{Change, Ledger, Sample, SlotState};

const GROUPS: u32 = 2;
const GROUP_SIZE: u32 = 2;

fn sample(payload: u64) -> Sample {
    Sample {
        payload: Nonce(payload),
        shelves: Vec::new(),
        versions: BTreeSet::from([Version(1)]),
        requested_at: Instant::default(),
        score: None,
    }
}

fn slot() -> impl Strategy<Value = Slot> {
    (0..GROUPS, 0..GROUP_SIZE).prop_map(|(group, index)| Slot { group, index })
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        1 => (1..3u64).prop_map(|step| Change::Open {
            step: Step(step),
            prompts_digest: Fingerprint(step),
            prompt_parts: 1,
            groups: GROUPS,
            group_size: GROUP_SIZE,
        }),
        6 => (1..3u64, slot(), 1..40u64)
            .prop_map(|(step, slot, payload)| Change::Fill(Step(step), slot, sample(payload))),
        1 => (slot(), 1..40u64).prop_map(|(slot, payload)| Change::Empty(slot, Nonce(payload))),
        3 => (1..4u64, 1..4u64).prop_map(|(batch, epoch)| Change::ConfirmBatch(Batch(batch), Epoch(epoch))),
        6 => (1..4u64, 1..4u64, prop::collection::vec(1..40u64, 1..3)).prop_map(|(b, e, p)| {
            Change::AssembleBatch(Batch(b), Epoch(e), p.into_iter().map(Nonce).collect())
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3000,
        rng_seed: prop::test_runner::RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A confirmed slot stays confirmed until the next step. The contents of an epoch never change.
    /// A filled slot is not filled again. Batches are confirmed one after the other. A change that
    /// is applied twice has the effect of one.
    #[test]
    fn changes_keep_what_was_handed_over(changes in prop::collection::vec(change(), 1..120)) {
        let mut ledger = Ledger::default();
        ledger.apply(&Change::Open {
            step: Step(1),
            prompts_digest: Fingerprint(1),
            prompt_parts: 1,
            groups: GROUPS,
            group_size: GROUP_SIZE,
        });
        let mut batch_contents: BTreeMap<(Batch, Epoch), Vec<(Slot, Sample)>> = BTreeMap::new();
        for change in changes {
            let before = ledger.clone();
            let applied = ledger.apply(&change);
            prop_assert!(applied || ledger == before);
            if ledger.step == before.step {
                for (old, new) in before.slot_states.iter().zip(&ledger.slot_states) {
                    prop_assert!(*old != SlotState::Confirmed || *new == SlotState::Confirmed);
                    let is_refilled = matches!((old, new), (SlotState::Filled(a), SlotState::Filled(b)) if a.payload != b.payload);
                    prop_assert!(!is_refilled);
                }
            } else {
                prop_assert!(before.is_complete());
            }
            prop_assert!(ledger.held == before.held || ledger.held == before.held.next());
            for contents in &ledger.batch_contents {
                let known = batch_contents
                    .entry((ledger.held.next(), contents.epoch))
                    .or_insert_with(|| contents.slots.clone());
                prop_assert_eq!(&contents.slots, known);
            }
            let payloads: Vec<Nonce> = ledger.samples().map(|(_, s)| s.payload).collect();
            let in_batch = ledger.current().map_or(0, |contents| contents.slots.len());
            prop_assert!(in_batch <= ledger.slot_states.len() && payloads.len() <= ledger.slot_states.len());
            let again = ledger.clone();
            let mut twice = ledger.clone();
            if matches!(change, Change::Fill(..) | Change::ConfirmBatch(..) | Change::Open { .. }) {
                twice.apply(&change);
                prop_assert_eq!(twice, again);
            }
        }
    }
}
