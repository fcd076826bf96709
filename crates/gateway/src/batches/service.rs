//! The service that runs the items of a batch.

use tamaracksail_model::batch::SubmissionRoute;
use tamaracksail_model::route::Target;
use tamaracksail_model::table::{Table, draw_target};

/// Returns a service of the route of a batch: `preferred` if the route names it, or else one that is drawn
/// at random by weight.
pub(super) fn resolve_service(
    table: &Table,
    submission: &SubmissionRoute,
    preferred: Option<&str>,
) -> Option<String> {
    let targets = &table.find_submission(submission)?.targets;
    let is_preferred =
        |target: &&Target| target.weight > 0 && preferred == Some(target.service.as_str());
    let target = targets.iter().find(is_preferred);
    let target = target.or_else(|| draw_target(targets, rand::random()))?;
    Some(target.service.clone())
}
