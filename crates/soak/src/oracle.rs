//! The test oracle: the protocol's rules as invariants over what clients and replicas observe.
//!
//! The [`Oracle`] owns the history of every request. Each observation is recorded in the order in which it is made, with a
//! monotonic time stamp; a violated invariant is reported with the request's whole history.

mod processes;
mod streams;

use crate::config::{DRAIN_GRACE, KV_RELEASE_SLACK, KV_RESERVATION_TTL};
use crate::request_history::{Observation, RequestHistory};
use quartzhall::routing::api::Role;
use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Delay of the test bench itself, for which no dispatcher is blamed.
pub const BENCH_SLACK: Duration = Duration::from_millis(80);
/// A final response comes this long after the client's deadline at the latest.
const RESPONSE_SLACK: Duration = Duration::from_millis(500);
/// The time left that is announced to a replica may exceed what the client has left by this.
const ANNOUNCED_TIME_SLACK: Duration = Duration::from_millis(150);
/// An attempt may start this long after its client has disconnected.
const DISCONNECT_SLACK: Duration = Duration::from_millis(100);

/// The invariants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// A reserved KV cache is consumed or released in time.
    KvReservationReleased,
    /// Each request gets a final response in time.
    RespondedInTime,
    /// A connection is not closed without a response to a request that was received.
    NotClosedUnanswered,
    /// A request that must not run twice gets no second decode attempt, and is not shed, after an attempt that may have run.
    NotExecutedTwice,
    /// Nothing is sent to a replica that was reported as draining.
    NotSentToDraining,
    /// No attempt starts after the client has disconnected.
    NotSentAfterDisconnect,
    /// A replica is not announced more time than the client has left.
    TimeLeftNotExceeded,
    /// An aborted stream does not end as if it were complete.
    AbortedStreamIncomplete,
    /// A stream that its replica goes on with, and whose client stays, is whole at the client.
    StreamComplete,
    /// An event reaches its client soon after the replica has written it.
    EventDeliveredInTime,
    /// A process exits only when it is told to, and cleanly.
    ProcessRuns,
}

impl Invariant {
    /// The name in the soak's output. It is the name of the program variant that breaks the rule, where there is one.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::KvReservationReleased => "HeldState",
            Invariant::RespondedInTime => "FinalAnswer",
            Invariant::NotClosedUnanswered => "Unanswered",
            Invariant::NotExecutedTwice => "Duplicate",
            Invariant::NotSentToDraining => "Drain",
            Invariant::NotSentAfterDisconnect => "ClientGone",
            Invariant::TimeLeftNotExceeded => "ToldTime",
            Invariant::AbortedStreamIncomplete => "StreamEnd",
            Invariant::StreamComplete => "StreamCut",
            Invariant::EventDeliveredInTime => "LateEvent",
            Invariant::ProcessRuns => "Process",
        }
    }
}

/// A violated invariant.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// The request's id, or the process.
    pub id: String,
    /// What was observed of the request, oldest first, with seconds since the start of the run.
    pub timeline: Vec<String>,
}

/// How an attempt ended, as its replica saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Prefill finished, whether or not the response arrived.
    Prefilled,
    /// The replica rejected it, with proof that it never ran.
    NeverRan,
    /// Its stream was completed.
    Streamed,
    /// It ended in any other way.
    Other,
}

/// An attempt whose last byte was read by a running replica.
#[derive(Clone, Copy, Debug)]
pub struct AttemptArrival {
    /// The replica's number.
    pub replica: usize,
    /// The replica's role.
    pub role: Role,
    /// The bench had stalled the replica or the connection, so that the arrival says nothing about when the attempt was sent.
    pub is_delayed_by_bench: bool,
    /// The time left that the attempt announces, in milliseconds.
    pub time_left_ms: Option<u64>,
    /// How long ago the dispatcher was notified that the replica is draining.
    pub time_since_drain_notice: Option<Duration>,
}

/// Requests by the kind of their response.
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
    killed_at: HashMap<usize, Instant>,  // by process
    flooded: HashSet<usize>,             // processes
    paused: HashSet<usize>,              // processes
    resumed_at: HashMap<usize, Instant>, // by process
    max_event_delay: Duration,
    counts: ResponseCounts,
}

/// Records what clients and replicas observe in one run, and checks it against the invariants.
pub struct Oracle {
    started: Instant,
    state: Mutex<OracleState>,
}

