//! Scoring of prefill endpoints: their availability, the share of the prompt that is presumed to be cached
//! there, and the forecast of the decode attempt.
//!
//! The prefix-cache filter keeps requests at endpoints that have their prompt cached. It draws one random
//! number for each call, whatever it decides.

use super::decode::KvTransfer;
use super::latency_model::{Inputs, MIN_SAMPLES};
use super::selection::{ScoredEndpoint, EXPLORATION_SHARE};
use super::tracked_endpoint::{TrackedEndpoint, MEMORY_SHARE, PENDING_KILOTOKENS, REQUESTS};
use super::{Request, Router, Stage, HIGH_SUCCESS_PROBABILITY, MIN_SUCCESS_PROBABILITY};
use crate::routing::api::*;
use crate::routing::candidate_index::PoolKind;
use rand::Rng;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// Prefix match ratio above which an endpoint counts as having the prompt cached.
const CACHED_PROMPT_MATCH_RATIO: f64 = 0.80;
/// Minimum best ratio of the candidates for a relative threshold. If the best ratio is between this and
/// [`CACHED_PROMPT_MATCH_RATIO`], that threshold is multiplied by the best ratio.
const MIN_PREFIX_MATCH_RATIO: f64 = 0.1;
/// Maximum additional predicted time at the fastest endpoint that the prefix-cache filter keeps, as a share
/// of the TTFT objective. Above it the filter may be skipped.
const MAX_CACHED_DELAY_SHARE: f64 = 0.25;
/// Margin for the combined prediction errors of the models, as a share of the TTFT objective.
const PREDICTION_MARGIN_SHARE: f64 = 0.15;
/// Share of a prompt that a session's affinity endpoint is initially presumed to have cached.
pub(super) const INITIAL_SESSION_MATCH_RATIO: f64 = 0.85;

/// The forecast for the decode attempt after a prefill.
#[derive(Clone, Copy)]
struct DecodeForecast {
    /// Predicted time to the first token.
    seconds: f64,
    success_probability: f64,
}

/// The forecast for a decode endpoint, with its index in a list of available endpoints.
#[derive(Clone, Copy)]
struct RankedDecode {
    index: usize,
    forecast: DecodeForecast,
}

impl RankedDecode {
    /// Compares by success probability, then by index. The better endpoint is greater.
    fn compare(&self, other: &RankedDecode) -> Ordering {
        self.forecast
            .success_probability
            .total_cmp(&other.forecast.success_probability)
            .then(self.index.cmp(&other.index))
    }
}

fn is_prefill_endpoint(endpoint: &TrackedEndpoint) -> bool {
    endpoint.record.role == Role::Prefill
}

fn by_predicted_seconds(a: &&ScoredEndpoint, b: &&ScoredEndpoint) -> Ordering {
    a.predicted_seconds.total_cmp(&b.predicted_seconds)
}

impl Router {
    /// Applies the prefix-cache filter, which keeps only the endpoints that have the prompt cached. It is
    /// skipped for an exploration share of the selections, and where a much faster endpoint is likely to
    /// succeed. Under overload no endpoint is likely to succeed, so the filter applies: a prefill elsewhere
    /// would add to the load.
    pub(super) fn prefer_cached_prefix(
        &mut self,
        mut candidates: Vec<ScoredEndpoint>,
        request: &Request,
    ) -> Vec<ScoredEndpoint> {
        let best_match_ratio = candidates
            .iter()
            .map(|candidate| candidate.prefix_match_ratio)
            .fold(0.0, f64::max);
        // After a cache flush no endpoint has enough of a prompt cached. If all counted as equal, each of
        // them would prefill the prompt again.
        let threshold_factor =
            if (MIN_PREFIX_MATCH_RATIO..CACHED_PROMPT_MATCH_RATIO).contains(&best_match_ratio) {
                best_match_ratio
            } else {
                1.0
            };
        let min_match_ratio = CACHED_PROMPT_MATCH_RATIO * threshold_factor;
        let fastest_cached = candidates
            .iter()
            .filter(|candidate| candidate.prefix_match_ratio > min_match_ratio)
            .min_by(by_predicted_seconds);
        let fastest = candidates.iter().min_by(by_predicted_seconds);
        let max_delay = MAX_CACHED_DELAY_SHARE * request.ttft_objective;
        let should_filter = match (fastest_cached, fastest) {
            (Some(cached), Some(fastest)) => {
                cached.predicted_seconds <= fastest.predicted_seconds + max_delay
                    || fastest.success_probability < HIGH_SUCCESS_PROBABILITY
            }
            _ => false,
        };
        // Drawn in any case: the sequence of random draws must not depend on the filter.
        let explores = self.rng.gen::<f64>() < EXPLORATION_SHARE;
        if should_filter && !explores {
            candidates.retain(|candidate| candidate.prefix_match_ratio > min_match_ratio);
        }
        candidates
    }

