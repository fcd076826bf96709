//! The settings that entries and agents share.

use std::net::SocketAddr;
use std::str::FromStr;

use log::LevelFilter;
use tamaracksail_model::host::{Host, Phase, Role};
use tamaracksail_model::id;
use tamaracksail_policy::version::replica::Seed;
use tamaracksail_process::logs::Format;
use tamaracksail_process::settings::Parser;

/// The help text of the shared settings.
pub const HELP: &str = "\
  --listen ADDRESS:PORT     where to listen
  --name NAME               the name of this host on the host list
  --domain NAME             the failure domain of this host
  --platform URL            the platform
  --seed DOMAIN=ADDR:PORT   a peer to ask at the start; may be repeated
  --log-format json|plain   the form of log lines (default json)
  --log-level LEVEL         off, error, warn, info, debug or trace (default info)
  --otlp-endpoint URL       where spans are sent; none by default
  --help, --version

Each may be given as an environment variable, such as TAMARACKSAIL_LISTEN, except --seed, for
which TAMARACKSAIL_SEEDS takes a list separated by commas.
";

/// Shared settings.
#[derive(Clone, Debug)]
pub struct Options {
    /// The record of this process on the host list.
    pub host: Host,
    /// The platform's URL.
    pub platform: String,
    /// The peers to ask for the configuration when the process starts.
    pub seeds: Vec<Seed>,
    /// The format of log lines.
    pub log_format: Format,
    /// The least severe level of log lines that are written.
    pub log_level: LevelFilter,
    /// The URL that trace spans are sent to; `None` sends none.
    pub otlp_endpoint: Option<String>,
}

/// A seed, parsed from `DOMAIN=ADDRESS:PORT`.
struct SeedText(Seed);

impl FromStr for SeedText {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const FORM: &str = "must be DOMAIN=ADDRESS:PORT";
        let (domain, address) = text.split_once('=').ok_or(FORM)?;
        let address = address.parse().map_err(|_| FORM)?;
        Ok(Self(Seed {
            domain: domain.into(),
            address,
        }))
    }
}

/// The URL of an HTTP server, without a trailing slash.
#[derive(Clone, Debug)]
pub struct Url(pub String);

impl FromStr for Url {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let uri: awc::http::Uri = text.parse().map_err(|_| "must be a URL")?;
        match (uri.scheme_str(), uri.host()) {
            (Some("http"), Some(_)) => Ok(Self(text.trim_end_matches('/').to_owned())),
            _ => Err("must start with http:// and name a host"),
        }
    }
}

impl std::fmt::Display for Url {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

/// Reads the shared settings of a process with the given role.
pub fn parse(parser: &mut Parser, role: Role) -> Options {
    let placeholder = SocketAddr::from(([127, 0, 0, 1], 0));
    let address = parser.required("--listen", placeholder);
    let name: String = parser.required("--name", String::new());
    let domain: String = parser.required("--domain", String::new());
    let platform = parser.required("--platform", Url(String::new()));
    let mut seeds: Vec<SeedText> = parser.values("--seed");
    if let Some(list) = parser.optional::<String>("--seeds") {
        for text in list.split(',').filter(|text| !text.is_empty()) {
            match text.parse() {
                Ok(seed) => seeds.push(seed),
                Err(problem) => parser.report_invalid("--seeds", problem),
            }
        }
    }
    let host = Host {
        name: id::Host(name),
        role,
        address,
        domain: id::Domain(domain),
        serves: None,
        phase: Phase::Live,
    };
    Options {
        host,
        platform: platform.0,
        seeds: seeds.into_iter().map(|seed| seed.0).collect(),
        log_format: parser.with_default("--log-format", Format::Json),
        log_level: parser.with_default("--log-level", LevelFilter::Info),
        otlp_endpoint: parser.optional::<Url>("--otlp-endpoint").map(|url| url.0),
    }
}
