//! Slow start: how much this router sends to an endpoint that has started of late.

use super::tracked_endpoint::TrackedEndpoint;
use super::{Request, Router, Stage, DECAY_INTERVAL, SMOOTHING_FACTOR};
use crate::routing::api::{EndpointId, Time};
use crate::routing::candidate_index::hash_pair;

/// Share of a slow-start budget that is used. The budget is computed as if the endpoint's capacity stayed the
/// initial one.
const SLOW_START_BUDGET_SHARE: f64 = 0.8;

impl Router {
    /// Whether slow start allows an attempt. In any overload window an endpoint that warms up gets this
    /// router's share of what it can take, by what warm ones serve for this router; a fraction of one send is
    /// drawn at random (docs/candidates.md).
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
        // Turns a decaying counter into the count of one overload window.
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
        let flow = &self.flow[pool as usize];
        let draw = self.slow_start_draw(request, endpoint_id, stage) as f64 / u64::MAX as f64
            * sampling_factor
            * counter_scale
            * (flow.started + 1.0);
        let budget = SLOW_START_BUDGET_SHARE
            * capacity
            * (flow.finished_per_warm_endpoint + 1.0 / serving_endpoints);
        sent + 1.0 <= capacity * flow.finished / serving_endpoints || draw < budget - sent
    }

    /// A request's draw at an endpoint, of all `u64`. One that waits draws again after each overload window.
    /// A prefill with affinity endpoints draws none: an endpoint that warms up has affinity for as many
    /// prefixes as it can take.
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
