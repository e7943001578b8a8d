//! The routing decisions of one dispatcher. Its settings, events and actions are in `src/routing/api.rs`.
//!
//! A request is prefilled at one endpoint, which reserves its KV cache until a decode endpoint takes it
//! over. [`Router`] owns all state: the tracked endpoints, the requests, the latency models and the
//! indexes. `placement` selects endpoints, and `outcomes` updates the models from ended attempts. Attempts
//! start in `Router::start_attempt`, which checks the rules. Every other action on an accepted request
//! passes through `Router::emit`, which enforces them. Durations named `seconds` are `f64`; instants and
//! settings are [`Time`], in microseconds.

mod decode;
mod hedging;
mod latency_model;
mod load_shedding;
mod outcomes;
mod placement;
mod prefill;
mod request;
mod selection;
mod slow_start;
mod tracked_endpoint;

use crate::routing::api::*;
use crate::routing::candidate_index::{hash_pair, CandidateIndex};
use crate::routing::prefix_cache_index::PrefixCacheIndex;
use crate::routing::token_bucket::TokenBucket;
use hedging::MAX_HEDGE_BUDGET;
use latency_model::LatencyModels;
use outcomes::AttemptEnd;
use prefill::INITIAL_SESSION_MATCH_RATIO;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use request::{Attempt, Request, Stage};
use std::collections::{BTreeMap, BTreeSet};
use tracked_endpoint::{LoadVector, TrackedEndpoint, REQUESTS};

/// Interval, in microseconds, at which failure rates and throughput counters decay. A failed subscription to
/// the endpoint list is renewed at the same interval.
const DECAY_INTERVAL: Time = 1_000_000;
/// Minimum success probability, 0 to 1, of an endpoint that is feasible for a request.
const MIN_SUCCESS_PROBABILITY: f64 = 0.6;
/// Success probability, 0 to 1, that a prefill endpoint needs to be preferred to endpoints that have the
/// prompt cached. The cost of a decode attempt doesn't fall further above it.
const HIGH_SUCCESS_PROBABILITY: f64 = 0.9;
/// Weight of the newest sample, 0 to 1, in exponentially weighted moving averages. Failure rates and
/// throughput counters decay by the same share every [`DECAY_INTERVAL`].
const SMOOTHING_FACTOR: f64 = 0.11;
/// Time to live of a prefix cache record, in multiples of the shortest TTFT objective.
const PREFIX_TTL_IN_OBJECTIVES: Time = 60;

fn seconds(time: Time) -> f64 {
    time as f64 / 1e6
}

/// Returns the shortest nonzero objective of the active classes, in microseconds, or [`DECAY_INTERVAL`] if
/// there is none.
fn shortest_objective(settings: &RoutingSettings, objective: fn(&RequestClass) -> Time) -> Time {
    settings
        .classes
        .iter()
        .filter(|class| class.is_active)
        .map(objective)
        .filter(|objective| *objective > 0)
        .min()
        .unwrap_or(DECAY_INTERVAL)
}

/// Updates an exponentially weighted moving average with a sample.
fn update_mean(mean: &mut f64, sample: f64) {
    *mean += SMOOTHING_FACTOR * (sample - *mean);
}

/// Decaying counts of one pool's attempts: each shrinks by [`SMOOTHING_FACTOR`] every [`DECAY_INTERVAL`].
#[derive(Clone, Copy, Default)]
struct ThroughputCounters {
    /// Completed prefills and received first tokens.
    finished: f64,
    /// Prefills and first tokens at warm endpoints, per warm endpoint. While no endpoint is warm, all
    /// endpoints count.
    finished_per_warm_endpoint: f64,
    /// Started attempts.
    started: f64,
}

impl ThroughputCounters {
    fn decay(&mut self) {
        self.finished *= 1.0 - SMOOTHING_FACTOR;
        self.finished_per_warm_endpoint *= 1.0 - SMOOTHING_FACTOR;
        self.started *= 1.0 - SMOOTHING_FACTOR;
    }
}

