//! Outcomes of attempts: learning from a first token or from the end of an attempt, and the next step of the
//! request.
//!
//! The module updates the latency models, the health and slowdown of endpoints, and the prefix cache index.
//! The outcome of an attempt that has already ended is ignored.

use super::latency_model::{Inputs, PENDING_PROMPT};
use super::tracked_endpoint::subtract_load;
use super::{seconds, update_mean, Attempt, Request, Router, Stage};
use crate::routing::api::*;

/// Share of a prefill endpoint's KV memory that recorded prefixes may fill.
const PREFIX_MEMORY_SHARE: f64 = 0.5;
/// Number of attempts that must remain for another decode attempt after one that may have consumed the KV
/// cache. With fewer, the prompt is prefilled again at once.
const MIN_ATTEMPTS_FOR_DECODE_RETRY: u32 = 3;

/// The end of an attempt, as reported by the caller.
pub(super) struct AttemptEnd {
    /// Index among the request's attempts, from 0.
    pub(super) index: usize,
    pub(super) status: AttemptStatus,
    /// Whether the client has its final response, from this attempt or an earlier one.
    pub(super) request_closed: bool,
    /// Prompt tokens found in the prefix cache; 0: none or not reported.
    pub(super) cached_tokens: f64,
}

/// Returns whether the endpoint was not reached, or refused the request as invalid. Nothing ran then, and
/// the attempt took no time there.
fn never_ran(status: AttemptStatus) -> bool {
    matches!(
        status,
        AttemptStatus::ConnectFailed | AttemptStatus::NotSent | AttemptStatus::InvalidRequest
    )
}

/// Returns whether the status proves that the attempt had no effect, even if it reached an endpoint.
fn proves_no_effect(status: AttemptStatus) -> bool {
    never_ran(status)
        || matches!(
            status,
            AttemptStatus::Overloaded | AttemptStatus::KvStateMissing
        )
}

impl Router {
    pub(super) fn on_first_event(&mut self, request: &mut Request, index: usize) {
        let Some(attempt) = request.attempts.get_mut(index) else {
            return;
        };
        if !attempt.is_in_flight {
            return;
        }
        attempt.first_token_at = Some(self.now);
        self.learn_latency(&request.metadata, index, attempt, &attempt.target.inputs);
        request.has_first_token = true;
        request.kv_endpoint = None;
        request.may_have_reservation = false;
        self.cancel_attempts(request, |attempt| attempt.first_token_at.is_none());
    }

