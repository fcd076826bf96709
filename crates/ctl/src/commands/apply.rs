//! `apply`: publishes a change set atomically.

use tamaracksail_model::config::Objects;
use tamaracksail_model::id::{Generation, Nonce};
use tamaracksail_policy::version::publish::{Action, ObjectUpdate, Publisher};
use tamaracksail_process::clock::Clock;
use tamaracksail_process::settings::Parser;

use crate::output::{self, Format};
use crate::{Failure, files, platform};

/// The help text.
pub const HELP: &str = "\
tamaracksailctl apply -f PATH [--prune] [--base N] [--author NAME] [-o json]

Merges the files into the current configuration, or replaces it with --prune. The result is
checked as a whole, and either all changes are published or none. With --base N the changes are
computed against generation N: if another operator has changed the same objects since then,
nothing is published and the error names these objects.
";

/// Runs the command.
pub async fn run(mut parser: Parser) -> Result<(), Failure> {
    let paths = files::paths(&mut parser);
    let prune = parser.flag("--prune");
    let base: Option<u64> = parser.optional("--base");
    let format = output::format(&mut parser);
    let author = parser
        .optional("--author")
        .or_else(|| std::env::var("USER").ok());
    let client = platform::client(&mut parser);
    parser.finish();
    let clock = Clock::start();

    let set = files::read(&paths)?;
    let base = base.map(Generation);
    let (_, base_snapshot) =
        platform::fetch_config(&client, base.filter(|base| base.0 > 0)).await?;
    let base = base.unwrap_or(base_snapshot.generation);
    let existing = if prune {
        Objects::new()
    } else {
        base_snapshot.objects
    };
    let objects = files::check(set, &existing)?;

    let update = if prune {
        ObjectUpdate::ReplaceAll(objects)
    } else {
        ObjectUpdate::Merge(objects)
    };
    let nonce = Nonce(rand::random::<u64>() >> 11);
    let author = author.unwrap_or_else(|| "unknown".to_owned());
    let (mut publisher, mut action) = Publisher::start(update, Some(base), author, nonce);
    loop {
        match action {
            Action::Store(call) => {
                let reply = platform::call(&client, &call).await;
                action = publisher
                    .handle(clock.now(), &reply)
                    .ok_or_else(|| Failure::new("apply: unexpected reply"))?;
            }
            Action::Done(Ok(generation)) => {
                let result = serde_json::json!({ "generation": generation });
                match format {
                    Format::Json => println!("{result}"),
                    Format::Table => println!("generation {} is accepted", generation.0),
                }
                return Ok(());
            }
            Action::Done(Err(error)) => return Err(Failure::new(error.to_string())),
        }
    }
}
