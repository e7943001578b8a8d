//! The long-poll requests that watch the endpoint list: their targets, timeouts and retry delays. Pure: the client owns
//! the [`WatchState`] and does the I/O.
//!
//! A request whose connection was lost silently looks like one that waits for a change. The deployment treats a missed
//! change as delivered to this dispatcher at the later of two times: 6 s after the connection was lost, and 2 s after
//! the end of the request's hold time. The connection may be lost right after the request was sent. A change also
//! counts as delivered 6 s after discovery received it, whatever failed meanwhile. So timeouts and retry delays are
//! short enough for the next request to be answered by then.
//!
//! In deployments that push the lists, an agent on this machine serves them. It responds at once and at no cost, but
//! not at all while discovery is down. When discovery recovers, the agent's list counts as delivered immediately, so
//! the agent is polled with short timeouts.

use std::time::Duration;

/// The hold time of a request to a remote discovery service: how long it waits there for a newer revision.
const REMOTE_HOLD: Duration = Duration::from_millis(1800);
/// The hold time of a request to the agent on this machine.
const AGENT_HOLD: Duration = Duration::from_secs(1);
/// The part of a request's timeout beyond its hold time. A busy discovery service queues requests, and a request that
/// times out costs it as much work as one that is answered.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);
/// The part of a request's timeout beyond its hold time, for the agent on this machine.
const AGENT_RESPONSE_GRACE: Duration = Duration::from_millis(100);
/// The delay after a request without a response. Short, because the service has spent no work on an answer.
const TIMEOUT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The delay after a request to the agent on this machine that got no response. It is also the longest delay after a
/// rejected request or an invalid list from the agent. Before a request that gets [`RESPONSE_GRACE`], the delay is
/// [`TIMEOUT_RETRY_DELAY`].
const AGENT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The longest delay after a rejected request or an invalid list. The next request may be queued, and must still be
/// answered before a change counts as delivered.
pub const MAX_RETRY_DELAY: Duration = Duration::from_millis(3800);
/// A rejection that took at least this long was queued before. Discovery is then overloaded, and the delay may exceed
/// [`MAX_RETRY_DELAY`] to reduce its load.
const QUEUEING_THRESHOLD: Duration = Duration::from_secs(1);
/// While the agent on this machine does not respond, one request in this many gets [`RESPONSE_GRACE`]: the agent may be
/// slow rather than down.
const REQUESTS_PER_LONG_TIMEOUT: u32 = 100;

/// A request for the endpoint list.
#[derive(Debug)]
pub struct PollRequest {
    /// The request target: path and query.
    pub target: String,
    /// The timeout, which includes the request's hold time.
    pub timeout: Duration,
}

/// The state of the watch on one address.
pub struct WatchState {
    /// The revision of the last list; `None`: the next request is for a full list.
    revision: Option<u64>,
    /// Whether an agent on this machine serves the lists, rather than a remote discovery service.
    has_local_agent: bool,
    /// The number of requests without a response since the last list.
    consecutive_timeouts: u32,
}

impl WatchState {
    /// Creates a watch that continues from `revision`, or starts with a full list if it is `None`. `has_local_agent`:
    /// an agent on this machine serves the lists.
    pub fn starting_at(revision: Option<u64>, has_local_agent: bool) -> Self {
        WatchState {
            revision,
            has_local_agent,
            consecutive_timeouts: 0,
        }
    }

    /// Returns the next request.
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
        let has_long_timeout = !self.is_responsive() && self.is_long_timeout_due();
        if self.has_local_agent && !has_long_timeout {
            AGENT_RESPONSE_GRACE
        } else {
            RESPONSE_GRACE
        }
    }

    fn hold(&self) -> Duration {
        if !self.has_local_agent {
            REMOTE_HOLD
        } else if self.is_responsive() {
            AGENT_HOLD
        } else {
            // After a failure, the agent must respond at once: during a hold time, another failure would go unnoticed.
            Duration::ZERO
        }
    }

    fn is_long_timeout_due(&self) -> bool {
        self.consecutive_timeouts
            .is_multiple_of(REQUESTS_PER_LONG_TIMEOUT)
    }

    /// Records a list with this revision. Returns whether the revision differs from the last one.
    pub fn on_response(&mut self, revision: u64) -> bool {
        self.consecutive_timeouts = 0;
        self.revision.replace(revision) != Some(revision)
    }

    /// Returns whether every request since the last list was answered. True before the first request.
    pub fn is_responsive(&self) -> bool {
        self.consecutive_timeouts == 0
    }

    /// Records a request without a response and returns the delay before the next one.
    pub fn on_timeout(&mut self) -> Duration {
        self.consecutive_timeouts = self.consecutive_timeouts.saturating_add(1);
        if self.has_local_agent && !self.is_long_timeout_due() {
            AGENT_RETRY_DELAY
        } else {
            TIMEOUT_RETRY_DELAY
        }
    }

    /// Returns the longest delay before the next request if the last one was rejected, or answered with an invalid
    /// list, `elapsed` after it was sent.
    pub fn max_backoff(&self, elapsed: Duration) -> Duration {
        if self.has_local_agent {
            AGENT_RETRY_DELAY
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
