//! Placement: the decision to send a request now, to shed it, or to wait for probes or a retry, and the
//! choice of its endpoint.
//!
//! `prefill` and `decode` score the endpoints, and `selection` selects one of them. Every attempt starts in
//! `Router::start_attempt`, which checks the rules.

use super::selection::ScoredEndpoint;
use super::tracked_endpoint::{add_load, PendingAttempt};
use super::{Attempt, Request, Router, Stage};
use crate::routing::api::*;
use rand::Rng;

/// Number of dispatchers from which slow-start sends are drawn at random, because each one's share of a
/// slow-start budget is less than one send.
const MIN_DISPATCHERS_FOR_SAMPLED_SLOW_START: f64 = 10.0;
/// Age, in microseconds, below which a load report makes a probe unnecessary.
const REPORT_FRESHNESS: Time = 1_000_000;
/// Maximum number of endpoints that are probed before one placement.
const MAX_PROBES_PER_PLACEMENT: usize = 2;
/// Time to wait for responses to probes, as a share of the TTFT objective.
const PROBE_WAIT_SHARE: f64 = 0.01;
/// Share of the reservation's time to live within which the KV cache must be placed at a decode endpoint.
const PLACEMENT_SHARE_OF_RESERVATION: f64 = 0.8;
/// Divisor of the overload window that gives the delay after a query of all endpoints that found none.
const EMPTY_QUERY_RETRY_DIVISOR: Time = 8;

impl Router {
    /// Decides the next step of a request that isn't waiting for an attempt.
    pub(super) fn place(&mut self, request: &mut Request) {
        if !request.is_open() || awaits_attempt(request) {
            return;
        }
        if let Some(reason) = self.placement_failure(request) {
            self.shed_or_fail(request, reason);
            return;
        }
        request.affinity = self.affinity_endpoints(request);
        let candidates = self.find_candidates(request);
        self.schedule_retry(request, &candidates);
        self.probe_before_placement(request, &candidates);
        if self.awaits_probes(request) {
            return;
        }
        let Some(mut candidates) = self.shed_or_filter(request, candidates) else {
            self.shed_or_fail(request, FailureReason::Overload);
            return;
        };
        self.prefer_sampled_slow_start(request, &mut candidates);
        let Some(target) = self.select_weighted(candidates) else {
            return;
        };
        let stage = self.stage_at(request, target.endpoint);
        self.start_attempt(request, stage, target);
    }

    /// Returns why the request can't be attempted any more; `None` if it can.
    fn placement_failure(&self, request: &Request) -> Option<FailureReason> {
        let ttl = self.settings.reservation_ttl as f64 * PLACEMENT_SHARE_OF_RESERVATION;
        let placement_deadline = request.kv_idle_since + ttl as Time;
        if request.kv_endpoint.is_some() && self.now >= placement_deadline {
            return Some(FailureReason::KvStateExpired);
        }
        if request.attempts.len() as u32 >= self.settings.max_attempts.max(1) {
            return Some(FailureReason::AttemptsExhausted);
        }
        None
    }

    /// Scores the candidates of the request's query, or of a wider one if none of them is feasible.
    fn find_candidates(&self, request: &mut Request) -> Vec<ScoredEndpoint> {
        let candidates = self.score_candidates(request);
        let has_feasible = candidates.iter().any(ScoredEndpoint::is_feasible);
        if has_feasible || self.covers_all_endpoints(request) {
            return candidates;
        }
        request.widenings += 1;
        self.score_candidates(request)
    }

    fn schedule_retry(&self, request: &mut Request, candidates: &[ScoredEndpoint]) {
        request.retry_at = self.now + self.probe_wait(request);
        let is_exhausted = candidates.is_empty() && request.widenings > 0;
        if is_exhausted && self.covers_all_endpoints(request) {
            // A query of all endpoints is expensive, so it is not repeated at every check. The next query is
            // narrow again. The delay is short against the overload window, after which slow-start draws
            // change.
            request.retry_at = self.now + self.settings.overload_window / EMPTY_QUERY_RETRY_DIVISOR;
            request.widenings = 0;
        }
    }

