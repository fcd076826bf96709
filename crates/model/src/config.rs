//! The immutable snapshot of the configuration that every process holds.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id;
use crate::object::{Key, Kind, Pool, Rule, Service, Spec, Trainer};
use crate::outcome::Class;

/// The objects of a set by key.
pub type Objects = BTreeMap<Key, Spec>;

plain! {
    /// A whole, checked set of objects at one generation.
    #[derive(Default)]
    pub struct Snapshot {
        /// The generation.
        pub generation: id::Generation,
        /// The objects, in the order of their keys.
        #[serde(with = "entries")]
        pub objects: Objects,
    }
}

plain! {
    /// A trainer's staleness bound.
    pub struct StalenessBound {
        /// The most versions a sample may lie behind the newest.
        pub versions: u64,
        /// The most time since the sample was made.
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

    /// The pools that serve `model`.
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

    /// The pool of this name.
    #[must_use]
    pub fn pool(&self, name: &id::Object) -> Option<&Pool> {
        match self.get(Kind::Pool, name) {
            Some(Spec::Pool(pool)) => Some(pool),
            _ => None,
        }
    }

    /// The plain service of this name.
    #[must_use]
    pub fn service(&self, name: &id::Object) -> Option<&Service> {
        match self.get(Kind::Service, name) {
            Some(Spec::Service(service)) => Some(service),
            _ => None,
        }
    }

    /// The trainer of this name.
    #[must_use]
    pub fn trainer(&self, name: &id::Object) -> Option<&Trainer> {
        match self.get(Kind::Trainer, name) {
            Some(Spec::Trainer(trainer)) => Some(trainer),
            _ => None,
        }
    }

    /// The names of all models.
    pub fn models(&self) -> impl Iterator<Item = &id::Object> {
        self.objects.iter().filter_map(|(key, spec)| match spec {
            Spec::Model(_) => Some(&key.name),
            _ => None,
        })
    }

    /// The names of all trainers.
    pub fn trainers(&self) -> impl Iterator<Item = &id::Object> {
        let trainers = self.objects.keys().filter(|key| key.kind == Kind::Trainer);
        trainers.map(|key| &key.name)
    }

    /// The version that `model` is to serve.
    #[must_use]
    pub fn target_version(&self, model: &id::Object) -> Option<id::Version> {
        let Some(Spec::Model(spec)) = self.get(Kind::Model, model) else {
            return None;
        };
        self.version_number(&spec.serve)
    }

    /// The number of the version object `name`.
    #[must_use]
    pub fn version_number(&self, name: &id::Object) -> Option<id::Version> {
        match self.get(Kind::Version, name) {
            Some(Spec::Version(version)) => Some(version.number),
            _ => None,
        }
    }

    /// Whether a rule marks this call of a plain service as not repeatable.
    #[must_use]
    pub fn is_once(&self, service: &id::Object, method: &str, path: &str) -> bool {
        self.rules().any(|rule| match rule {
            Rule::Once {
                service: of,
                method: verb,
                prefix,
            } => of == service && verb.eq_ignore_ascii_case(method) && path.starts_with(prefix),
            _ => false,
        })
    }

    /// The staleness bound of `trainer`: the strictest of its rules.
    #[must_use]
    pub fn staleness_bound(&self, trainer: &id::Object) -> Option<StalenessBound> {
        let of_trainer = self.rules().filter_map(|rule| match rule {
            Rule::Staleness {
                trainer: of,
                versions,
                seconds,
            } if of == trainer => Some(StalenessBound {
                versions: *versions,
                age: *seconds,
            }),
            _ => None,
        });
        of_trainer.reduce(|a, b| StalenessBound {
            versions: a.versions.min(b.versions),
            age: a.age.min(b.age),
        })
    }

    /// Whether reviewers may score drafts of this version. Without a rule all are allowed;
    /// with several, each must allow it.
    #[must_use]
    pub fn is_scorable(&self, model: &id::Object, version: id::Version) -> bool {
        self.rules().all(|rule| match rule {
            Rule::Allowed {
                model: of,
                versions,
            } if of == model => versions
                .iter()
                .any(|name| self.version_number(name) == Some(version)),
            _ => true,
        })
    }

    /// The hedging rule of `trainer`: late percentile and cap, both in percent.
    #[must_use]
    pub fn hedge(&self, trainer: &id::Object) -> Option<(u32, u32)> {
        self.rules().find_map(|rule| match rule {
            Rule::Hedge {
                trainer: of,
                percentile,
                cap_percent,
            } if of == trainer => Some((*percentile, *cap_percent)),
            _ => None,
        })
    }

    /// The retry budget of `class`, in percent of first attempts.
    #[must_use]
    pub fn retry_percent(&self, class: Class) -> u32 {
        const DEFAULT_PERCENT: u32 = 10;
        let budget = self.rules().find_map(|rule| match rule {
            Rule::Retry {
                class: of,
                budget_percent,
            } if *of == class => Some(*budget_percent),
            _ => None,
        });
        budget.unwrap_or(DEFAULT_PERCENT)
    }

    /// The declared failure domains.
    pub fn domains(&self) -> impl Iterator<Item = &id::Object> {
        self.objects
            .keys()
            .filter(|key| key.kind == Kind::Domain)
            .map(|key| &key.name)
    }

    /// The requests that one server of a pool or service runs at a time.
    #[must_use]
    pub fn concurrency(&self, name: &id::Object) -> u32 {
        const DEFAULT: u32 = 8;
        let pool = self.pool(name).map(|pool| pool.concurrency);
        pool.or_else(|| self.service(name).map(|service| service.concurrency))
            .unwrap_or(DEFAULT)
    }
}

/// Stores the map as a list of entries, since JSON has only text keys.
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