/// Makes the routing decisions of one dispatcher. The caller sends [`Event::TimerFired`] after `new` and at
/// each [`Action::SetTimer`].
pub struct Router {
    settings: RoutingSettings,
    /// Number of dispatchers that share the endpoints, at least 1.
    dispatcher_count: f64,
    rng: Pcg32,
    now: Time,
    actions: Vec<Action>,
    endpoints: BTreeMap<EndpointId, TrackedEndpoint>,
    candidates: CandidateIndex,
    prefixes: PrefixCacheIndex,
    requests: BTreeMap<RequestId, Request>,
    /// The requests by the instant of their next check.
    due_requests: BTreeSet<(Time, RequestId)>,
    models: LatencyModels,
    /// Duration of a first ejection, in microseconds: the shortest TTFT objective. The advice on retries,
    /// the prefix TTL and the recheck of overdue attempts derive from it too.
    base_ejection_time: Time,
    next_decay_at: Time,
    /// The instant of the last [`Action::SetTimer`]; `None` once the timer has fired.
    timer_at: Option<Time>,
    /// Instant at which this router ends, and the latest one for every final response; [`Time::MAX`] until
    /// it is set.
    shutdown_deadline: Time,
    is_watching_endpoints: bool,
    /// Baseline wait of load shedding, in seconds. It is the moving average, while feasible endpoints
    /// exist, of the shortest predicted prefill time without the part for the prompt itself.
    baseline_wait: f64,
    /// Number of hedges and cancellations of overdue attempts that are still allowed, including a fraction
    /// of the next one.
    hedge_budget: f64,
    /// By class: mean share of a prompt that a session's affinity endpoint had cached, 0 to 1.
    session_match_ratio: Vec<f64>,
    /// Moving averages of the reported loads: index 0 for decode and mixed endpoints, 1 for prefill
    /// endpoints.
    mean_load: [LoadVector; 2],
    /// By tenant: token bucket with this router's share of the tenant's quota.
    tenant_buckets: Vec<TokenBucket>,
    /// Attempts of this router, by `PoolKind`.
    throughput: [ThroughputCounters; 2],
    /// Derived from the seed. Routers with different seeds sample different endpoints for the same request
    /// id.
    hash_salt: u64,
}

impl Router {
    /// Creates a router that knows only its settings. `seed` determines all random draws of the router;
    /// `now` is in microseconds.
    pub fn new(settings: RoutingSettings, seed: u64, now: Time) -> Self {
        let dispatcher_count = f64::from(settings.dispatchers.max(1));
        let tenant_buckets = settings
            .tenants
            .iter()
            .map(|tenant| TokenBucket::new(tenant.requests_per_second / dispatcher_count, now))
            .collect();
        Router {
            tenant_buckets,
            session_match_ratio: vec![INITIAL_SESSION_MATCH_RATIO; settings.classes.len()],
            dispatcher_count,
            base_ejection_time: shortest_objective(&settings, |class| class.ttft_objective),
            models: LatencyModels::from_objectives(&settings),
            settings,
            rng: Pcg32::seed_from_u64(seed),
            now,
            actions: Vec::new(),
            endpoints: BTreeMap::new(),
            candidates: CandidateIndex::default(),
            prefixes: PrefixCacheIndex::default(),
            requests: BTreeMap::new(),
            due_requests: BTreeSet::new(),
            next_decay_at: now,
            timer_at: None,
            shutdown_deadline: Time::MAX,
            is_watching_endpoints: false,
            baseline_wait: 0.0,
            hedge_budget: MAX_HEDGE_BUDGET,
            mean_load: Default::default(),
            throughput: Default::default(),
            hash_salt: hash_pair(seed, 0),
        }
    }

    /// Makes all endpoints candidates in fleets of up to `endpoints`, instead of a sample. Used to compare
    /// full scans with sampling.
    pub fn set_full_scan_limit(&mut self, endpoints: usize) {
        self.candidates.set_full_scan_limit(endpoints);
    }

