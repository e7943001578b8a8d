//! Checks of response streams: whether they are complete at the client, and how late their events arrive.

use super::{Invariant, Oracle, BENCH_SLACK};
use std::time::{Duration, Instant};

/// The longest time from the replica's write of an event to its arrival at the client.
const MAX_EVENT_DELAY: Duration = Duration::from_millis(300);
/// Events that are written within this time after a pause of the dispatcher may arrive late.
const PAUSE_RECOVERY_TIME: Duration = Duration::from_millis(1_000);

impl Oracle {
    /// Records the end of a stream at its client. `is_complete` states that the last chunk arrived.
    pub fn on_stream_ended(&self, id: &str, is_complete: bool) {
        self.update_request(id, |request| {
            request.add_observation(format!("stream ended, complete: {is_complete}"));
            match (is_complete, request.is_stream_aborted) {
                (true, true) => Some(Invariant::AbortedStreamIncomplete),
                (false, false) if !request.was_process_killed && !request.is_stream_stalled => {
                    Some(Invariant::StreamComplete)
                }
                _ => None,
            }
        });
    }

    /// Records that a replica has aborted its stream.
    pub fn on_stream_aborted(&self, id: &str) {
        self.update_request(id, |request| {
            request.is_stream_aborted = true;
            request.add_observation("replica aborted its stream".into());
            None
        });
    }

    /// Records whether a fault keeps a replica from writing in the middle of its stream. The dispatcher may close a stream
    /// on which nothing arrives, so a stalled stream need not be complete.
    pub fn on_stream_stalled(&self, id: &str, is_stalled: bool) {
        self.update_request(id, |request| {
            if request.is_stream_stalled != is_stalled {
                request.add_observation(format!("replica stalled in mid-stream: {is_stalled}"));
            }
            request.is_stream_stalled = is_stalled;
            None
        });
    }

    /// Records that the dispatcher closed the connection to a replica that was still streaming.
    pub fn on_stream_closed_by_dispatcher(&self, id: &str) {
        self.update_request(id, |request| {
            request.add_observation(
                "dispatcher closed the connection to the replica in mid-stream".into(),
            );
            None
        });
    }

    /// Records that a client received an event, and checks its delay since `written_at`, the replica's timestamp in the
    /// event. Excuses events written before the end of the dispatcher's last pause, or up to `PAUSE_RECOVERY_TIME` after it.
    /// Must be called only for clients that read without delay.
    pub fn on_event(&self, id: &str, written_at: Instant) {
        let delay = written_at.elapsed();
        let mut state = self.state();
        let process = state.requests.get(id).map(|request| request.process);
        let resumed_at = process.and_then(|process| state.resumed_at.get(&process));
        // A pause also delays other processes of the same dispatcher, which may wait for the paused one during an upgrade.
        let is_excused = resumed_at.is_some_and(|resumed_at| {
            written_at.saturating_duration_since(*resumed_at) < PAUSE_RECOVERY_TIME
        });
        if is_excused {
            return;
        }
        state.max_event_delay = state.max_event_delay.max(delay);
        if delay > MAX_EVENT_DELAY + BENCH_SLACK {
            if let Some(request) = state.requests.get_mut(id) {
                request.add_observation(format!("event received {delay:?} after it was written"));
            }
            state.report_violation(self.started, Invariant::EventDeliveredInTime, id);
        }
    }

    /// Returns the longest delay of an event so far, without the delays that a pause excuses.
    pub fn max_event_delay(&self) -> Duration {
        self.state().max_event_delay
    }
}
