//! Manifests: YAML files of several documents, each `kind`, `name`, `spec`.

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
        /// The file.
        pub file: String,
        /// The object, or the place of its document if it has no name.
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

/// The parsed files of one set.
#[derive(Clone, Debug, Default)]
pub struct Set {
    /// The objects.
    pub objects: Objects,
    files: BTreeMap<Key, String>,
    errors: Vec<Error>,
}

impl Set {
    /// Adds the documents of one file; its errors are kept for [`Set::finish`].
    pub fn add(&mut self, file: &str, text: &str) {
        for (index, document) in serde_yaml_ng::Deserializer::from_str(text).enumerate() {
            let place = format!("document {}", index + 1);
            match Value::deserialize(document) {
                Ok(Value::Null) => {}
                Ok(value) => self.add_document(file, &place, &value),
                Err(error) => {
                    // The parser cannot find the next document behind an error.
                    let problem = format!("{error}; the rest of the file was not read");
                    return self.fail(file, &place, "-", &problem);
                }
            }
        }
    }

    fn fail(&mut self, file: &str, object: &str, field: &str, problem: &str) {
        self.errors.push(Error {
            file: file.to_owned(),
            object: object.to_owned(),
            field: field.to_owned(),
            problem: problem.to_owned(),
        });
    }

    fn add_document(&mut self, file: &str, place: &str, document: &Value) {
        let Some(fields) = document.as_object() else {
            return self.fail(file, place, "-", "must have kind, name and spec");
        };
        let name = fields.get("name").and_then(Value::as_str);
        let kind = fields.get("kind").and_then(Value::as_str);
        let label = match (kind, name) {
            (Some(kind), Some(name)) => format!("{kind}/{name}"),
            _ => place.to_owned(),
        };
        for field in fields.keys() {
            if !["kind", "name", "spec"].contains(&field.as_str()) {
                self.fail(file, &label, field, "unknown field");
            }
        }
        if name.is_none() {
            self.fail(file, &label, "name", "must be text");
        }
        let parsed = kind.and_then(Kind::parse);
        if parsed.is_none() {
            let problem = format!("must be one of {:?}", Kind::ALL);
            self.fail(file, &label, "kind", &problem);
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
                    self.fail(file, &label, &field, &problem);
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
            return self.fail(file, &key.to_string(), "name", &problem);
        }
        self.files.insert(key.clone(), file.to_owned());
        self.objects.insert(key, spec);
    }

    /// The objects, checked as a whole.
    ///
    /// # Errors
    /// Every error of every file, each with file, object and field.
    pub fn finish(self) -> Result<Objects, Vec<Error>> {
        self.finish_with(&Objects::new())
    }

    /// The objects, checked as a whole with those of `beside` that they do not replace.
    ///
    /// # Errors
    /// Every error, each with file, object and field.
    pub fn finish_with(self, beside: &Objects) -> Result<Objects, Vec<Error>> {
        let mut errors = self.errors;
        let mut whole = beside.clone();
        whole.extend(
            self.objects
                .iter()
                .map(|(key, spec)| (key.clone(), spec.clone())),
        );
        if let Err(found) = check::check(&whole) {
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

/// Decodes a spec and lists the problem of every field, not only of the first.
///
/// The decoder stops at its first error, so a wrong field is recorded and then replaced by a
/// value of the right type before the next try.
fn decode_spec(kind: Kind, mut spec: Value) -> Result<Spec, Vec<(String, String)>> {
    const MAX_ERRORS: usize = 32;
    let mut errors: Vec<(String, String)> = Vec::new();
    while errors.len() < MAX_ERRORS {
        let Err((field, problem)) = try_spec(kind, &spec) else {
            break;
        };
        let repaired = repair(kind, &mut spec, &field, &problem);
        errors.push((field, problem));
        if !repaired {
            break;
        }
    }
    if errors.is_empty() {
        try_spec(kind, &spec).map_err(|error| vec![error])
    } else {
        Err(errors)
    }
}

fn try_spec(kind: Kind, spec: &Value) -> Result<Spec, (String, String)> {
    let whole = serde_json::json!({ "kind": kind, "spec": spec });
    match serde_json::from_value::<Spec>(whole) {
        Ok(decoded) => Ok(decoded),
        Err(error) => Err((
            blamed_field(kind, spec, &error.to_string()),
            error.to_string(),
        )),
    }
}

/// The field an error is about: the one it quotes, or the one whose removal changes the error.
fn blamed_field(kind: Kind, spec: &Value, problem: &str) -> String {
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
        let whole = serde_json::json!({ "kind": kind, "spec": without });
        let rest = serde_json::from_value::<Spec>(whole)
            .map(|_| ())
            .map_err(|e| e.to_string());
        if rest != Err(problem.to_owned()) {
            return field.clone();
        }
    }
    "spec".to_owned()
}

/// Removes a field that is unknown, or replaces it by the first value with which the error
/// moves elsewhere.
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
        let tried = try_spec(kind, &Value::Object(fields.clone()));
        if !matches!(tried, Err((blamed, _)) if blamed == field) {
            return true;
        }
    }
    false
}
