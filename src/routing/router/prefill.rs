//! Scores prefill endpoints: which may take a prompt, what they are presumed to have cached, and what follows
//! after.

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

/// An endpoint whose prefix match, as a share of the prompt, is above this has the prompt cached.
const CACHED_PREFIX_MATCH: f64 = 0.80;
/// Where none is above it, the best prefix match counts from this one on.
const MIN_PREFIX_MATCH: f64 = 0.1;
/// The prefix-cache filter is skipped when the best endpoint that it leaves is slower than the best of all by
/// this share of the TTFT objective.
const MAX_CACHED_DELAY_SHARE: f64 = 0.25;
/// Share of the TTFT objective that a prefill leaves for the errors of the models together.
const PREDICTION_MARGIN_SHARE: f64 = 0.15;
/// Share of a prompt that a session's affinity endpoint is presumed to have cached at first.
pub(super) const INITIAL_AFFINITY_MATCH: f64 = 0.85;

/// What is expected of the decode attempt after a prefill.
#[derive(Clone, Copy)]
struct DecodeForecast {
    /// To the first token.
    seconds: f64,
    success_probability: f64,
}

/// A decode endpoint, by its index in a list of available ones, and what is expected of it.
#[derive(Clone, Copy)]
struct RankedDecode {
    index: usize,
    forecast: DecodeForecast,
}

impl RankedDecode {
    /// The better one is greater.
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

fn by_prediction(a: &&ScoredEndpoint, b: &&ScoredEndpoint) -> Ordering {
    a.predicted_seconds.total_cmp(&b.predicted_seconds)
}

impl Router {
    /// The prefix-cache filter: leaves the endpoints that have the prompt cached, but for an exploration
    /// share and where a much faster one is likely to succeed. In overload that is not so: prefilling
    /// elsewhere would add to the load.
    pub(super) fn prefer_cached_prefix(
        &mut self,
        mut candidates: Vec<ScoredEndpoint>,
        request: &Request,
    ) -> Vec<ScoredEndpoint> {
        let best_match = candidates
            .iter()
            .map(|candidate| candidate.prefix_match)
            .fold(0.0, f64::max);
        // After a flush no endpoint has enough of a prompt cached: taken for equal, each would prefill it
        // again.
        let match_factor = if (MIN_PREFIX_MATCH..CACHED_PREFIX_MATCH).contains(&best_match) {
            best_match
        } else {
            1.0
        };
        let min_match = CACHED_PREFIX_MATCH * match_factor;
        let fastest_cached = candidates
            .iter()
            .filter(|candidate| candidate.prefix_match > min_match)
            .min_by(by_prediction);
        let fastest = candidates.iter().min_by(by_prediction);
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
            candidates.retain(|candidate| candidate.prefix_match > min_match);
        }
        candidates
    }

    pub(super) fn score_prefill_endpoints(&self, request: &Request) -> Vec<ScoredEndpoint> {
        let query = self.candidate_query(request);
        let mut likely = self.prefixes.holders(&request.metadata, query.seed);
        likely.extend(request.affinity.keys());
        let ids = self.candidates.prefill_candidates(&query, likely);
        let available = self.available_endpoints(request, Stage::Prefill, &ids);
        let cells = available
            .iter()
            .filter(|endpoint| is_prefill_endpoint(endpoint))
            .map(|endpoint| endpoint.record.cell)
            .collect();
        let forecasts = self.forecast_decode(request, &cells);
        let mut candidates = Vec::with_capacity(available.len());
        for endpoint in available {
            // A mixed endpoint does both itself.
            let mut forecast = DecodeForecast {
                seconds: 0.0,
                success_probability: 1.0,
            };
            if is_prefill_endpoint(endpoint) {
                if let Some(after) = forecasts.get(&endpoint.record.cell) {
                    forecast = *after;
                }
            }
            candidates.push(self.score_prefill_endpoint(request, endpoint, forecast));
        }
        candidates
    }

    /// The best decode attempt after a prefill in each cell.
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
            // Without any available, the prefill is judged by itself.
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

    /// Prefix-affinity endpoints, and the prompt tokens that each is presumed to have cached where the prefix
    /// index can't know.
    pub(super) fn affinity_endpoints(&self, request: &Request) -> BTreeMap<EndpointId, f64> {
        let metadata = &request.metadata;
        let traffic_share = self.prefixes.traffic_share(metadata);
        let warm_share = |id| {
            self.endpoints.get(&id).map_or(0.0, |endpoint| {
                endpoint.warm_share(&self.settings, self.now)
            })
        };
        let found = self.candidates.prefix_affinity(
            &self.candidate_query(request),
            metadata.prefix,
            metadata.session,
            traffic_share,
            warm_share,
        );
        let session_tokens = (self.affinity_match[metadata.class] * metadata.prompt_tokens)
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
        let prefix_match = cached_tokens / metadata.prompt_tokens.max(1.0);
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
        let later_seconds = decode.seconds + PREDICTION_MARGIN_SHARE * request.ttft_objective;
        let mut scored =
            self.score_endpoint(request, endpoint, PoolKind::Prefill, inputs, later_seconds);
        scored.success_probability *=
            (decode.success_probability / MIN_SUCCESS_PROBABILITY).min(1.0);
        scored.cached_tokens = cached_tokens;
        scored.prefix_match = prefix_match;
        if self.models.prefill.samples < MIN_SAMPLES {
            scored.headroom =
                1.0 + prefix_match - memory_share - (running + pending_kilotokens) / 10.0;
        }
        scored
    }
}
