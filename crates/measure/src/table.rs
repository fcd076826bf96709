//! Prints Markdown tables and formats their values.

use std::time::Duration;

/// Prints the heading of a table and its header row.
pub fn print_header(title: &str, columns: &[&str]) {
    println!("\n## {title}\n");
    println!("| {} |", columns.join(" | "));
    println!("|{}", "---|".repeat(columns.len()));
}

/// Prints a row of a table.
pub fn print_row(cells: &[String]) {
    println!("| {} |", cells.join(" | "));
}

/// Formats a duration in milliseconds.
pub fn millis(duration: Duration) -> String {
    format!("{:.0} ms", duration.as_secs_f64() * 1000.0)
}

/// Formats a duration in seconds.
pub fn seconds(duration: Duration) -> String {
    format!("{:.1} s", duration.as_secs_f64())
}

/// Formats `part / whole` in percent, or 0% if `whole` is 0.
pub fn percent(part: f64, whole: f64) -> String {
    format!(
        "{:.1}%",
        if whole > 0.0 {
            part / whole * 100.0
        } else {
            0.0
        }
    )
}

/// Returns the value that a fraction `share` of the values are below, or zero if there are none.
pub fn quantile(values: &mut [Duration], share: f64) -> Duration {
    if values.is_empty() {
        return Duration::ZERO;
    }
    values.sort_unstable();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the index is small and not negative"
    )]
    #[expect(clippy::cast_precision_loss, reason = "the count is far below 2^52")]
    let rank = (values.len() as f64 * share) as usize;
    values[rank.min(values.len() - 1)]
}

/// Converts a count to a floating-point number.
#[expect(clippy::cast_precision_loss, reason = "counts here are far below 2^52")]
pub fn to_f64(count: usize) -> f64 {
    count as f64
}
