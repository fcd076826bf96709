//! The HTTP API for callers, trainers and scoring services.

pub mod chunks;
mod common;
mod models;
pub mod openai;
mod problem;
mod services;
mod trainers;

use std::sync::Arc;

use actix::Addr;
use actix_web::web;
use arc_swap::ArcSwap;
use tamaracksail_model::config::Snapshot;
use tamaracksail_process::clock::Clock;
use tamaracksail_process::trace::Tracer;

use crate::control::Control;
use crate::training::Training;

/// The state that the traffic threads share.
#[derive(Clone)]
pub struct State {
    /// The control actor.
    pub control: Addr<Control>,
    /// The actor that runs the owners of trainers' steps.
    pub training: Addr<Training>,
    /// The clock of the process.
    pub clock: Clock,
    /// The configuration in force.
    pub config: Arc<ArcSwap<Snapshot>>,
    /// The tracer, which starts spans.
    pub tracer: Tracer,
}

/// Registers the routes of the API.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/v1/chat/completions", web::post().to(openai::chat))
        .route("/v1/completions", web::post().to(openai::complete))
        .route("/v1/models", web::get().to(models::list))
        .route("/v1/models/{model}", web::get().to(models::show))
        .route("/services/{service}/{path:.*}", web::to(services::call))
        .configure(trainers::routes)
        .default_service(web::to(problem::no_route));
}
