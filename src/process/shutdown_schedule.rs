//! The times of a graceful shutdown, derived from the longest deadline of the deployment.
//!
//! All times but the first count backwards from the earliest moment at which the process may be killed.

use crate::dispatcher::DrainSchedule;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum duration of the drain. Open requests get the longest deadline of any class to finish, but no more than this:
/// the process may be killed [`KILL_MARGIN`] later.
const MAX_DRAIN_DURATION: Duration = Duration::from_secs(3);
/// Time between the end of the drain and the earliest kill.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// A request that arrives later than this after the signal was sent must be answered to its end before the kill.
const LATE_REQUEST_TIME: Duration = Duration::from_millis(700);
/// The longest time from the signal's sending to the start of the drain.
const MAX_SIGNAL_DELAY: Duration = Duration::from_millis(150);
/// How long before the earliest kill all requests but streams are answered, so that their reservations can be released.
const RELEASE_MARGIN: Duration = Duration::from_millis(500);
/// How long before the earliest kill streams begin to migrate also to a process that does not serve. It may not be able
/// to finish them, but staying here they would be cut by the kill.
const FALLBACK_RECEIVER_MARGIN: Duration = Duration::from_millis(800);
/// How long before the earliest kill the requests that are still open are logged.
const WARNING_MARGIN: Duration = Duration::from_millis(200);

/// The times of one shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ShutdownSchedule {
    /// What the core is told.
    pub drain: DrainSchedule,
    /// When requests that have not arrived completely are refused.
    pub arrivals_end_at: Instant,
    /// From when on streams migrate also to a process that does not serve.
    pub fallback_receivers_at: Instant,
    /// When the requests that are still open are logged.
    pub warn_at: Instant,
}

impl ShutdownSchedule {
    /// Returns the schedule of a shutdown that starts at `started_at`. `max_deadline` is the longest deadline of any class.
    pub(super) fn new(started_at: Instant, max_deadline: Duration) -> ShutdownSchedule {
        let until_kill = max_deadline.min(MAX_DRAIN_DURATION) + KILL_MARGIN;
        let kill_at = started_at + until_kill;
        let respond_within = until_kill.saturating_sub(RELEASE_MARGIN);
        ShutdownSchedule {
            drain: DrainSchedule {
                admit_within: LATE_REQUEST_TIME - MAX_SIGNAL_DELAY,
                respond_within,
            },
            arrivals_end_at: started_at + respond_within,
            fallback_receivers_at: kill_at - FALLBACK_RECEIVER_MARGIN,
            warn_at: kill_at - WARNING_MARGIN,
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/process/shutdown_schedule.rs"]
mod tests;
