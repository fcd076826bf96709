//! Requests are counted once, in the window in which they began, whatever is repeated or reordered.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tamaracksail_model::time::Instant;
use tamaracksail_model::usage::{Counts, Report, Window};
use tamaracksail_policy::usage::{Collection, Counter, Outbox, Sends, Windows};

fn at(millis: u64) -> Instant {
    Instant::from_millis(1_000_000 + millis)
}

fn report(window: u64, counts: &[(&str, u64)]) -> Report {
    let counts = counts.iter();
    Report {
        window: Window(window),
        counts: counts
            .map(|(name, count)| ((*name).to_owned(), *count))
            .collect(),
    }
}

#[test]
fn a_window_is_closed_two_seconds_after_its_end() {
    let windows = Windows::new(Duration::from_secs(5));
    assert_eq!(windows.at(1_767_225_604_999), Window(353_445_120));
    assert_eq!(windows.at(1_767_225_605_000), Window(353_445_121));
    assert_eq!(windows.end_ms(Window(353_445_120)), 1_767_225_605_000);
    assert_eq!(windows.first_open(1_767_225_606_999), Window(353_445_120));
    assert_eq!(windows.first_open(1_767_225_607_000), Window(353_445_121));
}

#[test]
fn a_request_counts_when_its_first_send_began_that_was_not_refused() {
    let mut sends = Sends::default();
    let (refused, slow, hedge) = (sends.open(), sends.open(), sends.open());
    sends.record_sent(refused, at(100));
    sends.record_refused(refused);
    sends.record_sent(slow, at(200));
    sends.record_sent(hedge, at(300));
    assert_eq!(sends.record_began(refused), None);
    assert_eq!(sends.record_began(hedge), Some(at(200)));
    assert_eq!(sends.record_began(slow), None, "it is counted once");
    let mut unsent = Sends::default();
    let send = unsent.open();
    assert_eq!(unsent.record_began(send), None);
}

#[test]
fn late_counts_are_told_from_repeated_ones() {
    let mut collection = Collection::default();
    assert_eq!(collection.merge(1, &report(4, &[("north", 2)])), 0);
    collection.close_before(Window(5));
    assert_eq!(collection.merge(1, &report(4, &[("north", 2)])), 0);
    assert_eq!(
        collection.merge(1, &report(4, &[("north", 3), ("south", 1)])),
        2
    );
    assert_eq!(collection.merge(1, &report(5, &[("north", 9)])), 0);
}

#[test]
fn unconfirmed_reports_are_sent_again_with_backoff_until_they_are_old() {
    let mut outbox = Outbox::new(Duration::from_millis(40));
    let fixed = [report(1, &[("north", 2)]), report(2, &[])];
    outbox.set(at(0), &fixed, |_| false);
    assert_eq!(outbox.take_due(at(0)).as_ref(), Some(&fixed[0]));
    assert_eq!(outbox.take_due(at(39)), None, "the rate");
    assert_eq!(outbox.take_due(at(40)).as_ref(), Some(&fixed[1]));
    outbox.record_confirmed(Window(2));
    outbox.record_failure(at(100), Window(1), true);
    assert_eq!(outbox.take_due(at(349)), None);
    assert_eq!(outbox.take_due(at(350)).as_ref(), Some(&fixed[0]));
    outbox.record_failure(at(400), Window(1), true);
    assert_eq!(outbox.take_due(at(899)), None, "the pause doubles");
    // After the next write of the object the right to send is new.
    outbox.set(at(500), &fixed, |window| window == Window(2));
    assert_eq!(outbox.take_due(at(500)).as_ref(), Some(&fixed[0]));
    assert_eq!(outbox.give_up_before(Window(1)), []);
    assert_eq!(outbox.give_up_before(Window(2)), [Window(1)]);
    assert_eq!(outbox.reports().count(), 0);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Messages that are repeated, lost and reordered give the true counts once the last has arrived.
    #[test]
    fn the_sum_over_processes_is_exact(
        requests in prop::collection::vec((0u64..3, 0u64..3, 0usize..3), 0..60),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..80),
    ) {
        let accounts = ["north", "south", "west"];
        let mut counters = vec![Counter::default(); 3];
        let mut messages: Vec<(u64, Vec<Report>)> = Vec::new();
        let mut truth: Vec<Counts> = vec![Counts::new(); 3];
        for (process, window, account) in requests {
            let index = usize::try_from(process).expect("few processes");
            let counter = &mut counters[index];
            let before = counter.revision();
            counter.add(Window(window), accounts[account]);
            messages.push((process, counter.changed_since(before)));
            let index = usize::try_from(window).expect("few windows");
            *truth[index].entry(accounts[account].to_owned()).or_default() += 1;
        }
        let mut collection = Collection::default();
        for index in order {
            if !messages.is_empty() {
                let (process, reports) = &messages[index.index(messages.len())];
                for report in reports {
                    collection.merge(*process, report);
                }
            }
        }
        for (process, counter) in (0u64..).zip(&counters) {
            for report in counter.changed_since(0) {
                collection.merge(process, &report);
            }
        }
        // What one process passes on to another is complete.
        let mut copy = Collection::default();
        for (process, reports) in collection.processes(Window(0)) {
            for report in reports {
                copy.merge(process, &report);
            }
        }
        for (window, counts) in (0u64..).zip(&truth) {
            prop_assert_eq!(&copy.total(Window(window)), counts);
        }
    }
}
