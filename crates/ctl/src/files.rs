//! Reads manifests from files and directories.

use std::path::{Path, PathBuf};

use tamaracksail_model::config::Objects;
use tamaracksail_model::manifest::Set;
use tamaracksail_process::settings::Parser;

use crate::Failure;

/// Returns the paths given with `-f` or `--file`. Reports an error if there are none.
pub fn paths(parser: &mut Parser) -> Vec<PathBuf> {
    let mut paths: Vec<PathBuf> = parser
        .values::<String>("-f")
        .into_iter()
        .map(Into::into)
        .collect();
    paths.extend(
        parser
            .values::<String>("--file")
            .into_iter()
            .map(PathBuf::from),
    );
    if paths.is_empty() {
        parser.report_invalid("-f", "missing");
    }
    paths
}

/// Appends `path`, or all YAML files below it if it is a directory, in sorted order.
fn collect_files(path: &Path, files: &mut Vec<PathBuf>) -> std::io::Result<()> {
    if !path.is_dir() {
        files.push(path.to_owned());
        return Ok(());
    }
    let mut entries: Vec<PathBuf> = std::fs::read_dir(path)?
        .map(|entry| Ok(entry?.path()))
        .collect::<std::io::Result<_>>()?;
    entries.sort();
    for entry in entries {
        let is_yaml = entry
            .extension()
            .is_some_and(|extension| extension == "yaml" || extension == "yml");
        if entry.is_dir() || is_yaml {
            collect_files(&entry, files)?;
        }
    }
    Ok(())
}

/// Parses all files into one set. References between objects are not checked yet.
///
/// # Errors
/// Lists the paths that cannot be read.
pub fn read(paths: &[PathBuf]) -> Result<Set, Failure> {
    let mut files = Vec::new();
    let mut problems = Vec::new();
    for path in paths {
        if let Err(error) = collect_files(path, &mut files) {
            problems.push(format!("{}: {error}", path.display()));
        }
    }
    let mut set = Set::default();
    for file in &files {
        match std::fs::read_to_string(file) {
            Ok(text) => set.add(&file.display().to_string(), &text),
            Err(error) => problems.push(format!("{}: {error}", file.display())),
        }
    }
    if files.is_empty() && problems.is_empty() {
        problems.push("no manifest found".to_owned());
    }
    if problems.is_empty() {
        Ok(set)
    } else {
        Err(Failure::Refused(problems))
    }
}

/// Checks a set together with the existing objects that it will be merged with.
///
/// # Errors
/// Lists all errors, each with its file, object and field.
pub fn check(set: Set, existing: &Objects) -> Result<Objects, Failure> {
    set.finish_with(existing)
        .map_err(|errors| Failure::Refused(errors.iter().map(ToString::to_string).collect()))
}
