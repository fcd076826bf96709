//! The search for the origin of a stream that a client takes up.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tamaracksail_policy::streams::Origin;
use tamaracksail_wire::peer::{Request as PeerRequest, Response as PeerResponse, StreamOrigin};

use super::membership::record_failure;
use super::software;
use crate::gateway::Gateway;
use crate::peer;

/// How long other gateways may take to respond. Clients abandon a stream after a gap of two seconds.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(300);

/// Returns where the stream began whose first event was brought by the client attempt `attempt`.
///
/// A stream of `service` of which no gateway knows began at the only software version that the store has
/// recorded, or at the only one that this process has observed for long if the store knows of no other,
/// unless it may have begun at another service (`is_only_service`). Returns `None` if the origin cannot be
/// determined, also if the store does not answer: servers of another version may have joined unnoticed.
pub async fn find(
    gateway: &Rc<Gateway>,
    attempt: Option<&str>,
    service: &str,
    is_only_service: bool,
) -> Option<Origin> {
    let count = |origin: &str| {
        let resumptions = &gateway.metrics.resumptions;
        resumptions.with_label_values(&[origin]).inc();
    };
    if let Some(attempt) = attempt
        && let Some(origin) = find_copy(gateway, attempt).await
    {
        count("copy");
        return Some(origin);
    }
    let found = if is_only_service {
        find_version(gateway, service).await
    } else {
        Ok(None)
    };
    let (label, software) = match found {
        Ok(Some((label, software))) => (label, Some(software)),
        Ok(None) => ("unknown", None),
        Err(error) => {
            log::info!(service, error:%; "record of software versions not read");
            ("unknown", None)
        }
    };
    count(label);
    software.map(|software| Origin {
        service: service.to_owned(),
        software,
    })
}

/// Returns the version at which all streams of a service began, and what told it.
///
/// # Errors
/// If the store does not answer.
async fn find_version(
    gateway: &Gateway,
    service: &str,
) -> Result<Option<(&'static str, String)>, software::Unread> {
    let record = software::read(gateway, service).await?;
    let settled = gateway.streams.settled(gateway, service);
    let Some(record) = record else {
        let Some(settled) = settled else {
            return Ok(None);
        };
        let is_only = software::is_only_registered(gateway, service, &settled).await?;
        return Ok(is_only.then_some(("settled", settled)));
    };
    let label = if record.only().is_some() {
        "record"
    } else {
        "settled"
    };
    let version = record.began_at(settled.as_deref());
    Ok(version.map(|version| (label, version.to_owned())))
}

/// Returns the origin of a stream that this or another gateway keeps.
async fn find_copy(gateway: &Rc<Gateway>, attempt: &str) -> Option<Origin> {
    let streams = &gateway.streams;
    let known = streams.origins.borrow().get(attempt).cloned();
    if known.is_some() {
        return known;
    }
    let keepers = streams.members.borrow().possible_keepers(attempt);
    let mut calls: FuturesUnordered<_> = keepers
        .into_iter()
        .map(|keeper| ask(gateway, keeper, attempt))
        .collect();
    while let Some(found) = calls.next().await {
        if found.is_some() {
            return found;
        }
    }
    None
}

/// Responds to a peer that searches for the origin of a stream.
pub fn origin_for_peer(gateway: &Gateway, attempt: String) -> PeerResponse {
    let origins = gateway.streams.origins.borrow();
    let origin = origins.get(&attempt).map(|origin| StreamOrigin {
        service: origin.service.clone(),
        software: origin.software.clone(),
        attempt,
    });
    PeerResponse::Origin { origin }
}

async fn ask(gateway: &Rc<Gateway>, keeper: SocketAddr, attempt: &str) -> Option<Origin> {
    let request = PeerRequest::FindOrigin {
        attempt: attempt.to_owned(),
    };
    match peer::call(gateway, keeper, &request, LOOKUP_TIMEOUT).await {
        Ok(PeerResponse::Origin { origin }) => {
            let origin = origin?;
            Some(Origin {
                service: origin.service,
                software: origin.software,
            })
        }
        Ok(_) => {
            log::warn!(keeper:%; "unexpected response to a search for a stream");
            None
        }
        Err(error) => {
            log::info!(error:%; "origin of a stream not found");
            record_failure(gateway, keeper);
            None
        }
    }
}
