//! Sends reward calls to backend servers, and reports their outcomes to the scheduler.

use std::rc::Rc;
use std::time::Duration;

use hyper::http::response::Parts;
use hyper::{Request, StatusCode};
use tamaracksail_adapter::backend::{self, ResponseHead};
use tamaracksail_adapter::{Malformed, names};
use tamaracksail_http::IncomingResponse;
use tamaracksail_model::reward::Call;
use tamaracksail_model::route::Route;
use tamaracksail_model::table::{Table, draw_target};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::fleet::ServerKey;
use tamaracksail_policy::request::suspects::Verdict as Suspicion;
use tamaracksail_policy::reward::{Action, CallKey, Outcome, Target, Verdict};

use crate::gateway::{Gateway, now};
use crate::limits::{Candidates, Cause};
use crate::request::{self, Attempt, Content, Progress, Trial};

/// How long reading the rest of a long response may take.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the route of a call. Routes of batches are none.
pub fn find_route<'a>(table: &'a Table, call: &Call) -> Option<&'a Route> {
    let path = call.path.split('?').next().unwrap_or_default();
    table.find_plain(&call.host, path)
}

/// Returns where the route of a call leads, to a target drawn at random by weight.
fn resolve_target(table: &Table, call: &Call) -> Option<Target> {
    let route = find_route(table, call)?;
    let target = draw_target(&route.targets, rand::random())?;
    Some(Target {
        service: target.service.clone(),
        max_attempts: route.max_attempts,
    })
}

/// Has the scheduler decide which calls are sent, and carries out its actions.
pub fn send_due(gateway: &Rc<Gateway>) {
    let Some(table) = gateway.table() else {
        return;
    };
    let actions = {
        let mut scheduler = gateway.coordinator.scheduler.borrow_mut();
        let mut fleet = gateway.fleet.borrow_mut();
        let settings = gateway.settings.borrow();
        scheduler.poll_rewards(now(), &mut fleet, &settings.domain, |call| {
            resolve_target(&table, call)
        })
    };
    for action in actions {
        perform(gateway, action);
    }
}

fn perform(gateway: &Rc<Gateway>, action: Action) {
    let handles = &gateway.coordinator.reward_handles;
    match action {
        Action::Send {
            send,
            key,
            call,
            service,
            server,
            deadline,
            attempt,
            is_hedge,
        } => {
            Cause::Reward.count(gateway, server);
            log_send(gateway, key, server, &call, (send, attempt, is_hedge));
            let sending = Sending {
                gateway: Rc::clone(gateway),
                send,
                call,
                service,
                deadline,
            };
            let attempt = Attempt::of_recorded_send(gateway, server, false);
            let task = actix_rt::spawn(sending.run(attempt));
            handles.borrow_mut().insert(send, task.abort_handle());
        }
        Action::Cancel { send, reason } => {
            if let Some(handle) = handles.borrow_mut().remove(&send) {
                handle.abort();
                count(gateway, "cancelled");
                log::info!(send, reason; "reward call cancelled");
            }
        }
    }
}

fn log_send(
    gateway: &Gateway,
    key: CallKey,
    server: ServerKey,
    call: &Call,
    (send, attempt, is_hedge): (u64, u32, bool),
) {
    let coordinator = &gateway.coordinator;
    let scheduler = coordinator.scheduler.borrow();
    let Some((item, batch, since)) = scheduler.scored_item(key) else {
        return;
    };
    let batches = coordinator.batches.borrow();
    let batch = batches.id(batch);
    let fleet = gateway.fleet.borrow();
    let instance = fleet
        .registration(server)
        .map(|registration| registration.instance.as_str());
    let waited_ms = now().since(since).as_millis();
    log::info!(
        item, batch, call = call.id.as_str(), send, server = instance, attempt, is_hedge,
        load = fleet.load(now(), server), waited_ms;
        "reward call sent"
    );
}

fn count(gateway: &Gateway, outcome: &str) {
    let calls = &gateway.metrics.reward_calls;
    calls.with_label_values(&[outcome]).inc();
}

/// A send in progress.
struct Sending {
    gateway: Rc<Gateway>,
    send: u64,
    call: Rc<Call>,
    service: String,
    deadline: Instant,
}

