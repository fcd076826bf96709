//! Manifests: YAML files of one or more documents, each with `kind`, `name` and `spec`.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde_json::Value;

use crate::check;
use crate::config::Objects;
use crate::id;
use crate::object::{Key, Kind, Spec};

plain! {
    /// An error in a manifest.
    pub struct Error {
        /// The file, or `(in force)` for an error in an existing object.
        pub file: String,
        /// The object, or the position of its document if it has no kind or no name.
        pub object: String,
        /// The field.
        pub field: String,
        /// What is wrong.
        pub problem: String,
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {}: {}: {}",
            self.file, self.object, self.field, self.problem
        )
    }
}

/// The parsed files of one set of objects.
#[derive(Clone, Debug, Default)]
pub struct Set {
    /// The objects.
    pub objects: Objects,
    files: BTreeMap<Key, String>,
    errors: Vec<Error>,
}

impl Set {
    /// Adds the documents of one file. [`Set::finish`] returns the errors that are found in them.
    pub fn add(&mut self, file: &str, text: &str) {
        for (index, document) in serde_yaml_ng::Deserializer::from_str(text).enumerate() {
            let position = format!("document {}", index + 1);
            match Value::deserialize(document) {
                Ok(Value::Null) => {}
                Ok(value) => self.add_document(file, &position, &value),
                Err(error) => {
                    // The parser can't find the next document after an error.
                    let problem = format!("{error}; the rest of the file was not read");
                    return self.add_error(file, &position, "-", &problem);
                }
            }
        }
    }

    fn add_error(&mut self, file: &str, object: &str, field: &str, problem: &str) {
        self.errors.push(Error {
            file: file.to_owned(),
            object: object.to_owned(),
            field: field.to_owned(),
            problem: problem.to_owned(),
        });
    }

    fn add_document(&mut self, file: &str, position: &str, document: &Value) {
        let Some(fields) = document.as_object() else {
            return self.add_error(file, position, "-", "must have kind, name and spec");
        };
        let name = fields.get("name").and_then(Value::as_str);
        let kind = fields.get("kind").and_then(Value::as_str);
        let label = match (kind, name) {
            (Some(kind), Some(name)) => format!("{kind}/{name}"),
            _ => position.to_owned(),
        };
        for field in fields.keys() {
            if !["kind", "name", "spec"].contains(&field.as_str()) {
                self.add_error(file, &label, field, "unknown field");
            }
        }
        if name.is_none() {
            self.add_error(file, &label, "name", "must be text");
        }
        let parsed = kind.and_then(Kind::parse);
        if parsed.is_none() {
            let problem = format!("must be one of {:?}", Kind::ALL);
            self.add_error(file, &label, "kind", &problem);
        }
        let (Some(kind), Some(name)) = (parsed, name) else {
            return;
        };
        let spec = fields
            .get("spec")
            .cloned()
            .unwrap_or(Value::Object(serde_json::Map::new()));
        match decode_spec(kind, spec) {
            Ok(spec) => self.insert(file, kind, name, spec),
            Err(errors) => {
                for (field, problem) in errors {
                    self.add_error(file, &label, &field, &problem);
                }
            }
        }
    }

    fn insert(&mut self, file: &str, kind: Kind, name: &str, spec: Spec) {
        let key = Key {
            kind,
            name: id::Object::from(name),
        };
        if let Some(first) = self.files.get(&key) {
            let problem = format!("declared twice, first in {first}");
            return self.add_error(file, &key.to_string(), "name", &problem);
        }
        self.files.insert(key.clone(), file.to_owned());
        self.objects.insert(key, spec);
    }

    /// Checks the objects as a whole and returns them.
    ///
    /// # Errors
    /// Every error of every file.
    pub fn finish(self) -> Result<Objects, Vec<Error>> {
        self.finish_with(&Objects::new())
    }

