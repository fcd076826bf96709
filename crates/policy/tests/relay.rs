//! Configurations between gateways that the store serves only in part, in virtual time.
//!
//! The simulation has the store, the calls that gateways make to it, and messages between gateways
//! that are lost, delayed, repeated and reordered. Gateways are frozen and restarted.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::relay::{ROUND_INTERVAL, ROUND_PEERS, Relay, Source};

const TICK_MS: u64 = 5;
/// One way between a gateway and the store.
const STORE_LATENCY_MS: u64 = 5;
/// How long a watch waits, and the limit on its answer beyond that.
const WATCH_MS: u64 = 2500;
const ANSWER_LIMIT_MS: u64 = 800;
const PROBE_INTERVAL_MS: u64 = 1000;
const RETRY_MS: u64 = 1200;
/// From when on after its last disturbance a gateway is in touch.
const TOUCH_MS: u64 = 4000;
/// The bound from the store's acknowledgement of a version.
const BOUND_MS: u64 = 3000;

/// How the store and its path treat a gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Path {
    Whole,
    /// Calls are rejected, also those that wait.
    Rejecting,
    /// Calls do not reach the store.
    NoRequests,
    /// Answers do not reach the gateway.
    NoAnswers,
}

#[derive(Clone, Copy, Debug)]
enum Call {
    Watch { known: Option<u64>, until: u64 },
    Probe,
}

#[derive(Clone, Copy, Debug)]
enum Message {
    /// A call to the store by its number.
    Call(u64, Call),
    /// The store's answer: none if it rejects the call, otherwise the newest version.
    Answer(u64, Option<u64>),
    /// A question of a gateway at a time, with its version.
    Question(usize, u64, u64),
    /// The answer of a gateway to a question of this time.
    Reply(usize, u64, Option<u64>, Option<Duration>),
}

#[derive(Debug)]
struct Node {
    relay: Relay,
    path: Path,
    frozen_until: u64,
    disturbed_at: u64,
    /// The number and start of the watch that waits.
    watch: Option<(u64, u64)>,
    watch_at: u64,
    probe: Option<(u64, u64)>,
    probe_at: u64,
    /// The highest version that the host has used in any process.
    highest: Option<u64>,
    /// Whether the process has read a configuration from the store.
    has_listed: bool,
    rounds: Vec<u64>,
}

impl Node {
    fn new(now: u64, number: usize, highest: Option<u64>) -> Self {
        Self {
            relay: Relay::new(number),
            path: Path::Whole,
            frozen_until: 0,
            disturbed_at: now,
            watch: None,
            watch_at: now,
            probe: None,
            probe_at: now + PROBE_INTERVAL_MS,
            highest,
            has_listed: false,
            rounds: Vec::new(),
        }
    }
}

struct World {
    now: u64,
    random: StdRng,
    /// Messages between gateways are lost with this probability, and otherwise delayed by up to this
    /// time and repeated.
    loss: f64,
    max_delay_ms: u64,
    nodes: Vec<Node>,
    /// When each version was acknowledged; version n is at position n - 1.
    acknowledged: Vec<u64>,
    waiting: Vec<(usize, u64, Call)>,
    /// Messages to a gateway, or to the store for one, by arrival.
    queue: BTreeMap<(u64, u64), (usize, bool, Message)>,
    last_number: u64,
}

fn instant(millis: u64) -> Instant {
    Instant::from_millis(1_000_000 + millis)
}

fn address(node: usize) -> SocketAddr {
    ([127, 0, 0, 1], u16::try_from(node).expect("few gateways")).into()
}

impl World {
    fn new(count: usize, seed: u64, loss: f64, max_delay_ms: u64) -> Self {
        Self {
            now: 0,
            random: StdRng::seed_from_u64(seed),
            loss,
            max_delay_ms,
            nodes: (0..count)
                .map(|number| Node::new(0, number, None))
                .collect(),
            acknowledged: vec![0],
            waiting: Vec::new(),
            queue: BTreeMap::new(),
            last_number: 0,
        }
    }

    fn newest(&self) -> u64 {
        self.acknowledged.len() as u64
    }

