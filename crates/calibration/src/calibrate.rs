//! The speed of recorded endpoints: how fast they prefill and decode, and how long requests wait. The module does no I/O.
//!
//! Only spans between two records of one dispatcher are used, so clocks of several dispatchers may differ. The load of other
//! dispatchers at an endpoint is not in the recording. Prefill estimates use only attempts that were sent while this
//! dispatcher had no other attempt in flight at the endpoint. Decode replicas always have some, so their estimates are those
//! under the recorded load. The intervals contain the effect of other dispatchers.

use crate::estimate::{estimate, Estimate, Estimator, Sample};
use quartzhall_recording::{Record, RecordedRole, RecordedStatus};
use std::collections::{BTreeMap, HashMap};

/// Attempts that may be in flight at once; in a recording with more, the ends of attempts are missing.
const MAX_IN_FLIGHT: usize = 100_000;

/// What is known of the endpoints of one role.
#[derive(Clone, Debug, PartialEq)]
pub struct RoleCalibration {
    /// The role.
    pub role: RecordedRole,
    /// Endpoints of this role.
    pub endpoints: usize,
    /// Attempts that ended.
    pub attempts: usize,
    /// The share of them that neither succeeded nor were cancelled.
    pub failed_share: f64,
    /// Tokens per second, of prefill or of decode.
    pub tokens_per_s: Estimate,
    /// Seconds before that: for prefill with no tokens to process, for decode up to the first token under the recorded load.
    pub wait_s: Estimate,
}

/// What is known from a recording.
#[derive(Clone, Debug, PartialEq)]
pub struct Calibration {
    /// By role.
    pub roles: Vec<RoleCalibration>,
    /// Requests that arrived.
    pub requests: usize,
    /// Records that the recorder dropped.
    pub dropped: u64,
    /// Attempts whose end is missing.
    pub unended: usize,
}

/// What was observed of one role.
#[derive(Default)]
struct RoleObservations {
    attempts: usize,
    failed: usize,
    rates: Vec<Sample>,
    waits: Vec<Sample>,
}

/// An attempt in flight.
struct Attempt {
    sent_at: u64,
    endpoint: u32,
    /// No other attempt was in flight at the endpoint when it was sent.
    was_alone: bool,
    first_event_at: Option<u64>,
}

/// The end of an attempt, as it is recorded.
struct AttemptEnd {
    at: u64,
    status: RecordedStatus,
    cached_tokens: u32,
    completion_tokens: u32,
}

/// What is collected over all records.
#[derive(Default)]
struct Observations {
    roles: HashMap<u32, RecordedRole>,          // by endpoint
    prompt_tokens: HashMap<u64, f64>,           // by request
    in_flight: BTreeMap<(u64, u32), Attempt>,   // by request and attempt
    in_flight_at_endpoint: HashMap<u32, usize>, // by endpoint
    by_role: [RoleObservations; 3],             // in the order of `RecordedRole`
    requests: usize,
    dropped: u64,
    unended: usize,
}

fn seconds(from_us: u64, to_us: u64) -> f64 {
    to_us.saturating_sub(from_us) as f64 / 1e6
}

fn is_failure(status: RecordedStatus) -> bool {
    !matches!(
        status,
        RecordedStatus::Served | RecordedStatus::PrefillDone | RecordedStatus::Cancelled
    )
}

impl Observations {
    fn add(&mut self, record: Record) {
        match record {
            Record::Endpoint { endpoint, role, .. } => {
                self.roles.insert(endpoint, role);
            }
            Record::Arrival {
                request,
                prompt_tokens,
                ..
            } => {
                self.requests += 1;
                self.prompt_tokens.insert(request, f64::from(prompt_tokens));
            }
            Record::AttemptSent {
                at,
                request,
                attempt,
                endpoint,
            } => self.on_sent(at, (request, attempt), endpoint),
            Record::FirstEvent {
                at,
                request,
                attempt,
            } => {
                if let Some(attempt) = self.in_flight.get_mut(&(request, attempt)) {
                    attempt.first_event_at = Some(at);
                }
            }
            Record::AttemptEnded {
                at,
                request,
                attempt,
                status,
                cached_tokens,
                completion_tokens,
            } => {
                let end = AttemptEnd {
                    at,
                    status,
                    cached_tokens,
                    completion_tokens,
                };
                self.on_ended(request, attempt, &end);
            }
            Record::RequestEnded { request, .. } => {
                self.prompt_tokens.remove(&request);
            }
            Record::Dropped { records } => self.dropped += records,
            Record::Start { .. } | Record::Name { .. } => {}
        }
    }

