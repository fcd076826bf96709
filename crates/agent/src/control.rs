//! The actor around the agent's machine, on the control thread.

use std::collections::BTreeMap;
use std::time::Duration;

use actix::{
    Actor, AsyncContext, Context, Handler, Message as ActorMessage, ResponseFuture, WrapFuture,
};
use actix_web::web;
use prometheus::{IntGauge, Registry};
use serde::Deserialize;
use tamaracksail_control::config_actor::{PeerRequest, Update};
use tamaracksail_control::object_store;
use tamaracksail_model::id;
use tamaracksail_model::store::{Call, CallId, CallResult, Op, decode};
use tamaracksail_platform::Client;
use tamaracksail_policy::agent::{Action, Agent, Event, Settings};
use tamaracksail_process::clock::Clock;
use tamaracksail_process::health::Readiness;
use tamaracksail_wire::{Dispatch, Frame, LoadCommand, Message};
use tokio::sync::{mpsc, oneshot};

use crate::probe::{self, Health};
use crate::server::{self, Directive, Server};

/// The time between two ticks.
const TICK: Duration = Duration::from_millis(50);

/// The time between two probes of the backend server.
const PROBE: Duration = Duration::from_millis(250);

/// What the actor is made of.
pub struct Parts {
    /// The machine's settings.
    pub machine: Settings,
    /// The clock.
    pub clock: Clock,
    /// The backend server.
    pub server: Server,
    /// The pool or service that it belongs to.
    pub serves: id::Object,
    /// The platform's URL.
    pub platform: String,
    /// Whether the process takes work.
    pub readiness: Readiness,
    /// Where metrics are registered.
    pub registry: web::Data<Registry>,
}

/// The links of an attempt: to its entry and to its run.
struct Link {
    frames: mpsc::UnboundedSender<Frame>,
    run: mpsc::UnboundedSender<Directive>,
}

struct Gauges {
    running: IntGauge,
    waiting: IntGauge,
    generation: IntGauge,
}

/// The actor.
pub struct Control {
    machine: Agent,
    clock: Clock,
    server: Server,
    serves: id::Object,
    platform: Client,
    platform_url: String,
    http: awc::Client,
    readiness: Readiness,
    links: BTreeMap<id::Attempt, Link>,
    ordered: Option<oneshot::Sender<Option<Message>>>,
    stopped: Vec<oneshot::Sender<()>>,
    host: id::Host,
    epoch: Option<u64>,
    gauges: Gauges,
}

/// An event from the traffic threads.
#[derive(Debug, ActorMessage)]
#[rtype(result = "()")]
pub struct Input(pub Event);

/// What a probe of the server found.
#[derive(Debug, ActorMessage)]
#[rtype(result = "()")]
pub struct Probed(pub Health);

/// An attempt arrived. The answer: whether it is the first copy.
#[derive(Debug, ActorMessage)]
#[rtype(result = "bool")]
pub struct Begin {
    /// The attempt.
    pub dispatch: Dispatch,
    /// Where its frames go.
    pub frames: mpsc::UnboundedSender<Frame>,
    /// Where its run is steered.
    pub run: mpsc::UnboundedSender<Directive>,
}

/// Stop; the answer comes when nothing is in flight.
#[derive(Debug, ActorMessage)]
#[rtype(result = "()")]
pub struct Stop;

