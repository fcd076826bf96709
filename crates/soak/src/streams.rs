//! Streams over the attempts of a client, and the check that they go on where they began.

use std::rc::Rc;
use std::time::Duration;

use tamaracksail_adapter_standins::client::StreamPart;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::clients::RESPONSE_TIMEOUT;
use crate::inject;
use crate::plan::{Event, ScheduledEvent};
use crate::world::{EVENTS_PER_STREAM, Host, SOFTWARE_VERSIONS, World};

/// The number of streams in the final check.
const STREAMS: usize = 24;

/// How long clients read these streams before their host is killed.
const READ_TIME: Duration = Duration::from_millis(300);

/// How often a client tries to take up a stream.
const MAX_ATTEMPTS: usize = 4;

/// The pause between two of these attempts.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// How long the host that is killed stays down.
const DOWNTIME: Duration = Duration::from_millis(500);

/// What a client has received of a stream.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// The id of the attempt that brought the first event.
    first_attempt: Option<String>,
    /// The software version that generated the events.
    software: Option<&'static str>,
    /// The number of events.
    count: u64,
    /// Whether the stream is complete.
    pub is_complete: bool,
}

impl Progress {
    /// Records the response to an attempt. Returns what is wrong with it.
    pub fn record(&mut self, attempt: &str, part: &StreamPart) -> Option<String> {
        if part.status != 200 || part.text.is_empty() {
            return None;
        }
        let matches = |software: &&&str| {
            let expected = self.expected(attempt, software);
            expected == part.text || (!part.is_complete && expected.starts_with(&part.text))
        };
        let Some(software) = SOFTWARE_VERSIONS.iter().find(matches) else {
            return Some(format!("{attempt} got {:?}", part.text));
        };
        let began_at = *self.software.get_or_insert(software);
        let first = self.first_attempt.get_or_insert(attempt.to_owned());
        self.count = part.last.unwrap_or(self.count);
        self.is_complete = part.is_complete;
        (began_at != *software)
            .then(|| format!("{first} began at {began_at}, {attempt} went on at {software}"))
    }

    /// Returns the text that a server with this software sends to an attempt.
    fn expected(&self, attempt: &str, software: &str) -> String {
        let suffix = suffix(software);
        let numbers = self.count + 1..=EVENTS_PER_STREAM;
        let frame = |number| format!("id: {number}\ndata: {attempt}-{number}{suffix}\n\n");
        numbers.map(frame).collect()
    }

    /// Returns what an attempt that takes the stream up states; `None` if it began none.
    fn resumes(&self) -> Option<(&str, u64)> {
        Some((self.first_attempt.as_deref()?, self.count))
    }
}

/// Returns what servers with a software version add to the data of events.
pub fn suffix(software: &str) -> String {
    if software == SOFTWARE_VERSIONS[0] {
        String::new()
    } else {
        format!("@{software}")
    }
}

/// Makes one attempt at a stream, to begin it or to take it up, and checks the response.
pub async fn attempt(world: &World, host: &Host, id: &str, limit: Duration, stream: &mut Progress) {
    let part = host
        .client
        .stream_part(id, "/stream/x", stream.resumes(), limit);
    // The limit of the call covers the time until the head of the response, too.
    let part = timeout(RESPONSE_TIMEOUT, part).await;
    let part = part.ok().and_then(Result::ok);
    let mut ledger = world.ledger.borrow_mut();
    ledger.record_status(part.as_ref().map_or(0, |part| part.status));
    let problem = part.and_then(|part| stream.record(id, &part));
    if let Some(problem) = problem {
        ledger.record_violation("whole stream", &problem);
    }
}

/// Begins streams at one host, kills it, and takes them up at others. At least half must go on.
pub async fn check(world: &Rc<World>) {
    if world.hosts.len() < 2 {
        return;
    }
    let mut tasks = Vec::new();
    for number in 0..STREAMS {
        let world = Rc::clone(world);
        tasks.push(spawn_local(async move {
            let mut stream = Progress::default();
            let id = format!("taken-up-{number}");
            attempt(&world, &world.hosts[0], &id, READ_TIME, &mut stream).await;
            (id, stream)
        }));
    }
    let mut begun = Vec::new();
    for task in tasks {
        match task.await {
            Ok((id, stream)) if stream.count > 0 => begun.push((id, stream)),
            Ok(_) => {}
            Err(_) => world.record_violation("soak", "the task of a stream panicked"),
        }
    }
    let kill = ScheduledEvent {
        at: Duration::ZERO,
        duration: DOWNTIME,
        event: Event::Kill(0),
    };
    let kill = spawn_local(inject::perform(Rc::clone(world), kill));
    sleep(RETRY_DELAY).await;
    let mut tasks = Vec::new();
    for (number, (id, mut stream)) in begun.into_iter().enumerate() {
        let world = Rc::clone(world);
        tasks.push(spawn_local(async move {
            for retry in 0..MAX_ATTEMPTS {
                let host = 1 + (number + retry) % (world.hosts.len() - 1);
                let id = format!("{id}-{retry}");
                let host = &world.hosts[host];
                attempt(&world, host, &id, RESPONSE_TIMEOUT, &mut stream).await;
                if stream.is_complete {
                    return true;
                }
                sleep(RETRY_DELAY).await;
            }
            false
        }));
    }
    let (begun, mut complete) = (tasks.len(), 0);
    for task in tasks {
        complete += usize::from(task.await.unwrap_or(false));
    }
    if complete * 2 < begun {
        let detail = format!("{complete} of {begun} streams went on at other hosts");
        world.record_violation("streams", &detail);
    }
    if kill.await.is_err() {
        world.record_violation("soak", "the task of an event panicked");
    }
}
