//! Hedging: the detection of overdue attempts, and their replacement.
//!
//! An overdue prefill is hedged at another endpoint. An overdue decode attempt is cancelled, so that its KV
//! cache goes to another endpoint. Where hedging is not allowed, only attempts whose response is presumed
//! lost are cancelled. The hedge budget bounds the number of these actions.

use super::selection::ScoredEndpoint;
use super::{Attempt, Request, Router, Stage};
use crate::routing::api::*;

/// Number of hedges and cancellations of overdue attempts that each arriving request adds to the budget.
pub(super) const HEDGE_BUDGET_PER_REQUEST: f64 = 0.10;
/// Maximum of the hedge budget.
pub(super) const MAX_HEDGE_BUDGET: f64 = 5.0;
/// Minimum delay after the predicted time, in spreads of the latency model, until an attempt is overdue.
const OVERDUE_SPREADS: f64 = 3.0;
/// Minimum multiple of the predicted time after which an attempt is overdue.
const OVERDUE_FACTOR: f64 = 1.5;
/// Divisor of the base ejection time that gives the delay until the next check of an overdue attempt. It
/// applies while hedging is not allowed and the response is not presumed lost.
const RECHECK_DIVISOR: Time = 5;

impl Router {
    /// Returns the instant at which an attempt is overdue, or [`Time::MAX`] if it has ended or can't be
    /// hedged.
    pub(super) fn overdue_at(&self, attempt: &Attempt) -> Time {
        if !attempt.is_in_flight || attempt.stage == Stage::Combined {
            return Time::MAX;
        }
        let predicted = attempt.target.predicted_seconds;
        let spread = self.models.for_pool(attempt.stage.pool()).spread;
        let limit = (predicted + OVERDUE_SPREADS * spread).max(predicted * OVERDUE_FACTOR);
        (attempt.sent_at + ((limit * 1e6) as Time).max(self.settings.tick))
            .max(attempt.next_overdue_check_at)
    }

    /// Acts on an overdue attempt if another endpoint is feasible and the hedge budget allows it. A prefill
    /// is hedged, and a decode attempt is cancelled. Where hedging is not allowed, either is cancelled, but
    /// only if its response is presumed lost. An attempt for which action was permitted is not considered
    /// again, even if none was taken.
    pub(super) fn hedge_overdue_attempt(&mut self, request: &mut Request, index: usize) {
        let attempt_count = request.attempts.len() as u32;
        let hedging_allowed = self.settings.hedging_allowed;
        let attempt = &mut request.attempts[index];
        let is_decode = attempt.stage == Stage::Decode;
        // A response is presumed lost once a later attempt at the same endpoint has succeeded.
        let is_response_lost = self
            .endpoints
            .get(&attempt.target.endpoint)
            .is_some_and(|endpoint| endpoint.last_answered_send > attempt.sent_at);
        let can_act = hedging_allowed || is_response_lost;
        attempt.next_overdue_check_at = if can_act {
            Time::MAX
        } else {
            self.now + self.base_ejection_time / RECHECK_DIVISOR
        };
        // One more attempt must be allowed after the replacement.
        let has_attempts_left = attempt_count + 2 <= self.settings.max_attempts;
        if !can_act || self.hedge_budget < 1.0 || !has_attempts_left {
            return;
        }
        let candidates = self.hedge_candidates(request, index);
        let Some(target) = self.select_weighted(candidates) else {
            return;
        };
        self.hedge_budget -= 1.0;
        if is_decode || !hedging_allowed {
            let id = request.metadata.id;
            let attempt = index as u32;
            self.emit(request, Action::CancelAttempt { id, attempt });
        } else {
            self.start_attempt(request, Stage::Prefill, target);
        }
    }

    /// Returns the feasible endpoints that could take over the work of an overdue attempt.
    fn hedge_candidates(&self, request: &mut Request, index: usize) -> Vec<ScoredEndpoint> {
        let overdue_endpoint = request.attempts[index].target.endpoint;
        let is_decode = request.attempts[index].stage == Stage::Decode;
        let kv_holder = request
            .kv_endpoint
            .and_then(|prefill| self.endpoints.get(&prefill));
        // An attempt that is cancelled first counts as ended while its alternatives are scored.
        request.attempts[index].is_in_flight = !is_decode && self.settings.hedging_allowed;
        let mut candidates = if is_decode {
            self.score_decode_endpoints(request, kv_holder)
        } else {
            self.score_prefill_endpoints(request)
        };
        request.attempts[index].is_in_flight = true;
        // A prefill outside the affinity endpoints would evict cached prefixes that other requests still
        // need.
        let is_any_endpoint_suitable = is_decode || request.affinity.len() < 2;
        candidates.retain(|candidate| {
            candidate.endpoint != overdue_endpoint
                && candidate.is_feasible()
                && (is_any_endpoint_suitable || request.affinity.contains_key(&candidate.endpoint))
        });
        candidates
    }
}
