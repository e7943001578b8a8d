//! The state that a router keeps for one endpoint: load, pending attempts, outlier detection and warm-up.
//!
//! `Router::endpoints` owns each [`TrackedEndpoint`]. Health is kept per class, because an endpoint may
//! refuse one class and serve the others.

use super::{seconds, update_mean, Router};
use crate::routing::api::*;
use std::collections::{BTreeMap, VecDeque};

/// Failure rate, 0 to 1, above which an endpoint is ejected for a class.
const EJECTION_FAILURE_RATE: f64 = 0.4;
/// Maximum number of times that the base ejection time is doubled.
const MAX_EJECTION_DOUBLINGS: u32 = 3;

/// Load of an endpoint, indexed by [`REQUESTS`], [`PENDING_KILOTOKENS`] and [`MEMORY_SHARE`].
pub(super) type LoadVector = [f64; 3];
/// Index of the number of requests in flight.
pub(super) const REQUESTS: usize = 0;
/// Index of the prompt tokens to prefill or to fetch, in thousands.
pub(super) const PENDING_KILOTOKENS: usize = 1;
/// Index of the reserved share of the KV memory, 0 to 1.
pub(super) const MEMORY_SHARE: usize = 2;

pub(super) fn add_load(total: &mut LoadVector, load: &LoadVector) {
    for (total, value) in total.iter_mut().zip(load) {
        *total = (*total + value).max(0.0);
    }
}

pub(super) fn subtract_load(total: &mut LoadVector, load: &LoadVector) {
    for (total, value) in total.iter_mut().zip(load) {
        *total = (*total - value).max(0.0);
    }
}

/// Outlier detection state of one endpoint for one class.
#[derive(Clone, Copy, Default)]
pub(super) struct EndpointHealth {
    /// Share of recent attempts that failed, 0 to 1.
    pub(super) failure_rate: f64,
    /// End of the last ejection; 0 if there was none.
    pub(super) ejected_until: Time,
    /// Ejections since the last success.
    pub(super) consecutive_ejections: u32,
}

/// An attempt in flight that has neither completed its prefill nor received a first token.
pub(super) struct PendingAttempt {
    pub(super) sent_at: Time,
    pub(super) predicted_seconds: f64,
    pub(super) class: usize,
}

impl PendingAttempt {
    /// Returns the seconds by which the attempt exceeds its predicted time and a tolerance; negative while
    /// it isn't overdue.
    fn overdue_seconds(&self, now: Time, tolerance: f64) -> f64 {
        seconds(now.saturating_sub(self.sent_at)) - self.predicted_seconds - tolerance
    }
}

#[derive(Default)]
pub(super) struct TrackedEndpoint {
    pub(super) record: EndpointRecord,
    /// Values of the last load report, indexed like a [`LoadVector`]; `None` if missing or invalid.
    pub(super) reported: [Option<f64>; 3],
    /// When the last load report arrived; `None` before the first.
    pub(super) reported_at: Option<Time>,
    /// Load of this router's own attempts in flight.
    pub(super) own_load: LoadVector,
    /// `own_load` when the last load report arrived.
    pub(super) own_load_at_report: LoadVector,
    /// Pending attempts, by request id and attempt index.
    pub(super) pending: BTreeMap<(RequestId, usize), PendingAttempt>,
    /// Latest send time among the attempts that completed their prefill or received a first token; 0: none.
    pub(super) last_answered_send: Time,
    /// Mean relative excess of observed times over the shared model's predictions; 0 if they agree.
    pub(super) slowdown: f64,
    /// Outlier detection state, by class.
    pub(super) health: BTreeMap<usize, EndpointHealth>,
    /// When the probe without a response so far was sent, if there is one.
    pub(super) probe_sent_at: Option<Time>,
    /// Send times of recent attempts during slow start.
    pub(super) recent_sends: VecDeque<Time>,
}

impl TrackedEndpoint {
    /// Returns the health for a class. An endpoint may refuse one class and serve the others. A class that
    /// was not tried there is therefore presumed to have the lowest failure rate of those that were.
    pub(super) fn health(&self, class: usize) -> EndpointHealth {
        if let Some(health) = self.health.get(&class) {
            return *health;
        }
        self.health
            .values()
            .min_by(|a, b| a.failure_rate.total_cmp(&b.failure_rate))
            .copied()
            .unwrap_or_default()
    }

    pub(super) fn health_mut(&mut self, class: usize) -> &mut EndpointHealth {
        let presumed = self.health(class);
        self.health.entry(class).or_insert(presumed)
    }

    /// Returns the seconds by which the most overdue pending attempt is late, at least 0. This detects a
    /// stalled endpoint before it responds.
    pub(super) fn overdue_seconds(&self, now: Time, tolerance: f64) -> f64 {
        self.pending
            .values()
            .map(|attempt| attempt.overdue_seconds(now, tolerance))
            .fold(0.0, f64::max)
    }

    /// Returns the share of the endpoint's KV memory that `tokens` take; 0 if its capacity is unknown.
    pub(super) fn memory_share_of(&self, tokens: f64) -> f64 {
        let capacity = self.record.kv_capacity_tokens;
        if capacity > 0.0 {
            tokens / capacity
        } else {
            0.0
        }
    }

    /// Returns the share of its full capacity that the endpoint has now, up to 1.
    pub(super) fn capacity_share(&self, settings: &RoutingSettings, now: Time) -> f64 {
        1.0 - (1.0 - settings.slow_start_initial_share)
            * (1.0 - self.warmup_progress(settings, now))
    }

    /// Returns the time since the endpoint's start as a share of the slow-start duration, up to 1.
    pub(super) fn warmup_progress(&self, settings: &RoutingSettings, now: Time) -> f64 {
        let age = self
            .record
            .started_at
            .map_or(Time::MAX, |started_at| now.saturating_sub(started_at));
        (age as f64 / settings.slow_start_duration.max(1) as f64).min(1.0)
    }
}

impl Router {
    /// Records a failure for a class, or for all classes if `class` is `None`. Ejects the endpoint for a
    /// high failure rate, for a failure in the trial after an ejection, or if `must_eject_now` is set.
    pub(super) fn record_failure(
        &mut self,
        id: EndpointId,
        class: Option<usize>,
        must_eject_now: bool,
    ) {
        let classes = match class {
            Some(class) => class..class + 1,
            None => 0..self.settings.classes.len(),
        };
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        for class in classes {
            let health = endpoint.health_mut(class);
            update_mean(&mut health.failure_rate, 1.0);
            let should_eject = must_eject_now
                || health.failure_rate > EJECTION_FAILURE_RATE
                || health.consecutive_ejections > 0;
            if should_eject && self.now >= health.ejected_until {
                let doublings = health.consecutive_ejections.min(MAX_EJECTION_DOUBLINGS);
                health.ejected_until = self.now + (self.base_ejection_time << doublings);
                health.consecutive_ejections += 1;
            }
        }
    }
}
