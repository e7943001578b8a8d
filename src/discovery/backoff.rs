//! Exponential backoff with jitter for calls to a service that all dispatchers of a fleet call.
//!
//! A retry rate that is harmless for one dispatcher can keep a service down when the whole fleet retries at it. The
//! wait in the service's queue then reaches the callers' timeout, so each call expires before it is handled and none is
//! served. So the delays grow with the number of callers, too. Each caller owns its [`Backoff`].

use crate::discovery::watch_state::MAX_RETRY_DELAY;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::ops::Range;
use std::time::Duration;

/// The mean interval between two calls, over all callers of the fleet.
const FLEET_CALL_INTERVAL: Duration = Duration::from_millis(60);
/// The lower bound of the mean delay, which applies to a sole caller's first failure.
const MIN_SOLE_CALLER_DELAY: Duration = Duration::from_millis(200);
/// The upper bound of the mean delay of a sole caller.
const MAX_SOLE_CALLER_DELAY: Duration = Duration::from_secs(2);
/// The upper bound of the delay before the first call, for any number of callers.
const MAX_INITIAL_DELAY: Duration = MAX_RETRY_DELAY;
/// The upper bound of the mean delay, for any number of callers.
const MAX_MEAN_DELAY: Duration = Duration::from_secs(16);
/// Delays are drawn uniformly from this range, as multiples of their mean.
const JITTER: Range<f64> = 0.5..1.5;
/// The maximum number of doublings of the mean delay; keeps the factor in 32 bits.
const MAX_DOUBLINGS: u32 = 16;

/// The backoff state of one caller.
pub struct Backoff {
    caller_count: u32,
    /// Failed calls since the last successful one.
    consecutive_failures: u32,
    rng: Pcg32,
}

impl Backoff {
    /// Creates the backoff of one of `caller_count` callers. Each caller needs a different seed, or all call at the
    /// same time.
    pub fn new(caller_count: u32, seed: u64) -> Self {
        Backoff {
            caller_count,
            consecutive_failures: 0,
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// Returns the mean interval between two calls of this caller at which the fleet keeps [`FLEET_CALL_INTERVAL`].
    fn caller_interval(&self) -> Duration {
        FLEET_CALL_INTERVAL
            .saturating_mul(self.caller_count)
            .min(MAX_MEAN_DELAY)
    }

    /// Returns the delay before the first call, which spreads out callers that start together. It is drawn uniformly up
    /// to this caller's mean interval between calls, but to at most [`MAX_RETRY_DELAY`]. Zero for a sole caller.
    pub fn initial_delay(&mut self) -> Duration {
        if self.caller_count <= 1 {
            return Duration::ZERO;
        }
        let max_delay = self.caller_interval().min(MAX_INITIAL_DELAY);
        max_delay.mul_f64(self.rng.gen_range(0.0..1.0))
    }

    /// Records a failed call and returns the delay before the next one. Its mean doubles with each consecutive failure.
    pub fn next_delay(&mut self) -> Duration {
        self.next_delay_within(Duration::MAX)
    }

    /// Does the same as [`Backoff::next_delay`], but returns a delay of at most `max_delay`.
    pub fn next_delay_within(&mut self, max_delay: Duration) -> Duration {
        let min_mean = MIN_SOLE_CALLER_DELAY.max(self.caller_interval());
        let max_mean = MAX_SOLE_CALLER_DELAY
            .max(self.caller_interval() * 2)
            .min(MAX_MEAN_DELAY);
        let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
        let mean = min_mean.saturating_mul(1 << doublings).min(max_mean);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        // Bounding the delay itself would give all callers the same delay; with a bounded mean, delays keep their
        // jitter.
        let bounded_mean = mean.min(max_delay.div_f64(JITTER.end));
        bounded_mean.mul_f64(self.rng.gen_range(JITTER))
    }

    /// Records a successful call: the next failure counts as the first one.
    pub fn reset(&mut self) {
        self.consecutive_failures = 0;
    }
}

#[cfg(test)]
#[path = "../../tests/unit/discovery/backoff.rs"]
mod tests;
