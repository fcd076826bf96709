//! The schedule of faults and planned changes of a run, drawn from a seed.

use std::fmt;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tamaracksail_adapter_standins::store::WATCHED_KINDS;

/// The time before the first event, in which all processes start to work.
const FIRST_FAULT_DELAY: Duration = Duration::from_secs(2);

/// The mean time between the starts of two events. Most events last longer, so that they overlap.
const MEAN_FAULT_INTERVAL: Duration = Duration::from_millis(1100);

/// The mean time between two statements of a request limit.
const MEAN_LIMIT_INTERVAL: Duration = Duration::from_millis(2500);

/// The mean time between two times at which the connections to the store go silent.
const MEAN_SILENCE_INTERVAL: Duration = Duration::from_secs(8);

/// Makes the seed of these differ from that of the other events.
const SILENCE_SEED_MASK: u64 = 0x7369_6c65_6e63;

/// The mean time between two faults in the answers of a server or of the store.
const MEAN_ANSWER_INTERVAL: Duration = Duration::from_secs(4);

/// Makes the seed of these differ from that of the other events.
const ANSWER_SEED_MASK: u64 = 0x616e_7377_6572;

/// Makes the seed of the request limits differ from that of the other events.
const LIMIT_SEED_MASK: u64 = 0x6c69_6d69_7473;

/// The specs of entries that cannot be read: of another type, with a number out of range, with a byte that is not UTF-8.
pub const ODD_SPECS: [&[u8]; 4] = [
    b"null",
    b"[7]",
    b"{\"slots\":1e999}",
    b"{\"zone\":\"\xff\"}",
];

/// The state of a network link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// Bytes are forwarded.
    Open,
    /// Bytes are forwarded after a delay.
    Slow(Duration),
    /// No bytes are forwarded in either direction, and new connections hang.
    Silent,
    /// No bytes are forwarded to the server.
    NoRequests,
    /// No bytes are forwarded from the server.
    NoResponses,
    /// Requests are refused with 503 and do not reach the server.
    Refuses,
    /// A second copy of the last response arrives where the next one is due.
    Repeats,
}

/// A fault of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// Every call is refused.
    Busy,
    /// Every connection is closed.
    Reset,
    /// Calls get no response.
    Silent,
    /// Writes are applied, but their responses are lost.
    LosesResponses,
    /// Writes are applied after a delay, and their responses are lost.
    AppliesLate,
}

/// A fault or planned change. Its number is the index of a host or server, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The store has a fault that affects all hosts.
    Store(StoreFault),
    /// The store discards its history of changes.
    HistoryGone,
    /// Another writer adds an entry to the store that cannot be read, of a kind and with a spec given by their
    /// numbers in [`WATCHED_KINDS`] and [`ODD_SPECS`], and removes it later.
    OddEntry(usize, usize),
    /// The open connections of all hosts to the store bring nothing any more.
    SilentConnections,
    /// The link from a host to the store changes its state.
    StoreLink(usize, Link),
    /// The link from clients to a host changes its state.
    ClientLink(usize, Link),
    /// The link from all hosts to a server changes its state.
    ServerLink(usize, Link),
    /// The connections from a host to the store are reset.
    StoreReset(usize),
    /// The connections from clients to a host are reset.
    ClientReset(usize),
    /// The connections from all hosts to a server are reset.
    ServerReset(usize),
    /// The process of a host gets SIGKILL and is restarted.
    Kill(usize),
    /// The processes of all hosts get SIGKILL at the same time and are restarted.
    KillAll,
    /// The process of a host gets SIGTERM and is restarted when it has exited.
    Stop(usize),
    /// The processes of all hosts get SIGTERM one after the other, and are restarted when they have
    /// exited.
    RollingRestart,
    /// The process of a host gets SIGSTOP, and SIGCONT later.
    Freeze(usize),
    /// The process of a host gets SIGHUP.
    Hangup(usize),
    /// A server crashes and restarts with another instance id.
    Crash(usize),
    /// A server registers as draining, stops, and restarts with another instance id.
    Leave(usize),
    /// A server fails its next requests in several ways.
    Fail(usize),
    /// The operator writes a new version of the routes.
    Routes,
    /// A server states a request limit, in tenths of a request per second.
    Limit(usize, u32),
}

/// An event and its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledEvent {
    /// The start of the event, from the start of the run.
    pub at: Duration,
    /// How long the event lasts. Instantaneous events ignore it, as do those that end when a
    /// process or server has been restarted.
    pub duration: Duration,
    /// The event.
    pub event: Event,
}

/// The events of a run in the order of their start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The events.
    pub events: Vec<ScheduledEvent>,
}

