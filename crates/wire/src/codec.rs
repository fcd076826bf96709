//! Encoding by `rmp-serde`, with the sender's build and a bound on size.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// The revision of the messages. A process refuses those of another revision.
pub const REVISION: u8 = 1;

/// The largest message, in bytes: the platform's largest value and room for the envelope.
pub const MAX_BYTES: usize = 8 * 1024 * 1024;

/// Why bytes are not a message.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Nothing was received.
    #[error("decode: the message is empty")]
    Empty,
    /// More than [`MAX_BYTES`].
    #[error("decode: the message has {0} bytes, more than {MAX_BYTES}")]
    TooLarge(usize),
    /// A build with other messages sent it.
    #[error("decode: message revision {0}, expected {REVISION}")]
    Revision(u8),
    /// Bytes follow the message.
    #[error("decode: {0} bytes follow the message")]
    Trailing(usize),
    /// The bytes do not hold a message of this type.
    #[error("decode: {0}")]
    Malformed(#[from] rmp_serde::decode::Error),
}

/// Encodes `message` behind the revision byte.
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

/// Decodes one message that fills `bytes`.
///
/// # Errors
/// See [`Error`]; nothing of the input is kept.
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
