//! A tenant's quota, as a token bucket. Pure: no I/O, no clock.

use crate::routing::api::Time;

/// Seconds of a quota that may come at once.
const BURST: f64 = 5.0;

/// One tenant's bucket.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64, // tokens a second; 0: no limit
    left: f64,
    at: Time, // when `left` was reckoned
}

impl TokenBucket {
    /// A bucket for so many requests a second; 0: no limit.
    pub fn new(rate: f64, now: Time) -> TokenBucket {
        TokenBucket {
            rate,
            left: BURST,
            at: now,
        }
    }

    /// From now on it fills at this rate.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Takes a token for a request; true where none is left.
    pub fn is_exceeded(&mut self, now: Time) -> bool {
        let passed = (now - self.at) as f64 / 1e6;
        self.left = (self.left + self.rate * passed).min(self.rate * BURST + 1.0);
        self.at = now;
        let exceeded = self.rate > 0.0 && self.left < 1.0;
        self.left -= f64::from(u8::from(!exceeded));
        exceeded
    }
}

#[cfg(test)]
#[path = "../../tests/unit/routing/token_bucket.rs"]
mod tests;
