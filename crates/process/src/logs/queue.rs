//! The queue of lines for standard output.

use std::io::Write as _;
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, SyncSender, channel, sync_channel};
use std::time::{Duration, Instant};

use log::{Level, Record};
use log4rs::append::Append;
use log4rs::encode::{Encode, writer::simple::SimpleWriter};

use super::MAX_LINES_PER_SECOND;

/// The maximum number of lines that wait to be written.
const MAX_QUEUED_LINES: usize = 1024;

/// How long a flush waits for the lines that are queued.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// What the writing thread gets.
#[derive(Debug)]
enum Entry {
    Line(Vec<u8>),
    /// All lines before are written once this is dropped.
    Flush(Sender<()>),
}

/// Passes lines to the writing thread without waiting.
#[derive(Debug)]
pub(super) struct Queue {
    encoder: Box<dyn Encode>,
    entries: SyncSender<Entry>,
    budget: Mutex<Budget>,
}

/// The limit on lines per second.
#[derive(Debug)]
struct Budget {
    /// When the current second started.
    second_start: Instant,
    /// The number of lines that may still be written in the current second.
    remaining: u32,
    /// The number of lines that were dropped since the last one that was queued.
    dropped: u64,
}

impl Budget {
    /// Uses up one line and returns whether it may be written.
    fn take(&mut self, now: Instant) -> bool {
        if now.duration_since(self.second_start).as_secs() >= 1 {
            self.second_start = now;
            self.remaining = MAX_LINES_PER_SECOND;
        }
        let is_allowed = self.remaining > 0;
        self.remaining = self.remaining.saturating_sub(1);
        is_allowed
    }
}

impl Queue {
    /// Starts the writing thread.
    pub(super) fn start(encoder: Box<dyn Encode>) -> Self {
        let (entries, queued) = sync_channel(MAX_QUEUED_LINES);
        std::thread::spawn(move || write_lines(&queued));
        Self {
            encoder,
            entries,
            budget: Mutex::new(Budget {
                second_start: Instant::now(),
                remaining: MAX_LINES_PER_SECOND,
                dropped: 0,
            }),
        }
    }
}

/// The maximum number of bytes in one write. Writes of up to this size to a pipe are atomic.
const MAX_WRITE_BYTES: usize = 4096;

/// Writes lines as they arrive. Lines that are in the queue at the same time are written together.
fn write_lines(queued: &Receiver<Entry>) {
    let mut text = Vec::new();
    let mut flushes = Vec::new();
    while let Ok(first) = queued.recv() {
        for entry in std::iter::once(first).chain(queued.try_iter()) {
            match entry {
                Entry::Line(line) => {
                    if text.len() + line.len() > MAX_WRITE_BYTES {
                        write_to_stdout(&text);
                        text.clear();
                    }
                    text.extend_from_slice(&line);
                }
                Entry::Flush(flush) => flushes.push(flush),
            }
        }
        write_to_stdout(&text);
        text.clear();
        flushes.clear();
    }
}

fn write_to_stdout(text: &[u8]) {
    let mut out = std::io::stdout().lock();
    // A failure can't be reported: this is where logs go.
    drop(out.write_all(text).and_then(|()| out.flush()));
}

impl Append for Queue {
    fn append(&self, record: &Record) -> anyhow::Result<()> {
        let Ok(mut budget) = self.budget.lock() else {
            return Ok(());
        };
        let is_exempt = record.level() <= Level::Warn;
        if !budget.take(Instant::now()) && !is_exempt {
            budget.dropped += 1;
            return Ok(());
        }
        let mut line = Vec::new();
        if budget.dropped > 0 {
            let dropped = budget.dropped;
            line.extend_from_slice(
                format!("{{\"event\":\"log lines dropped\",\"count\":{dropped}}}\n").as_bytes(),
            );
        }
        self.encoder.encode(&mut SimpleWriter(&mut line), record)?;
        if self.entries.try_send(Entry::Line(line)).is_ok() {
            budget.dropped = 0;
        } else {
            budget.dropped += 1;
        }
        Ok(())
    }

    /// Waits until the queued lines are written, for a moment at the longest.
    fn flush(&self) {
        let (flush, done) = channel();
        if self.entries.try_send(Entry::Flush(flush)).is_ok() {
            // Nothing is sent: the writing thread drops the other end.
            done.recv_timeout(FLUSH_TIMEOUT).ok();
        }
    }
}
