//! Weights for peers: what the own engine has loaded.

use actix_web::{HttpResponse, web};

use crate::attempts::State;

/// Passes the engine's weights on.
pub async fn relay(
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