impl OracleState {
    /// Reports a violation, once for each invariant and request.
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
    /// Creates an oracle that has observed nothing.
    pub fn new() -> Oracle {
        Oracle {
            started: Instant::now(),
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, OracleState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates a request's history, and reports the invariant that `update` finds violated.
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

    /// A client has sent the last byte of a request to a process; it waits for `deadline`.
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

    /// The client has closed its connection.
    pub fn on_client_disconnected(&self, id: &str) {
        self.update_request(id, |request| {
            request.disconnected_at = Some(Instant::now());
            request.add_observation("client disconnected".into());
            None
        });
    }

    /// The client has received the head of a response with this status.
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

    /// The client's connection ended before any response. `is_excused`: its process was killed.
    pub fn on_closed_without_response(&self, id: &str, is_excused: bool) {
        self.update_request(id, |request| {
            request.is_response_settled = true;
            let is_excused = is_excused || request.is_affected_by_flood;
            request.add_observation(format!("closed without response, excused: {is_excused}"));
            (!is_excused).then_some(Invariant::NotClosedUnanswered)
        });
    }

    /// A running replica has read the last byte of an attempt.
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
                "r{replica} received a {role:?} attempt, announced {time_left_ms:?} ms"
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

    /// A replica is about to report that an attempt never ran: from now on its dispatcher may know.
    pub fn on_attempt_rejected(&self, id: &str, replica: usize, role: Role) {
        self.update_request(id, |request| {
            request.add_observation(format!("r{replica} rejects it"));
            request.record_never_ran(role);
            None
        });
    }

    /// An attempt that had arrived has ended, by the replica's response or by the end of its connection.
    pub fn on_attempt_ended(&self, id: &str, replica: usize, role: Role, outcome: AttemptOutcome) {
        self.update_request(id, |request| {
            request.add_observation(format!("r{replica}: attempt ended, {outcome:?}"));
            request.end_attempt(role);
            None
        });
    }

    /// A prefill replica has finished a prompt: from now on its KV cache is reserved, also before any dispatcher is notified.
    pub fn on_kv_reserved(&self, id: &str, replica: usize) {
        self.update_request(id, |request| {
            request.is_kv_reserved = true;
            request.kv_replica = replica;
            request.add_observation(format!("r{replica}: KV cache reserved"));
            request.update_kv_idle_clock();
            None
        });
    }

    /// A decode replica consumes the reserved KV cache; false if there is none.
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

    /// Whether a KV cache is reserved for a decode attempt.
    pub fn is_kv_reserved(&self, id: &str) -> bool {
        let state = self.state();
        let request = state.requests.get(id);
        request.is_some_and(|request| request.is_kv_reserved)
    }

    /// A replica has crashed, and its KV caches are lost.
    pub fn on_replica_killed(&self, replica: usize) {
        for request in self.state().requests.values_mut() {
            if request.is_kv_reserved && request.kv_replica == replica {
                request.add_observation(format!("r{replica} crashed with the KV cache"));
                request.is_kv_reserved = false;
                request.update_kv_idle_clock();
            }
        }
    }

    /// A running replica has read a release: the KV cache is freed unless a decode attempt is in flight.
    pub fn on_release(&self, id: &str, replica: usize) {
        self.update_request(id, |request| {
            request.is_kv_reserved &= request.decodes_in_flight > 0;
            request.add_observation(format!("r{replica}: release received"));
            request.update_kv_idle_clock();
            None
        });
    }

    /// Checks what should have happened by now. Requests of `paused` processes are not checked.
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

    /// All violations so far.
    pub fn violations(&self) -> Vec<Violation> {
        self.state().violations.clone()
    }

    /// Requests by the kind of their response.
    pub fn counts(&self) -> ResponseCounts {
        self.state().counts
    }
}

impl Default for Oracle {
    fn default() -> Self {
        Oracle::new()
    }
}

/// The invariant that an attempt violates by arriving after it should no longer have been sent, or with too much time left.
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
        // A crowded-out request lies in the accept queue for a time of which its dispatcher knows nothing.
        let is_excused = request.is_affected_by_flood;
        if !is_excused
            && Duration::from_millis(announced_ms) > time_left + ANNOUNCED_TIME_SLACK + BENCH_SLACK
        {
            return Some(Invariant::TimeLeftNotExceeded);
        }
    }
    // A process that was paused reads the notification of the drain only after it resumes.
    if let Some(resumed_at) = request.resumed_at {
        if now.duration_since(resumed_at) < DRAIN_GRACE {
            return None;
        }
    }
    let time_since_drain_notice = arrival.time_since_drain_notice?;
    (time_since_drain_notice > DRAIN_GRACE + BENCH_SLACK).then_some(Invariant::NotSentToDraining)
}
