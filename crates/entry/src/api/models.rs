//! Handlers of `GET /v1/models` and `GET /v1/models/{model}`.

use actix_web::{HttpResponse, web};
use serde_json::{Value, json};
use tamaracksail_model::id;

use super::State;
use super::problem::Problem;

fn describe(name: &id::Object) -> Value {
    json!({ "id": name, "object": "model", "created": 0, "owned_by": "tamaracksail" })
}

/// Handles `GET /v1/models`: lists the models.
pub async fn list(state: web::Data<State>) -> HttpResponse {
    let config = state.config.load();
    let models: Vec<Value> = config.models().map(describe).collect();
    HttpResponse::Ok().json(json!({ "object": "list", "data": models }))
}

/// Handles `GET /v1/models/{model}`: describes one model.
pub async fn show(state: web::Data<State>, model: web::Path<String>) -> HttpResponse {
    let name = id::Object(model.into_inner());
    if state.config.load().target_version(&name).is_none() {
        return Problem::not_found(&format!("there is no model {name}")).respond();
    }
    HttpResponse::Ok().json(describe(&name))
}
