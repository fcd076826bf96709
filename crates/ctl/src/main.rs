//! `tamaracksailctl`: the operators' command line.
//!
//! Each command is a module under `commands`; `files` reads manifests, `link` talks to the
//! platform, `output` prints tables or JSON.

mod commands;
mod files;
mod link;
mod output;

use tamaracksail_process::settings::{About, EXIT_USAGE, Parser};

const NAME: &str = "tamaracksailctl";

const HELP: &str = "\
tamaracksailctl drives tamaracksail by manifests kept in version control.

  check -f PATH            check files as one whole set
  diff -f PATH             what apply would change
  apply -f PATH            publish a change set, whole or not at all
  get [KIND[/NAME]]        show objects in force
  status                   hosts, generations and servers
  history                  accepted changes
  cost                     tokens and money of a day
  drain HOST               take a backend server or entry out of service

  --platform URL           the platform, or TAMARACKSAIL_PLATFORM
  -o json                  JSON instead of a table
  --help                   after a command: its own flags

Exit codes: 0 done; 1 refused or failed; 2 wrong usage.
";

/// Why a command failed, for the operator.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The input or the state does not allow it; one line for each problem.
    #[error("{}", .0.join("\n"))]
    Refused(Vec<String>),
    /// The platform.
    #[error(transparent)]
    Platform(#[from] tamaracksail_platform::Error),
    /// A stored value is not what this build writes.
    #[error(transparent)]
    Stored(#[from] tamaracksail_model::store::Error),
}

impl Failure {
    /// A failure with one problem.
    pub fn one(problem: impl Into<String>) -> Self {
        Self::Refused(vec![problem.into()])
    }
}

#[actix_rt::main]
async fn main() {
    let command = std::env::args().nth(1).unwrap_or_default();
    let help = commands::help(&command).unwrap_or(HELP);
    let mut parser = Parser::new(About {
        name: NAME,
        version: env!("CARGO_PKG_VERSION"),
        help,
    });
    let named = parser.command().unwrap_or_default();
    let result = match named.as_str() {
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
