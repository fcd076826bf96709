//! One run of an item at an engine.

use std::rc::Rc;
use std::time::Duration;

use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Request, StatusCode};
use tamaracksail_adapter::backend::{RequestHeaders, ResponseHead};
use tamaracksail_adapter::event::Parser;
use tamaracksail_adapter::{Malformed, names};
use tamaracksail_http::Reply;
use tamaracksail_model::backend::Registration;
use tamaracksail_model::batch::Item;
use tamaracksail_policy::batch::Failure;
use tamaracksail_process::trace::SpanKind;

use crate::gateway::{Gateway, now};

/// How long a connection to an engine may take. A healthy one takes a round trip.
const CONNECT: Duration = Duration::from_millis(400);

/// Runs an item and reports what came of it.
pub async fn run(
    gateway: Rc<Gateway>,
    run: u64,
    registration: Registration,
    item: Rc<Item>,
    after: Option<u64>,
    version: Option<u64>,
) {
    let start = now();
    let outcome = attempt(&gateway, run, &registration, &item, after, version).await;
    let coordinator = &gateway.coordinator;
    let metrics = &gateway.metrics;
    coordinator.abort_handles.borrow_mut().remove(&run);
    let mut scheduler = coordinator.scheduler.borrow_mut();
    match outcome {
        Ok(()) => {
            metrics.runs.with_label_values(&["finished"]).inc();
            metrics
                .run_latency
                .observe(now().since(start).as_secs_f64());
            log::info!(item = item.id.as_str(), run; "item finished");
            scheduler.run_finished(now(), run);
        }
        Err((failure, problem)) => {
            let label = match failure {
                Failure::Refused => "refused",
                Failure::Failed => "failed",
                Failure::Impossible => "impossible",
                Failure::Broken => "broken",
            };
            metrics.runs.with_label_values(&[label]).inc();
            log::info!(
                item = item.id.as_str(), run, server = registration.instance.as_str(),
                failure = label, problem = problem.as_str(); "item not finished"
            );
            scheduler.run_failed(now(), run, failure);
        }
    }
    drop(scheduler);
    coordinator.wake_scheduler();
}

type Problem = (Failure, String);

async fn attempt(
    gateway: &Rc<Gateway>,
    run: u64,
    registration: &Registration,
    item: &Item,
    after: Option<u64>,
    version: Option<u64>,
) -> Result<(), Problem> {
    let request_headers = RequestHeaders {
        instance: Some(&registration.instance),
        version,
        last_event: after,
        ..RequestHeaders::default()
    };
    let host = gateway.coordinator.submission_host(run).unwrap_or_default();
    let mut request = request(item, &host, &request_headers)
        .map_err(|error| (Failure::Impossible, error.to_string()))?;
    let span = gateway.span("run", SpanKind::Client, request.headers_mut());
    let outcome = exchange(gateway, run, registration, item, request).await;
    if let Some(span) = span {
        span.note("item", item.id.clone());
        span.note("server", registration.instance.clone());
        span.end(outcome.as_ref().err().map(|(_, problem)| problem.clone()));
    }
    outcome
}

/// Sends an item and reads its answer.
async fn exchange(
    gateway: &Rc<Gateway>,
    run: u64,
    registration: &Registration,
    item: &Item,
    request: Request<Full<bytes::Bytes>>,
) -> Result<(), Problem> {
    let broken = |problem: String| (Failure::Broken, problem);
    let sent = gateway
        .http
        .send(registration.address, request, CONNECT)
        .await;
    let mut reply = sent.map_err(|error| broken(error.to_string()))?;
    let answer = ResponseHead::read(&reply.head, Some(&item.id));
    let code = reply.head.status;
    if answer.is_not_run {
        return Err((Failure::Refused, format!("{code}: not run")));
    }
    if !answer.matches_request {
        return Err(broken(format!("{code} for another request")));
    }
    match code {
        StatusCode::OK if answer.is_attested => {}
        StatusCode::UNPROCESSABLE_ENTITY => return Err((Failure::Impossible, code.to_string())),
        StatusCode::INTERNAL_SERVER_ERROR => return Err((Failure::Failed, code.to_string())),
        code => return Err(broken(code.to_string())),
    }
    if !gateway
        .coordinator
        .scheduler
        .borrow_mut()
        .response_started(now(), run, answer.version)
    {
        return Err(broken("the run was stopped".to_owned()));
    }
    read(gateway, run, &mut reply).await?;
    // Without a stated end a broken connection looks like the end, so the item goes on elsewhere,
    // where nothing is left to come.
    let has_end = reply.length().is_some() || reply.head.headers.contains_key("transfer-encoding");
    if !has_end {
        return Err((Failure::Refused, "the answer has no stated end".to_owned()));
    }
    reply.keep(&gateway.http);
    Ok(())
}

async fn read(gateway: &Gateway, run: u64, reply: &mut Reply) -> Result<(), Problem> {
    let broken = |problem: String| (Failure::Broken, problem);
    let malformed = |error: Malformed| (Failure::Broken, error.to_string());
    let mut parser = Parser::default();
    while let Some(piece) = reply
        .next()
        .await
        .map_err(|error| broken(error.to_string()))?
    {
        parser.push(&piece).map_err(malformed)?;
        while let Some(event) = parser.next_event().map_err(malformed)? {
            let is_wanted = gateway.coordinator.scheduler.borrow_mut().record_event(
                now(),
                run,
                event.id,
                &event.data,
                event.version,
            );
            if !is_wanted {
                return Err(broken("the event does not follow".to_owned()));
            }
        }
    }
    if parser.has_partial_event() {
        return Err(broken("the last event is torn".to_owned()));
    }
    Ok(())
}

fn request(
    item: &Item,
    host: &str,
    request_headers: &RequestHeaders,
) -> Result<Request<Full<bytes::Bytes>>, Malformed> {
    let what = "item";
    let mut request = Request::post(&item.path)
        .body(Full::new(item.body.clone()))
        .map_err(|error| Malformed::new(what, error))?;
    let headers = request.headers_mut();
    for (name, value) in &item.headers {
        let name: HeaderName = name.parse().map_err(|e| Malformed::new(what, e))?;
        let value = HeaderValue::from_str(value).map_err(|e| Malformed::new(what, e))?;
        headers.insert(name, value);
    }
    let text = |text: &str| HeaderValue::from_str(text).map_err(|e| Malformed::new(what, e));
    headers.insert("host", text(host)?);
    headers.insert(names::REQUEST_ID, text(&item.id)?);
    request_headers.write(headers)?;
    Ok(request)
}
