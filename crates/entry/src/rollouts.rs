//! The actor that runs the rollout controllers of models, on the control thread.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use actix::{
    Actor, AsyncContext, Context, Handler, Message as ActorMessage, ResponseFuture, WrapFuture,
};
use tamaracksail_control::config_actor::Update;
use tamaracksail_control::{object_store, peer};
use tamaracksail_model::config::Snapshot;
use tamaracksail_model::host::Host;
use tamaracksail_model::id;
use tamaracksail_platform::Client;
use tamaracksail_policy::process::lease::Claimant;
use tamaracksail_policy::process::subset;
use tamaracksail_policy::version::rollout::{Action, Event, RolloutController, Settings};
use tamaracksail_process::clock::Clock;
use tamaracksail_wire::Message;

/// The period of the ticks that drive the controllers.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// How long an agent may take to carry out a load command.
const LOAD_COMMAND_TIMEOUT: Duration = Duration::from_secs(25);

/// The parts of a [`Rollouts`] actor.
pub struct Parts {
    /// The host and incarnation of this process.
    pub claimant: Claimant,
    /// The clock of the process.
    pub clock: Clock,
    /// The platform's URL.
    pub platform: String,
    /// The maximum number of servers that load from the weight store at a time.
    pub max_loads_from_store: u32,
    /// The maximum number of servers that load at a time, in percent of all servers.
    pub max_loading_percent: u32,
}

/// The actor that runs the rollout controllers of the models for which this host is a candidate.
pub struct Rollouts {
    parts: Parts,
    platform: Client,
    http: awc::Client,
    config: Option<Arc<Snapshot>>,
    hosts: Vec<Host>,
    controllers: BTreeMap<id::Object, RolloutController>,
}

/// An event for the controller of one rollout.
#[derive(Debug, ActorMessage)]
#[rtype(result = "()")]
pub struct Input {
    /// The model.
    pub model: id::Object,
    /// The event.
    pub event: Event,
}

/// Releases all leases.
#[derive(Debug, ActorMessage)]
#[rtype(result = "()")]
pub struct Stop;

impl Rollouts {
    /// Creates the actor. Must be called on the thread that the actor runs on.
    pub fn new(parts: Parts) -> Self {
        Self {
            platform: Client::new(&parts.platform),
            http: awc::Client::default(),
            config: None,
            hosts: Vec::new(),
            controllers: BTreeMap::new(),
            parts,
        }
    }

    fn handle_event(&mut self, model: &id::Object, event: Event, context: &mut Context<Self>) {
        let now = self.parts.clock.now();
        let Some(controller) = self.controllers.get_mut(model) else {
            return;
        };
        for action in controller.handle(now, event) {
            self.perform(model, action, context);
        }
    }

    /// Passes an event to all controllers.
    fn broadcast(&mut self, event: &Event, context: &mut Context<Self>) {
        let models: Vec<id::Object> = self.controllers.keys().cloned().collect();
        for model in models {
            self.handle_event(&model, event.clone(), context);
        }
    }

    fn perform(&mut self, model: &id::Object, action: Action, context: &mut Context<Self>) {
        let (own_address, model) = (context.address(), model.clone());
        match action {
            Action::Store(call) => {
                let platform = self.platform.clone();
                let task = async move {
                    let reply = object_store::call(&platform, call).await;
                    own_address.do_send(Input {
                        model,
                        event: Event::Stored(reply),
                    });
                };
                context.spawn(task.into_actor(self));
            }
            Action::LoadCommand(host, command) => {
                let http = self.http.clone();
                let task = async move {
                    let message = Message::Order(command);
                    let response = peer::send_with_timeout(
                        &http,
                        host.address,
                        "order",
                        &message,
                        LOAD_COMMAND_TIMEOUT,
                    );
                    let event = match response.await {
                        Ok(Some(Message::Ordered(name, outcome))) => {
                            Event::LoadOutcome(name, outcome)
                        }
                        Ok(_) => Event::LoadOutcomeLost(host.name),
                        Err(error) => {
                            log::info!("{error}");
                            Event::LoadOutcomeLost(host.name)
                        }
                    };
                    own_address.do_send(Input { model, event });
                };
                context.spawn(task.into_actor(self));
            }
            Action::Released => log::info!("released the lease of the rollout of {model}"),
        }
    }

    /// Starts a controller for each model for whose rollout lease this host is a candidate, and
    /// stops the others.
    fn update_controllers(&mut self, context: &mut Context<Self>) {
        let Some(config) = self.config.clone() else {
            return;
        };
        let own_host = &self.parts.claimant.host;
        let is_candidate = |model: &id::Object| {
            subset::candidates(&self.hosts, model.as_str()).contains(&own_host)
        };
        let wanted: Vec<id::Object> = config
            .models()
            .filter(|model| is_candidate(model))
            .cloned()
            .collect();
        let unwanted: Vec<id::Object> = self
            .controllers
            .keys()
            .filter(|model| !wanted.contains(model))
            .cloned()
            .collect();
        for model in unwanted {
            self.handle_event(&model, Event::Stop, context);
            self.controllers.remove(&model);
        }
        for model in wanted {
            if self.controllers.contains_key(&model) {
                continue;
            }
            let settings = Settings {
                model: model.clone(),
                claimant: self.parts.claimant.clone(),
                max_loads_from_store: self.parts.max_loads_from_store,
                max_loads_per_peer: 2,
                max_loading_percent: self.parts.max_loading_percent,
            };
            self.controllers
                .insert(model.clone(), RolloutController::new(settings));
            self.handle_event(&model, Event::Config(Arc::clone(&config)), context);
            self.handle_event(&model, Event::Hosts(self.hosts.clone()), context);
        }
    }
}

impl Actor for Rollouts {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.run_interval(TICK_PERIOD, |actor, context| {
            actor.broadcast(&Event::Tick, context);
        });
    }
}

impl Handler<Input> for Rollouts {
    type Result = ();

    fn handle(&mut self, input: Input, context: &mut Self::Context) {
        self.handle_event(&input.model, input.event, context);
    }
}

impl Handler<Stop> for Rollouts {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _: Stop, context: &mut Self::Context) -> Self::Result {
        /// How long the writes that release the leases may take.
        const RELEASE_TIMEOUT: Duration = Duration::from_millis(200);
        self.broadcast(&Event::Stop, context);
        Box::pin(async { actix_rt::time::sleep(RELEASE_TIMEOUT).await })
    }
}

impl Handler<Update> for Rollouts {
    type Result = ();

    fn handle(&mut self, update: Update, context: &mut Self::Context) {
        match update {
            Update::Config(config) => {
                self.config = Some(Arc::clone(&config));
                self.broadcast(&Event::Config(config), context);
            }
            Update::Hosts(hosts) => {
                self.hosts = hosts;
                self.broadcast(&Event::Hosts(self.hosts.clone()), context);
            }
        }
        self.update_controllers(context);
    }
}