    pub(super) fn score_prefill_endpoints(&self, request: &Request) -> Vec<ScoredEndpoint> {
        let query = self.candidate_query(request);
        let mut preferred = self.prefixes.holders(&request.metadata, query.seed);
        preferred.extend(request.affinity.keys());
        let ids = self.candidates.prefill_candidates(&query, preferred);
        let available = self.available_endpoints(request, Stage::Prefill, &ids);
        let cells = available
            .iter()
            .filter(|endpoint| is_prefill_endpoint(endpoint))
            .map(|endpoint| endpoint.record.cell)
            .collect();
        let forecasts = self.forecast_decode(request, &cells);
        let mut candidates = Vec::with_capacity(available.len());
        for endpoint in available {
            // A mixed endpoint needs no separate decode attempt.
            let mut forecast = DecodeForecast {
                seconds: 0.0,
                success_probability: 1.0,
            };
            if is_prefill_endpoint(endpoint) {
                if let Some(cell_forecast) = forecasts.get(&endpoint.record.cell) {
                    forecast = *cell_forecast;
                }
            }
            candidates.push(self.score_prefill_endpoint(request, endpoint, forecast));
        }
        candidates
    }

    /// Forecasts the best decode attempt after a prefill in each of `cells`.
    fn forecast_decode(
        &self,
        request: &Request,
        cells: &BTreeSet<u32>,
    ) -> BTreeMap<u32, DecodeForecast> {
        let endpoints = self.available_decode_endpoints(request, cells);
        let rank = |index: usize, transfer| {
            let scored = self.score_decode_endpoint(request, endpoints[index], transfer);
            RankedDecode {
                index,
                forecast: DecodeForecast {
                    seconds: scored.predicted_seconds,
                    success_probability: scored.success_probability,
                },
            }
        };
        let mut across: Vec<RankedDecode> = (0..endpoints.len())
            .map(|index| rank(index, KvTransfer::AcrossCells))
            .collect();
        across.sort_by(|a, b| b.compare(a));
        let mut by_cell: BTreeMap<u32, Vec<usize>> = BTreeMap::new();
        for (index, endpoint) in endpoints.iter().enumerate() {
            by_cell.entry(endpoint.record.cell).or_default().push(index);
        }
        let mut forecasts = BTreeMap::new();
        for cell in cells {
            let best_across = across
                .iter()
                .find(|ranked| endpoints[ranked.index].record.cell != *cell)
                .copied();
            let best = by_cell
                .get(cell)
                .into_iter()
                .flatten()
                .map(|index| rank(*index, KvTransfer::WithinCell))
                .chain(best_across)
                .max_by(RankedDecode::compare);
            // Without an available decode endpoint, the prefill is scored on its own.
            let forecast = best.map_or(
                DecodeForecast {
                    seconds: 0.0,
                    success_probability: MIN_SUCCESS_PROBABILITY,
                },
                |best| best.forecast,
            );
            forecasts.insert(*cell, forecast);
        }
        forecasts
    }

    /// Returns the affinity endpoints of the request's prefix and session, with the prompt tokens that each
    /// is presumed to have cached. The tokens are presumed even without a record in the prefix cache index.
    pub(super) fn affinity_endpoints(&self, request: &Request) -> BTreeMap<EndpointId, f64> {
        let metadata = &request.metadata;
        let traffic_share = self.prefixes.traffic_share(metadata);
        let capacity_share = |id| {
            self.endpoints.get(&id).map_or(0.0, |endpoint| {
                endpoint.capacity_share(&self.settings, self.now)
            })
        };
        let found = self.candidates.prefix_affinity(
            &self.candidate_query(request),
            metadata.prefix,
            metadata.session,
            traffic_share,
            capacity_share,
        );
        let session_tokens = (self.session_match_ratio[metadata.class] * metadata.prompt_tokens)
            .max(metadata.prefix_tokens);
        let mut affinity = BTreeMap::new();
        if metadata.prefix_tokens > 0.0 {
            for id in found.for_prefix {
                affinity.insert(id, metadata.prefix_tokens);
            }
        }
        if let Some(id) = found.for_session {
            if session_tokens > 0.0 {
                affinity.insert(id, session_tokens);
            }
        }
        affinity
    }

    fn score_prefill_endpoint(
        &self,
        request: &Request,
        endpoint: &TrackedEndpoint,
        decode: DecodeForecast,
    ) -> ScoredEndpoint {
        let metadata = &request.metadata;
        let id = endpoint.record.endpoint;
        let affinity_tokens = request.affinity.get(&id).copied().unwrap_or(0.0);
        let cached_tokens = self
            .prefixes
            .cached_tokens(metadata, id)
            .max(affinity_tokens.min(metadata.prompt_tokens));
        let prefix_match_ratio = cached_tokens / metadata.prompt_tokens.max(1.0);
        let running = self.estimate_load(endpoint, REQUESTS);
        let pending_kilotokens = self.estimate_load(endpoint, PENDING_KILOTOKENS);
        let memory_share = self.estimate_load(endpoint, MEMORY_SHARE);
        let inputs = Inputs::new(
            1.0,
            memory_share,
            (metadata.prompt_tokens - cached_tokens) / 1000.0,
            running / 10.0,
            pending_kilotokens,
        );
        let downstream_seconds = decode.seconds + PREDICTION_MARGIN_SHARE * request.ttft_objective;
        let mut scored = self.score_endpoint(
            request,
            endpoint,
            PoolKind::Prefill,
            inputs,
            downstream_seconds,
        );
        scored.success_probability *=
            (decode.success_probability / MIN_SUCCESS_PROBABILITY).min(1.0);
        scored.cached_tokens = cached_tokens;
        scored.prefix_match_ratio = prefix_match_ratio;
        if self.models.prefill.samples < MIN_SAMPLES {
            scored.headroom =
                1.0 + prefix_match_ratio - memory_share - (running + pending_kilotokens) / 10.0;
        }
        scored
    }
}
