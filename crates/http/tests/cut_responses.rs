//! Responses that are cut at each of their bytes, on new and on kept connections.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use bytes::Bytes;
use common::read_request;
use http_body_util::Full;
use hyper::Request;
use tamaracksail_http::{Client, Error, Stage};

const BODY: &str = "a whole body";

/// How a response states where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
    /// The body ends with the connection.
    Closing,
}

/// How the peer ends the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    Closed,
    Reset,
}

fn whole(framing: Framing) -> String {
    match framing {
        Framing::Length => format!("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{BODY}"),
        Framing::Chunked => {
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\na whol\r\n6\r\ne body\r\n0\r\n\r\n".to_owned()
        }
        Framing::Closing => format!("HTTP/1.1 200 OK\r\nX-Kind: a\r\n\r\n{BODY}"),
    }
}

/// Serves one connection: `kept` whole responses, then one that is cut after `end` bytes.
fn serve(listener: &TcpListener, kept: usize, framing: Framing, end: usize, ending: Ending) {
    let (mut stream, _) = listener.accept().expect("a connection");
    stream.set_nodelay(true).expect("the option is set");
    for _ in 0..kept {
        assert!(read_request(&mut stream));
        let response = whole(Framing::Length);
        stream
            .write_all(response.as_bytes())
            .expect("a response is written");
    }
    assert!(read_request(&mut stream));
    let response = whole(framing);
    stream
        .write_all(&response.as_bytes()[..end])
        .expect("a response is written");
    if ending == Ending::Reset {
        // The bytes are read before the reset discards them.
        std::thread::sleep(Duration::from_millis(20));
        let socket = socket2::Socket::from(stream);
        socket
            .set_linger(Some(Duration::ZERO))
            .expect("the option is set");
    }
}

async fn exchange(client: &Client, peer: SocketAddr) -> Result<Bytes, Error> {
    let request = Request::builder()
        .uri("/x")
        .header("host", "server")
        .body(Full::new(Bytes::new()))
        .expect("a request");
    let mut response = client.send(peer, request, Duration::from_secs(1)).await?;
    let body = response.read(1 << 20).await?;
    response.release(client);
    Ok(body)
}

async fn check(kept: usize, framing: Framing, end: usize, ending: Ending) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let peer = listener.local_addr().expect("an address");
    let server = std::thread::spawn(move || serve(&listener, kept, framing, end, ending));
    let client = Client::default();
    for _ in 0..kept {
        exchange(&client, peer).await.expect("a whole response");
        // The connection returns to the pool.
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let outcome = tokio::time::timeout(Duration::from_secs(10), exchange(&client, peer)).await;
    let outcome = outcome.expect("an outcome in time");
    let what = format!("{framing:?} after {kept} responses, {ending:?} at {end}: {outcome:?}");
    let response = whole(framing);
    let head_length = response.find("\r\n\r\n").expect("a head") + 4;
    let is_whole = end == response.len() && framing != Framing::Closing;
    match outcome {
        // Only the end of the connection tells where such a body ends, and a reset is none.
        Ok(body) if framing == Framing::Closing => {
            assert!(end >= head_length && ending == Ending::Closed, "{what}");
            assert_eq!(body, response[head_length..end], "{what}");
        }
        Ok(body) => assert!(is_whole && body == BODY, "{what}"),
        Err(error) => {
            assert!(!is_whole, "{what}");
            let is_closed = framing == Framing::Closing && ending == Ending::Closed;
            assert!(end < head_length || !is_closed, "{what}");
            assert!(!error.is_unsent(), "{what}");
            let expected = if end < head_length {
                Stage::Head
            } else {
                Stage::Body
            };
            assert_eq!(error.stage, expected, "{what}");
        }
    }
    let joined = tokio::task::spawn_blocking(move || server.join());
    let joined = joined.await.expect("the task runs");
    joined.expect("the server did its part");
}

// Guards against: a response that ends in its head or body, by a close or a reset, looks complete, or its request
// counts as one that was not sent.
#[test]
fn a_response_that_is_cut_at_any_byte_is_no_complete_one() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        for framing in [Framing::Length, Framing::Chunked, Framing::Closing] {
            for ending in [Ending::Closed, Ending::Reset] {
                for kept in [0, 1] {
                    let ends = 0..=whole(framing).len();
                    let checks = ends.map(|end| check(kept, framing, end, ending));
                    futures_util::future::join_all(checks).await;
                }
            }
        }
    });
}
