//! Selection of an endpoint: the available endpoints of a request, their scores and the weighted random
//! selection.
//!
//! `prefill` and `decode` extend the scoring that is shared here. An infeasible endpoint is selected only
//! for exploration or if no candidate is feasible.

use super::latency_model::{logistic, Inputs};
use super::tracked_endpoint::TrackedEndpoint;
use super::{seconds, Request, Router, Stage, MIN_SUCCESS_PROBABILITY};
use crate::routing::api::*;
use crate::routing::candidate_index::{CandidateQuery, PoolKind};
use rand::distributions::{Distribution, WeightedIndex};
use rand::Rng;

/// Share of selections that skip the prefix-cache filter, and share that select among infeasible endpoints.
pub(super) const EXPLORATION_SHARE: f64 = 0.02;
/// Minimum spread of a prediction, as a share of its objective.
pub(super) const MIN_SPREAD_SHARE: f64 = 0.05;
/// Half-life, in seconds, of a load report's weight.
const REPORT_HALF_LIFE_SECONDS: f64 = 1.5;
/// Weight of the fleet's mean load relative to own counts that cover the whole fleet's traffic.
const MEAN_LOAD_WEIGHT: f64 = 0.15;
/// Additional headroom, as a share of the objective, that multiplies the selection weight by e.
const HEADROOM_SCALE: f64 = 0.15;
/// Additional cost, as a share of the priority weight, that divides the selection weight by e.
const COST_SCALE: f64 = 0.007;

/// A candidate endpoint for an attempt, with its predictions.
#[derive(Default)]
pub(super) struct ScoredEndpoint {
    pub(super) endpoint: EndpointId,
    pub(super) inputs: Inputs,
    /// Predicted seconds to the end of a prefill, or to the first token of a decode attempt.
    pub(super) predicted_seconds: f64,
    /// Prompt tokens that the endpoint is presumed to have cached.
    pub(super) cached_tokens: f64,
    /// `cached_tokens` as a share of the prompt.
    pub(super) prefix_match_ratio: f64,
    /// Predicted time left until the objective, as a share of the objective.
    pub(super) headroom: f64,
    /// Probability, 0 to 1, of a first token within the objective.
    pub(super) success_probability: f64,
    /// Cost of the attempt, as a share of the request's priority weight.
    pub(super) cost: f64,
}

impl ScoredEndpoint {
    /// Returns the logarithm of the endpoint's weight in the random selection.
    pub(super) fn log_weight(&self) -> f64 {
        self.headroom / HEADROOM_SCALE - self.cost / COST_SCALE
    }

    pub(super) fn is_feasible(&self) -> bool {
        self.success_probability >= MIN_SUCCESS_PROBABILITY
    }
}

impl Router {
    /// Scores the candidates for the request's next attempt.
    pub(super) fn score_candidates(&self, request: &Request) -> Vec<ScoredEndpoint> {
        match request.kv_endpoint {
            Some(prefill) => self.score_decode_endpoints(request, self.endpoints.get(&prefill)),
            None => self.score_prefill_endpoints(request),
        }
    }

    pub(super) fn covers_all_endpoints(&self, request: &Request) -> bool {
        self.candidates
            .covers_all(request.next_pool(), &self.candidate_query(request))
    }

    /// Scores an endpoint by the shared model of `pool`, the endpoint's slowdown and its overdue attempts.
    /// `downstream_seconds` is the further time expected before the first token.
    pub(super) fn score_endpoint(
        &self,
        request: &Request,
        endpoint: &TrackedEndpoint,
        pool: PoolKind,
        inputs: Inputs,
        downstream_seconds: f64,
    ) -> ScoredEndpoint {
        let model = self.models.for_pool(pool);
        let base = model.predict(&inputs);
        let capacity_share = endpoint.capacity_share(&self.settings, self.now).max(0.05);
        let slowdown = (1.0 + endpoint.slowdown) / capacity_share;
        let corrected = ((base + model.spread) * slowdown - model.spread).max(0.1 * base);
        let overdue = endpoint.overdue_seconds(self.now, 2.0 * model.spread);
        let time_left = seconds(request.first_token_deadline)
            - seconds(self.now)
            - downstream_seconds
            - corrected
            - overdue;
        // The duration of a stall is unknown. A larger spread sends a waiting KV cache elsewhere while
        // another endpoint can still serve it in time.
        let stall_spread = if request.kv_endpoint.is_some() {
            overdue
        } else {
            0.0
        };
        let spread = model.spread.max(MIN_SPREAD_SHARE * request.ttft_objective) + stall_spread;
        let failure_rate = endpoint.health(request.metadata.class).failure_rate;
        ScoredEndpoint {
            endpoint: endpoint.record.endpoint,
            inputs,
            predicted_seconds: corrected + overdue,
            headroom: time_left / request.ttft_objective,
            success_probability: logistic(time_left / spread) * (1.0 - failure_rate),
            cost: if endpoint.record.zone == self.settings.zone {
                0.0
            } else {
                self.settings.cross_zone_cost
            },
            ..ScoredEndpoint::default()
        }
    }

