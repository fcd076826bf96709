//! The clients of a run: some send plain requests on open connections, some request streams, a
//! trainer runs training steps, and a reader reads earlier results again.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Method;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tamaracksail_adapter_standins::client::Response;
use tamaracksail_http::Connection;
use tokio::time::{sleep, timeout};

use crate::ledger::MAX_RETRY_AFTER_S;
use crate::streams::{self, Progress};
use crate::world::{FATAL_BODY, Host, World};

/// The time limit of a call by a client. It exceeds the five seconds that routes allow.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(7);

/// The time after which the trainer ends a step that is not complete.
const STEP_DURATION: Duration = Duration::from_secs(8);

/// The number of items in a training step, which are in groups of two.
const ITEMS_PER_STEP: usize = 12;

/// The range of pauses between two calls of a client, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 10..90;

/// The paths of the requests under which servers end: an idempotent one, and one that is not.
pub const FATAL_PATHS: [&str; 2] = ["/plain/fatal", "/once/fatal"];

/// The range of pauses between two requests under which servers end, in milliseconds.
const FATAL_PAUSE_MS: std::ops::Range<u64> = 100..900;

/// The share of plain requests whose client closes its connection early.
const EARLY_SHARE: f64 = 0.15;

/// The range of time limits of clients that leave early, in milliseconds.
const EARLY_MS: std::ops::Range<u64> = 1..60;

/// How long a client waits for a response.
#[derive(Clone, Copy, Debug)]
pub enum Patience {
    /// Longer than any route allows.
    Long,
    /// For this time, which the request states.
    States(Duration),
    /// For this time, which the request does not state. Then the client closes its connection.
    Closes(Duration),
}

impl Patience {
    /// Draws how long a client waits.
    pub fn draw(rng: &mut StdRng) -> Self {
        let early = Duration::from_millis(rng.random_range(EARLY_MS));
        match rng.random_range(0..3) {
            0 => Self::Long,
            1 => Self::States(early),
            _ => Self::Closes(early),
        }
    }
}

/// Returns a random host.
fn random_host<'a>(world: &'a World, rng: &mut StdRng) -> &'a Host {
    &world.hosts[rng.random_range(0..world.hosts.len())]
}

async fn pause(rng: &mut StdRng) {
    sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
}

/// Sends plain requests. A connection is used again until the gateway closes it, a call fails, or
/// the client closes it at random.
pub async fn request_client(world: Rc<World>, seed: u64, name: String) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut open_connection: Option<(Connection, usize)> = None;
    let mut number = 0;
    while !world.is_finished.get() {
        number += 1;
        let id = format!("{name}-{number}");
        let is_non_idempotent = rng.random_bool(0.5);
        let host = rng.random_range(0..world.hosts.len());
        let (mut connection, host) = if let Some(open) = open_connection.take() {
            open
        } else {
            let Ok(connection) = world.hosts[host].client.open().await else {
                // No request was sent, so there is nothing to record.
                pause(&mut rng).await;
                continue;
            };
            (connection, host)
        };
        let path = if is_non_idempotent {
            "/once/x"
        } else {
            "/plain/x"
        };
        let limit = if rng.random_bool(EARLY_SHARE) {
            Duration::from_millis(rng.random_range(EARLY_MS))
        } else {
            RESPONSE_TIMEOUT
        };
        let response = timeout(
            limit,
            world.hosts[host]
                .client
                .request_on(&mut connection, &id, path, &id),
        )
        .await;
        let response = response.ok().and_then(Result::ok);
        world
            .ledger
            .borrow_mut()
            .record_request(&id, is_non_idempotent, response.as_ref());
        let is_reusable = response.as_ref().is_some_and(|response| {
            let header = response.headers.get("connection");
            header.is_none_or(|value| value != "close")
        });
        if is_reusable && rng.random_bool(0.95) {
            open_connection = Some((connection, host));
        }
        pause(&mut rng).await;
    }
}

