//! The shelf's command-line options.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use log::LevelFilter;
use tamaracksail_process::logs::Format;
use tamaracksail_process::settings::{About, Parser};

/// The binary's name.
pub const NAME: &str = "tamaracksail-shelf";

const HELP: &str = "\
tamaracksail-shelf stores sample payloads on a host with a disk.

  --listen ADDRESS:PORT     where to listen
  --data PATH               the data folder
  --keep-hours COUNT        payloads older than this are removed at the start (default 48)
  --workers COUNT           number of traffic threads (default 2)
  --log-format json|plain   the format of log lines (default json)
  --log-level LEVEL         off, error, warn, info, debug or trace (default info)
  --help, --version

Each may be given as an environment variable, such as TAMARACKSAIL_DATA.
";

/// The validated options.
#[derive(Clone, Debug)]
pub struct Options {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The data folder.
    pub data: PathBuf,
    /// The age above which payloads are removed when the shelf starts.
    pub retention: Duration,
    /// The number of traffic threads.
    pub workers: usize,
    /// The format of log lines.
    pub log_format: Format,
    /// The least severe level that is logged.
    pub log_level: LevelFilter,
}

impl Options {
    /// Reads the options from the command line and the environment. Exits if one is invalid.
    pub fn parse() -> Self {
        let about = About {
            name: NAME,
            version: env!("CARGO_PKG_VERSION"),
            help: HELP,
        };
        let mut parser = Parser::new(about);
        let listen = parser.required("--listen", SocketAddr::from(([127, 0, 0, 1], 0)));
        let data: String = parser.required("--data", String::new());
        let retention_hours: u64 = parser.with_default("--keep-hours", 48);
        let workers = parser.with_default("--workers", 2);
        if workers == 0 {
            parser.report_invalid("--workers", "must be at least 1");
        }
        let log_format = parser.with_default("--log-format", Format::Json);
        let log_level = parser.with_default("--log-level", LevelFilter::Info);
        parser.finish();
        Self {
            listen,
            data: data.into(),
            retention: Duration::from_hours(retention_hours),
            workers,
            log_format,
            log_level,
        }
    }
}
