//! The gateway's own settings.

use log::LevelFilter;
use tamaracksail_process::logs::Format;
use tamaracksail_process::settings::{About, Parser};

/// The binary's name.
pub const NAME: &str = "tamaracksail-gateway";

const HELP: &str = "\
tamaracksail-gateway serves clients on an entry host of the users' platform. Addresses and names
come from the platform's settings file.

  --log-format json|plain   the form of log lines (default json)
  --log-level LEVEL         off, error, warn, info, debug or trace (default info)
  --otlp-endpoint URL       where spans are sent, over OTLP/HTTP (default: none are made)
  --metrics-port PORT       where /metrics is served, on the host's address (default: none)
  --help, --version

Each may be given as an environment variable, such as TAMARACKSAIL_LOG_LEVEL.
";

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Options {
    /// The form of log lines.
    pub log_format: Format,
    /// The least severe level that is logged.
    pub log_level: LevelFilter,
    /// Where metrics are served.
    pub metrics_port: Option<u16>,
    /// Where spans are sent; none are made without it.
    pub otlp_endpoint: Option<String>,
}

impl Options {
    /// Reads the settings; exits if one is wrong.
    pub fn parse() -> Self {
        let about = About {
            name: NAME,
            version: env!("CARGO_PKG_VERSION"),
            help: HELP,
        };
        let mut parser = Parser::new(about);
        let log_format = parser.or("--log-format", Format::Json);
        let log_level = parser.or("--log-level", LevelFilter::Info);
        let metrics_port = parser.optional("--metrics-port");
        let otlp_endpoint = parser.optional("--otlp-endpoint");
        parser.finish();
        Self {
            log_format,
            log_level,
            metrics_port,
            otlp_endpoint,
        }
    }
}
