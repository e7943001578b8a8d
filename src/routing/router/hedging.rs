//! Hedging: when an attempt is overdue, and what is done about it within the hedge budget.

use super::selection::ScoredEndpoint;
use super::{Attempt, Request, Router, Stage};
use crate::routing::api::*;

/// Hedges and moves that each request adds to the budget.
pub(super) const HEDGE_BUDGET_PER_REQUEST: f64 = 0.10;
/// The most hedges and moves that are saved up.
pub(super) const MAX_HEDGE_BUDGET: f64 = 5.0;
/// An attempt is overdue this many spreads of its model after the prediction ...
const OVERDUE_SPREADS: f64 = 3.0;
/// ... and after this multiple of the prediction.
const OVERDUE_FACTOR: f64 = 1.5;
/// Where an overdue attempt can't be helped yet it is checked again after this fraction of the base ejection
/// time.
const RECHECK_DIVISOR: Time = 5;

impl Router {
    /// When an attempt is overdue; [`Time::MAX`] for one that has ended or can't be hedged.
    pub(super) fn overdue_at(&self, attempt: &Attempt) -> Time {
        if !attempt.is_in_flight || attempt.stage == Stage::Combined {
            return Time::MAX;
        }
        let predicted = attempt.target.predicted_seconds;
        let spread = self.models.of(attempt.stage.pool()).spread;
        let limit = (predicted + OVERDUE_SPREADS * spread).max(predicted * OVERDUE_FACTOR);
        (attempt.sent_at + ((limit * 1e6) as Time).max(self.settings.tick))
            .max(attempt.next_overdue_check_at)
    }

    /// An attempt is overdue: where another endpoint fits and the budget allows it, a prefill is hedged, and
    /// a decode attempt is cancelled so that the waiting KV cache goes to another endpoint.
    pub(super) fn hedge_overdue_attempt(&mut self, request: &mut Request, index: usize) {
        let attempt_count = request.attempts.len() as u32;
        let hedging_allowed = self.settings.hedging_allowed;
        let attempt = &mut request.attempts[index];
        let is_decode = attempt.stage == Stage::Decode;
        // Where no hedge is allowed, an attempt is given up once later ones at its endpoint are over: its
        // response is lost.
        let is_lost = self
            .endpoints
            .get(&attempt.target.endpoint)
            .is_some_and(|endpoint| endpoint.last_answered_send > attempt.sent_at);
        let can_act = hedging_allowed || is_lost;
        attempt.next_overdue_check_at = if can_act {
            Time::MAX
        } else {
            self.now + self.base_ejection_time / RECHECK_DIVISOR
        };
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

    /// The fitting endpoints to which an overdue attempt's work could go instead.
    fn hedge_candidates(&self, request: &mut Request, index: usize) -> Vec<ScoredEndpoint> {
        let overdue_endpoint = request.attempts[index].target.endpoint;
        let is_decode = request.attempts[index].stage == Stage::Decode;
        let kv_holder = request
            .kv_endpoint
            .and_then(|prefill| self.endpoints.get(&prefill));
        // Scored as if the attempt had ended, which it does first where no hedge is allowed.
        request.attempts[index].is_in_flight = !is_decode && self.settings.hedging_allowed;
        let mut candidates = if is_decode {
            self.score_decode_endpoints(request, kv_holder)
        } else {
            self.score_prefill_endpoints(request)
        };
        request.attempts[index].is_in_flight = true;
        // A prefill away from the affinity endpoints evicts prefixes that other requests come back for.
        let is_any_endpoint_suitable = is_decode || request.affinity.len() < 2;
        candidates.retain(|candidate| {
            candidate.endpoint != overdue_endpoint
                && candidate.fits()
                && (is_any_endpoint_suitable || request.affinity.contains_key(&candidate.endpoint))
        });
        candidates
    }
}
