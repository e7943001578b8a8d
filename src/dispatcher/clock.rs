//! The dispatcher's clock: Unix time that doesn't follow adjustments of the system clock.

use crate::routing::api::Time;
use std::time::Duration;
use tokio::time::Instant;

/// A monotonic clock of Unix time in microseconds. The clock reads the system time once, at its start, and then adds the
/// elapsed monotonic time. Adjustments of the system clock therefore cause no jump.
#[derive(Clone, Copy)]
pub struct Clock {
    start_unix_time: Time,
    start_instant: Instant,
}

impl Clock {
    /// Starts a clock at the system's current time.
    pub fn start() -> Self {
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        Clock {
            start_unix_time: since_epoch.map_or(0, |elapsed| elapsed.as_micros() as Time),
            start_instant: Instant::now(),
        }
    }

    /// Returns the current Unix time in microseconds.
    pub fn now(&self) -> Time {
        self.start_unix_time + self.start_instant.elapsed().as_micros() as Time
    }

    /// Converts a Unix time to an instant. Times before the clock's start become its start.
    pub(super) fn instant(&self, time: Time) -> Instant {
        self.start_instant + Duration::from_micros(time.saturating_sub(self.start_unix_time))
    }
}