    /// Handles an event at `now` (microseconds) and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.now = now.max(self.now);
        self.candidates.advance_to(self.now);
        self.apply_event(event);
        while let Some((due_at, id)) = self.due_requests.first().copied() {
            if due_at > self.now {
                break;
            }
            self.with_request(id, Self::check_due_request);
        }
        if self.now >= self.next_decay_at {
            self.decay_statistics();
        }
        self.schedule_timer();
        actions.append(&mut self.actions);
    }

    fn apply_event(&mut self, event: Event) {
        match event {
            Event::EndpointsChanged { is_full, endpoints } => {
                self.update_endpoints(is_full, endpoints);
            }
            Event::SettingsChanged(settings) => self.apply_settings(settings),
            Event::ShutdownDeadline(deadline) => self.on_shutdown_deadline(deadline),
            Event::EndpointListFailed => self.is_watching_endpoints = false,
            Event::RequestArrived(metadata) => self.on_request_arrived(metadata),
            Event::FirstEvent { id, attempt } => self.with_request(id, |router, request| {
                router.on_first_event(request, attempt as usize);
            }),
            Event::AttemptEnded {
                id,
                attempt,
                endpoint,
                status,
                request_closed,
                cached_tokens,
                load,
            } => {
                self.record_load_report(endpoint, load);
                let end = AttemptEnd {
                    index: attempt as usize,
                    status,
                    request_closed,
                    cached_tokens,
                };
                self.with_request(id, |router, request| router.on_attempt_ended(request, &end));
            }
            Event::PeerLoadReport { endpoint, load } => self.on_peer_load_report(endpoint, load),
            Event::ClientDisconnected { id } => self.with_request(id, |router, request| {
                request.has_final_response = true;
                router.cancel_attempts(request, |_| true);
            }),
            Event::ProbeCompleted {
                endpoint,
                is_healthy,
                load,
            } => self.on_probe_completed(endpoint, is_healthy, load),
            Event::TimerFired => self.timer_at = self.timer_at.filter(|at| *at > self.now),
        }
    }

    fn schedule_timer(&mut self) {
        let next = self
            .due_requests
            .first()
            .map_or(Time::MAX, |(due_at, _)| *due_at)
            .min(self.next_decay_at);
        if self.timer_at.is_none_or(|at| next < at) {
            self.timer_at = Some(next);
            self.actions.push(Action::SetTimer { at: next });
        }
    }

    /// Applies a step to a request; unknown ids are ignored. A request that is complete is removed and its
    /// reservation released; any other gets its next check scheduled.
    fn with_request(&mut self, id: RequestId, step: impl FnOnce(&mut Self, &mut Request)) {
        let Some(mut request) = self.requests.remove(&id) else {
            return;
        };
        self.due_requests.remove(&(request.due_at, id));
        step(self, &mut request);
        let is_over = request.has_final_response && !request.has_attempt_in_flight();
        if is_over && request.may_have_reservation {
            self.emit(&mut request, Action::ReleaseReservation { id });
        }
        if !is_over {
            request.due_at = self.next_check_at(&request).max(self.now + 1);
            self.due_requests.insert((request.due_at, id));
            self.requests.insert(id, request);
        }
    }

    fn on_shutdown_deadline(&mut self, deadline: Time) {
        self.shutdown_deadline = deadline;
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            self.with_request(id, |_, request| {
                request.response_deadline = request.response_deadline.min(deadline);
            });
        }
    }

    fn update_endpoints(&mut self, is_full: bool, records: Vec<EndpointRecord>) {
        if is_full {
            for endpoint in self.endpoints.values_mut() {
                endpoint.record.status = EndpointStatus::Removed;
            }
        }
        for record in records {
            let mut previous = self.endpoints.remove(&record.endpoint).unwrap_or_default();
            if previous.record.started_at != record.started_at {
                // A restarted endpoint loses its learned state, except for what this router still has in
                // flight there.
                previous = TrackedEndpoint {
                    own_load: previous.own_load,
                    pending: previous.pending,
                    recent_sends: previous.recent_sends,
                    ..TrackedEndpoint::default()
                };
                self.prefixes.forget_endpoint(record.endpoint);
            }
            self.candidates
                .update(self.now, &record, self.settings.slow_start_duration);
            self.endpoints
                .insert(record.endpoint, TrackedEndpoint { record, ..previous });
        }
        if is_full {
            self.update_all_candidates();
        }
    }

    fn update_all_candidates(&mut self) {
        for endpoint in self.endpoints.values() {
            self.candidates.update(
                self.now,
                &endpoint.record,
                self.settings.slow_start_duration,
            );
        }
    }

    /// Applies new settings and keeps the learned state. Requests in flight keep their class index.
    fn apply_settings(&mut self, settings: RoutingSettings) {
        self.dispatcher_count = f64::from(settings.dispatchers.max(1));
        self.base_ejection_time = shortest_objective(&settings, |class| class.ttft_objective);
        self.session_match_ratio
            .resize(settings.classes.len(), INITIAL_SESSION_MATCH_RATIO);
        self.tenant_buckets
            .resize(settings.tenants.len(), TokenBucket::new(0.0, self.now));
        for (bucket, tenant) in self.tenant_buckets.iter_mut().zip(&settings.tenants) {
            bucket.set_rate(tenant.requests_per_second / self.dispatcher_count);
        }
        self.settings = settings;
        self.update_all_candidates();
    }

    fn record_load_report(&mut self, id: EndpointId, load: Option<LoadReport>) {
        let (Some(endpoint), Some(load)) = (self.endpoints.get_mut(&id), load) else {
            return;
        };
        let reported = [
            load.in_flight,
            load.pending_prefill_kilotokens,
            load.kv_memory_share,
        ];
        endpoint.reported = reported.map(|value| value.filter(|value| (0.0..1e6).contains(value)));
        endpoint.reported_at = Some(self.now);
        endpoint.own_load_at_report = endpoint.own_load;
        let means = &mut self.mean_load[usize::from(endpoint.record.role == Role::Prefill)];
        for (mean, value) in means.iter_mut().zip(endpoint.reported) {
            update_mean(mean, value.unwrap_or(*mean));
        }
    }

    fn on_peer_load_report(&mut self, id: EndpointId, load: Option<LoadReport>) {
        self.record_load_report(id, load);
        if load.is_some() {
            return;
        }
        if let Some(endpoint) = self.endpoints.get_mut(&id) {
            for class in 0..self.settings.classes.len() {
                update_mean(&mut endpoint.health_mut(class).failure_rate, 1.0);
            }
        }
    }

    fn on_probe_completed(&mut self, id: EndpointId, is_healthy: bool, load: Option<LoadReport>) {
        self.record_load_report(id, load);
        if let Some(endpoint) = self.endpoints.get_mut(&id) {
            endpoint.probe_sent_at = None;
        }
        if !is_healthy {
            self.record_failure(id, None, true);
        }
    }

    /// Decays failure rates and throughput counters, and subscribes to the endpoint list if no subscription
    /// is active. Expires prefix cache records, and drops removed endpoints without requests in flight.
    fn decay_statistics(&mut self) {
        self.next_decay_at = self.now + DECAY_INTERVAL;
        for counters in &mut self.throughput {
            counters.decay();
        }
        if self.settings.must_poll_endpoints {
            if !self.is_watching_endpoints {
                self.actions.push(Action::WatchEndpoints);
            }
            self.is_watching_endpoints = true;
        }
        for endpoint in self.endpoints.values_mut() {
            endpoint
                .recent_sends
                .retain(|sent_at| *sent_at + self.settings.overload_window >= self.now);
            for health in endpoint.health.values_mut() {
                health.failure_rate *= 1.0 - SMOOTHING_FACTOR;
            }
        }
        let lifetime = PREFIX_TTL_IN_OBJECTIVES * self.base_ejection_time;
        self.prefixes.expire(self.now.saturating_sub(lifetime));
        let prefixes = &mut self.prefixes;
        self.endpoints.retain(|id, endpoint| {
            let is_removed = endpoint.record.status == EndpointStatus::Removed;
            let is_dropped = is_removed && endpoint.own_load[REQUESTS] <= 0.0;
            if is_dropped {
                prefixes.forget_endpoint(*id);
            }
            !is_dropped
        });
    }
}
