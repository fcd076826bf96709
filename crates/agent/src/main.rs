//! The agent. One agent runs beside each backend server, and all requests to the server pass
//! through it.
//!
//! `control` is the actor around the agent's state machine in `tamaracksail-policy`. `attempts`
//! handles requests from entries, `server` sends requests to the backend server, `probe` checks
//! the server's health, and `weights` serves the weights of its engine to other engines.

mod attempts;
mod body_counter;
mod control;
mod options;
mod probe;
mod server;
mod weights;

use actix::Actor;
use actix_web::{App, HttpServer, web};
use tamaracksail_control::config_actor::{ConfigActor, MessageRouter, receive};
use tamaracksail_control::peer;
use tamaracksail_policy::agent::Settings;
use tamaracksail_policy::version::replica;
use tamaracksail_process::clock::Clock;
use tamaracksail_process::health::{self, Readiness};
use tamaracksail_process::trace::Tracer;
use tamaracksail_process::{logs, settings, stop};

use control::Control;
use options::Options;

/// How long open connections may take to end after the last attempt, in seconds.
const SHUTDOWN_TIMEOUT_SECONDS: u64 = 2;

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    let options = Options::parse();
    let shared = options.shared.clone();
    logs::start(shared.log_format, shared.log_level);
    stop::ignore_hangups()?;
    let clock = Clock::start();
    let tracer = Tracer::start("tamaracksail-agent", shared.otlp_endpoint.as_deref())
        .unwrap_or_else(|error| settings::fail(options::NAME, &error));
    let readiness = Readiness::default();
    let registry = web::Data::new(prometheus::Registry::new());
    let incarnation = clock.incarnation();

    let control_thread = actix_rt::Arbiter::new();
    let agent_settings = Settings {
        host: shared.host.clone(),
        incarnation,
        limit: options.limit,
        queue: options.queue,
        load_validity: options.load_validity,
    };
    let dependencies = control::Dependencies {
        agent_settings,
        clock,
        server: options.server.clone(),
        serves: options.serves.clone(),
        platform: shared.platform.clone(),
        readiness: readiness.clone(),
        registry: registry.clone(),
    };
    let control = Control::start_in_arbiter(&control_thread.handle(), move |_| {
        Control::new(dependencies)
    });
    let replica_settings = replica::Settings {
        host: shared.host.name.clone(),
        domain: shared.host.domain.clone(),
        address: shared.host.address,
        incarnation,
        seeds: shared.seeds.clone(),
        seed: incarnation.0,
    };
    let subscriber = control.clone().recipient();
    let platform = shared.platform.clone();
    let config_actor = ConfigActor::start_in_arbiter(&control_thread.handle(), move |_| {
        ConfigActor::new(replica_settings, clock, &platform, vec![subscriber])
    });
    let router = MessageRouter {
        config_actor: config_actor.recipient(),
        process_handler: control.clone().recipient(),
    };

    let state = attempts::State {
        control: control.clone(),
        server: options.server,
        tracer: tracer.clone(),
    };
    let app = move || {
        App::new()
            .app_data(web::Data::new(router.clone()))
            .app_data(web::Data::new(state.clone()))
            .app_data(web::Data::new(awc::Client::default()))
            .app_data(web::Data::new(attempts::Clients::default()))
            .app_data(web::Data::new(readiness.clone()))
            .app_data(registry.clone())
            .app_data(web::PayloadConfig::new(tamaracksail_wire::codec::MAX_BYTES))
            .configure(health::routes)
            .route(peer::CONTROL, web::post().to(receive))
            .route("/v1/attempts", web::post().to(attempts::receive))
            .route("/v1/drain", web::post().to(attempts::drain))
            .route(
                "/v1/weights/{model}/{version}",
                web::get().to(weights::serve),
            )
    };
    let http = HttpServer::new(app)
        .on_connect(tamaracksail_process::serve::no_delay)
        .workers(options.workers)
        .disable_signals()
        .shutdown_timeout(SHUTDOWN_TIMEOUT_SECONDS)
        .bind(shared.host.address)?
        .run();
    let handle = http.handle();
    actix_rt::spawn(async move {
        drop(stop::requested().await);
        log::info!("stopping: finishing attempts in flight");
        control.send(control::Stop).await.ok();
        handle.stop(true).await;
    });
    http.await?;
    tracer.stop();
    logs::flush();
    Ok(())
}
