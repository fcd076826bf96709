//! Runs the stand-in for a trainer for one step, and prints its report.

use std::time::Duration;

use tamaracksail_process::settings::{self, About, Parser};
use tamaracksail_standins::trainer::{self, Plan};

const HELP: &str = "\
standin-trainer --entry URL [--entry URL] --trainer NAME --state FILE
    [--step N] [--groups N] [--group-size N] [--max-tokens N] [--learn-ms MS] [--patience-ms MS]
";

#[actix_web::main]
async fn main() {
    let about = About {
        name: "standin-trainer",
        version: env!("CARGO_PKG_VERSION"),
        help: HELP,
    };
    let mut parser = Parser::new(about);
    let entries: Vec<String> = parser.values("--entry");
    if entries.is_empty() {
        parser.report_invalid("--entry", "missing");
    }
    let trainer = parser.required("--trainer", String::new());
    let state: String = parser.required("--state", String::new());
    let plan = Plan {
        entries,
        trainer,
        step: parser.with_default("--step", 1),
        groups: parser.with_default("--groups", 16),
        group_size: parser.with_default("--group-size", 4),
        max_tokens: parser.with_default("--max-tokens", 16),
        state: state.into(),
        learn_time: Duration::from_millis(parser.with_default("--learn-ms", 20)),
        timeout: Duration::from_millis(parser.with_default("--patience-ms", 60_000)),
    };
    parser.finish();
    match trainer::run(&plan).await {
        Ok(report) => println!("{}", serde_json::to_string(&report).unwrap_or_default()),
        Err(message) => settings::fail("standin-trainer", &message),
    }
}
