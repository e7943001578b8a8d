//! The test oracle: checks the protocol's rules, as invariants, against what clients and replicas observe.
//!
//! The [`Oracle`] owns the history of every request. Clients, replicas and fault injection call the oracle at the
//! moment of each event. It records the event with a monotonic timestamp and checks the invariants that the event may
//! violate. Invariants about events that should have happened by now are checked periodically by
//! [`Oracle::check_deadlines`]. A violation is reported with the request's timeline. Delays and failures that the test bench
//! itself causes are excused.

mod invariant;
mod processes;
mod streams;

pub use invariant::{Invariant, Violation};

use crate::config::{DRAIN_GRACE, KV_RELEASE_SLACK, KV_RESERVATION_TTL};
use crate::request_history::{Observation, RequestHistory};
use quartzhall::routing::api::Role;
use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Tolerance for delays of the test bench itself, added to each time limit.
pub const BENCH_SLACK: Duration = Duration::from_millis(80);
/// A response has to arrive within this time after the client's deadline.
const RESPONSE_SLACK: Duration = Duration::from_millis(500);
/// The time left that an attempt announces to a replica may exceed the client's time left by this tolerance.
const ANNOUNCED_TIME_SLACK: Duration = Duration::from_millis(150);
/// An attempt may still arrive within this time after its client has disconnected.
const DISCONNECT_SLACK: Duration = Duration::from_millis(100);

/// The outcome of an attempt at its replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Prefill succeeded, whether or not the response reached the dispatcher.
    Prefilled,
    /// The replica rejected it and stated that it never ran.
    NeverRan,
    /// The replica wrote its stream to the end.
    Streamed,
    /// An error response, or the connection ended first.
    Other,
}

/// The arrival of an attempt: a replica that is not stalled has read its last byte.
#[derive(Clone, Copy, Debug)]
pub struct AttemptArrival {
    /// The replica's number in the run, from 0.
    pub replica: usize,
    /// The replica's role.
    pub role: Role,
    /// Whether a fault had stalled the replica or the connection, so that the attempt may have been sent much earlier.
    pub is_delayed_by_bench: bool,
    /// The time left that the attempt announces, in milliseconds; `None` if it announces none.
    pub time_left_ms: Option<u64>,
    /// How long ago discovery told the dispatcher that the replica is draining; `None` if it is not.
    pub time_since_drain_notice: Option<Duration>,
}

/// Numbers of responses by status.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseCounts {
    /// Responses with status 200.
    pub served: usize,
    /// Responses with status 429 or 503.
    pub shed: usize,
    /// All other responses.
    pub failed: usize,
}

#[derive(Default)]
struct OracleState {
    requests: HashMap<String, RequestHistory>,
    violations: Vec<Violation>,
    killed_at: HashMap<usize, Instant>, // last kill, by process
    being_killed: HashSet<usize>,       // processes from their kill to the next start
    terminated_at: HashMap<usize, Instant>, // SIGTERM, by process that is shutting down
    flooded: HashSet<usize>,            // processes in a flood of idle connections
    paused: HashSet<usize>,             // processes that are stopped
    resumed_at: HashMap<usize, Instant>, // last resume from a pause, by process
    max_event_delay: Duration,
    counts: ResponseCounts,
}

/// Records what clients and replicas observe in one run and checks it against the invariants.
pub struct Oracle {
    started: Instant,
    state: Mutex<OracleState>,
}

impl OracleState {
    /// Reports a violation with the request's timeline so far, at most once for each invariant and request.
    fn report_violation(&mut self, started: Instant, invariant: Invariant, id: &str) {
        let is_reported = self
            .violations
            .iter()
            .any(|violation| violation.invariant == invariant && violation.id == id);
        if is_reported {
            return;
        }
        let mut timeline = Vec::new();
        if let Some(request) = self.requests.get(id) {
            for Observation { instant, text } in &request.timeline {
                let seconds = (*instant - started).as_secs_f64();
                timeline.push(format!("{seconds:.3} {text}"));
            }
        }
        self.violations.push(Violation {
            invariant,
            id: id.to_owned(),
            timeline,
        });
    }

    fn requests_of(&mut self, process: usize) -> impl Iterator<Item = &mut RequestHistory> {
        self.requests
            .values_mut()
            .filter(move |request| request.process == process)
    }
}

fn is_shed(status: u16) -> bool {
    status == 503 || status == 429
}

