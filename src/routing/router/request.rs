//! The lifecycle of a request: its arrival, its attempts, its next check, and the rules on what is sent for
//! it. `Router::requests` owns each [`Request`].

use super::hedging::{HEDGE_BUDGET_PER_REQUEST, MAX_HEDGE_BUDGET};
use super::selection::ScoredEndpoint;
use super::tracked_endpoint::{LoadVector, TrackedEndpoint};
use super::{seconds, Router};
use crate::routing::api::*;
use crate::routing::candidate_index::PoolKind;
use std::collections::BTreeMap;

/// What an attempt does for its request.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Stage {
    /// Reads the prompt and reserves the KV cache.
    #[default]
    Prefill,
    /// Takes over a KV cache and streams the response.
    Decode,
    /// Both, at one endpoint.
    Combined,
}

impl Stage {
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
    /// The load that it adds at its endpoint while it is in flight.
    pub(super) load: LoadVector,
    pub(super) is_in_flight: bool,
    /// It ended without effect: a prefill has none, and some outcomes prove that it never ran.
    pub(super) had_no_effect: bool,
    pub(super) first_token_at: Option<Time>,
    /// After it was found overdue it is not checked before this; 0 until then.
    pub(super) next_overdue_check_at: Time,
}

#[derive(Default)]
pub(super) struct Request {
    pub(super) metadata: RequestMetadata,
    /// The last instant for a final response: a little before the client's deadline.
    pub(super) response_deadline: Time,
    /// The class's TTFT objective without its prompt share, in seconds.
    pub(super) ttft_objective: f64,
    pub(super) first_token_deadline: Time,
    pub(super) priority_weight: f64,
    /// Prefix-affinity endpoints, and how many prompt tokens each is presumed to have cached.
    pub(super) affinity: BTreeMap<EndpointId, f64>,
    pub(super) attempts: Vec<Attempt>,
    /// The prefill endpoint that holds the request's KV cache.
    pub(super) kv_endpoint: Option<EndpointId>,
    /// Since when no attempt that reached an endpoint was in flight.
    pub(super) kv_idle_since: Time,
    /// The client has its final response or has left. Independent of `has_first_token`: a client can leave
    /// before or after the first token, and a late prefill is released differently in the two cases.
    pub(super) has_final_response: bool,
    pub(super) has_first_token: bool,
    /// Some endpoint may hold a KV cache for it.
    pub(super) may_have_reservation: bool,
    /// Endpoints were probed for this placement; when their answers are due.
    pub(super) probe_deadline: Option<Time>,
    /// The instant of its entry in `Router::due_requests`.
    pub(super) due_at: Time,
    pub(super) retry_at: Time,
    /// How often its candidate query was widened.
    pub(super) widenings: u32,
}

impl Request {
    /// Whether an attempt of this stage was sent to an endpoint.
    pub(super) fn was_tried_at(&self, endpoint: &TrackedEndpoint, stage: Stage) -> bool {
        self.attempts.iter().any(|attempt| {
            attempt.target.endpoint == endpoint.record.endpoint && attempt.stage == stage
        })
    }

    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_in_flight)
    }

    /// Neither a first token nor a final response was given.
    pub(super) fn is_open(&self) -> bool {
        !self.has_final_response && !self.has_first_token
    }

    /// The pool that its next attempt goes to.
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

    /// Cancels the attempts in flight for which `is_useless` holds.
    pub(super) fn cancel_attempts(
        &mut self,
        request: &mut Request,
        is_useless: impl Fn(&Attempt) -> bool,
    ) {
        let id = request.metadata.id;
        for index in 0..request.attempts.len() {
            let attempt = &request.attempts[index];
            if attempt.is_in_flight && is_useless(attempt) {
                let attempt = index as u32;
                self.emit(request, Action::CancelAttempt { id, attempt });
            }
        }
    }

    /// Whether the rules allow an attempt of this request at an endpoint now.
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

    /// Every action of a request but starts passes here; false where a rule or the request's state forbids
    /// it.
    pub(super) fn emit(&mut self, request: &mut Request, action: Action) -> bool {
        let is_allowed = match action {
            Action::CancelAttempt { .. } => self.settings.cancellation_allowed,
            // Shedding tells the client that a retry is harmless.
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

    /// When the request is to be checked again, in microseconds; [`Time::MAX`]: not before an event.
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
            self.finish_unserved(request, FailureReason::DeadlineExceeded);
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