    /// Probes the candidates most likely to be selected if their last load report is stale. Runs once
    /// between two attempts.
    fn probe_before_placement(&mut self, request: &mut Request, candidates: &[ScoredEndpoint]) {
        let may_probe =
            self.settings.probes_allowed && self.settings.load_reporting != LoadReporting::Never;
        if request.probe_deadline.is_some() || !may_probe {
            return;
        }
        let now = self.now;
        let deadline = now + self.probe_wait(request);
        request.probe_deadline = Some(now);
        let mut ranked = Vec::with_capacity(candidates.len());
        for candidate in candidates {
            let rank = candidate.log_weight() + self.rng.gen::<f64>();
            ranked.push((rank, candidate.endpoint));
        }
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, id) in ranked.into_iter().take(MAX_PROBES_PER_PLACEMENT) {
            let Some(endpoint) = self.endpoints.get_mut(&id) else {
                continue;
            };
            let is_stale = endpoint
                .reported_at
                .is_none_or(|at| at + REPORT_FRESHNESS <= now);
            if endpoint.probe_sent_at.is_none() && is_stale {
                endpoint.probe_sent_at = Some(now);
                request.probe_deadline = Some(deadline);
                self.actions.push(Action::Probe { endpoint: id });
            }
        }
    }

    fn awaits_probes(&self, request: &Request) -> bool {
        request
            .probe_deadline
            .is_some_and(|deadline| self.now < deadline)
    }

    /// Returns how long to wait for responses to probes, in microseconds.
    pub(super) fn probe_wait(&self, request: &Request) -> Time {
        ((request.ttft_objective * 1e6 * PROBE_WAIT_SHARE) as Time).max(2 * self.settings.tick)
    }

    /// Applies load shedding and the prefix-cache filter to a request without a KV cache. Returns `None` if
    /// the request is to be shed. All endpoints are queried first, because a request that another endpoint
    /// would serve must not be shed.
    fn shed_or_filter(
        &mut self,
        request: &mut Request,
        mut candidates: Vec<ScoredEndpoint>,
    ) -> Option<Vec<ScoredEndpoint>> {
        if request.kv_endpoint.is_some() {
            return Some(candidates);
        }
        while self.should_shed(request, &candidates) {
            if self.covers_all_endpoints(request) {
                return None;
            }
            request.widenings = u32::MAX;
            candidates = self.score_candidates(request);
        }
        Some(self.prefer_cached_prefix(candidates, request))
    }

    /// Keeps only feasible endpoints in slow start, if there are any and sends to them are drawn at random.
    /// An unused draw would add to the queues of warm endpoints; a budget of whole sends may stay unused.
    fn prefer_sampled_slow_start(&self, request: &Request, candidates: &mut Vec<ScoredEndpoint>) {
        let is_sampled = request.affinity.is_empty() || request.kv_endpoint.is_some();
        if self.dispatcher_count < MIN_DISPATCHERS_FOR_SAMPLED_SLOW_START || !is_sampled {
            return;
        }
        let is_feasible_in_slow_start = |candidate: &ScoredEndpoint| {
            candidate.is_feasible()
                && self.endpoints[&candidate.endpoint].warmup_progress(&self.settings, self.now)
                    < 1.0
        };
        if candidates.iter().any(is_feasible_in_slow_start) {
            candidates.retain(is_feasible_in_slow_start);
        }
    }

    /// Returns the stage that the request's next attempt has at an endpoint.
    fn stage_at(&self, request: &Request, id: EndpointId) -> Stage {
        let is_prefill_endpoint = self
            .endpoints
            .get(&id)
            .is_some_and(|endpoint| endpoint.record.role == Role::Prefill);
        if request.kv_endpoint.is_some() {
            Stage::Decode
        } else if is_prefill_endpoint {
            Stage::Prefill
        } else {
            Stage::Combined
        }
    }

    /// Starts an attempt, unless a rule forbids it.
    pub(super) fn start_attempt(
        &mut self,
        request: &mut Request,
        stage: Stage,
        target: ScoredEndpoint,
    ) {
        let id = request.metadata.id;
        let endpoint_id = target.endpoint;
        let sent_at = self.now;
        let is_allowed = self
            .endpoints
            .get(&endpoint_id)
            .is_some_and(|endpoint| self.may_send(request, endpoint, stage));
        let output_tokens = if stage == Stage::Prefill {
            0.0
        } else {
            self.expected_output_tokens(&request.metadata)
        };
        let kv_tokens = request.metadata.prompt_tokens + output_tokens;
        if !is_allowed {
            return;
        }
        let Some(endpoint) = self.endpoints.get_mut(&endpoint_id) else {
            return;
        };
        if endpoint.warmup_progress(&self.settings, sent_at) < 1.0 {
            endpoint.recent_sends.push_back(sent_at);
        }
        let load = [
            1.0,
            (request.metadata.prompt_tokens - target.cached_tokens) / 1000.0,
            endpoint.memory_share_of(kv_tokens),
        ];
        add_load(&mut endpoint.own_load, &load);
        endpoint.pending.insert(
            (id, request.attempts.len()),
            PendingAttempt {
                sent_at,
                predicted_seconds: target.predicted_seconds,
                class: request.metadata.class,
            },
        );
        self.throughput[stage.pool() as usize].started += 1.0;
        request.widenings = 0;
        // `had_no_effect` starts as false for a prefill too: while the attempt is in flight, nothing proves
        // that it has no effect.
        request.attempts.push(Attempt {
            target,
            stage,
            sent_at,
            load,
            is_in_flight: true,
            ..Attempt::default()
        });
        self.actions.push(Action::StartAttempt {
            id,
            endpoint: endpoint_id,
            timeout: request.response_deadline.saturating_sub(sent_at),
        });
    }
}

/// Returns whether the request waits for an attempt in flight. A request with a KV cache doesn't wait for a
/// second prefill.
fn awaits_attempt(request: &Request) -> bool {
    request.attempts.iter().any(|attempt| {
        attempt.is_in_flight && (attempt.stage != Stage::Prefill || request.kv_endpoint.is_none())
    })
}
