//! The actor around the agent's state machine, on the control thread.

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

/// The interval between two ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The interval between two probes of the backend server.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// The settings and shared objects that the actor is created with.
pub struct Dependencies {
    /// The settings of the state machine.
    pub agent_settings: Settings,
    /// The clock.
    pub clock: Clock,
    /// The backend server.
    pub server: Server,
    /// The pool or service that it belongs to.
    pub serves: id::Object,
    /// The platform's URL.
    pub platform: String,
    /// Whether the process is ready for attempts.
    pub readiness: Readiness,
    /// The registry of metrics.
    pub registry: web::Data<Registry>,
}

/// The channels of an attempt: for frames to its entry, and for directives to the task that runs
/// it.
struct AttemptChannels {
    frame_sender: mpsc::UnboundedSender<Frame>,
    directive_sender: mpsc::UnboundedSender<Directive>,
}

struct Gauges {
    running: IntGauge,
    waiting: IntGauge,
    generation: IntGauge,
}

/// Runs the agent's state machine: passes events to it and executes its actions.
pub struct Control {
    agent: Agent,
    clock: Clock,
    server: Server,
    serves: id::Object,
    platform: Client,
    platform_url: String,
    http: awc::Client,
    readiness: Readiness,
    attempt_channels: BTreeMap<id::Attempt, AttemptChannels>,
    /// Where the response to the pending load command goes.
    load_response: Option<oneshot::Sender<Option<Message>>>,
    /// Notified once nothing is in flight any more.
    stop_waiters: Vec<oneshot::Sender<()>>,
    host: id::Host,
    /// The server's epoch as last reported. A change means that the server has restarted.
    epoch: Option<u64>,
    gauges: Gauges,
}

/// Passes an event to the state machine.
#[derive(Debug, ActorMessage)]
#[rtype(result = "()")]
pub struct Input(pub Event);

/// The result of a probe of the server.
#[derive(Debug, ActorMessage)]
#[rtype(result = "()")]
pub struct ProbeResult(pub Health);

/// Starts an attempt that an entry dispatched. Returns false for a duplicate of a running attempt.
#[derive(Debug, ActorMessage)]
#[rtype(result = "bool")]
pub struct StartAttempt {
    /// The attempt.
    pub dispatch: Dispatch,
    /// Where the frames of the attempt are sent.
    pub frame_sender: mpsc::UnboundedSender<Frame>,
    /// Where directives for the task that runs it are sent.
    pub directive_sender: mpsc::UnboundedSender<Directive>,
}

/// Stops the agent. The response is sent once nothing is in flight.
#[derive(Debug, ActorMessage)]
#[rtype(result = "()")]
pub struct Stop;

/// The part of a rollout object that the agent reads.
#[derive(Deserialize)]
struct Rollout {
    fence: id::Fence,
}

