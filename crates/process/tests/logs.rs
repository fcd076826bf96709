//! Log lines of a process.

use std::process::{Command, Stdio};

/// Runs this test program as a process that logs, and returns its lines.
fn lines(scene: &str) -> Vec<serde_json::Value> {
    let program = std::env::current_exe().expect("the test program");
    let output = Command::new(program)
        .args(["--exact", "a_process_that_logs", "--nocapture"])
        .env("SCENE", scene)
        .stdout(Stdio::piped())
        .output()
        .expect("it runs");
    let text = String::from_utf8(output.stdout).expect("text");
    text.lines()
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect()
}

/// Does nothing by itself; `lines` runs it with a scene.
#[test]
fn a_process_that_logs() {
    let Ok(scene) = std::env::var("SCENE") else {
        return;
    };
    tamaracksail_process::logs::start(
        tamaracksail_process::logs::Format::Json,
        log::LevelFilter::Info,
    );
    // The runner writes its own beginning of a line first.
    println!();
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
    // The writing thread takes what waits.
    std::thread::sleep(std::time::Duration::from_millis(300));
}

#[test]
fn a_line_holds_its_fields_and_no_missing_ones() {
    let mut lines = lines("fields");
    assert_eq!(lines.len(), 1);
    let line = lines.remove(0);
    assert!(line["t"].is_u64());
    let mut rest = line.as_object().expect("an object").clone();
    rest.remove("t");
    insta::assert_snapshot!(serde_json::Value::from(rest));
}

#[test]
fn a_flood_is_cut_and_the_cut_is_counted() {
    let lines = lines("flood");
    let kept = lines.iter().filter(|line| line["event"] == "flood").count() as u64;
    let dropped: u64 = lines.iter().filter_map(|line| line["count"].as_u64()).sum();
    assert!(dropped > 0, "{kept} lines, none dropped");
    assert_eq!(kept + dropped, 5000);
    assert!(lines.iter().any(|line| line["event"] == "after"));
}
