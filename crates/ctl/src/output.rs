//! Tables for people, JSON for programs.

use serde::Serialize;
use tamaracksail_process::settings::Parser;

/// The form of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// A table.
    Table,
    /// JSON.
    Json,
}

/// Reads `-o`.
pub fn form(parser: &mut Parser) -> Form {
    match parser.values::<String>("-o").first().map(String::as_str) {
        None | Some("table") => Form::Table,
        Some("json") => Form::Json,
        Some(other) => {
            parser.report_invalid("-o", &format!("{other:?}: must be table or json"));
            Form::Table
        }
    }
}

/// Prints a value as JSON, or its rows as a table.
pub fn print<T: Serialize>(form: Form, value: &T, header: &[&str], rows: &[Vec<String>]) {
    if form == Form::Json {
        println!(
            "{}",
            serde_json::to_string_pretty(value).unwrap_or_default()
        );
        return;
    }
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let line = |cells: Vec<&str>| {
        let padded = cells
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"));
        println!("{}", padded.collect::<Vec<_>>().join("  ").trim_end());
    };
    line(header.to_vec());
    for row in rows {
        line(row.iter().map(String::as_str).collect());
    }
}
