//! The operator's requests to retire a host with a disk. No guarantee of the gateways depends on
//! the data of such a host, so a request is completed as soon as it is seen.

use std::rc::Rc;
use std::time::Duration;

use tamaracksail_adapter::names;
use tamaracksail_adapter::retirement::{self, State, Status};
use tamaracksail_adapter::store::{Error, Object};
use tamaracksail_policy::freshness::Fact;

use crate::gateway::Gateway;
use crate::store::{self, Event, Watched};

/// The longest random delay before a gateway completes a request. All gateways see it at once, and
/// with the delay mostly a single one writes.
const MAX_RANDOM_DELAY: Duration = Duration::from_millis(600);

/// The pause before a failed completion is retried. Operators allow several seconds for it.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Watches the requests and completes each.
pub async fn watch(gateway: Rc<Gateway>) {
    let client = gateway.store.clone();
    store::watch_kind(
        client,
        gateway.store_availability.clone(),
        Watched {
            kind: names::RETIREMENT_KIND,
            fact: Fact::Retirements,
            debounce: Duration::ZERO,
        },
        |event| match event {
            Event::All(objects) => objects
                .iter()
                .for_each(|object| complete_later(&gateway, object)),
            Event::Changed(object) => complete_later(&gateway, object),
            Event::Removed(_)
            | Event::Answered(_)
            | Event::WatchLost
            | Event::StoreFailed
            | Event::Overdue => {}
        },
    )
    .await;
}

/// Starts completing a request, unless it is complete already.
fn complete_later(gateway: &Rc<Gateway>, object: &Object) {
    match retirement::is_pending(object) {
        Ok(true) => {}
        Ok(false) => return,
        Err(error) => {
            log::warn!(host = object.name.as_str(), error:%; "malformed retirement ignored");
            return;
        }
    }
    let host = object.name.clone();
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        tokio::time::sleep(MAX_RANDOM_DELAY.mul_f64(rand::random())).await;
        while let Err(error) = complete(&gateway, &host).await {
            log::warn!(host = host.as_str(), error:%; "retirement not completed");
            tokio::time::sleep(RETRY_DELAY).await;
        }
    });
}

/// Completes a request, unless another gateway has done so.
async fn complete(gateway: &Gateway, host: &str) -> Result<(), Error> {
    let object = match gateway.store.get(names::RETIREMENT_KIND, host).await {
        Err(Error::Missing { .. }) => return Ok(()),
        other => other?,
    };
    // A malformed status is replaced.
    if !retirement::is_pending(&object).unwrap_or(true) {
        return Ok(());
    }
    let status = Status {
        state: State::Completed,
    };
    gateway
        .store
        .put_status(names::RETIREMENT_KIND, host, &status)
        .await?;
    log::info!(host; "retirement completed");
    Ok(())
}
