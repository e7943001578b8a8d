//! A small fleet for tests of the module: settings, servers, requests, and shorthand for events.
#![allow(dead_code)]

use quartzhall::routing::api::*;
use quartzhall::routing::Router;

pub const MS: Time = 1_000;
pub const SECOND: Time = 1_000_000;

pub fn class(worth: f64, effect: Idempotency) -> RequestClass {
    RequestClass {
        ttft_objective: SECOND,
        ttft_objective_per_1000_tokens: 40 * MS,
        inter_token_objective: 60 * MS,
        priority_weight: worth,
        idempotency: effect,
        is_active: true,
    }
}

pub fn settings(classes: Vec<RequestClass>) -> RoutingSettings {
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

pub fn server(server: EndpointId, role: Role) -> EndpointRecord {
    EndpointRecord {
        endpoint: server,
        key: server.into(),
        role,
        kv_capacity_tokens: 200_000.0,
        zone: 0,
        cell: 0,
        status: EndpointStatus::Ready,
        started_at: None,
    }
}

pub fn ask(id: RequestId, session: u64) -> RequestMetadata {
    RequestMetadata {
        id,
        session: Some(session),
        time_left: 4 * SECOND,
        prompt_tokens: 2_000.0,
        max_output_tokens: 300.0,
        ..RequestMetadata::default()
    }
}

/// A router and what it did last.
pub struct RouterHarness {
    pub router: Router,
    pub now: Time,
}

impl RouterHarness {
    pub fn new(settings: RoutingSettings, servers: Vec<EndpointRecord>) -> Self {
        RouterHarness::seeded(settings, servers, 7)
    }

    /// One of several routers that share the servers.
    pub fn seeded(settings: RoutingSettings, servers: Vec<EndpointRecord>, seed: u64) -> Self {
        let mut desk = RouterHarness {
            router: Router::new(settings, seed, 0),
            now: 0,
        };
        desk.hear(Event::TimerFired);
        desk.hear(Event::EndpointsChanged {
            is_full: true,
            endpoints: servers,
        });
        desk
    }

    pub fn hear(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions.retain(|action| !matches!(action, Action::SetTimer { .. }));
        actions
    }

    pub fn ask(&mut self, ask: RequestMetadata) -> Vec<Action> {
        self.hear(Event::RequestArrived(ask))
    }

    /// Lets time pass in small steps and collects what is done meanwhile.
    pub fn pass(&mut self, time: Time) -> Vec<Action> {
        let end = self.now + time;
        let mut all = Vec::new();
        while self.now < end {
            self.now = (self.now + 2 * MS).min(end);
            all.extend(self.hear(Event::TimerFired));
        }
        all
    }

    pub fn outcome(
        &mut self,
        id: RequestId,
        attempt: u32,
        server: EndpointId,
        status: AttemptStatus,
    ) -> Vec<Action> {
        self.outcome_with(id, attempt, server, status, 0.0)
    }

    pub fn outcome_with(
        &mut self,
        id: RequestId,
        attempt: u32,
        server: EndpointId,
        status: AttemptStatus,
        cached_tokens: f64,
    ) -> Vec<Action> {
        let closed = status == AttemptStatus::Served;
        self.hear(Event::AttemptEnded {
            id,
            attempt,
            endpoint: server,
            status,
            request_closed: closed,
            cached_tokens,
            load: None,
        })
    }

    /// Serves a request from start to end with these times, whatever servers are chosen; tells which.
    pub fn serve(
        &mut self,
        ask: RequestMetadata,
        read: Time,
        wait: Time,
        stream: Time,
    ) -> Vec<EndpointId> {
        self.serve_by(ask, |_| read, 0.0, wait, stream)
    }

    /// The same with a time to read that the reader settles, and with tokens found kept.
    pub fn serve_by(
        &mut self,
        ask: RequestMetadata,
        read: impl Fn(EndpointId) -> Time,
        kept: f64,
        wait: Time,
        stream: Time,
    ) -> Vec<EndpointId> {
        let id = ask.id;
        let actions = self.ask(ask);
        let Some(reader) = sent_to(&actions, id) else {
            return vec![];
        };
        self.pass(read(reader));
        let actions = self.outcome_with(id, 0, reader, AttemptStatus::PrefillDone, kept);
        let Some(Action::StartAttempt {
            endpoint: writer, ..
        }) = actions
            .iter()
            .find(|action| matches!(action, Action::StartAttempt { .. }))
        else {
            return vec![reader];
        };
        self.pass(wait);
        self.hear(Event::FirstEvent { id, attempt: 1 });
        self.pass(stream);
        self.outcome(id, 1, *writer, AttemptStatus::Served);
        vec![reader, *writer]
    }
}

/// Where a request was sent by these actions.
pub fn sent_to(actions: &[Action], id: RequestId) -> Option<EndpointId> {
    actions.iter().find_map(|action| match action {
        Action::StartAttempt {
            id: sent,
            endpoint: server,
            ..
        } if *sent == id => Some(*server),
        _ => None,
    })
}

pub fn finals(actions: &[Action], of: RequestId) -> usize {
    let ends = |action: &&Action| match action {
        Action::Shed { id, .. } | Action::Fail { id, .. } => *id == of,
        _ => false,
    };
    actions.iter().filter(ends).count()
}
