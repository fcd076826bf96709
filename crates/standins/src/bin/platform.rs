//! Runs the stand-in for the platform.

use std::net::SocketAddr;

use actix_web::web;
use tamaracksail_process::settings::{About, Parser};
use tamaracksail_standins::{platform, serve};

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    let mut parser = Parser::new(About {
        name: "standin-platform",
        version: env!("CARGO_PKG_VERSION"),
        help: "standin-platform --listen ADDRESS:PORT",
    });
    let listen = parser.required("--listen", SocketAddr::from(([127, 0, 0, 1], 0)));
    parser.finish();
    let state = web::Data::new(platform::Platform::default());
    let fault_state = web::Data::default();
    serve::run(listen, move |config| {
        platform::routes(&state, &fault_state, config);
    })
    .await
}
