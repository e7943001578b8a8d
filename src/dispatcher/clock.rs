//! The dispatcher's clock.

use crate::routing::api::Time;
use std::time::Duration;
use tokio::time::Instant;

/// Unix time in microseconds, from one reading of the system's clock and a clock that never jumps.
#[derive(Clone, Copy)]
pub struct Clock {
    unix: Time,
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        Clock {
            unix: unix.map_or(0, |unix| unix.as_micros() as Time),
            start: Instant::now(),
        }
    }

    /// The time.
    pub fn now(&self) -> Time {
        self.unix + self.start.elapsed().as_micros() as Time
    }

    pub(super) fn instant(&self, at: Time) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.unix))
    }
}
