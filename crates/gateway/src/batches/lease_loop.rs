//! Keeps the scheduling lease while there is work.

use std::rc::Rc;
use std::time::Duration;

use tamaracksail_adapter::store::{Error, Object};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::lease::{Record, Step};
use tamaracksail_wire::peer::{Request as PeerRequest, Response as PeerResponse};

use super::lease_query::{HOLDING, is_strong};
use super::{schema, takeover};
use crate::gateway::{Gateway, now};
use crate::peer::{self, Error as PeerError};

/// How long after the last sign of work this process wants the lease. Clients read about twice a
/// second.
const WANTED: Duration = Duration::from_secs(10);

/// Between two looks at a lease whose holder does not answer. Each is a paid call.
const LOOK: Duration = Duration::from_secs(1);

/// Between two looks at the own lease.
const OWN_LOOK: Duration = Duration::from_millis(250);

/// After a failed call. Every gateway with work asks, and refused calls are paid for too.
const RETRY: Duration = Duration::from_secs(1);

/// How long a call about the lease may take. The store answers in milliseconds; a holder must
/// know well before its span is over that it is cut off.
const CALL: Duration = Duration::from_millis(700);

/// How long a peer may take beyond that.
const PEER: Duration = Duration::from_millis(600);

/// Notes that batches are at work here, so that some process must schedule.
pub fn request_lease(gateway: &Gateway) {
    if gateway.stopping_since.get().is_some() {
        return;
    }
    let coordinator = &gateway.coordinator;
    let at = now();
    let was_wanted = coordinator.wanted_until.get() > at;
    coordinator.wanted_until.set(at.after(WANTED));
    if !was_wanted {
        coordinator.wake_lease_loop.notify_one();
    }
}

/// Takes and renews the lease, for ever.
pub async fn run(gateway: Rc<Gateway>) {
    let coordinator = &gateway.coordinator;
    loop {
        if coordinator.wanted_until.get() <= now() && !coordinator.is_scheduling.get() {
            coordinator.wake_lease_loop.notified().await;
        }
        let pause = step(&gateway).await;
        if coordinator.is_scheduling.get() {
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = gateway.store_availability.recovered() => {}
            }
        } else {
            gateway.store_availability.pause(pause).await;
        }
    }
}

/// One look at the lease. Returns how long to wait until the next.
async fn step(gateway: &Rc<Gateway>) -> Duration {
    let coordinator = &gateway.coordinator;
    let is_held = coordinator.lease.borrow().fence(now()).is_some();
    gateway
        .metrics
        .scheduling
        .set(i64::from(coordinator.is_scheduling.get() && is_held));
    if !is_held && !coordinator.lease.borrow().is_unchallenged() {
        coordinator.stop_scheduling("the lease was lost");
    }
    let is_wanted =
        coordinator.wanted_until.get() > now() || !coordinator.batch_ids.borrow().is_empty();
    if !is_wanted || gateway.stopping_since.get().is_some() {
        return LOOK;
    }
    let next = match next(gateway).await {
        Ok(Some(next)) => next,
        Ok(None) => {
            coordinator.deference.borrow_mut().held();
            return Duration::ZERO;
        }
        Err(error) => {
            log::warn!(error:%; "lease not read");
            return RETRY;
        }
    };
    let is_taking = coordinator.lease.borrow().fence(now()).is_none()
        && matches!(next, Step::Create(_) | Step::Replace(..));
    if is_taking {
        let age = now().since(gateway.started_at);
        let is_strong = is_strong(gateway);
        let wait = coordinator
            .deference
            .borrow_mut()
            .takeable(now(), is_strong, age);
        if !wait.is_zero() {
            return wait;
        }
    }
    coordinator.deference.borrow_mut().held();
    write(gateway, next).await;
    if coordinator.lease.borrow().fence(now()).is_none() {
        if coordinator.lease.borrow().is_unchallenged() {
            return OWN_LOOK;
        }
        coordinator.stop_scheduling("the lease was lost");
        let lapse = coordinator.lease.borrow().lapses_in(now());
        return lapse.map_or(RETRY, |lapse| LOOK.min(lapse));
    }
    if !coordinator.is_scheduling.get() && gateway.stopping_since.get().is_none() {
        let before = coordinator.lease.borrow().before();
        takeover::open(gateway, before);
    }
    OWN_LOOK
}

/// What to do about the lease, after the holder was asked and the object read as far as needed.
/// None if the holder has just said that it holds.
async fn next(gateway: &Gateway) -> Result<Option<Step>, Error> {
    let lease = &gateway.coordinator.lease;
    let mut step = lease.borrow().step(now(), false);
    let mut is_fresh = false;
    if step == Step::Read {
        read(gateway).await?;
        is_fresh = true;
        step = lease.borrow().step(now(), true);
        if step == Step::Rest {
            // The holder that was just found can be asked at once.
            step = lease.borrow().step(now(), false);
        }
    }
    if let Step::Ask(_) = step {
        match query_holder(gateway).await {
            Holder::Holds(revision) => {
                lease.borrow_mut().confirmed(now(), revision);
                return Ok(None);
            }
            Holder::Gone(fence, last_command) => {
                read(gateway).await?;
                lease.borrow_mut().released(fence, last_command);
            }
            Holder::Nothing if is_fresh => {}
            Holder::Nothing => read(gateway).await?,
        }
        step = lease.borrow().step(now(), true);
    }
    Ok(Some(step))
}

/// What the holder says.
enum Holder {
    /// It holds, and renewed last with this revision.
    Holds(u64),
    /// It has stopped under this fencing number; its last order was no later than this.
    Gone(u64, Instant),
    /// It does not answer.
    Nothing,
}

