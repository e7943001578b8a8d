//! When a service that a whole fleet calls is called: spread out, and after failures less and less often.
//!
//! What one dispatcher may do ten times a second keeps a service down when all of a fleet do it: its queue is then as long
//! as its patience, each call expires as its turn comes, and none is served. So pauses grow with the number of callers.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::time::Duration;

/// All callers together make a call in this time, on the mean.
const EACH: Duration = Duration::from_millis(60);
/// The first pause of the only caller, and the longest on the mean.
const ALONE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(2));
/// The first call of any caller comes within this ...
const FIRST_MOST: Duration = crate::discovery::watch_state::PAUSE_MOST;
/// ... and no mean pause is longer than this.
const MEAN_MOST: Duration = Duration::from_secs(16);
/// Pauses are drawn from this part of their mean up to that.
const DRAWN: (f64, f64) = (0.5, 1.5);

/// One of the callers.
pub struct Backoff {
    callers: u32,
    failures: u32,
    rng: Pcg32,
}

impl Backoff {
    /// One of so many callers.
    pub fn new(callers: u32, seed: u64) -> Self {
        Backoff {
            callers,
            failures: 0,
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    fn turn(&self) -> Duration {
        EACH.saturating_mul(self.callers).min(MEAN_MOST)
    }

    /// How long to wait before the first call, lest all that start at once call at once.
    pub fn initial_delay(&mut self) -> Duration {
        match self.callers {
            0..=1 => Duration::ZERO,
            _ => self
                .turn()
                .min(FIRST_MOST)
                .mul_f64(self.rng.gen_range(0.0..1.0)),
        }
    }

    /// A call has failed: how long to wait before the next. Doubled with each failure in turn.
    pub fn next_delay(&mut self) -> Duration {
        self.next_delay_within(Duration::MAX)
    }

    /// The same, and no longer than this.
    pub fn next_delay_within(&mut self, longest: Duration) -> Duration {
        let (least, most) = (
            ALONE.0.max(self.turn()),
            ALONE.1.max(self.turn() * 2).min(MEAN_MOST),
        );
        let mean = least.saturating_mul(1 << self.failures.min(16)).min(most);
        self.failures = self.failures.saturating_add(1);
        mean.min(longest.div_f64(DRAWN.1))
            .mul_f64(self.rng.gen_range(DRAWN.0..DRAWN.1))
    }

    /// A call has succeeded: the next failure is a first one.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
#[path = "../../tests/unit/discovery/backoff.rs"]
mod tests;
