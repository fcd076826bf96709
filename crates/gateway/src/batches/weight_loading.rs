//! Orders to engines, given only while the lease is held.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use tamaracksail_adapter::backend::RequestHeaders;
use tamaracksail_adapter::engine::{COMMAND_PATH, Command, REPORT_PATH, Report};
use tamaracksail_model::backend::Registration;
use tamaracksail_policy::batch::EngineKey;

use crate::gateway::{Gateway, now};

/// How long a connection to an engine may take.
const CONNECT: Duration = Duration::from_millis(400);

/// How long an engine may take to answer an order or a report.
const ANSWER: Duration = Duration::from_millis(800);

/// How long after an order the first report is asked for: no load is known to be shorter.
const FIRST_LOOK: Duration = Duration::from_millis(850);

/// Between two reports. Each is paid for like a health check.
const LOOK: Duration = Duration::from_millis(150);

/// How long a load may take before the engine is taken for lost.
const LONGEST: Duration = Duration::from_secs(8);

/// How often an order is given before it is dropped.
const TRIES: usize = 3;

/// Brings an engine to a version and reports what came of it.
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
    let outcome = bring(&gateway, &registration, &model, version).await;
    let mut scheduler = gateway.coordinator.scheduler.borrow_mut();
    let server = registration.instance.as_str();
    match outcome {
        Ok(held) => {
            gateway
                .metrics
                .load_commands
                .with_label_values(&["loaded"])
                .inc();
            log::info!(server, model = model.as_str(), version = held; "weights loaded");
            scheduler.loaded(engine, &model, held);
        }
        Err(problem) => {
            gateway
                .metrics
                .load_commands
                .with_label_values(&["failed"])
                .inc();
            log::warn!(server, model = model.as_str(), version, problem; "weights not loaded");
            scheduler.order_failed(now(), engine);
        }
    }
    drop(scheduler);
    gateway.coordinator.wake_scheduler();
}

async fn bring(
    gateway: &Gateway,
    registration: &Registration,
    model: &str,
    version: u64,
) -> Result<u64, String> {
    let mut last = String::new();
    for _ in 0..TRIES {
        let before = report(gateway, registration).await?;
        if before.version(model).is_some_and(|held| held >= version) && !before.is_busy {
            return Ok(before.version(model).unwrap_or(version));
        }
        if !before.is_busy {
            let Some(fence) = gateway.coordinator.command_fence() else {
                return Err("orders may not be given now".to_owned());
            };
            let holder = gateway.settings.borrow().host.clone();
            let order = Command::new(model.to_owned(), version, holder, fence)
                .with_expected(Some(before.accepted_commands));
            log::info!(
                server = registration.instance.as_str(), model, version, fence,
                expected = before.accepted_commands; "order given"
            );
            gateway.coordinator.last_command.set(now());
            match give(gateway, registration, &order).await {
                Ok(StatusCode::ACCEPTED | StatusCode::OK | StatusCode::CONFLICT) => {}
                Ok(code) => return Err(format!("order answered {code}")),
                // It may have been accepted: the next report tells.
                Err(problem) => last = problem,
            }
        }
        match wait_loaded(gateway, registration, model, version).await {
            Ok(Some(held)) => return Ok(held),
            Ok(None) => {}
            Err(problem) => last = problem,
        }
    }
    Err(format!("given up after {TRIES} tries: {last}"))
}

/// Waits until the engine is not busy. None if it then holds an older version.
async fn wait_loaded(
    gateway: &Gateway,
    registration: &Registration,
    model: &str,
    version: u64,
) -> Result<Option<u64>, String> {
    let start = now();
    tokio::time::sleep(FIRST_LOOK).await;
    loop {
        let report = report(gateway, registration).await?;
        if !report.is_busy {
            return Ok(report.version(model).filter(|held| *held >= version));
        }
        if now().since(start) > LONGEST {
            return Err("the engine stays busy".to_owned());
        }
        tokio::time::sleep(LOOK).await;
    }
}

async fn report(gateway: &Gateway, registration: &Registration) -> Result<Report, String> {
    let (code, body) = exchange(
        gateway,
        registration,
        Method::GET,
        REPORT_PATH,
        Bytes::new(),
    )
    .await?;
    if code != StatusCode::OK {
        return Err(format!("report answered {code}"));
    }
    Report::parse(&body).map_err(|error| error.to_string())
}

async fn give(
    gateway: &Gateway,
    registration: &Registration,
    order: &Command,
) -> Result<StatusCode, String> {
    let (code, _) = exchange(
        gateway,
        registration,
        Method::POST,
        COMMAND_PATH,
        order.body(),
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
        let mut reply = gateway
            .http
            .send(registration.address, request, CONNECT)
            .await
            .map_err(|error| error.to_string())?;
        let body = reply
            .read(1 << 20)
            .await
            .map_err(|error| error.to_string())?;
        let code = reply.head.status;
        reply.keep(&gateway.http);
        Ok((code, body))
    };
    tokio::time::timeout(ANSWER, exchange)
        .await
        .map_err(|_| "no answer in time".to_owned())?
}
