//! The actor that runs the owners of trainers' steps, on the control thread.

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

/// The period of the ticks that drive the owners.
const TICK_PERIOD: Duration = Duration::from_millis(50);

/// The parts of a [`Training`] actor.
pub struct Parts {
    /// The host and incarnation of this process.
    pub claimant: Claimant,
    /// The clock of the process.
    pub clock: Clock,
    /// The platform's URL.
    pub platform: String,
    /// The control actor, which handles the requests that generate samples.
    pub control: Addr<Control>,
    /// The maximum number of samples of one trainer that are generated at a time.
    pub max_parallel_samples: u32,
}

/// Identifies a copy of a slot's sample by trainer, step, slot and number. Later copies of a slot
/// hedge the first.
type CopyId = (id::Object, id::Step, id::Slot, u32);

/// The actor that runs the owners of trainers' steps.
pub struct Training {
    parts: Parts,
    platform: Client,
    http: awc::Client,
    config: Option<Arc<Snapshot>>,
    hosts: Arc<Vec<Host>>,
    owners: BTreeMap<id::Object, Owner>,
    pending_requests: BTreeMap<RequestId, oneshot::Sender<Response>>,
    /// Cancels the copies in progress.
    cancel_senders: BTreeMap<CopyId, oneshot::Sender<()>>,
    last_request_id: u64,
    is_stopping: bool,
}

/// A request of a trainer or a scoring service.
#[derive(Debug, ActorMessage)]
#[rtype(result = "Response")]
pub struct TrainerRequest {
    /// The trainer.
    pub trainer: id::Object,
    /// The request.
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

/// Requests the host list as last read.
#[derive(Debug, ActorMessage)]
#[rtype(result = "Arc<Vec<Host>>")]
pub struct GetHosts;

/// Releases the leases of all ledgers.
#[derive(Debug, ActorMessage)]
#[rtype(result = "()")]
pub struct Stop;

impl Training {
    /// Creates the actor. Must be called on the thread that the actor runs on.
    pub fn new(parts: Parts) -> Self {
        Self {
            platform: Client::new(&parts.platform),
            http: awc::Client::default(),
            config: None,
            hosts: Arc::default(),
            owners: BTreeMap::new(),
            pending_requests: BTreeMap::new(),
            cancel_senders: BTreeMap::new(),
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
            parallel: self.parts.max_parallel_samples,
        };
        let (config, now) = (self.config.clone(), self.parts.clock.now());
        self.owners.entry(trainer.clone()).or_insert_with(|| {
            let mut owner = Owner::new(settings);
            if let Some(config) = config {
                // A new owner holds no lease, so the configuration causes no action.
                owner.handle(now, Event::Config(config));
            }
            owner
        })
    }

    fn handle_event(&mut self, trainer: &id::Object, event: Event, context: &mut Context<Self>) {
        let now = self.now();
        let actions = self.owner(trainer).handle(now, event);
        for action in actions {
            self.perform(trainer, action, context);
        }
    }

    /// Passes an event to all owners.
    fn broadcast(&mut self, event: &Event, context: &mut Context<Self>) {
        let trainers: Vec<id::Object> = self.owners.keys().cloned().collect();
        for trainer in trainers {
            self.handle_event(&trainer, event.clone(), context);
        }
    }

