//! `get`: shows objects of a configuration.

use tamaracksail_model::id::{Generation, Object};
use tamaracksail_model::object::{Key, Kind, Spec};
use tamaracksail_process::settings::Parser;

use crate::{Failure, output, platform};

/// The help text.
pub const HELP: &str = "\
tamaracksailctl get [KIND[/NAME]] [--generation N] [-o json]

Shows the objects of the current configuration, or of a generation that is still in the history.
";

/// Runs the command.
pub async fn run(mut parser: Parser) -> Result<(), Failure> {
    let format = output::format(&mut parser);
    let generation: Option<u64> = parser.optional("--generation");
    let client = platform::client(&mut parser);
    let filter = parser.positional().into_iter().next();
    parser.finish();
    let (kind, name) = parse_filter(filter.as_deref())?;
    let (_, snapshot) = platform::fetch_config(&client, generation.map(Generation)).await?;
    let found: Vec<(&Key, &Spec)> = snapshot
        .objects
        .iter()
        .filter(|(key, _)| kind.is_none_or(|kind| key.kind == kind))
        .filter(|(key, _)| name.as_ref().is_none_or(|name| key.name == *name))
        .collect();
    if let (Some(kind), Some(name), true) = (kind, &name, found.is_empty()) {
        return Err(Failure::new(format!("{kind}/{name} does not exist")));
    }
    let row = |(key, spec): &(&Key, &Spec)| {
        let spec = serde_json::to_value(spec).unwrap_or_default();
        vec![
            key.kind.to_string(),
            key.name.to_string(),
            spec["spec"].to_string(),
        ]
    };
    let rows: Vec<Vec<String>> = found.iter().map(row).collect();
    output::print(format, &found, &["KIND", "NAME", "SPEC"], &rows);
    Ok(())
}

fn parse_filter(filter: Option<&str>) -> Result<(Option<Kind>, Option<Object>), Failure> {
    let Some(text) = filter else {
        return Ok((None, None));
    };
    let (kind, name) = match text.split_once('/') {
        Some((kind, name)) => (kind, Some(Object::from(name))),
        None => (text, None),
    };
    match Kind::parse(kind) {
        Some(kind) => Ok((Some(kind), name)),
        None => Err(Failure::new(format!(
            "{kind}: must be one of {:?}",
            Kind::ALL
        ))),
    }
}
