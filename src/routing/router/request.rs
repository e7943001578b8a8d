//! The lifecycle of a request: the arrival, the attempts and the next check.
//!
//! `Router::requests` owns each [`Request`]. `Router::may_send` has the rules on starting an attempt, and
//! `Router::emit` the rules on all other actions of an accepted request.

use super::hedging::{HEDGE_BUDGET_PER_REQUEST, MAX_HEDGE_BUDGET};
use super::selection::ScoredEndpoint;
use super::tracked_endpoint::{LoadVector, TrackedEndpoint};
use super::{seconds, Router};
use crate::routing::api::*;
use crate::routing::candidate_index::PoolKind;
use std::collections::BTreeMap;

/// The work that an attempt does for its request.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Stage {
    /// Prefills the prompt and reserves the KV cache.
    #[default]
    Prefill,
    /// Takes over a KV cache and streams the response.
    Decode,
    /// Prefills and decodes at the same endpoint.
    Combined,
}

impl Stage {
    /// Returns the pool from which the stage's endpoint is selected. A combined attempt starts with a
    /// prefill, so it uses the prefill pool, its latency model and its counters.
    pub(super) fn pool(self) -> PoolKind {
        match self {
            Stage::Prefill | Stage::Combined => PoolKind::Prefill,
            Stage::Decode => PoolKind::Decode,
        }
    }
}

#[derive(Default)]
pub(super) struct Attempt {
    pub(super) target: ScoredEndpoint,
    pub(super) stage: Stage,
    pub(super) sent_at: Time,
    /// Load that the attempt adds to its endpoint while it is in flight.
    pub(super) load: LoadVector,
    pub(super) is_in_flight: bool,
    /// Whether the attempt has ended without effect. That holds for any prefill, and for an outcome that
    /// proves that the attempt never ran.
    pub(super) had_no_effect: bool,
    pub(super) first_token_at: Option<Time>,
    /// Earliest instant of the next check after the attempt was found overdue; 0 until then. [`Time::MAX`]:
    /// the attempt is not checked again.
    pub(super) next_overdue_check_at: Time,
}

#[derive(Default)]
pub(super) struct Request {
    pub(super) metadata: RequestMetadata,
    /// Latest instant for a final response, shortly before the client's deadline.
    pub(super) response_deadline: Time,
    /// TTFT objective of the class without its addition for the prompt, in seconds.
    pub(super) ttft_objective: f64,
    /// End of the TTFT objective, including its addition for the prompt; not after the `response_deadline`
    /// that was set on arrival.
    pub(super) first_token_deadline: Time,
    /// Priority weight of the class, reduced if the tenant's quota is exceeded.
    pub(super) priority_weight: f64,
    /// Affinity endpoints, with the prompt tokens that each is presumed to have cached.
    pub(super) affinity: BTreeMap<EndpointId, f64>,
    pub(super) attempts: Vec<Attempt>,
    /// Prefill endpoint that holds the request's KV cache.
    pub(super) kv_endpoint: Option<EndpointId>,
    /// End of the last attempt that reached an endpoint, 0 before. The time limit for the placement of a KV
    /// cache counts from here.
    pub(super) kv_idle_since: Time,
    /// Whether the client has its final response or has disconnected. Independent of `has_first_token`: a
    /// client can disconnect before or after the first token, and a late prefill is released differently in
    /// the two cases.
    pub(super) has_final_response: bool,
    pub(super) has_first_token: bool,
    /// Whether an endpoint may hold a reserved KV cache for the request.
    pub(super) may_have_reservation: bool,
    /// When responses to the probes of this placement are due; `None` before probing.
    pub(super) probe_deadline: Option<Time>,
    /// Instant of the request's entry in `Router::due_requests`.
    pub(super) due_at: Time,
    /// Earliest instant of the next placement without an attempt in flight.
    pub(super) retry_at: Time,
    /// How often the candidate query was widened; `u32::MAX` covers all endpoints.
    pub(super) widenings: u32,
}

impl Request {
    /// Returns whether an attempt of this stage was sent to an endpoint.
    pub(super) fn was_tried_at(&self, endpoint: &TrackedEndpoint, stage: Stage) -> bool {
        self.attempts.iter().any(|attempt| {
            attempt.target.endpoint == endpoint.record.endpoint && attempt.stage == stage
        })
    }

    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_in_flight)
    }

    /// Returns whether the request has neither a first token nor a final response.
    pub(super) fn is_open(&self) -> bool {
        !self.has_final_response && !self.has_first_token
    }

    /// Returns the pool of the request's next attempt.
    pub(super) fn next_pool(&self) -> PoolKind {
        if self.kv_endpoint.is_some() {
            PoolKind::Decode
        } else {
            PoolKind::Prefill
        }
    }
}

