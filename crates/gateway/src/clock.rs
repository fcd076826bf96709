//! True time in this process: samples the time of day, and exchanges estimates with peers in lease
//! queries.
//!
//! No task runs for it. The clock is sampled when it is used, and with each probe of the store.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tamaracksail_model::time::Instant;
use tamaracksail_policy::clock::{Clock, Estimate};
use tamaracksail_wire::peer::PeerTime;

use crate::gateway::now;

/// The longest time between the readings of the two clocks in one sample.
const MAX_READ_TIME: Duration = Duration::from_millis(20);

/// The number of attempts at a sample. The host may suspend the process between two readings.
const READ_ATTEMPTS: usize = 5;

/// The longest time that a message with a peer's time may have been under way. A process that was
/// frozen reads older ones.
const MAX_TRANSIT_TIME: Duration = Duration::from_millis(250);

/// The milliseconds by which a peer's clock may seem to differ from one request to the next, if
/// neither was delayed.
const MAX_REQUEST_DEVIATION_MS: u64 = 100;

/// A change beyond this, in milliseconds, is logged: it exceeds the error of a clock that is sure.
const MAX_LOGGED_ERROR_MS: u64 = 1000;

/// The number of peers of which the last request is kept.
const MAX_PEERS: usize = 512;

/// The clock of the process.
#[derive(Debug, Default)]
pub struct ProcessClock {
    clock: RefCell<Clock>,
    /// The difference between the estimate of each peer and the boot-time clock when its last request
    /// arrived, in milliseconds.
    requests: RefCell<BTreeMap<String, i64>>,
    /// A file with milliseconds to add to the time of day. Only tests have one.
    offset_file: Option<PathBuf>,
}

impl ProcessClock {
    /// Returns a clock with a first sample.
    pub fn start(offset_file: Option<PathBuf>) -> Self {
        let clock = Self {
            offset_file,
            ..Self::default()
        };
        clock.sample();
        clock
    }

    /// Samples the time of day.
    pub fn sample(&self) {
        for _ in 0..READ_ATTEMPTS {
            let before = now();
            let unix_ms = self.time_of_day_ms();
            let after = now();
            if after.since(before) <= MAX_READ_TIME {
                if let Some(unix_ms) = unix_ms {
                    self.observe(after, unix_ms);
                }
                return;
            }
        }
        log::warn!("time of day not sampled, the process was suspended at each attempt");
    }

    /// Returns the true time; `None` before the first sample.
    pub fn estimate(&self) -> Option<Estimate> {
        self.sample();
        self.clock.borrow().estimate(now())
    }

    /// Returns the true time to state in a message to a peer, which this process has held for
    /// `held`.
    pub fn for_peer(&self, host: &str, held: Duration) -> Option<PeerTime> {
        Some(PeerTime {
            host: host.to_owned(),
            unix_ms: self.estimate()?.unix_ms,
            held_ms: held,
        })
    }

    /// Records the time in the response to a request that was sent at `sent`, unless it may have been
    /// under way for long.
    pub fn record_response(&self, sent: Instant, time: &PeerTime) {
        let at = now();
        let transit = at.since(sent).saturating_sub(time.held_ms);
        if transit <= MAX_TRANSIT_TIME {
            self.record(at, time);
        }
    }

    /// Records the time in a request of a peer. How long a request was under way is not known, so it
    /// counts only if it agrees with the peer's request before.
    pub fn record_request(&self, time: &PeerTime) {
        let at = now();
        let difference = time
            .unix_ms
            .cast_signed()
            .saturating_sub((at.0 / 1000).cast_signed());
        let mut requests = self.requests.borrow_mut();
        if requests.len() >= MAX_PEERS && !requests.contains_key(&time.host) {
            requests.clear();
        }
        let before = requests.insert(time.host.clone(), difference);
        drop(requests);
        if before.is_some_and(|before| before.abs_diff(difference) <= MAX_REQUEST_DEVIATION_MS) {
            self.record(at, time);
        }
    }

    fn record(&self, at: Instant, time: &PeerTime) {
        self.log_changes(at, |clock| {
            clock.record_peer(at, &time.host, time.unix_ms);
        });
    }

    fn observe(&self, at: Instant, unix_ms: u64) {
        self.log_changes(at, |clock| clock.observe(at, unix_ms));
    }

    /// Changes the clock, and logs a change of the estimate or of its certainty.
    fn log_changes(&self, at: Instant, change: impl FnOnce(&mut Clock)) {
        let mut clock = self.clock.borrow_mut();
        let before = clock.estimate(at);
        change(&mut clock);
        let (Some(before), Some(after)) = (before, clock.estimate(at)) else {
            return;
        };
        let moved_ms = after.unix_ms.abs_diff(before.unix_ms);
        let is_changed = moved_ms > MAX_LOGGED_ERROR_MS
            || (before.error_ms > MAX_LOGGED_ERROR_MS) != (after.error_ms > MAX_LOGGED_ERROR_MS);
        if is_changed {
            log::info!(
                unix_ms = after.unix_ms, error_ms = after.error_ms, before_ms = before.unix_ms,
                error_before_ms = before.error_ms;
                "estimate of true time changed"
            );
        }
    }

    /// Returns the time of day in milliseconds since the Unix epoch; `None` if it is before that.
    fn time_of_day_ms(&self) -> Option<u64> {
        let since = match SystemTime::now().duration_since(UNIX_EPOCH) {
            Ok(since) => since,
            Err(error) => {
                log::error!(error:%; "the time of day is before 1970");
                return None;
            }
        };
        let millis = u64::try_from(since.as_millis()).ok()?;
        Some(millis.saturating_add_signed(self.offset_ms()))
    }

    fn offset_ms(&self) -> i64 {
        let Some(path) = &self.offset_file else {
            return 0;
        };
        let text = std::fs::read_to_string(path);
        let offset = text.map_err(|error| error.to_string()).and_then(|text| {
            let parsed = text.trim().parse();
            parsed.map_err(|error: std::num::ParseIntError| error.to_string())
        });
        offset.unwrap_or_else(|error| {
            log::error!(error; "offset of the time of day not read");
            0
        })
    }
}
