//! The encoding of messages by `rmp-serde`, after a byte with the revision of the message types and
//! with a limit on the size.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// The revision of the message types. A process rejects messages of another revision.
pub const REVISION: u8 = 1;

/// The maximum size of a message, in bytes: the platform's largest value and room for the envelope.
pub const MAX_BYTES: usize = 8 * 1024 * 1024;

/// Why bytes could not be decoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// There are no bytes.
    #[error("decode: the message is empty")]
    Empty,
    /// There are more than [`MAX_BYTES`].
    #[error("decode: the message has {0} bytes, more than {MAX_BYTES}")]
    TooLarge(usize),
    /// The sender's build has another revision of the message types.
    #[error("decode: message revision {0}, expected {REVISION}")]
    Revision(u8),
    /// Bytes follow the message.
    #[error("decode: {0} bytes follow the message")]
    Trailing(usize),
    /// The bytes are not a message of this type.
    #[error("decode: {0}")]
    Malformed(#[from] rmp_serde::decode::Error),
}

/// Encodes the revision byte and `message`.
///
/// # Panics
/// Never for the message types of this crate: all of them can be represented.
#[must_use]
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut bytes = vec![REVISION];
    let mut serializer = rmp_serde::Serializer::new(&mut bytes).with_struct_map();
    message
        .serialize(&mut serializer)
        .expect("message types can be represented");
    bytes
}

/// Decodes the message that `bytes` consist of.
///
/// # Errors
/// See [`Error`].
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    if bytes.len() > MAX_BYTES {
        return Err(Error::TooLarge(bytes.len()));
    }
    let (revision, mut body) = bytes.split_first().ok_or(Error::Empty)?;
    if *revision != REVISION {
        return Err(Error::Revision(*revision));
    }
    let message = rmp_serde::from_read(&mut body)?;
    if body.is_empty() {
        Ok(message)
    } else {
        Err(Error::Trailing(body.len()))
    }
}
