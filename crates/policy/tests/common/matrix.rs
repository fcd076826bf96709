//! The fault matrix: every fault at every step, and pairs of faults at neighbouring steps.

use std::collections::BTreeMap;
use std::fmt::{Debug, Write};

/// The faults to inject, by position in a trace.
pub type Schedule<F> = BTreeMap<usize, F>;

/// Returns a table with a row for every fault at the first occurrence of every step of a trace.
pub fn table<F: Copy + Debug>(
    trace: &[&'static str],
    faults: &[F],
    cell: impl Fn(Schedule<F>) -> String,
) -> String {
    let step_width = trace.iter().map(|step| step.len()).max().unwrap_or(0);
    let names = faults.iter().map(|fault| format!("{fault:?}").len());
    let fault_width = names.max().unwrap_or(0);
    let mut table = String::new();
    let mut seen = Vec::new();
    for (position, step) in trace.iter().enumerate() {
        if seen.contains(step) {
            continue;
        }
        seen.push(step);
        for fault in faults {
            let outcome = cell(BTreeMap::from([(position, *fault)]));
            let name = format!("{fault:?}");
            writeln!(table, "{step:step_width$}  {name:fault_width$}  {outcome}")
                .expect("memory can be written");
        }
    }
    table
}

/// Runs every ordered pair of faults, the second one at the step after the first, over the first
/// `steps` steps. The pairs include each fault with itself.
pub fn check_pairs<F: Copy + Debug>(
    steps: usize,
    faults: &[F],
    violations: impl Fn(Schedule<F>) -> Vec<String>,
) {
    for position in 0..steps {
        for first in faults {
            for second in faults {
                let found = violations(BTreeMap::from([
                    (position, *first),
                    (position + 1, *second),
                ]));
                assert!(
                    found.is_empty(),
                    "step {position}, {first:?} then {second:?}: {found:?}"
                );
            }
        }
    }
}

/// Returns the table cell of a run: the violated guarantees, or "held" if there are none.
pub fn held(violations: &[String]) -> String {
    if violations.is_empty() {
        "held".to_owned()
    } else {
        violations.join(", ")
    }
}