    fn number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn send(&mut self, delay: u64, node: usize, is_to_store: bool, message: Message) {
        let key = (self.now + delay, self.number());
        self.queue.insert(key, (node, is_to_store, message));
    }

    fn send_to_peer(&mut self, node: usize, message: Message) {
        if self.random.random_bool(self.loss) {
            return;
        }
        let copies = if self.random.random_bool(0.2) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = self.random.random_range(1..=self.max_delay_ms);
            self.send(delay, node, false, message);
        }
    }

    fn answer(&mut self, node: usize, number: u64) {
        match self.nodes[node].path {
            Path::NoAnswers => {}
            Path::Rejecting => {
                self.send(STORE_LATENCY_MS, node, false, Message::Answer(number, None));
            }
            Path::Whole | Path::NoRequests => {
                let newest = Some(self.newest());
                self.send(
                    STORE_LATENCY_MS,
                    node,
                    false,
                    Message::Answer(number, newest),
                );
            }
        }
    }

    fn accept_version(&mut self) {
        self.acknowledged.push(self.now);
        for (node, number, _) in std::mem::take(&mut self.waiting) {
            self.answer(node, number);
        }
    }

    fn set_path(&mut self, node: usize, path: Path) {
        self.nodes[node].path = path;
        self.nodes[node].disturbed_at = self.now;
        if path == Path::Rejecting {
            let (ended, kept) = std::mem::take(&mut self.waiting)
                .into_iter()
                .partition(|(of, ..)| *of == node);
            self.waiting = kept;
            for (node, number, _) in ended {
                self.answer(node, number);
            }
        }
    }

    fn restart(&mut self, node: usize) {
        let before = &self.nodes[node];
        let (path, highest) = (before.path, before.highest);
        self.nodes[node] = Node::new(self.now, node, highest);
        self.nodes[node].path = path;
        self.waiting.retain(|(of, ..)| *of != node);
    }

    fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.now += TICK_MS;
            self.deliver();
            let now = self.now;
            let due = |call: &Call| matches!(call, Call::Watch { until, .. } if *until <= now);
            let (ended, kept) = std::mem::take(&mut self.waiting)
                .into_iter()
                .partition(|(_, _, call)| due(call));
            self.waiting = kept;
            for (node, number, _) in ended {
                self.answer(node, number);
            }
            for node in 0..self.nodes.len() {
                let is_disturbed =
                    self.nodes[node].path != Path::Whole || now < self.nodes[node].frozen_until;
                if is_disturbed {
                    self.nodes[node].disturbed_at = now;
                }
                if now >= self.nodes[node].frozen_until {
                    self.act(node);
                    self.check(node);
                }
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (node, is_to_store, message) = entry.remove();
            let frozen_until = self.nodes[node].frozen_until;
            if !is_to_store && frozen_until > self.now {
                self.send(frozen_until - self.now, node, false, message);
                continue;
            }
            self.receive(node, message);
        }
    }

    fn receive(&mut self, node: usize, message: Message) {
        let at = instant(self.now);
        match message {
            Message::Call(_, _) if self.nodes[node].path == Path::NoRequests => {}
            Message::Call(number, Call::Watch { known, until })
                if known == Some(self.newest()) && self.nodes[node].path != Path::Rejecting =>
            {
                self.waiting
                    .push((node, number, Call::Watch { known, until }));
            }
            Message::Call(number, _) => self.answer(node, number),
            Message::Answer(number, newest) => self.answered(node, number, newest),
            Message::Question(from, sent_at, version) => {
                let relay = &self.nodes[node].relay;
                let _ = version;
                let reply = Message::Reply(node, sent_at, relay.version(), relay.age(at));
                self.send_to_peer(from, reply);
            }
            Message::Reply(from, sent_at, version, age) => {
                let relay = &mut self.nodes[node].relay;
                if let Some(version) = version {
                    relay.adopt(Source::Peer, version);
                }
                relay.record_answer(instant(sent_at), address(from), version, age);
            }
        }
    }

    fn answered(&mut self, node: usize, number: u64, newest: Option<u64>) {
        let now = self.now;
        let node = &mut self.nodes[node];
        if let Some((_, started)) = node.watch.filter(|(waiting, _)| *waiting == number) {
            node.watch = None;
            if let Some(newest) = newest {
                let is_new = node.relay.adopt(Source::Store, newest);
                let waited_until = started + WATCH_MS;
                let is_empty = !is_new && now >= waited_until && node.has_listed;
                let known_at = if is_empty { waited_until } else { started };
                node.has_listed = true;
                node.relay.record_read(instant(known_at));
            } else {
                node.relay.record_read_failure();
                node.watch_at = now + RETRY_MS;
            }
        }
        if node.probe.is_some_and(|(waiting, _)| waiting == number) {
            node.probe = None;
            node.probe_at = now + PROBE_INTERVAL_MS;
            if newest.is_some() && !node.relay.is_served() {
                node.watch = None;
                node.watch_at = now;
            }
            node.relay.record_probe(newest.is_some());
        }
    }

    /// Lets a gateway do what is due.
    fn act(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        if node
            .watch
            .is_some_and(|(_, at)| now >= at + WATCH_MS + ANSWER_LIMIT_MS)
        {
            node.watch = None;
            node.watch_at = now + RETRY_MS;
            node.relay.record_read_failure();
        }
        if node
            .probe
            .is_some_and(|(_, at)| now >= at + ANSWER_LIMIT_MS)
        {
            node.probe = None;
            node.probe_at = now + PROBE_INTERVAL_MS;
            node.relay.record_probe(false);
        }
        let known = node.relay.version();
        let mut calls = Vec::new();
        if node.watch.is_none() && now >= node.watch_at {
            calls.push(Call::Watch {
                known,
                until: now + WATCH_MS,
            });
        }
        if node.probe.is_none() && now >= node.probe_at {
            calls.push(Call::Probe);
        }
        for call in calls {
            let id = self.number();
            match call {
                Call::Watch { .. } => self.nodes[number].watch = Some((id, now)),
                Call::Probe => self.nodes[number].probe = Some((id, now)),
            }
            self.send(STORE_LATENCY_MS, number, true, Message::Call(id, call));
        }
        let peers: Vec<SocketAddr> = (0..self.nodes.len())
            .filter(|peer| *peer != number)
            .map(address)
            .collect();
        let node = &mut self.nodes[number];
        let is_served = node.relay.is_served();
        let asked = node.relay.begin_round(instant(now), &peers);
        if asked.is_empty() {
            return;
        }
        assert!(
            !is_served,
            "a gateway asks others while the store serves it"
        );
        assert!(asked.len() <= ROUND_PEERS, "{asked:?}");
        let last = node.rounds.last().map(|at| now - at);
        let interval = u64::try_from(ROUND_INTERVAL.as_millis()).expect("short");
        assert!(last.is_none_or(|since| since >= interval), "{last:?}");
        node.rounds.push(now);
        let version = node.relay.version().expect("only gateways with one ask");
        for peer in asked {
            let question = Message::Question(number, now, version);
            self.send_to_peer(usize::from(peer.port()), question);
        }
    }

    fn check(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        let version = node.relay.version();
        let Some(in_force) = version else { return };
        assert!(version >= node.highest, "{number} went back to {in_force}");
        node.highest = version;
        // The first version that the gateway does not have yet.
        let Some(missing) = self
            .acknowledged
            .get(usize::try_from(in_force).expect("few"))
        else {
            return;
        };
        let is_in_touch = now >= node.disturbed_at + TOUCH_MS;
        assert!(
            !is_in_touch || now <= missing + BOUND_MS,
            "{number} has {in_force} at {now}, a newer one was acknowledged at {missing}"
        );
        let age = node.relay.age(instant(now)).expect("it has a version");
        let age = u64::try_from(age.as_millis()).expect("short");
        assert!(
            now <= missing + age + TICK_MS,
            "{number} has {in_force} at {now} of age {age}, a newer one was acknowledged at {missing}"
        );
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Accept,
    Path(usize, Path),
    Freeze(usize, u64),
    Restart(usize),
}

