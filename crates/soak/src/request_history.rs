//! The history of one request, as its client and the replicas observed it.
//!
//! The [`Oracle`](crate::oracle::Oracle) owns one [`RequestHistory`] for each request id and changes it under its lock. An
//! entry may exist before the client has recorded that it sent the request, since a replica may be faster.

use quartzhall::routing::api::Role;
use std::time::{Duration, Instant};

/// One entry of a request's timeline.
pub(crate) struct Observation {
    /// When the observation was recorded.
    pub(crate) instant: Instant,
    /// The observation as it is printed for a violation.
    pub(crate) text: String,
}

/// The state of a request that the invariants depend on. The defaults stand for a request without observations.
#[derive(Default)]
pub(crate) struct RequestHistory {
    /// The number of the dispatcher that the request was sent to.
    pub(crate) process: usize,
    /// Whether the request must be executed at most once.
    pub(crate) is_non_idempotent: bool,
    /// When the client had sent the last byte; `None` if that is not recorded yet.
    pub(crate) sent_at: Option<Instant>,
    /// How long the client waits for its response from `sent_at` on; extended by pauses of the dispatcher.
    pub(crate) deadline: Duration,
    /// When the client disconnected before a response; moved to the end of a pause of the dispatcher.
    pub(crate) disconnected_at: Option<Instant>,
    /// Whether no response is expected any more: the client received one, its connection was closed, or the dispatcher
    /// process was killed.
    pub(crate) is_response_settled: bool,
    /// Decode attempts that have arrived at a replica and have not ended.
    pub(crate) decodes_in_flight: usize,
    /// Whether a prefill replica holds a KV cache for a decode attempt to consume.
    pub(crate) is_kv_reserved: bool,
    /// The prefill replica that last reserved a KV cache.
    pub(crate) kv_replica: usize,
    /// Whether the replica of the latest decode attempt aborted its stream.
    pub(crate) is_stream_aborted: bool,
    /// Whether the replica has stopped writing in the middle of its stream, because of a fault.
    pub(crate) is_stream_stalled: bool,
    /// Whether the request may have waited in the accept queue, because of a connection flood or a pause of the dispatcher.
    pub(crate) may_have_waited_in_accept_queue: bool,
    /// Whether the request was known when a fault killed its dispatcher process.
    pub(crate) was_process_killed: bool,
    /// Whether the request was sent so late in the shutdown of its process that the kill does not excuse it.
    pub(crate) is_late_in_shutdown: bool,
    /// Whether a flood of idle connections was active when the request was sent or while its response was outstanding.
    /// A flood uses up the dispatcher's descriptors.
    pub(crate) is_affected_by_flood: bool,
    /// When the dispatcher was last resumed from a pause.
    pub(crate) resumed_at: Option<Instant>,
    /// All observations, oldest first.
    pub(crate) timeline: Vec<Observation>,
    attempts_in_flight: usize,
    possible_decode_executions: usize, // decode attempts that arrived, less those proven never to have run
    kv_idle_since: Option<Instant>,
}

impl RequestHistory {
    /// Appends to the timeline, with the current time.
    pub(crate) fn add_observation(&mut self, text: String) {
        let instant = Instant::now();
        self.timeline.push(Observation { instant, text });
    }

    /// Returns whether the request must be executed at most once and may have been executed already.
    pub(crate) fn is_unsafe_to_retry(&self) -> bool {
        self.is_non_idempotent && self.possible_decode_executions > 0
    }

    /// Counts the arrival of an attempt at a replica.
    pub(crate) fn start_attempt(&mut self, role: Role) {
        self.attempts_in_flight += 1;
        if role == Role::Decode {
            self.decodes_in_flight += 1;
            self.possible_decode_executions += 1;
        }
        self.update_kv_idle_clock();
    }

    /// Counts the end of an attempt that had arrived.
    pub(crate) fn end_attempt(&mut self, role: Role) {
        self.attempts_in_flight = self.attempts_in_flight.saturating_sub(1);
        if role == Role::Decode {
            self.decodes_in_flight = self.decodes_in_flight.saturating_sub(1);
        }
        self.update_kv_idle_clock();
    }

    /// Takes back a possible execution: the replica states that the decode attempt never ran. Has no effect for prefill,
    /// whose executions are not counted because they may be repeated.
    pub(crate) fn record_never_ran(&mut self, role: Role) {
        if role == Role::Decode {
            self.possible_decode_executions = self.possible_decode_executions.saturating_sub(1);
        }
    }

    /// Starts or stops measuring how long a reserved KV cache is idle. Must be called after each change of the reservation
    /// or of the attempts in flight; the time restarts with each attempt.
    pub(crate) fn update_kv_idle_clock(&mut self) {
        if !self.is_kv_reserved || self.attempts_in_flight > 0 {
            self.kv_idle_since = None;
        } else if self.kv_idle_since.is_none() {
            self.kv_idle_since = Some(Instant::now());
        }
    }

    /// Excuses the time that the dispatcher was paused: extends the deadline, and restarts the times since the KV cache
    /// became idle and since the client disconnected.
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

    /// Returns how long a KV cache has been reserved with no attempt in flight; zero if none is.
    pub(crate) fn kv_idle_time(&self, now: Instant) -> Duration {
        match self.kv_idle_since {
            Some(since) => now.duration_since(since),
            None => Duration::ZERO,
        }
    }

    /// Returns the time left until the client's deadline; `None` before the sending of the request is recorded.
    pub(crate) fn time_left(&self, now: Instant) -> Option<Duration> {
        let sent_at = self.sent_at?;
        Some((sent_at + self.deadline).saturating_duration_since(now))
    }

    /// Returns whether a client is still waiting for its response although its deadline passed more than `slack` ago.
    pub(crate) fn is_overdue(&self, now: Instant, slack: Duration) -> bool {
        if self.is_response_settled || self.disconnected_at.is_some() {
            return false;
        }
        self.sent_at
            .is_some_and(|sent_at| now > sent_at + self.deadline + slack)
    }
}
