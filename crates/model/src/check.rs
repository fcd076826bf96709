//! The check of a whole set of objects. It reports every error, not only the first.

use std::collections::BTreeMap;
use std::fmt;

use crate::config::Objects;
use crate::id;
use crate::object::{Key, Kind, Rule, Spec};

plain! {
    /// An error in a set of objects.
    pub struct Error {
        /// The object that has the error.
        pub object: Key,
        /// The field of its spec.
        pub field: String,
        /// What is wrong.
        pub problem: String,
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.object, self.field, self.problem)
    }
}

/// Checks a whole set of objects.
///
/// # Errors
/// Every error found, sorted by object.
pub fn check(objects: &Objects) -> Result<(), Vec<Error>> {
    let mut errors = Vec::new();
    check_names(objects, &mut errors);
    check_pool_and_service_names(objects, &mut errors);
    check_references(objects, &mut errors);
    check_versions(objects, &mut errors);
    check_values(objects, &mut errors);
    errors.sort_by(|a, b| a.object.cmp(&b.object));
    if errors.is_empty() {
        Ok(())
    } else {
        Err(errors)
    }
}

fn error(object: &Key, field: &str, problem: impl Into<String>) -> Error {
    Error {
        object: object.clone(),
        field: field.to_owned(),
        problem: problem.into(),
    }
}

fn check_names(objects: &Objects, errors: &mut Vec<Error>) {
    const MAX_LEN: usize = 63;
    let is_name_char = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    for key in objects.keys() {
        let name = key.name.as_str();
        if name.is_empty() || name.len() > MAX_LEN || !name.chars().all(is_name_char) {
            let problem = "must be 1 to 63 of the characters a-z, 0-9 and '-'";
            errors.push(error(key, "name", problem));
        }
    }
}

/// Checks that no service has the name of a pool, since agents state only the name, not the kind, of
/// what they serve.
fn check_pool_and_service_names(objects: &Objects, errors: &mut Vec<Error>) {
    for key in objects.keys().filter(|key| key.kind == Kind::Service) {
        let pool = Key {
            kind: Kind::Pool,
            name: key.name.clone(),
        };
        if objects.contains_key(&pool) {
            errors.push(error(key, "name", format!("is also the name of {pool}")));
        }
    }
}

fn check_references(objects: &Objects, errors: &mut Vec<Error>) {
    for (key, spec) in objects {
        for (field, referenced) in spec.references() {
            if !objects.contains_key(&referenced) {
                errors.push(error(
                    key,
                    &field,
                    format!("refers to {referenced}, which does not exist"),
                ));
            }
        }
    }
}

fn check_versions(objects: &Objects, errors: &mut Vec<Error>) {
    let mut numbers: BTreeMap<(&id::Object, id::Version), &Key> = BTreeMap::new();
    for (key, spec) in objects {
        let Spec::Version(version) = spec else {
            continue;
        };
        if version.number.0 == 0 {
            errors.push(error(key, "number", "must be at least 1"));
        }
        if let Some(other) = numbers.insert((&version.model, version.number), key) {
            let problem = format!("{} is also the number of {other}", version.number.0);
            errors.push(error(key, "number", problem));
        }
    }
    for (key, spec) in objects {
        let (model, field, names) = match spec {
            Spec::Model(model) => (&key.name, "serve", vec![&model.serve]),
            Spec::Rule(Rule::Allowed { model, versions }) => {
                (model, "versions", versions.iter().collect())
            }
            _ => continue,
        };
        for name in names {
            let version = Key {
                kind: Kind::Version,
                name: name.clone(),
            };
            if let Some(Spec::Version(found)) = objects.get(&version)
                && found.model != *model
            {
                let problem = format!("{version} is a version of Model/{}", found.model);
                errors.push(error(key, field, problem));
            }
        }
    }
}

fn check_values(objects: &Objects, errors: &mut Vec<Error>) {
    for (key, spec) in objects {
        let mut require = |is_met: bool, field: &str, problem: &str| {
            if !is_met {
                errors.push(error(key, field, problem));
            }
        };
        match spec {
            Spec::Pool(pool) => {
                require(
                    !pool.domains.is_empty(),
                    "domains",
                    "must name at least one",
                );
                require(pool.concurrency > 0, "concurrency", "must be at least 1");
            }
            Spec::Service(service) => {
                require(
                    !service.domains.is_empty(),
                    "domains",
                    "must name at least one",
                );
                require(service.concurrency > 0, "concurrency", "must be at least 1");
            }
            Spec::Trainer(trainer) => {
                require(
                    (1..=4096).contains(&trainer.batch),
                    "batch",
                    "must be 1 to 4096",
                );
            }
            Spec::Domain(domain) => {
                require(!domain.region.is_empty(), "region", "must not be empty");
            }
            Spec::Rule(rule) => check_rule(rule, &mut require),
            Spec::Model(_) | Spec::Version(_) | Spec::Price(_) => {}
        }
    }
}

fn check_rule(rule: &Rule, require: &mut impl FnMut(bool, &str, &str)) {
    match rule {
        Rule::Once { method, prefix, .. } => {
            let is_method = !method.is_empty() && method.chars().all(|c| c.is_ascii_alphabetic());
            require(is_method, "method", "must be an HTTP method");
            require(prefix.starts_with('/'), "prefix", "must start with '/'");
        }
        Rule::Staleness { seconds, .. } => {
            require(!seconds.is_zero(), "seconds", "must be at least 1");
        }
        Rule::Hedge {
            percentile,
            cap_percent,
            ..
        } => {
            require(
                (50..=99).contains(percentile),
                "percentile",
                "must be 50 to 99",
            );
            require(*cap_percent <= 100, "cap_percent", "must be at most 100");
        }
        Rule::Retry { budget_percent, .. } => {
            require(
                *budget_percent <= 100,
                "budget_percent",
                "must be at most 100",
            );
        }
        Rule::Allowed { versions, .. } => {
            require(!versions.is_empty(), "versions", "must name at least one");
        }
    }
}
