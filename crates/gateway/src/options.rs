//! The gateway's command-line options.

use std::path::PathBuf;

use log::LevelFilter;
use tamaracksail_process::logs::Format;
use tamaracksail_process::settings::{About, Parser};

/// The binary's name.
pub const NAME: &str = "tamaracksail-gateway";

const HELP: &str = "\
tamaracksail-gateway serves clients on an entry host of the users' platform. Addresses and names
come from the platform's settings file.

  --log-format json|plain   the format of log lines (default json)
  --log-level LEVEL         off, error, warn, info, debug or trace (default info)
  --otlp-endpoint URL       the collector of spans, over OTLP/HTTP (default: no spans)
  --metrics-port PORT       the port of /metrics, on the host's address (default: not served)
  --time-offset-file PATH   a file with milliseconds to add to the time of day, to test steps of the
                            clock (default: none)
  --help, --version

Each option may also be given as an environment variable, such as TAMARACKSAIL_LOG_LEVEL.
";

/// The validated options.
#[derive(Clone, Debug)]
pub struct Options {
    /// The format of log lines.
    pub log_format: Format,
    /// The least severe level that is logged.
    pub log_level: LevelFilter,
    /// The port on which metrics are served; none if they are not.
    pub metrics_port: Option<u16>,
    /// The collector that spans are sent to; without it no spans are created.
    pub otlp_endpoint: Option<String>,
    /// A file with milliseconds to add to the time of day, for tests.
    pub time_offset_file: Option<PathBuf>,
}

impl Options {
    /// Parses the options; exits the process if one is invalid.
    pub fn parse() -> Self {
        let about = About {
            name: NAME,
            version: env!("CARGO_PKG_VERSION"),
            help: HELP,
        };
        let mut parser = Parser::new(about);
        let log_format = parser.with_default("--log-format", Format::Json);
        let log_level = parser.with_default("--log-level", LevelFilter::Info);
        let metrics_port = parser.optional("--metrics-port");
        let otlp_endpoint = parser.optional("--otlp-endpoint");
        let time_offset_file = parser.optional("--time-offset-file");
        parser.finish();
        Self {
            log_format,
            log_level,
            metrics_port,
            otlp_endpoint,
            time_offset_file,
        }
    }
}
