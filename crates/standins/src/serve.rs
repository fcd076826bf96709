//! The HTTP server of the stand-ins.

use std::net::SocketAddr;

use actix_web::{App, HttpServer, web};

/// Serves `routes` until the process is asked to stop.
///
/// # Errors
/// If the address cannot be bound.
pub async fn run(
    listen: SocketAddr,
    routes: impl FnOnce(&mut web::ServiceConfig) + Clone + Send + 'static,
) -> std::io::Result<()> {
    let app = move || {
        App::new()
            .app_data(web::PayloadConfig::new(64 * 1024 * 1024))
            .configure(routes.clone())
    };
    HttpServer::new(app)
        .on_connect(tamaracksail_process::serve::no_delay)
        .workers(2)
        .shutdown_timeout(1)
        .bind(listen)?
        .run()
        .await
}