/// Sends the request under which servers end, again and again, each time under a new id.
pub async fn fatal_client(world: Rc<World>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut number = 0;
    while !world.is_finished.get() {
        number += 1;
        let host = random_host(&world, &mut rng);
        let path = FATAL_PATHS[rng.random_range(0..FATAL_PATHS.len())];
        let patience = Patience::draw(&mut rng);
        send_fatal(&world, host, &format!("fatal-{number}"), path, patience).await;
        sleep(Duration::from_millis(rng.random_range(FATAL_PAUSE_MS))).await;
    }
}

/// Sends the request under which servers end. It must never succeed. Returns whether it was refused for
/// long, since it was recognised.
pub async fn send_fatal(
    world: &World,
    host: &Host,
    id: &str,
    path: &str,
    patience: Patience,
) -> bool {
    let (stated, limit) = match patience {
        Patience::Long => (RESPONSE_TIMEOUT, RESPONSE_TIMEOUT),
        Patience::States(limit) => (limit, RESPONSE_TIMEOUT),
        Patience::Closes(limit) => (RESPONSE_TIMEOUT, limit),
    };
    let call = host.client.request_within(id, path, FATAL_BODY, stated);
    let Ok(Ok(response)) = timeout(limit, call).await else {
        return false;
    };
    if response.status == 200 {
        world.record_violation("own answer", &format!("{id} got {:?}", response.body));
    }
    response.retry_after() > Some(MAX_RETRY_AFTER_S)
}

/// Sends a request that may be repeated, and requests a stream, at the same time.
pub async fn press(world: &World, host: &Host, id: &str) {
    let stream_id = format!("{id}-stream");
    let mut stream = Progress::default();
    let (response, ()) = tokio::join!(
        timeout(RESPONSE_TIMEOUT, host.client.request(id, "/plain/x", id)),
        streams::attempt(world, host, &stream_id, RESPONSE_TIMEOUT, &mut stream),
    );
    let response = response.ok().and_then(Result::ok);
    let mut ledger = world.ledger.borrow_mut();
    ledger.record_request(id, false, response.as_ref());
}

/// Requests streams, closes some of them early, and takes some up that are not complete.
pub async fn stream_client(world: Rc<World>, seed: u64, name: String) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut number = 0;
    while !world.is_finished.get() {
        number += 1;
        let mut stream = Progress::default();
        for attempt in 0..rng.random_range(1..4) {
            let id = format!("{name}-{number}-{attempt}");
            let host = random_host(&world, &mut rng);
            let limit = if rng.random_bool(0.2) {
                Duration::from_millis(rng.random_range(1..600))
            } else {
                RESPONSE_TIMEOUT
            };
            streams::attempt(&world, host, &id, limit, &mut stream).await;
            if stream.is_complete {
                break;
            }
        }
        pause(&mut rng).await;
    }
}

/// Runs training steps: submits a batch, reads results until there are enough, ends the batch, and
/// announces the next version. Groups without all results are submitted again in the next step.
pub async fn trainer(world: Rc<World>, seed: u64, name: String) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut carried_over: Vec<String> = Vec::new();
    let mut step = 0;
    while !world.is_finished.get() {
        step += 1;
        let id = format!("{name}-s{step}");
        let mut items = std::mem::take(&mut carried_over);
        items.truncate(ITEMS_PER_STEP / 2);
        for number in items.len()..ITEMS_PER_STEP {
            items.push(format!("{id}-i{number:02}"));
        }
        let announced_version = world.announced_version.get();
        let min_version = announced_version.saturating_sub(1).max(1);
        let deadline = Instant::now() + STEP_DURATION;
        if !submit(&world, &mut rng, &id, &items, min_version, deadline).await {
            continue;
        }
        let enough = ITEMS_PER_STEP * 9 / 10;
        let mut from = 0;
        while from < enough && Instant::now() < deadline {
            let host = random_host(&world, &mut rng);
            if let Some(response) = read_results(&world, host, &id, from).await {
                from += response.results().len();
            }
            pause(&mut rng).await;
        }
        carried_over = unread(&world, &id, &items);
        finish(&world, &mut rng, &id).await;
        world.announced_version.set(announced_version + 1);
        world
            .store
            .announce_version("drafts", announced_version + 1);
    }
}

