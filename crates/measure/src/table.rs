//! Tables in Markdown.

use std::time::Duration;

/// Prints a heading and the header of a table.
pub fn head(title: &str, columns: &[&str]) {
    println!("\n## {title}\n");
    println!("| {} |", columns.join(" | "));
    println!("|{}", "---|".repeat(columns.len()));
}

/// Prints a row.
pub fn row(cells: &[String]) {
    println!("| {} |", cells.join(" | "));
}

/// A duration in milliseconds.
pub fn millis(duration: Duration) -> String {
    format!("{:.0} ms", duration.as_secs_f64() * 1000.0)
}

/// A duration in seconds.
pub fn seconds(duration: Duration) -> String {
    format!("{:.1} s", duration.as_secs_f64())
}

/// A share in percent.
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

/// The value below which a share of the values lies.
pub fn quantile(values: &mut [Duration], share: f64) -> Duration {
    if values.is_empty() {
        return Duration::ZERO;
    }
    values.sort_unstable();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a small index"
    )]
    #[expect(clippy::cast_precision_loss, reason = "a small count")]
    let rank = (values.len() as f64 * share) as usize;
    values[rank.min(values.len() - 1)]
}

/// A count as a floating-point number.
#[expect(clippy::cast_precision_loss, reason = "counts here are far below 2^52")]
pub fn real(count: usize) -> f64 {
    count as f64
}
