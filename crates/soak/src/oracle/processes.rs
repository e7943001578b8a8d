//! Faults of dispatcher processes (kills, pauses, floods of idle connections), and what they excuse in the checks.

use super::{Invariant, Oracle, Violation, BENCH_SLACK};
use std::time::{Duration, Instant};

/// A request that is sent later than this after SIGTERM must have its whole response before the kill.
const LATE_REQUEST_TIME: Duration = Duration::from_millis(700);

impl Oracle {
    /// Records that a flood of idle connections to a process begins (`is_active`) or is over. It excuses the requests that
    /// are waiting for a response at its start, and those that are sent before its end.
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

    /// Adds an observation about a process to the timeline of all its requests.
    pub fn add_process_observation(&self, process: usize, text: &str) {
        for request in self.state().requests_of(process) {
            request.add_observation(text.into());
        }
    }

    /// Records that a process without a successor is told to end at `terminated_at`.
    pub fn on_process_terminated(&self, process: usize, terminated_at: Instant) {
        self.state().terminated_at.insert(process, terminated_at);
    }

    /// Records that a terminated process has exited by itself.
    pub fn on_process_exited(&self, process: usize) {
        self.state().terminated_at.remove(&process);
    }

    /// Records that a process was killed. No release of KV caches is expected any more, and no response either, except for
    /// requests that were sent late in the shutdown of a terminated process.
    pub fn on_process_killed(&self, process: usize) {
        let mut state = self.state();
        state.killed_at.insert(process, Instant::now());
        let terminated_at = state.terminated_at.remove(&process);
        let late_from = terminated_at.map(|instant| instant + LATE_REQUEST_TIME + BENCH_SLACK);
        for request in state.requests_of(process) {
            request.add_observation("dispatcher process was killed".into());
            request.is_kv_reserved = false;
            request.update_kv_idle_clock();
            request.is_late_in_shutdown |=
                late_from.is_some_and(|late_from| request.sent_at >= Some(late_from));
            if !request.is_late_in_shutdown {
                request.was_process_killed = true;
                request.is_response_settled = true;
            }
        }
    }

    /// Records that a process is about to be killed. The system accepts connections for it until it has ended, so that a
    /// request may be sent after this moment; up to the next start its closed connection is the kill's.
    pub fn on_kill_started(&self, process: usize) {
        self.state().being_killed.insert(process);
        self.on_process_killed(process);
    }

    /// Records that a killed process is about to be started again.
    pub fn on_restart_after_kill(&self, process: usize) {
        self.on_process_killed(process);
        self.state().being_killed.remove(&process);
    }

    /// Returns whether a process is being killed, or was killed at or after `since`.
    pub fn was_killed_since(&self, process: usize, since: Instant) -> bool {
        let state = self.state();
        let killed_at = state.killed_at.get(&process);
        state.being_killed.contains(&process)
            || killed_at.is_some_and(|killed_at| *killed_at >= since)
    }

    /// Records that a process is about to be paused. Requests that arrive meanwhile wait in the accept queue, even if
    /// another process on the same socket accepts them in the end.
    pub fn on_process_paused(&self, process: usize) {
        let mut state = self.state();
        state.paused.insert(process);
        for request in state.requests_of(process) {
            request.may_have_waited_in_accept_queue |= !request.is_response_settled;
        }
    }

    /// Records that a process is about to be resumed, and excuses the duration of its pause.
    pub fn on_process_resumed(&self, process: usize, pause: Duration) {
        let mut state = self.state();
        state.paused.remove(&process);
        state.resumed_at.insert(process, Instant::now());
        for request in state.requests_of(process) {
            request.add_observation(format!("dispatcher process was paused for {pause:?}"));
            request.adjust_for_pause(pause);
        }
    }

    /// Reports a violation of [`Invariant::ProcessRuns`] by dispatcher `process`: its process exited by itself, did not
    /// start, or did not exit cleanly. Also used if the test bench cannot restart the dispatcher's discovery agent. `reason`
    /// becomes the only line of the timeline; each call adds a violation.
    pub fn on_process_failed(&self, process: usize, reason: String) {
        let violation = Violation {
            invariant: Invariant::ProcessRuns,
            id: format!("p{process}"),
            timeline: vec![reason],
        };
        self.state().violations.push(violation);
    }
}
