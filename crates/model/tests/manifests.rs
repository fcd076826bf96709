//! Tests of manifests: every error is reported with its file, object and field.

use proptest::prelude::*;
use tamaracksail_model::config::Snapshot;
use tamaracksail_model::id::{Generation, Object};
use tamaracksail_model::manifest::Set;

fn errors(text: &str) -> Vec<String> {
    let mut set = Set::default();
    set.add("set.yaml", text);
    let errors = set.finish().expect_err("the set is invalid");
    errors.iter().map(ToString::to_string).collect()
}

#[test]
fn every_error_of_ten_malformed_manifests_is_reported() {
    let texts = [
        "kind: Engine\nname: a\nspec: {}",
        "name: a\nspec: {region: r}",
        "kind: Domain\nspec: {region: r}",
        "kind: Domain\nname: a\nspec: {region: r, colour: red}\nextra: 1",
        "kind: Pool\nname: p\nspec: {model: m, domains: a, checks_orders: perhaps, concurrency: -1}",
        "kind: Trainer\nname: t\nspec: {}",
        "kind: Domain\nname: A b\nspec: {region: ''}",
        "kind: Model\nname: m\nspec: {serve: v9}\n---\nkind: Version\nname: v1\nspec: {model: n, number: 0}",
        "kind: Domain\nname: a\nspec: {region: r}\n---\nkind: Domain\nname: a\nspec: {region: s}",
        "kind: Rule\nname: r\nspec: {type: hedge, trainer: t, percentile: 20, cap_percent: 200}\n---\n- just\n- a list",
    ];
    let reported: Vec<Vec<String>> = texts.iter().map(|text| errors(text)).collect();
    assert!(reported.iter().all(|errors| !errors.is_empty()));
    insta::assert_debug_snapshot!(reported);
}

#[test]
fn the_example_manifests_are_valid_and_can_be_stored() {
    for example in ["tn-nord", "nairobi"] {
        let folder = format!("{}/../../examples/{example}", env!("CARGO_MANIFEST_DIR"));
        let mut set = Set::default();
        for file in ["objects.yaml", "rules.yaml"] {
            let path = format!("{folder}/{file}");
            set.add(
                file,
                &std::fs::read_to_string(path).expect("the example can be read"),
            );
        }
        let objects = set.finish().expect("the example is valid");
        let snapshot = Snapshot {
            generation: Generation(1),
            objects,
        };
        let stored = serde_json::to_string(&snapshot).expect("the snapshot can be serialised");
        let read: Snapshot =
            serde_json::from_str(&stored).expect("the snapshot can be deserialised");
        assert_eq!(read, snapshot);
    }
}

#[test]
fn the_strictest_limits_of_several_staleness_rules_apply() {
    let mut set = Set::default();
    set.add(
        "set.yaml",
        "kind: Model\nname: m\nspec: {serve: v1}\n---\n\
         kind: Version\nname: v1\nspec: {model: m, number: 1}\n---\n\
         kind: Trainer\nname: t\nspec: {model: m, batch: 1}\n---\n\
         kind: Rule\nname: a\nspec: {type: staleness, trainer: t, versions: 3, seconds: 10}\n---\n\
         kind: Rule\nname: b\nspec: {type: staleness, trainer: t, versions: 1, seconds: 90}\n",
    );
    let objects = set.finish().expect("the set is valid");
    let snapshot = Snapshot {
        generation: Generation(1),
        objects,
    };
    insta::assert_debug_snapshot!(snapshot.staleness_bound(&Object::from("t")));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: prop::test_runner::RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_text_is_parsed_or_rejected(text in "[a-z:{}\\[\\]\n \\-]{0,200}") {
        let mut set = Set::default();
        set.add("set.yaml", &text);
        drop(set.finish());
    }
}
