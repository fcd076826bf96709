//! Connects usage to the process: the only module here that names the type `Gateway`.

use std::rc::Rc;
use std::time::Duration;

use tamaracksail_model::account::Caller;
use tamaracksail_model::usage::{Report, Window};
use tamaracksail_policy::duty::Member;
use tamaracksail_wire::peer::{Reporter, Response as PeerResponse};

use super::request::Request;
use super::state::View;
use crate::batches::has_spare_cpu;
use crate::gateway::{Gateway, now};
use crate::streams;

/// The time between two checks of what is to be done.
const TICK: Duration = Duration::from_millis(100);

/// Starts to count and report usage, if the settings ask for it.
pub fn start(gateway: &Rc<Gateway>) {
    let requests_scaling = {
        let settings = gateway.settings.borrow();
        let cloud = settings.cloud.as_ref();
        cloud.is_some_and(|cloud| cloud.requests_scaling)
    };
    if requests_scaling {
        log::warn!("the settings request scaling of services, which is not implemented");
    }
    let Some(usage) = gateway.usage.clone() else {
        return;
    };
    log::info!(
        window_ms = usage.windows.length().as_millis(), requires_fence = usage.cloud.requires_fence;
        "usage is counted and reported"
    );
    streams::join(gateway);
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        loop {
            usage.tick(now(), &view(&gateway));
            tokio::time::sleep(TICK).await;
        }
    });
}

fn view(gateway: &Gateway) -> View {
    let scheduler = gateway.coordinator.scheduler_address();
    let member = |host: &str, address, has_spare_cpu| Member {
        host: host.to_owned(),
        address,
        has_spare_cpu,
        is_scheduler: scheduler == Some(address),
        is_unresponsive: false,
    };
    let own_host = gateway.settings.borrow().host.clone();
    let own = member(&own_host, gateway.peer_address(), has_spare_cpu(gateway));
    let others = gateway.streams.members();
    let others = others.hosts().filter(|(host, ..)| *host != own_host);
    let others = others.map(|(host, address, has_spare_cpu)| member(host, address, has_spare_cpu));
    View {
        unix_ms: gateway.clock.estimate().map(|time| time.unix_ms),
        is_scheduler_known: scheduler.is_some(),
        members: std::iter::once(own).chain(others).collect(),
    }
}

/// Returns the usage of a request that is to be counted: one of an account, if usage is reported.
pub fn request(gateway: &Gateway, caller: &Caller) -> Option<Rc<Request>> {
    let usage = gateway.usage.as_ref()?;
    Some(Rc::new(Request::new(usage, caller.account()?)))
}

/// Merges the counts of a peer.
pub fn merge_for_peer(gateway: &Gateway, incarnation: u64, reports: &[Report]) -> PeerResponse {
    let Some(usage) = &gateway.usage else {
        return PeerResponse::Unknown;
    };
    usage.merge(incarnation, reports);
    PeerResponse::Usage {
        incarnation: usage.own.incarnation,
        reporter: usage.reporter(),
    }
}

/// Returns all counts from a window on to the reporter.
pub fn counts_for_peer(gateway: &Gateway, reporter: Reporter, from: Window) -> PeerResponse {
    let Some(usage) = &gateway.usage else {
        return PeerResponse::Unknown;
    };
    usage.adopt_reporter(reporter);
    usage.merge_own();
    PeerResponse::UsageCounts {
        processes: usage.processes(from),
    }
}
