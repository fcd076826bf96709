//! The HTTP routes of payloads.
#![expect(clippy::result_large_err, reason = "errors of the disk are rare")]

use actix_web::{HttpResponse, web};

use crate::storage::{Error, Storage};

/// The maximum size of a payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 8 * 1024 * 1024;

/// Registers the routes of payloads.
pub fn routes(config: &mut web::ServiceConfig) {
    config.service(
        web::resource("/v1/payloads/{name}")
            .route(web::put().to(put))
            .route(web::get().to(get))
            .route(web::delete().to(remove)),
    );
}

fn storage_error_response(error: &Error) -> HttpResponse {
    log::error!("{error}");
    HttpResponse::InsufficientStorage().body(format!("{error}\n"))
}

/// Runs an operation of the store on the thread pool for blocking calls.
async fn run_blocking<R: Send + 'static>(
    storage: web::Data<Storage>,
    operation: impl FnOnce(&Storage) -> Result<R, Error> + Send + 'static,
) -> Result<R, HttpResponse> {
    match web::block(move || operation(&storage)).await {
        Ok(Ok(result)) => Ok(result),
        Ok(Err(error)) => Err(storage_error_response(&error)),
        Err(_) => Err(HttpResponse::ServiceUnavailable().finish()),
    }
}

async fn put(
    storage: web::Data<Storage>,
    name: web::Path<String>,
    body: web::Bytes,
) -> HttpResponse {
    match run_blocking(storage, move |storage| storage.put(&name, &body)).await {
        Ok(()) => HttpResponse::Created().finish(),
        Err(response) => response,
    }
}

async fn get(storage: web::Data<Storage>, name: web::Path<String>) -> HttpResponse {
    match run_blocking(storage, move |storage| storage.get(&name)).await {
        Ok(Some(payload)) => HttpResponse::Ok()
            .content_type("application/json")
            .body(payload),
        Ok(None) => HttpResponse::NotFound().finish(),
        Err(response) => response,
    }
}

async fn remove(storage: web::Data<Storage>, name: web::Path<String>) -> HttpResponse {
    match run_blocking(storage, move |storage| storage.remove(&name)).await {
        Ok(_) => HttpResponse::NoContent().finish(),
        Err(response) => response,
    }
}
