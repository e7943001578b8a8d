//! The history of one request, as clients and replicas observed it. The [`Oracle`](crate::oracle::Oracle) owns it.

use quartzhall::routing::api::Role;
use std::time::{Duration, Instant};

/// One entry of a request's time line.
pub(crate) struct Observation {
    /// When it was made.
    pub(crate) instant: Instant,
    /// What was observed.
    pub(crate) text: String,
}

/// What the invariants need to know of a request.
#[derive(Default)]
pub(crate) struct RequestHistory {
    /// The dispatcher that it was sent to.
    pub(crate) process: usize,
    /// It must not run twice.
    pub(crate) is_non_idempotent: bool,
    /// When its client had sent the last byte.
    pub(crate) sent_at: Option<Instant>,
    /// How long the client waits from then.
    pub(crate) deadline: Duration,
    /// When the client closed its connection.
    pub(crate) disconnected_at: Option<Instant>,
    /// The client has its response, or is owed none.
    pub(crate) is_response_settled: bool,
    /// Decode attempts that are running at replicas.
    pub(crate) decodes_in_flight: usize,
    /// A KV cache waits for a decode attempt.
    pub(crate) is_kv_reserved: bool,
    /// The replica that has it.
    pub(crate) kv_replica: usize,
    /// The last replica that streamed has aborted its stream.
    pub(crate) is_stream_aborted: bool,
    /// The replica stands still in the middle of its stream.
    pub(crate) is_stream_stalled: bool,
    /// It may have waited for its process in the accept queue.
    pub(crate) may_have_waited_in_accept_queue: bool,
    /// A fault has killed its process.
    pub(crate) was_process_killed: bool,
    /// A crowd fills the process's descriptors, or did when the request was sent.
    pub(crate) is_affected_by_flood: bool,
    /// When its process was last resumed after a pause.
    pub(crate) resumed_at: Option<Instant>,
    /// All that was observed, oldest first.
    pub(crate) timeline: Vec<Observation>,
    attempts_in_flight: usize,
    possible_decode_executions: usize, // decode attempts that arrived and may have run
    kv_idle_since: Option<Instant>,
}

impl RequestHistory {
    /// Appends to the time line.
    pub(crate) fn add_observation(&mut self, text: String) {
        let instant = Instant::now();
        self.timeline.push(Observation { instant, text });
    }

    /// Whether the request must not run twice and may have run once.
    pub(crate) fn is_unsafe_to_retry(&self) -> bool {
        self.is_non_idempotent && self.possible_decode_executions > 0
    }

    /// Counts an attempt that has arrived at a replica.
    pub(crate) fn start_attempt(&mut self, role: Role) {
        self.attempts_in_flight += 1;
        if role == Role::Decode {
            self.decodes_in_flight += 1;
            self.possible_decode_executions += 1;
        }
        self.update_kv_idle_clock();
    }

    /// Counts the end of an attempt.
    pub(crate) fn end_attempt(&mut self, role: Role) {
        self.attempts_in_flight = self.attempts_in_flight.saturating_sub(1);
        if role == Role::Decode {
            self.decodes_in_flight = self.decodes_in_flight.saturating_sub(1);
        }
        self.update_kv_idle_clock();
    }

    /// An attempt that has arrived provably never ran.
    pub(crate) fn record_never_ran(&mut self, role: Role) {
        if role == Role::Decode {
            self.possible_decode_executions = self.possible_decode_executions.saturating_sub(1);
        }
    }

    /// Starts or stops the clock of the reservation, which runs while no attempt is in flight.
    pub(crate) fn update_kv_idle_clock(&mut self) {
        if !self.is_kv_reserved || self.attempts_in_flight > 0 {
            self.kv_idle_since = None;
        } else if self.kv_idle_since.is_none() {
            self.kv_idle_since = Some(Instant::now());
        }
    }

    /// Restarts all clocks after the process was paused.
    pub(crate) fn adjust_for_pause(&mut self, pause: Duration) {
        if self.kv_idle_since.is_some() {
            self.kv_idle_since = Some(Instant::now());
        }
        self.deadline += pause;
        self.resumed_at = Some(Instant::now());
        if self.disconnected_at.is_some() {
            self.disconnected_at = Some(Instant::now());
        }
    }

    /// How long a KV cache has been reserved with no attempt in flight.
    pub(crate) fn kv_idle_time(&self, now: Instant) -> Duration {
        match self.kv_idle_since {
            Some(since) => now.duration_since(since),
            None => Duration::ZERO,
        }
    }

    /// What the client has left of its deadline; `None` before the request is known to be sent.
    pub(crate) fn time_left(&self, now: Instant) -> Option<Duration> {
        let sent_at = self.sent_at?;
        Some((sent_at + self.deadline).saturating_duration_since(now))
    }

    /// Whether a client that still waits should have its response, with this tolerance.
    pub(crate) fn is_overdue(&self, now: Instant, slack: Duration) -> bool {
        if self.is_response_settled || self.disconnected_at.is_some() {
            return false;
        }
        self.sent_at
            .is_some_and(|sent_at| now > sent_at + self.deadline + slack)
    }
}
