//! The requests of one gateway to one service: those that run, and those that wait for a slot.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use tamaracksail_model::time::Instant;

use super::flow::{Flow, Waiter};
use super::request::Request;
use super::room::Room;

/// The service time that is assumed before the first request is complete, as in `fleet`.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(25);

/// The weight of the newest sample in the moving average of service times.
const SAMPLE_WEIGHT: f64 = 0.1;

/// The largest number of waiting requests of one priority. The bound by time is mostly reached
/// first; this one holds while the service time is not known yet.
const MAX_WAITING: usize = 512;

/// The bounds of the time after which a refused request may come again, before it is randomized.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(40), Duration::from_secs(5));

/// How many slots beyond the gateway's share are used for accounts that are within theirs.
const OVERDRAFT: u32 = 6;

/// How often accounts that have been quiet for long are forgotten, in requests.
const FORGET_INTERVAL: u64 = 1024;

/// Identifies a request at one queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// What happens to a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It begins now.
    Begin(Ticket),
    /// It waits until [`Queue::poll`] returns a verdict.
    Wait(Ticket),
    /// It is refused, and may come again after this time.
    Refuse(Duration),
}

/// What happens to a request that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It begins now.
    Begin,
    /// It is refused, and may come again after this time.
    Refuse(Duration),
}

/// The priority and the account of a flow.
type FlowKey = (u8, Option<String>);

/// A request that has begun.
#[derive(Clone, Copy, Debug)]
struct Running {
    since: Instant,
    /// Whether it counts among the requests at the servers.
    is_sent: bool,
}

/// The requests of one gateway to one service: those that run, and those that wait for a slot.
#[derive(Clone, Debug)]
pub struct Queue {
    flows: BTreeMap<FlowKey, Flow>,
    /// The virtual time of each priority: the start of the latest turn.
    virtual_times: BTreeMap<u8, f64>,
    waiting: BTreeMap<Ticket, FlowKey>,
    running: BTreeMap<Ticket, Running>,
    /// The running requests that do not count among the requests at the servers yet.
    unsent: u32,
    /// The moving average of service times.
    service_seconds: f64,
    /// No waiting request must begin earlier than this.
    next_begin_by: Instant,
    /// Requests that were displaced since the last poll.
    displaced: Vec<(Ticket, Verdict)>,
    last_ticket: u64,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            flows: BTreeMap::new(),
            virtual_times: BTreeMap::new(),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            unsent: 0,
            service_seconds: INITIAL_SERVICE_TIME.as_secs_f64(),
            next_begin_by: Instant(u64::MAX),
            displaced: Vec::new(),
            last_ticket: 0,
        }
    }
}

