//! Keeps the scheduling lease while there is work.

use std::rc::Rc;
use std::time::Duration;

use tamaracksail_adapter::store::{Error, Object};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::lease::{Record, Step};

use super::record;
use super::takeover;
use crate::gateway::{Gateway, now};

/// How long after the last sign of work this process wants the lease. Clients read about twice a
/// second.
const WANTED: Duration = Duration::from_secs(10);

/// Between two looks at a lease that another holds. Each is a paid call.
const LOOK: Duration = Duration::from_millis(1500);

/// Between two looks at the own lease.
const OWN_LOOK: Duration = Duration::from_millis(250);

/// After a failed call.
const RETRY: Duration = Duration::from_millis(400);

/// Notes that batches are at work here, so that some process must schedule.
pub fn want(gateway: &Gateway) {
    if gateway.stopping.get().is_some() {
        return;
    }
    let desk = &gateway.desk;
    let at = now();
    let was_wanted = desk.wanted.get() > at;
    desk.wanted.set(at.after(WANTED));
    if !was_wanted {
        desk.wake_keeper.notify_one();
    }
}

/// Takes and renews the lease, for ever.
pub async fn keep(gateway: Rc<Gateway>) {
    let desk = &gateway.desk;
    loop {
        if desk.wanted.get() <= now() && !desk.is_open.get() {
            desk.wake_keeper.notified().await;
        }
        let pause = step(&gateway).await;
        tokio::time::sleep(pause).await;
    }
}

/// One look at the lease. Returns how long to wait until the next.
async fn step(gateway: &Rc<Gateway>) -> Duration {
    let desk = &gateway.desk;
    let is_held = desk.lease.borrow().fence(now()).is_some();
    if desk.is_open.get() && !is_held {
        desk.close("the lease has lapsed");
    }
    let is_wanted = desk.wanted.get() > now() || !desk.names.borrow().is_empty();
    if !is_wanted || gateway.stopping.get().is_some() {
        return LOOK;
    }
    let next = desk.lease.borrow().step(now(), false);
    let next = match next {
        Step::Read => match read(gateway).await {
            Ok(()) => desk.lease.borrow().step(now(), true),
            Err(error) => {
                log::warn!(error:%; "lease not read");
                return RETRY;
            }
        },
        next => next,
    };
    match next {
        Step::Rest | Step::Read => {}
        Step::Create(wanted) => {
            let asked = now();
            let outcome = gateway
                .store
                .create(record::LEASES, record::LEASE, &wanted)
                .await;
            written(gateway, asked, &wanted, outcome, true).await;
        }
        Step::Replace(revision, wanted) => {
            let asked = now();
            let previous = desk.lease.borrow().holder().map(str::to_owned);
            let is_own = previous.as_ref() == wanted.holder.as_ref();
            let outcome = gateway
                .store
                .replace(record::LEASES, record::LEASE, revision, &wanted)
                .await;
            written(gateway, asked, &wanted, outcome, is_own).await;
        }
    }
    if desk.lease.borrow().fence(now()).is_none() {
        desk.close("the lease was lost");
        return LOOK;
    }
    if !desk.is_open.get() {
        takeover::open(gateway).await;
    }
    OWN_LOOK
}

async fn read(gateway: &Gateway) -> Result<(), Error> {
    let asked = now();
    match gateway.store.get(record::LEASES, record::LEASE).await {
        Ok(object) => {
            saw(gateway, asked, &object);
            Ok(())
        }
        Err(Error::Missing { .. }) => {
            gateway.desk.lease.borrow_mut().missing();
            Ok(())
        }
        Err(error) => Err(error),
    }
}

fn saw(gateway: &Gateway, asked: Instant, object: &Object) {
    match object.spec::<Record>() {
        Ok(record) => {
            let mut lease = gateway.desk.lease.borrow_mut();
            lease.saw(asked, now(), object.revision, record);
        }
        Err(error) => log::error!(revision = object.revision, error:%; "lease cannot be read"),
    }
}

async fn written(
    gateway: &Gateway,
    asked: Instant,
    wanted: &Record,
    outcome: Result<Object, Error>,
    is_own: bool,
) {
    let desk = &gateway.desk;
    match outcome {
        Ok(object) => {
            let was_held = desk.lease.borrow().fence(now()).is_some();
            let mut lease = desk.lease.borrow_mut();
            lease.wrote(asked, now(), object.revision, wanted.clone());
            if !was_held && is_own {
                lease.skip_pause();
            }
            drop(lease);
            if !was_held {
                log::info!(fence = wanted.fence, revision = object.revision; "lease taken");
            }
        }
        Err(Error::Conflict { object, .. }) => {
            log::info!(fence = wanted.fence; "lease changed by another");
            match object {
                Some(object) => saw(gateway, asked, &object),
                None => {
                    if let Err(error) = read(gateway).await {
                        log::warn!(error:%; "lease not read");
                    }
                }
            }
        }
        Err(error) => {
            log::warn!(fence = wanted.fence, error:%; "lease not written");
            // It may be written all the same; what stands there tells.
            if let Err(error) = read(gateway).await {
                log::warn!(error:%; "lease not read");
            }
        }
    }
}
