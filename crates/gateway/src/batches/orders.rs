//! Load commands to engines, sent only while the lease is held.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use tamaracksail_adapter::backend::{Origin, RequestHeaders, ResponseHead};
use tamaracksail_adapter::engine::{COMMAND_PATH, Command, REPORT_PATH, Report};
use tamaracksail_model::backend::Registration;
use tamaracksail_policy::batch::EngineKey;

use crate::gateway::{Gateway, now};
use crate::version::{Source, observe_response};

/// How long connecting to an engine may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// How long an engine may take to respond to a load command or a request for its report.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// The time from a load command to the first request for a report. No load is known to be shorter.
const MIN_LOAD_TIME: Duration = Duration::from_millis(850);

/// The time between two requests for a report. Each is paid for like a health check.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// How long a load may take before the attempt counts as failed.
const MAX_LOAD_TIME: Duration = Duration::from_secs(8);

/// The number of attempts before a load command is given up.
const MAX_ATTEMPTS: usize = 3;

/// Makes an engine load a version, and reports the outcome to the scheduler.
pub async fn load(gateway: Rc<Gateway>, engine: EngineKey, model: String, version: u64) {
    let registration = gateway
        .coordinator
        .scheduler
        .borrow()
        .registration(engine)
        .cloned();
    let Some(registration) = registration else {
        return;
    };
    let outcome = ensure_version(&gateway, &registration, &model, version).await;
    let mut scheduler = gateway.coordinator.scheduler.borrow_mut();
    let server = registration.instance.as_str();
    match outcome {
        Ok(loaded) => {
            gateway
                .metrics
                .load_commands
                .with_label_values(&["loaded"])
                .inc();
            log::info!(server, model = model.as_str(), version = loaded; "weights loaded");
            scheduler.weights_loaded(engine, &model, loaded);
        }
        Err(problem) => {
            gateway
                .metrics
                .load_commands
                .with_label_values(&["failed"])
                .inc();
            log::warn!(server, model = model.as_str(), version, problem; "weights not loaded");
            scheduler.command_failed(now(), engine);
        }
    }
    drop(scheduler);
    gateway.coordinator.wake_scheduler();
}

/// Makes an engine load a version, unless it already has that version or a newer one. Returns the
/// version that it has afterwards.
async fn ensure_version(
    gateway: &Gateway,
    registration: &Registration,
    model: &str,
    version: u64,
) -> Result<u64, String> {
    let mut last_error = String::new();
    for _ in 0..MAX_ATTEMPTS {
        let report = fetch_report(gateway, registration).await?;
        if report
            .version(model)
            .is_some_and(|loaded| loaded >= version)
            && !report.is_busy
        {
            return Ok(report.version(model).unwrap_or(version));
        }
        if !report.is_busy {
            let Some(fence) = gateway.coordinator.command_fence() else {
                return Err("load commands may not be sent now".to_owned());
            };
            let holder = gateway.settings.borrow().host.clone();
            let command = Command::new(model.to_owned(), version, holder, fence)
                .with_expected(Some(report.accepted_commands));
            log::info!(
                server = registration.instance.as_str(), model, version, fence,
                expected = report.accepted_commands; "sending load command"
            );
            gateway.coordinator.last_command.set(now());
            match send_command(gateway, registration, &command).await {
                Ok(StatusCode::ACCEPTED | StatusCode::OK | StatusCode::CONFLICT) => {}
                Ok(code) => return Err(format!("load command: response status {code}")),
                // It may have been accepted, which the next report shows.
                Err(problem) => last_error = problem,
            }
        }
        match wait_until_loaded(gateway, registration, model, version).await {
            Ok(Some(loaded)) => return Ok(loaded),
            Ok(None) => {}
            Err(problem) => last_error = problem,
        }
    }
    Err(format!(
        "gave up after {MAX_ATTEMPTS} attempts: {last_error}"
    ))
}

/// Waits until the engine is not busy. Returns the version that it then has, or `None` if that is
/// older than `version`.
async fn wait_until_loaded(
    gateway: &Gateway,
    registration: &Registration,
    model: &str,
    version: u64,
) -> Result<Option<u64>, String> {
    let start = now();
    tokio::time::sleep(MIN_LOAD_TIME).await;
    loop {
        let report = fetch_report(gateway, registration).await?;
        if !report.is_busy {
            return Ok(report.version(model).filter(|loaded| *loaded >= version));
        }
        if now().since(start) > MAX_LOAD_TIME {
            return Err("the load did not finish in time".to_owned());
        }
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

async fn fetch_report(gateway: &Gateway, registration: &Registration) -> Result<Report, String> {
    let (code, body) = exchange(
        gateway,
        registration,
        Method::GET,
        REPORT_PATH,
        Bytes::new(),
    )
    .await?;
    if code != StatusCode::OK {
        return Err(format!("report: response status {code}"));
    }
    Report::parse(&body).map_err(|error| error.to_string())
}

async fn send_command(
    gateway: &Gateway,
    registration: &Registration,
    command: &Command,
) -> Result<StatusCode, String> {
    let (code, _) = exchange(
        gateway,
        registration,
        Method::POST,
        COMMAND_PATH,
        command.body(),
    )
    .await?;
    Ok(code)
}

async fn exchange(
    gateway: &Gateway,
    registration: &Registration,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<(StatusCode, Bytes), String> {
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", registration.address.to_string())
        .header("content-type", "application/json")
        .body(Full::new(body))
        .map_err(|error| error.to_string())?;
    let request_headers = RequestHeaders {
        instance: Some(&registration.instance),
        ..RequestHeaders::default()
    };
    request_headers
        .write(request.headers_mut())
        .map_err(|error| error.to_string())?;
    let exchange = async {
        let mut response = gateway
            .http
            .send(registration.address, request, CONNECT_TIMEOUT)
            .await
            .map_err(|error| error.to_string())?;
        let head = ResponseHead::parse(&response.head, None);
        if head.origin == Origin::Foreign {
            gateway.http.distrust(registration.address);
            return Err("the response is to another request".to_owned());
        }
        observe_response(gateway, registration, &head, Source::Control);
        let body = response
            .read(1 << 20)
            .await
            .map_err(|error| error.to_string())?;
        let code = response.head.status;
        if !head.is_not_run {
            response.release(&gateway.http);
        }
        Ok((code, body))
    };
    tokio::time::timeout(CALL_TIMEOUT, exchange)
        .await
        .map_err(|_| "no response in time".to_owned())?
}
