//! Responses of a backend server that are cut short, through real entries and agents.

mod common;

use common::scripted::{BODY, send, start};

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
