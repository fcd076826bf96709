//! `diff`: shows what `apply` would change.

use tamaracksail_model::change::{self, Change};
use tamaracksail_model::config::Objects;
use tamaracksail_process::settings::Parser;

use crate::output::{self, Format};
use crate::{Failure, files, platform};

/// The help text.
pub const HELP: &str = "\
tamaracksailctl diff -f PATH [--prune] [-o json]

Shows what apply would change in the current configuration, and the generation to pass to apply
as --base.
";

/// Returns the objects after an apply: those of the files alone, or merged into the current ones.
pub fn objects_after_apply(current: &Objects, files: Objects, prune: bool) -> Objects {
    if prune {
        return files;
    }
    let mut updated = current.clone();
    updated.extend(files);
    updated
}

/// Runs the command.
pub async fn run(mut parser: Parser) -> Result<(), Failure> {
    let paths = files::paths(&mut parser);
    let prune = parser.flag("--prune");
    let format = output::format(&mut parser);
    let client = platform::client(&mut parser);
    parser.finish();
    let set = files::read(&paths)?;
    let (_, snapshot) = platform::fetch_config(&client, None).await?;
    let existing = if prune {
        Objects::new()
    } else {
        snapshot.objects.clone()
    };
    let objects = files::check(set, &existing)?;
    let updated = objects_after_apply(&snapshot.objects, objects, prune);
    let change = change::diff(&snapshot.objects, &updated);
    print(format, &change, &snapshot.objects);
    if format == Format::Table {
        println!("base: {}", snapshot.generation.0);
    }
    Ok(())
}

fn print(format: Format, change: &Change, current: &Objects) {
    let row = |(key, spec): &(tamaracksail_model::object::Key, Option<_>)| {
        let action = match (spec, current.contains_key(key)) {
            (None, _) => "remove",
            (Some(_), true) => "change",
            (Some(_), false) => "add",
        };
        vec![action.to_owned(), key.to_string()]
    };
    let rows: Vec<Vec<String>> = change.specs.iter().map(row).collect();
    output::print(format, change, &["CHANGE", "OBJECT"], &rows);
}
