//! The queues of all services, and the requests that wait in them.

use std::cell::RefCell;
use std::collections::BTreeMap;

use tamaracksail_model::time::Instant;
use tamaracksail_policy::admission::{Decision, Queue, Request, Room, Ticket, Verdict};
use tokio::sync::oneshot;

/// The queue of one service.
#[derive(Debug, Default)]
struct Service {
    queue: Queue,
    /// Wakes the requests that wait.
    waiting: BTreeMap<Ticket, oneshot::Sender<Verdict>>,
    /// Whether a task polls the queue.
    is_polled: bool,
}

/// The queues of all services.
#[derive(Debug, Default)]
pub struct Queues {
    services: RefCell<BTreeMap<String, Service>>,
}

/// A request that arrived.
#[derive(Debug)]
pub enum Arrival {
    /// It begins at once.
    Begins(Ticket),
    /// It waits for the verdict.
    Waits(Ticket, oneshot::Receiver<Verdict>),
    /// It is refused, and may come again after this time.
    Refused(std::time::Duration),
}

impl Queues {
    /// Decides on a request to `service` that arrives.
    pub fn arrive(&self, now: Instant, service: &str, request: &Request, room: Room) -> Arrival {
        let mut services = self.services.borrow_mut();
        if !services.contains_key(service) {
            services.insert(service.to_owned(), Service::default());
        }
        let Some(found) = services.get_mut(service) else {
            unreachable!("the service was inserted");
        };
        match found.queue.arrive(now, request, room, rand::random()) {
            Decision::Begin(ticket) => Arrival::Begins(ticket),
            Decision::Wait(ticket) => {
                let (sender, verdict) = oneshot::channel();
                found.waiting.insert(ticket, sender);
                found.poll(now, room);
                Arrival::Waits(ticket, verdict)
            }
            Decision::Refuse(retry_after) => Arrival::Refused(retry_after),
        }
    }

    /// Tells waiting requests that they begin or are refused. Returns whether any still wait.
    pub fn poll(&self, now: Instant, service: &str, room: impl FnOnce() -> Room) -> bool {
        let mut services = self.services.borrow_mut();
        let Some(service) = services.get_mut(service) else {
            return false;
        };
        if service.waiting.is_empty() {
            return false;
        }
        service.poll(now, room());
        !service.waiting.is_empty()
    }

    /// Records that a request counts among the requests at the servers from now on.
    pub fn record_sent(&self, service: &str, ticket: Ticket) {
        if let Some(service) = self.services.borrow_mut().get_mut(service) {
            service.queue.record_sent(ticket);
        }
    }

    /// Records that a request ended, or that its client disconnected while it waited.
    pub fn end(&self, now: Instant, service: &str, ticket: Ticket, is_served: bool) {
        if let Some(service) = self.services.borrow_mut().get_mut(service) {
            service.waiting.remove(&ticket);
            service.queue.end(now, ticket, is_served);
        }
    }

    /// Records whether a task polls the queue of a service. Returns whether one did before.
    pub fn set_polled(&self, service: &str, is_polled: bool) -> bool {
        let mut services = self.services.borrow_mut();
        let service = services.get_mut(service);
        service.is_some_and(|service| std::mem::replace(&mut service.is_polled, is_polled))
    }

    /// Returns the number of requests to a service that wait, the number that run, and the expected
    /// service time, for log lines.
    pub fn describe(&self, service: &str) -> (usize, usize, std::time::Duration) {
        let services = self.services.borrow();
        services
            .get(service)
            .map_or_else(Default::default, |found| {
                let queue = &found.queue;
                (queue.waiting(), queue.running(), queue.service_time())
            })
    }
}

impl Service {
    fn poll(&mut self, now: Instant, room: Room) {
        for (ticket, verdict) in self.queue.poll(now, room, rand::random) {
            let sender = self.waiting.remove(&ticket);
            // A request whose client disconnects leaves the queue before it drops the receiver.
            if sender.is_none_or(|sender| sender.send(verdict).is_err()) {
                log::error!("a request that left is still in the queue");
            }
        }
    }
}
