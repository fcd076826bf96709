//! Runs the stand-in for a model engine.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use actix_web::web;
use tamaracksail_process::settings::{About, Parser};
use tamaracksail_standins::{engine, serve};

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    let mut parser = Parser::new(About {
        name: "standin-engine",
        version: env!("CARGO_PKG_VERSION"),
        help: "standin-engine --listen ADDRESS:PORT --model NAME [--loaded NUMBER]",
    });
    let listen = parser.required("--listen", SocketAddr::from(([127, 0, 0, 1], 0)));
    let model: String = parser.required("--model", String::new());
    let loaded: u64 = parser.with_default("--loaded", 1);
    parser.finish();
    let state = web::Data::new(engine::Engine::new(BTreeMap::from([(model, loaded)])));
    let fault_state = web::Data::default();
    serve::run(listen, move |config| {
        engine::routes(&state, &fault_state, config);
    })
    .await
}
