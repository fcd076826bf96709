//! The HTTP routes of payloads.
#![expect(clippy::result_large_err, reason = "errors of the disk are rare")]

use actix_web::{HttpResponse, web};

use crate::storage::{Error, Storage};

/// The largest payload, in bytes.
pub const MAX_BYTES: usize = 8 * 1024 * 1024;

/// Adds the routes.
pub fn routes(config: &mut web::ServiceConfig) {
    config.service(
        web::resource("/v1/payloads/{name}")
            .route(web::put().to(put))
            .route(web::get().to(get))
            .route(web::delete().to(remove)),
    );
}

fn fail(error: &Error) -> HttpResponse {
    log::error!("{error}");
    HttpResponse::InsufficientStorage().body(format!("{error}\n"))
}

/// Runs a call of the store on a thread that may wait for the disk.
async fn on_disk<R: Send + 'static>(
    storage: web::Data<Storage>,
    act: impl FnOnce(&Storage) -> Result<R, Error> + Send + 'static,
) -> Result<R, HttpResponse> {
    match web::block(move || act(&storage)).await {
        Ok(Ok(result)) => Ok(result),
        Ok(Err(error)) => Err(fail(&error)),
        Err(_) => Err(HttpResponse::ServiceUnavailable().finish()),
    }
}

async fn put(
    storage: web::Data<Storage>,
    name: web::Path<String>,
    body: web::Bytes,
) -> HttpResponse {
    match on_disk(storage, move |storage| storage.put(&name, &body)).await {
        Ok(()) => HttpResponse::Created().finish(),
        Err(response) => response,
    }
}

async fn get(storage: web::Data<Storage>, name: web::Path<String>) -> HttpResponse {
    match on_disk(storage, move |storage| storage.get(&name)).await {
        Ok(Some(payload)) => HttpResponse::Ok()
            .content_type("application/json")
            .body(payload),
        Ok(None) => HttpResponse::NotFound().finish(),
        Err(response) => response,
    }
}

async fn remove(storage: web::Data<Storage>, name: web::Path<String>) -> HttpResponse {
    match on_disk(storage, move |storage| storage.remove(&name)).await {
        Ok(_) => HttpResponse::NoContent().finish(),
        Err(response) => response,
    }
}
