//! A small fleet for tests of the module: settings, servers, requests, and shorthand for events.
#![allow(dead_code)]

use quartzhall::routing::api::*;
use quartzhall::routing::Router;

pub const MS: Time = 1_000;
pub const SECOND: Time = 1_000_000;

pub fn class(worth: f64, effect: Effect) -> Class {
    Class {
        aim: SECOND,
        aim_per_1000_tokens: 40 * MS,
        token_aim: 60 * MS,
        worth,
        effect,
        open: true,
    }
}

pub fn settings(classes: Vec<Class>) -> Settings {
    Settings {
        balancers: 2,
        zone: 0,
        classes,
        tenants: vec![],
        over_share_worth: 0.1,
        reports: Reports::WithAnswers,
        must_watch: false,
        may_probe: false,
        may_cancel: true,
        second_copies: true,
        max_retry_after: 500 * MS,
        max_attempts: 5,
        tick: 2 * MS,
        answer_slack: 8 * MS,
        drain_grace: 500 * MS,
        release_within: 500 * MS,
        cold_from: 0.3,
        warm_within: 10 * SECOND,
        fall_multiple: 2.5,
        fall: SECOND,
        cross_zone_price: 0.01,
        far_price: 0.02,
    }
}

pub fn server(server: ServerId, role: Role) -> Entry {
    Entry {
        server,
        key: server.into(),
        role,
        memory: 200_000.0,
        zone: 0,
        cell: 0,
        state: State::Ready,
        started: None,
    }
}

pub fn ask(id: RequestId, session: u64) -> Ask {
    Ask {
        id,
        session: Some(session),
        expires_in: 4 * SECOND,
        prompt: 2_000.0,
        max_tokens: 300.0,
        ..Ask::default()
    }
}

/// A router and what it did last.
pub struct Desk {
    pub router: Router,
    pub now: Time,
}

impl Desk {
    pub fn new(settings: Settings, servers: Vec<Entry>) -> Self {
        Desk::seeded(settings, servers, 7)
    }

    /// One of several routers that share the servers.
    pub fn seeded(settings: Settings, servers: Vec<Entry>, seed: u64) -> Self {
        let mut desk = Desk {
            router: Router::new(settings, seed, 0),
            now: 0,
        };
        desk.hear(Event::Wake);
        desk.hear(Event::Members {
            complete: true,
            entries: servers,
        });
        desk
    }

    pub fn hear(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions.retain(|action| !matches!(action, Action::Wake { .. }));
        actions
    }

    pub fn ask(&mut self, ask: Ask) -> Vec<Action> {
        self.hear(Event::Request(ask))
    }

    /// Lets time pass in small steps and collects what is done meanwhile.
    pub fn pass(&mut self, time: Time) -> Vec<Action> {
        let end = self.now + time;
        let mut all = Vec::new();
        while self.now < end {
            self.now = (self.now + 2 * MS).min(end);
            all.extend(self.hear(Event::Wake));
        }
        all
    }

    pub fn outcome(
        &mut self,
        id: RequestId,
        attempt: u32,
        server: ServerId,
        status: Status,
    ) -> Vec<Action> {
        self.outcome_with(id, attempt, server, status, 0.0)
    }

    pub fn outcome_with(
        &mut self,
        id: RequestId,
        attempt: u32,
        server: ServerId,
        status: Status,
        note: f64,
    ) -> Vec<Action> {
        let closed = status == Status::Ok;
        self.hear(Event::Outcome {
            id,
            attempt,
            server,
            status,
            closed,
            note,
            load: None,
        })
    }

    /// Serves a request from start to end with these times, whatever servers are chosen; tells which.
    pub fn serve(&mut self, ask: Ask, read: Time, wait: Time, stream: Time) -> Vec<ServerId> {
        self.serve_by(ask, |_| read, 0.0, wait, stream)
    }

    /// The same with a time to read that the reader settles, and with tokens found kept.
    pub fn serve_by(
        &mut self,
        ask: Ask,
        read: impl Fn(ServerId) -> Time,
        kept: f64,
        wait: Time,
        stream: Time,
    ) -> Vec<ServerId> {
        let id = ask.id;
        let actions = self.ask(ask);
        let Some(reader) = sent_to(&actions, id) else {
            return vec![];
        };
        self.pass(read(reader));
        let actions = self.outcome_with(id, 0, reader, Status::Read, kept);
        let Some(Action::Send { server: writer, .. }) = actions
            .iter()
            .find(|action| matches!(action, Action::Send { .. }))
        else {
            return vec![reader];
        };
        self.pass(wait);
        self.hear(Event::First { id, attempt: 1 });
        self.pass(stream);
        self.outcome(id, 1, *writer, Status::Ok);
        vec![reader, *writer]
    }
}

/// Where a request was sent by these actions.
pub fn sent_to(actions: &[Action], id: RequestId) -> Option<ServerId> {
    actions.iter().find_map(|action| match action {
        Action::Send {
            id: sent, server, ..
        } if *sent == id => Some(*server),
        _ => None,
    })
}

pub fn finals(actions: &[Action], of: RequestId) -> usize {
    let ends = |action: &&Action| match action {
        Action::Refuse { id, .. } | Action::Fail { id, .. } => *id == of,
        _ => false,
    };
    actions.iter().filter(ends).count()
}
