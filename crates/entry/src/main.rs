//! The entry: the HTTP API for callers, trainers and scoring services.
//!
//! `api` handles HTTP requests on the traffic threads. `control`, `training` and `rollouts` are
//! actors on the control thread, which run the state machines of `tamaracksail-policy`.
//! `request_task` connects a request to the control actor, and `attempt` sends its attempts to
//! agents. `sampling` generates samples for trainers, and `payloads` stores them on shelves.

mod api;
mod attempt;
mod control;
mod options;
mod payloads;
mod request_task;
mod rollouts;
mod sampling;
mod training;

use std::sync::Arc;

use actix::Actor;
use actix_web::{App, HttpServer, web};
use arc_swap::ArcSwap;
use tamaracksail_control::config_actor::{ConfigActor, MessageRouter, receive};
use tamaracksail_control::peer;
use tamaracksail_model::config::Snapshot;
use tamaracksail_policy::entry::Settings;
use tamaracksail_policy::process::lease::Claimant;
use tamaracksail_policy::version::replica;
use tamaracksail_process::clock::Clock;
use tamaracksail_process::health::{self, Readiness};
use tamaracksail_process::trace::Tracer;
use tamaracksail_process::{logs, settings, stop};

use control::Control;
use options::Options;
use rollouts::Rollouts;
use training::Training;

/// How long open connections may take to end after the last response, in seconds.
const SHUTDOWN_TIMEOUT_SECONDS: u64 = 2;

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    let options = Options::parse();
    let shared = options.shared.clone();
    logs::start(shared.log_format, shared.log_level);
    stop::ignore_hangups()?;
    let clock = Clock::start();
    let tracer = Tracer::start("tamaracksail-entry", shared.otlp_endpoint.as_deref())
        .unwrap_or_else(|problem| settings::fail(options::NAME, &problem));
    let readiness = Readiness::default();
    let registry = web::Data::new(prometheus::Registry::new());
    let incarnation = clock.incarnation();
    let config = Arc::new(ArcSwap::from_pointee(Snapshot::default()));

    let control_thread = actix_rt::Arbiter::new();
    let settings = Settings::builder(shared.host.clone(), incarnation, incarnation.0)
        .stall_timeout(options.stall_timeout)
        .remote_cost(options.remote_cost)
        .queue_limit(options.queue_limit)
        .build()
        .unwrap_or_else(|errors| settings::fail(options::NAME, &join_errors(&errors)));
    let parts = control::Parts {
        settings,
        clock,
        platform: shared.platform.clone(),
        readiness: readiness.clone(),
        registry: registry.clone(),
        status_period: options.status_period,
        config: Arc::clone(&config),
    };
    let control = Control::start_in_arbiter(&control_thread.handle(), move |_| Control::new(parts));
    let replica_settings = replica::Settings {
        host: shared.host.name.clone(),
        domain: shared.host.domain.clone(),
        address: shared.host.address,
        incarnation,
        seeds: shared.seeds.clone(),
        seed: incarnation.0,
    };
    let claimant = Claimant {
        host: shared.host.name.clone(),
        incarnation,
    };
    let parts = training::Parts {
        claimant: claimant.clone(),
        clock,
        platform: shared.platform.clone(),
        control: control.clone(),
        max_parallel_samples: options.max_parallel_samples,
    };
    let training =
        Training::start_in_arbiter(&control_thread.handle(), move |_| Training::new(parts));
    let parts = rollouts::Parts {
        claimant,
        clock,
        platform: shared.platform.clone(),
        max_loads_from_store: options.max_loads_from_store,
        max_loading_percent: options.max_loading_percent,
    };
    let rollouts =
        Rollouts::start_in_arbiter(&control_thread.handle(), move |_| Rollouts::new(parts));
    let subscribers = vec![
        control.clone().recipient(),
        training.clone().recipient(),
        rollouts.clone().recipient(),
    ];
    let platform = shared.platform.clone();
    let config_actor = ConfigActor::start_in_arbiter(&control_thread.handle(), move |_| {
        ConfigActor::new(replica_settings, clock, &platform, subscribers)
    });
    let router = MessageRouter {
        config_actor: config_actor.recipient(),
        process_handler: control.clone().recipient(),
    };

    let state = api::State {
        control: control.clone(),
        training: training.clone(),
        clock,
        config,
        tracer: tracer.clone(),
    };
    let app = move || {
        App::new()
            .app_data(web::Data::new(router.clone()))
            .app_data(web::Data::new(state.clone()))
            .app_data(web::Data::new(awc::Client::default()))
            .app_data(web::Data::new(readiness.clone()))
            .app_data(registry.clone())
            .app_data(web::PayloadConfig::new(
                tamaracksail_wire::codec::MAX_BYTES / 2,
            ))
            .configure(health::routes)
            .configure(api::routes)
            .route(peer::CONTROL, web::post().to(receive))
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
        log::info!("stopping: finishing requests in flight");
        rollouts.send(rollouts::Stop).await.ok();
        training.send(training::Stop).await.ok();
        control.send(control::Stop).await.ok();
        handle.stop(true).await;
    });
    http.await?;
    tracer.stop();
    logs::flush();
    Ok(())
}

fn join_errors<T: ToString>(errors: &[T]) -> String {
    errors
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join("; ")
}
