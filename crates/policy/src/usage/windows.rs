//! Windows of time.

use std::time::Duration;

use super::Window;

/// How long after its end a window is closed, so that counts can arrive: a request without a response
/// counts 1 s after it was sent, gateways send counts every 300 ms, and their estimates of true time
/// differ by up to 250 ms.
const CLOSE_DELAY: Duration = Duration::from_secs(2);

/// The division of true time into windows of one length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Windows {
    length_ms: u64,
}

impl Windows {
    /// Returns windows of a length, of at least a millisecond.
    #[must_use]
    pub fn new(length: Duration) -> Self {
        let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
        Self {
            length_ms: length_ms.max(1),
        }
    }

    /// Returns the length of a window.
    #[must_use]
    pub fn length(self) -> Duration {
        Duration::from_millis(self.length_ms)
    }

    /// Returns the window at a time in milliseconds since the Unix epoch.
    #[must_use]
    pub fn at(self, unix_ms: u64) -> Window {
        Window(unix_ms / self.length_ms)
    }

    /// Returns the end of a window, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn end_ms(self, window: Window) -> u64 {
        window.next().0.saturating_mul(self.length_ms)
    }

    /// Returns the first window that is not to be closed yet.
    #[must_use]
    pub fn first_open(self, unix_ms: u64) -> Window {
        let delay = u64::try_from(CLOSE_DELAY.as_millis()).unwrap_or(u64::MAX);
        self.at(unix_ms.saturating_sub(delay))
    }
}
