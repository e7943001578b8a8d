//! Load shedding: what is shed before its prefill under overload, and what may still be shed or repeated
//! after an attempt.

use super::latency_model::{FORGETTING_FACTOR, MIN_SAMPLES, PENDING_PROMPT};
use super::selection::ScoredEndpoint;
use super::tracked_endpoint::TrackedEndpoint;
use super::{Attempt, Request, Router, Stage, MIN_SUCCESS_PROBABILITY};
use crate::routing::api::*;

/// Load is above usual when the least wait exceeds the usual one by this share of the TTFT objective.
const OVERLOAD_WAIT_SHARE: f64 = 0.1;
/// In overload, no request with a lower success probability, 0 to 1, is worth its prefill.
const MIN_OVERLOAD_SUCCESS_PROBABILITY: f64 = 0.4;

impl Router {
    /// Whether to shed a request before its prefill: no endpoint fits and the load is above usual, by the
    /// fastest endpoint's time. The lowest priority weight is shed then, and all that is hopeless.
    pub(super) fn should_shed(&mut self, request: &Request, candidates: &[ScoredEndpoint]) -> bool {
        let has_decode_model = self.models.decode.samples >= MIN_SAMPLES;
        if !has_decode_model || !request.attempts.is_empty() || candidates.is_empty() {
            return false;
        }
        let success_probability = candidates
            .iter()
            .map(|candidate| candidate.success_probability)
            .fold(0.0, f64::max);
        let seconds_per_kilotoken = self.models.prefill.weights[PENDING_PROMPT].max(0.0);
        let wait = candidates
            .iter()
            .map(|candidate| {
                candidate.predicted_seconds
                    - seconds_per_kilotoken * candidate.inputs[PENDING_PROMPT]
            })
            .fold(f64::MAX, f64::min);
        if success_probability >= MIN_SUCCESS_PROBABILITY {
            self.usual_wait += (1.0 - FORGETTING_FACTOR) * (wait - self.usual_wait);
            return false;
        }
        let lowest_weight = self
            .settings
            .classes
            .iter()
            .filter(|class| class.is_active)
            .map(|class| class.priority_weight)
            .fold(f64::MAX, f64::min);
        wait > self.usual_wait + OVERLOAD_WAIT_SHARE * request.ttft_objective
            && (request.priority_weight <= lowest_weight
                || success_probability < MIN_OVERLOAD_SUCCESS_PROBABILITY)
    }

    /// Takes a token of a tenant's quota; whether none was left.
    pub(super) fn exceeds_quota(&mut self, tenant: Option<usize>) -> bool {
        let Some(tenant) = tenant else {
            return false;
        };
        match self.tenant_buckets.get_mut(tenant) {
            Some(bucket) => bucket.is_exceeded(self.now),
            None => false,
        }
    }

    /// Gives the final response, where none was given: the request is shed where that is true, else failed.
    pub(super) fn finish_unserved(&mut self, request: &mut Request, reason: FailureReason) {
        self.cancel_attempts(request, |_| true);
        let id = request.metadata.id;
        let shed = Action::Shed {
            id,
            retry_after: self.base_ejection_time.min(self.settings.max_retry_after),
            reason,
        };
        if !self.emit(request, shed) {
            self.emit(request, Action::Fail { id, reason });
        }
    }

    /// Whether idempotency allows an attempt: a prefill of all but non-idempotent requests, and else a
    /// repeat.
    pub(super) fn idempotency_allows(
        &self,
        request: &Request,
        endpoint: &TrackedEndpoint,
        stage: Stage,
    ) -> bool {
        let idempotency = self.settings.classes[request.metadata.class].idempotency;
        let is_harmless = stage == Stage::Prefill && idempotency != Idempotency::NonIdempotent;
        is_harmless || self.may_repeat(request, Some(&endpoint.record))
    }

    /// Whether the request may run once more at `target`, or anywhere where it is `None`, whatever has run by
    /// now.
    pub(super) fn may_repeat(&self, request: &Request, target: Option<&EndpointRecord>) -> bool {
        let idempotency = self.settings.classes[request.metadata.class].idempotency;
        request.attempts.iter().all(|attempt| {
            attempt.had_no_effect || self.is_repeat_harmless(idempotency, attempt, target)
        })
    }

    fn is_repeat_harmless(
        &self,
        idempotency: Idempotency,
        attempt: &Attempt,
        target: Option<&EndpointRecord>,
    ) -> bool {
        let (scope, window) = match idempotency {
            Idempotency::Idempotent => return true,
            Idempotency::NonIdempotent => return false,
            Idempotency::IdempotencyKey { scope, window } => (scope, window),
        };
        if self.now >= attempt.sent_at + window {
            return false;
        }
        if scope == DeduplicationScope::AllEndpoints {
            return true;
        }
        let previous = self.endpoints.get(&attempt.target.endpoint);
        let (Some(previous), Some(target)) = (previous, target) else {
            return false;
        };
        match scope {
            DeduplicationScope::AllEndpoints => true,
            DeduplicationScope::Zone => previous.record.zone == target.zone,
            DeduplicationScope::Cell => previous.record.cell == target.cell,
        }
    }
}
