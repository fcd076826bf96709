//! The actor around the owners of trainers' steps.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use actix::{
    Actor, Addr, AsyncContext, Context, Handler, Message as ActorMessage, ResponseFuture,
    WrapFuture,
};
use tamaracksail_control::config_actor::Update;
use tamaracksail_control::object_store;
use tamaracksail_model::config::Snapshot;
use tamaracksail_model::host::Host;
use tamaracksail_model::id;
use tamaracksail_model::time::Instant;
use tamaracksail_platform::Client;
use tamaracksail_policy::process::lease::Claimant;
use tamaracksail_policy::version::ledger::Sample;
use tamaracksail_policy::version::owner::{
    Action, Event, Owner, Request, RequestId, Response, Settings,
};
use tamaracksail_process::clock::Clock;
use tokio::sync::oneshot;

use crate::control::Control;
use crate::{payloads, sampling};

/// The time between two ticks.
const TICK: Duration = Duration::from_millis(50);

/// What the actor is made of.
pub struct Parts {
    /// The host and life of this process.
    pub claimant: Claimant,
    /// The clock.
    pub clock: Clock,
    /// The platform's URL.
    pub platform: String,
    /// The control thread of requests.
    pub control: Addr<Control>,
    /// Samples of one trainer that are made at a time.
    pub parallel: u32,
}

/// A copy of a slot's sample.
type Copy = (id::Object, id::Step, id::Slot, u32);

/// The actor.
pub struct Training {
    parts: Parts,
    platform: Client,
    http: awc::Client,
    config: Option<Arc<Snapshot>>,
    hosts: Arc<Vec<Host>>,
    owners: BTreeMap<id::Object, Owner>,
    pending_requests: BTreeMap<RequestId, oneshot::Sender<Response>>,
    copies: BTreeMap<Copy, oneshot::Sender<()>>,
    last_request_id: u64,
    is_stopping: bool,
}

/// A trainer or a scoring service asks.
#[derive(Debug, ActorMessage)]
#[rtype(result = "Response")]
pub struct Question {
    /// The trainer.
    pub trainer: id::Object,
    /// What is wanted.
    pub request: Request,
}

/// An event for one owner.
#[derive(Debug, ActorMessage)]
#[rtype(result = "()")]
pub struct Input {
    /// The trainer.
    pub trainer: id::Object,
    /// The event.
    pub event: Event,
}

/// Asks for the host list as last read.
#[derive(Debug, ActorMessage)]
#[rtype(result = "Arc<Vec<Host>>")]
pub struct Hosts;

/// Gives all ledgers back.
#[derive(Debug, ActorMessage)]
#[rtype(result = "()")]
pub struct Stop;

impl Training {
    /// The actor. To be made on its own thread.
    pub fn new(parts: Parts) -> Self {
        Self {
            platform: Client::new(&parts.platform),
            http: awc::Client::default(),
            config: None,
            hosts: Arc::default(),
            owners: BTreeMap::new(),
            pending_requests: BTreeMap::new(),
            copies: BTreeMap::new(),
            last_request_id: 0,
            is_stopping: false,
            parts,
        }
    }

    fn now(&self) -> Instant {
        self.parts.clock.now()
    }

    fn owner(&mut self, trainer: &id::Object) -> &mut Owner {
        let settings = Settings {
            trainer: trainer.clone(),
            claimant: self.parts.claimant.clone(),
            parallel: self.parts.parallel,
        };
        let (config, now) = (self.config.clone(), self.parts.clock.now());
        self.owners.entry(trainer.clone()).or_insert_with(|| {
            let mut owner = Owner::new(settings);
            if let Some(config) = config {
                // A new owner holds nothing, so a configuration causes no action.
                owner.handle(now, Event::Config(config));
            }
            owner
        })
    }

    fn feed(&mut self, trainer: &id::Object, event: Event, context: &mut Context<Self>) {
        let now = self.now();
        let actions = self.owner(trainer).handle(now, event);
        for action in actions {
            self.act(trainer, action, context);
        }
    }

    fn feed_all(&mut self, event: &Event, context: &mut Context<Self>) {
        let trainers: Vec<id::Object> = self.owners.keys().cloned().collect();
        for trainer in trainers {
            self.feed(&trainer, event.clone(), context);
        }
    }

