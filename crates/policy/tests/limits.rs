//! Request limits of servers: who may send how much.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tamaracksail_model::backend::{Registration, State};
use tamaracksail_model::rate::Rate;
use tamaracksail_model::time::Instant;
use tamaracksail_policy::fleet::{Fleet, Query, ServerKey};
use tamaracksail_policy::limit::{
    Authority, Grant, Limiter, MIN_REFUSAL, Observation, PERMIT_VALIDITY, retry_after,
};

/// The time over which the platform counts requests.
const WINDOW: Duration = Duration::from_secs(4);

fn at(millis: u64) -> Instant {
    Instant::from_millis(1_000_000 + millis)
}

fn registration(instance: &str) -> Registration {
    Registration {
        instance: instance.to_owned(),
        started_at_ms: Some(1),
        service: "app".to_owned(),
        software: "v1".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "d1".to_owned(),
        slots: 4,
        state: State::Ready,
        models: BTreeMap::new(),
    }
}

/// A gateway with servers `s0`, `s1` and so on that state `limits`.
fn gateway(limits: &[Option<f64>], phase: f64) -> (Fleet, Vec<ServerKey>) {
    let mut fleet = Fleet::new(Limiter::new(phase));
    let mut keys = Vec::new();
    for (number, per_second) in limits.iter().enumerate() {
        let instance = format!("s{number}");
        fleet.register(registration(&instance));
        let key = fleet.key_of(&instance, Some(1)).expect("it is registered");
        state(&mut fleet, key, at(0), *per_second);
        keys.push(key);
    }
    (fleet, keys)
}

fn state(fleet: &mut Fleet, key: ServerKey, now: Instant, per_second: Option<f64>) {
    let limit = per_second.map(|number| Rate::try_from(number).expect("a rate"));
    let observation = Observation { limit, at: now };
    fleet.limiter_mut().observe(now, key, observation);
}

/// Returns the query for a server of the service for a caller in the domain `d1`.
fn query(except: &[ServerKey]) -> Query<'_> {
    Query {
        service: "app",
        software: None,
        domain: "d1",
        except,
    }
}

/// Returns the largest number of requests in any window.
fn peak(mut sent: Vec<Instant>) -> usize {
    sent.sort_unstable();
    let count = |(index, start): (usize, &Instant)| {
        sent[index..].partition_point(|at| at.since(*start) < WINDOW)
    };
    sent.iter().enumerate().map(count).max().unwrap_or(0)
}

