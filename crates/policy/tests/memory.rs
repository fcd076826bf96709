//! The budget of bytes of a process.

use proptest::prelude::*;
use tamaracksail_policy::memory::{Budget, Reservation, Use};

const MIB: u64 = 1 << 20;

/// Guards against a gateway of the least size that cannot take the largest body at all.
#[test]
fn the_least_process_fits_the_largest_body() {
    let budget = Budget::of_process(112 * MIB);
    let first = budget.reserve(Use::Request, Some("north"), 32 * MIB);
    assert!(first.is_ok(), "{first:?}");
    let second = budget.reserve(Use::Request, Some("south"), 32 * MIB);
    let error = second.expect_err("it does not fit");
    insta::assert_snapshot!(error, @"33554432 bytes do not fit: 33554432 of 62914560 are used, 0 by the account");
    drop(first);
    assert_eq!(budget.used(), 0);
    assert!(budget.reserve(Use::Batch, Some("south"), 32 * MIB).is_ok());
}

/// Guards against one account whose bodies keep those of all others out.
#[test]
fn an_account_leaves_room_for_others() {
    let budget = Budget::new(64 * MIB);
    let mut held = Vec::new();
    while let Ok(body) = budget.reserve(Use::Request, Some("north"), MIB) {
        held.push(body);
    }
    assert_eq!(budget.used_by("north"), 32 * MIB);
    for account in ["south", "east"] {
        assert!(budget.reserve(Use::Request, Some(account), 8 * MIB).is_ok());
    }
    // Without accounts, requests share what there is, apart from what is kept.
    while let Ok(body) = budget.reserve(Use::Request, None, MIB) {
        held.push(body);
    }
    assert_eq!(budget.used(), 56 * MIB);
    assert!(budget.reserve(Use::Response, None, 8 * MIB).is_ok());
    drop(held);
    assert_eq!(budget.used_by("north"), 0);
}

#[test]
fn bytes_that_are_in_memory_count_beyond_the_limit() {
    let budget = Budget::new(MIB);
    let chunk = budget.count(Use::Response, Some("north"), 2 * MIB);
    assert!(budget.is_tight());
    assert!(budget.reserve(Use::Peer, None, 1).is_err());
    drop(chunk);
    assert!(!budget.is_tight());
    assert!(budget.reserve(Use::Peer, None, MIB).is_ok());
}

proptest! {
    /// Whatever is reserved, grown and dropped, the sums agree and the limit holds.
    #[test]
    fn reservations_never_exceed_the_limit(
        steps in proptest::collection::vec((0..3_usize, 0..4_usize, 0..300_u64), 1..200),
    ) {
        const LIMIT: u64 = 1000;
        let accounts = [None, Some("north"), Some("south"), Some("east")];
        let budget = Budget::new(LIMIT);
        let mut held = Vec::new();
        for (step, account, bytes) in steps {
            match step {
                0 => held.extend(budget.reserve(Use::Request, accounts[account], bytes)),
                1 if !held.is_empty() => {
                    let index = account % held.len();
                    let before = held[index].bytes();
                    // What does not fit changes nothing.
                    let is_grown = held[index].grow_to(bytes).is_ok();
                    let expected = if is_grown { before.max(bytes) } else { before };
                    prop_assert_eq!(held[index].bytes(), expected);
                }
                _ if !held.is_empty() => drop(held.swap_remove(account % held.len())),
                _ => {}
            }
            let sum: u64 = held.iter().map(Reservation::bytes).sum();
            prop_assert_eq!(budget.used(), sum);
            prop_assert_eq!(budget.used_for(Use::Request), sum);
            prop_assert!(budget.used() <= LIMIT);
        }
        drop(held);
        prop_assert_eq!(budget.used(), 0);
    }
}
