//! Faults of processes: kills, pauses, crowds of idle clients, and what these excuse.

use super::{Invariant, Oracle, Violation};
use std::time::{Duration, Instant};

impl Oracle {
    /// A crowd of idle clients fills a process's descriptors, or has left.
    pub fn on_connection_flood(&self, process: usize, is_active: bool) {
        let mut state = self.state();
        if is_active {
            state.flooded.insert(process);
        } else {
            state.flooded.remove(&process);
        }
        for request in state.requests_of(process) {
            request.is_affected_by_flood |= is_active && !request.is_response_settled;
            request.may_have_waited_in_accept_queue |= request.is_affected_by_flood;
        }
    }

    /// Notes something about a process in the history of its requests that have no answer or stream yet.
    pub fn add_process_observation(&self, process: usize, text: &str) {
        for request in self.state().requests_of(process) {
            request.add_observation(text.into());
        }
    }

    /// A process was killed: its reservations are void, and nothing is owed to its clients.
    pub fn on_process_killed(&self, process: usize) {
        let mut state = self.state();
        state.killed_at.insert(process, Instant::now());
        for request in state.requests_of(process) {
            request.add_observation("its process was killed".into());
            request.was_process_killed = true;
            request.is_kv_reserved = false;
            request.is_response_settled = true;
            request.update_kv_idle_clock();
        }
    }

    /// Whether a process was killed at or after `since`.
    pub fn was_killed_since(&self, process: usize, since: Instant) -> bool {
        let state = self.state();
        let killed_at = state.killed_at.get(&process);
        killed_at.is_some_and(|killed_at| *killed_at >= since)
    }

    /// A process is about to be paused. What comes to it meanwhile waits, also where another one takes it in the end.
    pub fn on_process_paused(&self, process: usize) {
        let mut state = self.state();
        state.paused.insert(process);
        for request in state.requests_of(process) {
            request.may_have_waited_in_accept_queue |= !request.is_response_settled;
        }
    }

    /// A process is about to resume after a pause, during which it owed nothing.
    pub fn on_process_resumed(&self, process: usize, pause: Duration) {
        let mut state = self.state();
        state.paused.remove(&process);
        state.resumed_at.insert(process, Instant::now());
        for request in state.requests_of(process) {
            request.add_observation(format!("its process was paused for {pause:?}"));
            request.adjust_for_pause(pause);
        }
    }

    /// A process exited by itself, failed to start, or did not shut down cleanly.
    pub fn on_process_failed(&self, process: usize, reason: String) {
        let violation = Violation {
            invariant: Invariant::ProcessRuns,
            id: format!("p{process}"),
            timeline: vec![reason],
        };
        self.state().violations.push(violation);
    }
}
