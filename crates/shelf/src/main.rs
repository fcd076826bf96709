//! The shelf: sample payloads on the few hosts with a disk.
//!
//! Payloads are written once, read, and removed when no ledger names them any more. Nothing here
//! is the only record of anything: a lost payload is generated anew. `storage` is the embedded
//! store, `payloads` the HTTP routes.

mod options;
mod payloads;
mod storage;

use actix_web::{App, HttpServer, web};
use tamaracksail_process::health::{self, Readiness};
use tamaracksail_process::{logs, settings, stop};

use options::Options;
use storage::Storage;

/// Seconds that open connections get to end.
const CLOSE_SECONDS: u64 = 5;

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    let options = Options::parse();
    logs::start(options.log_format, options.log_level);
    stop::ignore_hangups()?;
    let storage = Storage::open(&options.data)
        .unwrap_or_else(|error| settings::fail(options::NAME, &error.to_string()));
    let removed = storage
        .remove_older_than(options.keep)
        .unwrap_or_else(|error| {
            log::warn!("{error}");
            0
        });
    log::info!("{removed} outdated payloads removed");
    let readiness = Readiness::default();
    readiness.set(true);
    let storage = web::Data::new(storage);
    let registry = web::Data::new(prometheus::Registry::new());
    let shown = readiness.clone();
    let app = move || {
        App::new()
            .app_data(storage.clone())
            .app_data(registry.clone())
            .app_data(web::Data::new(shown.clone()))
            .app_data(web::PayloadConfig::new(payloads::MAX_BYTES))
            .configure(health::routes)
            .configure(payloads::routes)
    };
    let http = HttpServer::new(app)
        .on_connect(tamaracksail_process::serve::no_delay)
        .workers(options.workers)
        .disable_signals()
        .shutdown_timeout(CLOSE_SECONDS)
        .bind(options.listen)?
        .run();
    let handle = http.handle();
    actix_rt::spawn(async move {
        drop(stop::requested().await);
        readiness.set(false);
        handle.stop(true).await;
    });
    http.await
}