    fn act(&mut self, trainer: &id::Object, action: Action, context: &mut Context<Self>) {
        let (own, trainer) = (context.address(), trainer.clone());
        match action {
            Action::Store(call) => {
                let platform = self.platform.clone();
                let task = async move {
                    let reply = object_store::call(&platform, call).await;
                    own.do_send(Input {
                        trainer,
                        event: Event::Stored(reply),
                    });
                };
                context.spawn(task.into_actor(self));
            }
            Action::Respond(request_id, response) => {
                if let Some(asked) = self.pending_requests.remove(&request_id) {
                    // Whoever asked may have closed its connection.
                    asked.send(response).ok();
                }
            }
            Action::Generate {
                step,
                slot,
                copy,
                prompt,
            } => {
                self.generate((trainer, step, slot, copy), &prompt, context);
            }
            Action::Cancel { step, slot, copy } => {
                if let Some(cancel) = self.copies.remove(&(trainer, step, slot, copy)) {
                    // The copy may have ended by itself.
                    cancel.send(()).ok();
                }
            }
            Action::Discard(samples) => {
                let (http, hosts) = (self.http.clone(), Arc::clone(&self.hosts));
                let task = async move { payloads::remove(&http, &hosts, &samples).await };
                context.spawn(task.into_actor(self));
            }
            Action::Released => log::info!("the ledger of {trainer} is released"),
        }
    }

    fn generate(&mut self, copy: Copy, prompt: &str, context: &mut Context<Self>) {
        let (cancel, cancelled) = oneshot::channel();
        self.copies.insert(copy.clone(), cancel);
        let model = self
            .config
            .as_ref()
            .and_then(|config| config.trainer(&copy.0).map(|trainer| trainer.model.clone()));
        let work = sampling::Work {
            control: self.parts.control.clone(),
            http: self.http.clone(),
            hosts: Arc::clone(&self.hosts),
            trainer: copy.0.clone(),
            model: model.unwrap_or_default(),
            slot: copy.2,
            prompt: prompt.to_owned(),
            now: self.now(),
        };
        let own = context.address();
        let task = async move {
            let sample: Option<Sample> = tokio::select! {
                sample = sampling::sample(work) => sample,
                _ = cancelled => return,
            };
            let (trainer, step, slot, copy) = copy;
            own.do_send(Input {
                trainer,
                event: Event::Sampled {
                    step,
                    slot,
                    copy,
                    sample,
                },
            });
        };
        context.spawn(task.into_actor(self));
    }
}

impl Actor for Training {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.run_interval(TICK, |actor, context| actor.feed_all(&Event::Tick, context));
    }
}

impl Handler<Question> for Training {
    type Result = ResponseFuture<Response>;

    fn handle(&mut self, question: Question, context: &mut Self::Context) -> Self::Result {
        let is_declared = self
            .config
            .as_ref()
            .is_some_and(|config| config.trainer(&question.trainer).is_some());
        if self.is_stopping {
            return Box::pin(async { Response::NotOwner(None) });
        }
        if !is_declared {
            let refusal = format!("there is no trainer {}", question.trainer);
            return Box::pin(async { Response::Refused(refusal) });
        }
        self.last_request_id += 1;
        let request_id = RequestId(self.last_request_id);
        let (reply, answer) = oneshot::channel();
        self.pending_requests.insert(request_id, reply);
        self.feed(
            &question.trainer,
            Event::RequestReceived(request_id, question.request),
            context,
        );
        Box::pin(async { answer.await.unwrap_or(Response::RetryLater) })
    }
}

impl Handler<Input> for Training {
    type Result = ();

    fn handle(&mut self, input: Input, context: &mut Self::Context) {
        if let Event::Sampled {
            step, slot, copy, ..
        } = &input.event
        {
            self.copies
                .remove(&(input.trainer.clone(), *step, *slot, *copy));
        }
        self.feed(&input.trainer, input.event, context);
    }
}

impl Handler<Hosts> for Training {
    type Result = Arc<Vec<Host>>;

    fn handle(&mut self, _: Hosts, _: &mut Self::Context) -> Self::Result {
        Arc::clone(&self.hosts)
    }
}

impl Handler<Stop> for Training {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _: Stop, context: &mut Self::Context) -> Self::Result {
        /// The time in which the last writes of ledgers go out.
        const GRACE: Duration = Duration::from_millis(500);
        self.is_stopping = true;
        self.feed_all(&Event::Stop, context);
        Box::pin(async { actix_rt::time::sleep(GRACE).await })
    }
}

impl Handler<Update> for Training {
    type Result = ();

    fn handle(&mut self, update: Update, context: &mut Self::Context) {
        match update {
            Update::Hosts(hosts) => self.hosts = Arc::new(hosts),
            Update::Config(config) => {
                self.config = Some(Arc::clone(&config));
                self.feed_all(&Event::Config(Arc::clone(&config)), context);
                let declared: BTreeSet<&id::Object> = config.trainers().collect();
                self.owners
                    .retain(|trainer, owner| declared.contains(trainer) || owner.is_owner());
            }
        }
    }
}