/// Returns the number of requests that the platform's rule allows in a window.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn allowed(per_second: f64) -> usize {
    (per_second * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

#[test]
fn the_grantor_uses_a_limit_fully_and_no_more() {
    let (mut fleet, keys) = gateway(&[Some(3.0)], 0.0);
    let own = Authority::Own { share: 1.0 };
    fleet.limiter_mut().set_authority(at(0), own);
    let mut sent = Vec::new();
    for millis in (0..40_000).step_by(5) {
        if fleet.limiter().allows(at(millis), keys[0]) {
            fleet.limiter_mut().take(at(millis), keys[0]);
            sent.push(at(millis));
        }
    }
    assert!((119..=120).contains(&sent.len()), "{}", sent.len());
    assert!(peak(sent) <= 13);
}

#[test]
fn a_limit_of_zero_still_lets_a_request_through_that_notices_its_end() {
    let (mut fleet, keys) = gateway(&[Some(0.0)], 0.0);
    let own = Authority::Own { share: 1.0 };
    fleet.limiter_mut().set_authority(at(0), own);
    assert!(!fleet.limiter().allows(at(3_900), keys[0]));
    assert!(fleet.limiter().allows(at(4_100), keys[0]));
    state(&mut fleet, keys[0], at(4_200), None);
    assert!(fleet.limiter().allows(at(4_200), keys[0]));
}

#[test]
fn refused_gateways_are_told_to_come_back_one_after_the_other() {
    let (mut fleet, keys) = gateway(&[Some(2.0)], 0.0);
    let own = Authority::Own { share: 1.0 };
    let limiter = fleet.limiter_mut();
    limiter.set_authority(at(0), own);
    let times: Vec<Grant> = (0..4)
        .map(|_| limiter.grant(at(0), &keys, 1, Duration::ZERO))
        .collect();
    let refused = |millis| Grant::Refused(Duration::from_millis(millis));
    let expected = [refused(500), refused(1000), refused(1500), refused(2000)];
    assert_eq!(times, expected);
    let reserved = limiter.grant(at(0), &keys, 1, Duration::from_millis(500));
    let wait = Duration::from_millis(500);
    assert_eq!(reserved, Grant::Permits(vec![(keys[0], 1, wait)]));
    assert!(!limiter.allows(at(600), keys[0]), "the token is reserved");
}

#[test]
fn a_process_that_begins_to_grant_permits_has_none() {
    let (mut fleet, keys) = gateway(&[Some(8.0)], 0.0);
    let limiter = fleet.limiter_mut();
    limiter.set_authority(at(10_000), Authority::Own { share: 1.0 });
    assert!(!limiter.allows(at(10_000), keys[0]));
    assert!(limiter.allows(at(10_125), keys[0]));
    limiter.set_authority(at(20_000), Authority::Peer);
    limiter.set_authority(at(20_000), Authority::Own { share: 0.5 });
    assert!(!limiter.allows(at(20_125), keys[0]));
    assert!(limiter.allows(at(20_250), keys[0]));
}

#[test]
fn an_older_observation_does_not_replace_a_newer_one() {
    let (mut fleet, keys) = gateway(&[Some(2.0)], 0.0);
    state(&mut fleet, keys[0], at(5_000), None);
    state(&mut fleet, keys[0], at(4_000), Some(2.0));
    assert_eq!(fleet.limiter().limit(keys[0]), None);
    let mut restarted = registration("s0");
    restarted.started_at_ms = Some(2);
    state(&mut fleet, keys[0], at(6_000), Some(2.0));
    fleet.register(restarted);
    let key = fleet.key_of("s0", Some(2)).expect("it is registered");
    assert_eq!(
        fleet.limiter().limit(key),
        None,
        "it knows nothing of before"
    );
}

#[test]
fn a_gateway_without_permits_prefers_other_servers_and_asks_if_they_are_slower() {
    let (mut fleet, keys) = gateway(&[Some(2.0), None], 0.0);
    let limiter = fleet.limiter_mut();
    limiter.set_authority(at(0), Authority::Peer);
    let chosen = fleet.choose(at(0), query(&[]));
    assert_eq!(chosen, Some(keys[1]));
    let needing = |fleet: &Fleet| fleet.needing_permit(at(0), query(&[]), chosen);
    assert!(needing(&fleet).is_empty());
    for _ in 0..4 {
        fleet.record_sent(keys[1]);
    }
    assert_eq!(needing(&fleet), [keys[0]]);
    fleet.limiter_mut().add_permits(at(0), keys[0], 1);
    assert_eq!(fleet.choose(at(0), query(&[])), Some(keys[0]));
    let expired = at(0).after(PERMIT_VALIDITY);
    assert_eq!(fleet.choose(expired, query(&[])), Some(keys[1]));
}

#[test]
fn three_hundred_gateways_that_reach_no_grantor_keep_small_limits_together() {
    for per_second in [0.5, 2.0, 20.0] {
        let mut sent = Vec::new();
        for number in 0..300_u32 {
            let phase = f64::from(number * 7919 % 300) / 300.0;
            let (mut fleet, keys) = gateway(&[Some(per_second)], phase);
            let limiter = fleet.limiter_mut();
            let gateways = Some(300);
            limiter.set_authority(at(0), Authority::Unreachable { gateways });
            for millis in (0..60_000).step_by(50) {
                if limiter.allows(at(millis), keys[0]) {
                    limiter.take(at(millis), keys[0]);
                    sent.push(at(millis));
                }
            }
        }
        assert!(!sent.is_empty());
        assert!(peak(sent) <= allowed(per_second), "{per_second}");
    }
}

#[test]
fn a_gateway_that_does_not_know_how_many_share_a_limit_does_not_use_it() {
    let (mut fleet, keys) = gateway(&[Some(100.0)], 0.5);
    let limiter = fleet.limiter_mut();
    limiter.set_authority(at(0), Authority::Unreachable { gateways: None });
    assert!((0..9_000).all(|millis| !limiter.allows(at(millis), keys[0])));
}

/// What a gateway does in one step of the simulation below.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A gateway asks for a number of permits.
    Ask(u32),
    /// The grantor sends items.
    Items(u32),
    /// The server states another limit, in tenths of the first one.
    Change(u32),
    /// Another process begins to grant permits.
    TakeOver,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => (1..5_u32).prop_map(Step::Ask),
        4 => (1..30_u32).prop_map(Step::Items),
        1 => (1..10_u32).prop_map(Step::Change),
        1 => Just(Step::TakeOver),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn permits_keep_a_limit_whatever_gateways_ask_for_and_whoever_grants(
        per_second in 0.2..40.0_f64,
        steps in proptest::collection::vec((step(), 0..60_u64), 200..600),
    ) {
        let (mut grantor, keys) = gateway(&[Some(per_second)], 0.0);
        let key = keys[0];
        grantor.limiter_mut().set_authority(at(0), Authority::Own { share: 1.0 });
        // Permits are used at the last moment, which is the worst for the limit.
        let mut sent = Vec::new();
        let mut millis = 0;
        for (step, pause) in steps {
            millis += pause;
            let now = at(millis);
            let limiter = grantor.limiter_mut();
            match step {
                Step::Ask(count) => {
                    let max_wait = Duration::from_millis(200);
                    if let Grant::Permits(granted) = limiter.grant(now, &keys, count, max_wait) {
                        for (_, count, delay) in granted {
                            let used_at = now.after(delay + PERMIT_VALIDITY);
                            sent.extend((0..count).map(|_| used_at));
                        }
                    }
                }
                Step::Items(count) => {
                    let budget = limiter.budget(now, key).unwrap_or(0);
                    for _ in 0..count.min(budget) {
                        limiter.take(now, key);
                        sent.push(now);
                    }
                }
                Step::Change(tenths) => {
                    let lower = per_second * f64::from(tenths) / 10.0;
                    state(&mut grantor, key, now, Some(lower));
                }
                Step::TakeOver => {
                    limiter.set_authority(now, Authority::Peer);
                    limiter.set_authority(now, Authority::Own { share: 1.0 });
                }
            }
        }
        prop_assert!(peak(sent) <= allowed(per_second));
    }
}

// Guards against: a client that is refused is told to come back at once, since the next permit is less than
// half a millisecond away.
#[test]
fn a_refusal_names_a_time_that_a_response_can_state() {
    for micros in [0, 1, 400, 499, 19_000] {
        let after = retry_after(Duration::from_micros(micros));
        assert_eq!(after, MIN_REFUSAL, "{micros}");
    }
    let long = Duration::from_millis(700);
    assert_eq!(retry_after(long), long);
}
