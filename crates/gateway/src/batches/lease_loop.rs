//! Acquires and renews the scheduling lease while there is work.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tamaracksail_adapter::store::{Error, Object};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::freshness::Index;
use tamaracksail_policy::lease::{Record, Step};
use tamaracksail_wire::peer::{Request as PeerRequest, Response as PeerResponse};

use super::lease_query::{LEASE_QUERY_WAIT, has_spare_cpu};
use super::{schema, takeover};
use crate::gateway::{Gateway, now};
use crate::peer::{self, Error as PeerError};

/// How long after the last request for a batch this process tries to hold the lease. Clients read
/// about twice a second.
const LEASE_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The time between two checks of a lease whose holder does not respond. Each is a paid call.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The time between two checks whether the own lease is due for renewal.
const RENEWAL_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The delay after a failed call. Every gateway with work retries, and refused calls are paid for
/// too.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// How long a call to the store may take. The store responds in milliseconds, and a holder must
/// detect well before its lease expires that it cannot reach the store.
const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// How long a peer may take to respond, in addition to the time for which it delays its response
/// on purpose.
const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Makes this process try to hold the lease for [`LEASE_IDLE_TIMEOUT`] from now on. Called whenever
/// a client uses a batch.
pub fn request_lease(gateway: &Gateway) {
    if gateway.stop.get().is_some() {
        return;
    }
    let coordinator = &gateway.coordinator;
    let at = now();
    let was_wanted = coordinator.wanted_until.get() > at;
    coordinator.wanted_until.set(at.after(LEASE_IDLE_TIMEOUT));
    if !was_wanted {
        coordinator.wake_lease_loop.notify_one();
    }
}

/// Runs the lease loop. Never returns.
pub async fn run(gateway: Rc<Gateway>) {
    let coordinator = &gateway.coordinator;
    loop {
        if coordinator.wanted_until.get() <= now() && !coordinator.is_scheduling.get() {
            coordinator.wake_lease_loop.notified().await;
        }
        let pause = check_lease(&gateway).await;
        if coordinator.is_scheduling.get() {
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = gateway.store_availability.recovered() => {}
                () = coordinator.wake_lease_loop.notified() => {}
            }
        } else {
            gateway.store_availability.pause(pause).await;
        }
    }
}

/// Checks the lease once, and acquires or renews it where due. Returns the time until the next
/// check.
async fn check_lease(gateway: &Rc<Gateway>) -> Duration {
    let coordinator = &gateway.coordinator;
    let is_held = coordinator.lease.borrow().fence(now()).is_some();
    gateway
        .metrics
        .scheduling
        .set(i64::from(coordinator.is_scheduling.get() && is_held));
    if !is_held && !coordinator.lease.borrow().is_last_known_holder() {
        coordinator.stop_scheduling("the lease was lost");
    }
    let is_wanted =
        coordinator.wanted_until.get() > now() || coordinator.batches.borrow().has_open();
    if !is_wanted || gateway.stop.get().is_some() {
        return CHECK_INTERVAL;
    }
    let next = match next_step(gateway).await {
        Ok(Some(next)) => next,
        Ok(None) => {
            coordinator.acquire_delay.borrow_mut().reset();
            return Duration::ZERO;
        }
        Err(error) => {
            log::warn!(error:%; "lease not read");
            return RETRY_DELAY;
        }
    };
    let is_acquiring = coordinator.lease.borrow().fence(now()).is_none()
        && matches!(next, Step::Create(_) | Step::Replace(..));
    if is_acquiring {
        let age = now().since(gateway.started_at);
        let has_spare_cpu = has_spare_cpu(gateway);
        let wait = coordinator
            .acquire_delay
            .borrow_mut()
            .remaining(now(), has_spare_cpu, age);
        if !wait.is_zero() {
            return wait;
        }
    }
    coordinator.acquire_delay.borrow_mut().reset();
    write_lease(gateway, next).await;
    if coordinator.lease.borrow().fence(now()).is_none() {
        if coordinator.lease.borrow().is_last_known_holder() {
            return RENEWAL_CHECK_INTERVAL;
        }
        coordinator.stop_scheduling("the lease was lost");
        let expiry = coordinator.lease.borrow().expires_in(now());
        return expiry.map_or(RETRY_DELAY, |expiry| CHECK_INTERVAL.min(expiry));
    }
    if !coordinator.is_scheduling.get() && gateway.stop.get().is_none() {
        let previous_holder = coordinator.lease.borrow().previous_holder();
        takeover::start(gateway, previous_holder);
    }
    RENEWAL_CHECK_INTERVAL
}