impl Control {
    /// Returns the actor. Must be called on the thread that the actor runs on, since the HTTP
    /// clients belong to one thread.
    pub fn new(dependencies: Dependencies) -> Self {
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("the name is valid");
            dependencies
                .registry
                .register(Box::new(gauge.clone()))
                .expect("the name is new");
            gauge
        };
        Self {
            host: dependencies.agent_settings.host.name.clone(),
            agent: Agent::new(dependencies.agent_settings),
            clock: dependencies.clock,
            server: dependencies.server,
            serves: dependencies.serves,
            platform: Client::new(&dependencies.platform),
            platform_url: dependencies.platform,
            http: awc::Client::default(),
            readiness: dependencies.readiness,
            attempt_channels: BTreeMap::new(),
            load_response: None,
            stop_waiters: Vec::new(),
            epoch: None,
            gauges: Gauges {
                running: gauge("tamaracksail_attempts_running", "Attempts that run"),
                waiting: gauge("tamaracksail_attempts_waiting", "Attempts that wait"),
                generation: gauge("tamaracksail_generation", "The generation in force"),
            },
        }
    }

    /// Passes an event to the state machine and executes the resulting actions. Returns the
    /// response to a message, if the state machine responded at once.
    fn handle_event(&mut self, event: Event, context: &mut Context<Self>) -> Option<Message> {
        let actions = self.agent.handle(self.clock.now(), event);
        let mut response = None;
        for action in actions {
            response = self.execute(action, context).or(response);
        }
        let load = self.agent.load();
        self.gauges.running.set(load.running.into());
        self.gauges.waiting.set(load.queued.into());
        self.readiness
            .set(self.agent.is_up() && !self.agent.is_leaving());
        response
    }

    fn execute(&mut self, action: Action, context: &mut Context<Self>) -> Option<Message> {
        match action {
            Action::Run { attempt, .. } => self.send_directive(attempt, Directive::Run),
            Action::Cancel(attempt) => self.send_directive(attempt, Directive::Cancel),
            Action::SendFrame(frame) => self.send_frame(frame),
            Action::CloseDuplicate(attempt) => log::warn!("attempt {attempt} dispatched twice"),
            Action::Revoked(revoked) => return Some(Message::Revoked(revoked)),
            Action::Report(report) => return Some(Message::Report(*report)),
            Action::LoadOutcome(outcome) => {
                return Some(Message::Ordered(self.host.clone(), outcome));
            }
            Action::Load(command) => self.load_weights(command, context),
            Action::ReadVersions => self.read_versions(context),
            Action::ReadFence(model) => self.read_fence(model, context),
            Action::Exit => {
                for waiter in self.stop_waiters.drain(..) {
                    // The receiver is closed if the requester no longer waits.
                    waiter.send(()).ok();
                }
            }
        }
        None
    }

    fn send_directive(&self, attempt: id::Attempt, directive: Directive) {
        if let Some(channels) = self.attempt_channels.get(&attempt) {
            // The receiver is closed if the attempt has ended in the meantime.
            channels.directive_sender.send(directive).ok();
        }
    }

    fn send_frame(&mut self, frame: Frame) {
        let attempt = frame.attempt();
        let is_last = matches!(frame, Frame::End { .. } | Frame::Failed { .. });
        if let Some(channels) = self.attempt_channels.get(&attempt) {
            // The receiver is closed if the entry has disconnected.
            channels.frame_sender.send(frame).ok();
        }
        if is_last {
            self.attempt_channels.remove(&attempt);
        }
    }

    fn load_weights(&self, command: LoadCommand, context: &mut Context<Self>) {
        let (http, server, platform) = (
            self.http.clone(),
            self.server.clone(),
            self.platform_url.clone(),
        );
        let own_address = context.address();
        let task = async move {
            if let Err(error) = server::load(&http, &server, &platform, &command).await {
                log::warn!("{error}");
            }
            own_address.do_send(Input(Event::LoadEnded));
        };
        context.spawn(task.into_actor(self));
    }

    fn read_versions(&self, context: &mut Context<Self>) {
        let (http, server, own_address) =
            (self.http.clone(), self.server.clone(), context.address());
        let task = async move {
            let versions = match probe::probe(&http, &server).await {
                Health::Up { versions, .. } => Some(versions),
                Health::Down | Health::NoResponse => None,
            };
            own_address.do_send(Input(Event::VersionsRead(versions)));
        };
        context.spawn(task.into_actor(self));
    }

    fn read_fence(&self, model: id::Object, context: &mut Context<Self>) {
        let (platform, own_address) = (self.platform.clone(), context.address());
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
            own_address.do_send(Input(Event::FenceRead(model, fence)));
        };
        context.spawn(task.into_actor(self));
    }

    fn probe(&self, context: &mut Context<Self>) {
        let (http, server, own_address) =
            (self.http.clone(), self.server.clone(), context.address());
        let task = async move {
            own_address.do_send(ProbeResult(probe::probe(&http, &server).await));
        };
        context.spawn(task.into_actor(self));
    }
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        self.probe(context);
        context.run_interval(PROBE_INTERVAL, |actor, context| actor.probe(context));
        context.run_interval(TICK_INTERVAL, |actor, context| {
            actor.handle_event(Event::Tick, context);
        });
    }
}

impl Handler<Input> for Control {
    type Result = ();

    fn handle(&mut self, input: Input, context: &mut Self::Context) {
        let response = self.handle_event(input.0, context);
        if let (Some(response @ Message::Ordered(..)), Some(sender)) =
            (response, self.load_response.take())
        {
            sender.send(Some(response)).ok();
        }
    }
}

impl Handler<ProbeResult> for Control {
    type Result = ();

    fn handle(&mut self, result: ProbeResult, context: &mut Self::Context) {
        match result.0 {
            Health::Up { epoch, versions } => {
                if self.epoch.is_some_and(|known| known != epoch) {
                    self.handle_event(Event::ServerDown, context);
                }
                self.epoch = Some(epoch);
                self.handle_event(Event::ServerUp(versions), context);
            }
            Health::Down => {
                self.handle_event(Event::ServerDown, context);
            }
            // The server may only be slow. Entries decide whether to give up its attempts.
            Health::NoResponse => {}
        }
    }
}

impl Handler<StartAttempt> for Control {
    type Result = bool;

    fn handle(&mut self, start: StartAttempt, context: &mut Self::Context) -> bool {
        let attempt = start.dispatch.attempt;
        if self.attempt_channels.contains_key(&attempt) {
            return false;
        }
        self.attempt_channels.insert(
            attempt,
            AttemptChannels {
                frame_sender: start.frame_sender,
                directive_sender: start.directive_sender,
            },
        );
        self.handle_event(Event::Dispatch(start.dispatch), context);
        true
    }
}

impl Handler<Stop> for Control {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _: Stop, context: &mut Self::Context) -> Self::Result {
        let (sender, receiver) = oneshot::channel();
        self.stop_waiters.push(sender);
        self.handle_event(Event::Stop, context);
        Box::pin(async move { drop(receiver.await) })
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
        let response = self.handle_event(event, context);
        if response.is_some() || !is_load_command {
            return Box::pin(async { response });
        }
        let (sender, receiver) = oneshot::channel();
        self.load_response = Some(sender);
        Box::pin(async move { receiver.await.ok().flatten() })
    }
}

impl Handler<Update> for Control {
    type Result = ();

    fn handle(&mut self, update: Update, _: &mut Self::Context) {
        if let Update::Config(config) = update {
            self.agent.set_generation(config.generation);
            self.agent.set_limit(config.concurrency(&self.serves));
            self.gauges
                .generation
                .set(i64::try_from(config.generation.0).unwrap_or(i64::MAX));
        }
    }
}
