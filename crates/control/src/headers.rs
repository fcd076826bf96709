//! Headers that are passed from end to end.

use awc::http::header::HeaderMap;
use tamaracksail_wire::Header;

/// Headers that belong to one connection.
const HOP_BY_HOP: [&str; 7] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "te",
    "upgrade",
    "expect",
];

/// The headers of a message, but those of its connection and the `others`.
#[must_use]
pub fn end_to_end(headers: &HeaderMap, others: &[&str]) -> Vec<Header> {
    let is_passed = |name: &str| !HOP_BY_HOP.contains(&name) && !others.contains(&name);
    let kept = headers.iter().filter(|(name, _)| is_passed(name.as_str()));
    let headers = kept.filter_map(|(name, value)| {
        let value = value.to_str().ok()?.to_owned();
        Some(Header {
            name: name.as_str().to_owned(),
            value,
        })
    });
    headers.collect()
}
