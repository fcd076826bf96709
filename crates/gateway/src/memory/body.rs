//! Reading of bodies within the budget.

use std::fmt;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tamaracksail_policy::memory::{Budget, Exhausted, Use};

use super::hold;

/// The bytes that are reserved at first for a body that does not state its length.
const FIRST_BYTES: usize = 16 << 10;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It is longer than allowed.
    TooLong,
    /// It broke off.
    Broken,
    /// It does not fit into the budget. A body that states its length is not read at all then.
    Exhausted(Exhausted),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong => f.write_str("the body is too long"),
            Self::Broken => f.write_str("the body broke off"),
            Self::Exhausted(error) => error.fmt(f),
        }
    }
}

/// Reads a body of at most `max_bytes`, which carries its reservation.
///
/// The bytes are collected in one buffer of the stated length, so that no more than the reserved
/// bytes are held at any time.
///
/// # Errors
/// If the body is too long, breaks off or does not fit.
pub async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    budget: &Budget,
    kind: Use,
    account: Option<&str>,
) -> Result<Bytes, Refusal> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let stated = body.size_hint().exact();
    let stated = stated.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if stated.is_some_and(|length| length > max_bytes) {
        return Err(Refusal::TooLong);
    }
    let mut capacity = stated.unwrap_or(FIRST_BYTES);
    let reserved = budget.reserve(kind, account, capacity as u64);
    let mut reservation = reserved.map_err(Refusal::Exhausted)?;
    let mut bytes = Vec::with_capacity(capacity);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| Refusal::Broken)?.into_data() else {
            continue;
        };
        let length = bytes.len() + data.len();
        if length > max_bytes {
            return Err(Refusal::TooLong);
        }
        if length > capacity {
            capacity = length.max(capacity * 2).min(max_bytes);
            let grown = reservation.grow_to(capacity as u64);
            grown.map_err(Refusal::Exhausted)?;
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
    Ok(hold(bytes, reservation))
}
