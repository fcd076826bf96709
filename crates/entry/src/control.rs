//! The actor around the entry's machine, on the control thread.

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

use crate::pump::Directive;

/// The time between two ticks.
const TICK: Duration = Duration::from_millis(50);

/// How long a stopping entry waits for the platform once every caller has an answer.
const STOP_PATIENCE: Duration = Duration::from_secs(5);

/// What the actor is made of.
pub struct Parts {
    /// The machine's settings.
    pub machine: Settings,
    /// The clock.
    pub clock: Clock,
    /// The platform's URL.
    pub platform: String,
    /// Whether the process takes work.
    pub readiness: Readiness,
    /// Where metrics are registered.
    pub registry: web::Data<Registry>,
    /// The time between two writes of status and cost.
    pub status_period: Duration,
    /// Where the configuration in force is published for the traffic threads.
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

/// The actor.
pub struct Control {
    machine: Entry,
    clock: Clock,
    platform: Client,
    http: awc::Client,
    readiness: Readiness,
    config: Arc<ArcSwap<Snapshot>>,
    links: BTreeMap<id::Request, mpsc::UnboundedSender<Directive>>,
    stopped: Vec<oneshot::Sender<()>>,
    status_period: Duration,
    host: id::Host,
    incarnation: id::Incarnation,
    /// The costs at the start of the day.
    day: (u64, CostTable),
    gauges: Gauges,
}

/// An event from the traffic threads.
#[derive(Debug, ActorMessage)]
#[rtype(result = "()")]
pub struct Input(pub Event);

/// A request arrived.
#[derive(Debug, ActorMessage)]
#[rtype(result = "()")]
pub struct Begin {
    /// The request.
    pub arrival: Arrival,
    /// Where its directives go.
    pub directives: mpsc::UnboundedSender<Directive>,
}

/// Stop; the answer comes when nothing is in flight.
#[derive(Debug, ActorMessage)]
#[rtype(result = "()")]
pub struct Stop;

impl Control {
    /// The actor. To be made on its own thread.
    pub fn new(parts: Parts) -> Self {
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("the name is valid");
            parts
                .registry
                .register(Box::new(gauge.clone()))
                .expect("the name is new");
            gauge
        };
        let today = status::days_since_epoch(parts.clock.now());
        Self {
            host: parts.machine.host().name.clone(),
            incarnation: parts.machine.incarnation(),
            status_period: parts.status_period,
            day: (today, CostTable::default()),
            machine: Entry::new(parts.machine),
            clock: parts.clock,
            platform: Client::new(&parts.platform),
            http: awc::Client::default(),
            readiness: parts.readiness,
            config: parts.config,
            links: BTreeMap::new(),
            stopped: Vec::new(),
            gauges: Gauges {
                arrived: gauge("tamaracksail_requests_arrived", "Requests that arrived"),
                done: gauge("tamaracksail_requests_done", "Requests answered in full"),
                not_run: gauge("tamaracksail_requests_not_run", "Requests not run"),
                unknown: gauge(
                    "tamaracksail_requests_unknown",
                    "Requests that may have run",
                ),
                retries: gauge("tamaracksail_retries", "Retries paid by the budget"),
                shed: gauge(
                    "tamaracksail_requests_shed",
                    "Requests refused for overload",
                ),
                in_flight: gauge(
                    "tamaracksail_requests_in_flight",
                    "Requests without an answer",
                ),
                generation: gauge("tamaracksail_generation", "The generation in force"),
            },
        }
    }

    fn feed(&mut self, event: Event, context: &mut Context<Self>) {
        for action in self.machine.handle(self.clock.now(), event) {
            self.act(action, context);
        }
        self.readiness.set(self.machine.is_ready());
    }

