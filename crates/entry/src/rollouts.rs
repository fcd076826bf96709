//! The actor around the rollouts of models.

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

/// The time between two ticks.
const TICK: Duration = Duration::from_millis(100);

/// How long an agent may take to carry out an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(25);

/// What the actor is made of.
pub struct Parts {
    /// The host and life of this process.
    pub claimant: Claimant,
    /// The clock.
    pub clock: Clock,
    /// The platform's URL.
    pub platform: String,
    /// Servers that load from the weight store at a time.
    pub store_limit: u32,
    /// Servers that load at a time, in percent of all.
    pub out_percent: u32,
}

/// The actor.
pub struct Rollouts {
    parts: Parts,
    platform: Client,
    http: awc::Client,
    config: Option<Arc<Snapshot>>,
    hosts: Vec<Host>,
    controllers: BTreeMap<id::Object, RolloutController>,
}

/// An event for one rollout.
#[derive(Debug, ActorMessage)]
#[rtype(result = "()")]
pub struct Input {
    /// The model.
    pub model: id::Object,
    /// The event.
    pub event: Event,
}

/// Gives all leases back.
#[derive(Debug, ActorMessage)]
#[rtype(result = "()")]
pub struct Stop;

impl Rollouts {
    /// The actor. To be made on its own thread.
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

    fn feed(&mut self, model: &id::Object, event: Event, context: &mut Context<Self>) {
        let now = self.parts.clock.now();
        let Some(controller) = self.controllers.get_mut(model) else {
            return;
        };
        for action in controller.handle(now, event) {
            self.act(model, action, context);
        }
    }

    fn feed_all(&mut self, event: &Event, context: &mut Context<Self>) {
        let models: Vec<id::Object> = self.controllers.keys().cloned().collect();
        for model in models {
            self.feed(&model, event.clone(), context);
        }
    }

    fn act(&mut self, model: &id::Object, action: Action, context: &mut Context<Self>) {
        let (own, model) = (context.address(), model.clone());
        match action {
            Action::Store(call) => {
                let platform = self.platform.clone();
                let task = async move {
                    let reply = object_store::call(&platform, call).await;
                    own.do_send(Input {
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
                    let answer = peer::send_with_timeout(
                        &http,
                        host.address,
                        "order",
                        &message,
                        ORDER_TIMEOUT,
                    );
                    let event = match answer.await {
                        Ok(Some(Message::Ordered(name, outcome))) => {
                            Event::LoadOutcome(name, outcome)
                        }
                        Ok(_) => Event::LoadOutcomeLost(host.name),
                        Err(error) => {
                            log::info!("{error}");
                            Event::LoadOutcomeLost(host.name)
                        }
                    };
                    own.do_send(Input { model, event });
                };
                context.spawn(task.into_actor(self));
            }
            Action::Released => log::info!("the rollout of {model} is released"),
        }
    }

    /// Runs a machine for each model whose rollout this host may own: the first few entries of
    /// the model's own order of hosts.
    fn choose_models(&mut self, context: &mut Context<Self>) {
        let Some(config) = self.config.clone() else {
            return;
        };
        let own = &self.parts.claimant.host;
        let candidates =
            |model: &id::Object| subset::candidates(&self.hosts, model.as_str()).contains(&own);
        let wanted: Vec<id::Object> = config
            .models()
            .filter(|model| candidates(model))
            .cloned()
            .collect();
        let unwanted: Vec<id::Object> = self
            .controllers
            .keys()
            .filter(|model| !wanted.contains(model))
            .cloned()
            .collect();
        for model in unwanted {
            self.feed(&model, Event::Stop, context);
            self.controllers.remove(&model);
        }
        for model in wanted {
            if self.controllers.contains_key(&model) {
                continue;
            }
            let settings = Settings {
                model: model.clone(),
                claimant: self.parts.claimant.clone(),
                max_loads_from_store: self.parts.store_limit,
                max_loads_per_peer: 2,
                max_loading_percent: self.parts.out_percent,
            };
            self.controllers
                .insert(model.clone(), RolloutController::new(settings));
            self.feed(&model, Event::Config(Arc::clone(&config)), context);
            self.feed(&model, Event::Hosts(self.hosts.clone()), context);
        }
    }
}

impl Actor for Rollouts {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.run_interval(TICK, |actor, context| actor.feed_all(&Event::Tick, context));
    }
}

impl Handler<Input> for Rollouts {
    type Result = ();

    fn handle(&mut self, input: Input, context: &mut Self::Context) {
        self.feed(&input.model, input.event, context);
    }
}

impl Handler<Stop> for Rollouts {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _: Stop, context: &mut Self::Context) -> Self::Result {
        /// The time in which the leases' last writes go out.
        const GRACE: Duration = Duration::from_millis(200);
        self.feed_all(&Event::Stop, context);
        Box::pin(async { actix_rt::time::sleep(GRACE).await })
    }
}

impl Handler<Update> for Rollouts {
    type Result = ();

    fn handle(&mut self, update: Update, context: &mut Self::Context) {
        match update {
            Update::Config(config) => {
                self.config = Some(Arc::clone(&config));
                self.feed_all(&Event::Config(config), context);
            }
            Update::Hosts(hosts) => {
                self.hosts = hosts;
                self.feed_all(&Event::Hosts(self.hosts.clone()), context);
            }
        }
        self.choose_models(context);
    }
}