impl Sending {
    /// Sends the call, and reports the outcome to the scheduler.
    async fn run(self, attempt: Attempt) {
        let start = now();
        let (outcome, problem) = match self.exchange(attempt).await {
            Ok(outcome) => (outcome, String::new()),
            Err((outcome, problem)) => (outcome, problem),
        };
        let coordinator = &self.gateway.coordinator;
        coordinator.reward_handles.borrow_mut().remove(&self.send);
        let label = match &outcome {
            Outcome::Scored(_) => "scored",
            Outcome::Failed => "failed",
            Outcome::Refused => "refused",
            Outcome::Broken => "broken",
        };
        count(&self.gateway, label);
        if matches!(outcome, Outcome::Scored(_)) {
            let seconds = now().since(start).as_secs_f64();
            self.gateway.metrics.reward_latency.observe(seconds);
        }
        let millis = now().since(start).as_millis();
        log::info!(
            call = self.call.id.as_str(), send = self.send, outcome = label, millis,
            problem = problem.as_str();
            "reward call ended"
        );
        let mut scheduler = coordinator.scheduler.borrow_mut();
        let verdict = scheduler.reward_send_ended(now(), self.send, outcome);
        drop(scheduler);
        if let Some(Verdict::Failed(failures)) = verdict {
            log::warn!(
                call = self.call.id.as_str(), failures;
                "item aborted, its reward call failed too often"
            );
        }
        coordinator.wake_scheduler();
    }

    /// Sends the call and reads the response.
    async fn exchange(&self, attempt: Attempt) -> Result<Outcome, (Outcome, String)> {
        let gateway = &self.gateway;
        let content = self
            .content()
            .map_err(|error| (Outcome::Broken, error.to_string()))?;
        let suspicion = gateway.suspects.verdict(now(), || content.fingerprint());
        let attempt = match suspicion {
            Suspicion::Unrestricted => attempt,
            Suspicion::Refused => {
                let problem = "servers ended under this content".to_owned();
                return Err((Outcome::Refused, problem));
            }
            Suspicion::Alone => {
                drop(attempt);
                self.attempt_alone(&content)
                    .await
                    .ok_or_else(|| (Outcome::Refused, "no server to run it alone".to_owned()))?
            }
        };
        let outcome = attempt.run(&content, &self.call.id, self.deadline).await;
        match outcome {
            request::Outcome::Complete(head, _) => self.judge(&head),
            request::Outcome::Streaming(_, mut response, execution) => {
                match read_to_end(&mut response).await {
                    Ok(()) => {
                        execution.complete();
                        self.judge(&response.head)
                    }
                    Err(problem) => {
                        execution.break_off().await;
                        Err((Outcome::Broken, problem))
                    }
                }
            }
            request::Outcome::NotRun(problem) => Err((Outcome::Refused, problem)),
            request::Outcome::Failed(problem) => Err((Outcome::Broken, problem)),
        }
    }

    /// Returns the request that carries the call.
    fn content(&self) -> Result<Rc<Content>, Malformed> {
        let request = Request::post(&self.call.path)
            .header("host", &self.call.host)
            .header(names::REQUEST_ID, &self.call.id)
            .body(())
            .map_err(|error| Malformed::new("reward call", error))?;
        let (head, ()) = request.into_parts();
        Ok(Rc::new(Content::new(
            head,
            self.call.body.clone(),
            Progress::default(),
        )))
    }

    /// Waits for a server that runs the call alone.
    async fn attempt_alone(&self, content: &Content) -> Option<Attempt> {
        let candidates = Candidates {
            service: &self.service,
            software: None,
            avoided: &[],
            excluded: &[],
        };
        let trial = Trial::start(&self.gateway, candidates, content, self.deadline).await?;
        Some(Attempt::alone(&self.gateway, trial, false))
    }

    /// Returns what the head of a response says whose body is complete.
    fn judge(&self, head: &Parts) -> Result<Outcome, (Outcome, String)> {
        let response = ResponseHead::parse(head, Some(&self.call.id));
        let stamp = backend::stamp(head).filter(|_| response.matches_request);
        match (head.status, stamp) {
            (status, Some(stamp)) if status.is_success() => Ok(Outcome::Scored(stamp.to_owned())),
            (StatusCode::INTERNAL_SERVER_ERROR, Some(_)) => {
                Err((Outcome::Failed, head.status.to_string()))
            }
            (status, _) => Err((Outcome::Broken, status.to_string())),
        }
    }
}

/// Reads the rest of a response, which is not used.
async fn read_to_end(response: &mut IncomingResponse) -> Result<(), String> {
    let read = async {
        while response
            .next()
            .await
            .map_err(|error| error.to_string())?
            .is_some()
        {}
        Ok(())
    };
    let outcome = tokio::time::timeout(READ_TIMEOUT, read).await;
    outcome.unwrap_or_else(|_| Err("the response does not end".to_owned()))
}
