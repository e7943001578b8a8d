//! Faults of processes: kills, pauses, crowds of idle clients, and what these excuse.

use super::{Invariant, Oracle, Violation};
use std::time::{Duration, Instant};

impl Oracle {
    /// A crowd of idle clients fills a process's descriptors, or has left.
    pub fn on_crowd(&self, process: usize, is_there: bool) {
        let mut state = self.state();
        if is_there {
            state.crowded.insert(process);
        } else {
            state.crowded.remove(&process);
        }
        for request in state.requests_of(process) {
            request.is_crowded_out |= is_there && !request.is_answered;
            request.may_have_queued |= request.is_crowded_out;
        }
    }

    /// Notes something about a process in the history of its requests that have no answer or stream yet.
    pub fn observe_process(&self, process: usize, text: &str) {
        for request in self.state().requests_of(process) {
            request.observe(text.into());
        }
    }

    /// A process was killed: its reservations are void, and nothing is owed to its clients.
    pub fn on_process_killed(&self, process: usize) {
        let mut state = self.state();
        state.killed_at.insert(process, Instant::now());
        for request in state.requests_of(process) {
            request.observe("its process was killed".into());
            request.was_process_killed = true;
            request.is_kv_reserved = false;
            request.is_answered = true;
            request.update_idle_since();
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
            request.may_have_queued |= !request.is_answered;
        }
    }

    /// A process is about to resume after a pause, during which it owed nothing.
    pub fn on_process_resumed(&self, process: usize, pause: Duration) {
        let mut state = self.state();
        state.paused.remove(&process);
        state.resumed_at.insert(process, Instant::now());
        for request in state.requests_of(process) {
            request.observe(format!("its process was paused for {pause:?}"));
            request.extend_for_pause(pause);
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
