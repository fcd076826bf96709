//! Responses of a backend server that have no final status or no end, through real entries and agents.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use common::scripted::start;

const PATH: &str = "/services/registre-app/names/1";

/// The bytes of one response that an agent reads at most.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// What the sockets of one connection hold at most.
const SOCKET_BYTES: usize = 12 << 20;

/// How long an agent may take to close the connection to a server whose response exceeds a limit.
const CLOSE_LIMIT: Duration = Duration::from_secs(5);

/// Sends a request to an entry, and returns the status line of the response.
fn status_line(entry: SocketAddr) -> String {
    let mut stream = TcpStream::connect(entry).expect("the entry accepts connections");
    let limit = Some(Duration::from_secs(20));
    stream.set_read_timeout(limit).expect("the option is set");
    let head = format!("GET {PATH} HTTP/1.1\r\nhost: e\r\ntamaracksail-caller: clerk\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("a request");
    let mut bytes = Vec::new();
    let mut buffer = [0; 1024];
    while !bytes.contains(&b'\n') {
        match stream.read(&mut buffer) {
            Ok(length) if length > 0 => bytes.extend(&buffer[..length]),
            _ => break,
        }
    }
    let text = String::from_utf8_lossy(&bytes);
    text.lines().next().unwrap_or_default().to_owned()
}

// Guards against: a status that no final response has reaches the caller of an entry.
#[actix_rt::test]
async fn a_status_that_is_not_final_never_reaches_a_caller() {
    let (_cluster, service, entry) = start().await;
    for status in [
        "000", "099", "100", "101", "103", "199", "600", "999", "1000",
    ] {
        for framing in ["Content-Length: 4\r\n\r\nbody", "\r\nbody"] {
            service.cut(Some(format!("HTTP/1.1 {status} S\r\n{framing}")));
            let line = actix_rt::task::spawn_blocking(move || status_line(entry));
            let line = line.await.expect("no panic");
            let code: u16 = line
                .split(' ')
                .nth(1)
                .unwrap_or_default()
                .parse()
                .unwrap_or(0);
            assert!((500..600).contains(&code), "{status} {framing:?}: {line:?}");
        }
    }
}

// Guards against: bytes without end that an agent or an entry keeps until the deadline.
#[actix_rt::test]
async fn an_agent_cuts_a_response_without_end_at_a_limit_in_bytes() {
    let (_cluster, service, entry) = start().await;
    let kinds = [
        ("HTTP/1.1 200 S\r\nX-Long: ", "a"),
        ("HTTP/1.1 200 S\r\n", "X-A: b\r\n"),
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        (
            "HTTP/1.1 200 S\r\nContent-Length: 1000000000000\r\n\r\n",
            "a",
        ),
        (
            "HTTP/1.1 500 S\r\nContent-Length: 1000000000000\r\n\r\n",
            "a",
        ),
        (
            "HTTP/1.1 200 S\r\nTransfer-Encoding: chunked\r\n\r\n",
            "4\r\nbody\r\n",
        ),
        ("HTTP/1.1 200 S\r\n\r\n", "a"),
    ];
    for (begin, repeated) in kinds {
        service.go_on(begin, repeated);
        let before = service.arrivals("/names/1");
        let sent_at = Instant::now();
        let line = actix_rt::task::spawn_blocking(move || status_line(entry));
        let line = line.await.expect("no panic");
        assert!(sent_at.elapsed() < CLOSE_LIMIT * 2, "{begin:?}: {line:?}");
        let attempts = service.arrivals("/names/1") - before;
        let mut last = usize::MAX;
        while last != service.repeated_bytes() {
            last = service.repeated_bytes();
            assert!(sent_at.elapsed() < CLOSE_LIMIT * 3, "{begin:?}: still open");
            actix_rt::time::sleep(Duration::from_millis(100)).await;
        }
        let limit = attempts.max(1) * (MAX_RESPONSE_BYTES + SOCKET_BYTES);
        assert!(
            last <= limit,
            "{begin:?}: {last} bytes in {attempts} attempts"
        );
    }
}
