//! Host lists with entries that cannot be read.

use serde_json::json;
use tamaracksail_model::id::{Domain, Host, Incarnation, Revision};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::store::{CallResult, Reply};
use tamaracksail_policy::version::replica::{Action, ConfigReplica, Event, HOSTS_KEY, Settings};

fn replica() -> ConfigReplica {
    ConfigReplica::new(Settings {
        host: Host("h1".into()),
        domain: Domain("a".into()),
        address: ([127, 0, 0, 1], 1).into(),
        incarnation: Incarnation(1),
        seeds: Vec::new(),
        seed: 1,
    })
}

/// Starts a replica, and returns its actions when the host list arrives.
fn receive(list: &[u8]) -> Vec<Action> {
    let mut replica = replica();
    let started = replica.handle(Instant::from_millis(1000), Event::Tick);
    let read = started.into_iter().find_map(|action| match action {
        Action::Store(call) if call.key == HOSTS_KEY => Some(call.call_id),
        _ => None,
    });
    let call_id = read.expect("a read of the host list");
    let result = CallResult::Value {
        revision: Revision(7),
        value: list.to_vec(),
    };
    let reply = Reply { call_id, result };
    replica.handle(Instant::from_millis(1010), Event::Stored(reply))
}

fn host(name: &str) -> serde_json::Value {
    json!({"name": name, "role": "entry", "address": "127.0.0.1:1", "domain": "a", "phase": "live"})
}

// Guards against: one entry that cannot be read hides all hosts, and makes its readers ask again without a pause.
#[test]
fn an_entry_that_cannot_be_read_hides_no_other_host() {
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    let odd = [
        nested.into_bytes(),
        br#"{"name":"x","role":"entry","address":"127.0.0.1:99999","domain":"a","phase":"live"}"#
            .to_vec(),
        br#"{"name":1e999,"role":"entry"}"#.to_vec(),
        b"null".to_vec(),
        b"{\"name\":\"\xff\"}".to_vec(),
    ];
    for entry in odd {
        let known = [host("h2").to_string(), host("h3").to_string()];
        let parts = [known[0].as_bytes(), &entry, known[1].as_bytes()];
        let text = [b"[", &*parts.join(&b','), b"]"].concat();
        let actions = receive(&text);
        let listed = actions.iter().find_map(|action| match action {
            Action::Hosts(hosts) => Some(hosts.len()),
            _ => None,
        });
        let is_reported = actions
            .iter()
            .any(|action| matches!(action, Action::UnreadableHost(_)));
        assert_eq!((listed, is_reported), (Some(2), true), "{actions:?}");
    }
    // A value that is no list is reported, and not asked for again at once.
    let actions = receive(b"{}");
    assert!(
        matches!(actions[..], [Action::UnreadableHost(_)]),
        "{actions:?}"
    );
}
