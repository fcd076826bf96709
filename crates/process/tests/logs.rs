//! Tests of the log lines of a process.

use std::process::{Command, Stdio};

/// Runs this test binary as a process that logs as `scene` says, and returns its lines.
fn lines(scene: &str) -> Vec<serde_json::Value> {
    let program = std::env::current_exe().expect("the path of the test binary");
    let output = Command::new(program)
        .args(["--exact", "a_process_that_logs", "--nocapture"])
        .env("SCENE", scene)
        .stdout(Stdio::piped())
        .output()
        .expect("the process runs");
    let text = String::from_utf8(output.stdout).expect("text");
    text.lines()
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect()
}

/// The process that `lines` starts. Does nothing in a normal test run, which sets no scene.
#[test]
fn a_process_that_logs() {
    let Ok(scene) = std::env::var("SCENE") else {
        return;
    };
    tamaracksail_process::logs::start(
        tamaracksail_process::logs::Format::Json,
        log::LevelFilter::Info,
    );
    // The test runner has printed the start of a line.
    println!();
    if scene == "exit" {
        for number in 0..100 {
            log::info!(number; "before the exit");
        }
        tamaracksail_process::logs::flush();
        std::process::exit(0);
    }
    if scene == "flood" {
        for number in 0..5000 {
            log::info!(number; "flood");
            if number % 100 == 0 {
                std::thread::sleep(std::time::Duration::from_millis(1));
            }
        }
        std::thread::sleep(std::time::Duration::from_millis(1100));
        log::info!("after");
    } else {
        let missing: Option<u64> = None;
        log::info!(request = "r1", missing, count = 3, is_late = true; "said \"so\"");
    }
    // The writing thread needs time to write the queued lines.
    std::thread::sleep(std::time::Duration::from_millis(300));
}

#[test]
fn a_line_has_all_fields_but_those_without_a_value() {
    let mut lines = lines("fields");
    assert_eq!(lines.len(), 1);
    let line = lines.remove(0);
    assert!(line["t"].is_u64());
    let mut fields = line.as_object().expect("the line is an object").clone();
    fields.remove("t");
    insta::assert_snapshot!(serde_json::Value::from(fields));
}

#[test]
fn lines_beyond_the_rate_limit_are_dropped_and_counted() {
    let lines = lines("flood");
    let written = lines.iter().filter(|line| line["event"] == "flood").count() as u64;
    let dropped: u64 = lines.iter().filter_map(|line| line["count"].as_u64()).sum();
    assert!(dropped > 0, "{written} lines, none dropped");
    assert_eq!(written + dropped, 5000);
    assert!(lines.iter().any(|line| line["event"] == "after"));
}

// Guards against: the last lines of a process, which say how it ended, are lost as it exits.
#[test]
fn no_line_before_an_exit_is_lost() {
    for _ in 0..20 {
        assert_eq!(lines("exit").len(), 100);
    }
}
