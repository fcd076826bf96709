//! A shelf goes on when its settings are said to have changed.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

#[test]
fn a_hangup_does_not_end_it() {
    let folder = std::env::temp_dir().join(format!("tamaracksail-shelf-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a data folder");
    let mut shelf = Command::new(env!("CARGO_BIN_EXE_tamaracksail-shelf"))
        .args(["--listen", "127.0.0.1:0", "--workers", "1", "--data"])
        .arg(&folder)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the shelf starts");
    let output = shelf.stdout.take().expect("its output is piped");
    let mut lines = BufReader::new(output).lines().map_while(Result::ok);
    // It says so after it has begun to watch the signal.
    lines
        .find(|line| line.contains("outdated payloads"))
        .expect("it opens its storage");
    let sent = Command::new("kill")
        .args(["-HUP", &shelf.id().to_string()])
        .status();
    assert!(sent.expect("kill runs").success());
    let heard = lines.find(|line| line.contains("SIGHUP"));
    let ended = shelf.try_wait().expect("it can be asked");
    shelf.kill().expect("it can be killed");
    shelf.wait().expect("it ends");
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
    assert!(heard.is_some() && ended.is_none(), "{ended:?}");
}