/// Returns what to do about the lease, after querying the holder and reading the object as far as
/// needed. `None` if the holder has just confirmed that it holds the lease.
async fn next_step(gateway: &Gateway) -> Result<Option<Step>, Error> {
    let lease = &gateway.coordinator.lease;
    let mut step = lease.borrow().step(now(), false);
    let mut is_fresh = false;
    if step == Step::Read {
        read_lease(gateway).await?;
        is_fresh = true;
        step = lease.borrow().step(now(), true);
        if step == Step::Wait {
            // The object names a holder, which can be queried at once.
            step = lease.borrow().step(now(), false);
        }
    }
    if let Step::QueryHolder(_) = step {
        match query_holder(gateway).await {
            HolderState::Holds(revision) => {
                lease.borrow_mut().record_confirmation(now(), revision);
                return Ok(None);
            }
            HolderState::Stopped(fence, last_command) => {
                read_lease(gateway).await?;
                lease.borrow_mut().record_release(fence, last_command);
            }
            HolderState::Unknown if is_fresh => {}
            HolderState::Unknown => read_lease(gateway).await?,
        }
        step = lease.borrow().step(now(), true);
    }
    Ok(Some(step))
}

/// The response of the lease holder to a query.
enum HolderState {
    /// It holds the lease, which it last renewed at this revision.
    Holds(u64),
    /// It has stopped scheduling under this fencing token. It sent its last load command at this
    /// time or earlier.
    Stopped(u64, Instant),
    /// It did not respond, or its address is not known.
    Unknown,
}

/// Asks the holder whether it still holds the lease. One that cannot reach the store while this
/// process can is asked to stop.
async fn query_holder(gateway: &Gateway) -> HolderState {
    let record = gateway.coordinator.lease.borrow().record().cloned();
    let Some((fence, Some(address))) = record.map(|record| (record.fence, record.address)) else {
        return HolderState::Unknown;
    };
    let stopped = |age_ms: u64, at: Instant| {
        let micros = age_ms.saturating_mul(1000);
        HolderState::Stopped(fence, Instant(at.0.saturating_sub(micros)))
    };
    let at = now();
    let request = PeerRequest::Holding {
        fence,
        sender: gateway.peer_address(),
        has_spare_cpu: has_spare_cpu(gateway),
        time: {
            let settings = gateway.settings.borrow();
            gateway.clock.for_peer(&settings.host, Duration::ZERO)
        },
    };
    let limit = LEASE_QUERY_WAIT + PEER_CALL_TIMEOUT;
    let response = peer::call(gateway, address, &request, limit).await;
    if let Ok(PeerResponse::Holding {
        time: Some(time), ..
    }) = &response
    {
        gateway.clock.record_response(at, time);
    }
    if let Ok(PeerResponse::Holding {
        index: Some(index), ..
    }) = &response
        && let Some(known_at) = at.0.checked_add_signed(index.since_arrival_us)
    {
        // The query arrived after it was sent, so this is no later than the time that the peer means.
        gateway.store_availability.learn(Index {
            at: Instant(known_at),
            revision: index.revision,
            learned_at: now(),
        });
    }
    match response {
        Ok(PeerResponse::Holding {
            is_store_unreachable: false,
            revision,
            ..
        }) => HolderState::Holds(revision),
        Ok(PeerResponse::Holding {
            is_store_unreachable: true,
            ..
        }) => {
            if let Err(error) = read_lease(gateway).await {
                log::info!(
                    error:%;
                    "store unreachable both from the lease holder and from this process"
                );
                return HolderState::Unknown;
            }
            let at = now();
            let request = PeerRequest::Yield {
                fence,
                successor: gateway.peer_address(),
            };
            match peer::call(gateway, address, &request, PEER_CALL_TIMEOUT).await {
                Ok(PeerResponse::Released { order_age_ms, .. }) => {
                    log::info!(
                        fence, holder:% = address;
                        "lease released by a holder that cannot reach the store"
                    );
                    stopped(order_age_ms, at)
                }
                Ok(PeerResponse::Holding {
                    is_store_unreachable: false,
                    revision,
                    ..
                }) => HolderState::Holds(revision),
                _ => HolderState::Unknown,
            }
        }
        Ok(PeerResponse::Released {
            order_age_ms,
            successor,
        }) => {
            log::info!(fence, holder:% = address; "lease holder has stopped scheduling");
            gateway.coordinator.successor.set(successor);
            stopped(order_age_ms, at)
        }
        Err(PeerError::NotListening(_)) => {
            log::info!(fence, holder:% = address; "lease holder's process is not running");
            HolderState::Stopped(fence, now())
        }
        Ok(_) => HolderState::Unknown,
        Err(error) => {
            log::info!(fence, error:%; "lease holder does not respond");
            HolderState::Unknown
        }
    }
}