/// Submits a batch repeatedly until it is accepted. Returns whether it was accepted before
/// `deadline`.
async fn submit(
    world: &World,
    rng: &mut StdRng,
    id: &str,
    items: &[String],
    min_version: u64,
    deadline: Instant,
) -> bool {
    let names: Vec<&str> = items.iter().map(String::as_str).collect();
    while Instant::now() < deadline {
        let host = random_host(world, rng);
        let response = timeout(
            RESPONSE_TIMEOUT,
            host.client.submit_scored(id, &names, min_version),
        )
        .await;
        if let Ok(Ok(response)) = response
            && response.status == 202
        {
            let mut ledger = world.ledger.borrow_mut();
            ledger.record_accepted_batch(id, items, min_version, Instant::now());
            return true;
        }
        pause(rng).await;
    }
    false
}

/// Ends a batch. Tries random hosts until one confirms the end.
async fn finish(world: &World, rng: &mut StdRng, id: &str) {
    let deadline = Instant::now() + STEP_DURATION;
    while Instant::now() < deadline {
        let host = random_host(world, rng);
        if let Ok(Ok(response)) = timeout(RESPONSE_TIMEOUT, host.client.end(id)).await
            && response.status == 200
        {
            world
                .ledger
                .borrow_mut()
                .record_ended_batch(id, Instant::now());
            return;
        }
        pause(rng).await;
    }
}

/// Returns the items of the groups of which not all results were read. Groups are submitted again
/// as a whole.
fn unread(world: &World, id: &str, items: &[String]) -> Vec<String> {
    let ledger = world.ledger.borrow();
    let Some(batch) = ledger.batches.get(id) else {
        return Vec::new();
    };
    let is_read = |item: &String| batch.results.values().any(|result| &result.item == item);
    items
        .chunks(2)
        .filter(|group| !group.iter().all(is_read))
        .flatten()
        .cloned()
        .collect()
}

/// Reads a page of results and records it.
pub async fn read_results(world: &World, host: &Host, id: &str, from: usize) -> Option<Response> {
    let response = timeout(RESPONSE_TIMEOUT, host.client.results(id, from)).await;
    let response = response.ok()?.ok()?;
    world
        .ledger
        .borrow_mut()
        .record_page(id, from, &host.name, &response);
    Some(response)
}

/// Reads earlier results again at random hosts.
pub async fn result_reader(world: Rc<World>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    while !world.is_finished.get() {
        let known: Vec<(String, usize)> = {
            let ledger = world.ledger.borrow();
            let batches = ledger.batches.iter();
            batches
                .map(|(id, batch)| (id.clone(), batch.results.len()))
                .collect()
        };
        if !known.is_empty() {
            let (id, count) = &known[rng.random_range(0..known.len())];
            let from = rng.random_range(0..=*count);
            let host = random_host(&world, &mut rng);
            read_results(&world, host, id, from).await;
        }
        pause(&mut rng).await;
    }
}

/// Returns whether a host serves a plain request.
pub async fn is_served(host: &Host, id: &str) -> bool {
    status_of(host, "/plain/x", id.to_owned()).await == Some(200)
}

/// Sends a request to `path`, and returns the status of the response; none without a response.
pub async fn status(host: &Host, path: &str) -> Option<u16> {
    status_of(host, path, String::new()).await
}

async fn status_of(host: &Host, path: &str, body: String) -> Option<u16> {
    let call = host.client.send(Method::POST, path, &[], Bytes::from(body));
    let response = timeout(RESPONSE_TIMEOUT, call).await.ok()?.ok()?;
    Some(response.status)
}
