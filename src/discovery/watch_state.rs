//! The requests with which the endpoint list is watched, their timeouts, and the delays between them. Pure: the client
//! owns the [`WatchState`] and does the I/O.
//!
//! A watch whose connection has broken silently looks like one that has nothing to report. A change that it misses
//! counts as delivered to this dispatcher 6 s after the connection broke, which may be the moment after the request was
//! sent, or 2 s after the end of the request's hold time where that is later. A change also counts as delivered 6 s
//! after discovery had it, whatever failed meanwhile. So a request times out, and a failed one is repeated, early enough
//! for the next one to be answered by then.
//!
//! Where lists are pushed, an agent on this machine serves them: it answers at once and at no cost, and is silent while
//! discovery is down. What it has when that ends counts as delivered in that moment, so it is polled with short timeouts.

use std::time::Duration;

/// How long a request waits at a polled discovery for a newer revision.
const POLLED_HOLD: Duration = Duration::from_millis(1800);
/// How long a request waits at the agent on this machine for a newer revision.
const PUSHED_HOLD: Duration = Duration::from_secs(1);
/// The time past the hold after which a request has timed out. A busy discovery queues requests, and one that timed out
/// has cost it as much as one that was answered.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);
/// The same for the agent on this machine.
const PUSHED_RESPONSE_GRACE: Duration = Duration::from_millis(100);
/// The delay between a request that timed out and the next one. Short, as the service did not spend work on an answer.
const TIMEOUT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The delay between a failed request to the agent on this machine and the next one.
const PUSHED_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The longest delay between a request that was rejected, or answered with an invalid list, and the next one: that one
/// may be queued, and still has to be answered before a change counts as delivered.
pub const MAX_RETRY_DELAY: Duration = Duration::from_millis(3800);
/// A request that was rejected only after this time had been queued: discovery is overloaded, and its callers have to
/// leave it more time than [`MAX_RETRY_DELAY`].
const QUEUEING_THRESHOLD: Duration = Duration::from_secs(1);
/// The agent on this machine may be slow rather than silent: one in this many unanswered requests in a row is given
/// [`RESPONSE_GRACE`].
const REQUESTS_PER_PATIENT_REQUEST: u32 = 100;

/// A request for the endpoint list.
#[derive(Debug)]
pub struct PollRequest {
    /// Path and query.
    pub target: String,
    /// The time after which the request has timed out.
    pub timeout: Duration,
}

/// The state of the watch on one address.
pub struct WatchState {
    revision: Option<u64>,
    is_pushed: bool,
    consecutive_timeouts: u32,
}

impl WatchState {
    /// A watch that continues from `revision`, or starts with a full list. `is_pushed`: an agent on this machine serves
    /// the lists.
    pub fn starting_at(revision: Option<u64>, is_pushed: bool) -> Self {
        WatchState {
            revision,
            is_pushed,
            consecutive_timeouts: 0,
        }
    }

    /// The next request.
    pub fn next_poll(&self) -> PollRequest {
        let grace = self.response_grace();
        let Some(revision) = self.revision else {
            return PollRequest {
                target: "/v1/endpoints".to_owned(),
                timeout: grace,
            };
        };
        let hold = self.hold();
        let hold_ms = hold.as_millis();
        PollRequest {
            target: format!("/v1/endpoints?from={revision}&hold_ms={hold_ms}"),
            timeout: hold + grace,
        }
    }

    fn response_grace(&self) -> Duration {
        let is_patient = !self.is_synced() && self.is_patient_turn();
        if self.is_pushed && !is_patient {
            PUSHED_RESPONSE_GRACE
        } else {
            RESPONSE_GRACE
        }
    }

    fn hold(&self) -> Duration {
        if !self.is_pushed {
            POLLED_HOLD
        } else if self.is_synced() {
            PUSHED_HOLD
        } else {
            // An agent that was silent is asked for what it has: during a hold it could fall silent again unnoticed.
            Duration::ZERO
        }
    }

    fn is_patient_turn(&self) -> bool {
        self.consecutive_timeouts
            .is_multiple_of(REQUESTS_PER_PATIENT_REQUEST)
    }

    /// Records a list of this revision; true where it differs from the last one.
    pub fn on_response(&mut self, revision: u64) -> bool {
        self.consecutive_timeouts = 0;
        self.revision.replace(revision) != Some(revision)
    }

    /// Whether the last request was answered.
    pub fn is_synced(&self) -> bool {
        self.consecutive_timeouts == 0
    }

    /// Records a request without an answer, and returns the delay before the next one.
    pub fn on_timeout(&mut self) -> Duration {
        self.consecutive_timeouts = self.consecutive_timeouts.saturating_add(1);
        if self.is_pushed && !self.is_patient_turn() {
            PUSHED_RETRY_DELAY
        } else {
            TIMEOUT_RETRY_DELAY
        }
    }

    /// The longest delay before the next request where this one was answered, `elapsed` after it was sent, with anything
    /// but a list.
    pub fn max_backoff(&self, elapsed: Duration) -> Duration {
        if self.is_pushed {
            PUSHED_RETRY_DELAY
        } else if elapsed < QUEUEING_THRESHOLD {
            MAX_RETRY_DELAY
        } else {
            Duration::MAX
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/discovery/watch_state.rs"]
mod tests;
