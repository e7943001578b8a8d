//! Token bucket for a tenant's quota. The router owns one bucket for each tenant. The bucket does no I/O and
//! reads no clock.

use crate::routing::api::Time;

/// Size of a full bucket, in seconds of its rate, beside one additional token.
const BURST_SECONDS: f64 = 5.0;

/// One tenant's token bucket at one dispatcher. Each request takes one token.
#[derive(Clone, Debug)]
pub(super) struct TokenBucket {
    /// Tokens per second; 0: no limit.
    rate: f64,
    tokens: f64,
    refilled_at: Time,
}

impl TokenBucket {
    /// Creates a bucket with a rate in requests per second; 0: no limit. It starts with [`BURST_SECONDS`]
    /// tokens, whatever its rate. `now` is in microseconds.
    pub(super) fn new(rate: f64, now: Time) -> TokenBucket {
        TokenBucket {
            rate,
            tokens: BURST_SECONDS,
            refilled_at: now,
        }
    }

    /// Sets the rate, in requests per second; 0: no limit.
    pub(super) fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Takes a token for a request and returns whether none was left. `now` is in microseconds and must not
    /// decrease between calls.
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