    /// Estimates one dimension of an endpoint's load from its last report and own counts. `dimension` is an
    /// index of a `LoadVector` and gives the unit of the result. As the report ages, an estimate from the
    /// fleet's mean and own counts replaces it. Own counts weigh as much as the traffic that they cover:
    /// little for one dispatcher among hundreds. The estimate is never below this router's own load.
    pub(super) fn estimate_load(&self, endpoint: &TrackedEndpoint, dimension: usize) -> f64 {
        let own = endpoint.own_load[dimension];
        let is_prefill = endpoint.record.role == Role::Prefill;
        let mean = self.mean_load[usize::from(is_prefill)][dimension];
        let fallback_estimate = ((MEAN_LOAD_WEIGHT * mean + own)
            / (MEAN_LOAD_WEIGHT + 1.0 / self.dispatcher_count))
            .max(own);
        let (Some(reported), Some(reported_at)) =
            (endpoint.reported[dimension], endpoint.reported_at)
        else {
            return fallback_estimate;
        };
        let age = seconds(self.now.saturating_sub(reported_at));
        let report_weight = 0.5f64.powf(age / REPORT_HALF_LIFE_SECONDS);
        let extrapolated = reported + own - endpoint.own_load_at_report[dimension];
        (report_weight * extrapolated + (1.0 - report_weight) * fallback_estimate).max(own)
    }

    pub(super) fn candidate_query(&self, request: &Request) -> CandidateQuery {
        CandidateQuery {
            zone: self.settings.zone,
            seed: request.metadata.id ^ self.hash_salt,
            widenings: request.widenings,
        }
    }

    /// Returns the best tier of the endpoints that may be sent this request now. Healthy endpoints come
    /// before deprioritized ones, and within both, untried endpoints come before tried ones.
    pub(super) fn available_endpoints(
        &self,
        request: &Request,
        stage: Stage,
        ids: &[EndpointId],
    ) -> Vec<&TrackedEndpoint> {
        let mut allowed = Vec::with_capacity(ids.len());
        for id in ids {
            if let Some(endpoint) = self.endpoints.get(id) {
                if self.may_send(request, endpoint, stage) {
                    let is_unhealthy = self.is_deprioritized(request, endpoint);
                    let tier = (is_unhealthy, request.was_tried_at(endpoint, stage));
                    allowed.push((tier, endpoint));
                }
            }
        }
        let best_tier = allowed.iter().map(|(tier, _)| *tier).min();
        allowed.retain(|(tier, _)| Some(*tier) == best_tier);
        allowed.into_iter().map(|(_, endpoint)| endpoint).collect()
    }

    /// Returns whether an endpoint is ejected, has a trial after an ejection in flight, or has left a probe
    /// unanswered.
    fn is_deprioritized(&self, request: &Request, endpoint: &TrackedEndpoint) -> bool {
        let class = request.metadata.class;
        let health = endpoint.health(class);
        let has_trial_in_flight = health.consecutive_ejections > 0
            && endpoint
                .pending
                .values()
                .any(|attempt| attempt.class == class);
        let has_overdue_probe = endpoint
            .probe_sent_at
            .is_some_and(|sent_at| sent_at + self.probe_wait(request) <= self.now);
        self.now < health.ejected_until || has_trial_in_flight || has_overdue_probe
    }

    /// Selects a feasible endpoint at random, weighted by headroom and cost, or an infeasible one as the
    /// module's head says. Returns `None` if there are no candidates. Endpoints with more headroom are
    /// preferred: preferring less headroom concentrates work on the endpoint nearest to its limit until
    /// prefills queue.
    pub(super) fn select_weighted(
        &mut self,
        mut candidates: Vec<ScoredEndpoint>,
    ) -> Option<ScoredEndpoint> {
        let feasible_count = candidates
            .iter()
            .filter(|candidate| candidate.is_feasible())
            .count();
        let selects_feasible = feasible_count > 0
            && (feasible_count == candidates.len() || self.rng.gen::<f64>() >= EXPLORATION_SHARE);
        candidates.retain(|candidate| candidate.is_feasible() == selects_feasible);
        let max_weight = candidates
            .iter()
            .map(ScoredEndpoint::log_weight)
            .fold(f64::MIN, f64::max);
        let weights: Vec<f64> = candidates
            .iter()
            .map(|candidate| (candidate.log_weight() - max_weight).exp())
            .collect();
        let index = WeightedIndex::new(weights).ok()?.sample(&mut self.rng);
        candidates.into_iter().nth(index)
    }
}
