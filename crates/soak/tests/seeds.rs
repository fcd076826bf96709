//! A short soak, and the plan that a seed gives.

use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use tamaracksail_soak::plan::Plan;

/// Seeds of the short soak. A seed that ever broke a promise is added here, with a line on the cause.
const SEEDS: [u64; 2] = [1, 13];

/// How long faults are injected in a run, in seconds.
const SECONDS: &str = "10";

/// The gateway's program, which lies beside the soak's: both are built with the workspace.
fn gateway() -> PathBuf {
    let soak = PathBuf::from(env!("CARGO_BIN_EXE_soak"));
    let gateway = soak.with_file_name("tamaracksail-gateway");
    assert!(
        gateway.exists(),
        "build the workspace first: cargo build --workspace"
    );
    gateway
}

#[test]
fn promises_hold_under_faults() {
    let mut runs = Vec::new();
    for seed in SEEDS {
        let run = Command::new(env!("CARGO_BIN_EXE_soak"))
            .arg("--gateway")
            .arg(gateway())
            .args(["--seed", &seed.to_string(), "--seconds", SECONDS])
            .stdout(std::process::Stdio::piped())
            .spawn()
            .expect("the soak starts");
        runs.push(run);
    }
    for run in runs {
        let output = run.wait_with_output().expect("the soak ends");
        let text = String::from_utf8_lossy(&output.stdout);
        assert!(output.status.success(), "{text}");
        assert!(text.contains(" 0 broken"), "{text}");
    }
}

#[test]
fn wrong_settings_are_all_named() {
    let output = Command::new(env!("CARGO_BIN_EXE_soak"))
        .args(["--seed", "x", "--hosts", "0"])
        .output()
        .expect("the soak starts");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    for flag in ["--gateway", "--seed", "--hosts"] {
        assert!(text.contains(flag), "{text}");
    }
}

#[test]
fn a_seed_gives_its_plan() {
    let plan = Plan::draw(7, Duration::from_secs(14), 4, 6);
    assert_eq!(plan, Plan::draw(7, Duration::from_secs(14), 4, 6));
    insta::assert_snapshot!(plan);
}