    fn act(&mut self, action: Action, context: &mut Context<Self>) {
        let own = context.address();
        match action {
            Action::Store(call) => {
                let platform = self.platform.clone();
                let task = async move {
                    let reply = object_store::call(&platform, call).await;
                    own.do_send(Input(Event::Stored(reply)));
                };
                context.spawn(task.into_actor(self));
            }
            Action::Dispatch {
                request,
                address,
                dispatch,
                ..
            } => {
                self.direct(request, Directive::Dispatch { address, dispatch });
            }
            Action::StartResponse {
                request,
                status,
                headers,
            } => {
                self.direct(request, Directive::Start { status, headers });
            }
            Action::Relay { request, bytes, .. } => {
                self.direct(request, Directive::Relay(bytes));
            }
            Action::Respond { request, response } => {
                self.direct(request, Directive::Answer(response));
                self.links.remove(&request);
            }
            Action::Revoke {
                address, revoke, ..
            } => {
                let http = self.http.clone();
                let task = async move {
                    match peer::send(&http, address, "revoke", &Message::Revoke(revoke)).await {
                        Ok(Some(Message::Revoked(revoked))) => {
                            own.do_send(Input(Event::Revoked(revoked)));
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
                            own.do_send(Input(Event::Report(report)));
                        }
                        Ok(_) => {}
                        Err(error) => {
                            log::debug!("{error}");
                            own.do_send(Input(Event::HeartbeatFailed(host)));
                        }
                    }
                };
                context.spawn(task.into_actor(self));
            }
            Action::Exit => self.finish_stop(),
        }
    }

    fn finish_stop(&mut self) {
        for done in self.stopped.drain(..) {
            // Whoever asked may have stopped waiting.
            done.send(()).ok();
        }
    }

    fn direct(&self, request: id::Request, directive: Directive) {
        if let Some(link) = self.links.get(&request) {
            // The caller may have gone.
            link.send(directive).ok();
        }
    }

    /// Writes status and the costs of the day to the platform.
    fn write_status(&mut self, context: &mut Context<Self>) {
        let now = self.clock.now();
        let key = status::cost_key(self.day.0, &self.host, self.incarnation);
        let cost = self.machine.costs().since(&self.day.1);
        let today = status::days_since_epoch(now);
        if today != self.day.0 {
            self.day = (today, self.machine.costs().clone());
        }
        let status = store::encode(&self.machine.status(now));
        let (platform, status_key) = (self.platform.clone(), status::status_key(&self.host));
        let task = async move {
            object_store::overwrite(&platform, status_key, status).await;
            if !cost.sums.is_empty() {
                object_store::overwrite(&platform, key, store::encode(&cost)).await;
            }
        };
        context.spawn(task.into_actor(self));
    }

    fn show_counters(&self) {
        let show =
            |gauge: &IntGauge, count: u64| gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        let counters = self.machine.counters();
        show(&self.gauges.arrived, counters.arrived);
        show(&self.gauges.done, counters.done);
        show(&self.gauges.not_run, counters.not_run);
        show(&self.gauges.unknown, counters.unknown);
        show(&self.gauges.retries, counters.retries);
        show(&self.gauges.shed, counters.shed);
        show(&self.gauges.in_flight, self.machine.in_flight() as u64);
        show(&self.gauges.generation, self.config.load().generation.0);
    }
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.run_interval(TICK, |actor, context| {
            actor.feed(Event::Tick, context);
            actor.show_counters();
        });
        context.run_interval(self.status_period, Self::write_status);
    }
}

impl Handler<Input> for Control {
    type Result = ();

    fn handle(&mut self, input: Input, context: &mut Self::Context) {
        self.feed(input.0, context);
    }
}

impl Handler<Begin> for Control {
    type Result = ();

    fn handle(&mut self, begin: Begin, context: &mut Self::Context) {
        self.links.insert(begin.arrival.request, begin.directives);
        self.feed(Event::Arrived(begin.arrival), context);
    }
}

impl Handler<Stop> for Control {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _: Stop, context: &mut Self::Context) -> Self::Result {
        let (done, is_done) = oneshot::channel();
        self.stopped.push(done);
        self.feed(Event::Stop, context);
        context.run_interval(STOP_PATIENCE, |actor, _| {
            if actor.machine.in_flight() == 0 {
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
                self.feed(Event::Config(config), context);
            }
            Update::Hosts(hosts) => self.feed(Event::Hosts(hosts), context),
        }
    }
}
