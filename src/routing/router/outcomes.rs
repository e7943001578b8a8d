//! What is learned from a first token and from the end of an attempt, and what follows for the request.

use super::latency_model::{Inputs, PENDING_PROMPT};
use super::tracked_endpoint::subtract_load;
use super::{seconds, update_mean, Attempt, Request, Router, Stage};
use crate::routing::api::*;

/// Share of a prefill endpoint's KV memory that the recorded prefixes may fill.
const PREFIX_MEMORY_SHARE: f64 = 0.5;
/// Attempts that must be left for another decode attempt after one that may have consumed the KV cache: with
/// fewer, the prompt is prefilled again at once.
const MIN_ATTEMPTS_FOR_DECODE_RETRY: u32 = 3;

/// The end of an attempt, as the caller reported it.
pub(super) struct AttemptEnd {
    /// Which of the request's attempts, from 0.
    pub(super) index: usize,
    pub(super) status: AttemptStatus,
    pub(super) request_closed: bool,
    /// Prompt tokens found in the prefix cache.
    pub(super) cached_tokens: f64,
}

/// The endpoint was not reached, or refused the request as invalid: nothing ran and no time was spent there.
fn never_ran(status: AttemptStatus) -> bool {
    matches!(
        status,
        AttemptStatus::ConnectFailed | AttemptStatus::NotSent | AttemptStatus::InvalidRequest
    )
}

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

    /// A prefill is done or a first token was seen: corrects the endpoint's slowdown, and the shared model
    /// too unless the endpoint is warming up.
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
        health.ejections = 0;
        let elapsed = seconds(self.now.saturating_sub(attempt.sent_at));
        let pool = attempt.stage.pool();
        let model = self.models.of_mut(pool);
        let warm_share = endpoint.warm_share(&self.settings, self.now);
        let ratio = (elapsed * warm_share + model.spread)
            / (model.predict(inputs) + model.spread).max(1e-6);
        update_mean(&mut endpoint.slowdown, ratio.clamp(0.2, 10.0) - 1.0);
        let is_warm = warm_share >= 1.0;
        if is_warm {
            model.learn(inputs, elapsed);
        }
        let (serving_endpoints, is_any_warm) = self.candidates.serving_endpoints(pool);
        let flow = &mut self.flow[pool as usize];
        flow.finished_per_warm_endpoint += if is_warm || !is_any_warm {
            1.0 / serving_endpoints
        } else {
            0.0
        };
        flow.finished += 1.0;
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
            request.kv_idle_since = self.now; // runs on where no endpoint was reached
        }
        request.retry_at = self.now;
        request.probe_deadline = None;
        self.apply_outcome(request, end);
        // What may have run and must not run twice fails at once, so that the client learns of it without
        // delay.
        if self.may_have_run_unrepeatably(request) {
            self.finish_unserved(request, FailureReason::NotRepeatable);
        } else {
            self.place(request);
        }
    }

    /// A broken connection is one failure; that of a dead endpoint is followed by one that can't be opened.
    fn record_attempt_failure(&mut self, class: usize, attempt: &Attempt, status: AttemptStatus) {
        let endpoint = attempt.target.endpoint;
        match status {
            AttemptStatus::ConnectFailed => self.record_failure(endpoint, None, true),
            AttemptStatus::Error | AttemptStatus::Overloaded => {
                self.record_failure(endpoint, Some(class), false);
            }
            AttemptStatus::Reset => self.record_failure(endpoint, None, false),
            // Without having been overdue, it is the client's time that was short.
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
            // It may have consumed the KV cache.
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
        // The tokens that were really left to prefill: after a flush the prefix index is wrong, and the model
        // must not be.
        let mut inputs = attempt.target.inputs;
        inputs[PENDING_PROMPT] = (metadata.prompt_tokens - end.cached_tokens).max(0.0) / 1000.0;
        self.learn_latency(metadata, end.index, attempt, &inputs);
        self.record_cached_prefix(metadata, attempt, end.cached_tokens);
        request.may_have_reservation = true;
        if request.kv_endpoint.is_none() && !request.has_first_token {
            request.kv_endpoint = Some(endpoint);
            self.cancel_attempts(request, |attempt| attempt.stage == Stage::Prefill);
        } else if request.has_first_token {
            // A hedge; before the first token a release would take the KV cache that is being fetched.
            let id = request.metadata.id;
            self.emit(request, Action::ReleaseReservation { id });
        }
    }

    fn may_have_run_unrepeatably(&self, request: &Request) -> bool {
        let class = &self.settings.classes[request.metadata.class];
        class.idempotency == Idempotency::NonIdempotent
            && !request.has_first_token
            && request
                .attempts
                .iter()
                .any(|attempt| !attempt.is_in_flight && !attempt.had_no_effect)
    }

    /// Records what an endpoint has cached now, and corrects what affinity endpoints are presumed to have
    /// cached.
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
        if attempt.target.prefix_match > metadata.prefix_tokens / prompt_tokens {
            update_mean(
                &mut self.affinity_match[metadata.class],
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

    /// A response ended well: learns the time per token from its presumed length.
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