/// The part of a rollout object that agents read.
#[derive(Deserialize)]
struct Rollout {
    fence: id::Fence,
}

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
        Self {
            host: parts.machine.host.name.clone(),
            machine: Agent::new(parts.machine),
            clock: parts.clock,
            server: parts.server,
            serves: parts.serves,
            platform: Client::new(&parts.platform),
            platform_url: parts.platform,
            http: awc::Client::default(),
            readiness: parts.readiness,
            links: BTreeMap::new(),
            ordered: None,
            stopped: Vec::new(),
            epoch: None,
            gauges: Gauges {
                running: gauge("tamaracksail_attempts_running", "Attempts that run"),
                waiting: gauge("tamaracksail_attempts_waiting", "Attempts that wait"),
                generation: gauge("tamaracksail_generation", "The generation in force"),
            },
        }
    }

    /// Feeds the machine and carries out its actions; returns the answer to a message, if the
    /// machine gave one at once.
    fn feed(&mut self, event: Event, context: &mut Context<Self>) -> Option<Message> {
        let actions = self.machine.handle(self.clock.now(), event);
        let mut answer = None;
        for action in actions {
            answer = self.act(action, context).or(answer);
        }
        let load = self.machine.load();
        self.gauges.running.set(load.running.into());
        self.gauges.waiting.set(load.queued.into());
        self.readiness
            .set(self.machine.is_up() && !self.machine.is_leaving());
        answer
    }

    fn act(&mut self, action: Action, context: &mut Context<Self>) -> Option<Message> {
        match action {
            Action::Run { attempt, .. } => self.steer(attempt, Directive::Run),
            Action::Cancel(attempt) => self.steer(attempt, Directive::Cancel),
            Action::SendFrame(frame) => self.reply(frame),
            Action::CloseDuplicate(attempt) => log::warn!("attempt {attempt} arrived twice"),
            Action::Revoked(revoked) => return Some(Message::Revoked(revoked)),
            Action::Report(report) => return Some(Message::Report(*report)),
            Action::LoadOutcome(outcome) => {
                return Some(Message::Ordered(self.host.clone(), outcome));
            }
            Action::Load(command) => self.load(command, context),
            Action::ReadVersions => self.read_back(context),
            Action::ReadFence(model) => self.read_fence(model, context),
            Action::Exit => {
                for done in self.stopped.drain(..) {
                    // Whoever asked may have stopped waiting.
                    done.send(()).ok();
                }
            }
        }
        None
    }

    fn steer(&self, attempt: id::Attempt, directive: Directive) {
        if let Some(link) = self.links.get(&attempt) {
            // The run may have ended by itself.
            link.run.send(directive).ok();
        }
    }

    fn reply(&mut self, frame: Frame) {
        let attempt = frame.attempt();
        let is_last = matches!(frame, Frame::End { .. } | Frame::Failed { .. });
        if let Some(link) = self.links.get(&attempt) {
            // The entry may have closed its connection.
            link.frames.send(frame).ok();
        }
        if is_last {
            self.links.remove(&attempt);
        }
    }

    fn load(&self, command: LoadCommand, context: &mut Context<Self>) {
        let (http, server, platform) = (
            self.http.clone(),
            self.server.clone(),
            self.platform_url.clone(),
        );
        let own = context.address();
        let task = async move {
            if let Err(error) = server::load(&http, &server, &platform, &command).await {
                log::warn!("{error}");
            }
            own.do_send(Input(Event::LoadEnded));
        };
        context.spawn(task.into_actor(self));
    }

    fn read_back(&self, context: &mut Context<Self>) {
        let (http, server, own) = (self.http.clone(), self.server.clone(), context.address());
        let task = async move {
            let versions = match probe::probe(&http, &server).await {
                Health::Up { versions, .. } => Some(versions),
                Health::Down | Health::Silent => None,
            };
            own.do_send(Input(Event::VersionsRead(versions)));
        };
        context.spawn(task.into_actor(self));
    }

    fn read_fence(&self, model: id::Object, context: &mut Context<Self>) {
        let (platform, own) = (self.platform.clone(), context.address());
        let task = async move {
            let key = format!("rollout/{model}");
            let call = Call {
                call_id: CallId(0),
                key: key.clone(),
                op: Op::Get,
            };
            let fence = match object_store::call(&platform, call).await.result {
                CallResult::Value { value, .. } => decode::<Rollout>(&key, &value)
                    .ok()
                    .map(|rollout| rollout.fence),
                CallResult::Missing => Some(id::Fence(0)),
                _ => None,
            };
            own.do_send(Input(Event::FenceRead(model, fence)));
        };
        context.spawn(task.into_actor(self));
    }

    fn probe(&self, context: &mut Context<Self>) {
        let (http, server, own) = (self.http.clone(), self.server.clone(), context.address());
        let task = async move {
            own.do_send(Probed(probe::probe(&http, &server).await));
        };
        context.spawn(task.into_actor(self));
    }
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        self.probe(context);
        context.run_interval(PROBE, |actor, context| actor.probe(context));
        context.run_interval(TICK, |actor, context| {
            actor.feed(Event::Tick, context);
        });
    }
}

impl Handler<Input> for Control {
    type Result = ();

    fn handle(&mut self, input: Input, context: &mut Self::Context) {
        let answer = self.feed(input.0, context);
        if let (Some(answer @ Message::Ordered(..)), Some(reply)) = (answer, self.ordered.take()) {
            reply.send(Some(answer)).ok();
        }
    }
}

impl Handler<Probed> for Control {
    type Result = ();

    fn handle(&mut self, probed: Probed, context: &mut Self::Context) {
        match probed.0 {
            Health::Up { epoch, versions } => {
                if self.epoch.is_some_and(|known| known != epoch) {
                    self.feed(Event::ServerDown, context);
                }
                self.epoch = Some(epoch);
                self.feed(Event::ServerUp(versions), context);
            }
            Health::Down => {
                self.feed(Event::ServerDown, context);
            }
            // Slow is not gone: attempts on it are the entries' to judge.
            Health::Silent => {}
        }
    }
}

impl Handler<Begin> for Control {
    type Result = bool;

    fn handle(&mut self, begin: Begin, context: &mut Self::Context) -> bool {
        let attempt = begin.dispatch.attempt;
        if self.links.contains_key(&attempt) {
            return false;
        }
        self.links.insert(
            attempt,
            Link {
                frames: begin.frames,
                run: begin.run,
            },
        );
        self.feed(Event::Dispatch(begin.dispatch), context);
        true
    }
}

impl Handler<Stop> for Control {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _: Stop, context: &mut Self::Context) -> Self::Result {
        let (done, is_done) = oneshot::channel();
        self.stopped.push(done);
        self.feed(Event::Stop, context);
        Box::pin(async move { drop(is_done.await) })
    }
}

impl Handler<PeerRequest> for Control {
    type Result = ResponseFuture<Option<Message>>;

    fn handle(&mut self, request: PeerRequest, context: &mut Self::Context) -> Self::Result {
        let event = match request.0 {
            Message::Hello(hello) => Event::Hello(hello),
            Message::Revoke(revoke) => Event::Revoke(revoke),
            Message::Order(command) => Event::LoadCommand(command),
            _ => return Box::pin(async { None }),
        };
        let is_load_command = matches!(event, Event::LoadCommand(_));
        let answer = self.feed(event, context);
        if answer.is_some() || !is_load_command {
            return Box::pin(async { answer });
        }
        let (reply, ordered) = oneshot::channel();
        self.ordered = Some(reply);
        Box::pin(async move { ordered.await.ok().flatten() })
    }
}

impl Handler<Update> for Control {
    type Result = ();

    fn handle(&mut self, update: Update, _: &mut Self::Context) {
        if let Update::Config(config) = update {
            self.machine.set_generation(config.generation);
            self.machine.set_limit(config.concurrency(&self.serves));
            self.gauges
                .generation
                .set(i64::try_from(config.generation.0).unwrap_or(i64::MAX));
        }
    }
}
