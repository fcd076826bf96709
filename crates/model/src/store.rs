//! Calls of the state machines to the platform's object API.

use std::borrow::Cow;
use std::fmt;

use crate::id::Revision;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

/// The maximum size of a value on the platform, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

key! {
    /// The id of a call, unique within one state machine. The reply carries the same id.
    pub struct CallId(pub u64);
}

plain! {
    /// An operation on an object.
    pub enum Op {
        /// Read it.
        Get,
        /// Replace it if it is still at `revision`. Revision zero creates it.
        Put {
            /// The revision that the object must have.
            revision: Revision,
            /// The new value.
            value: Vec<u8>,
        },
    }
}

plain! {
    /// A call.
    pub struct Call {
        /// Its id.
        #[serde(rename = "ticket")]
        pub call_id: CallId,
        /// The key of the object.
        pub key: String,
        /// The operation.
        pub op: Op,
    }
}

plain! {
    /// The result of a call.
    pub enum CallResult {
        /// The object's value.
        Value {
            /// Its revision.
            revision: Revision,
            /// The value.
            value: Vec<u8>,
        },
        /// The object does not exist.
        Missing,
        /// The write took effect.
        Written {
            /// The new revision.
            revision: Revision,
        },
        /// The object is at another revision; nothing was written.
        Conflict,
        /// No response was received. A write may have taken effect.
        Lost,
    }
}

plain! {
    /// The reply to a call.
    pub struct Reply {
        /// The id of the call.
        #[serde(rename = "ticket")]
        pub call_id: CallId,
        /// The result of the call.
        #[serde(rename = "answer")]
        pub result: CallResult,
    }
}

/// Generates call ids.
#[derive(Clone, Debug, Default)]
pub struct CallIds(u64);

impl CallIds {
    /// Returns an id that was not issued before.
    pub fn issue(&mut self) -> CallId {
        self.0 += 1;
        CallId(self.0)
    }
}

/// A stored value could not be decoded.
#[derive(Debug, thiserror::Error)]
#[error("read {key}: {source}")]
pub struct Error {
    key: String,
    source: serde_json::Error,
}

/// Decodes a stored value.
///
/// # Errors
/// If the value does not have this type.
pub fn decode<T: DeserializeOwned>(key: &str, value: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(value).map_err(|source| Error {
        key: key.to_owned(),
        source,
    })
}

/// Decodes the entries of a stored list. Also returns why others could not be decoded: one odd entry must not
/// hide the rest.
///
/// # Errors
/// If the value is no list.
pub fn decode_entries<T: DeserializeOwned>(
    key: &str,
    value: &[u8],
) -> Result<(Vec<T>, Vec<Error>), Error> {
    let failed = |source| Error {
        key: key.to_owned(),
        source,
    };
    let text = readable_text(value);
    let entries: Vec<&RawValue> = serde_json::from_str(&text).map_err(failed)?;
    let mut decoded = Vec::new();
    let mut errors = Vec::new();
    for entry in entries {
        match serde_json::from_str(entry.get()) {
            Ok(entry) => decoded.push(entry),
            Err(error) => errors.push(failed(error)),
        }
    }
    Ok((decoded, errors))
}

/// What stands in place of bytes that are not UTF-8: an escape that no string may have alone, so that only
/// the string with these bytes is malformed, and not the whole value.
const UNREADABLE: &str = "\\ud800";

/// Returns JSON as text, also if it has bytes that are not UTF-8.
#[must_use]
pub fn readable_text(json: &[u8]) -> Cow<'_, str> {
    if let Ok(text) = std::str::from_utf8(json) {
        return Cow::Borrowed(text);
    }
    let mut text = String::with_capacity(json.len() + UNREADABLE.len());
    for chunk in json.utf8_chunks() {
        text.push_str(chunk.valid());
        if !chunk.invalid().is_empty() {
            text.push_str(UNREADABLE);
        }
    }
    Cow::Owned(text)
}

/// Encodes a value to store.
///
/// # Panics
/// Never for the types of this crate: all of them can be represented in JSON.
#[must_use]
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("stored types can be represented")
}

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ticket{}", self.0)
    }
}
