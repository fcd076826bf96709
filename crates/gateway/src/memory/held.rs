//! Bytes that carry their reservation.

use bytes::Bytes;
use tamaracksail_policy::memory::Reservation;

/// Bytes with their reservation.
struct Held<T> {
    bytes: T,
    _reservation: Reservation,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Held<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// Returns bytes that release a reservation when the last of their clones is dropped.
pub fn hold<T: AsRef<[u8]> + Send + 'static>(bytes: T, reservation: Reservation) -> Bytes {
    Bytes::from_owner(Held {
        bytes,
        _reservation: reservation,
    })
}
