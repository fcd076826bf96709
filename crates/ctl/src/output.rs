//! Prints results as tables for people or as JSON for programs.

use serde::Serialize;
use tamaracksail_process::settings::Parser;

/// The output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// A table with aligned columns.
    Table,
    /// Indented JSON.
    Json,
}

/// Returns the output format given with `-o`, by default a table.
pub fn format(parser: &mut Parser) -> Format {
    match parser.values::<String>("-o").first().map(String::as_str) {
        None | Some("table") => Format::Table,
        Some("json") => Format::Json,
        Some(other) => {
            parser.report_invalid("-o", &format!("{other:?}: must be table or json"));
            Format::Table
        }
    }
}

/// Prints a value as JSON, or its rows as a table.
pub fn print<T: Serialize>(format: Format, value: &T, header: &[&str], rows: &[Vec<String>]) {
    if format == Format::Json {
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