impl Oracle {
    /// Creates an oracle without observations. Timelines count from this moment.
    pub fn new() -> Oracle {
        Oracle {
            started: Instant::now(),
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, OracleState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies `update` to the history of a request and reports the invariant that it returns as violated.
    fn update_request(
        &self,
        id: &str,
        update: impl FnOnce(&mut RequestHistory) -> Option<Invariant>,
    ) {
        let mut state = self.state();
        let violated = update(state.requests.entry(id.to_owned()).or_default());
        if let Some(invariant) = violated {
            state.report_violation(self.started, invariant, id);
        }
    }

    /// Records that a client has sent the last byte of a request to a process, and waits for `deadline` from now on.
    pub fn on_request_sent(
        &self,
        id: &str,
        process: usize,
        is_non_idempotent: bool,
        deadline: Duration,
    ) {
        let is_flooded = self.state().flooded.contains(&process);
        let is_paused = self.state().paused.contains(&process);
        self.update_request(id, |request| {
            request.is_affected_by_flood = is_flooded;
            request.may_have_waited_in_accept_queue = is_flooded || is_paused;
            request.process = process;
            request.is_non_idempotent = is_non_idempotent;
            request.deadline = deadline;
            request.sent_at = Some(Instant::now());
            request.add_observation(format!(
                "sent to p{process}, non-idempotent: {is_non_idempotent}, deadline {deadline:?}"
            ));
            None
        });
    }

    /// Records that the client has disconnected before a response.
    pub fn on_client_disconnected(&self, id: &str) {
        self.update_request(id, |request| {
            request.disconnected_at = Some(Instant::now());
            request.add_observation("client disconnected".into());
            None
        });
    }

    /// Records that the client has received the head of a response.
    pub fn on_response(&self, id: &str, status: u16) {
        let is_shed = is_shed(status);
        self.update_request(id, |request| {
            request.is_response_settled = true;
            request.add_observation(format!("response {status}"));
            let is_violated = is_shed && request.is_unsafe_to_retry();
            is_violated.then_some(Invariant::NotExecutedTwice)
        });
        let counts = &mut self.state().counts;
        if status == 200 {
            counts.served += 1;
        } else if is_shed {
            counts.shed += 1;
        } else {
            counts.failed += 1;
        }
    }

    /// Records that the client's connection ended without response. `is_excused` states that the process was killed
    /// meanwhile; a connection flood is an excuse as well.
    pub fn on_closed_without_response(&self, id: &str, is_excused: bool) {
        self.update_request(id, |request| {
            request.is_response_settled = true;
            let is_excused =
                (is_excused && !request.is_late_in_shutdown) || request.is_affected_by_flood;
            request.add_observation(format!("closed without response, excused: {is_excused}"));
            (!is_excused).then_some(Invariant::NotClosedUnanswered)
        });
    }

    /// Records that a running replica has read the last byte of an attempt, and checks whether it should have been sent.
    pub fn on_attempt_arrived(&self, id: &str, arrival: AttemptArrival) {
        self.update_request(id, |request| {
            let now = Instant::now();
            let AttemptArrival {
                replica,
                role,
                time_left_ms,
                ..
            } = arrival;
            request.add_observation(format!(
                "r{replica} received a {role:?} attempt, announced time left: {time_left_ms:?} ms"
            ));
            let is_repeated = role == Role::Decode && request.is_unsafe_to_retry();
            request.start_attempt(role);
            if is_repeated {
                return Some(Invariant::NotExecutedTwice);
            }
            if arrival.is_delayed_by_bench {
                return None;
            }
            find_timing_violation(request, &arrival, now)
        });
    }

    /// Records that a replica rejects an attempt as never run. Must be called before the response is sent, since the
    /// dispatcher may retry as soon as it arrives.
    pub fn on_attempt_rejected(&self, id: &str, replica: usize, role: Role) {
        self.update_request(id, |request| {
            request.add_observation(format!("r{replica}: attempt rejected as never run"));
            request.record_never_ran(role);
            None
        });
    }

    /// Records that an attempt has ended, by the replica's response or by the end of its connection.
    pub fn on_attempt_ended(&self, id: &str, replica: usize, role: Role, outcome: AttemptOutcome) {
        self.update_request(id, |request| {
            request.add_observation(format!("r{replica}: attempt ended, {outcome:?}"));
            request.end_attempt(role);
            None
        });
    }

    /// Records that a prefill replica has processed a prompt. Its KV cache is reserved from now on, even if the response
    /// never reaches the dispatcher.
    pub fn on_kv_reserved(&self, id: &str, replica: usize) {
        self.update_request(id, |request| {
            request.is_kv_reserved = true;
            request.kv_replica = replica;
            request.add_observation(format!("r{replica}: KV cache reserved"));
            request.update_kv_idle_clock();
            None
        });
    }

    /// Records that a decode replica consumes the reserved KV cache; returns false if there is none.
    pub fn consume_kv(&self, id: &str, replica: usize) -> bool {
        let mut is_consumed = false;
        self.update_request(id, |request| {
            is_consumed = std::mem::take(&mut request.is_kv_reserved);
            request.is_stream_aborted = false;
            request.add_observation(format!("r{replica}: KV cache consumed: {is_consumed}"));
            request.update_kv_idle_clock();
            None
        });
        is_consumed
    }

    /// Returns whether a KV cache is reserved for this request.
    pub fn is_kv_reserved(&self, id: &str) -> bool {
        let state = self.state();
        let request = state.requests.get(id);
        request.is_some_and(|request| request.is_kv_reserved)
    }

    /// Records that a replica has crashed, which loses the KV caches that it holds.
    pub fn on_replica_killed(&self, replica: usize) {
        for request in self.state().requests.values_mut() {
            if request.is_kv_reserved && request.kv_replica == replica {
                request.add_observation(format!("r{replica} crashed, KV cache lost"));
                request.is_kv_reserved = false;
                request.update_kv_idle_clock();
            }
        }
    }

    /// Records that a running replica has read a release, which frees the KV cache unless a decode attempt is in flight. A
    /// release that another replica receives counts as well.
    pub fn on_release(&self, id: &str, replica: usize) {
        self.update_request(id, |request| {
            request.is_kv_reserved &= request.decodes_in_flight > 0;
            request.add_observation(format!("r{replica}: release received"));
            request.update_kv_idle_clock();
            None
        });
    }

    /// Reports KV caches that were not released and responses that did not arrive in time. Requests of `paused` processes
    /// are skipped.
    pub fn check_deadlines(&self, paused: &[usize]) {
        let mut state = self.state();
        let now = Instant::now();
        let mut violated = Vec::new();
        for (id, request) in &state.requests {
            if paused.contains(&request.process) {
                continue;
            }
            if request.kv_idle_time(now) > KV_RESERVATION_TTL + KV_RELEASE_SLACK + BENCH_SLACK {
                violated.push((Invariant::KvReservationReleased, id.clone()));
            }
            let is_overdue = request.is_overdue(now, RESPONSE_SLACK + BENCH_SLACK);
            if is_overdue && !request.is_affected_by_flood {
                violated.push((Invariant::RespondedInTime, id.clone()));
            }
        }
        for (invariant, id) in violated {
            state.report_violation(self.started, invariant, &id);
        }
    }

    /// Returns all violations so far, in the order in which they were found.
    pub fn violations(&self) -> Vec<Violation> {
        self.state().violations.clone()
    }

    /// Returns the numbers of responses so far.
    pub fn counts(&self) -> ResponseCounts {
        self.state().counts
    }
}

impl Default for Oracle {
    fn default() -> Self {
        Oracle::new()
    }
}

/// Returns the first time limit that an arrived attempt violates: it was sent too long after the client disconnected or the
/// replica started to drain, or it announces too much time left.
fn find_timing_violation(
    request: &RequestHistory,
    arrival: &AttemptArrival,
    now: Instant,
) -> Option<Invariant> {
    if let Some(disconnected_at) = request.disconnected_at {
        if now.duration_since(disconnected_at) > DISCONNECT_SLACK + BENCH_SLACK {
            return Some(Invariant::NotSentAfterDisconnect);
        }
    }
    if let (Some(announced_ms), Some(time_left)) = (arrival.time_left_ms, request.time_left(now)) {
        // In a connection flood the request waits in the accept queue, and the dispatcher does not know for how long.
        let is_excused = request.is_affected_by_flood;
        if !is_excused
            && Duration::from_millis(announced_ms) > time_left + ANNOUNCED_TIME_SLACK + BENCH_SLACK
        {
            return Some(Invariant::TimeLeftNotExceeded);
        }
    }
    // A process that was paused reads the list with the draining replica only after it has resumed.
    if let Some(resumed_at) = request.resumed_at {
        if now.duration_since(resumed_at) < DRAIN_GRACE {
            return None;
        }
    }
    let time_since_drain_notice = arrival.time_since_drain_notice?;
    (time_since_drain_notice > DRAIN_GRACE + BENCH_SLACK).then_some(Invariant::NotSentToDraining)
}
