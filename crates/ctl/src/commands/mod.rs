//! The commands, one module each.

pub mod apply;
pub mod check;
pub mod cost;
pub mod diff;
pub mod drain;
pub mod get;
pub mod history;
pub mod status;

/// Returns the help text of a command, or `None` if there is no such command.
pub fn help(command: &str) -> Option<&'static str> {
    match command {
        "check" => Some(check::HELP),
        "diff" => Some(diff::HELP),
        "apply" => Some(apply::HELP),
        "get" => Some(get::HELP),
        "status" => Some(status::HELP),
        "history" => Some(history::HELP),
        "cost" => Some(cost::HELP),
        "drain" => Some(drain::HELP),
        _ => None,
    }
}
