//! Which configuration a gateway uses, and when it asks other gateways for a newer one.
//!
//! The store reports each configuration to each gateway. A gateway that the store does not serve asks
//! others, so that a key that was revoked meanwhile is refused there too. Versions only rise, whoever
//! brings them: an answer that was delayed, repeated or sent by a gateway that lags behind changes
//! nothing. A process takes its first configuration from the store alone, since a gateway that lags
//! behind could bring one that an earlier process on the same host had replaced.

use std::net::SocketAddr;
use std::time::Duration;

use tamaracksail_model::time::Instant;

/// The number of gateways that are asked at the same time.
pub const ROUND_PEERS: usize = 3;

/// The least time between the starts of two rounds of questions.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// How long a gateway may take to answer. Shorter than [`ROUND_INTERVAL`], so that rounds do not
/// overlap.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Who brings a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// Another gateway.
    Peer,
}

/// A gateway's knowledge of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Relay {
    /// The version in force.
    version: Option<u64>,
    /// The latest time for which it is confirmed that no newer version existed.
    confirmed_at: Option<Instant>,
    /// Whether the last call for the configuration failed.
    is_read_failing: bool,
    /// Whether the last probe of the store failed.
    is_probe_failing: bool,
    /// When the last round of questions began.
    round_at: Option<Instant>,
    /// The position in the list of gateways at which the next round begins.
    next_peer: usize,
    /// The gateway whose knowledge was the youngest, and when it was confirmed.
    informant: Option<(SocketAddr, Instant)>,
}

impl Relay {
    /// Returns the state of a process without a configuration. The first round begins at position
    /// `first_peer` of the list of gateways, so that not all gateways ask the same ones.
    #[must_use]
    pub fn new(first_peer: usize) -> Self {
        Self {
            next_peer: first_peer,
            ..Self::default()
        }
    }

    /// Returns the version in force.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Puts a version into force. Returns false, and changes nothing, if it must not be used.
    pub fn adopt(&mut self, source: Source, version: u64) -> bool {
        let is_newer = match (self.version, source) {
            (Some(in_force), _) => version > in_force,
            (None, Source::Store) => true,
            (None, Source::Peer) => false,
        };
        if is_newer {
            self.version = Some(version);
        }
        is_newer
    }

    /// Records that the store answered a call for the configuration, which was the newest at the time
    /// `known_at`.
    pub fn record_read(&mut self, known_at: Instant) {
        self.is_read_failing = false;
        self.confirm(known_at);
    }

    /// Records that a call for the configuration failed.
    pub fn record_read_failure(&mut self) {
        self.is_read_failing = true;
    }

    /// Records whether the store answered a probe. An answer confirms no configuration, as the report
    /// of a newer one may have been lost before.
    pub fn record_probe(&mut self, is_answered: bool) {
        self.is_probe_failing = !is_answered;
    }

    /// Whether the store answers this process.
    #[must_use]
    pub fn is_served(&self) -> bool {
        !self.is_read_failing && !self.is_probe_failing
    }

    /// Returns how long ago it was confirmed that no newer version exists; `None` if it never was.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Whether a newer version may have been accepted longer than `bound` ago without this process
    /// knowing.
    #[must_use]
    pub fn is_overdue(&self, now: Instant, bound: Duration) -> bool {
        !self.is_served() && self.age(now).is_some_and(|age| age > bound)
    }

    /// Returns when the next round of questions is due; `None` while the store answers.
    #[must_use]
    pub fn next_round(&self) -> Option<Instant> {
        if self.is_served() || self.version.is_none() {
            return None;
        }
        let next = self.round_at.map(|at| at.after(ROUND_INTERVAL));
        Some(next.unwrap_or(Instant(0)))
    }

    /// Begins a round of questions if one is due, and returns the gateways to ask: the one that knew
    /// most in the rounds before, and the next ones of `peers`.
    pub fn begin_round(&mut self, now: Instant, peers: &[SocketAddr]) -> Vec<SocketAddr> {
        if self.next_round().is_none_or(|next| now < next) {
            return Vec::new();
        }
        self.round_at = Some(now);
        let informant = self.informant.map(|(peer, _)| peer);
        let mut asked: Vec<SocketAddr> = informant
            .into_iter()
            .filter(|peer| peers.contains(peer))
            .collect();
        for _ in peers {
            if asked.len() == ROUND_PEERS {
                break;
            }
            let peer = peers[self.next_peer % peers.len()];
            self.next_peer = (self.next_peer + 1) % peers.len();
            if !asked.contains(&peer) {
                asked.push(peer);
            }
        }
        asked
    }

    /// Records the answer of a gateway to a question sent at `sent_at`: the version that it uses, and
    /// how old its knowledge is. A newer version must have been adopted before.
    ///
    /// The answer was given after the question was sent, so delays only make the result older.
    pub fn record_answer(
        &mut self,
        sent_at: Instant,
        peer: SocketAddr,
        version: Option<u64>,
        age: Option<Duration>,
    ) {
        let Some(age) = age.filter(|_| version.is_some() && version == self.version) else {
            return self.record_silence(peer);
        };
        let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let known_at = Instant(sent_at.0.saturating_sub(age));
        self.confirm(known_at);
        let is_best = self
            .informant
            .is_none_or(|(best, at)| best == peer || at < known_at);
        if is_best {
            self.informant = Some((peer, known_at));
        }
    }

    /// Records that a gateway gave no usable answer.
    pub fn record_silence(&mut self, peer: SocketAddr) {
        self.informant = self.informant.filter(|(informant, _)| *informant != peer);
    }

    fn confirm(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }
}
