//! A small fleet for tests of the module: settings, endpoints, requests, and shorthand for events.
#![allow(dead_code)]

use quartzhall::routing::api::*;
use quartzhall::routing::Router;

pub(crate) const MS: Time = 1_000;
pub(crate) const SECOND: Time = 1_000_000;

pub(crate) fn class(weight: f64, idempotency: Idempotency) -> RequestClass {
    RequestClass {
        ttft_objective: SECOND,
        ttft_objective_per_1000_tokens: 40 * MS,
        inter_token_objective: 60 * MS,
        priority_weight: weight,
        idempotency,
        is_active: true,
    }
}

pub(crate) fn settings(classes: Vec<RequestClass>) -> RoutingSettings {
    RoutingSettings {
        dispatchers: 2,
        zone: 0,
        classes,
        tenants: vec![],
        over_quota_weight: 0.1,
        load_reporting: LoadReporting::WithResponses,
        must_poll_endpoints: false,
        probes_allowed: false,
        cancellation_allowed: true,
        hedging_allowed: true,
        max_retry_after: 500 * MS,
        max_attempts: 5,
        tick: 2 * MS,
        response_slack: 8 * MS,
        drain_grace: 500 * MS,
        reservation_ttl: 500 * MS,
        slow_start_initial_share: 0.3,
        slow_start_duration: 10 * SECOND,
        overload_threshold: 2.5,
        overload_window: SECOND,
        cross_zone_cost: 0.01,
        kv_transfer_cost: 0.02,
    }
}

pub(crate) fn endpoint(endpoint_id: EndpointId, role: Role) -> EndpointRecord {
    EndpointRecord {
        endpoint: endpoint_id,
        key: endpoint_id.into(),
        role,
        kv_capacity_tokens: 200_000.0,
        zone: 0,
        cell: 0,
        status: EndpointStatus::Ready,
        started_at: None,
    }
}

pub(crate) fn request(id: RequestId, session: u64) -> RequestMetadata {
    RequestMetadata {
        id,
        session: Some(session),
        time_left: 4 * SECOND,
        prompt_tokens: 2_000.0,
        max_output_tokens: 300.0,
        ..RequestMetadata::default()
    }
}

/// A router and its clock.
pub(crate) struct RouterHarness {
    pub router: Router,
    pub now: Time,
}

impl RouterHarness {
    pub(crate) fn new(settings: RoutingSettings, endpoints: Vec<EndpointRecord>) -> Self {
        RouterHarness::seeded(settings, endpoints, 7)
    }

    /// One of several routers that share the endpoints.
    pub(crate) fn seeded(
        settings: RoutingSettings,
        endpoints: Vec<EndpointRecord>,
        seed: u64,
    ) -> Self {
        let mut harness = RouterHarness {
            router: Router::new(settings, seed, 0),
            now: 0,
        };
        harness.handle(Event::TimerFired);
        harness.handle(Event::EndpointsChanged {
            is_full: true,
            endpoints,
        });
        harness
    }