impl Router {
    pub(super) fn on_request_arrived(&mut self, metadata: RequestMetadata) {
        let id = metadata.id;
        let Some(class) = self.settings.classes.get(metadata.class) else {
            self.actions.push(Action::Fail {
                id,
                reason: FailureReason::UnknownClass,
            });
            return;
        };
        let ttft_objective = seconds(class.ttft_objective).max(1e-3);
        let class_weight = class.priority_weight;
        let prompt_objective =
            class.ttft_objective_per_1000_tokens as f64 * metadata.prompt_tokens / 1000.0;
        let first_token_deadline = self.now + class.ttft_objective + prompt_objective as Time;
        let weight_factor = if self.exceeds_quota(metadata.tenant) {
            self.settings.over_quota_weight
        } else {
            1.0
        };
        let response_deadline = self
            .now
            .saturating_add(metadata.time_left)
            .saturating_sub(2 * self.settings.tick);
        self.hedge_budget = (self.hedge_budget + HEDGE_BUDGET_PER_REQUEST).min(MAX_HEDGE_BUDGET);
        self.prefixes.on_arrival(&metadata);
        let request = Request {
            metadata,
            response_deadline: response_deadline.min(self.shutdown_deadline),
            ttft_objective,
            first_token_deadline: first_token_deadline
                .min(response_deadline)
                .min(self.shutdown_deadline),
            priority_weight: class_weight * weight_factor,
            ..Request::default()
        };
        self.requests.insert(id, request);
        self.with_request(id, Self::place);
    }

    /// Cancels the attempts in flight for which `should_cancel` holds.
    pub(super) fn cancel_attempts(
        &mut self,
        request: &mut Request,
        should_cancel: impl Fn(&Attempt) -> bool,
    ) {
        let id = request.metadata.id;
        for index in 0..request.attempts.len() {
            let attempt = &request.attempts[index];
            if attempt.is_in_flight && should_cancel(attempt) {
                let attempt = index as u32;
                self.emit(request, Action::CancelAttempt { id, attempt });
            }
        }
    }

    /// Returns whether the rules allow this router to start an attempt of this request at an endpoint now.
    /// `stage` is the stage of the new attempt. The rules cover deadlines, the attempt limit, hedging,
    /// draining, idempotency and slow start.
    pub(super) fn may_send(
        &self,
        request: &Request,
        endpoint: &TrackedEndpoint,
        stage: Stage,
    ) -> bool {
        let has_time = request.is_open() && self.now < request.response_deadline;
        let has_attempts_left = (request.attempts.len() as u32) < self.settings.max_attempts.max(1);
        let may_overlap = self.settings.hedging_allowed || !request.has_attempt_in_flight();
        let is_ready = endpoint.record.status == EndpointStatus::Ready;
        has_time
            && has_attempts_left
            && may_overlap
            && is_ready
            && self.idempotency_allows(request, endpoint, stage)
            && self.slow_start_allows(request, endpoint, stage)
    }

    /// Emits an action and returns true, unless a rule or the request's state forbids it. Every action on
    /// an accepted request passes through here, except for starts of attempts.
    pub(super) fn emit(&mut self, request: &mut Request, action: Action) -> bool {
        let is_allowed = match action {
            Action::CancelAttempt { .. } => self.settings.cancellation_allowed,
            // Shedding tells the client that a retry is safe.
            Action::Shed { .. } => request.is_open() && self.may_repeat(request, None),
            Action::Fail { .. } => request.is_open(),
            _ => true,
        };
        if is_allowed {
            request.has_final_response |=
                matches!(action, Action::Shed { .. } | Action::Fail { .. });
            self.actions.push(action);
        }
        is_allowed
    }

    /// Returns the instant of the request's next check, in microseconds, or [`Time::MAX`] if the request
    /// waits only for events.
    pub(super) fn next_check_at(&self, request: &Request) -> Time {
        if !request.is_open() {
            return Time::MAX;
        }
        let retry_at = if request.has_attempt_in_flight() {
            Time::MAX
        } else {
            request.retry_at
        };
        request
            .attempts
            .iter()
            .map(|attempt| self.overdue_at(attempt))
            .fold(request.response_deadline.min(retry_at), Time::min)
    }

    pub(super) fn check_due_request(&mut self, request: &mut Request) {
        if self.now >= request.response_deadline {
            self.shed_or_fail(request, FailureReason::DeadlineExceeded);
            return;
        }
        let overdue = request
            .attempts
            .iter()
            .position(|attempt| self.overdue_at(attempt) <= self.now);
        if let Some(index) = overdue {
            self.hedge_overdue_attempt(request, index);
        } else {
            self.place(request);
        }
    }
}
