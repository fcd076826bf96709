//! `diff`: what apply would change.

use tamaracksail_model::change::{self, Change};
use tamaracksail_model::config::Objects;
use tamaracksail_process::settings::Parser;

use crate::output::{self, Form};
use crate::{Failure, files, link};

/// The help text.
pub const HELP: &str = "\
tamaracksailctl diff -f PATH [--prune] [-o json]

Shows what apply would change against the set in force, and the generation to give it as --base.
";

/// The set after an apply: the files alone, or over what is there.
pub fn target(current: &Objects, files: Objects, prune: bool) -> Objects {
    if prune {
        return files;
    }
    let mut whole = current.clone();
    whole.extend(files);
    whole
}

/// Runs the command.
pub async fn run(mut parser: Parser) -> Result<(), Failure> {
    let paths = files::paths(&mut parser);
    let prune = parser.flag("--prune");
    let form = output::form(&mut parser);
    let client = link::platform(&mut parser);
    parser.finish();
    let set = files::read(&paths)?;
    let (_, snapshot) = link::fetch(&client, None).await?;
    let beside = if prune {
        Objects::new()
    } else {
        snapshot.objects.clone()
    };
    let objects = files::check(set, &beside)?;
    let whole = target(&snapshot.objects, objects, prune);
    let change = change::diff(&snapshot.objects, &whole);
    print(form, &change, &snapshot.objects);
    if form == Form::Table {
        println!("base: {}", snapshot.generation.0);
    }
    Ok(())
}

fn print(form: Form, change: &Change, current: &Objects) {
    let row = |(key, spec): &(tamaracksail_model::object::Key, Option<_>)| {
        let verb = match (spec, current.contains_key(key)) {
            (None, _) => "remove",
            (Some(_), true) => "change",
            (Some(_), false) => "add",
        };
        vec![verb.to_owned(), key.to_string()]
    };
    let rows: Vec<Vec<String>> = change.specs.iter().map(row).collect();
    output::print(form, change, &["CHANGE", "OBJECT"], &rows);
}