impl Plan {
    /// Draws the plan of a run of `length` with these numbers of hosts and servers.
    #[must_use]
    pub fn draw(seed: u64, length: Duration, hosts: usize, servers: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut events = Vec::new();
        let mut at = FIRST_FAULT_DELAY;
        while at < length {
            let event = draw_event(&mut rng, hosts, servers);
            let duration = Duration::from_millis(rng.random_range(150..4500));
            events.push(ScheduledEvent {
                at,
                duration,
                event,
            });
            at += MEAN_FAULT_INTERVAL.mul_f64(rng.random_range(0.0..2.0));
        }
        events.extend(draw_limits(seed, length, servers));
        let silences = draw_apart(
            seed ^ SILENCE_SEED_MASK,
            length,
            MEAN_SILENCE_INTERVAL,
            |_| (Event::SilentConnections, Duration::ZERO),
        );
        events.extend(silences);
        let answers = draw_apart(
            seed ^ ANSWER_SEED_MASK,
            length,
            MEAN_ANSWER_INTERVAL,
            |rng| {
                let event = draw_answer_fault(rng, hosts, servers);
                (event, Duration::from_millis(rng.random_range(300..5000)))
            },
        );
        events.extend(answers);
        events.sort_by_key(|event| event.at);
        Self { events }
    }
}

/// Draws the request limits that servers state. They have a generator of their own, so that a seed
/// keeps its other events.
fn draw_limits(seed: u64, length: Duration, servers: usize) -> Vec<ScheduledEvent> {
    let mut rng = StdRng::seed_from_u64(seed ^ LIMIT_SEED_MASK);
    let mut events = Vec::new();
    let mut at = Duration::ZERO;
    while at < length {
        let tenths = rng.random_range(5..300);
        events.push(ScheduledEvent {
            at,
            duration: Duration::from_millis(rng.random_range(1000..8000)),
            event: Event::Limit(rng.random_range(0..servers), tenths),
        });
        at += MEAN_LIMIT_INTERVAL.mul_f64(rng.random_range(0.0..2.0));
    }
    events
}

/// Draws events and their durations with a generator of their own, `mean` apart.
fn draw_apart(
    seed: u64,
    length: Duration,
    mean: Duration,
    mut draw: impl FnMut(&mut StdRng) -> (Event, Duration),
) -> Vec<ScheduledEvent> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut events = Vec::new();
    let mut at = FIRST_FAULT_DELAY;
    loop {
        at += mean.mul_f64(rng.random_range(0.0..2.0));
        if at >= length {
            return events;
        }
        let (event, duration) = draw(&mut rng);
        events.push(ScheduledEvent {
            at,
            duration,
            event,
        });
    }
}

fn draw_answer_fault(rng: &mut StdRng, hosts: usize, servers: usize) -> Event {
    match rng.random_range(0..4) {
        0 => Event::StoreLink(rng.random_range(0..hosts), Link::Refuses),
        3 => Event::OddEntry(
            rng.random_range(0..WATCHED_KINDS.len()),
            rng.random_range(0..ODD_SPECS.len()),
        ),
        1 => Event::ServerLink(rng.random_range(0..servers), Link::Refuses),
        _ => Event::ServerLink(rng.random_range(0..servers), Link::Repeats),
    }
}

fn draw_event(rng: &mut StdRng, hosts: usize, servers: usize) -> Event {
    let host = rng.random_range(0..hosts);
    let server = rng.random_range(0..servers);
    match rng.random_range(0..24) {
        0 => Event::Store(draw_store_fault(rng)),
        1 => Event::HistoryGone,
        2 | 3 => Event::StoreLink(host, draw_link(rng)),
        4 => Event::ClientLink(host, draw_link(rng)),
        5 | 6 => Event::ServerLink(server, draw_link(rng)),
        7 => Event::StoreReset(host),
        8 => Event::ClientReset(host),
        9 => Event::ServerReset(server),
        10 | 11 => Event::Kill(host),
        12 => Event::KillAll,
        13..=15 => Event::Stop(host),
        16 => Event::RollingRestart,
        17 | 18 => Event::Freeze(host),
        19 => Event::Hangup(host),
        20 => Event::Crash(server),
        21 => Event::Leave(server),
        22 => Event::Fail(server),
        _ => Event::Routes,
    }
}

fn draw_store_fault(rng: &mut StdRng) -> StoreFault {
    match rng.random_range(0..5) {
        0 => StoreFault::Busy,
        1 => StoreFault::Reset,
        2 => StoreFault::Silent,
        3 => StoreFault::LosesResponses,
        _ => StoreFault::AppliesLate,
    }
}

fn draw_link(rng: &mut StdRng) -> Link {
    match rng.random_range(0..4) {
        0 => Link::Slow(Duration::from_millis(rng.random_range(5..400))),
        1 => Link::Silent,
        2 => Link::NoRequests,
        _ => Link::NoResponses,
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for event in &self.events {
            writeln!(
                f,
                "{:6.2} s  {:?} for {:.2} s",
                event.at.as_secs_f64(),
                event.event,
                event.duration.as_secs_f64()
            )?;
        }
        Ok(())
    }
}
