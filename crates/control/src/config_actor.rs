//! The actor around the configuration replica, which provides the configuration and the host list
//! in force in this process.

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
use tamaracksail_policy::version::replica::{Action, ConfigReplica, Event, Settings, WATCH_MARGIN};
use tamaracksail_process::clock::Clock;
use tamaracksail_wire::{self as wire, Message};

use crate::{object_store, peer};

/// The interval between two ticks of the replica.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// A configuration or host list that has come into force.
#[derive(Clone, Debug, ActorMessage)]
#[rtype(result = "()")]
pub enum Update {
    /// A configuration.
    Config(Arc<Snapshot>),
    /// A host list.
    Hosts(Vec<Host>),
}

/// Passes an event to the configuration replica.
#[derive(Debug, ActorMessage)]
#[rtype(result = "()")]
pub struct Input(pub Event);

/// Runs the configuration replica: passes events to it, executes its actions and publishes what
/// comes into force.
pub struct ConfigActor {
    replica: ConfigReplica,
    clock: Clock,
    platform: Client,
    http: awc::Client,
    subscribers: Vec<Recipient<Update>>,
}

impl ConfigActor {
    /// Returns an actor that sends updates to `subscribers`. Must be called on the thread that the
    /// actor runs on, since the HTTP clients belong to one thread.
    #[must_use]
    pub fn new(
        settings: Settings,
        clock: Clock,
        platform: &str,
        subscribers: Vec<Recipient<Update>>,
    ) -> Self {
        Self {
            replica: ConfigReplica::new(settings),
            clock,
            platform: Client::new(platform),
            http: awc::Client::default(),
            subscribers,
        }
    }

    fn handle_event(&mut self, event: Event, context: &mut Context<Self>) {
        for action in self.replica.handle(self.clock.now(), event) {
            self.execute(action, context);
        }
    }

    fn execute(&self, action: Action, context: &mut Context<Self>) {
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
            Action::Watch {
                call_id,
                key,
                after,
                wait,
            } => {
                let platform = self.platform.clone();
                let task = async move {
                    let result = platform
                        .watch(&key, after, wait, WATCH_MARGIN)
                        .await
                        .unwrap_or_else(|error| {
                            log::warn!("{error}");
                            CallResult::Lost
                        });
                    own_address.do_send(Input(Event::Stored(Reply { call_id, result })));
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
                log::info!("configuration {} is in force", snapshot.generation);
                self.publish(&Update::Config(snapshot));
            }
            Action::Hosts(hosts) => self.publish(&Update::Hosts(hosts)),
            Action::UnreadableHost(error) => log::warn!("host list: {error}"),
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
        context.run_interval(TICK_INTERVAL, |actor, context| {
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

/// Routes messages from the control threads of other processes: those about the configuration and
/// the host list to the configuration replica, all others to the handler of the process.
#[derive(Clone)]
pub struct MessageRouter {
    /// The actor around the configuration replica.
    pub config_actor: Recipient<Input>,
    /// The handler of the process, which returns the response, if the message has one.
    pub process_handler: Recipient<PeerRequest>,
}

/// A message from another process that is not about the configuration or the host list.
#[derive(Debug, ActorMessage)]
#[rtype(result = "Option<Message>")]
pub struct PeerRequest(pub Message);

/// Handles a message that was posted to [`peer::CONTROL`].
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
            Ok(Some(response)) => HttpResponse::Ok().body(wire::encode(&response)),
            Ok(None) => HttpResponse::NoContent().finish(),
            Err(_) => HttpResponse::ServiceUnavailable().finish(),
        },
    }
}
