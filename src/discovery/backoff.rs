//! The delays between calls to a service that the whole fleet calls: spread out, and growing with each failure in a row.
//!
//! A call rate that is harmless from one dispatcher keeps a service down when every dispatcher of a fleet has it: the
//! queue then takes as long as the callers' timeout, each call expires as its turn comes, and none is served. So the
//! delays grow with the number of callers. Each caller owns its [`Backoff`].

use crate::discovery::watch_state::MAX_RETRY_DELAY;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::ops::Range;
use std::time::Duration;

/// The mean interval between two calls of the whole fleet.
const FLEET_CALL_INTERVAL: Duration = Duration::from_millis(60);
/// The mean delay of a sole caller after its first failure.
const MIN_SOLE_CALLER_DELAY: Duration = Duration::from_millis(200);
/// The longest mean delay of a sole caller.
const MAX_SOLE_CALLER_DELAY: Duration = Duration::from_secs(2);
/// The longest delay before the first call, for any number of callers.
const MAX_INITIAL_DELAY: Duration = MAX_RETRY_DELAY;
/// The longest mean delay, for any number of callers.
const MAX_MEAN_DELAY: Duration = Duration::from_secs(16);
/// Delays are drawn uniformly from this range, as multiples of their mean.
const JITTER: Range<f64> = 0.5..1.5;
/// The mean delay is doubled at most this many times.
const MAX_DOUBLINGS: u32 = 16;

/// The delays of one of the callers.
pub struct Backoff {
    caller_count: u32,
    consecutive_failures: u32,
    rng: Pcg32,
}

impl Backoff {
    /// The delays of one of `caller_count` callers. Callers need different seeds, or they call at the same moments.
    pub fn new(caller_count: u32, seed: u64) -> Self {
        Backoff {
            caller_count,
            consecutive_failures: 0,
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// The mean interval between two calls of this caller that keeps the fleet at its call rate.
    fn caller_interval(&self) -> Duration {
        FLEET_CALL_INTERVAL
            .saturating_mul(self.caller_count)
            .min(MAX_MEAN_DELAY)
    }

    /// The delay before the first call, which spreads out callers that start at the same moment. Zero for a sole caller.
    pub fn initial_delay(&mut self) -> Duration {
        if self.caller_count <= 1 {
            return Duration::ZERO;
        }
        let max_delay = self.caller_interval().min(MAX_INITIAL_DELAY);
        max_delay.mul_f64(self.rng.gen_range(0.0..1.0))
    }

    /// Records a failed call and returns the delay before the next one. The mean doubles with each failure in a row.
    pub fn next_delay(&mut self) -> Duration {
        self.next_delay_within(Duration::MAX)
    }

    /// The same as [`Backoff::next_delay`], with delays no longer than `max_delay`.
    pub fn next_delay_within(&mut self, max_delay: Duration) -> Duration {
        let min_mean = MIN_SOLE_CALLER_DELAY.max(self.caller_interval());
        let max_mean = MAX_SOLE_CALLER_DELAY
            .max(self.caller_interval() * 2)
            .min(MAX_MEAN_DELAY);
        let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
        let mean = min_mean.saturating_mul(1 << doublings).min(max_mean);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        // Bounds the mean rather than the delay, so that bounded delays still differ between callers.
        let bounded_mean = mean.min(max_delay.div_f64(JITTER.end));
        bounded_mean.mul_f64(self.rng.gen_range(JITTER))
    }

    /// Records a successful call: the next failure counts as a first one.
    pub fn reset(&mut self) {
        self.consecutive_failures = 0;
    }
}

#[cfg(test)]
#[path = "../../tests/unit/discovery/backoff.rs"]
mod tests;
