//! Status codes of HTTP responses.

/// Whether a status code ends an exchange. RFC 9110, section 15: codes have the classes 1xx to 5xx, of which
/// 1xx are interim. A response with any other code is no response to the request, whatever it says besides.
#[must_use]
pub const fn is_final(code: u16) -> bool {
    matches!(code, 200..=599)
}