/// Creates or replaces the lease object, and records the outcome.
async fn write_lease(gateway: &Rc<Gateway>, next: Step) {
    let coordinator = &gateway.coordinator;
    let _guard = coordinator.lease_write.lock().await;
    if gateway.stop.get().is_some() {
        return;
    }
    let sent_at = now();
    let (wanted, outcome) = match next {
        Step::Wait | Step::Read | Step::QueryHolder(_) => return,
        Step::Create(wanted) => {
            let call = gateway.store.create(schema::LEASES, schema::LEASE, &wanted);
            let outcome = with_timeout(call).await;
            (wanted, outcome)
        }
        Step::Replace(revision, wanted) => {
            let call = gateway
                .store
                .replace(schema::LEASES, schema::LEASE, revision, &wanted);
            let outcome = with_timeout(call).await;
            (wanted, outcome)
        }
    };
    match outcome {
        Ok(object) => {
            record_store_outcome(gateway, true);
            gateway.store_availability.learn(Index {
                at: sent_at,
                revision: object.revision,
                learned_at: now(),
            });
            let was_held = coordinator.lease.borrow().fence(now()).is_some();
            let fence = wanted.fence;
            let mut lease = coordinator.lease.borrow_mut();
            lease.record_write(sent_at, now(), object.revision, wanted);
            drop(lease);
            coordinator.lease_changed.notify_waiters();
            if !was_held {
                log::info!(fence, revision = object.revision; "lease acquired");
            }
        }
        Err(Error::Conflict { object, .. }) => {
            record_store_outcome(gateway, true);
            log::info!(fence = wanted.fence; "lease changed by another process");
            match object {
                Some(object) => observe_lease(gateway, &object),
                None => try_read_lease(gateway).await,
            }
        }
        Err(error) => {
            record_store_outcome(gateway, false);
            log::warn!(fence = wanted.fence, error:%; "lease not written");
            if matches!(error, Error::NotDone { .. }) {
                return;
            }
            // The write may have been done all the same, which the stored object shows.
            try_read_lease(gateway).await;
            let fence = wanted.fence;
            if coordinator
                .lease
                .borrow_mut()
                .confirm_write(sent_at, now(), wanted)
            {
                log::info!(fence; "lease write confirmed");
                coordinator.lease_changed.notify_waiters();
            }
        }
    }
}

/// Limits the duration of a call to the store on behalf of the scheduler.
pub async fn with_timeout(
    call: impl Future<Output = Result<Object, Error>>,
) -> Result<Object, Error> {
    tokio::time::timeout(STORE_CALL_TIMEOUT, call)
        .await
        .unwrap_or_else(|_| {
            Err(Error::Unknown {
                call: "call of the scheduler".to_owned(),
                problem: "no response in time".to_owned(),
            })
        })
}

/// Records whether the store responded to a call on behalf of the scheduler.
pub fn record_store_outcome(gateway: &Gateway, is_ok: bool) {
    let coordinator = &gateway.coordinator;
    let since = coordinator.store_failing_since.get();
    coordinator.store_failing_since.set(match (is_ok, since) {
        (true, _) => None,
        (false, None) => Some(now()),
        (false, since) => since,
    });
    if !is_ok && since.is_none() {
        coordinator.lease_changed.notify_waiters();
    }
}

/// Reads the lease. Returns whether the store responded.
pub async fn reaches_store(gateway: &Gateway) -> bool {
    read_lease(gateway).await.is_ok()
}

/// Returns the address of the lease holder as far as it is known.
pub fn known_holder(gateway: &Gateway) -> Option<SocketAddr> {
    gateway.coordinator.scheduler_address()
}

/// Returns the address of the lease holder, which is read from the store if none is known.
pub async fn find_holder(gateway: &Gateway) -> Option<SocketAddr> {
    if known_holder(gateway).is_none() {
        try_read_lease(gateway).await;
    }
    known_holder(gateway)
}

/// Reads the lease, and logs a failure to do so.
async fn try_read_lease(gateway: &Gateway) {
    if let Err(error) = read_lease(gateway).await {
        log::warn!(error:%; "lease not read");
    }
}

/// Reads the lease, and records what the store returned.
async fn read_lease(gateway: &Gateway) -> Result<(), Error> {
    match with_timeout(gateway.store.get(schema::LEASES, schema::LEASE)).await {
        Ok(object) => {
            record_store_outcome(gateway, true);
            observe_lease(gateway, &object);
            Ok(())
        }
        Err(Error::Missing { .. }) => {
            record_store_outcome(gateway, true);
            gateway.coordinator.lease.borrow_mut().record_absence();
            Ok(())
        }
        Err(error) => {
            record_store_outcome(gateway, false);
            Err(error)
        }
    }
}

/// Records the lease object as the store returned it.
fn observe_lease(gateway: &Gateway, object: &Object) {
    match object.spec::<Record>() {
        Ok(record) => {
            let mut lease = gateway.coordinator.lease.borrow_mut();
            lease.observe(now(), object.revision, record);
        }
        Err(error) => log::error!(revision = object.revision, error:%; "stored lease is malformed"),
    }
}
