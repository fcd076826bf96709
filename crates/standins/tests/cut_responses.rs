//! Responses of a backend server that are cut short, through real entries and agents.

mod common;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use common::Cluster;
use http_body_util::Full;
use hyper::Request;
use tamaracksail_http::Client;

/// A complete body of the service.
const BODY: &str = "{\"name\":\"Amina Trabelsi\"}";

/// How a response states where its body ends.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunked,
}

impl Framing {
    /// Returns a whole response.
    fn response(self) -> String {
        let length = BODY.len();
        match self {
            Self::Length => {
                format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{BODY}")
            }
            Self::Chunked => format!(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{BODY}\r\n0\r\n\r\n"
            ),
        }
    }
}

/// What the service does next.
#[derive(Debug, Default)]
struct Script {
    /// The bytes of the next responses, after which it closes the connection; none for a whole response.
    cut: Option<String>,
    /// The requests that arrived, by path.
    arrivals: BTreeMap<String, usize>,
}

/// A plain service that cuts its responses.
#[derive(Clone)]
struct Service(Arc<Mutex<Script>>);

impl Service {
    fn start(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).expect("the address is free");
        let service = Self(Arc::default());
        let shared = service.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let service = shared.clone();
                std::thread::spawn(move || service.serve(stream));
            }
        });
        service
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Some(path) = read_request(&mut stream) {
            let cut = if path == "/health" {
                None
            } else {
                let mut script = self.0.lock().expect("no thread panics");
                *script.arrivals.entry(path.clone()).or_default() += 1;
                script.cut.clone()
            };
            let whole = if path == "/health" {
                "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"epoch\":1}".to_owned()
            } else {
                Framing::Length.response()
            };
            let bytes = cut.as_ref().unwrap_or(&whole);
            if stream.write_all(bytes.as_bytes()).is_err() || cut.is_some() {
                return;
            }
        }
    }

    fn cut(&self, bytes: Option<String>) {
        self.0.lock().expect("no thread panics").cut = bytes;
    }

    fn arrivals(&self, path: &str) -> usize {
        let script = self.0.lock().expect("no thread panics");
        script.arrivals.get(path).copied().unwrap_or(0)
    }
}

/// Reads a request, and returns its path.
fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let head_length = loop {
        if let Some(end) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
            break end + 4;
        }
        read_more(stream, &mut bytes)?;
    };
    let head = String::from_utf8_lossy(&bytes[..head_length]).to_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .map_or(0, |value| value.trim().parse().expect("a length"));
    while bytes.len() < head_length + length {
        read_more(stream, &mut bytes)?;
    }
    head.split(' ').nth(1).map(str::to_owned)
}

fn read_more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<()> {
    let mut buffer = [0; 4096];
    let length = stream.read(&mut buffer).ok().filter(|length| *length > 0)?;
    bytes.extend(&buffer[..length]);
    Some(())
}

/// Sends a request to an entry. Returns the status and the body, or none if the response is incomplete.
async fn send(entry: SocketAddr, method: &str, path: &str, key: &str) -> Option<(u16, Bytes)> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "entry")
        .header("idempotency-key", key)
        .header("tamaracksail-caller", "clerk")
        .body(Full::new(Bytes::new()))
        .expect("a request");
    let client = Client::default();
    let mut response = client
        .send(entry, request, Duration::from_secs(1))
        .await
        .ok()?;
    let body = response.read(1 << 20).await.ok()?;
    Some((response.head.status.as_u16(), body))
}

async fn start() -> (Cluster, Service, SocketAddr) {
    let mut cluster = Cluster::start().await;
    let child = cluster.child("service");
    child.kill().expect("the service runs");
    child.wait().expect("the service was killed");
    let service = Service::start((cluster.address, 7204).into());
    let entry = (cluster.address, 7401).into();
    cluster
        .wait_for_success(7401, "/services/registre-app/names/1")
        .await;
    (cluster, service, entry)
}

// Guards against: a response whose server closed in its head or body reaches the caller as a whole one.
#[actix_rt::test]
async fn a_response_that_is_cut_short_never_looks_complete() {
    let (_cluster, service, entry) = start().await;
    for framing in [Framing::Length, Framing::Chunked] {
        let whole = framing.response();
        let head_length = whole.find("\r\n\r\n").expect("a head") + 4;
        let ends = [0, 9, 17, 30, head_length - 1, head_length, head_length + 12];
        for end in ends.into_iter().chain([whole.len() - 5, whole.len() - 1]) {
            service.cut(Some(whole[..end].to_owned()));
            let response = send(entry, "GET", "/services/registre-app/names/1", "get").await;
            let is_whole_error = response.as_ref().is_none_or(|(status, _)| *status >= 500);
            assert!(is_whole_error, "{framing:?} cut at {end}: {response:?}");
            service.cut(None);
        }
    }
}

// Guards against: a request that may not be repeated runs again, since its server closed the connection before
// or in the head of its response.
#[actix_rt::test]
async fn a_filing_whose_response_is_cut_short_runs_once() {
    let (_cluster, service, entry) = start().await;
    let whole = Framing::Length.response();
    for (number, end) in [0, 1, 9, 17, 40].into_iter().enumerate() {
        service.cut(Some(whole[..end].to_owned()));
        let before = service.arrivals("/filings");
        let key = format!("filing-{number}");
        let response = send(entry, "POST", "/services/registre-app/filings", &key).await;
        let status = response.map(|(status, _)| status);
        service.cut(None);
        assert_eq!(
            service.arrivals("/filings") - before,
            1,
            "cut at {end}: {status:?}"
        );
        assert_eq!(status, Some(502), "cut at {end}");
    }
}
