//! Estimates of the speed of recorded endpoints, by role: tokens per second, and the latency that does not depend on the
//! number of tokens.
//!
//! Only time differences between records of one recording are used, so the clocks of dispatchers may differ. A recording does
//! not contain the load that other dispatchers put on an endpoint; its effect is part of the intervals. Prefill estimates use
//! only attempts that were sent while this dispatcher had no other attempt in flight at the endpoint. Decode endpoints nearly
//! always have some, so decode estimates hold for the recorded load.

use crate::estimate::{estimate, Estimate, Estimator, Sample};
use quartzhall_recording::{Record, RecordedRole, RecordedStatus};
use std::collections::{BTreeMap, HashMap};

/// The maximum number of attempts in flight, which bounds the memory. A recording with more lacks the ends of attempts: all
/// that are in flight are then counted as unended and forgotten.
const MAX_IN_FLIGHT: usize = 100_000;

/// Estimates for the endpoints of one role.
#[derive(Clone, Debug, PartialEq)]
pub struct RoleCalibration {
    /// The role of the endpoints that the estimates are for.
    pub role: RecordedRole,
    /// The number of recorded endpoints with this role.
    pub endpoints: usize,
    /// The number of attempts that ended at these endpoints.
    pub attempts: usize,
    /// The share of these attempts that neither succeeded nor were cancelled, from 0 to 1.
    pub failed_share: f64,
    /// For prefill, uncached prompt tokens per second; for decode, output tokens per second of one stream. For mixed endpoints,
    /// samples of both kinds are averaged.
    pub tokens_per_s: Estimate,
    /// For prefill, the seconds with no tokens to process; for decode, the seconds from sending to the first event under the
    /// recorded load. For mixed endpoints, samples of both kinds are averaged.
    pub latency_s: Estimate,
}

/// The estimates and counts from one recording.
#[derive(Clone, Debug, PartialEq)]
pub struct Calibration {
    /// The estimates for each role that has recorded endpoints.
    pub roles: Vec<RoleCalibration>,
    /// The number of requests that arrived.
    pub requests: usize,
    /// The number of records that the recorder dropped.
    pub dropped: u64,
    /// The number of attempts whose end is not recorded.
    pub unended: usize,
}

/// Observations of the endpoints of one role.
#[derive(Default)]
struct RoleObservations {
    attempts: usize,
    failed: usize,
    /// Durations of whole prefills, and times per output token.
    rate_samples: Vec<Sample>,
    /// Durations of whole prefills, and times to the first event.
    latency_samples: Vec<Sample>,
}

/// An attempt whose end has not been read yet. Times are as recorded, in microseconds.
struct Attempt {
    sent_at: u64,
    endpoint: u32,
    /// Whether this dispatcher had no other attempt in flight at the endpoint when this one was sent.
    was_alone: bool,
    first_event_at: Option<u64>,
}

/// The fields of [`Record::AttemptEnded`] that the observations need.
struct AttemptEnd {
    at: u64,
    status: RecordedStatus,
    cached_tokens: u32,
    completion_tokens: u32,
}

/// The state while records are read.
#[derive(Default)]
struct Observations {
    /// By endpoint.
    roles: HashMap<u32, RecordedRole>,
    /// By request, until its outcome.
    prompt_tokens: HashMap<u64, f64>,
    /// By request and attempt.
    in_flight: BTreeMap<(u64, u32), Attempt>,
    /// By endpoint.
    in_flight_at_endpoint: HashMap<u32, usize>,
    /// Indexed by `RecordedRole`.
    by_role: [RoleObservations; 3],
    requests: usize,
    dropped: u64,
    unended: usize,
}

/// Returns the seconds between two recorded times; 0 if `to_us` is before `from_us`.
fn seconds_between(from_us: u64, to_us: u64) -> f64 {
    to_us.saturating_sub(from_us) as f64 / 1e6
}

/// Returns whether an attempt counts in the failed share: it neither succeeded nor was cancelled. An attempt that was never
/// sent counts as failed.
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
            } => self.on_attempt_sent(at, (request, attempt), endpoint),
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
                self.on_attempt_ended(request, attempt, &end);
            }
            Record::RequestEnded { request, .. } => {
                self.prompt_tokens.remove(&request);
            }
            Record::Dropped { records } => self.dropped += records,
            Record::Start { .. } | Record::Name { .. } => {}
        }
    }

    fn on_attempt_sent(&mut self, at: u64, key: (u64, u32), endpoint: u32) {
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

    fn on_attempt_ended(&mut self, request: u64, attempt: u32, end: &AttemptEnd) {
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
        // The duration of a prefill grows with the uncached tokens, so a line is fitted to it. Decode is measured per stream,
        // as the time per token and the time to the first event.
        let (rate_estimator, latency_estimator) = if role == RecordedRole::Prefill {
            (Estimator::Slope, Estimator::Intercept)
        } else {
            (Estimator::Mean, Estimator::Mean)
        };
        RoleCalibration {
            role,
            endpoints: self.roles.values().filter(|other| **other == role).count(),
            attempts: observations.attempts,
            failed_share: observations.failed as f64 / observations.attempts.max(1) as f64,
            tokens_per_s: estimate(&observations.rate_samples, rate_estimator, seed).inverse(),
            latency_s: estimate(&observations.latency_samples, latency_estimator, seed),
        }
    }
}

impl RoleObservations {
    /// Adds the duration of a prefill, with its uncached tokens as the size.
    fn add_prefill(&mut self, attempt: &Attempt, end: &AttemptEnd, prompt_tokens: f64) {
        let sample = Sample {
            at_us: attempt.sent_at,
            size: (prompt_tokens - f64::from(end.cached_tokens)).max(0.0),
            seconds: seconds_between(attempt.sent_at, end.at),
        };
        self.rate_samples.push(sample);
        self.latency_samples.push(sample);
    }

    /// Adds the time to the first event, and the time per output token after it if the endpoint reported their number.
    fn add_decode(&mut self, attempt: &Attempt, end: &AttemptEnd, first_event_at: u64) {
        let sample = |seconds| Sample {
            at_us: attempt.sent_at,
            size: 0.0,
            seconds,
        };
        if end.completion_tokens > 0 {
            let stream_seconds = seconds_between(first_event_at, end.at);
            let per_token = stream_seconds / f64::from(end.completion_tokens);
            self.rate_samples.push(sample(per_token));
        }
        self.latency_samples
            .push(sample(seconds_between(attempt.sent_at, first_event_at)));
    }
}

/// Estimates the speed of the endpoints from the records of one recording. `seed` determines the resampling for the
/// intervals.
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
