//! The actor that runs the entry's state machine, on the control thread.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use actix::{
    Actor, AsyncContext, Context, Handler, Message as ActorMessage, ResponseFuture, WrapFuture,
};
use actix_web::web;
use arc_swap::ArcSwap;
use prometheus::{IntGauge, Registry};
use tamaracksail_control::config_actor::{PeerRequest, Update};
use tamaracksail_control::{object_store, peer};
use tamaracksail_model::config::Snapshot;
use tamaracksail_model::id;
use tamaracksail_model::store;
use tamaracksail_platform::Client;
use tamaracksail_policy::entry::{Action, Entry, Event, Settings};
use tamaracksail_policy::process::cost::CostTable;
use tamaracksail_policy::process::status;
use tamaracksail_policy::request::arrival::Arrival;
use tamaracksail_process::clock::Clock;
use tamaracksail_process::health::Readiness;
use tamaracksail_wire::Message;
use tokio::sync::{mpsc, oneshot};

use crate::request_task::Directive;

/// The period of the ticks that drive the state machine.
const TICK_PERIOD: Duration = Duration::from_millis(50);

/// The interval at which a stopping entry checks whether requests are in flight. If there are none,
/// it stops without waiting any longer for calls to the platform.
const STOP_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// The parts of a [`Control`] actor.
pub struct Parts {
    /// The settings of the state machine.
    pub settings: Settings,
    /// The clock of the process.
    pub clock: Clock,
    /// The platform's URL.
    pub platform: String,
    /// The readiness of the process, which the actor keeps up to date.
    pub readiness: Readiness,
    /// The registry of metrics.
    pub registry: web::Data<Registry>,
    /// The interval between writes of the status and the costs to the platform.
    pub status_period: Duration,
    /// The configuration in force, which the actor publishes to the traffic threads.
    pub config: Arc<ArcSwap<Snapshot>>,
}

struct Gauges {
    arrived: IntGauge,
    done: IntGauge,
    not_run: IntGauge,
    unknown: IntGauge,
    retries: IntGauge,
    shed: IntGauge,
    in_flight: IntGauge,
    generation: IntGauge,
}

/// The actor that runs the entry's state machine.
pub struct Control {
    entry: Entry,
    clock: Clock,
    platform: Client,
    http: awc::Client,
    readiness: Readiness,
    config: Arc<ArcSwap<Snapshot>>,
    /// The channel to the task of each request.
    directive_senders: BTreeMap<id::Request, mpsc::UnboundedSender<Directive>>,
    /// The senders of [`Stop`], who wait until the entry has stopped.
    stop_waiters: Vec<oneshot::Sender<()>>,
    status_period: Duration,
    host: id::Host,
    incarnation: id::Incarnation,
    /// The current day, counted from the Unix epoch, and the cost table at its start.
    day_start: (u64, CostTable),
    gauges: Gauges,
}

/// An event for the state machine.
#[derive(Debug, ActorMessage)]
#[rtype(result = "()")]
pub struct Input(pub Event);

/// Registers a request and passes its arrival to the state machine.
#[derive(Debug, ActorMessage)]
#[rtype(result = "()")]
pub struct StartRequest {
    /// The request.
    pub arrival: Arrival,
    /// The channel to the request's task.
    pub directive_sender: mpsc::UnboundedSender<Directive>,
}

/// Stops the entry. The response is sent when no request is in flight, and calls to the platform
/// have ended or are given up.
#[derive(Debug, ActorMessage)]
#[rtype(result = "()")]
pub struct Stop;