fn step(nodes: usize) -> impl Strategy<Value = Step> {
    let path = prop::sample::select(vec![
        Path::Whole,
        Path::Whole,
        Path::Rejecting,
        Path::NoRequests,
        Path::NoAnswers,
    ]);
    prop_oneof![
        3 => Just(Step::Accept),
        4 => (0..nodes, path).prop_map(|(node, path)| Step::Path(node, path)),
        1 => (0..nodes, 100..9000_u64).prop_map(|(node, time)| Step::Freeze(node, time)),
        1 => (0..nodes).prop_map(Step::Restart),
    ]
}

const NODES: usize = 5;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Guards against an old configuration that comes back, and against one that stays in force at a
    /// gateway in touch, whatever becomes of messages.
    #[test]
    fn no_gateway_in_touch_keeps_an_old_configuration_and_none_goes_back(
        seed in any::<u64>(),
        loss in 0.0..0.9_f64,
        max_delay_ms in 1..4000_u64,
        steps in proptest::collection::vec((step(NODES), 0..3000_u64), 10..60),
    ) {
        let mut world = World::new(NODES, seed, loss, max_delay_ms);
        world.run_until(1000);
        for (step, pause) in steps {
            match step {
                Step::Accept => world.accept_version(),
                Step::Path(node, path) => world.set_path(node, path),
                Step::Freeze(node, time) => world.nodes[node].frozen_until = world.now + time,
                Step::Restart(node) => world.restart(node),
            }
            world.run_until(world.now + pause);
        }
        for node in 0..NODES {
            world.set_path(node, Path::Whole);
        }
        world.run_until(world.now + 20_000);
        for node in &world.nodes {
            prop_assert_eq!(node.relay.version(), Some(world.newest()));
        }
    }

    /// Guards against a gateway that the store does not serve and that learns too late from others
    /// which it does serve.
    #[test]
    fn a_gateway_without_the_store_learns_from_others_within_the_bound(
        seed in any::<u64>(),
        path in prop::sample::select(vec![Path::Rejecting, Path::NoRequests, Path::NoAnswers]),
        cut_at in 1000..4000_u64,
        accepted_after in 0..9000_u64,
    ) {
        let mut world = World::new(NODES, seed, 0.0, 10);
        world.run_until(cut_at);
        world.set_path(0, path);
        world.set_path(1, path);
        world.run_until(world.now + accepted_after);
        let accepted_at = world.now;
        world.accept_version();
        let is_known = |world: &World| {
            (0..2).all(|node| world.nodes[node].relay.version() == Some(world.newest()))
        };
        while !is_known(&world) {
            world.run_until(world.now + TICK_MS);
            prop_assert!(world.now <= accepted_at + BOUND_MS);
        }
    }
}

