//! Runs the stand-in for a plain service.

use std::net::SocketAddr;

use actix_web::web;
use tamaracksail_process::settings::{About, Parser};
use tamaracksail_standins::{serve, service};

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    let mut parser = Parser::new(About {
        name: "standin-service",
        version: env!("CARGO_PKG_VERSION"),
        help: "standin-service --listen ADDRESS:PORT",
    });
    let listen = parser.required("--listen", SocketAddr::from(([127, 0, 0, 1], 0)));
    parser.finish();
    let state = web::Data::new(service::Registry::default());
    let fault_state = web::Data::default();
    serve::run(listen, move |config| {
        service::routes(&state, &fault_state, config);
    })
    .await
}
