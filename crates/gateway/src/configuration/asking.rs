//! Questions to other gateways for a newer configuration.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tamaracksail_model::time::Instant;
use tamaracksail_wire::peer::{Request as PeerRequest, Response as PeerResponse};

use super::Configuration;
use super::state::millis;
use crate::gateway::{now, sleep_until};
use crate::metrics::Metrics;
use crate::peer::Error;
use crate::store::Availability;

/// What the task needs of the rest of the process.
#[derive(Debug)]
pub struct Links<Peers, Call, Apply> {
    /// The probes of the store.
    pub availability: Availability,
    /// The age of the knowledge above which it is logged.
    pub bound: Duration,
    /// Returns the addresses of the other gateways.
    pub peers: Peers,
    /// Sends a question to another gateway.
    pub call: Call,
    /// Puts a configuration into force, given its revision and text, if it is valid and newer.
    pub apply: Apply,
}

/// Asks other gateways for a newer configuration while the store does not answer. Never returns.
pub async fn run<Peers, Call, Sent, Apply>(
    configuration: &Configuration,
    metrics: &Metrics,
    links: &Links<Peers, Call, Apply>,
) where
    Peers: Fn() -> Vec<SocketAddr>,
    Call: Fn(SocketAddr, PeerRequest) -> Sent,
    Sent: Future<Output = Result<PeerResponse, Error>>,
    Apply: Fn(u64, String),
{
    let mut answers = FuturesUnordered::new();
    let mut is_overdue = false;
    loop {
        let next_round = configuration.relay.borrow().next_round();
        tokio::select! {
            is_answered = links.availability.probed() => {
                configuration.relay.borrow_mut().record_probe(is_answered);
            }
            () = configuration.failed.notified() => {}
            Some((sent_at, peer, answer)) = answers.next() => {
                let outcome = record(configuration, links, sent_at, peer, answer);
                metrics.routes_questions.with_label_values(&[outcome]).inc();
            }
            () = sleep_until(next_round) => {
                let peers = (links.peers)();
                for peer in begin_round(configuration, &peers) {
                    let request = question(configuration);
                    let sent_at = now();
                    let answer = (links.call)(peer, request);
                    answers.push(async move { (sent_at, peer, answer.await) });
                }
            }
        }
        let was_overdue = is_overdue;
        is_overdue = report_age(configuration, metrics, links.bound, was_overdue);
    }
}

fn begin_round(configuration: &Configuration, peers: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut relay = configuration.relay.borrow_mut();
    let asked = relay.begin_round(now(), peers);
    let age_ms = relay.age(now()).map(millis);
    let version = relay.version();
    log::debug!(version, age_ms, asked:?; "other gateways asked for newer routes");
    asked
}

fn question(configuration: &Configuration) -> PeerRequest {
    let relay = configuration.relay.borrow();
    PeerRequest::Configuration {
        version: relay.version().unwrap_or_default(),
        age_ms: relay.age(now()).map(millis),
    }
}

/// Records an answer, after a newer configuration in it was put into force. Returns the outcome for
/// the metrics.
fn record<Peers, Call, Apply: Fn(u64, String)>(
    configuration: &Configuration,
    links: &Links<Peers, Call, Apply>,
    sent_at: Instant,
    peer: SocketAddr,
    answer: Result<PeerResponse, Error>,
) -> &'static str {
    let problem = match answer {
        Ok(PeerResponse::Configuration {
            version,
            age_ms,
            newer,
        }) => {
            // Of several answers with the same routes, the first alone is parsed.
            let newer = newer.filter(|_| version > configuration.version());
            let outcome = if newer.is_some() { "newer" } else { "same" };
            if let Some(newer) = newer {
                let took_ms = millis(now().since(sent_at));
                let age_ms = configuration.relay.borrow().age(now()).map(millis);
                log::info!(
                    peer:%, version, revision = newer.revision, age_ms, took_ms;
                    "newer routes received from another gateway"
                );
                (links.apply)(newer.revision, newer.text);
            }
            let age = age_ms.map(Duration::from_millis);
            let mut relay = configuration.relay.borrow_mut();
            relay.record_answer(sent_at, peer, version, age);
            return outcome;
        }
        Ok(_) => "unexpected response".to_owned(),
        Err(error) => error.to_string(),
    };
    log::info!(peer:%, problem; "no routes from another gateway");
    configuration.relay.borrow_mut().record_silence(peer);
    "none"
}

/// Publishes the age of the knowledge, and logs when it exceeds its bound and when no longer.
/// Returns whether it exceeds it.
fn report_age(
    configuration: &Configuration,
    metrics: &Metrics,
    bound: Duration,
    was_overdue: bool,
) -> bool {
    let relay = configuration.relay.borrow();
    let age_ms = relay.age(now()).map(millis);
    let is_overdue = relay.is_overdue(now(), bound);
    if let Some(age_ms) = age_ms {
        metrics
            .routes_age_ms
            .set(i64::try_from(age_ms).unwrap_or(i64::MAX));
    }
    metrics.routes_overdue.set(i64::from(is_overdue));
    let version = relay.version();
    if is_overdue && !was_overdue {
        // Requests are served on: callers do not lose service because the store is down.
        log::warn!(
            version, age_ms, bound_ms = millis(bound);
            "routes not confirmed within their bound, revoked keys may be accepted"
        );
    } else if was_overdue && !is_overdue {
        log::info!(version, age_ms; "routes confirmed again");
    }
    is_overdue
}
