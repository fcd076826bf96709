//! A stand-in for a plain service: a registry of names that changes are filed with.
//!
//! `GET /names/{id}` looks up a name. `POST /filings` submits a filing, and `GET /filings` returns
//! how often each filing ran.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use actix_web::{HttpResponse, web};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::faults::{self, Faults};

/// The faults that the service injects.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSettings {
    /// How long each call takes, in milliseconds.
    pub delay_ms: u64,
    /// Calls run but get no response.
    pub hang: bool,
}

/// The state of the registry.
#[derive(Default)]
pub struct Registry {
    /// How often each filing ran.
    filings: Mutex<BTreeMap<String, u64>>,
}

type State = web::Data<Registry>;
type FaultState = web::Data<Faults<FaultSettings>>;

/// Adds the routes of a registry with the given state.
pub fn routes(state: &State, fault_state: &FaultState, config: &mut web::ServiceConfig) {
    config
        .app_data(state.clone())
        .app_data(fault_state.clone())
        .route("/names/{id}", web::get().to(look_up))
        .route("/filings", web::post().to(submit_filing))
        .route("/filings", web::get().to(filing_counts))
        .route("/health", web::get().to(health))
        .route("/faults", web::post().to(faults::set::<FaultSettings>));
}

async fn delay(fault_state: &FaultState) {
    let faults = fault_state.get();
    actix_rt::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    if faults.hang {
        actix_rt::time::sleep(Duration::from_hours(1)).await;
    }
}

async fn look_up(fault_state: FaultState, id: web::Path<String>) -> HttpResponse {
    delay(&fault_state).await;
    let name = json!({ "id": *id, "name": format!("Name of {id}") });
    HttpResponse::Ok()
        .insert_header(("etag", format!("\"{id}\"")))
        .json(name)
}

async fn submit_filing(
    state: State,
    fault_state: FaultState,
    body: web::Json<Value>,
) -> HttpResponse {
    let filing = body["filing"].as_str().unwrap_or_default().to_owned();
    let runs = {
        let mut filings = state.filings.lock().expect("no holder of the lock panics");
        let runs = filings.entry(filing.clone()).or_default();
        *runs += 1;
        *runs
    };
    delay(&fault_state).await;
    HttpResponse::Created().json(json!({ "filing": filing, "runs": runs }))
}

async fn filing_counts(state: State) -> HttpResponse {
    HttpResponse::Ok().json(&*state.filings.lock().expect("no holder of the lock panics"))
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().json(json!({ "epoch": std::process::id(), "versions": {}, "running": 0 }))
}
