//! Streams: whether they are whole, and how late their events are.

use super::{Invariant, Oracle, BENCH_SLACK};
use std::time::{Duration, Instant};

/// An event reaches its client within this.
const MAX_EVENT_DELAY: Duration = Duration::from_millis(300);
/// For so long after a pause of a process events may still be late.
const PAUSE_RECOVERY_TIME: Duration = Duration::from_millis(1_000);

impl Oracle {
    /// The client's stream has ended. `is_complete`: its last chunk has arrived.
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

    /// A replica has aborted its stream.
    pub fn on_stream_aborted(&self, id: &str) {
        self.update_request(id, |request| {
            request.is_stream_aborted = true;
            request.add_observation("replica aborted its stream".into());
            None
        });
    }

    /// A replica stands still in the middle of its stream, or goes on with it. The dispatcher may give up what is silent.
    pub fn on_stream_stalled(&self, id: &str, is_stalled: bool) {
        self.update_request(id, |request| {
            if request.is_stream_stalled != is_stalled {
                request.add_observation(format!("replica stalled in mid-stream: {is_stalled}"));
            }
            request.is_stream_stalled = is_stalled;
            None
        });
    }

    /// A dispatcher has closed the connection of a stream that its replica went on with.
    pub fn on_stream_closed_by_dispatcher(&self, id: &str) {
        self.update_request(id, |request| {
            request.add_observation("its dispatcher closed the connection in mid-stream".into());
            None
        });
    }

    /// A client that reads at once has an event, which its replica wrote at `written_at`.
    pub fn on_event(&self, id: &str, written_at: Instant) {
        let delay = written_at.elapsed();
        let mut state = self.state();
        let process = state.requests.get(id).map(|request| request.process);
        let resumed_at = process.and_then(|process| state.resumed_at.get(&process));
        // Neither a process that was paused lately is blamed, nor one beside it that had to wait for it.
        let is_excused = resumed_at.is_some_and(|resumed_at| {
            written_at.saturating_duration_since(*resumed_at) < PAUSE_RECOVERY_TIME
        });
        if is_excused {
            return;
        }
        state.max_event_delay = state.max_event_delay.max(delay);
        if delay > MAX_EVENT_DELAY + BENCH_SLACK {
            if let Some(request) = state.requests.get_mut(id) {
                request.add_observation(format!("an event came {delay:?} after it was written"));
            }
            state.report_violation(self.started, Invariant::EventDeliveredInTime, id);
        }
    }

    /// The latest that an event was, of those for which a dispatcher can be blamed.
    pub fn max_event_delay(&self) -> Duration {
        self.state().max_event_delay
    }
}
