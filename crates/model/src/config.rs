//! The immutable snapshot of the configuration that every process has.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id;
use crate::object::{Key, Kind, Pool, Rule, Service, Spec, Trainer};
use crate::outcome::Class;

/// A set of objects by key.
pub type Objects = BTreeMap<Key, Spec>;

plain! {
    /// The whole set of objects of one generation. It has passed [`check`](crate::check::check).
    #[derive(Default)]
    pub struct Snapshot {
        /// The generation.
        pub generation: id::Generation,
        /// The objects by key.
        #[serde(with = "entries")]
        pub objects: Objects,
    }
}

plain! {
    /// The limits on the age of the samples that a trainer receives.
    pub struct StalenessBound {
        /// The maximum number of versions by which the newest version may be ahead of the oldest one
        /// that generated a part of the sample.
        pub versions: u64,
        /// The maximum time since the sample was requested.
        pub age: Duration,
    }
}

impl Snapshot {
    fn get(&self, kind: Kind, name: &id::Object) -> Option<&Spec> {
        self.objects.get(&Key {
            kind,
            name: name.clone(),
        })
    }

    fn rules(&self) -> impl Iterator<Item = &Rule> {
        self.objects.values().filter_map(|spec| match spec {
            Spec::Rule(rule) => Some(rule),
            _ => None,
        })
    }

    /// Returns the pools that serve `model`.
    pub fn pools<'a>(
        &'a self,
        model: &'a id::Object,
    ) -> impl Iterator<Item = (&'a id::Object, &'a Pool)> {
        self.objects
            .iter()
            .filter_map(move |(key, spec)| match spec {
                Spec::Pool(pool) if pool.model == *model => Some((&key.name, pool)),
                _ => None,
            })
    }

    /// Returns the pool with this name.
    #[must_use]
    pub fn pool(&self, name: &id::Object) -> Option<&Pool> {
        match self.get(Kind::Pool, name) {
            Some(Spec::Pool(pool)) => Some(pool),
            _ => None,
        }
    }

    /// Returns the plain service with this name.
    #[must_use]
    pub fn service(&self, name: &id::Object) -> Option<&Service> {
        match self.get(Kind::Service, name) {
            Some(Spec::Service(service)) => Some(service),
            _ => None,
        }
    }

    /// Returns the trainer with this name.
    #[must_use]
    pub fn trainer(&self, name: &id::Object) -> Option<&Trainer> {
        match self.get(Kind::Trainer, name) {
            Some(Spec::Trainer(trainer)) => Some(trainer),
            _ => None,
        }
    }

    /// Returns the names of all models.
    pub fn models(&self) -> impl Iterator<Item = &id::Object> {
        self.objects.iter().filter_map(|(key, spec)| match spec {
            Spec::Model(_) => Some(&key.name),
            _ => None,
        })
    }

    /// Returns the names of all trainers.
    pub fn trainers(&self) -> impl Iterator<Item = &id::Object> {
        let trainers = self.objects.keys().filter(|key| key.kind == Kind::Trainer);
        trainers.map(|key| &key.name)
    }

    /// Returns the version that `model` should serve.
    #[must_use]
    pub fn target_version(&self, model: &id::Object) -> Option<id::Version> {
        let Some(Spec::Model(spec)) = self.get(Kind::Model, model) else {
            return None;
        };
        self.version_number(&spec.serve)
    }

    /// Returns the number of the version object `name`.
    #[must_use]
    pub fn version_number(&self, name: &id::Object) -> Option<id::Version> {
        match self.get(Kind::Version, name) {
            Some(Spec::Version(version)) => Some(version.number),
            _ => None,
        }
    }

    /// Returns whether a rule says that this call of a plain service must run at most once.
    #[must_use]
    pub fn is_once(&self, service: &id::Object, method: &str, path: &str) -> bool {
        self.rules().any(|rule| match rule {
            Rule::Once {
                service: rule_service,
                method: rule_method,
                prefix,
            } => {
                rule_service == service
                    && rule_method.eq_ignore_ascii_case(method)
                    && path.starts_with(prefix)
            }
            _ => false,
        })
    }

    /// Returns the staleness bound of `trainer`. If several rules apply, each limit is the strictest
    /// one.
    #[must_use]
    pub fn staleness_bound(&self, trainer: &id::Object) -> Option<StalenessBound> {
        let bounds = self.rules().filter_map(|rule| match rule {
            Rule::Staleness {
                trainer: rule_trainer,
                versions,
                seconds,
            } if rule_trainer == trainer => Some(StalenessBound {
                versions: *versions,
                age: *seconds,
            }),
            _ => None,
        });
        bounds.reduce(|a, b| StalenessBound {
            versions: a.versions.min(b.versions),
            age: a.age.min(b.age),
        })
    }

    /// Returns whether reviewers may score drafts of this version. Without a rule, all versions are
    /// allowed; if there are several rules, each must allow the version.
    #[must_use]
    pub fn is_scorable(&self, model: &id::Object, version: id::Version) -> bool {
        self.rules().all(|rule| match rule {
            Rule::Allowed {
                model: rule_model,
                versions,
            } if rule_model == model => versions
                .iter()
                .any(|name| self.version_number(name) == Some(version)),
            _ => true,
        })
    }

    /// Returns the hedging rule of `trainer`: the percentile of the latency after which a sample is
    /// late, and the limit on second copies in percent of a step's samples.
    #[must_use]
    pub fn hedge(&self, trainer: &id::Object) -> Option<(u32, u32)> {
        self.rules().find_map(|rule| match rule {
            Rule::Hedge {
                trainer: rule_trainer,
                percentile,
                cap_percent,
            } if rule_trainer == trainer => Some((*percentile, *cap_percent)),
            _ => None,
        })
    }

    /// Returns the retry budget of `class` in percent of first attempts.
    #[must_use]
    pub fn retry_percent(&self, class: Class) -> u32 {
        const DEFAULT_BUDGET_PERCENT: u32 = 10;
        let budget = self.rules().find_map(|rule| match rule {
            Rule::Retry {
                class: rule_class,
                budget_percent,
            } if *rule_class == class => Some(*budget_percent),
            _ => None,
        });
        budget.unwrap_or(DEFAULT_BUDGET_PERCENT)
    }

    /// Returns the names of all failure domains.
    pub fn domains(&self) -> impl Iterator<Item = &id::Object> {
        self.objects
            .keys()
            .filter(|key| key.kind == Kind::Domain)
            .map(|key| &key.name)
    }

    /// Returns the number of requests that one server of a pool or service runs at a time.
    #[must_use]
    pub fn concurrency(&self, name: &id::Object) -> u32 {
        const DEFAULT_CONCURRENCY: u32 = 8;
        let pool = self.pool(name).map(|pool| pool.concurrency);
        pool.or_else(|| self.service(name).map(|service| service.concurrency))
            .unwrap_or(DEFAULT_CONCURRENCY)
    }
}

/// Serialises the map as a list of pairs, since JSON allows only text as the keys of a map.
mod entries {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use super::{Key, Objects, Spec};

    pub(super) fn serialize<S: Serializer>(objects: &Objects, to: S) -> Result<S::Ok, S::Error> {
        objects.iter().collect::<Vec<_>>().serialize(to)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Objects, D::Error> {
        Ok(Vec::<(Key, Spec)>::deserialize(from)?.into_iter().collect())
    }
}