async fn query_holder(gateway: &Gateway) -> Holder {
    let record = gateway.coordinator.lease.borrow().record().cloned();
    let Some((fence, Some(address))) = record.map(|record| (record.fence, record.address)) else {
        return Holder::Nothing;
    };
    let gone = |age_ms: u64, at: Instant| {
        let micros = age_ms.saturating_mul(1000);
        Holder::Gone(fence, Instant(at.0.saturating_sub(micros)))
    };
    let at = now();
    let request = PeerRequest::Holding {
        fence,
        sender: gateway.peer_address(),
        has_spare_cpu: is_strong(gateway),
    };
    match peer::call(gateway, address, &request, HOLDING + PEER).await {
        Ok(PeerResponse::Holding {
            is_store_unreachable: false,
            revision,
        }) => Holder::Holds(revision),
        Ok(PeerResponse::Holding {
            is_store_unreachable: true,
            ..
        }) => {
            if let Err(error) = read(gateway).await {
                log::info!(error:%; "the store answers neither the holder nor this process");
                return Holder::Nothing;
            }
            let at = now();
            let request = PeerRequest::Yield {
                fence,
                successor: gateway.peer_address(),
            };
            match peer::call(gateway, address, &request, PEER).await {
                Ok(PeerResponse::Released { order_age_ms, .. }) => {
                    log::info!(fence, holder:% = address; "lease left by a holder that is cut off");
                    gone(order_age_ms, at)
                }
                _ => Holder::Nothing,
            }
        }
        Ok(PeerResponse::Released {
            order_age_ms,
            successor,
        }) => {
            log::info!(fence, holder:% = address; "the holder has stopped");
            gateway.coordinator.successor.set(successor);
            gone(order_age_ms, at)
        }
        Err(PeerError::NotListening(_)) => {
            log::info!(fence, holder:% = address; "the holder's process is gone");
            Holder::Gone(fence, now())
        }
        Ok(_) => Holder::Nothing,
        Err(error) => {
            log::info!(fence, error:%; "the holder does not answer");
            Holder::Nothing
        }
    }
}

async fn write(gateway: &Rc<Gateway>, next: Step) {
    let coordinator = &gateway.coordinator;
    let _call = coordinator.lease_write.lock().await;
    if gateway.stopping_since.get().is_some() {
        return;
    }
    let asked = now();
    let (wanted, outcome) = match next {
        Step::Rest | Step::Read | Step::Ask(_) => return,
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
            let was_held = coordinator.lease.borrow().fence(now()).is_some();
            let fence = wanted.fence;
            let mut lease = coordinator.lease.borrow_mut();
            lease.wrote(asked, now(), object.revision, wanted);
            drop(lease);
            coordinator.lease_changed.notify_waiters();
            if !was_held {
                log::info!(fence, revision = object.revision; "lease taken");
            }
        }
        Err(Error::Conflict { object, .. }) => {
            record_store_outcome(gateway, true);
            log::info!(fence = wanted.fence; "lease changed by another");
            match object {
                Some(object) => observe(gateway, &object),
                None => reread_lease(gateway).await,
            }
        }
        Err(error) => {
            record_store_outcome(gateway, false);
            log::warn!(fence = wanted.fence, error:%; "lease not written");
            if matches!(error, Error::NotDone { .. }) {
                return;
            }
            // It may be written all the same; what stands there tells.
            reread_lease(gateway).await;
            let fence = wanted.fence;
            if coordinator.lease.borrow_mut().found(asked, now(), wanted) {
                log::info!(fence; "lease was written");
                coordinator.lease_changed.notify_waiters();
            }
        }
    }
}

/// Bounds a call by the scheduling gateway.
pub async fn with_timeout(
    call: impl Future<Output = Result<Object, Error>>,
) -> Result<Object, Error> {
    tokio::time::timeout(CALL, call).await.unwrap_or_else(|_| {
        Err(Error::Unknown {
            call: "of the scheduling gateway".to_owned(),
            problem: "no answer in time".to_owned(),
        })
    })
}

/// Notes whether the store answers this process as it schedules.
pub fn record_store_outcome(gateway: &Gateway, is_answered: bool) {
    let coordinator = &gateway.coordinator;
    let since = coordinator.store_failing_since.get();
    coordinator
        .store_failing_since
        .set(match (is_answered, since) {
            (true, _) => None,
            (false, None) => Some(now()),
            (false, since) => since,
        });
    if !is_answered && since.is_none() {
        coordinator.lease_changed.notify_waiters();
    }
}

/// Whether the store answers this process, which then knows who holds the lease.
pub async fn reaches_store(gateway: &Gateway) -> bool {
    read(gateway).await.is_ok()
}

async fn reread_lease(gateway: &Gateway) {
    if let Err(error) = read(gateway).await {
        log::warn!(error:%; "lease not read");
    }
}

async fn read(gateway: &Gateway) -> Result<(), Error> {
    match with_timeout(gateway.store.get(schema::LEASES, schema::LEASE)).await {
        Ok(object) => {
            record_store_outcome(gateway, true);
            observe(gateway, &object);
            Ok(())
        }
        Err(Error::Missing { .. }) => {
            record_store_outcome(gateway, true);
            gateway.coordinator.lease.borrow_mut().missing();
            Ok(())
        }
        Err(error) => {
            record_store_outcome(gateway, false);
            Err(error)
        }
    }
}

fn observe(gateway: &Gateway, object: &Object) {
    match object.spec::<Record>() {
        Ok(record) => {
            let mut lease = gateway.coordinator.lease.borrow_mut();
            lease.saw(now(), object.revision, record);
        }
        Err(error) => log::error!(revision = object.revision, error:%; "lease cannot be read"),
    }
}
