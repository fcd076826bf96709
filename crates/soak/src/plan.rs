//! What goes wrong when, drawn from a seed.

use std::fmt;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The first fault comes after this, when all processes have started to work.
const LEAD: Duration = Duration::from_secs(2);

/// The time between two faults on average. Most last longer, so that they overlap.
const GAP: Duration = Duration::from_millis(1100);

/// What a link does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// Bytes pass.
    Open,
    /// Bytes pass late.
    Slow(Duration),
    /// Nothing passes, either way, and new connections hang.
    Silent,
    /// Nothing passes towards the server.
    NoRequests,
    /// Nothing passes from the server.
    NoResponses,
}

/// What the store does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Store {
    /// It refuses each call.
    Busy,
    /// It closes each connection.
    Reset,
    /// It never answers.
    Silent,
    /// It does writes and loses their answers.
    LosesResponses,
    /// It does writes after a pause and loses their answers.
    AppliesLate,
}

/// One fault or planned change. Numbers count hosts and servers from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The store misbehaves for all.
    Store(Store),
    /// The store forgets its history of changes.
    HistoryGone,
    /// A host's link to the store.
    StoreLink(usize, Link),
    /// The link of clients to a host.
    ClientLink(usize, Link),
    /// The link of all hosts to a server.
    ServerLink(usize, Link),
    /// The connections of a host to the store are reset.
    StoreReset(usize),
    /// The connections of clients to a host are reset.
    ClientReset(usize),
    /// The connections to a server are reset.
    ServerReset(usize),
    /// SIGKILL to the process of a host, which starts again.
    Kill(usize),
    /// SIGKILL to all processes at once.
    KillAll,
    /// SIGTERM to the process of a host, which starts again once it has ended.
    Stop(usize),
    /// SIGTERM to the processes of all hosts, one after the other.
    StopInTurn,
    /// SIGSTOP, and SIGCONT later.
    Freeze(usize),
    /// SIGHUP.
    Hangup(usize),
    /// A server crashes and comes back under another id.
    Crash(usize),
    /// A server announces that it leaves, ends, and comes back under another id.
    Leave(usize),
    /// A server breaks off or refuses the next requests.
    Fail(usize),
    /// A new version of the routes.
    Routes,
}

/// An event with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// When it begins, from the start.
    pub at: Duration,
    /// How long it lasts, where it does.
    pub span: Duration,
    /// What happens.
    pub event: Event,
}

/// A run's events in their order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The steps.
    pub steps: Vec<Step>,
}

impl Plan {
    /// Draws a plan for `length` with these numbers of hosts and servers.
    #[must_use]
    pub fn draw(seed: u64, length: Duration, hosts: usize, servers: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut steps = Vec::new();
        let mut at = LEAD;
        while at < length {
            let event = event(&mut rng, hosts, servers);
            let span = Duration::from_millis(rng.random_range(150..4500));
            steps.push(Step { at, span, event });
            at += GAP.mul_f64(rng.random_range(0.0..2.0));
        }
        Self { steps }
    }
}

fn event(rng: &mut StdRng, hosts: usize, servers: usize) -> Event {
    let host = rng.random_range(0..hosts);
    let server = rng.random_range(0..servers);
    match rng.random_range(0..24) {
        0 => Event::Store(store(rng)),
        1 => Event::HistoryGone,
        2 | 3 => Event::StoreLink(host, link(rng)),
        4 => Event::ClientLink(host, link(rng)),
        5 | 6 => Event::ServerLink(server, link(rng)),
        7 => Event::StoreReset(host),
        8 => Event::ClientReset(host),
        9 => Event::ServerReset(server),
        10 | 11 => Event::Kill(host),
        12 => Event::KillAll,
        13..=15 => Event::Stop(host),
        16 => Event::StopInTurn,
        17 | 18 => Event::Freeze(host),
        19 => Event::Hangup(host),
        20 => Event::Crash(server),
        21 => Event::Leave(server),
        22 => Event::Fail(server),
        _ => Event::Routes,
    }
}

fn store(rng: &mut StdRng) -> Store {
    match rng.random_range(0..5) {
        0 => Store::Busy,
        1 => Store::Reset,
        2 => Store::Silent,
        3 => Store::LosesResponses,
        _ => Store::AppliesLate,
    }
}

fn link(rng: &mut StdRng) -> Link {
    match rng.random_range(0..4) {
        0 => Link::Slow(Duration::from_millis(rng.random_range(5..400))),
        1 => Link::Silent,
        2 => Link::NoRequests,
        _ => Link::NoResponses,
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for step in &self.steps {
            writeln!(
                f,
                "{:6.2} s  {:?} for {:.2} s",
                step.at.as_secs_f64(),
                step.event,
                step.span.as_secs_f64()
            )?;
        }
        Ok(())
    }
}
