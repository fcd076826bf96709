//! `apply`: publishes a change set, whole or not at all.

use tamaracksail_model::config::Objects;
use tamaracksail_model::id::{Generation, Nonce};
use tamaracksail_policy::version::publish::{Action, ObjectUpdate, Publisher};
use tamaracksail_process::clock::Clock;
use tamaracksail_process::settings::Parser;

use crate::output::{self, Form};
use crate::{Failure, files, link};

/// The help text.
pub const HELP: &str = "\
tamaracksailctl apply -f PATH [--prune] [--base N] [--author NAME] [-o json]

Publishes the files over the set in force, or instead of it with --prune. The result is checked
as a whole and published whole or not at all. With --base N the changes are those against
generation N: if another operator changed the same objects since, nothing is published and the
conflict names them.
";

/// Runs the command.
pub async fn run(mut parser: Parser) -> Result<(), Failure> {
    let paths = files::paths(&mut parser);
    let prune = parser.flag("--prune");
    let base: Option<u64> = parser.optional("--base");
    let form = output::form(&mut parser);
    let author = parser
        .optional("--author")
        .or_else(|| std::env::var("USER").ok());
    let client = link::platform(&mut parser);
    parser.finish();
    let clock = Clock::start();

    let set = files::read(&paths)?;
    let base = base.map(Generation);
    let (_, seen) = link::fetch(&client, base.filter(|base| base.0 > 0)).await?;
    let base = base.unwrap_or(seen.generation);
    let beside = if prune { Objects::new() } else { seen.objects };
    let objects = files::check(set, &beside)?;

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
                let reply = link::reply(&client, &call).await;
                action = publisher
                    .handle(clock.now(), &reply)
                    .ok_or_else(|| Failure::one("apply: unexpected reply"))?;
            }
            Action::Done(Ok(generation)) => {
                let result = serde_json::json!({ "generation": generation });
                match form {
                    Form::Json => println!("{result}"),
                    Form::Table => println!("generation {} is accepted", generation.0),
                }
                return Ok(());
            }
            Action::Done(Err(error)) => return Err(Failure::one(error.to_string())),
        }
    }
}
