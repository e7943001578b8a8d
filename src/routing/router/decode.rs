//! Scoring of decode endpoints for a KV cache: their availability and the predicted time to the first token.
//!
//! `selection` provides the scoring that all stages share. This module adds the wait for KV memory, the
//! cost of a transfer between cells and the inter-token objective. Scoring doesn't change the router's
//! state.

use super::latency_model::{logistic, Inputs, MIN_SAMPLES};
use super::selection::{ScoredEndpoint, MIN_SPREAD_SHARE};
use super::tracked_endpoint::{TrackedEndpoint, MEMORY_SHARE, PENDING_KILOTOKENS, REQUESTS};
use super::{seconds, Request, Router, Stage, HIGH_SUCCESS_PROBABILITY};
use crate::routing::api::*;
use crate::routing::candidate_index::PoolKind;
use std::collections::BTreeSet;

/// Standard error of the estimated KV memory use of a decode endpoint, as a share of its memory.
const MEMORY_SPREAD_SHARE: f64 = 0.1;
/// Expected output tokens of a request without a hint, as a share of its limit.
const DEFAULT_OUTPUT_SHARE: f64 = 0.33;

/// Whether a KV cache leaves its cell on the way to a decode endpoint.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum KvTransfer {
    WithinCell,
    AcrossCells,
}

impl Router {
    /// Scores the decode endpoints for a KV cache. `kv_holder` is `None` if the endpoint that holds the
    /// cache is no longer known.
    pub(super) fn score_decode_endpoints(
        &self,
        request: &Request,
        kv_holder: Option<&TrackedEndpoint>,
    ) -> Vec<ScoredEndpoint> {
        let cell = kv_holder.map(|holder| holder.record.cell);
        let cells: BTreeSet<u32> = cell.into_iter().collect();
        let mut candidates = Vec::new();
        for endpoint in self.available_decode_endpoints(request, &cells) {
            let transfer = if cell.is_some_and(|cell| cell != endpoint.record.cell) {
                KvTransfer::AcrossCells
            } else {
                KvTransfer::WithinCell
            };
            candidates.push(self.score_decode_endpoint(request, endpoint, transfer));
        }
        candidates
    }

    /// Returns the decode endpoints that may be sent the request now. `cells` are those that hold the KV
    /// cache or may hold it.
    pub(super) fn available_decode_endpoints(
        &self,
        request: &Request,
        cells: &BTreeSet<u32>,
    ) -> Vec<&TrackedEndpoint> {
        let ids = self
            .candidates
            .decode_candidates(&self.candidate_query(request), cells);
        self.available_endpoints(request, Stage::Decode, &ids)
    }

    pub(super) fn score_decode_endpoint(
        &self,
        request: &Request,
        endpoint: &TrackedEndpoint,
        transfer: KvTransfer,
    ) -> ScoredEndpoint {
        let running = self.estimate_load(endpoint, REQUESTS);
        let pending_kilotokens = self.estimate_load(endpoint, PENDING_KILOTOKENS);
        let memory_share = self.estimate_load(endpoint, MEMORY_SHARE);
        let prompt_kilotokens = request.metadata.prompt_tokens / 1000.0;
        let leaves_cell = transfer == KvTransfer::AcrossCells;
        let inputs = Inputs::new(
            1.0,
            running / 10.0,
            memory_share,
            prompt_kilotokens * f64::from(leaves_cell),
            prompt_kilotokens + pending_kilotokens,
        );
        // Tokens beyond the endpoint's memory wait until running responses end. Memory use is only an
        // estimate, so the expected excess is smoothed over its standard error.
        let output_tokens = self.expected_output_tokens(&request.metadata);
        let seconds_per_token = self.models.inter_token.predict(&inputs);
        let tokens = request.metadata.prompt_tokens + output_tokens;
        let excess = (memory_share + endpoint.memory_share_of(tokens) - 1.0) / MEMORY_SPREAD_SHARE;
        let expected_excess =
            MEMORY_SPREAD_SHARE * (excess.max(0.0) + (-excess.abs()).exp().ln_1p());
        let memory_wait_seconds = expected_excess * output_tokens * seconds_per_token;
        let mut scored = self.score_endpoint(
            request,
            endpoint,
            PoolKind::Decode,
            inputs,
            memory_wait_seconds,
        );
        scored.cached_tokens = request.metadata.prompt_tokens;
        if leaves_cell {
            scored.cost += self.settings.kv_transfer_cost;
        }
        self.apply_inter_token_objective(request, endpoint, seconds_per_token, &mut scored);
        // A late first token has no value, so a higher success probability lowers the cost.
        scored.cost -= scored.success_probability.min(HIGH_SUCCESS_PROBABILITY);
        if self.models.decode.samples < MIN_SAMPLES {
            scored.headroom = 1.0 - memory_share - running / 100.0;
        }
        scored
    }

    fn apply_inter_token_objective(
        &self,
        request: &Request,
        endpoint: &TrackedEndpoint,
        seconds_per_token: f64,
        scored: &mut ScoredEndpoint,
    ) {
        let class = &self.settings.classes[request.metadata.class];
        let objective = seconds(class.inter_token_objective);
        if objective > 0.0 {
            let capacity_share = endpoint.capacity_share(&self.settings, self.now).max(0.05);
            let headroom = 1.0 - seconds_per_token / capacity_share / objective;
            scored.headroom = scored.headroom.min(headroom);
            scored.success_probability *= logistic(headroom / (2.0 * MIN_SPREAD_SHARE));
        }
    }

    /// Returns the expected number of output tokens, from the request's hint or else from its token limit.
    pub(super) fn expected_output_tokens(&self, metadata: &RequestMetadata) -> f64 {
        let objective = self.settings.classes[metadata.class].inter_token_objective;
        match metadata.output_time_hint {
            Some(hint) if hint > 0 && objective > 0 => hint as f64 / objective as f64,
            _ => metadata.max_output_tokens * DEFAULT_OUTPUT_SHARE,
        }
    }
}
