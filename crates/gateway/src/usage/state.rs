//! The state of usage, which lives as long as the process.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use prometheus::{IntCounter, IntCounterVec};
use tamaracksail_adapter::settings::{Cloud, Settings};
use tamaracksail_adapter::{cloud, store};
use tamaracksail_http as http;
use tamaracksail_model::time::Instant;
use tamaracksail_model::usage::{Report, Window};
use tamaracksail_policy::duty::{Duty, Holder, Member, Terms};
use tamaracksail_policy::usage::{Collection, Counter, Outbox, Windows};
use tamaracksail_wire::peer::{ProcessUsage, Reporter};

use super::exchange::Peer;
use crate::gateway::{now, peer_address};
use crate::store::Availability;

/// How old a window may be until nothing is reported of it any more.
pub(super) const MAX_AGE: Duration = Duration::from_mins(1);

/// The time between two reports, as a multiple of the least that the cloud allows. Others call it too.
const REPORT_SPACING: f64 = 2.0;

/// What usage needs of the process.
#[derive(Debug)]
pub struct Connections {
    /// The client of the platform's store.
    pub store: store::Client,
    /// Whether the store answers.
    pub store_availability: Availability,
    /// The HTTP client for peers.
    pub http: http::Client,
    /// Counts sends of reports, by outcome.
    pub reports: IntCounterVec,
    /// Counts requests whose count arrived too late.
    pub late: IntCounter,
}

/// What usage knows of its surroundings at one time.
#[derive(Debug)]
pub(super) struct View {
    /// The true time in milliseconds since the Unix epoch, if it is known.
    pub unix_ms: Option<u64>,
    /// Whether it is known which gateway schedules batches.
    pub is_scheduler_known: bool,
    /// All gateways, this one included.
    pub members: Vec<Member>,
}

/// The state of usage, which lives as long as the process.
#[derive(Debug)]
pub struct Usage {
    pub(super) own: Holder,
    pub(super) cloud: Cloud,
    pub(super) client: cloud::Client,
    pub(super) windows: Windows,
    pub(super) connections: Connections,
    pub(super) started_at: Instant,
    /// The counts of this process.
    pub(super) counter: RefCell<Counter>,
    /// The counts of all processes, as far as this one got them.
    pub(super) collection: RefCell<Collection>,
    pub(super) duty: RefCell<Duty>,
    pub(super) outbox: RefCell<Outbox>,
    /// The windows whose reports the cloud has confirmed to this process.
    pub(super) confirmed: RefCell<BTreeSet<Window>>,
    /// The true time at a time of the boot-time clock.
    clock: Cell<Option<(Instant, u64)>>,
    /// Requests that could not be assigned to windows yet.
    unassigned: RefCell<Vec<(Instant, String)>>,
    /// The reporter, as peers or the store named it.
    known_reporter: RefCell<Option<Reporter>>,
    pub(super) peers: RefCell<BTreeMap<SocketAddr, Peer>>,
    /// When this process last acquired the duty.
    pub(super) acquired_at: Cell<Option<Instant>>,
    /// Whether the counts that the other gateways know are to be read.
    pub(super) is_pull_due: Cell<bool>,
    /// When the last write of the object was attempted.
    pub(super) written_at: Cell<Instant>,
    /// When the holder was last asked whether its process runs.
    pub(super) holder_checked_at: Cell<Instant>,
    /// The watch of the object, while this process is a candidate.
    pub(super) watch: RefCell<Option<JoinHandle<()>>>,
}

impl Usage {
    /// Returns the state of a process that has counted nothing; none if the settings do not ask for
    /// reports.
    pub fn new(
        settings: &Settings,
        incarnation: u64,
        connections: impl FnOnce() -> Connections,
    ) -> Option<Self> {
        let cloud = settings.cloud.clone()?;
        if !cloud.reports_usage {
            return None;
        }
        let own = Holder {
            host: settings.host.clone(),
            address: peer_address(settings),
            incarnation,
        };
        let windows = Windows::new(cloud.report_window);
        let terms = Terms {
            renewal: windows.length(),
            lease: settings.command_gap,
        };
        let interval = Duration::from_secs_f64(REPORT_SPACING / cloud.calls_per_s.max(0.1));
        Some(Self {
            client: cloud::Client::new(cloud.address),
            duty: RefCell::new(Duty::new(own.clone(), terms)),
            outbox: RefCell::new(Outbox::new(interval)),
            own,
            cloud,
            windows,
            connections: connections(),
            started_at: now(),
            counter: RefCell::default(),
            collection: RefCell::default(),
            confirmed: RefCell::default(),
            clock: Cell::new(None),
            unassigned: RefCell::default(),
            known_reporter: RefCell::new(None),
            peers: RefCell::default(),
            acquired_at: Cell::new(None),
            is_pull_due: Cell::new(false),
            written_at: Cell::new(Instant(0)),
            holder_checked_at: Cell::new(Instant(0)),
            watch: RefCell::new(None),
        })
    }

