//! Fair sharing of a service among client accounts, under simulated load.

#[path = "common/admission.rs"]
mod simulation;

use std::time::Duration;

use simulation::{Account, Simulation, capacity};

/// The plain service: its servers and the slots of each.
const APP: (u32, u32) = (4, 6);

/// The engines: their number and the slots of each.
const ENGINES: (u32, u32) = (41, 8);

/// How long a simulation runs before its figures count.
const WARM_UP: Duration = Duration::from_secs(5);

const MEASURED: Duration = Duration::from_mins(1);

/// Returns the rates of `count` accounts whose demand follows Zipf's law with the skew 1.2.
fn zipf(count: u32, total: f64) -> Vec<f64> {
    let weights: Vec<f64> = (1..=count).map(|rank| f64::from(rank).powf(-1.2)).collect();
    let sum: f64 = weights.iter().sum();
    weights.iter().map(|weight| weight / sum * total).collect()
}

/// Runs a service with this load.
fn run(parts: &[f64], service: (u32, u32), rates: &[f64]) -> Simulation {
    run_seeded(7, parts, service, rates)
}

fn run_seeded(seed: u64, parts: &[f64], (servers, slots): (u32, u32), rates: &[f64]) -> Simulation {
    let mut simulation = Simulation::new(seed, parts, servers, slots, rates);
    simulation.run(WARM_UP);
    simulation.start_measuring();
    simulation.run(MEASURED);
    simulation.finish();
    simulation
}

/// Checks that each account that offers less than an equal share of `capacity` is served 95 % or
/// more, that no account gets less than a quarter of the average rate of service (or of what it
/// offers), and that no request waits past its objective and is then refused.
fn assert_fair(accounts: &[Account], capacity: f64) {
    let count = f64::from(u32::try_from(accounts.len()).expect("some accounts"));
    let share = capacity / count;
    let served: u32 = accounts.iter().map(|account| account.served).sum();
    let mut worst = 1.0_f64;
    let average = f64::from(served) / count;
    for (number, account) in accounts.iter().enumerate() {
        assert_eq!(account.refused_late, 0, "account {number}: {account:?}");
        if f64::from(account.offered) < share * MEASURED.as_secs_f64() {
            let part = account.served_part();
            assert!(part >= 0.95, "account {number}: {part:.3} of {account:?}");
            worst = worst.min(part);
        }
        let least = (average / 4.0).min(f64::from(account.offered) / 4.0);
        assert!(
            f64::from(account.served) >= least,
            "account {number}: less than {least} of {account:?}"
        );
    }
    let late: u32 = accounts.iter().map(|account| account.late).sum();
    println!("worst account within its share: {worst:.3} served; {served} served, {late} late");
}

#[test]
fn an_account_that_sends_twenty_times_its_share_delays_no_other() {
    let capacity = capacity(APP.0, APP.1);
    let share = capacity / 10.0;
    let mut rates = vec![share * 0.8; 9];
    rates.push(share * 20.0);
    let simulation = run(&[1.0], APP, &rates);
    assert_fair(&simulation.accounts, capacity);
    // What the others leave goes to the account that asks for it.
    assert!(f64::from(simulation.served()) >= 0.9 * capacity * MEASURED.as_secs_f64());
}

#[test]
fn without_admission_a_flood_keeps_other_accounts_from_being_served() {
    let share = capacity(APP.0, APP.1) / 10.0;
    let mut rates = vec![share * 0.8; 9];
    rates.push(share * 20.0);
    let mut simulation = Simulation::new(7, &[1.0], APP.0, APP.1, &rates);
    simulation.has_admission = false;
    simulation.run(WARM_UP);
    simulation.start_measuring();
    simulation.run(MEASURED);
    simulation.finish();
    assert!(simulation.accounts[0].served_part() < 0.8);
}

