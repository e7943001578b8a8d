//! The dispatcher's clock: Unix time that never jumps.

use crate::routing::api::Time;
use std::time::Duration;
use tokio::time::Instant;

/// Unix time in microseconds, from one reading of the system's clock and a clock that never jumps.
#[derive(Clone, Copy)]
pub struct Clock {
    start_unix_time: Time,
    start_instant: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        Clock {
            start_unix_time: since_epoch.map_or(0, |elapsed| elapsed.as_micros() as Time),
            start_instant: Instant::now(),
        }
    }

    /// The current Unix time in microseconds.
    pub fn now(&self) -> Time {
        self.start_unix_time + self.start_instant.elapsed().as_micros() as Time
    }

    /// The moment of a Unix time; the clock's start for times before that.
    pub(super) fn instant(&self, time: Time) -> Instant {
        self.start_instant + Duration::from_micros(time.saturating_sub(self.start_unix_time))
    }
}
