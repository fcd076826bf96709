//! SIGHUP, by which tools ask a process to reload its settings, must not stop a shelf.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

#[test]
fn a_hangup_signal_does_not_stop_the_shelf() {
    let folder = std::env::temp_dir().join(format!("tamaracksail-shelf-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the data folder can be created");
    let mut shelf = Command::new(env!("CARGO_BIN_EXE_tamaracksail-shelf"))
        .args(["--listen", "127.0.0.1:0", "--workers", "1", "--data"])
        .arg(&folder)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the shelf can be started");
    let output = shelf
        .stdout
        .take()
        .expect("the output of the shelf is piped");
    let mut lines = BufReader::new(output).lines().map_while(Result::ok);
    // The shelf logs this line after it has installed the handler of SIGHUP.
    lines
        .find(|line| line.contains("outdated payloads"))
        .expect("the shelf opens its storage");
    let sent = Command::new("kill")
        .args(["-HUP", &shelf.id().to_string()])
        .status();
    assert!(sent.expect("kill can be run").success());
    let hangup_line = lines.find(|line| line.contains("SIGHUP"));
    let ended = shelf
        .try_wait()
        .expect("the status of the shelf can be read");
    shelf.kill().expect("the shelf can be killed");
    shelf.wait().expect("the shelf ends");
    std::fs::remove_dir_all(&folder).expect("the data folder can be removed");
    assert!(hangup_line.is_some() && ended.is_none(), "{ended:?}");
}
