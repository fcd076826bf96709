//! The routes `/healthz`, `/readyz` and `/metrics`, which every process serves.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use actix_web::{HttpResponse, web};
use prometheus::Registry;

use crate::metrics;

/// Whether the process accepts work. Clones share the state, so that all threads see it.
#[derive(Clone, Debug, Default)]
pub struct Readiness(Arc<AtomicBool>);

impl Readiness {
    /// Sets whether the process accepts work.
    pub fn set(&self, is_ready: bool) {
        self.0.store(is_ready, Ordering::Relaxed);
    }

    /// Returns whether the process accepts work.
    #[must_use]
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Adds the routes. Needs `web::Data` of a [`Readiness`] and of a [`Registry`].
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route(
            "/healthz",
            web::get().to(async || HttpResponse::Ok().body("ok\n")),
        )
        .route("/readyz", web::get().to(readyz))
        .route("/metrics", web::get().to(show_metrics));
}

async fn readyz(readiness: web::Data<Readiness>) -> HttpResponse {
    if readiness.get() {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("not ready\n")
    }
}

async fn show_metrics(registry: web::Data<Registry>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(metrics::render(&registry))
}
