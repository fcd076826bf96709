//! The operator's requests to empty a host with a disk. No promise rests on such a host, so a
//! request is complete once it is seen.

use std::rc::Rc;
use std::time::Duration;

use tamaracksail_adapter::names;
use tamaracksail_adapter::retirement::{self, State, Status};
use tamaracksail_adapter::store::{Error, Object};

use crate::gateway::Gateway;
use crate::store::{self, Event};

/// All gateways see a request; each answers after a random pause up to this, so that mostly one
/// call is made.
const SPREAD: Duration = Duration::from_millis(600);

/// The pause before a failed answer is tried again. Operators give seconds.
const RETRY: Duration = Duration::from_millis(500);

/// Follows the requests.
pub async fn watch(gateway: Rc<Gateway>) {
    let client = gateway.store.clone();
    store::watch_kind(
        client,
        gateway.store_availability.clone(),
        names::RETIREMENT_KIND,
        Duration::ZERO,
        |event| match event {
            Event::All(objects) => objects.iter().for_each(|object| answer(&gateway, object)),
            Event::Changed(object) => answer(&gateway, object),
            Event::Removed(_) | Event::Lost => {}
        },
    )
    .await;
}

fn answer(gateway: &Rc<Gateway>, object: &Object) {
    match retirement::is_open(object) {
        Ok(true) => {}
        Ok(false) => return,
        Err(error) => {
            log::warn!(host = object.name.as_str(), error:%; "retirement passed over");
            return;
        }
    }
    let host = object.name.clone();
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        tokio::time::sleep(SPREAD.mul_f64(rand::random())).await;
        while let Err(error) = complete(&gateway, &host).await {
            log::warn!(host = host.as_str(), error:%; "retirement not completed");
            tokio::time::sleep(RETRY).await;
        }
    });
}

/// Completes a request, unless another gateway has done so.
async fn complete(gateway: &Gateway, host: &str) -> Result<(), Error> {
    let object = match gateway.store.get(names::RETIREMENT_KIND, host).await {
        Err(Error::Missing { .. }) => return Ok(()),
        other => other?,
    };
    // A status that cannot be read is replaced.
    if !retirement::is_open(&object).unwrap_or(true) {
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
