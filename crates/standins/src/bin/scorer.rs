//! Runs the stand-in for a scoring service for a given time, and prints its report.

use std::time::Duration;

use tamaracksail_process::settings::{About, Parser};
use tamaracksail_standins::scorer;

#[actix_web::main]
async fn main() {
    let mut parser = Parser::new(About {
        name: "standin-scorer",
        version: env!("CARGO_PKG_VERSION"),
        help: "standin-scorer --entry URL --trainer NAME [--time-ms MS]",
    });
    let entry: String = parser.required("--entry", String::new());
    let trainer: String = parser.required("--trainer", String::new());
    let time = Duration::from_millis(parser.with_default("--time-ms", 5000));
    parser.finish();
    let report = scorer::run(&entry, &trainer, time).await;
    println!("{}", serde_json::to_string(&report).unwrap_or_default());
}
