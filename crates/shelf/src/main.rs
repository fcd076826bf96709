//! The shelf: stores the payloads of samples on the few hosts that have a disk.
//!
//! A payload is written once, read, and removed when no ledger refers to it any more. Shelves
//! hold nothing that cannot be replaced: the sample of a lost payload is generated again. `storage`
//! is the embedded store, and `payloads` has the HTTP routes.

mod options;
mod payloads;
mod storage;

use actix_web::{App, HttpServer, web};
use tamaracksail_process::health::{self, Readiness};
use tamaracksail_process::{logs, settings, stop};

use options::Options;
use storage::Storage;

/// How long open connections may take to end when the shelf stops, in seconds.
const SHUTDOWN_TIMEOUT_SECONDS: u64 = 5;

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    let options = Options::parse();
    logs::start(options.log_format, options.log_level);
    stop::ignore_hangups()?;
    let storage = Storage::open(&options.data)
        .unwrap_or_else(|error| settings::fail(options::NAME, &error.to_string()));
    let removed = storage
        .remove_older_than(options.retention)
        .unwrap_or_else(|error| {
            log::warn!("{error}");
            0
        });
    log::info!("{removed} outdated payloads removed");
    let readiness = Readiness::default();
    readiness.set(true);
    let storage = web::Data::new(storage);
    let registry = web::Data::new(prometheus::Registry::new());
    let app_readiness = readiness.clone();
    let app = move || {
        App::new()
            .app_data(storage.clone())
            .app_data(registry.clone())
            .app_data(web::Data::new(app_readiness.clone()))
            .app_data(web::PayloadConfig::new(payloads::MAX_PAYLOAD_BYTES))
            .configure(health::routes)
            .configure(payloads::routes)
    };
    let http = HttpServer::new(app)
        .on_connect(tamaracksail_process::serve::no_delay)
        .workers(options.workers)
        .disable_signals()
        .shutdown_timeout(SHUTDOWN_TIMEOUT_SECONDS)
        .bind(options.listen)?
        .run();
    let handle = http.handle();
    actix_rt::spawn(async move {
        drop(stop::requested().await);
        readiness.set(false);
        handle.stop(true).await;
    });
    http.await?;
    logs::flush();
    Ok(())
}