impl Queue {
    /// Decides on a request that arrives. `draw` is a random number from 0 to 1. After
    /// [`Decision::Wait`], [`Self::poll`] is called at once.
    pub fn arrive(&mut self, now: Instant, request: &Request, room: Room, draw: f64) -> Decision {
        let key = (request.priority, request.account.clone());
        let flow = self.flows.entry(key.clone()).or_default();
        flow.set_weight(request.weight);
        if self.waiting.is_empty() && self.has_room(room) {
            return Decision::Begin(self.begin(now, &key));
        }
        let begin_by = request.begin_by(self.service_time());
        let wait = self.expected_wait(&key, room);
        if now.after(wait) > begin_by {
            return Decision::Refuse(self.retry_after(now, &key, draw));
        }
        if self.waiting_at(request.priority) >= MAX_WAITING
            && let Err(retry_after) = self.displace(now, &key, draw)
        {
            return Decision::Refuse(retry_after);
        }
        let ticket = self.next_ticket();
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.waiting.push_back(Waiter { ticket, begin_by });
        }
        self.waiting.insert(ticket, key);
        self.next_begin_by = self.next_begin_by.min(begin_by);
        Decision::Wait(ticket)
    }

    /// Returns the requests that begin now or are refused, in this order of service. Called when a
    /// request ended, and while requests wait at least as often as load figures expire. `draw`
    /// returns random numbers from 0 to 1.
    pub fn poll(
        &mut self,
        now: Instant,
        room: Room,
        mut draw: impl FnMut() -> f64,
    ) -> Vec<(Ticket, Verdict)> {
        let mut verdicts = std::mem::take(&mut self.displaced);
        while let Some(key) = self.next_flow() {
            if !self.has_room(room) && !self.may_overdraw(&key, room) {
                break;
            }
            let waiter = self.flows.get_mut(&key).and_then(|f| f.waiting.pop_front());
            let Some(waiter) = waiter else {
                break;
            };
            self.waiting.remove(&waiter.ticket);
            self.begin_as(now, &key, waiter.ticket);
            verdicts.push((waiter.ticket, Verdict::Begin));
        }
        if now >= self.next_begin_by {
            for (ticket, key) in self.remove_late(now) {
                let retry_after = self.retry_after(now, &key, draw());
                verdicts.push((ticket, Verdict::Refuse(retry_after)));
            }
        }
        verdicts
    }

    /// Records that a request that has begun counts among the requests at the servers from now on.
    pub fn record_sent(&mut self, ticket: Ticket) {
        if let Some(running) = self.running.get_mut(&ticket)
            && !running.is_sent
        {
            running.is_sent = true;
            self.unsent -= 1;
        }
    }

    /// Records that a request ended: its response is complete if `is_served`. Otherwise it was not
    /// run, or its client disconnected, possibly while it waited.
    pub fn end(&mut self, now: Instant, ticket: Ticket, is_served: bool) {
        if let Some(running) = self.running.remove(&ticket) {
            self.unsent -= u32::from(!running.is_sent);
            if is_served {
                let sample = now.since(running.since).as_secs_f64();
                self.service_seconds += (sample - self.service_seconds) * SAMPLE_WEIGHT;
            }
        } else if let Some(key) = self.waiting.remove(&ticket)
            && let Some(flow) = self.flows.get_mut(&key)
        {
            flow.waiting.retain(|waiter| waiter.ticket != ticket);
        }
        if ticket.0.is_multiple_of(FORGET_INTERVAL) {
            self.forget_quiet(now);
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of requests that have begun and not ended.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the moving average of the time from the begin of a request to its response.
    #[must_use]
    pub fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.service_seconds)
    }

    /// Whether one more request may begin.
    fn has_room(&self, room: Room) -> bool {
        if room.slots == 0 {
            // Refused by the choice of a server, which says why.
            return true;
        }
        let running = count(self.running.len());
        if running < room.slots && room.free > self.unsent {
            return true;
        }
        running < self.share(room)
    }

    /// Returns the number of slots that this gateway may use at once while the service is full.
    fn share(&self, room: Room) -> u32 {
        room.share(count(self.running.len()), count(self.waiting.len()))
    }

    /// Whether one more request of a flow may begin beyond the gateway's share of the slots. A gateway
    /// with a small part of the arrivals has one slot or two, so that two requests that arrive
    /// together would otherwise cost an account that is within its share one of them. Accounts over
    /// their share wait for it.
    fn may_overdraw(&self, key: &FlowKey, room: Room) -> bool {
        let running = count(self.running.len());
        let flow = self.flows.get(key);
        let is_behind = flow.is_some_and(|flow| flow.is_behind(self.virtual_time(key.0)));
        is_behind && running < (self.share(room) + OVERDRAFT).min(room.slots)
    }

    /// Returns the time until a slot of this gateway becomes free.
    fn interval(&self) -> Duration {
        Duration::from_secs_f64(self.service_seconds) / count(self.running.len()).max(1)
    }

    /// Returns the time until one more request of a flow would begin.
    fn expected_wait(&self, key: &FlowKey, room: Room) -> Duration {
        let virtual_time = self.virtual_time(key.0);
        let start = self
            .flows
            .get(key)
            .map_or(0.0, |flow| flow.start(virtual_time, flow.waiting.len()));
        let ahead: usize = self
            .flows
            .iter()
            .map(|(other, flow)| match other.0.cmp(&key.0) {
                Ordering::Less => flow.waiting.len(),
                Ordering::Equal => flow.ahead_of(virtual_time, start),
                Ordering::Greater => 0,
            })
            .sum();
        let flow = self.flows.get(key);
        let is_behind = flow.is_some_and(|flow| flow.is_behind(virtual_time));
        let overdraft = if is_behind { OVERDRAFT } else { 0 };
        let slots = (self.share(room) + overdraft).min(room.slots);
        let slots = slots.max(count(self.running.len())).max(1);
        self.service_time() * (count(ahead) + 1) / slots
    }

    /// Returns the flow whose request begins next.
    fn next_flow(&self) -> Option<FlowKey> {
        let heads = self.flows.iter().filter_map(|(key, flow)| {
            let head = flow.waiting.front()?;
            let start = flow.start(self.virtual_time(key.0), 0);
            Some((key, start, head.ticket))
        });
        let first = heads.min_by(|a, b| {
            let by_priority = a.0.0.cmp(&b.0.0);
            by_priority.then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2))
        })?;
        Some(first.0.clone())
    }

    fn begin(&mut self, now: Instant, key: &FlowKey) -> Ticket {
        let ticket = self.next_ticket();
        self.begin_as(now, key, ticket);
        ticket
    }

    fn begin_as(&mut self, now: Instant, key: &FlowKey, ticket: Ticket) {
        let virtual_time = self.virtual_times.entry(key.0).or_default();
        if let Some(flow) = self.flows.get_mut(key) {
            *virtual_time = virtual_time.max(flow.take_turn(*virtual_time));
        }
        let running = Running {
            since: now,
            is_sent: false,
        };
        self.running.insert(ticket, running);
        self.unsent += 1;
    }

    /// Removes the waiting requests that must have begun by now.
    fn remove_late(&mut self, now: Instant) -> Vec<(Ticket, FlowKey)> {
        let mut late = Vec::new();
        let mut next = Instant(u64::MAX);
        for (key, flow) in &mut self.flows {
            flow.waiting.retain(|waiter| {
                let is_late = waiter.begin_by <= now;
                if is_late {
                    late.push((waiter.ticket, key.clone()));
                } else {
                    next = next.min(waiter.begin_by);
                }
                !is_late
            });
        }
        self.next_begin_by = next;
        for (ticket, _) in &late {
            self.waiting.remove(ticket);
        }
        late
    }

    /// Makes place for a request of the flow `key` by refusing the last request of the flow that is
    /// furthest over its share.
    ///
    /// # Errors
    /// If this is the flow itself: when the request may come again.
    fn displace(&mut self, now: Instant, key: &FlowKey, draw: f64) -> Result<(), Duration> {
        let of_priority = self.flows.iter().filter(|(other, _)| other.0 == key.0);
        let longest = of_priority.max_by(|a, b| a.1.length().total_cmp(&b.1.length()));
        let longest = longest.map(|(other, _)| other.clone());
        let Some(longest) = longest.filter(|longest| longest != key) else {
            return Err(self.retry_after(now, key, draw));
        };
        let last = self
            .flows
            .get_mut(&longest)
            .and_then(|f| f.waiting.pop_back());
        if let Some(waiter) = last {
            self.waiting.remove(&waiter.ticket);
            let retry_after = self.retry_after(now, &longest, draw);
            self.displaced
                .push((waiter.ticket, Verdict::Refuse(retry_after)));
        }
        Ok(())
    }

    /// Returns when a refused request of a flow may come again: when the account's requests that
    /// wait or are expected again before it have had their turns, randomized so that clients do not
    /// come again together.
    fn retry_after(&mut self, now: Instant, key: &FlowKey, draw: f64) -> Duration {
        let is_backlogged = |flow: &&Flow| !flow.waiting.is_empty();
        let flows = self.flows.range((key.0, None)..);
        let of_priority = flows.take_while(|(other, _)| other.0 == key.0);
        let backlogged = of_priority.map(|(_, flow)| flow).filter(is_backlogged);
        let round = self.interval() * count(backlogged.count()).max(1);
        let backlog = self
            .flows
            .get_mut(key)
            .map_or(1.0, |flow| flow.record_refusal(now, round));
        let (least, most) = RETRY_AFTER;
        let base = (round.as_secs_f64() * backlog).clamp(least.as_secs_f64(), most.as_secs_f64());
        Duration::from_secs_f64(base * (0.5 + draw))
    }

    fn waiting_at(&self, priority: u8) -> usize {
        let flows = self.flows.range((priority, None)..);
        let of_priority = flows.take_while(|(key, _)| key.0 == priority);
        of_priority.map(|(_, flow)| flow.waiting.len()).sum()
    }

    fn forget_quiet(&mut self, now: Instant) {
        let virtual_times = &self.virtual_times;
        self.flows.retain(|key, flow| {
            let virtual_time = virtual_times.get(&key.0).copied().unwrap_or_default();
            !flow.is_forgettable(now, virtual_time)
        });
    }

    fn virtual_time(&self, priority: u8) -> f64 {
        self.virtual_times
            .get(&priority)
            .copied()
            .unwrap_or_default()
    }

    fn next_ticket(&mut self) -> Ticket {
        self.last_ticket += 1;
        Ticket(self.last_ticket)
    }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