#[test]
fn accounts_that_all_send_twenty_times_their_share_are_served_alike() {
    let capacity = capacity(APP.0, APP.1);
    let rates = vec![capacity / 10.0 * 20.0; 10];
    let simulation = run(&[1.0], APP, &rates);
    assert_fair(&simulation.accounts, capacity);
    assert!(f64::from(simulation.served()) >= 0.9 * capacity * MEASURED.as_secs_f64());
    for account in &simulation.accounts {
        let (least, most) = account.retry_after.expect("requests were refused");
        assert!(least * 2 <= most, "not spread: {least:?} to {most:?}");
    }
}

#[test]
fn below_capacity_no_request_waits() {
    let (servers, slots) = ENGINES;
    let rates = zipf(80, 0.7 * capacity(servers, slots));
    let simulation = run(&[1.0], ENGINES, &rates);
    let waited: u32 = simulation.accounts.iter().map(|a| a.waited).sum();
    let refused: u32 = simulation.accounts.iter().map(|a| a.refused).sum();
    assert_eq!((waited, refused), (0, 0));
}

#[test]
fn a_request_waits_only_while_all_slots_are_used() {
    let rates = zipf(80, 0.7 * capacity(APP.0, APP.1));
    let simulation = run(&[1.0], APP, &rates);
    assert_eq!(simulation.needless_waits, 0);
    let waited: u32 = simulation.accounts.iter().map(|a| a.waited).sum();
    assert!(waited > 0, "the load must reach the capacity at times");
    assert_fair(&simulation.accounts, capacity(APP.0, APP.1));
}

#[test]
fn eighty_accounts_share_a_service_at_its_capacity() {
    let capacity = capacity(APP.0, APP.1);
    let simulation = run(&[1.0], APP, &zipf(80, capacity));
    assert_fair(&simulation.accounts, capacity);
}

#[test]
fn eighty_accounts_share_an_overloaded_service() {
    let capacity = capacity(APP.0, APP.1);
    let simulation = run(&[1.0], APP, &zipf(80, 1.5 * capacity));
    assert_fair(&simulation.accounts, capacity);
    assert!(f64::from(simulation.served()) >= 0.9 * capacity * MEASURED.as_secs_f64());
}

#[test]
fn accounts_are_served_alike_through_uneven_gateways() {
    let capacity = capacity(APP.0, APP.1);
    let parts = [8.0, 4.0, 4.0, 2.0, 2.0, 1.0, 1.0, 1.0];
    for seed in [7, 8, 9, 10] {
        let simulation = run_seeded(seed, &parts, APP, &zipf(80, 1.5 * capacity));
        assert_fair(&simulation.accounts, capacity);
    }
}

#[test]
fn accounts_are_served_alike_while_a_gateway_is_lost_and_comes_back() {
    let capacity = capacity(APP.0, APP.1);
    let rates = zipf(80, 1.5 * capacity);
    let mut simulation = Simulation::new(7, &[1.0; 4], APP.0, APP.1, &rates);
    simulation.run(WARM_UP);
    simulation.start_measuring();
    simulation.set_gateway(Duration::from_secs(20), 1, false);
    simulation.set_gateway(Duration::from_secs(40), 1, true);
    simulation.run(MEASURED);
    simulation.finish();
    assert_fair(&simulation.accounts, capacity);
}

#[test]
fn an_account_of_one_request_a_minute_is_served_beside_a_flood() {
    let capacity = capacity(APP.0, APP.1);
    let mut rates = vec![1.0 / 60.0];
    rates.extend([capacity; 3]);
    let mut simulation = Simulation::new(7, &[1.0], APP.0, APP.1, &rates);
    simulation.run(WARM_UP);
    simulation.start_measuring();
    simulation.run(Duration::from_mins(20));
    simulation.finish();
    let quiet = &simulation.accounts[0];
    assert!(quiet.offered >= 10, "{quiet:?}");
    assert_eq!(quiet.served, quiet.offered);
    // The next slot that becomes free is its own: 24 slots, 55 ms at most.
    assert!(quiet.longest_wait < Duration::from_millis(20), "{quiet:?}");
    assert_fair(&simulation.accounts, capacity);
}
