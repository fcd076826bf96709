//! Structured logs on standard error.

use std::str::FromStr;

use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;

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
        Format::Json => Box::new(JsonEncoder::new()),
        Format::Plain => Box::new(PatternEncoder::new("{d} {l} {t} {m}{n}")),
    };
    let console = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(encoder)
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("stderr", Box::new(console)))
        .build(Root::builder().appender("stderr").build(level));
    if let Ok(config) = config {
        // Fails only if a logger is there already.
        drop(log4rs::init_config(config));
    }
}
