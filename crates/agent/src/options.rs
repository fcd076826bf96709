//! The agent's settings.

use std::time::Duration;

use tamaracksail_control::options::{self, Url};
use tamaracksail_model::host::Role;
use tamaracksail_model::id;
use tamaracksail_process::settings::{About, Parser};

use crate::server::{Kind, Server};

/// The binary's name.
pub const NAME: &str = "tamaracksail-agent";

const HELP: &str = "\
tamaracksail-agent runs beside one backend server and is the only way to it.

  --server URL              the backend server
  --kind engine|service     what it is
  --serves NAME             the Pool or Service that it belongs to
  --queue COUNT             attempts that may wait (default 8)
  --load-validity-ms MS     how long entries may use a load report (default 3000)
  --workers COUNT           traffic threads (default 2)
";

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Options {
    /// The settings that entries and agents share.
    pub shared: options::Options,
    /// The backend server.
    pub server: Server,
    /// The pool or service that it belongs to.
    pub serves: id::Object,
    /// The number of attempts that may run at a time until a configuration sets it.
    pub limit: u32,
    /// The number of attempts that may wait.
    pub queue: u32,
    /// How long entries may use a load report.
    pub load_validity: Duration,
    /// The number of traffic threads.
    pub workers: usize,
}

impl Options {
    /// Reads the settings, and exits if one is invalid.
    pub fn parse() -> Self {
        const DEFAULT_CONCURRENCY_LIMIT: u32 = 8;
        let help: &'static str = Box::leak(format!("{HELP}{}", options::HELP).into_boxed_str());
        let about = About {
            name: NAME,
            version: env!("CARGO_PKG_VERSION"),
            help,
        };
        let mut parser = Parser::new(about);
        let mut shared = options::parse(&mut parser, Role::Agent);
        let url = parser.required("--server", Url(String::new()));
        let kind = parser.required("--kind", Kind::Engine);
        let serves: String = parser.required("--serves", String::new());
        let queue = parser.with_default("--queue", 8);
        let load_validity_ms: u64 = parser.with_default("--load-validity-ms", 3000);
        let workers = parser.with_default("--workers", 2);
        if workers == 0 {
            parser.report_invalid("--workers", "must be at least 1");
        }
        if load_validity_ms == 0 {
            parser.report_invalid("--load-validity-ms", "must be at least 1");
        }
        parser.finish();
        let serves = id::Object(serves);
        shared.host.serves = Some(serves.clone());
        Self {
            shared,
            server: Server { url: url.0, kind },
            serves,
            limit: DEFAULT_CONCURRENCY_LIMIT,
            queue,
            load_validity: Duration::from_millis(load_validity_ms),
            workers,
        }
    }
}
