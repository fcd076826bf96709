//! Serves the weights that the agent's engine has loaded, so that other engines can load them.

use actix_web::{HttpResponse, web};

use crate::attempts::State;

/// Requests the weights of a model version from the engine and streams them to the requester.
pub async fn serve(
    state: web::Data<State>,
    http: web::Data<awc::Client>,
    path: web::Path<(String, u64)>,
) -> HttpResponse {
    let (model, version) = path.into_inner();
    let url = format!("{}/weights/{model}/{version}", state.server.url);
    match http.get(url).send().await {
        Ok(response) if response.status().is_success() => HttpResponse::Ok().streaming(response),
        Ok(_) => HttpResponse::NotFound().finish(),
        Err(error) => HttpResponse::BadGateway().body(format!("{error}\n")),
    }
}