    fn perform(&mut self, trainer: &id::Object, action: Action, context: &mut Context<Self>) {
        let (own_address, trainer) = (context.address(), trainer.clone());
        match action {
            Action::Store(call) => {
                let platform = self.platform.clone();
                let task = async move {
                    let reply = object_store::call(&platform, call).await;
                    own_address.do_send(Input {
                        trainer,
                        event: Event::Stored(reply),
                    });
                };
                context.spawn(task.into_actor(self));
            }
            Action::Respond(request_id, response) => {
                if let Some(sender) = self.pending_requests.remove(&request_id) {
                    // The receiver is dropped if the client has closed its connection.
                    sender.send(response).ok();
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
                if let Some(cancel) = self.cancel_senders.remove(&(trainer, step, slot, copy)) {
                    // The copy may have ended already.
                    cancel.send(()).ok();
                }
            }
            Action::Discard(samples) => {
                let (http, hosts) = (self.http.clone(), Arc::clone(&self.hosts));
                let task = async move { payloads::remove(&http, &hosts, &samples).await };
                context.spawn(task.into_actor(self));
            }
            Action::Released => log::info!("released the lease of the ledger of {trainer}"),
        }
    }

    fn generate(&mut self, copy: CopyId, prompt: &str, context: &mut Context<Self>) {
        let (cancel, cancelled) = oneshot::channel();
        self.cancel_senders.insert(copy.clone(), cancel);
        let model = self
            .config
            .as_ref()
            .and_then(|config| config.trainer(&copy.0).map(|trainer| trainer.model.clone()));
        let sample_task = sampling::SampleTask {
            control: self.parts.control.clone(),
            http: self.http.clone(),
            hosts: Arc::clone(&self.hosts),
            trainer: copy.0.clone(),
            model: model.unwrap_or_default(),
            slot: copy.2,
            prompt: prompt.to_owned(),
            now: self.now(),
        };
        let own_address = context.address();
        let task = async move {
            let sample: Option<Sample> = tokio::select! {
                sample = sampling::generate(sample_task) => sample,
                _ = cancelled => return,
            };
            let (trainer, step, slot, copy) = copy;
            own_address.do_send(Input {
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
        context.run_interval(TICK_PERIOD, |actor, context| {
            actor.broadcast(&Event::Tick, context);
        });
    }
}

impl Handler<TrainerRequest> for Training {
    type Result = ResponseFuture<Response>;

    fn handle(&mut self, message: TrainerRequest, context: &mut Self::Context) -> Self::Result {
        let is_declared = self
            .config
            .as_ref()
            .is_some_and(|config| config.trainer(&message.trainer).is_some());
        if self.is_stopping {
            return Box::pin(async { Response::NotOwner(None) });
        }
        if !is_declared {
            let refusal = format!("there is no trainer {}", message.trainer);
            return Box::pin(async { Response::Refused(refusal) });
        }
        self.last_request_id += 1;
        let request_id = RequestId(self.last_request_id);
        let (sender, response) = oneshot::channel();
        self.pending_requests.insert(request_id, sender);
        self.handle_event(
            &message.trainer,
            Event::RequestReceived(request_id, message.request),
            context,
        );
        Box::pin(async { response.await.unwrap_or(Response::RetryLater) })
    }
}

impl Handler<Input> for Training {
    type Result = ();

    fn handle(&mut self, input: Input, context: &mut Self::Context) {
        if let Event::Sampled {
            step, slot, copy, ..
        } = &input.event
        {
            self.cancel_senders
                .remove(&(input.trainer.clone(), *step, *slot, *copy));
        }
        self.handle_event(&input.trainer, input.event, context);
    }
}

impl Handler<GetHosts> for Training {
    type Result = Arc<Vec<Host>>;

    fn handle(&mut self, _: GetHosts, _: &mut Self::Context) -> Self::Result {
        Arc::clone(&self.hosts)
    }
}

impl Handler<Stop> for Training {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _: Stop, context: &mut Self::Context) -> Self::Result {
        /// How long the last writes of ledgers may take.
        const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);
        self.is_stopping = true;
        self.broadcast(&Event::Stop, context);
        Box::pin(async { actix_rt::time::sleep(RELEASE_TIMEOUT).await })
    }
}

impl Handler<Update> for Training {
    type Result = ();

    fn handle(&mut self, update: Update, context: &mut Self::Context) {
        match update {
            Update::Hosts(hosts) => self.hosts = Arc::new(hosts),
            Update::Config(config) => {
                self.config = Some(Arc::clone(&config));
                self.broadcast(&Event::Config(Arc::clone(&config)), context);
                let declared: BTreeSet<&id::Object> = config.trainers().collect();
                self.owners
                    .retain(|trainer, owner| declared.contains(trainer) || owner.is_owner());
            }
        }
    }
}
