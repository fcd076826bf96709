//! What is known of the free slots of a service.

use std::time::Duration;

/// How the demand of other gateways, in requests that want a slot for each that has one, is derived
/// from that of this gateway: its power to this. At 1, shares would never move; at 0, the servers
/// would have to queue as many requests as they run.
const OTHERS_DEMAND_EXPONENT: f64 = 0.5;

/// What is known of the free slots of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// The slots of the servers that requests are sent to; 0 if no server is known.
    pub slots: u32,
    /// The slots among them that no request is known to use.
    pub free: u32,
    /// Requests of other gateways that run or wait at the servers, by their recent load figures.
    pub others: u32,
    /// The age of the oldest of these figures.
    pub age: Duration,
}

impl Room {
    /// Returns the number of slots that a gateway may use at once while the service is full: its
    /// part of all requests that want one. `running` and `waiting` are the numbers of its own. At
    /// least 1, so that each gateway learns of the load from responses to its own requests.
    ///
    /// The waiting requests of other gateways are not known. It is assumed that they have fewer for
    /// each running one than this gateway has, so that slots move to the gateways with longer queues.
    /// Were none assumed, all gateways together would use twice the slots.
    #[must_use]
    pub fn share(self, running: u32, waiting: u32) -> u32 {
        let running = f64::from(running.max(1));
        let demand = (running + f64::from(waiting)) / running;
        let others = f64::from(self.others) * demand.powf(OTHERS_DEMAND_EXPONENT);
        let own = running * demand;
        let share = f64::from(self.slots) * own / (own + others);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let share = share.round() as u32;
        share.max(1)
    }
}