#[test]
fn the_first_configuration_is_not_taken_from_another_gateway() {
    let mut relay = Relay::new(0);
    assert!(!relay.adopt(Source::Peer, 7));
    relay.record_read_failure();
    assert_eq!(relay.begin_round(instant(0), &[address(1)]), []);
    assert!(relay.adopt(Source::Store, 7));
    assert!(!relay.adopt(Source::Store, 6) && !relay.adopt(Source::Peer, 7));
    assert!(relay.adopt(Source::Peer, 8));
}

#[test]
fn the_gateway_that_knows_most_is_asked_first_and_all_others_in_turn() {
    let peers: Vec<SocketAddr> = (1..=6).map(address).collect();
    let mut relay = Relay::new(4);
    relay.adopt(Source::Store, 1);
    relay.record_read_failure();
    assert_eq!(
        relay.begin_round(instant(0), &peers),
        [address(5), address(6), address(1)]
    );
    let age = |millis| Some(Duration::from_millis(millis));
    relay.record_answer(instant(0), address(5), Some(1), age(9000));
    relay.record_answer(instant(0), address(6), Some(1), age(20));
    relay.record_silence(address(1));
    assert_eq!(relay.age(instant(10)), age(30));
    assert_eq!(relay.begin_round(instant(499), &peers), []);
    assert_eq!(
        relay.begin_round(instant(500), &peers),
        [address(6), address(2), address(3)]
    );
    // An answer of a gateway that lags behind confirms nothing.
    relay.adopt(Source::Peer, 2);
    relay.record_answer(instant(500), address(6), Some(1), age(0));
    assert_eq!(relay.age(instant(510)), age(530));
    assert_eq!(
        relay.begin_round(instant(1000), &peers),
        [address(4), address(5), address(6)]
    );
}
