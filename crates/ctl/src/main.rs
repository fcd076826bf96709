//! `tamaracksailctl`: the command-line tool for operators.
//!
//! Each command is a module under `commands`. The module `files` reads manifests, `platform` calls
//! the platform, and `output` prints tables or JSON.

mod commands;
mod files;
mod output;
mod platform;

use tamaracksail_process::settings::{About, EXIT_USAGE, Parser};

const NAME: &str = "tamaracksailctl";

const HELP: &str = "\
tamaracksailctl manages tamaracksail with manifests kept in version control.

  check -f PATH            check files as one complete set
  diff -f PATH             show what apply would change
  apply -f PATH            publish all changes, or none if any is invalid
  get [KIND[/NAME]]        show objects of the current configuration
  status                   show hosts, generations and servers
  history                  show accepted changes
  cost                     show tokens used in a day and their price
  drain HOST               stop sending new work to a backend server

  --platform URL           address of the platform; default: TAMARACKSAIL_PLATFORM
  -o json                  print JSON instead of a table
  --help                   show help; after a command, help for that command

Exit codes: 0 success; 1 rejected or failed; 2 invalid usage.
";

/// Why a command failed; the message is shown to the operator.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The input is invalid or the current state does not allow the command; one line per problem.
    #[error("{}", .0.join("\n"))]
    Refused(Vec<String>),
    /// A call to the platform failed.
    #[error(transparent)]
    Platform(#[from] tamaracksail_platform::Error),
    /// A stored value cannot be decoded.
    #[error(transparent)]
    Decode(#[from] tamaracksail_model::store::Error),
}

impl Failure {
    /// Returns a failure with a single problem.
    pub fn new(problem: impl Into<String>) -> Self {
        Self::Refused(vec![problem.into()])
    }
}

#[actix_rt::main]
async fn main() {
    let first_argument = std::env::args().nth(1).unwrap_or_default();
    let help = commands::help(&first_argument).unwrap_or(HELP);
    let mut parser = Parser::new(About {
        name: NAME,
        version: env!("CARGO_PKG_VERSION"),
        help,
    });
    let command = parser.command().unwrap_or_default();
    let result = match command.as_str() {
        "check" => commands::check::run(parser),
        "diff" => commands::diff::run(parser).await,
        "apply" => commands::apply::run(parser).await,
        "get" => commands::get::run(parser).await,
        "status" => commands::status::run(parser).await,
        "history" => commands::history::run(parser).await,
        "cost" => commands::cost::run(parser).await,
        "drain" => commands::drain::run(parser).await,
        "" => usage("no command given"),
        other => usage(&format!("{other}: unknown command")),
    };
    if let Err(failure) = result {
        eprintln!("{NAME}: {failure}");
        std::process::exit(1);
    }
}

fn usage(problem: &str) -> Result<(), Failure> {
    eprintln!("{NAME}: {problem}; see --help");
    std::process::exit(EXIT_USAGE);
}