    /// Records the true time, and assigns requests to windows that waited for it.
    pub(super) fn set_clock(&self, now: Instant, unix_ms: u64) {
        self.clock.set(Some((now, unix_ms)));
        let unassigned = std::mem::take(&mut *self.unassigned.borrow_mut());
        for (at, account) in unassigned {
            self.count(at, &account);
        }
    }

    /// Returns the true time at a time of the boot-time clock; none while it is not known.
    pub(super) fn unix_ms(&self, at: Instant) -> Option<u64> {
        let (then, unix_ms) = self.clock.get()?;
        let millis = |duration: Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        let later = unix_ms.saturating_add(millis(at.since(then)));
        Some(later.saturating_sub(millis(then.since(at))))
    }

    /// Counts a request that a server began to run at `at`.
    pub(super) fn count(&self, at: Instant, account: &str) {
        match self.unix_ms(at) {
            Some(unix_ms) => {
                let window = self.windows.at(unix_ms);
                self.counter.borrow_mut().add(window, account);
            }
            None => self.unassigned.borrow_mut().push((at, account.to_owned())),
        }
    }

    /// Merges counts of a process. Those that arrive after their window was closed are dropped.
    pub(super) fn merge(&self, incarnation: u64, reports: &[Report]) {
        let mut collection = self.collection.borrow_mut();
        for report in reports {
            let late = collection.merge(incarnation, report);
            // Only the reporter knows that they are missing from the report.
            if late > 0 && self.duty.borrow().is_holder() {
                log::warn!(
                    window = report.window.0, requests = late, process = incarnation;
                    "late usage counts dropped"
                );
                self.connections.late.inc_by(late);
            }
        }
    }

    /// Merges the counts of this process.
    pub(super) fn merge_own(&self) {
        let reports = self.counter.borrow().changed_since(0);
        self.merge(self.own.incarnation, &reports);
    }

    /// Returns all counts from a window on, by process.
    pub(super) fn processes(&self, from: Window) -> Vec<ProcessUsage> {
        let processes = self.collection.borrow().processes(from).into_iter();
        let processes = processes.map(|(incarnation, reports)| ProcessUsage {
            incarnation,
            reports,
        });
        processes.collect()
    }

    /// Forgets what is too old to be reported.
    pub(super) fn discard_old(&self, unix_ms: u64) {
        let first = self.oldest_window(unix_ms);
        self.counter.borrow_mut().discard_before(first);
        self.collection.borrow_mut().discard_before(first);
        let mut confirmed = self.confirmed.borrow_mut();
        *confirmed = confirmed.split_off(&first);
    }

    /// Returns the oldest window of which something is reported.
    pub(super) fn oldest_window(&self, unix_ms: u64) -> Window {
        let max_age = u64::try_from(MAX_AGE.as_millis()).unwrap_or(u64::MAX);
        self.windows.at(unix_ms.saturating_sub(max_age))
    }

    /// Returns the reporter as far as it is known.
    pub(super) fn reporter(&self) -> Option<Reporter> {
        self.known_reporter.borrow().clone()
    }

    /// Records who reports, unless a later reporter is known.
    pub(super) fn adopt_reporter(&self, reporter: Reporter) {
        let mut known = self.known_reporter.borrow_mut();
        let is_newer = known
            .as_ref()
            .is_none_or(|known| reporter.fence > known.fence);
        if is_newer {
            log::info!(reporter:% = reporter.address, fence = reporter.fence; "usage reporter known");
            *known = Some(reporter);
        }
    }
}
