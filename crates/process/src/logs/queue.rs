//! The queue before standard output.

use std::io::Write as _;
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Instant;

use log::{Level, Record};
use log4rs::append::Append;
use log4rs::encode::{Encode, writer::simple::SimpleWriter};

use super::LINES_PER_SECOND;

/// Lines that wait to be written.
const LENGTH: usize = 1024;

/// Hands lines to the writing thread without waiting.
#[derive(Debug)]
pub(super) struct Queue {
    encoder: Box<dyn Encode>,
    lines: SyncSender<Vec<u8>>,
    budget: Mutex<Budget>,
}

/// Lines left in the present second, and lines dropped since the last that was written.
#[derive(Debug)]
struct Budget {
    second: Instant,
    left: u32,
    dropped: u64,
}

impl Budget {
    /// Takes a line's place. `now` is the present time.
    fn take(&mut self, now: Instant) -> bool {
        if now.duration_since(self.second).as_secs() >= 1 {
            self.second = now;
            self.left = LINES_PER_SECOND;
        }
        let is_left = self.left > 0;
        self.left = self.left.saturating_sub(1);
        is_left
    }
}

impl Queue {
    /// Starts the writing thread.
    pub(super) fn start(encoder: Box<dyn Encode>) -> Self {
        let (lines, waiting) = sync_channel(LENGTH);
        std::thread::spawn(move || write(&waiting));
        Self {
            encoder,
            lines,
            budget: Mutex::new(Budget {
                second: Instant::now(),
                left: LINES_PER_SECOND,
                dropped: 0,
            }),
        }
    }
}

/// The most bytes of one write: what a pipe takes as a whole.
const PIPE_BYTES: usize = 4096;

/// Writes lines as they come, those that wait together.
fn write(waiting: &Receiver<Vec<u8>>) {
    let mut text = Vec::new();
    while let Ok(line) = waiting.recv() {
        text.extend_from_slice(&line);
        while let Ok(line) = waiting.try_recv() {
            if text.len() + line.len() > PIPE_BYTES {
                put(&text);
                text.clear();
            }
            text.extend_from_slice(&line);
        }
        put(&text);
        text.clear();
    }
}

fn put(text: &[u8]) {
    let mut out = std::io::stdout().lock();
    // Nobody reads: there is no other place to say so.
    drop(out.write_all(text).and_then(|()| out.flush()));
}

impl Append for Queue {
    fn append(&self, record: &Record) -> anyhow::Result<()> {
        let Ok(mut budget) = self.budget.lock() else {
            return Ok(());
        };
        let is_grave = record.level() <= Level::Warn;
        if !budget.take(Instant::now()) && !is_grave {
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
        if self.lines.try_send(line).is_ok() {
            budget.dropped = 0;
        } else {
            budget.dropped += 1;
        }
        Ok(())
    }

    fn flush(&self) {}
}
