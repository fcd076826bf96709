//! Copies of the origins of streams at other gateways.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tamaracksail_model::backend::Registration;
use tamaracksail_policy::streams::Origin;
use tamaracksail_wire::peer::{Request as PeerRequest, Response as PeerResponse, StreamOrigin};

use super::membership::record_failure;
use super::software;
use crate::gateway::{Gateway, now};
use crate::peer;

/// The time over which copies for one gateway are collected.
const COLLECTION_TIME: Duration = Duration::from_millis(10);

/// How long a gateway may take to respond to copies.
const COPY_TIMEOUT: Duration = Duration::from_millis(500);

/// Keeps the origin of a stream that begins at this gateway. While the service has several software
/// versions, or if the stream might have begun at another service (`is_only_service`), also sends it to
/// other gateways.
pub fn begin(
    gateway: &Rc<Gateway>,
    attempt: &str,
    service: &str,
    software: &str,
    is_only_service: bool,
) {
    let streams = &gateway.streams;
    let origin = Origin {
        service: service.to_owned(),
        software: software.to_owned(),
    };
    streams.origins.borrow_mut().begin(now(), attempt, origin);
    if !is_only_service || streams.settled(gateway, service).is_none() {
        share_unshared(gateway, service);
    }
}

/// Records the software version of a server that is registered, or was until now. Streams that began
/// before a service had a second version are sent to other gateways then.
pub fn record_server(gateway: &Gateway, server: &Registration) {
    software::observe(gateway, server);
    let mut versions = gateway.streams.versions.borrow_mut();
    if versions.record(now(), server) {
        drop(versions);
        log::info!(
            service = server.service.as_str(), software = server.software.as_str();
            "service has a further software version"
        );
        share_unshared(gateway, &server.service);
    }
}

/// Keeps copies of origins for another gateway.
pub fn copy(gateway: &Gateway, copies: Vec<StreamOrigin>) {
    let mut origins = gateway.streams.origins.borrow_mut();
    for copy in copies {
        let origin = Origin {
            service: copy.service,
            software: copy.software,
        };
        origins.copy(now(), &copy.attempt, origin);
    }
}

fn share_unshared(gateway: &Gateway, service: &str) {
    let unshared = gateway.streams.origins.borrow_mut().take_unshared(service);
    let copies = unshared.into_iter().map(|(attempt, origin)| StreamOrigin {
        attempt,
        service: origin.service,
        software: origin.software,
    });
    queue(gateway, copies);
}

/// Queues copies for the gateways that should keep them.
fn queue(gateway: &Gateway, copies: impl Iterator<Item = StreamOrigin>) {
    let streams = &gateway.streams;
    let members = streams.members.borrow();
    let mut unsent = streams.unsent.borrow_mut();
    for copy in copies {
        for keeper in members.keepers(now(), &copy.attempt) {
            unsent.entry(keeper).or_default().push(copy.clone());
        }
    }
    if !unsent.is_empty() {
        streams.wake.notify_one();
    }
}

/// Sends queued copies. Never returns.
pub async fn run(gateway: Rc<Gateway>) {
    loop {
        gateway.streams.wake.notified().await;
        tokio::time::sleep(COLLECTION_TIME).await;
        let unsent = std::mem::take(&mut *gateway.streams.unsent.borrow_mut());
        for (keeper, copies) in unsent {
            actix_rt::spawn(send(Rc::clone(&gateway), keeper, copies));
        }
    }
}

async fn send(gateway: Rc<Gateway>, keeper: SocketAddr, copies: Vec<StreamOrigin>) {
    let request = PeerRequest::KeepOrigins { origins: copies };
    let response = peer::call(&gateway, keeper, &request, COPY_TIMEOUT).await;
    let error = match response {
        Ok(PeerResponse::Kept) => {
            let mut members = gateway.streams.members.borrow_mut();
            return members.record_response(keeper);
        }
        Ok(_) => format!("unexpected response of {keeper}"),
        Err(error) => error.to_string(),
    };
    log::info!(error; "origins of streams not copied");
    record_failure(&gateway, keeper);
    if let PeerRequest::KeepOrigins { origins } = request {
        // The gateway that did not respond is passed over for a while.
        queue(&gateway, origins.into_iter());
    }
}
