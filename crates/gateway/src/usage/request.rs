//! The usage of one request, from its first attempt until it is counted.

use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use tamaracksail_http::SendMark;
use tamaracksail_model::time::Instant;
use tamaracksail_policy::usage::Sends;

use super::state::Usage;
use crate::gateway::now;

/// How long after it was sent a request counts as begun although there is no response. Servers refuse
/// within milliseconds, and a window is closed 2 s after its end.
const REFUSAL_LIMIT: Duration = Duration::from_secs(1);

/// A request that is counted once, when a server first begins to run it.
#[derive(Debug)]
pub struct Request {
    usage: Rc<Usage>,
    account: String,
    sends: RefCell<Sends>,
    /// When each send was complete, in the order of their numbers.
    marks: RefCell<Vec<SendMark>>,
}

impl Request {
    /// Returns a request of an account that has not been sent.
    pub fn new(usage: &Rc<Usage>, account: &str) -> Self {
        Self {
            usage: Rc::clone(usage),
            account: account.to_owned(),
            sends: RefCell::default(),
            marks: RefCell::default(),
        }
    }

    /// Returns a new send of the request to a server.
    pub fn send(self: &Rc<Self>) -> Send {
        let mark = SendMark::default();
        self.marks.borrow_mut().push(mark.clone());
        Send {
            request: Rc::clone(self),
            number: self.sends.borrow_mut().open(),
            mark,
            is_settled: Cell::new(false),
        }
    }

    fn record_began(&self, send: usize) {
        let mut sends = self.sends.borrow_mut();
        for (number, mark) in self.marks.borrow().iter().enumerate() {
            if let Some(at) = mark.sent_at() {
                let age = u64::try_from(at.elapsed().as_micros()).unwrap_or(u64::MAX);
                sends.record_sent(number, Instant(now().0.saturating_sub(age)));
            }
        }
        if let Some(at) = sends.record_began(send) {
            self.usage.count(at, &self.account);
        }
    }
}

/// One send of a request to a server. If it is dropped unsettled after it was sent, it counts as begun.
#[derive(Debug)]
pub struct Send {
    request: Rc<Request>,
    number: usize,
    mark: SendMark,
    is_settled: Cell<bool>,
}

impl Send {
    /// Returns the mark that tells when the request was sent.
    pub fn mark(&self) -> SendMark {
        self.mark.clone()
    }

    /// Records whether the server ran the request or may have run it, once this is known.
    pub fn settle(self, may_have_run: bool) {
        self.record(may_have_run);
    }

    fn record(&self, may_have_run: bool) {
        if self.is_settled.replace(true) {
            return;
        }
        if may_have_run {
            self.request.record_began(self.number);
        } else {
            self.request.sends.borrow_mut().record_refused(self.number);
        }
    }
}

impl Drop for Send {
    fn drop(&mut self) {
        self.record(self.mark.sent_at().is_some());
    }
}

/// Awaits the response to a send. A send without a response within [`REFUSAL_LIMIT`] counts as begun.
pub async fn count_unanswered<F: Future>(send: Option<&Send>, response: F) -> F::Output {
    let Some(send) = send else {
        return response.await;
    };
    let mut response = pin!(response);
    loop {
        tokio::select! {
            response = &mut response => return response,
            () = tokio::time::sleep(REFUSAL_LIMIT), if !send.is_settled.get() => {
                if send.mark.sent_at().is_some_and(|at| at.elapsed() >= REFUSAL_LIMIT) {
                    send.record(true);
                }
            }
        }
    }
}
