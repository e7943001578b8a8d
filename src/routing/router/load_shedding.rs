//! Load shedding and idempotency: the decision to shed a request before its prefill, and the rules for a
//! repeat or for shedding after an attempt.
//!
//! Shedding tells the client that a retry is safe. A request is therefore shed only if none of its attempts
//! rules out a repeat; otherwise it fails.

use super::latency_model::{FORGETTING_FACTOR, MIN_SAMPLES, PENDING_PROMPT};
use super::selection::ScoredEndpoint;
use super::tracked_endpoint::TrackedEndpoint;
use super::{Attempt, Request, Router, Stage, MIN_SUCCESS_PROBABILITY};
use crate::routing::api::*;

/// Excess of the shortest wait over its baseline, as a share of the TTFT objective, above which requests
/// are shed.
const OVERLOAD_WAIT_SHARE: f64 = 0.1;
/// Minimum success probability, 0 to 1, of a request that is prefilled under overload, whatever its class.
const MIN_OVERLOAD_SUCCESS_PROBABILITY: f64 = 0.4;

impl Router {
    /// Returns whether to shed a request before its prefill: no endpoint is feasible, and the shortest wait
    /// exceeds its baseline. Sheds only requests whose priority weight is at most that of the lowest class,
    /// and those that are unlikely to meet their objective. While an endpoint is feasible, updates the
    /// router's baseline instead. `candidates` are the scored prefill endpoints. Never sheds a request that
    /// has had an attempt or has no candidates, nor any before the decode model has enough samples.
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
            self.baseline_wait += (1.0 - FORGETTING_FACTOR) * (wait - self.baseline_wait);
            return false;
        }
        let lowest_weight = self
            .settings
            .classes
            .iter()
            .filter(|class| class.is_active)
            .map(|class| class.priority_weight)
            .fold(f64::MAX, f64::min);
        wait > self.baseline_wait + OVERLOAD_WAIT_SHARE * request.ttft_objective
            && (request.priority_weight <= lowest_weight
                || success_probability < MIN_OVERLOAD_SUCCESS_PROBABILITY)
    }

    /// Takes a token from the tenant's bucket and returns whether none was left.
    pub(super) fn exceeds_quota(&mut self, tenant: Option<usize>) -> bool {
        let Some(tenant) = tenant else {
            return false;
        };
        match self.tenant_buckets.get_mut(tenant) {
            Some(bucket) => bucket.is_exceeded(self.now),
            None => false,
        }
    }

    /// Cancels the attempts of a request, then sheds it if a retry is safe, or else fails it. Emits no final
    /// response if the request already has one or has its first token.
    pub(super) fn shed_or_fail(&mut self, request: &mut Request, reason: FailureReason) {
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

    /// Returns whether idempotency allows an attempt. A prefill is allowed unless the class is
    /// non-idempotent; any other attempt must be a permitted repeat.
    pub(super) fn idempotency_allows(
        &self,
        request: &Request,
        endpoint: &TrackedEndpoint,
        stage: Stage,
    ) -> bool {
        let idempotency = self.settings.classes[request.metadata.class].idempotency;
        let is_safe = stage == Stage::Prefill && idempotency != Idempotency::NonIdempotent;
        is_safe || self.may_repeat(request, Some(&endpoint.record))
    }

    /// Returns whether the request may run again at `target` without harm, given all its attempts so far.
    /// `None`: at any endpoint, as when the client retries.
    pub(super) fn may_repeat(&self, request: &Request, target: Option<&EndpointRecord>) -> bool {
        let idempotency = self.settings.classes[request.metadata.class].idempotency;
        request.attempts.iter().all(|attempt| {
            attempt.had_no_effect || self.is_repeat_safe(idempotency, attempt, target)
        })
    }

    /// Returns whether a repeat at `target` is harmless although `attempt` may have run or may still run.
    fn is_repeat_safe(
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
