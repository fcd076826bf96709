//! Structured logs on standard output.
//!
//! Lines go through a bounded queue to a thread that writes them, so that no caller waits for a
//! reader. Lines beyond the queue or beyond [`LINES_PER_SECOND`] are dropped and counted.

mod line;
mod queue;

use std::str::FromStr;

use log::LevelFilter;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::pattern::PatternEncoder;

use line::Line;
use queue::Queue;

/// Lines a second that are written at the most, warnings and errors apart. A busy entry host
/// answers some hundred requests a second, with a few lines each.
pub const LINES_PER_SECOND: u32 = 1000;

/// The form of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// One JSON object a line.
    Json,
    /// Text for people.
    Plain,
}

impl FromStr for Format {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "json" => Ok(Self::Json),
            "plain" => Ok(Self::Plain),
            _ => Err("must be json or plain"),
        }
    }
}

/// Starts logging. Calls after the first change nothing.
pub fn start(format: Format, level: LevelFilter) {
    let encoder: Box<dyn Encode> = match format {
        Format::Json => Box::new(Line),
        Format::Plain => Box::new(PatternEncoder::new("{d} {l} {t} {m}{n}")),
    };
    let queue = Queue::start(encoder);
    let config = Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(queue)))
        .build(Root::builder().appender("stdout").build(level));
    if let Ok(config) = config {
        // Fails only if a logger is there already.
        drop(log4rs::init_config(config));
    }
}