impl Control {
    /// Creates the actor. Must be called on the thread that the actor runs on.
    pub fn new(parts: Parts) -> Self {
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("the metric name is valid");
            parts
                .registry
                .register(Box::new(gauge.clone()))
                .expect("the metric name is not registered yet");
            gauge
        };
        let today = status::days_since_epoch(parts.clock.now());
        Self {
            host: parts.settings.host().name.clone(),
            incarnation: parts.settings.incarnation(),
            status_period: parts.status_period,
            day_start: (today, CostTable::default()),
            entry: Entry::new(parts.settings),
            clock: parts.clock,
            platform: Client::new(&parts.platform),
            http: awc::Client::default(),
            readiness: parts.readiness,
            config: parts.config,
            directive_senders: BTreeMap::new(),
            stop_waiters: Vec::new(),
            gauges: Gauges {
                arrived: gauge("tamaracksail_requests_arrived", "Requests that arrived"),
                done: gauge(
                    "tamaracksail_requests_done",
                    "Requests that got a complete response",
                ),
                not_run: gauge(
                    "tamaracksail_requests_not_run",
                    "Requests that were not run",
                ),
                unknown: gauge(
                    "tamaracksail_requests_unknown",
                    "Requests that may have run",
                ),
                retries: gauge(
                    "tamaracksail_retries",
                    "Retries that the retry budget paid for",
                ),
                shed: gauge(
                    "tamaracksail_requests_shed",
                    "Requests rejected because of overload",
                ),
                in_flight: gauge(
                    "tamaracksail_requests_in_flight",
                    "Requests without a final response",
                ),
                generation: gauge(
                    "tamaracksail_generation",
                    "The configuration generation in force",
                ),
            },
        }
    }

    fn handle_event(&mut self, event: Event, context: &mut Context<Self>) {
        for action in self.entry.handle(self.clock.now(), event) {
            self.perform(action, context);
        }
        self.readiness.set(self.entry.is_ready());
    }

    fn perform(&mut self, action: Action, context: &mut Context<Self>) {
        let own_address = context.address();
        match action {
            Action::Store(call) => {
                let platform = self.platform.clone();
                let task = async move {
                    let reply = object_store::call(&platform, call).await;
                    own_address.do_send(Input(Event::Stored(reply)));
                };
                context.spawn(task.into_actor(self));
            }
            Action::Dispatch {
                request,
                address,
                dispatch,
                ..
            } => {
                self.send_directive(request, Directive::Dispatch { address, dispatch });
            }
            Action::StartResponse {
                request,
                status,
                headers,
            } => {
                self.send_directive(request, Directive::StartResponse { status, headers });
            }
            Action::Relay { request, bytes, .. } => {
                self.send_directive(request, Directive::Relay(bytes));
            }
            Action::Respond { request, response } => {
                self.send_directive(request, Directive::Respond(response));
                self.directive_senders.remove(&request);
            }
            Action::Revoke {
                address, revoke, ..
            } => {
                let http = self.http.clone();
                let task = async move {
                    match peer::send(&http, address, "revoke", &Message::Revoke(revoke)).await {
                        Ok(Some(Message::Revoked(revoked))) => {
                            own_address.do_send(Input(Event::Revoked(revoked)));
                        }
                        Ok(_) => {}
                        Err(error) => log::debug!("{error}"),
                    }
                };
                context.spawn(task.into_actor(self));
            }
            Action::Hello {
                host,
                address,
                hello,
            } => {
                let http = self.http.clone();
                let task = async move {
                    match peer::send(&http, address, "heartbeat", &Message::Hello(hello)).await {
                        Ok(Some(Message::Report(report))) => {
                            own_address.do_send(Input(Event::Report(report)));
                        }
                        Ok(_) => {}
                        Err(error) => {
                            log::debug!("{error}");
                            own_address.do_send(Input(Event::HeartbeatFailed(host)));
                        }
                    }
                };
                context.spawn(task.into_actor(self));
            }
            Action::Exit => self.finish_stop(),
        }
    }

    fn finish_stop(&mut self) {
        for done in self.stop_waiters.drain(..) {
            // The receiver is dropped if the sender of `Stop` no longer waits.
            done.send(()).ok();
        }
    }

    fn send_directive(&self, request: id::Request, directive: Directive) {
        if let Some(sender) = self.directive_senders.get(&request) {
            // The request's task may have ended.
            sender.send(directive).ok();
        }
    }

    /// Writes the status of the entry and its costs of the current day to the platform. The first
    /// call after midnight UTC writes the costs of the previous day for the last time.
    fn write_status(&mut self, context: &mut Context<Self>) {
        let now = self.clock.now();
        let key = status::cost_key(self.day_start.0, &self.host, self.incarnation);
        let cost = self.entry.costs().since(&self.day_start.1);
        let today = status::days_since_epoch(now);
        if today != self.day_start.0 {
            self.day_start = (today, self.entry.costs().clone());
        }
        let status = store::encode(&self.entry.status(now));
        let (platform, status_key) = (self.platform.clone(), status::status_key(&self.host));
        let task = async move {
            object_store::overwrite(&platform, status_key, status).await;
            if !cost.sums.is_empty() {
                object_store::overwrite(&platform, key, store::encode(&cost)).await;
            }
        };
        context.spawn(task.into_actor(self));
    }

    fn update_gauges(&self) {
        let set =
            |gauge: &IntGauge, count: u64| gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        let counters = self.entry.counters();
        set(&self.gauges.arrived, counters.arrived);
        set(&self.gauges.done, counters.done);
        set(&self.gauges.not_run, counters.not_run);
        set(&self.gauges.unknown, counters.unknown);
        set(&self.gauges.retries, counters.retries);
        set(&self.gauges.shed, counters.shed);
        set(&self.gauges.in_flight, self.entry.in_flight() as u64);
        set(&self.gauges.generation, self.config.load().generation.0);
    }
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.run_interval(TICK_PERIOD, |actor, context| {
            actor.handle_event(Event::Tick, context);
            actor.update_gauges();
        });
        context.run_interval(self.status_period, Self::write_status);
    }
}

impl Handler<Input> for Control {
    type Result = ();

    fn handle(&mut self, input: Input, context: &mut Self::Context) {
        self.handle_event(input.0, context);
    }
}

impl Handler<StartRequest> for Control {
    type Result = ();

    fn handle(&mut self, start: StartRequest, context: &mut Self::Context) {
        self.directive_senders
            .insert(start.arrival.request, start.directive_sender);
        self.handle_event(Event::Arrived(start.arrival), context);
    }
}

impl Handler<Stop> for Control {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _: Stop, context: &mut Self::Context) -> Self::Result {
        let (done, is_done) = oneshot::channel();
        self.stop_waiters.push(done);
        self.handle_event(Event::Stop, context);
        context.run_interval(STOP_CHECK_INTERVAL, |actor, _| {
            if actor.entry.in_flight() == 0 {
                actor.finish_stop();
            }
        });
        Box::pin(async move { drop(is_done.await) })
    }
}

impl Handler<PeerRequest> for Control {
    type Result = ResponseFuture<Option<Message>>;

    fn handle(&mut self, _: PeerRequest, _: &mut Self::Context) -> Self::Result {
        Box::pin(async { None })
    }
}

impl Handler<Update> for Control {
    type Result = ();

    fn handle(&mut self, update: Update, context: &mut Self::Context) {
        match update {
            Update::Config(config) => {
                self.config.store(Arc::clone(&config));
                self.handle_event(Event::Config(config), context);
            }
            Update::Hosts(hosts) => self.handle_event(Event::Hosts(hosts), context),
        }
    }
}
