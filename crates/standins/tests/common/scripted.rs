//! A plain service whose responses a test writes, behind real entries and agents.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tamaracksail_http::Client;

use super::Cluster;

/// A complete body of the service.
pub const BODY: &str = "{\"name\":\"Amina Trabelsi\"}";

/// What the service does next.
#[derive(Debug, Default)]
pub struct Script {
    /// The bytes of the next responses, after which it closes the connection; none for a whole response.
    cut: Option<String>,
    /// What follows these bytes until the entry's agent closes the connection.
    repeated: String,
    /// The bytes of it that were sent.
    repeated_bytes: usize,
    /// The requests that arrived, by path.
    arrivals: BTreeMap<String, usize>,
}

/// A plain service that cuts its responses.
#[derive(Clone)]
pub struct Service(Arc<Mutex<Script>>);

impl Service {
    pub fn start(address: SocketAddr) -> Self {
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
                let length = BODY.len();
                format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{BODY}")
            };
            let bytes = cut.as_ref().unwrap_or(&whole);
            if stream.write_all(bytes.as_bytes()).is_err() {
                return;
            }
            if cut.is_some() {
                return self.repeat(&mut stream);
            }
        }
    }

    /// Sends what follows the bytes of a response until the connection is closed.
    fn repeat(&self, stream: &mut TcpStream) {
        let repeated = self.0.lock().expect("no thread panics").repeated.clone();
        while !repeated.is_empty() && stream.write_all(repeated.as_bytes()).is_ok() {
            self.0.lock().expect("no thread panics").repeated_bytes += repeated.len();
        }
    }

    /// Cuts the next responses after `bytes`; none for whole responses.
    pub fn cut(&self, bytes: Option<String>) {
        let mut script = self.0.lock().expect("no thread panics");
        script.cut = bytes;
        script.repeated.clear();
    }

    /// Lets the next responses begin with `bytes` and go on with `repeated` without end.
    pub fn go_on(&self, bytes: &str, repeated: &str) {
        let mut script = self.0.lock().expect("no thread panics");
        script.cut = Some(bytes.to_owned());
        script.repeated = repeated.repeat((16 << 10) / repeated.len());
        script.repeated_bytes = 0;
    }

    /// Returns the number of bytes that were sent since [`Self::go_on`].
    pub fn repeated_bytes(&self) -> usize {
        self.0.lock().expect("no thread panics").repeated_bytes
    }

    pub fn arrivals(&self, path: &str) -> usize {
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
pub async fn send(entry: SocketAddr, method: &str, path: &str, key: &str) -> Option<(u16, Bytes)> {
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

pub async fn start() -> (Cluster, Service, SocketAddr) {
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
