//! The check that changed routes come into force although the store or its connections give no sign of a fault.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use tamaracksail_adapter_standins::settings;
use tamaracksail_adapter_standins::store::Fault;
use tokio::time::sleep;

use crate::clients;
use crate::plan::Link;
use crate::world::World;

/// How long after a disturbance of the store the platform's bounds hold again, and how long a change then has to
/// come into force: the default of the settings.
const BOUND: Duration = Duration::from_secs(3);

/// Makes the seed of these faults differ from that of the plan.
const SEED_MASK: u64 = 0x726f_7574_6573;

/// The kind of the objects that hold the routes.
const ROUTES_KIND: &str = "config";

/// What hides a change from the gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disturbance {
    /// The open connections to the store bring nothing any more.
    SilentConnections,
    /// Reads of the routes and watches of them are never answered.
    Unanswered,
    /// Answers leave changes out, then the history is dropped and watches are cut off.
    LeftOut,
    /// The links from all hosts to the store forward nothing for a moment.
    SilentLinks,
    /// As before, in the direction from the store.
    NoResponses,
}

const ALL: [Disturbance; 5] = [
    Disturbance::SilentConnections,
    Disturbance::Unanswered,
    Disturbance::LeftOut,
    Disturbance::SilentLinks,
    Disturbance::NoResponses,
];

/// Changes the routes in each of the disturbances, in an order drawn from the seed, and checks that all hosts use
/// the new ones once the bounds of the platform hold. No other faults are injected meanwhile.
pub async fn check(world: &World, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed ^ SEED_MASK);
    let mut order = ALL;
    order.shuffle(&mut rng);
    for disturbance in order {
        let version = world.next_routes_version();
        let prefix = format!("/moved-{version}/");
        let before = Duration::from_millis(rng.random_range(0..400));
        let after = Duration::from_millis(rng.random_range(50..600));
        let change = async {
            sleep(before).await;
            world
                .store
                .put_routes(settings::moved_routes(version, &prefix));
            sleep(after).await;
        };
        disturb(world, disturbance, change).await;
        sleep(BOUND).await;
        for host in &world.hosts {
            let added = clients::status(host, &format!("{prefix}x")).await;
            let removed = clients::status(host, "/plain/x").await;
            if added == Some(404) || removed == Some(200) {
                let detail = format!(
                    "{} does not use version {version} after {disturbance:?}: {added:?} and {removed:?}",
                    host.name
                );
                world.record_violation("routes", &detail);
            }
        }
    }
    let version = world.next_routes_version();
    world.store.put_routes(settings::routes(version));
    sleep(BOUND).await;
}

/// Makes a change in the middle of a disturbance, and ends the disturbance.
async fn disturb(world: &World, disturbance: Disturbance, change: impl Future<Output = ()>) {
    let set_links = |link| {
        for host in &world.hosts {
            host.store_link.set(link);
        }
    };
    match disturbance {
        Disturbance::SilentConnections => {
            world.store.silence_connections();
            change.await;
        }
        Disturbance::Unanswered => {
            let fault = Fault::WithholdsReads(ROUTES_KIND.to_owned());
            world.store.set_fault(fault);
            change.await;
            world.store.set_fault(Fault::None);
        }
        Disturbance::LeftOut => {
            world.store.set_fault(Fault::HidesChanges(String::new()));
            change.await;
            world.store.discard_history();
            world.store.cut_watches();
            world.store.set_fault(Fault::None);
        }
        Disturbance::SilentLinks => {
            set_links(Link::Silent);
            change.await;
            set_links(Link::Open);
        }
        Disturbance::NoResponses => {
            set_links(Link::NoResponses);
            change.await;
            set_links(Link::Open);
        }
    }
}
