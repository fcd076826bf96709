//! Connects the queues of `crate::admission` with the requests of client accounts.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tamaracksail_model::account::Caller;
use tamaracksail_model::route::Route;
use tamaracksail_model::time::Instant;
use tamaracksail_policy::admission::{Request, Room, Ticket, Verdict};

use crate::admission::Arrival;
use crate::gateway::{Gateway, now};

/// How often a queue is polled while requests wait in it, besides at the end of each request. Well
/// within the time for which load figures are valid, and short against an objective of 150 ms.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// All accounts have the same weight: the configuration states none.
const WEIGHT: f64 = 1.0;

/// The right of a request to run at a server of its service, or its place in the queue. Given back
/// when it is dropped.
pub struct Admitted {
    gateway: Rc<Gateway>,
    service: String,
    ticket: Ticket,
    is_served: Cell<bool>,
}

impl Admitted {
    /// Records that the request was sent to a server, whose load includes it from now on.
    pub fn record_sent(&self) {
        let queues = &self.gateway.admission;
        queues.record_sent(&self.service, self.ticket);
    }

    /// Records that a server ran the request.
    pub fn record_served(&self) {
        self.is_served.set(true);
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let queues = &self.gateway.admission;
        queues.end(now(), &self.service, self.ticket, self.is_served.get());
        poll(&self.gateway, &self.service);
    }
}

/// Waits until a request to `service` may run. Returns `None` if no accounts are configured: then
/// each request runs at once.
///
/// # Errors
/// When the client should retry if the request cannot begin in time.
pub async fn admit(
    gateway: &Rc<Gateway>,
    route: &Route,
    service: &str,
    caller: &Caller,
    deadline: Instant,
) -> Result<Option<Admitted>, Duration> {
    if *caller == Caller::Any {
        return Ok(None);
    }
    let account = caller.account();
    let priority = account.and_then(|name| {
        let table = gateway.table.borrow();
        table.as_ref()?.accounts.as_ref()?.priority(name)
    });
    let arrival = now();
    let request = Request {
        account: account.map(str::to_owned),
        priority: priority.unwrap_or(route.priority),
        weight: WEIGHT,
        arrival,
        objective: route.objective,
        deadline,
    };
    let room = room(gateway, service);
    let queues = &gateway.admission;
    let admitted = |ticket| Admitted {
        gateway: Rc::clone(gateway),
        service: service.to_owned(),
        ticket,
        is_served: Cell::new(false),
    };
    let count = |outcome| gateway.metrics.record_admission(outcome);
    let (admitted, verdict) = match queues.arrive(arrival, service, &request, room) {
        Arrival::Begins(ticket) => {
            count("at once");
            return Ok(Some(admitted(ticket)));
        }
        Arrival::Refused(retry_after) => {
            count("refused");
            log_refusal(gateway, service, account, room, Duration::ZERO);
            return Err(retry_after);
        }
        Arrival::Waits(ticket, verdict) => (admitted(ticket), verdict),
    };
    start_polling(gateway, service);
    let verdict = verdict.await;
    let waited = now().since(arrival);
    match verdict {
        Ok(Verdict::Begin) => {
            count("waited");
            log::debug!(service, account, waited_ms = waited.as_millis(); "request begins after a wait");
            Ok(Some(admitted))
        }
        Ok(Verdict::Refuse(retry_after)) => {
            count("refused after a wait");
            log_refusal(
                gateway,
                service,
                account,
                self::room(gateway, service),
                waited,
            );
            Err(retry_after)
        }
        Err(error) => {
            // The queue answers each request that waits in it.
            log::error!(service, error:%; "request lost its place in the queue");
            Err(POLL_INTERVAL)
        }
    }
}

fn log_refusal(
    gateway: &Gateway,
    service: &str,
    account: Option<&str>,
    room: Room,
    waited: Duration,
) {
    let (waiting, running, service_time) = gateway.admission.describe(service);
    log::info!(
        service, account, waited_ms = waited.as_millis(), waiting, running,
        service_ms = service_time.as_millis(), slots = room.slots, free = room.free,
        others = room.others, load_age_ms = room.age.as_millis(), outcome = "not run";
        "refused, it cannot begin in time"
    );
}

fn room(gateway: &Gateway, service: &str) -> Room {
    gateway.fleet.borrow().room(now(), service)
}

fn poll(gateway: &Gateway, service: &str) -> bool {
    let queues = &gateway.admission;
    queues.poll(now(), service, || room(gateway, service))
}

/// Polls the queue of a service until it is empty.
fn start_polling(gateway: &Rc<Gateway>, service: &str) {
    if gateway.admission.set_polled(service, true) {
        return;
    }
    let (gateway, service) = (Rc::clone(gateway), service.to_owned());
    actix_rt::spawn(async move {
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            if !poll(&gateway, &service) {
                break;
            }
        }
        gateway.admission.set_polled(&service, false);
    });
}
