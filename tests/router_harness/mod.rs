//! Test harness for the routing module: settings, endpoints and requests of a small fleet, and a router with a
//! simulated clock.
#![allow(dead_code)]

use quartzhall::routing::api::*;
use quartzhall::routing::Router;

/// Microseconds in a millisecond.
pub(crate) const MS: Time = 1_000;
/// Microseconds in a second.
pub(crate) const SECOND: Time = 1_000_000;

/// Returns a class whose time to first token (TTFT) objective is 1 s, plus 40 ms for each 1,000 prompt tokens.
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

/// Returns the settings of one of two routers in zone 0. Requests may be hedged and cancelled, and have up to five
/// attempts. A reservation lasts 500 ms, slow start 10 s.
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

/// Returns a ready endpoint in zone 0 and cell 0 that is past its slow start and has KV cache for 200,000
/// tokens.
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

/// Returns a request of the first class with a prompt of 2,000 tokens and 4 s until its deadline.
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

/// A router and its simulated clock.
pub(crate) struct RouterHarness {
    pub router: Router,
    pub now: Time,
}

impl RouterHarness {
    /// Creates a router with seed 7 at time 0.
    pub(crate) fn new(settings: RoutingSettings, endpoints: Vec<EndpointRecord>) -> Self {
        RouterHarness::seeded(settings, endpoints, 7)
    }

    /// Creates a router with its own seed, as one of several that share the endpoints.
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

    /// Handles an event and returns the actions except timers.
    pub(crate) fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions.retain(|action| !matches!(action, Action::SetTimer { .. }));
        actions
    }

    pub(crate) fn submit(&mut self, request: RequestMetadata) -> Vec<Action> {
        self.handle(Event::RequestArrived(request))
    }

    /// Advances the clock by `duration` microseconds in steps of 2 ms, of which the last may be shorter. Fires the
    /// timer after each step, due or not, and returns all actions except timers.
    pub(crate) fn advance(&mut self, duration: Time) -> Vec<Action> {
        let end = self.now + duration;
        let mut actions = Vec::new();
        while self.now < end {
            self.now = (self.now + 2 * MS).min(end);
            actions.extend(self.handle(Event::TimerFired));
        }
        actions
    }

    /// Does the same as [`Self::end_attempt_with_cached_tokens`] with no cached tokens.
    pub(crate) fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: u32,
        endpoint_id: EndpointId,
        status: AttemptStatus,
    ) -> Vec<Action> {
        self.end_attempt_with_cached_tokens(id, attempt, endpoint_id, status, 0.0)
    }

    /// Delivers the end of an attempt, without a load report. The status `Served` also closes the request.
    pub(crate) fn end_attempt_with_cached_tokens(
        &mut self,
        id: RequestId,
        attempt: u32,
        endpoint_id: EndpointId,
        status: AttemptStatus,
        cached_tokens: f64,
    ) -> Vec<Action> {
        let is_served = status == AttemptStatus::Served;
        self.handle(Event::AttemptEnded {
            id,
            attempt,
            endpoint: endpoint_id,
            status,
            request_closed: is_served,
            cached_tokens,
            load: None,
        })
    }

    /// Serves a request on the endpoints that the router selects and returns those endpoints: prefill, then decode.
    /// The list is shorter if the router starts no attempt. `prefill_time` is the length of the prefill attempt,
    /// `first_token_delay` the time from the start of the decode attempt to its first event, and `stream_time` the
    /// time from there to its end.
    pub(crate) fn serve(
        &mut self,
        request: RequestMetadata,
        prefill_time: Time,
        first_token_delay: Time,
        stream_time: Time,
    ) -> Vec<EndpointId> {
        self.serve_with(
            request,
            |_| prefill_time,
            0.0,
            first_token_delay,
            stream_time,
        )
    }

    /// Does the same as [`Self::serve`], with a prefill time that depends on the prefill endpoint, and with
    /// `cached_tokens` of the prompt found in its prefix cache.
    pub(crate) fn serve_with(
        &mut self,
        request: RequestMetadata,
        prefill_time: impl Fn(EndpointId) -> Time,
        cached_tokens: f64,
        first_token_delay: Time,
        stream_time: Time,
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
        self.advance(first_token_delay);
        self.handle(Event::FirstEvent { id, attempt: 1 });
        self.advance(stream_time);
        self.end_attempt(id, 1, *decode, AttemptStatus::Served);
        vec![prefill, *decode]
    }
}

/// Returns the endpoint of the first attempt that `actions` start for a request; `None` if they start none.
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

/// Counts the final responses to a request in `actions`.
pub(crate) fn count_final_responses(actions: &[Action], request_id: RequestId) -> usize {
    let is_final_response = |action: &&Action| match action {
        Action::Shed { id, .. } | Action::Fail { id, .. } => *id == request_id,
        _ => false,
    };
    actions.iter().filter(is_final_response).count()
}

/// Returns four prefill endpoints, 1 to 4, and three decode endpoints, 11 to 13.
pub(crate) fn fleet() -> Vec<EndpointRecord> {
    let prefill_endpoints = (1..=4).map(|id| endpoint(id, Role::Prefill));
    prefill_endpoints
        .chain((11..=13).map(|id| endpoint(id, Role::Decode)))
        .collect()
}

/// Returns a new router with the endpoints of [`fleet`] and two classes of idempotent requests, of weight 3 and 1.
pub(crate) fn harness() -> RouterHarness {
    RouterHarness::new(
        settings(vec![
            class(3.0, Idempotency::Idempotent),
            class(1.0, Idempotency::Idempotent),
        ]),
        fleet(),
    )
}

/// Returns a router that has served 80 requests one after another, each with a stream of `stream_time`
/// microseconds.
pub(crate) fn harness_after_serving(
    settings: RoutingSettings,
    endpoints: Vec<EndpointRecord>,
    stream_time: Time,
) -> RouterHarness {
    let mut harness = RouterHarness::new(settings, endpoints);
    for id in 0..80 {
        harness.serve(request(id, id), 40 * MS, 30 * MS, stream_time);
    }
    harness
}

/// Returns the router of [`harness`] after it has served 80 requests one after another, each on a prefill and a
/// decode endpoint, and has then been idle for 2 s.
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

/// Returns one prefill endpoint, 1, and one decode endpoint, 2.
pub(crate) fn prefill_and_decode() -> Vec<EndpointRecord> {
    vec![endpoint(1, Role::Prefill), endpoint(2, Role::Decode)]
}

/// Returns a new router with these endpoints and a single class.
pub(crate) fn harness_with(
    idempotency: Idempotency,
    endpoints: Vec<EndpointRecord>,
) -> RouterHarness {
    RouterHarness::new(settings(vec![class(1.0, idempotency)]), endpoints)
}
