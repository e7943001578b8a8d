//! The attempts of simulated requests: applies the routers' actions and reports how attempts end.

use super::replica::{MEAN_BACKGROUND_STREAMS, MEAN_BACKGROUND_WAIT, OUTPUT_SHARE};
use super::{ScheduledEvent, Simulation, Step, PROBE_RESPONSE_TIME};
use quartzhall::routing::api::{
    Action, AttemptStatus, EndpointId, Event, RequestId, RequestMetadata, Role, Time,
};
use rand::Rng;

/// One attempt of a request.
struct Attempt {
    endpoint: EndpointId,
    has_ended: bool,
    reserved_tokens: f64, // KV memory of a decode attempt; 0 for prefill
}

/// A request from its arrival on, with its attempts in the order of their start.
pub(super) struct SimulatedRequest {
    router: usize,
    metadata: RequestMetadata,
    first_token_due: Time,
    priority_weight: f64,
    attempts: Vec<Attempt>,
    has_first_token: bool,
    is_shed_or_failed: bool,
}

impl SimulatedRequest {
    /// Creates a request without attempts.
    pub(super) fn new(
        router: usize,
        metadata: RequestMetadata,
        first_token_due: Time,
        priority_weight: f64,
    ) -> SimulatedRequest {
        SimulatedRequest {
            router,
            metadata,
            first_token_due,
            priority_weight,
            attempts: Vec::new(),
            has_first_token: false,
            is_shed_or_failed: false,
        }
    }
}

/// The end of an attempt, and the step under which the router call is measured.
struct AttemptEnd {
    status: AttemptStatus,
    step: Step,
    cached_tokens: f64,
}

impl AttemptEnd {
    /// Creates an end other than that of a completed prefill.
    fn with_status(status: AttemptStatus) -> AttemptEnd {
        AttemptEnd {
            status,
            step: Step::AttemptEnd,
            cached_tokens: 0.0,
        }
    }
}

