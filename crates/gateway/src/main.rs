//! The gateway: forwards clients' requests to backend servers, and schedules batches that it keeps
//! in the platform's store.
//!
//! The process has a single thread, as a host gives it a fraction of a core. Modules, by the
//! lifetime of what they handle: [`request`], [`connection`], [`version`] (routes and servers),
//! [`batches`], and the process itself.

mod admission;
mod batches;
mod clock;
mod configuration;
mod connection;
mod gateway;
mod limits;
mod memory;
mod metrics;
mod options;
mod peer;
mod request;
mod stop;
mod stopping;
mod store;
mod streams;
mod suspects;
mod usage;
mod version;

use std::rc::Rc;

use tamaracksail_adapter::settings::Settings;
use tamaracksail_process::trace::Tracer;
use tamaracksail_process::{logs, settings};

use gateway::Gateway;
use options::Options;

fn main() {
    let options = Options::parse();
    logs::start(options.log_format, options.log_level);
    let settings =
        Settings::load().unwrap_or_else(|error| settings::fail(options::NAME, &error.to_string()));
    actix_rt::System::new().block_on(async move {
        let endpoint = options.otlp_endpoint.as_deref();
        let tracer = endpoint.map(|endpoint| {
            Tracer::start(options::NAME, Some(endpoint))
                .unwrap_or_else(|error| settings::fail(options::NAME, &error))
        });
        let gateway = Rc::new(Gateway::new(settings, &options, tracer));
        log::info!(host = gateway.settings.borrow().host.as_str(), incarnation = gateway.incarnation; "start");
        for result in [
            connection::listen(&gateway).await,
            peer::listen(&gateway).await,
        ] {
            if let Err(error) = result {
                settings::fail(options::NAME, &error.to_string());
            }
        }
        version::watch_all(&gateway);
        suspects::share(&gateway);
        limits::share(&gateway);
        actix_rt::spawn(streams::run(Rc::clone(&gateway)));
        batches::start(&gateway);
        usage::start(&gateway);
        stop::serve_until_stopped(&gateway).await;
        if let Some(tracer) = &gateway.tracer {
            tracer.stop();
        }
        log::info!("stop");
        logs::flush();
    });
}
