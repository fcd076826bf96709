//! Structured logs on standard output.
//!
//! Lines go through a bounded queue to a thread that writes them, so that logging never waits for
//! whoever reads standard output. Lines that exceed the queue or [`MAX_LINES_PER_SECOND`] are
//! dropped and counted.

mod json;
mod queue;

use std::str::FromStr;

use log::LevelFilter;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::pattern::PatternEncoder;

use json::JsonEncoder;
use queue::Queue;

/// The maximum number of lines written per second, which does not apply to warnings and errors. A
/// busy entry host handles some hundred requests per second, with a few lines each.
pub const MAX_LINES_PER_SECOND: u32 = 1000;

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// One JSON object per line.
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

/// Starts logging. Only the first call has an effect.
pub fn start(format: Format, level: LevelFilter) {
    let encoder: Box<dyn Encode> = match format {
        Format::Json => Box::new(JsonEncoder),
        Format::Plain => Box::new(PatternEncoder::new("{d} {l} {t} {m}{n}")),
    };
    let queue = Queue::start(encoder);
    let config = Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(queue)))
        .build(Root::builder().appender("stdout").build(level));
    if let Ok(config) = config {
        // Fails only if a logger has been set already.
        drop(log4rs::init_config(config));
    }
}

/// Waits until the lines so far are written, for a moment at the longest. To be called before the process
/// exits, which would lose them.
pub fn flush() {
    log::logger().flush();
}