impl Simulation {
    /// Applies an action of a router.
    pub(super) fn apply_action(&mut self, router: usize, action: Action) {
        match action {
            Action::StartAttempt { id, endpoint, .. } => self.start_attempt(id, endpoint),
            Action::CancelAttempt { id, attempt } => {
                let end = AttemptEnd::with_status(AttemptStatus::Cancelled);
                self.end_attempt(id, attempt, end);
            }
            Action::Shed { id, .. } | Action::Fail { id, .. } => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.is_shed_or_failed = true;
                    self.result.shed_or_failed += 1;
                }
            }
            Action::SetTimer { at } => {
                let after = at.saturating_sub(self.now);
                self.schedule(after, ScheduledEvent::Timer { router });
            }
            Action::Probe { endpoint } => {
                self.schedule(
                    PROBE_RESPONSE_TIME,
                    ScheduledEvent::ProbeResponse { router, endpoint },
                );
            }
            Action::ReleaseReservation { .. } | Action::WatchEndpoints => {}
        }
    }

    fn start_attempt(&mut self, id: RequestId, endpoint: EndpointId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let attempt = request.attempts.len() as u32;
        let metadata = request.metadata.clone();
        let previous = request.attempts.last().map(|attempt| attempt.endpoint);
        request.attempts.push(Attempt {
            endpoint,
            has_ended: false,
            reserved_tokens: 0.0,
        });
        let replica = &self.replicas[endpoint as usize];
        let capacity = replica.capacity_share(self.now, &self.settings);
        if replica.record.role == Role::Prefill {
            self.start_prefill(attempt, endpoint, &metadata, capacity);
        } else {
            let source_cell = previous.map(|endpoint| self.replicas[endpoint as usize].record.cell);
            self.start_decode(attempt, endpoint, &metadata, capacity, source_cell);
        }
    }

    fn start_prefill(
        &mut self,
        attempt: u32,
        endpoint: EndpointId,
        request: &RequestMetadata,
        capacity: f64,
    ) {
        let background_wait = if self.options.has_background_load {
            (self.rng.gen_range(0.0..2.0) * MEAN_BACKGROUND_WAIT as f64) as Time
        } else {
            0
        };
        let timing = self.replicas[endpoint as usize].start_prefill(
            self.now,
            request,
            self.options.prefill_tokens_per_s,
            capacity,
            background_wait,
        );
        let prefill_done = ScheduledEvent::PrefillDone {
            id: request.id,
            attempt,
            cached_tokens: timing.cached_tokens as u64,
        };
        self.schedule(timing.ends_in, prefill_done);
    }

    fn start_decode(
        &mut self,
        attempt: u32,
        endpoint: EndpointId,
        request: &RequestMetadata,
        capacity: f64,
        source_cell: Option<u32>,
    ) {
        let id = request.id;
        let reserved_tokens = request.prompt_tokens + request.max_output_tokens * OUTPUT_SHARE;
        let replica = &mut self.replicas[endpoint as usize];
        let Ok(first_token_in) =
            replica.start_decode(request, reserved_tokens, capacity, source_cell)
        else {
            let end = AttemptEnd::with_status(AttemptStatus::Overloaded);
            return self.end_attempt(id, attempt, end);
        };
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts[attempt as usize].reserved_tokens = reserved_tokens;
        }
        self.schedule(first_token_in, ScheduledEvent::FirstToken { id, attempt });
    }

    /// Ends a prefill attempt and reports its cached tokens to the router.
    pub(super) fn on_prefill_done(&mut self, id: RequestId, attempt: u32, cached_tokens: f64) {
        let end = AttemptEnd {
            status: AttemptStatus::PrefillDone,
            step: Step::PrefillEnd,
            cached_tokens,
        };
        self.end_attempt(id, attempt, end);
    }

    /// Ends a decode attempt whose output is complete.
    pub(super) fn on_decode_done(&mut self, id: RequestId, attempt: u32) {
        let end = AttemptEnd::with_status(AttemptStatus::Served);
        self.end_attempt(id, attempt, end);
    }

    /// Counts the first token of a decode attempt, schedules the end of the stream and notifies the router.
    pub(super) fn on_first_token(&mut self, id: RequestId, attempt: u32) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let current = &request.attempts[attempt as usize];
        if request.is_shed_or_failed || request.has_first_token || current.has_ended {
            return;
        }
        request.has_first_token = true;
        if self.now <= request.first_token_due {
            self.served_weight += request.priority_weight;
            self.result.served_in_time += 1;
        }
        let router = request.router;
        let output_tokens = request.metadata.max_output_tokens * OUTPUT_SHARE;
        let background_streams = if self.options.has_background_load {
            MEAN_BACKGROUND_STREAMS
        } else {
            0.0
        };
        let replica = &self.replicas[current.endpoint as usize];
        let stream_time = replica.stream_time(output_tokens, background_streams);
        self.schedule(stream_time, ScheduledEvent::DecodeDone { id, attempt });
        self.notify(router, Step::FirstToken, Event::FirstEvent { id, attempt });
    }

    /// Ends an attempt and notifies its router; does nothing if the attempt has already ended.
    fn end_attempt(&mut self, id: RequestId, attempt: u32, end: AttemptEnd) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(ended) = request.attempts.get_mut(attempt as usize) else {
            return;
        };
        if ended.has_ended {
            return;
        }
        ended.has_ended = true;
        let endpoint = ended.endpoint;
        let reserved_tokens = ended.reserved_tokens;
        let router = request.router;
        let request_closed = end.status == AttemptStatus::Served || request.is_shed_or_failed;
        let is_finished = request_closed && request.attempts.iter().all(|other| other.has_ended);
        if end.status != AttemptStatus::Overloaded {
            self.replicas[endpoint as usize].end_attempt(reserved_tokens);
        }
        if is_finished {
            self.requests.remove(&id);
        }
        let attempt_ended = Event::AttemptEnded {
            id,
            attempt,
            endpoint,
            status: end.status,
            request_closed,
            cached_tokens: end.cached_tokens,
            load: Some(self.load_report(endpoint)),
        };
        self.notify(router, end.step, attempt_ended);
    }
}
