//! Selects the end-to-end headers of an HTTP message.

use awc::http::header::HeaderMap;
use tamaracksail_wire::Header;

/// Headers that apply to a single connection.
const HOP_BY_HOP: [&str; 7] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "te",
    "upgrade",
    "expect",
];

/// Returns the headers to forward: all but hop-by-hop headers and those named in `excluded`. A
/// header whose value is not text is dropped.
#[must_use]
pub fn end_to_end(headers: &HeaderMap, excluded: &[&str]) -> Vec<Header> {
    let is_forwarded = |name: &str| !HOP_BY_HOP.contains(&name) && !excluded.contains(&name);
    let forwarded = headers
        .iter()
        .filter(|(name, _)| is_forwarded(name.as_str()));
    let headers = forwarded.filter_map(|(name, value)| {
        let value = value.to_str().ok()?.to_owned();
        Some(Header {
            name: name.as_str().to_owned(),
            value,
        })
    });
    headers.collect()
}
