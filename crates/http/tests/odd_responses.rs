//! Responses without a final status, and bytes without end.

mod common;

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::read_request;
use http_body_util::Full;
use hyper::Request;
use tamaracksail_http::{Client, Error, IncomingResponse, Stage};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The bytes that a reader keeps of a response at most: those of a body that it asked for, or of a head.
const MAX_BODY_BYTES: usize = 64 << 10;

/// What the sockets of one connection hold at most, beside what the reader keeps.
const SOCKET_BYTES: usize = 12 << 20;

/// How long a peer may go on sending until the reader has closed the connection.
const CLOSE_LIMIT: Duration = Duration::from_secs(5);

fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

/// Starts a peer that sends `response` to each request, then `repeated` until the connection is closed, if
/// it is not empty. Returns its address and the number of bytes that it has sent after a response.
fn start(response: String, repeated: &str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let sent = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&sent);
    let chunk = repeated.repeat((16 << 10) / repeated.len().max(1));
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            while read_request(&mut stream) {
                if stream.write_all(response.as_bytes()).is_err() {
                    break;
                }
                while !chunk.is_empty() && stream.write_all(chunk.as_bytes()).is_ok() {
                    count.fetch_add(chunk.len(), Ordering::Relaxed);
                }
                if response.contains("Connection: close") {
                    // An error means that the reader has closed it.
                    drop(stream.shutdown(Shutdown::Both));
                    break;
                }
            }
        }
    });
    (address, sent)
}

async fn send(client: &Client, peer: SocketAddr) -> Result<IncomingResponse, Error> {
    let request = Request::get("/").header("host", "a");
    let request = request.body(Full::new(Bytes::new())).expect("a request");
    client.send(peer, request, CONNECT_TIMEOUT).await
}

const FRAMINGS: [&str; 3] = [
    "Content-Length: 4\r\n\r\nbody",
    "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    "Connection: close\r\n\r\nbody",
];

// Guards against: a status that is none, or an interim one, that is taken for the end of an exchange.
#[test]
fn a_response_without_a_final_status_is_an_error_in_each_framing() {
    let statuses = [
        "000", "001", "099", "101", "600", "700", "999", "0200", "1000", "20", "2x0", "-20",
    ];
    for status in statuses {
        for framing in FRAMINGS {
            let (peer, _) = start(format!("HTTP/1.1 {status} S\r\n{framing}"), "");
            let client = Client::default();
            for _ in 0..2 {
                let error = run(send(&client, peer)).expect_err(status);
                // The peer has the request and may have executed it.
                assert_eq!(error.stage, Stage::Head, "{status} {framing:?}");
            }
        }
    }
}

// Guards against: a final status that is refused.
#[test]
fn a_response_with_a_final_status_is_read_in_each_framing() {
    for status in [200, 206, 299, 302, 404, 422, 451, 499, 500, 503, 599] {
        for framing in FRAMINGS {
            let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n";
            for before in ["", interim] {
                let (peer, _) = start(format!("{before}HTTP/1.1 {status} S\r\n{framing}"), "");
                run(async {
                    let mut response = send(&Client::default(), peer).await.expect("a response");
                    assert_eq!(response.head.status.as_u16(), status);
                    let body = response.read(MAX_BODY_BYTES).await.expect("a body");
                    assert_eq!(&body[..], b"body", "{status} {framing:?}");
                });
            }
        }
    }
}

/// Each place of a response where bytes can go on without end: what comes before them, and what is repeated.
const ENDLESS: [(&str, &str, &str); 9] = [
    ("status line", "HTTP/1.1 200 ", "a"),
    ("header", "HTTP/1.1 200 S\r\nX-Long: ", "a"),
    ("headers", "HTTP/1.1 200 S\r\n", "X-A: b\r\n"),
    ("interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"),
    ("no response", "", "\0"),
    (
        "body with a length",
        "HTTP/1.1 200 S\r\nContent-Length: 1000000000000\r\n\r\n",
        "a",
    ),
    ("body without a length", "HTTP/1.1 200 S\r\n\r\n", "a"),
    (
        "chunk",
        "HTTP/1.1 200 S\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffff\r\n",
        "a",
    ),
    (
        "chunk extension",
        "HTTP/1.1 200 S\r\nTransfer-Encoding: chunked\r\n\r\n4;a=",
        "b",
    ),
];

fn assert_closed(what: &str, sent: &AtomicUsize) {
    let start = Instant::now();
    let mut last = usize::MAX;
    // The peer sends nothing more once the connection is closed or its sockets are full.
    while last != sent.load(Ordering::Relaxed) {
        last = sent.load(Ordering::Relaxed);
        assert!(
            start.elapsed() < CLOSE_LIMIT,
            "{what}: still open after {last} bytes"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(
        last <= MAX_BODY_BYTES + SOCKET_BYTES,
        "{what}: {last} bytes were read"
    );
}

// Guards against: a peer whose bytes are kept without a limit until the caller's memory is used up.
#[test]
fn bytes_without_end_are_cut_at_a_limit_in_bytes() {
    for (what, start_of_response, repeated) in ENDLESS {
        let (peer, sent) = start(start_of_response.to_owned(), repeated);
        run(async {
            let exchange = async {
                let mut response = send(&Client::default(), peer).await?;
                response.read(MAX_BODY_BYTES).await
            };
            let outcome = tokio::time::timeout(CLOSE_LIMIT, exchange).await;
            outcome.expect(what).expect_err(what);
        });
        assert_closed(what, &sent);
    }
}

// Guards against: the body of a refusal, or trailers, that are read on without end before the connection is
// used again.
#[test]
fn a_body_that_is_discarded_is_cut_at_a_limit_in_bytes() {
    for (what, start_of_response, repeated) in &ENDLESS[5..] {
        let (peer, sent) = start((*start_of_response).to_owned(), repeated);
        run(async {
            let client = Client::default();
            let response = send(&client, peer).await.expect("a head");
            response.discard(&client, MAX_BODY_BYTES, CLOSE_LIMIT);
            tokio::time::sleep(Duration::from_millis(500)).await;
        });
        assert_closed(what, &sent);
    }
    let trailers = "HTTP/1.1 200 S\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Long: ";
    let (peer, sent) = start(trailers.to_owned(), "a");
    run(async {
        let mut response = send(&Client::default(), peer).await.expect("a head");
        let outcome = tokio::time::timeout(CLOSE_LIMIT, response.read(MAX_BODY_BYTES)).await;
        outcome
            .expect("an end")
            .expect_err("the trailers have no end");
    });
    assert_closed("trailers", &sent);
}
