//! The rollout of new weights to 3 to 600 servers, some of which fail to swap.

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

use crate::table::{self, percent, seconds, to_f64};

const DOMAINS: usize = 7;

/// How long a server takes to swap to weights that it has fetched.
const SWAP_TIME: Duration = Duration::from_millis(1500);

/// How long a server takes to fetch weights from the store or a peer.
const FETCH_TIME: Duration = Duration::from_millis(1500);

/// How long a rollout may take before the simulation gives up.
const TIME_LIMIT: Duration = Duration::from_mins(10);

/// The percentage of swaps that fail.
const FAILING_SWAPS_PERCENT: u32 = 5;

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
    /// The time until all servers had the new version; `None` if the time limit was exceeded.
    completed_after: Option<Duration>,
    /// The largest number of servers that loaded weights at the same time.
    max_loading: usize,
    load_commands: u64,
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
    let (mut last_event_id, mut revision, mut load_commands, mut max_loading) =
        (0_u64, 0_u64, 0_u64, 0);
    let mut actions = controller.handle(now, Event::Config(Arc::new(manifest())));
    actions.extend(controller.handle(now, Event::Hosts(hosts)));
    let mut completed_after = None;
    while now.since(start) < TIME_LIMIT {
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
                    load_commands += 1;
                    let fails = random.random_range(0..100) < FAILING_SWAPS_PERCENT;
                    let result = if fails {
                        LoadOutcome::Failed(Some(id::Version(1)))
                    } else {
                        LoadOutcome::Loaded(command.version)
                    };
                    let jitter: f64 = random.random_range(0.8..1.2);
                    (
                        (FETCH_TIME + SWAP_TIME).mul_f64(jitter),
                        Event::LoadOutcome(host.name, result),
                    )
                }
                Action::Released => continue,
            };
            last_event_id += 1;
            pending.insert(last_event_id, event);
            events.push(Reverse((now.after(after), last_event_id)));
        }
        max_loading = max_loading.max(controller.loading());
        let (loaded, total) = controller.progress();
        if loaded == total && total == servers {
            completed_after = Some(now.since(start));
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
        completed_after,
        max_loading,
        load_commands,
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
    table::print_header(
        "Rollout: 1.5 s to fetch, 1.5 s to swap, 5% of swaps fail, store serves 14 at a time",
        &columns,
    );
    for servers in [3, 12, 60, 200, 600] {
        for (name, max_loads_per_peer, max_loading_percent) in [
            ("store only", 0, 34),
            ("store and peers", 2, 20),
            ("store and peers", 2, 34),
        ] {
            let outcome = run(servers, max_loading_percent, max_loads_per_peer, 14, seed);
            table::print_row(&[
                servers.to_string(),
                format!("{name}, {max_loading_percent}% out"),
                percent(to_f64(outcome.max_loading), to_f64(servers)),
                outcome
                    .completed_after
                    .map_or("not within 10 min".to_owned(), seconds),
                outcome.load_commands.to_string(),
            ]);
        }
    }
}
