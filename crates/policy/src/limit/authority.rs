//! Who grants permits.

/// Where a gateway gets permits from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Authority {
    /// This process grants permits, to itself and to others.
    Own {
        /// The share of the limits that it grants.
        share: f64,
    },
    /// Another process grants permits.
    Peer,
    /// No process that grants permits is reachable.
    Unreachable {
        /// The number of gateways that share the limits; `None` if it isn't known, in which case no
        /// permit is available.
        gateways: Option<u32>,
    },
}
