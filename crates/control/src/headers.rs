//! Selects the end-to-end headers of an HTTP message.

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

/// Returns the headers to forward, given the names in lower case and the values of all headers: all but
/// hop-by-hop headers and those named in `excluded`. A header whose value is not text is dropped.
#[must_use]
pub fn end_to_end<'a>(
    headers: impl Iterator<Item = (&'a str, &'a [u8])>,
    excluded: &[&str],
) -> Vec<Header> {
    let is_forwarded = |name: &str| !HOP_BY_HOP.contains(&name) && !excluded.contains(&name);
    let forwarded = headers.filter(|(name, _)| is_forwarded(name));
    let headers = forwarded.filter_map(|(name, value)| {
        let is_text = |byte: &u8| *byte == b'\t' || (32..127).contains(byte);
        if !value.iter().all(is_text) {
            return None;
        }
        Some(Header {
            name: name.to_owned(),
            value: String::from_utf8(value.to_owned()).ok()?,
        })
    });
    headers.collect()
}