    /// Learns from an attempt that has just completed its prefill or received its first token. Updates the
    /// health and slowdown of its endpoint, and also the shared model unless the endpoint is warming up.
    /// `index` is that of the attempt in its request. `inputs` are the model inputs for the work that was
    /// actually done.
    fn learn_latency(
        &mut self,
        metadata: &RequestMetadata,
        index: usize,
        attempt: &Attempt,
        inputs: &Inputs,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&attempt.target.endpoint) else {
            return;
        };
        endpoint.pending.remove(&(metadata.id, index));
        endpoint.last_answered_send = endpoint.last_answered_send.max(attempt.sent_at);
        let health = endpoint.health_mut(metadata.class);
        update_mean(&mut health.failure_rate, 0.0);
        health.consecutive_ejections = 0;
        let elapsed = seconds(self.now.saturating_sub(attempt.sent_at));
        let pool = attempt.stage.pool();
        let model = self.models.for_pool_mut(pool);
        let capacity_share = endpoint.capacity_share(&self.settings, self.now);
        let ratio = (elapsed * capacity_share + model.spread)
            / (model.predict(inputs) + model.spread).max(1e-6);
        update_mean(&mut endpoint.slowdown, ratio.clamp(0.2, 10.0) - 1.0);
        let is_warm = capacity_share >= 1.0;
        if is_warm {
            model.learn(inputs, elapsed);
        }
        let (serving_endpoints, is_any_warm) = self.candidates.serving_endpoints(pool);
        let counters = &mut self.throughput[pool as usize];
        counters.finished_per_warm_endpoint += if is_warm || !is_any_warm {
            1.0 / serving_endpoints
        } else {
            0.0
        };
        counters.finished += 1.0;
    }

    pub(super) fn on_attempt_ended(&mut self, request: &mut Request, end: &AttemptEnd) {
        request.has_final_response |= end.request_closed;
        let Some(attempt) = request.attempts.get_mut(end.index) else {
            return;
        };
        if !attempt.is_in_flight {
            return;
        }
        attempt.is_in_flight = false;
        attempt.had_no_effect |= proves_no_effect(end.status) || attempt.stage == Stage::Prefill;
        if let Some(endpoint) = self.endpoints.get_mut(&attempt.target.endpoint) {
            endpoint.pending.remove(&(request.metadata.id, end.index));
            subtract_load(&mut endpoint.own_load, &attempt.load);
        }
        self.record_attempt_failure(request.metadata.class, attempt, end.status);
        if !never_ran(end.status) {
            request.kv_idle_since = self.now; // not reset if no endpoint was reached
        }
        request.retry_at = self.now;
        request.probe_deadline = None;
        self.apply_outcome(request, end);
        // A request that may have run and must not run twice fails at once, so that its client learns of it
        // without delay.
        if self.has_unrepeatable_attempt(request) {
            self.shed_or_fail(request, FailureReason::NotRepeatable);
        } else {
            self.place(request);
        }
    }

    /// Records the failure of an endpoint, if the status shows one. A broken connection counts as a single
    /// failure; if the endpoint is dead, the next connection fails to open, which ejects it.
    fn record_attempt_failure(&mut self, class: usize, attempt: &Attempt, status: AttemptStatus) {
        let endpoint = attempt.target.endpoint;
        match status {
            AttemptStatus::ConnectFailed => self.record_failure(endpoint, None, true),
            AttemptStatus::Error | AttemptStatus::Overloaded => {
                self.record_failure(endpoint, Some(class), false);
            }
            AttemptStatus::Reset => self.record_failure(endpoint, None, false),
            // If the attempt was never overdue, the client's deadline was too short; the endpoint is not at
            // fault.
            AttemptStatus::Timeout if attempt.next_overdue_check_at > 0 => {
                self.record_failure(endpoint, None, false);
            }
            _ => {}
        }
    }

    fn apply_outcome(&mut self, request: &mut Request, end: &AttemptEnd) {
        let attempt = &request.attempts[end.index];
        match end.status {
            AttemptStatus::PrefillDone => self.on_prefill_done(request, end),
            AttemptStatus::Served => {
                self.learn_from_response(&request.metadata, attempt, end.cached_tokens);
            }
            AttemptStatus::KvStateMissing => request.kv_endpoint = None,
            // The attempt may have consumed the KV cache.
            AttemptStatus::Error | AttemptStatus::Reset | AttemptStatus::StaleConnection
                if attempt.stage == Stage::Decode =>
            {
                let attempts_left = self
                    .settings
                    .max_attempts
                    .saturating_sub(request.attempts.len() as u32);
                if attempts_left < MIN_ATTEMPTS_FOR_DECODE_RETRY {
                    request.kv_endpoint = None;
                }
            }
            _ => {}
        }
    }

    fn on_prefill_done(&mut self, request: &mut Request, end: &AttemptEnd) {
        let metadata = &request.metadata;
        let attempt = &request.attempts[end.index];
        let endpoint = attempt.target.endpoint;
        // The model learns from the tokens that were actually left to prefill, because the prefix cache
        // index is wrong after a cache flush.
        let mut inputs = attempt.target.inputs;
        inputs[PENDING_PROMPT] = (metadata.prompt_tokens - end.cached_tokens).max(0.0) / 1000.0;
        self.learn_latency(metadata, end.index, attempt, &inputs);
        self.record_cached_prefix(metadata, attempt, end.cached_tokens);
        request.may_have_reservation = true;
        if request.kv_endpoint.is_none() && !request.has_first_token {
            request.kv_endpoint = Some(endpoint);
            self.cancel_attempts(request, |attempt| attempt.stage == Stage::Prefill);
        } else if request.has_first_token {
            // The prefill was a hedge. Before the first token, a release would also drop the KV cache that
            // is being fetched.
            let id = request.metadata.id;
            self.emit(request, Action::ReleaseReservation { id });
        }
    }

    /// Returns whether a non-idempotent request without a first token has an ended attempt that may have
    /// run.
    fn has_unrepeatable_attempt(&self, request: &Request) -> bool {
        let class = &self.settings.classes[request.metadata.class];
        class.idempotency == Idempotency::NonIdempotent
            && !request.has_first_token
            && request
                .attempts
                .iter()
                .any(|attempt| !attempt.is_in_flight && !attempt.had_no_effect)
    }

    /// Records the prefix that an endpoint now has cached, and corrects the share of a prompt that affinity
    /// endpoints are presumed to have cached.
    fn record_cached_prefix(
        &mut self,
        metadata: &RequestMetadata,
        attempt: &Attempt,
        cached_tokens: f64,
    ) {
        let Some(endpoint) = self.endpoints.get(&attempt.target.endpoint) else {
            return;
        };
        let prompt_tokens = metadata.prompt_tokens.max(1.0);
        if attempt.target.prefix_match_ratio > metadata.prefix_tokens / prompt_tokens {
            update_mean(
                &mut self.session_match_ratio[metadata.class],
                cached_tokens / prompt_tokens,
            );
        }
        self.prefixes.record_prefill(
            self.now,
            endpoint.record.endpoint,
            PREFIX_MEMORY_SHARE * endpoint.record.kv_capacity_tokens,
            metadata,
        );
    }

    /// Learns the time per token from a complete response and its expected length. Also records the cached
    /// prefix after a combined attempt.
    fn learn_from_response(
        &mut self,
        metadata: &RequestMetadata,
        attempt: &Attempt,
        cached_tokens: f64,
    ) {
        if attempt.stage == Stage::Combined {
            self.record_cached_prefix(metadata, attempt, cached_tokens);
        }
        let Some(first_token_at) = attempt.first_token_at else {
            return;
        };
        let elapsed = seconds(self.now.saturating_sub(first_token_at));
        let tokens = self.expected_output_tokens(metadata).max(1.0);
        self.models
            .inter_token
            .learn(&attempt.target.inputs, elapsed / tokens);
    }
}
