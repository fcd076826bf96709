//! The rollout of weights, from 3 to 600 servers, with failing swaps.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tamaracksail_model::config::Snapshot;
use tamaracksail_model::host::{Host, Phase, Role};
use tamaracksail_model::id;
use tamaracksail_model::manifest::Set;
use tamaracksail_model::store::{CallResult, Op, Reply};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::process::lease::Claimant;
use tamaracksail_policy::version::rollout::{Action, Event, RolloutController, Settings};
use tamaracksail_wire::LoadOutcome;

use crate::table::{self, percent, real, seconds};

const DOMAINS: usize = 7;

/// How long a swap takes once its weights are there, and reading them from a source.
const SWAP: Duration = Duration::from_millis(1500);
const FETCH: Duration = Duration::from_millis(1500);

const LIMIT: Duration = Duration::from_mins(10);

/// The share of swaps that fail, in percent.
const FAILING: u32 = 5;

fn manifest() -> Snapshot {
    let domain = |index| format!("---\nkind: Domain\nname: d{index}\nspec: {{region: r}}\n");
    let domains: String = (0..DOMAINS).map(domain).collect();
    let text = format!(
        "kind: Model\nname: m\nspec: {{serve: v2}}\n---\n\
         kind: Version\nname: v2\nspec: {{model: m, number: 2}}\n---\n\
         kind: Pool\nname: p\nspec: {{model: m, domains: [d0], checks_orders: true}}\n{domains}"
    );
    let mut set = Set::default();
    set.add("measure.yaml", &text);
    let objects = set.finish().expect("the manifest is consistent");
    Snapshot {
        generation: id::Generation(1),
        objects,
    }
}

struct Outcome {
    all_after: Option<Duration>,
    most_loading: usize,
    orders: u64,
}

fn run(
    servers: usize,
    max_loading_percent: u32,
    max_loads_per_peer: u32,
    max_loads_from_store: u32,
    seed: u64,
) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let start = Instant::from_millis(1_000_000);
    let mut now = start;
    let mut controller = RolloutController::new(Settings {
        model: "m".into(),
        claimant: Claimant {
            host: "entry-1".into(),
            incarnation: id::Incarnation(1),
        },
        max_loads_from_store,
        max_loads_per_peer,
        max_loading_percent,
    });
    let hosts: Vec<Host> = (0..servers)
        .map(|index| Host {
            name: id::Host(format!("agent-{index:03}")),
            role: Role::Agent,
            address: ([127, 0, 0, 1], 1).into(),
            domain: id::Domain(format!("d{}", index % DOMAINS)),
            serves: Some("p".into()),
            phase: Phase::Live,
        })
        .collect();
    let mut events: BinaryHeap<Reverse<(Instant, u64)>> = BinaryHeap::new();
    let mut pending = std::collections::BTreeMap::new();
    let (mut last, mut revision, mut orders, mut most_loading) = (0_u64, 0_u64, 0_u64, 0);
    let mut actions = controller.handle(now, Event::Config(Arc::new(manifest())));
    actions.extend(controller.handle(now, Event::Hosts(hosts)));
    let mut all_after = None;
    while now.since(start) < LIMIT {
        for action in actions.drain(..) {
            let (after, event) = match action {
                Action::Store(call) => {
                    let result = match call.op {
                        Op::Get => CallResult::Missing,
                        Op::Put { .. } => {
                            revision += 1;
                            CallResult::Written {
                                revision: id::Revision(revision),
                            }
                        }
                    };
                    let reply = Reply {
                        call_id: call.call_id,
                        result,
                    };
                    (Duration::from_millis(5), Event::Stored(reply))
                }
                Action::LoadCommand(host, command) => {
                    orders += 1;
                    let fails = random.random_range(0..100) < FAILING;
                    let result = if fails {
                        LoadOutcome::Failed(Some(id::Version(1)))
                    } else {
                        LoadOutcome::Loaded(command.version)
                    };
                    let spread: f64 = random.random_range(0.8..1.2);
                    (
                        (FETCH + SWAP).mul_f64(spread),
                        Event::LoadOutcome(host.name, result),
                    )
                }
                Action::Released => continue,
            };
            last += 1;
            pending.insert(last, event);
            events.push(Reverse((now.after(after), last)));
        }
        most_loading = most_loading.max(controller.loading());
        let (there, all) = controller.progress();
        if there == all && all == servers {
            all_after = Some(now.since(start));
            break;
        }
        let tick = now.after(Duration::from_millis(100));
        match events.peek().copied() {
            Some(Reverse((at, key))) if at <= tick => {
                events.pop();
                now = at;
                if let Some(event) = pending.remove(&key) {
                    actions = controller.handle(now, event);
                }
            }
            _ => {
                now = tick;
                actions = controller.handle(now, Event::Tick);
            }
        }
    }
    Outcome {
        all_after,
        most_loading,
        orders,
    }
}

/// Prints the table.
pub fn print(seed: u64) {
    let columns = [
        "servers",
        "sources",
        "most out at once",
        "all on the new version after",
        "orders",
    ];
    table::head(
        "Rollout: 1.5 s to fetch, 1.5 s to swap, 5% of swaps fail, store serves 14 at a time",
        &columns,
    );
    for servers in [3, 12, 60, 200, 600] {
        for (name, max_loads_per_peer, out) in [
            ("store only", 0, 34),
            ("store and peers", 2, 20),
            ("store and peers", 2, 34),
        ] {
            let outcome = run(servers, out, max_loads_per_peer, 14, seed);
            table::row(&[
                servers.to_string(),
                format!("{name}, {out}% out"),
                percent(real(outcome.most_loading), real(servers)),
                outcome
                    .all_after
                    .map_or("not within 10 min".to_owned(), seconds),
                outcome.orders.to_string(),
            ]);
        }
    }
}
