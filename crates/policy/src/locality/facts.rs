//! What a decision about a share is based on.

use std::time::Duration;

/// The objective of lookups. Waiting close to it costs more than waiting far below it.
const OBJECTIVE_SECONDS: f64 = 0.15;

/// The seconds of waiting that a byte to another failure domain is worth: 1 ms for 64 KiB.
const SECONDS_PER_BYTE: f64 = 0.001 / 65_536.0;

/// The longest expected wait as a multiple of the service time. Servers have short queues.
const MAX_WAIT: f64 = 10.0;

/// A failure domain as a place for a service's requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Place {
    /// The failure domain.
    pub domain: String,
    /// How long a request takes at a server with free slots, with the way there and back.
    pub service_time: Duration,
    /// Running and waiting requests per slot, averaged over about a second.
    pub utilization: f64,
    /// Free slots.
    pub free: u32,
    /// The measured time for the way there and back, if requests went there.
    pub round_trip: Option<Duration>,
    /// The age of the last response from there.
    pub age: Option<Duration>,
}

impl Place {
    /// Returns the expected time until a request has its response. Below capacity requests wait
    /// because the load varies, above it for the requests ahead.
    #[must_use]
    pub fn latency(&self) -> Duration {
        let wait = if self.utilization < 1.0 {
            self.utilization.powi(4)
        } else {
            self.utilization.min(MAX_WAIT)
        };
        self.service_time.mul_f64(1.0 + wait)
    }
}

/// What a decision about a share is based on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Facts {
    /// The own failure domain, if it has servers that are used.
    pub here: Option<Place>,
    /// The other failure domains that have servers that are used.
    pub others: Vec<Place>,
    /// The mean bytes of a request and its response.
    pub bytes: f64,
}

impl Facts {
    /// Returns what a request costs here, in seconds, or none without servers.
    pub(super) fn cost_here(&self) -> Option<f64> {
        self.here.as_ref().map(|here| waiting_cost(here.latency()))
    }

    /// Returns what a request costs at another place, in seconds: its caller's time, the bytes, and
    /// the time that it takes from callers over there, whose queue it joins.
    pub(super) fn cost_at(&self, place: &Place) -> f64 {
        let others_lose = place.service_time.as_secs_f64() * place.utilization * place.utilization;
        waiting_cost(place.latency()) + self.bytes * SECONDS_PER_BYTE + others_lose
    }
}

/// Returns what a caller's waiting costs, in seconds. Near the objective a second counts twice.
fn waiting_cost(latency: Duration) -> f64 {
    let seconds = latency.as_secs_f64();
    seconds * (1.0 + seconds / OBJECTIVE_SECONDS)
}
