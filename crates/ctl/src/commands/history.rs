//! `history`: lists accepted changes.

use tamaracksail_policy::version::head::AcceptedChange;
use tamaracksail_process::settings::Parser;

use crate::{Failure, output, platform};

/// The help text.
pub const HELP: &str = "\
tamaracksailctl history [-o json]

Lists the accepted changes that the platform still stores, newest first.
";

/// Runs the command.
pub async fn run(mut parser: Parser) -> Result<(), Failure> {
    let format = output::format(&mut parser);
    let client = platform::client(&mut parser);
    parser.finish();
    let (head, _) = platform::fetch_config(&client, None).await?;
    let newest_first: Vec<&AcceptedChange> = head.history.iter().rev().collect();
    let row = |accepted: &&AcceptedChange| {
        let objects = accepted
            .objects
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>();
        vec![
            accepted.generation.0.to_string(),
            (accepted.at.0 / 1_000_000).to_string(),
            accepted.author.clone(),
            format!("{:x}", accepted.change.0),
            objects.join(" "),
        ]
    };
    let rows: Vec<Vec<String>> = newest_first.iter().map(row).collect();
    let header = ["GENERATION", "UNIX TIME", "AUTHOR", "CHANGE", "OBJECTS"];
    output::print(format, &newest_first, &header, &rows);
    Ok(())
}
