//! Callers: clerks on kept connections, streams, a trainer, and readers of old results.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Method;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tamaracksail_adapter_standins::client::Response;
use tamaracksail_http::Connection;
use tokio::time::{sleep, timeout};

use crate::world::{EVENTS, Host, World};

/// How long a caller waits for an answer. Routes allow five seconds.
const PATIENCE: Duration = Duration::from_secs(7);

/// How long a trainer works on a step before it ends it.
const STEP: Duration = Duration::from_secs(8);

/// Items of a step, in groups of two.
const ITEMS: usize = 12;

/// The pause of a client between two calls, in milliseconds.
const PAUSE: std::ops::Range<u64> = 10..90;

fn pick<'a>(world: &'a World, rng: &mut StdRng) -> &'a Host {
    &world.hosts[rng.random_range(0..world.hosts.len())]
}

async fn pause(rng: &mut StdRng) {
    sleep(Duration::from_millis(rng.random_range(PAUSE))).await;
}

/// Sends plain requests on connections that are kept until they end.
pub async fn clerk(world: Rc<World>, seed: u64, name: String) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut kept: Option<(Connection, usize)> = None;
    let mut number = 0;
    while !world.is_over.get() {
        number += 1;
        let id = format!("{name}-{number}");
        let is_once = rng.random_bool(0.5);
        let host = rng.random_range(0..world.hosts.len());
        let (mut connection, host) = if let Some(kept) = kept.take() {
            kept
        } else {
            let Ok(connection) = world.hosts[host].client.open().await else {
                // Nothing was sent, so nothing is to be noted.
                pause(&mut rng).await;
                continue;
            };
            (connection, host)
        };
        let path = if is_once { "/once/x" } else { "/plain/x" };
        let answer = timeout(
            PATIENCE,
            world.hosts[host]
                .client
                .request_on(&mut connection, &id, path, &id),
        )
        .await;
        let answer = answer.ok().and_then(Result::ok);
        world
            .ledger
            .borrow_mut()
            .request(&id, is_once, answer.as_ref());
        let is_kept = answer.as_ref().is_some_and(|answer| {
            let closes = answer.headers.get("connection");
            closes.is_none_or(|value| value != "close")
        });
        if is_kept && rng.random_bool(0.95) {
            kept = Some((connection, host));
        }
        pause(&mut rng).await;
    }
}

/// Asks for streams, and leaves some of them early.
pub async fn listener(world: Rc<World>, seed: u64, name: String) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut number = 0;
    while !world.is_over.get() {
        number += 1;
        let id = format!("{name}-{number}");
        let host = pick(&world, &mut rng);
        let limit = if rng.random_bool(0.2) {
            Duration::from_millis(rng.random_range(1..600))
        } else {
            PATIENCE
        };
        let answer = timeout(limit, host.client.stream(&id, "/stream/x")).await;
        let answer = answer.ok().and_then(Result::ok);
        world
            .ledger
            .borrow_mut()
            .stream(&id, EVENTS, answer.as_ref());
        pause(&mut rng).await;
    }
}

/// Runs steps: submits a batch, reads until enough is there, ends it, names the next version, and
/// brings back what was left.
pub async fn trainer(world: Rc<World>, seed: u64, name: String) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut left: Vec<String> = Vec::new();
    let mut step = 0;
    while !world.is_over.get() {
        step += 1;
        let id = format!("{name}-s{step}");
        let mut items = std::mem::take(&mut left);
        items.truncate(ITEMS / 2);
        for number in items.len()..ITEMS {
            items.push(format!("{id}-i{number:02}"));
        }
        let named = world.named.get();
        let min_version = named.saturating_sub(1).max(1);
        let end = Instant::now() + STEP;
        if !submit(&world, &mut rng, &id, &items, min_version, end).await {
            continue;
        }
        let wanted = ITEMS * 9 / 10;
        let mut from = 0;
        while from < wanted && Instant::now() < end {
            let host = pick(&world, &mut rng);
            if let Some(answer) = results(&world, host, &id, from).await {
                from += answer.results().len();
            }
            pause(&mut rng).await;
        }
        left = unread(&world, &id, &items);
        finish(&world, &mut rng, &id).await;
        world.named.set(named + 1);
        world.store.announce_version("drafts", named + 1);
    }
}

/// Submits a batch until it is accepted or time is up.
async fn submit(
    world: &World,
    rng: &mut StdRng,
    id: &str,
    items: &[String],
    min_version: u64,
    end: Instant,
) -> bool {
    let names: Vec<&str> = items.iter().map(String::as_str).collect();
    while Instant::now() < end {
        let host = pick(world, rng);
        let answer = timeout(PATIENCE, host.client.submit(id, &names, min_version)).await;
        if let Ok(Ok(answer)) = answer
            && answer.status == 202
        {
            let mut ledger = world.ledger.borrow_mut();
            ledger.accepted(id, items, min_version, Instant::now());
            return true;
        }
        pause(rng).await;
    }
    false
}

/// Ends a batch, at several hosts if need be.
async fn finish(world: &World, rng: &mut StdRng, id: &str) {
    let end = Instant::now() + STEP;
    while Instant::now() < end {
        let host = pick(world, rng);
        if let Ok(Ok(answer)) = timeout(PATIENCE, host.client.end(id)).await
            && answer.status == 200
        {
            world.ledger.borrow_mut().ended(id, Instant::now());
            return;
        }
        pause(rng).await;
    }
}

/// Items of which no result was read. Both of a group, since groups come again whole.
fn unread(world: &World, id: &str, items: &[String]) -> Vec<String> {
    let ledger = world.ledger.borrow();
    let Some(batch) = ledger.batches.get(id) else {
        return Vec::new();
    };
    let is_read = |item: &String| batch.positions.values().any(|result| &result.item == item);
    items
        .chunks(2)
        .filter(|group| !group.iter().all(is_read))
        .flatten()
        .cloned()
        .collect()
}

/// Reads a page of results and notes it.
pub async fn results(world: &World, host: &Host, id: &str, from: usize) -> Option<Response> {
    let answer = timeout(PATIENCE, host.client.results(id, from)).await;
    let answer = answer.ok()?.ok()?;
    world
        .ledger
        .borrow_mut()
        .page(id, from, &host.name, &answer);
    Some(answer)
}

/// Reads old results and bodies again, anywhere.
pub async fn reader(world: Rc<World>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    while !world.is_over.get() {
        let known: Vec<(String, usize)> = {
            let ledger = world.ledger.borrow();
            let batches = ledger.batches.iter();
            batches
                .map(|(id, batch)| (id.clone(), batch.positions.len()))
                .collect()
        };
        if !known.is_empty() {
            let (id, count) = &known[rng.random_range(0..known.len())];
            let from = rng.random_range(0..=*count);
            let host = pick(&world, &mut rng);
            results(&world, host, id, from).await;
        }
        pause(&mut rng).await;
    }
}

/// Whether a host answers a plain request.
pub async fn is_served(host: &Host, id: &str) -> bool {
    let call = host
        .client
        .send(Method::POST, "/plain/x", &[], Bytes::from(id.to_owned()));
    matches!(timeout(PATIENCE, call).await, Ok(Ok(answer)) if answer.status == 200)
}
