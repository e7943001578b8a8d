//! Slow start: limits what this router sends to an endpoint that has started recently.
//!
//! Each router uses its share of the endpoint's budget, so that all routers together don't overload the
//! endpoint. Draws are hashes, not numbers from the router's random generator.

use super::tracked_endpoint::TrackedEndpoint;
use super::{Request, Router, Stage, DECAY_INTERVAL, SMOOTHING_FACTOR};
use crate::routing::api::{EndpointId, Time};
use crate::routing::candidate_index::hash_pair;

/// Share of a slow-start budget that is used. The budget is computed as if the endpoint kept its initial
/// capacity.
const SLOW_START_BUDGET_SHARE: f64 = 0.8;

impl Router {
    /// Returns whether slow start allows an attempt. In any overload window, an endpoint that warms up gets
    /// this router's share of its capacity. The share is estimated from the throughput of warm endpoints for
    /// this router. A fraction of one send is drawn at random (docs/candidates.md).
    pub(super) fn slow_start_allows(
        &self,
        request: &Request,
        endpoint: &TrackedEndpoint,
        stage: Stage,
    ) -> bool {
        if endpoint.warmup_progress(&self.settings, self.now) >= 1.0 {
            return true;
        }
        let window = self.settings.overload_window;
        let window_start = self.now.saturating_sub(window);
        let sent = endpoint
            .recent_sends
            .iter()
            .filter(|sent_at| **sent_at >= window_start)
            .count() as f64;
        // Converts a decaying counter to the count of one overload window.
        let counter_scale = SMOOTHING_FACTOR * window as f64 / DECAY_INTERVAL as f64;
        let capacity = self.settings.overload_threshold
            * self.settings.slow_start_initial_share
            * counter_scale;
        let pool = stage.pool();
        let endpoint_id = endpoint.record.endpoint;
        let serving_endpoints = self.candidates.serving_endpoints(pool).0;
        let sampling_factor = self.candidates.slow_start_sampling_factor(
            pool,
            &self.candidate_query(request),
            endpoint_id,
        );
        let counters = &self.throughput[pool as usize];
        let draw = self.slow_start_draw(request, endpoint_id, stage) as f64 / u64::MAX as f64
            * sampling_factor
            * counter_scale
            * (counters.started + 1.0);
        let budget = SLOW_START_BUDGET_SHARE
            * capacity
            * (counters.finished_per_warm_endpoint + 1.0 / serving_endpoints);
        sent + 1.0 <= capacity * counters.finished / serving_endpoints || draw < budget - sent
    }

    /// Returns a request's draw at an endpoint, uniform over `u64`. A waiting request draws again after each
    /// overload window. A prefill with affinity endpoints takes the lowest draw there and the highest
    /// elsewhere. An endpoint that warms up has affinity only for as many prefixes as it can take.
    fn slow_start_draw(&self, request: &Request, endpoint: EndpointId, stage: Stage) -> u64 {
        if stage != Stage::Decode && !request.affinity.is_empty() {
            let has_affinity = request.affinity.contains_key(&endpoint);
            return if has_affinity { 0 } else { u64::MAX };
        }
        let time_left: Time = request.response_deadline.saturating_sub(self.now);
        let windows_left = time_left / self.settings.overload_window.max(1);
        hash_pair(
            hash_pair(request.metadata.id ^ self.hash_salt, windows_left),
            endpoint.into(),
        )
    }
}
