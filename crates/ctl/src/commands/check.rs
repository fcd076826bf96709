//! `check`: checks a complete set of objects without the platform.

use tamaracksail_model::config::Objects;
use tamaracksail_process::settings::Parser;

use crate::{Failure, files};

/// The help text.
pub const HELP: &str = "\
tamaracksailctl check -f PATH [-f PATH ...]

Checks the files and directories as one complete set and lists all errors, each with its file,
object and field. The platform is not needed.
";

/// Runs the command.
pub fn run(mut parser: Parser) -> Result<(), Failure> {
    let paths = files::paths(&mut parser);
    parser.finish();
    let objects = files::check(files::read(&paths)?, &Objects::new())?;
    println!("{} objects are consistent", objects.len());
    Ok(())
}
