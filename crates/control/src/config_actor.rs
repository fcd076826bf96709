//! Drives the configuration replica: the configuration and the host list in force in this process.

use std::sync::Arc;
use std::time::Duration;

use actix::{
    Actor, AsyncContext, Context, Handler, Message as ActorMessage, Recipient, WrapFuture,
};
use actix_web::{HttpResponse, web};
use tamaracksail_model::config::Snapshot;
use tamaracksail_model::host::Host;
use tamaracksail_model::store::{CallResult, Reply};
use tamaracksail_platform::Client;
use tamaracksail_policy::version::replica::{Action, ConfigReplica, Event, Settings};
use tamaracksail_process::clock::Clock;
use tamaracksail_wire::{self as wire, Message};

use crate::{object_store, peer};

/// The time between two ticks.
const TICK: Duration = Duration::from_millis(100);

/// What came into force.
#[derive(Clone, Debug, ActorMessage)]
#[rtype(result = "()")]
pub enum Update {
    /// A configuration.
    Config(Arc<Snapshot>),
    /// A host list.
    Hosts(Vec<Host>),
}

/// An event for the configuration replica.
#[derive(Debug, ActorMessage)]
#[rtype(result = "()")]
pub struct Input(pub Event);

/// The actor around the configuration replica.
pub struct ConfigActor {
    machine: ConfigReplica,
    clock: Clock,
    platform: Client,
    http: awc::Client,
    subscribers: Vec<Recipient<Update>>,
}

impl ConfigActor {
    /// An actor that tells `subscribers` what comes into force. To be made on its own thread.
    #[must_use]
    pub fn new(
        settings: Settings,
        clock: Clock,
        platform: &str,
        subscribers: Vec<Recipient<Update>>,
    ) -> Self {
        Self {
            machine: ConfigReplica::new(settings),
            clock,
            platform: Client::new(platform),
            http: awc::Client::default(),
            subscribers,
        }
    }

    fn handle_event(&mut self, event: Event, context: &mut Context<Self>) {
        for action in self.machine.handle(self.clock.now(), event) {
            self.act(action, context);
        }
    }

    fn act(&self, action: Action, context: &mut Context<Self>) {
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
            Action::Watch {
                call_id,
                key,
                after,
            } => {
                let platform = self.platform.clone();
                let task = async move {
                    let result = platform.watch(&key, after).await.unwrap_or_else(|error| {
                        log::warn!("{error}");
                        CallResult::Lost
                    });
                    own.do_send(Input(Event::Stored(Reply { call_id, result })));
                };
                context.spawn(task.into_actor(self));
            }
            Action::Send(to, message) => {
                let http = self.http.clone();
                let task = async move {
                    if let Err(error) = peer::send(&http, to, "configuration", &message).await {
                        log::debug!("{error}");
                    }
                };
                context.spawn(task.into_actor(self));
            }
            Action::InForce(snapshot) => {
                log::info!("{} is in force", snapshot.generation);
                self.publish(&Update::Config(snapshot));
            }
            Action::Hosts(hosts) => self.publish(&Update::Hosts(hosts)),
        }
    }

    fn publish(&self, update: &Update) {
        for subscriber in &self.subscribers {
            subscriber.do_send(update.clone());
        }
    }
}

impl Actor for ConfigActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        self.handle_event(Event::Tick, context);
        context.run_interval(TICK, |actor, context| {
            actor.handle_event(Event::Tick, context);
        });
    }
}

impl Handler<Input> for ConfigActor {
    type Result = ();

    fn handle(&mut self, input: Input, context: &mut Self::Context) {
        self.handle_event(input.0, context);
    }
}

/// Where messages of the control threads arrive: those about the configuration go to the
/// configuration replica, the others to the handler of the process.
#[derive(Clone)]
pub struct MessageRouter {
    /// The configuration replica.
    pub config_actor: Recipient<Input>,
    /// The process's own handler; it answers or stays silent.
    pub process_handler: Recipient<PeerRequest>,
}

/// A message that is for the process itself.
#[derive(Debug, ActorMessage)]
#[rtype(result = "Option<Message>")]
pub struct PeerRequest(pub Message);

/// The handler of [`peer::CONTROL`].
pub async fn receive(router: web::Data<MessageRouter>, body: web::Bytes) -> HttpResponse {
    let message = match wire::decode::<Message>(&body) {
        Ok(message) => message,
        Err(error) => return HttpResponse::BadRequest().body(format!("{error}\n")),
    };
    match message {
        Message::Gossip(_) | Message::Pull(_) | Message::Config(..) | Message::Hosts(..) => {
            router.config_actor.do_send(Input(Event::Received(message)));
            HttpResponse::NoContent().finish()
        }
        other => match router.process_handler.send(PeerRequest(other)).await {
            Ok(Some(answer)) => HttpResponse::Ok().body(wire::encode(&answer)),
            Ok(None) => HttpResponse::NoContent().finish(),
            Err(_) => HttpResponse::ServiceUnavailable().finish(),
        },
    }
}
