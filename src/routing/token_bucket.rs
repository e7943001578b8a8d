//! A tenant's quota as a token bucket. Pure: no I/O and no clock. The router owns one for each tenant.

use crate::routing::api::Time;

/// Seconds of the rate that a full bucket holds.
const BURST_SECONDS: f64 = 5.0;

/// One tenant's bucket, at one dispatcher.
#[derive(Clone, Debug)]
pub(super) struct TokenBucket {
    /// Tokens a second; 0: no limit.
    rate: f64,
    tokens: f64,
    refilled_at: Time,
}

impl TokenBucket {
    /// A bucket with a rate in requests a second; 0: no limit. `now` is in microseconds.
    pub(super) fn new(rate: f64, now: Time) -> TokenBucket {
        TokenBucket {
            rate,
            tokens: BURST_SECONDS,
            refilled_at: now,
        }
    }

    /// Changes the rate, in requests a second; 0: no limit.
    pub(super) fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Takes a token for a request; true where none is left. `now` is in microseconds and never goes back.
    pub(super) fn is_exceeded(&mut self, now: Time) -> bool {
        let elapsed_seconds = (now - self.refilled_at) as f64 / 1e6;
        self.tokens =
            (self.tokens + self.rate * elapsed_seconds).min(self.rate * BURST_SECONDS + 1.0);
        self.refilled_at = now;
        let is_exceeded = self.rate > 0.0 && self.tokens < 1.0;
        if !is_exceeded {
            self.tokens -= 1.0;
        }
        is_exceeded
    }
}

#[cfg(test)]
#[path = "../../tests/unit/routing/token_bucket.rs"]
mod tests;