    fn on_sent(&mut self, at: u64, key: (u64, u32), endpoint: u32) {
        if self.in_flight.len() >= MAX_IN_FLIGHT {
            self.unended += self.in_flight.len();
            self.in_flight.clear();
            self.in_flight_at_endpoint.clear();
        }
        let at_endpoint = self.in_flight_at_endpoint.entry(endpoint).or_default();
        let was_alone = *at_endpoint == 0;
        *at_endpoint += 1;
        let attempt = Attempt {
            sent_at: at,
            endpoint,
            was_alone,
            first_event_at: None,
        };
        self.in_flight.insert(key, attempt);
    }

    fn on_ended(&mut self, request: u64, attempt: u32, end: &AttemptEnd) {
        let Some(attempt) = self.in_flight.remove(&(request, attempt)) else {
            return;
        };
        if let Some(count) = self.in_flight_at_endpoint.get_mut(&attempt.endpoint) {
            *count = count.saturating_sub(1);
        }
        let Some(role) = self.roles.get(&attempt.endpoint) else {
            return;
        };
        let observations = &mut self.by_role[*role as usize];
        observations.attempts += 1;
        observations.failed += usize::from(is_failure(end.status));
        match end.status {
            RecordedStatus::PrefillDone if attempt.was_alone => {
                if let Some(prompt_tokens) = self.prompt_tokens.get(&request) {
                    observations.add_prefill(&attempt, end, *prompt_tokens);
                }
            }
            RecordedStatus::Served => {
                if let Some(first_event_at) = attempt.first_event_at {
                    observations.add_decode(&attempt, end, first_event_at);
                }
            }
            _ => {}
        }
    }

    fn calibrate_role(&self, role: RecordedRole, seed: u64) -> RoleCalibration {
        let observations = &self.by_role[role as usize];
        // The time of a prefill grows with the uncached tokens; the rate of decode is observed stream by stream.
        let (rate_estimator, wait_estimator) = if role == RecordedRole::Prefill {
            (Estimator::Slope, Estimator::Intercept)
        } else {
            (Estimator::Mean, Estimator::Mean)
        };
        RoleCalibration {
            role,
            endpoints: self.roles.values().filter(|other| **other == role).count(),
            attempts: observations.attempts,
            failed_share: observations.failed as f64 / observations.attempts.max(1) as f64,
            tokens_per_s: estimate(&observations.rates, rate_estimator, seed).inverse(),
            wait_s: estimate(&observations.waits, wait_estimator, seed),
        }
    }
}

impl RoleObservations {
    /// Adds the time of a whole prefill against its uncached tokens.
    fn add_prefill(&mut self, attempt: &Attempt, end: &AttemptEnd, prompt_tokens: f64) {
        let sample = Sample {
            at_us: attempt.sent_at,
            size: (prompt_tokens - f64::from(end.cached_tokens)).max(0.0),
            seconds: seconds(attempt.sent_at, end.at),
        };
        self.rates.push(sample);
        self.waits.push(sample);
    }

    /// Adds the time to the first token, and the time per token after it.
    fn add_decode(&mut self, attempt: &Attempt, end: &AttemptEnd, first_event_at: u64) {
        let sample = |seconds| Sample {
            at_us: attempt.sent_at,
            size: 0.0,
            seconds,
        };
        if end.completion_tokens > 0 {
            let stream_seconds = seconds(first_event_at, end.at);
            let per_token = stream_seconds / f64::from(end.completion_tokens);
            self.rates.push(sample(per_token));
        }
        self.waits
            .push(sample(seconds(attempt.sent_at, first_event_at)));
    }
}

/// Estimates the speed of the endpoints from the records. The seed determines the resampling of the intervals.
pub fn calibrate(records: impl Iterator<Item = Record>, seed: u64) -> Calibration {
    let mut observations = Observations::default();
    for record in records {
        observations.add(record);
    }
    let mut roles = Vec::new();
    for role in [
        RecordedRole::Prefill,
        RecordedRole::Decode,
        RecordedRole::Mixed,
    ] {
        let calibration = observations.calibrate_role(role, seed);
        if calibration.endpoints > 0 {
            roles.push(calibration);
        }
    }
    Calibration {
        roles,
        requests: observations.requests,
        dropped: observations.dropped,
        unended: observations.unended + observations.in_flight.len(),
    }
}