    /// Checks the objects together with those of `existing` that they do not replace, and returns
    /// them without the existing ones.
    ///
    /// # Errors
    /// Every error of every file and of the existing objects.
    pub fn finish_with(self, existing: &Objects) -> Result<Objects, Vec<Error>> {
        let mut errors = self.errors;
        let mut combined = existing.clone();
        combined.extend(
            self.objects
                .iter()
                .map(|(key, spec)| (key.clone(), spec.clone())),
        );
        if let Err(found) = check::check(&combined) {
            errors.extend(found.into_iter().map(|error| {
                Error {
                    file: self
                        .files
                        .get(&error.object)
                        .cloned()
                        .unwrap_or("(in force)".to_owned()),
                    object: error.object.to_string(),
                    field: error.field,
                    problem: error.problem,
                }
            }));
        }
        if errors.is_empty() {
            Ok(self.objects)
        } else {
            Err(errors)
        }
    }
}

/// Decodes a spec and reports the errors of all fields, not only of the first.
///
/// The decoder stops at its first error. So a field with an error is recorded and then removed or
/// replaced by a value of the right type, and the spec is decoded again.
fn decode_spec(kind: Kind, mut spec: Value) -> Result<Spec, Vec<(String, String)>> {
    const MAX_ERRORS: usize = 32;
    let mut errors: Vec<(String, String)> = Vec::new();
    while errors.len() < MAX_ERRORS {
        let Err((field, problem)) = decode_spec_once(kind, &spec) else {
            break;
        };
        let repaired = repair(kind, &mut spec, &field, &problem);
        errors.push((field, problem));
        if !repaired {
            break;
        }
    }
    if errors.is_empty() {
        decode_spec_once(kind, &spec).map_err(|error| vec![error])
    } else {
        Err(errors)
    }
}

/// Decodes a spec and returns the first error, as a field and what is wrong with it.
fn decode_spec_once(kind: Kind, spec: &Value) -> Result<Spec, (String, String)> {
    let tagged = serde_json::json!({ "kind": kind, "spec": spec });
    match serde_json::from_value::<Spec>(tagged) {
        Ok(decoded) => Ok(decoded),
        Err(error) => Err((
            field_in_error(kind, spec, &error.to_string()),
            error.to_string(),
        )),
    }
}

/// Returns the field that caused an error: the one that the error quotes, or the one whose removal
/// changes the error.
fn field_in_error(kind: Kind, spec: &Value, problem: &str) -> String {
    let quoted = problem.split('`').nth(1).unwrap_or_default();
    if problem.starts_with("missing field") || problem.starts_with("unknown field") {
        return quoted.to_owned();
    }
    let Some(fields) = spec.as_object() else {
        return "spec".to_owned();
    };
    for field in fields.keys() {
        let mut without = fields.clone();
        without.remove(field);
        let tagged = serde_json::json!({ "kind": kind, "spec": without });
        let result = serde_json::from_value::<Spec>(tagged)
            .map(|_| ())
            .map_err(|e| e.to_string());
        if result != Err(problem.to_owned()) {
            return field.clone();
        }
    }
    "spec".to_owned()
}

/// Removes a field that is unknown, or replaces its value by the first one with which it causes no
/// error. Returns whether it succeeded.
fn repair(kind: Kind, spec: &mut Value, field: &str, problem: &str) -> bool {
    let Some(fields) = spec.as_object_mut() else {
        return false;
    };
    if problem.starts_with("unknown field") {
        return fields.remove(field).is_some();
    }
    let candidates = [
        serde_json::json!("once"),
        serde_json::json!(1),
        serde_json::json!(["x"]),
        serde_json::json!(true),
        serde_json::json!("interactive"),
    ];
    for candidate in candidates {
        fields.insert(field.to_owned(), candidate);
        let decoded = decode_spec_once(kind, &Value::Object(fields.clone()));
        if !matches!(decoded, Err((failing, _)) if failing == field) {
            return true;
        }
    }
    false
}
