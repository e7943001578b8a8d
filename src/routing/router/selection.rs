//! The selection of an endpoint: which ones may be sent to, how each is scored, and the weighted random
//! selection.

use super::latency_model::{logistic, Inputs};
use super::tracked_endpoint::TrackedEndpoint;
use super::{seconds, Request, Router, Stage, MIN_SUCCESS_PROBABILITY};
use crate::routing::api::*;
use crate::routing::candidate_index::{CandidateQuery, PoolKind};
use rand::distributions::{Distribution, WeightedIndex};
use rand::Rng;

/// Share of selections that ignore the prefix-cache filter, or choose among endpoints that don't fit.
pub(super) const EXPLORATION_SHARE: f64 = 0.02;
/// The least spread of a prediction, as a share of its objective.
pub(super) const MIN_SPREAD_SHARE: f64 = 0.05;
/// Seconds in which a load report loses half of its weight against own counts.
const REPORT_HALF_LIFE_SECONDS: f64 = 1.5;
/// Weight of the fleet's mean load against own counts that see all of it.
const MEAN_LOAD_WEIGHT: f64 = 0.15;
/// Headroom, as a share of the objective, that makes a selection e times as likely.
const HEADROOM_SCALE: f64 = 0.15;
/// Cost, as a share of the priority weight, that makes a selection e times less likely.
const COST_SCALE: f64 = 0.007;

/// An endpoint that a request may be sent to, and what is expected of it there.
#[derive(Default)]
pub(super) struct ScoredEndpoint {
    pub(super) endpoint: EndpointId,
    pub(super) inputs: Inputs,
    /// Seconds to the end of the prefill, or to the first token of a decode attempt.
    pub(super) predicted_seconds: f64,
    /// Prompt tokens that it is presumed to have cached.
    pub(super) cached_tokens: f64,
    /// `cached_tokens` as a share of the prompt.
    pub(super) prefix_match: f64,
    /// Time that is left of the objective, as a share of it.
    pub(super) headroom: f64,
    /// Probability of a first token within the objective, 0 to 1.
    pub(super) success_probability: f64,
    /// As a share of the request's priority weight.
    pub(super) cost: f64,
}

impl ScoredEndpoint {
    /// Logarithm of its weight in a random selection.
    pub(super) fn log_weight(&self) -> f64 {
        self.headroom / HEADROOM_SCALE - self.cost / COST_SCALE
    }

    pub(super) fn fits(&self) -> bool {
        self.success_probability >= MIN_SUCCESS_PROBABILITY
    }
}

impl Router {
    /// Scores the endpoints for the request's next attempt.
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

    /// Scores an endpoint by the shared model, its slowdown, and what is overdue there. `later_seconds` is
    /// what follows before the first token.
    pub(super) fn score_endpoint(
        &self,
        request: &Request,
        endpoint: &TrackedEndpoint,
        pool: PoolKind,
        inputs: Inputs,
        later_seconds: f64,
    ) -> ScoredEndpoint {
        let model = self.models.of(pool);
        let base = model.predict(&inputs);
        let warm_share = endpoint.warm_share(&self.settings, self.now).max(0.05);
        let slowdown = (1.0 + endpoint.slowdown) / warm_share;
        let corrected = ((base + model.spread) * slowdown - model.spread).max(0.1 * base);
        let overdue = endpoint.overdue_seconds(self.now, 2.0 * model.spread);
        let time_left = seconds(request.first_token_deadline)
            - seconds(self.now)
            - later_seconds
            - corrected
            - overdue;
        // How long a stall will last is not known: a waiting KV cache goes elsewhere before it is hopeless.
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

    /// Estimates one value of an endpoint's load: the reported one, updated by own counts. As the report
    /// ages, the fleet's mean replaces it, with own counts added for as much as they cover: little for one
    /// dispatcher of hundreds.
    pub(super) fn estimate_load(&self, endpoint: &TrackedEndpoint, quantity: usize) -> f64 {
        let own = endpoint.own_load[quantity];
        let is_prefill = endpoint.record.role == Role::Prefill;
        let mean = self.mean_load[usize::from(is_prefill)][quantity];
        let guess = ((MEAN_LOAD_WEIGHT * mean + own)
            / (MEAN_LOAD_WEIGHT + 1.0 / self.dispatcher_count))
            .max(own);
        let (Some(reported), Some(reported_at)) =
            (endpoint.reported[quantity], endpoint.reported_at)
        else {
            return guess;
        };
        let age = seconds(self.now.saturating_sub(reported_at));
        let trust = 0.5f64.powf(age / REPORT_HALF_LIFE_SECONDS);
        let updated = reported + own - endpoint.own_load_at_report[quantity];
        (trust * updated + (1.0 - trust) * guess).max(own)
    }

    pub(super) fn candidate_query(&self, request: &Request) -> CandidateQuery {
        CandidateQuery {
            zone: self.settings.zone,
            seed: request.metadata.id ^ self.hash_salt,
            widenings: request.widenings,
        }
    }

    /// The best tier of the endpoints that may be sent this request now: healthy ones before ejected ones and
    /// those with a trial in flight, and among them those that were not tried before those that were.
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
                    let is_unhealthy = self.is_passed_over(request, endpoint);
                    let tier = (is_unhealthy, request.was_tried_at(endpoint, stage));
                    allowed.push((tier, endpoint));
                }
            }
        }
        let best_tier = allowed.iter().map(|(tier, _)| *tier).min();
        allowed.retain(|(tier, _)| Some(*tier) == best_tier);
        allowed.into_iter().map(|(_, endpoint)| endpoint).collect()
    }

    /// Whether an endpoint is ejected, has a trial after an ejection in flight, or leaves a probe unanswered.
    fn is_passed_over(&self, request: &Request, endpoint: &TrackedEndpoint) -> bool {
        let class = request.metadata.class;
        let health = endpoint.health(class);
        let has_trial_in_flight = health.ejections > 0
            && endpoint
                .pending
                .values()
                .any(|attempt| attempt.class == class);
        let is_silent = endpoint
            .probe_sent_at
            .is_some_and(|sent_at| sent_at + self.probe_wait(request) <= self.now);
        self.now < health.ejected_until || has_trial_in_flight || is_silent
    }

    /// Selects one of the fitting endpoints at random, weighted by headroom and cost. Most headroom is
    /// favoured: to favour the least piles work on the endpoint that is nearest to its limit until prefills
    /// queue.
    pub(super) fn select_weighted(
        &mut self,
        mut candidates: Vec<ScoredEndpoint>,
    ) -> Option<ScoredEndpoint> {
        let fitting = candidates
            .iter()
            .filter(|candidate| candidate.fits())
            .count();
        let selects_fitting = fitting > 0
            && (fitting == candidates.len() || self.rng.gen::<f64>() >= EXPLORATION_SHARE);
        candidates.retain(|candidate| candidate.fits() == selects_fitting);
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
