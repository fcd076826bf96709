//! The objects that operators declare.

use std::fmt;
use std::time::Duration;

use serde_with::{DurationSeconds, serde_as};

use crate::id;
use crate::outcome::Class;

key! {
    /// The kind of an object.
    pub enum Kind {
        /// A failure domain.
        Domain,
        /// A model.
        Model,
        /// A version of a model's weights.
        Version,
        /// A pool of engines that serve a model.
        Pool,
        /// A plain service.
        Service,
        /// A trainer.
        Trainer,
        /// A rule for how requests or samples are handled.
        Rule,
        /// The price of a model's tokens.
        Price,
    }
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 8] = [
        Self::Domain,
        Self::Model,
        Self::Version,
        Self::Pool,
        Self::Service,
        Self::Trainer,
        Self::Rule,
        Self::Price,
    ];

    /// Parses the text form that manifests use.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.to_string() == text)
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// The kind and name of an object, which identify it.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Key {
    /// The kind.
    pub kind: Kind,
    /// The name, unique within the kind.
    pub name: id::Object,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

plain! {
    /// A failure domain.
    #[serde(deny_unknown_fields)]
    pub struct Domain {
        /// The region that it belongs to.
        pub region: String,
    }
}

plain! {
    /// A model.
    #[serde(deny_unknown_fields)]
    pub struct Model {
        /// The version to serve: the name of a `Version` of this model.
        pub serve: id::Object,
    }
}

plain! {
    /// A version of a model's weights.
    #[serde(deny_unknown_fields)]
    pub struct Version {
        /// The model.
        pub model: id::Object,
        /// Its number. Later versions have higher numbers.
        pub number: id::Version,
    }
}

plain! {
    /// A pool of engines.
    #[serde(deny_unknown_fields)]
    pub struct Pool {
        /// The model that its engines serve.
        pub model: id::Object,
        /// The failure domains of its hosts.
        pub domains: Vec<id::Object>,
        /// Whether its engines reject a load command that has an old fencing token.
        pub checks_orders: bool,
        /// The number of requests that one server runs at a time.
        #[serde(default = "default_concurrency")]
        pub concurrency: u32,
    }
}

plain! {
    /// A plain service.
    #[serde(deny_unknown_fields)]
    pub struct Service {
        /// The failure domains of its hosts.
        pub domains: Vec<id::Object>,
        /// The number of requests that one server runs at a time.
        #[serde(default = "default_concurrency")]
        pub concurrency: u32,
    }
}

plain! {
    /// A trainer.
    #[serde(deny_unknown_fields)]
    pub struct Trainer {
        /// The model that it trains.
        pub model: id::Object,
        /// The maximum number of samples in a batch.
        pub batch: u32,
        /// Whether a sample must have a score before the trainer receives it.
        #[serde(default)]
        pub scored: bool,
    }
}

/// A rule for how requests or samples are handled.
#[serde_as]
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Rule {
    /// Matching requests must run at most once.
    Once {
        /// The plain service.
        service: id::Object,
        /// The HTTP method.
        method: String,
        /// The prefix of the path within the service.
        prefix: String,
    },
    /// How old a sample may be when the trainer receives it.
    Staleness {
        /// The trainer.
        trainer: id::Object,
        /// The maximum number of versions by which the newest version may be ahead of the oldest one
        /// that generated a part of the sample.
        versions: u64,
        /// The maximum time since the sample was requested, in seconds.
        #[serde_as(as = "DurationSeconds<u64>")]
        seconds: Duration,
    },
    /// The versions whose drafts reviewers may score.
    Allowed {
        /// The model.
        model: id::Object,
        /// The names of the allowed versions.
        versions: Vec<id::Object>,
    },
    /// When the request for a late sample is sent a second time.
    Hedge {
        /// The trainer.
        trainer: id::Object,
        /// The percentile of the latency after which a sample is late.
        percentile: u32,
        /// The maximum number of second copies, in percent of a step's samples.
        cap_percent: u32,
    },
    /// The limit on retries of requests of a class.
    Retry {
        /// The class.
        class: Class,
        /// The limit in percent of first attempts.
        budget_percent: u32,
    },
}

plain! {
    /// The price of a model's tokens.
    #[serde(deny_unknown_fields)]
    pub struct Price {
        /// The model.
        pub model: id::Object,
        /// The price of a million generated tokens, in thousandths of the currency unit.
        pub millis_per_million_tokens: u64,
    }
}

plain! {
    /// The content of an object, by kind.
    #[serde(tag = "kind", content = "spec")]
    pub enum Spec {
        /// A failure domain.
        Domain(Domain),
        /// A model.
        Model(Model),
        /// A version of a model's weights.
        Version(Version),
        /// A pool of engines.
        Pool(Pool),
        /// A plain service.
        Service(Service),
        /// A trainer.
        Trainer(Trainer),
        /// A rule.
        Rule(Rule),
        /// A price.
        Price(Price),
    }
}

impl Spec {
    /// Returns the kind of the object.
    #[must_use]
    pub fn kind(&self) -> Kind {
        match self {
            Self::Domain(_) => Kind::Domain,
            Self::Model(_) => Kind::Model,
            Self::Version(_) => Kind::Version,
            Self::Pool(_) => Kind::Pool,
            Self::Service(_) => Kind::Service,
            Self::Trainer(_) => Kind::Trainer,
            Self::Rule(_) => Kind::Rule,
            Self::Price(_) => Kind::Price,
        }
    }

    /// Returns the keys of the objects that this one refers to, each with the field that contains the
    /// reference.
    #[must_use]
    pub fn references(&self) -> Vec<(String, Key)> {
        let one = |field: &str, kind, name: &id::Object| {
            vec![(
                field.to_owned(),
                Key {
                    kind,
                    name: name.clone(),
                },
            )]
        };
        let many = |field: &str, kind, names: &[id::Object]| {
            let key = |(index, name): (usize, &id::Object)| {
                (
                    format!("{field}[{index}]"),
                    Key {
                        kind,
                        name: name.clone(),
                    },
                )
            };
            names.iter().enumerate().map(key).collect::<Vec<_>>()
        };
        match self {
            Self::Domain(_) => Vec::new(),
            Self::Model(model) => one("serve", Kind::Version, &model.serve),
            Self::Version(version) => one("model", Kind::Model, &version.model),
            Self::Pool(pool) => {
                let mut keys = one("model", Kind::Model, &pool.model);
                keys.extend(many("domains", Kind::Domain, &pool.domains));
                keys
            }
            Self::Service(service) => many("domains", Kind::Domain, &service.domains),
            Self::Trainer(trainer) => one("model", Kind::Model, &trainer.model),
            Self::Price(price) => one("model", Kind::Model, &price.model),
            Self::Rule(rule) => match rule {
                Rule::Once { service, .. } => one("service", Kind::Service, service),
                Rule::Staleness { trainer, .. } | Rule::Hedge { trainer, .. } => {
                    one("trainer", Kind::Trainer, trainer)
                }
                Rule::Allowed { model, versions } => {
                    let mut keys = one("model", Kind::Model, model);
                    keys.extend(many("versions", Kind::Version, versions));
                    keys
                }
                Rule::Retry { .. } => Vec::new(),
            },
        }
    }
}

/// The concurrency of a server if its pool or service does not set it.
fn default_concurrency() -> u32 {
    8
}