    /// Handles an event and returns the actions, but for timers.
    pub(crate) fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions.retain(|action| !matches!(action, Action::SetTimer { .. }));
        actions
    }

    pub(crate) fn submit(&mut self, request: RequestMetadata) -> Vec<Action> {
        self.handle(Event::RequestArrived(request))
    }

    /// Advances the clock in small steps and collects the actions.
    pub(crate) fn advance(&mut self, time: Time) -> Vec<Action> {
        let end = self.now + time;
        let mut all = Vec::new();
        while self.now < end {
            self.now = (self.now + 2 * MS).min(end);
            all.extend(self.handle(Event::TimerFired));
        }
        all
    }

    pub(crate) fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: u32,
        endpoint_id: EndpointId,
        status: AttemptStatus,
    ) -> Vec<Action> {
        self.end_attempt_with_cached_tokens(id, attempt, endpoint_id, status, 0.0)
    }

    pub(crate) fn end_attempt_with_cached_tokens(
        &mut self,
        id: RequestId,
        attempt: u32,
        endpoint_id: EndpointId,
        status: AttemptStatus,
        cached_tokens: f64,
    ) -> Vec<Action> {
        let closed = status == AttemptStatus::Served;
        self.handle(Event::AttemptEnded {
            id,
            attempt,
            endpoint: endpoint_id,
            status,
            request_closed: closed,
            cached_tokens,
            load: None,
        })
    }

    /// Serves a request from start to end with these times, wherever it is sent; returns the endpoints.
    pub(crate) fn serve(
        &mut self,
        request: RequestMetadata,
        prefill_time: Time,
        wait: Time,
        stream: Time,
    ) -> Vec<EndpointId> {
        self.serve_with(request, |_| prefill_time, 0.0, wait, stream)
    }

    /// The same with a prefill time that depends on the endpoint, and with prompt tokens that were found
    /// cached.
    pub(crate) fn serve_with(
        &mut self,
        request: RequestMetadata,
        prefill_time: impl Fn(EndpointId) -> Time,
        cached_tokens: f64,
        wait: Time,
        stream: Time,
    ) -> Vec<EndpointId> {
        let id = request.id;
        let actions = self.submit(request);
        let Some(prefill) = started_endpoint(&actions, id) else {
            return vec![];
        };
        self.advance(prefill_time(prefill));
        let actions = self.end_attempt_with_cached_tokens(
            id,
            0,
            prefill,
            AttemptStatus::PrefillDone,
            cached_tokens,
        );
        let Some(Action::StartAttempt {
            endpoint: decode, ..
        }) = actions
            .iter()
            .find(|action| matches!(action, Action::StartAttempt { .. }))
        else {
            return vec![prefill];
        };
        self.advance(wait);
        self.handle(Event::FirstEvent { id, attempt: 1 });
        self.advance(stream);
        self.end_attempt(id, 1, *decode, AttemptStatus::Served);
        vec![prefill, *decode]
    }
}

/// The endpoint to which these actions send a request.
pub(crate) fn started_endpoint(actions: &[Action], id: RequestId) -> Option<EndpointId> {
    actions.iter().find_map(|action| match action {
        Action::StartAttempt {
            id: sent,
            endpoint: endpoint_id,
            ..
        } if *sent == id => Some(*endpoint_id),
        _ => None,
    })
}

/// How many final responses these actions give to a request.
pub(crate) fn count_final_responses(actions: &[Action], of: RequestId) -> usize {
    let ends = |action: &&Action| match action {
        Action::Shed { id, .. } | Action::Fail { id, .. } => *id == of,
        _ => false,
    };
    actions.iter().filter(ends).count()
}

/// Four prefill and three decode endpoints.
pub(crate) fn fleet() -> Vec<EndpointRecord> {
    let prefill_endpoints = (1..=4).map(|id| endpoint(id, Role::Prefill));
    prefill_endpoints
        .chain((11..=13).map(|id| endpoint(id, Role::Decode)))
        .collect()
}

pub(crate) fn harness() -> RouterHarness {
    RouterHarness::new(
        settings(vec![
            class(3.0, Idempotency::Idempotent),
            class(1.0, Idempotency::Idempotent),
        ]),
        fleet(),
    )
}

/// A router that has served 80 requests one after another, with streams of this duration.
pub(crate) fn harness_after_serving(
    settings: RoutingSettings,
    endpoints: Vec<EndpointRecord>,
    stream: Time,
) -> RouterHarness {
    let mut harness = RouterHarness::new(settings, endpoints);
    for id in 0..80 {
        harness.serve(request(id, id), 40 * MS, 30 * MS, stream);
    }
    harness
}

/// A router that has learned from 80 requests and is idle.
pub(crate) fn trained_harness() -> RouterHarness {
    let mut harness = harness();
    for id in 0..80 {
        assert_eq!(
            harness
                .serve(request(id, id), 40 * MS, 30 * MS, 50 * MS)
                .len(),
            2
        );
    }
    harness.advance(2 * SECOND);
    harness
}

/// A prefill and a decode endpoint.
pub(crate) fn prefill_and_decode() -> Vec<EndpointRecord> {
    vec![endpoint(1, Role::Prefill), endpoint(2, Role::Decode)]
}

pub(crate) fn harness_with(
    idempotency: Idempotency,
    endpoints: Vec<EndpointRecord>,
) -> RouterHarness {
    RouterHarness::new(settings(vec![class(1.0, idempotency)]), endpoints)
}
