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
        /// A weight version of a model.
        Version,
        /// A pool of engines that serve a model.
        Pool,
        /// A plain service.
        Service,
        /// A trainer.
        Trainer,
        /// A rule that binds other objects.
        Rule,
        /// What a model's tokens cost.
        Price,
    }
}

impl Kind {
    /// Every kind.
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

    /// Parses the text form, as in a manifest.
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

/// An object's kind and name, by which others refer to it.
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
        /// The region it lies in.
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
    /// A weight version of a model.
    #[serde(deny_unknown_fields)]
    pub struct Version {
        /// The model.
        pub model: id::Object,
        /// The number; later versions have higher ones.
        pub number: id::Version,
    }
}

plain! {
    /// A pool of engines.
    #[serde(deny_unknown_fields)]
    pub struct Pool {
        /// The model that its engines serve.
        pub model: id::Object,
        /// The failure domains its hosts stand in.
        pub domains: Vec<id::Object>,
        /// Whether its engines refuse an order with an old fencing number.
        pub checks_orders: bool,
        /// The requests that one server runs at a time.
        #[serde(default = "default_concurrency")]
        pub concurrency: u32,
    }
}

plain! {
    /// A plain service.
    #[serde(deny_unknown_fields)]
    pub struct Service {
        /// The failure domains its hosts stand in.
        pub domains: Vec<id::Object>,
        /// The requests that one server runs at a time.
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
        /// The most samples of one batch.
        pub batch: u32,
        /// Whether a sample must have a score before it is handed over.
        #[serde(default)]
        pub scored: bool,
    }
}

/// What a rule demands.
#[serde_as]
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Rule {
    /// Requests that match are not repeatable.
    Once {
        /// The plain service.
        service: id::Object,
        /// The HTTP method.
        method: String,
        /// The start of the path below the service.
        prefix: String,
    },
    /// The oldest sample that a trainer may receive.
    Staleness {
        /// The trainer.
        trainer: id::Object,
        /// The most versions a sample may lie behind the newest.
        versions: u64,
        /// The most time since the sample was made, in seconds.
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
    /// When a straggling sample is sent a second time.
    Hedge {
        /// The trainer.
        trainer: id::Object,
        /// The quantile of the latency after which a sample is late, in percent.
        percentile: u32,
        /// The most second copies, in percent of a step's samples.
        cap_percent: u32,
    },
    /// How many retries the traffic of a class may cause.
    Retry {
        /// The class.
        class: Class,
        /// Retries in percent of first attempts.
        budget_percent: u32,
    },
}

plain! {
    /// What a model's tokens cost.
    #[serde(deny_unknown_fields)]
    pub struct Price {
        /// The model.
        pub model: id::Object,
        /// The price of a million generated tokens, in thousandths of the currency.
        pub millis_per_million_tokens: u64,
    }
}

plain! {
    /// What an object declares, by kind.
    #[serde(tag = "kind", content = "spec")]
    pub enum Spec {
        /// A failure domain.
        Domain(Domain),
        /// A model.
        Model(Model),
        /// A weight version.
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
    /// The kind of the object.
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

    /// The objects that this one refers to, each with the field that names it.
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

/// The concurrency of a server whose pool does not say.
fn default_concurrency() -> u32 {
    8
}
