//! A plain service: a register of names with look-ups and filings.
//!
//! `GET /names/{id}` looks a name up, `POST /filings` files a change and counts how often each
//! filing ran.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use actix_web::{HttpResponse, web};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::faults::{self, Faults};

/// Faults of the service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switches {
    /// How long each call takes, in milliseconds.
    pub delay_ms: u64,
    /// Calls run but their answers never come.
    pub hang: bool,
}

/// The register.
#[derive(Default)]
pub struct Register {
    filings: Mutex<BTreeMap<String, u64>>,
}

type State = web::Data<Register>;
type Switch = web::Data<Faults<Switches>>;

/// Adds the routes of a register with the given state.
pub fn routes(state: &State, switches: &Switch, config: &mut web::ServiceConfig) {
    config
        .app_data(state.clone())
        .app_data(switches.clone())
        .route("/names/{id}", web::get().to(look_up))
        .route("/filings", web::post().to(file))
        .route("/filings", web::get().to(count))
        .route("/health", web::get().to(health))
        .route("/faults", web::post().to(faults::set::<Switches>));
}

async fn delay(switches: &Switch) {
    let faults = switches.get();
    actix_rt::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    if faults.hang {
        actix_rt::time::sleep(Duration::from_hours(1)).await;
    }
}

async fn look_up(switches: Switch, id: web::Path<String>) -> HttpResponse {
    delay(&switches).await;
    let name = json!({ "id": *id, "name": format!("Name of {id}") });
    HttpResponse::Ok()
        .insert_header(("etag", format!("\"{id}\"")))
        .json(name)
}

async fn file(state: State, switches: Switch, body: web::Json<Value>) -> HttpResponse {
    let filing = body["filing"].as_str().unwrap_or_default().to_owned();
    let runs = {
        let mut filings = state.filings.lock().expect("no holder panics");
        let runs = filings.entry(filing.clone()).or_default();
        *runs += 1;
        *runs
    };
    delay(&switches).await;
    HttpResponse::Created().json(json!({ "filing": filing, "runs": runs }))
}

async fn count(state: State) -> HttpResponse {
    HttpResponse::Ok().json(&*state.filings.lock().expect("no holder panics"))
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().json(json!({ "epoch": std::process::id(), "versions": {}, "running": 0 }))
}
