//! One run of an item on an engine.

use std::rc::Rc;
use std::time::Duration;

use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Request, StatusCode};
use tamaracksail_adapter::backend::{self, RequestHeaders, ResponseHead};
use tamaracksail_adapter::event::Parser;
use tamaracksail_adapter::{Malformed, ingress, names};
use tamaracksail_http::IncomingResponse;
use tamaracksail_model::backend::Registration;
use tamaracksail_model::batch::Item;
use tamaracksail_policy::batch::Failure;
use tamaracksail_process::trace::SpanKind;

use crate::gateway::{Gateway, now};
use crate::limits::Cause;
use crate::request;
use crate::version::{self, Source, observe_response};

/// How long connecting to an engine may take. With a healthy engine it takes one round trip.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Runs an item, and reports the outcome to the scheduler.
pub async fn run(
    gateway: Rc<Gateway>,
    run: u64,
    registration: Registration,
    item: Rc<Item>,
    after: Option<u64>,
    version: Option<u64>,
) {
    let start = now();
    let key = gateway
        .fleet
        .borrow()
        .key_of(&registration.instance, registration.started_at_ms);
    if let Some(key) = key {
        Cause::Item.count(&gateway, key);
        let domain = gateway.locality_domain();
        request::count_left(&gateway.metrics, domain.as_deref(), &registration);
    }
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
                failure = label, problem = problem.as_str(); "item run failed"
            );
            scheduler.run_failed(now(), run, failure);
        }
    }
    drop(scheduler);
    coordinator.wake_scheduler();
}

/// How a run failed, and a description for the log.
type Problem = (Failure, String);

/// Runs an item within a trace span.
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
    let account = gateway.coordinator.account_of(run);
    let mut request = build_request(item, &host, &request_headers)
        .map_err(|error| (Failure::Impossible, error.to_string()))?;
    // An item without an account must not name one either, once accounts are configured.
    let has_accounts = gateway
        .table()
        .is_some_and(|table| table.accounts.is_some());
    if has_accounts || account.is_some() {
        ingress::set_account(request.headers_mut(), account.as_deref())
            .map_err(|error| (Failure::Impossible, error.to_string()))?;
    }
    let span = gateway.span("run", SpanKind::Client, request.headers_mut());
    let outcome = exchange(gateway, run, registration, item, request).await;
    if let Some(span) = span {
        span.set_attribute("item", item.id.clone());
        span.set_attribute("server", registration.instance.clone());
        span.end(outcome.as_ref().err().map(|(_, problem)| problem.clone()));
    }
    outcome
}

/// Sends an item and reads the response.
async fn exchange(
    gateway: &Rc<Gateway>,
    run: u64,
    registration: &Registration,
    item: &Item,
    request: Request<Full<bytes::Bytes>>,
) -> Result<(), Problem> {
    let broken = |problem: String| (Failure::Broken, problem);
    let is_continuation = ingress::has_last_event(request.headers());
    let result = version::send(
        gateway,
        registration,
        request,
        is_continuation,
        CONNECT_TIMEOUT,
    )
    .await;
    let mut response = result.map_err(|error| broken(error.to_string()))?;
    let head = ResponseHead::parse(&response.head, Some(&item.id));
    observe_response(gateway, registration, &head, Source::Request);
    let has_engine_pace = gateway.settings.borrow().has_engine_pace;
    if has_engine_pace && let Some(reading) = request::stated_pace(registration, &head) {
        let mut scheduler = gateway.coordinator.scheduler.borrow_mut();
        scheduler.record_pace(now(), run, reading);
    }
    let code = response.head.status;
    if head.is_not_run {
        return Err((Failure::Refused, format!("{code}: not run")));
    }
    if !head.matches_request {
        gateway.http.distrust(registration.address);
        return Err(broken(format!(
            "{code}: the response is to another request"
        )));
    }
    match code {
        StatusCode::OK if head.is_attested && backend::has_events(&response.head) => {}
        StatusCode::OK if head.is_attested => {
            return Err(broken(format!("{code}: the response has no events")));
        }
        StatusCode::UNPROCESSABLE_ENTITY => return Err((Failure::Impossible, code.to_string())),
        StatusCode::INTERNAL_SERVER_ERROR => return Err((Failure::Failed, code.to_string())),
        code => return Err(broken(code.to_string())),
    }
    if !gateway
        .coordinator
        .scheduler
        .borrow_mut()
        .response_started(now(), run, head.version)
    {
        return Err(broken("the run was cancelled".to_owned()));
    }
    read_events(gateway, run, &mut response).await?;
    // Without a length or chunked encoding, a broken connection cannot be told from the end of the
    // response. The item is continued on another engine, which sends the rest, if there is any.
    let has_end =
        response.length().is_some() || response.head.headers.contains_key("transfer-encoding");
    if !has_end {
        return Err((
            Failure::Refused,
            "the response has neither a length nor chunked encoding".to_owned(),
        ));
    }
    response.release(&gateway.http);
    Ok(())
}

/// Reads the events of a response and adds them to the item's text.
async fn read_events(
    gateway: &Gateway,
    run: u64,
    response: &mut IncomingResponse,
) -> Result<(), Problem> {
    let broken = |problem: String| (Failure::Broken, problem);
    let malformed = |error: Malformed| (Failure::Broken, error.to_string());
    let mut parser = Parser::default();
    while let Some(chunk) = response
        .next()
        .await
        .map_err(|error| broken(error.to_string()))?
    {
        parser.push(&chunk).map_err(malformed)?;
        while let Some(event) = parser.next_event().map_err(malformed)? {
            let is_accepted = gateway.coordinator.scheduler.borrow_mut().record_event(
                now(),
                run,
                event.id,
                &event.data,
                event.version,
            );
            if !is_accepted {
                return Err(broken("the event is out of sequence".to_owned()));
            }
        }
    }
    if parser.has_partial_event() {
        return Err(broken("the last event is truncated".to_owned()));
    }
    Ok(())
}

/// Builds the request that runs an item.
fn build_request(
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
    let header_value = |header_value: &str| {
        HeaderValue::from_str(header_value).map_err(|e| Malformed::new(what, e))
    };
    headers.insert("host", header_value(host)?);
    headers.insert(names::REQUEST_ID, header_value(&item.id)?);
    request_headers.write(headers)?;
    Ok(request)
}
