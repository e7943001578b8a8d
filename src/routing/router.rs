//! Every decision of a router. The interface (types, settings, events, actions) is in `src/api.rs`.
//! A request goes to a reader, waits there as a read state, and goes on to a writer. `place` chooses where,
//! `act` is the one way out and holds the rules, `outcome` learns. Seconds are `f64`, moments `Time`.

mod decode;
mod latency_model;
mod load_shedding;
mod prefill;
mod selection;
mod slow_start;
mod tracked_endpoint;

use crate::routing::api::*;
use crate::routing::candidate_index::{mix, CandidateIndex, Side};
use crate::routing::prefix_cache_index::PrefixCacheIndex;
use crate::routing::token_bucket::TokenBucket;
use latency_model::{Inputs, Model, COVARIANCE};
use nalgebra::SMatrix;
use prefill::HOME_MATCH;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use selection::Choice;
use std::collections::{BTreeMap, BTreeSet};
use tracked_endpoint::{add, Counts, TrackedEndpoint, REQUESTS};

// Tuned values: parts and multiples of aims, rules and observed times, none of them a site's figure.
const REFIT: Time = 1_000_000; // failures fade, lots are drawn
const FIT: f64 = 0.6; // a server fits when its chance to meet the aims is above this
const EASY: f64 = 0.9; // the warm filter opens only towards a reader whose chance is above this
const NEWEST: f64 = 0.11; // weight of the newest value in corrections, failure shares and means
const FEW: f64 = 10.0; // routers whose own part of a cold server's ration is whole sends
const FRESH: Time = 1_000_000; // a report younger than this needs no probe
const ASKED: usize = 2; // servers asked for their load before a choice ...
const ASKING_PART: f64 = 0.01; // ... and the part of the aim in which they are to answer
const OVERDUE_SPREADS: f64 = 3.0; // an attempt is overdue so many spreads after its prediction ...
const OVERDUE_MULTIPLE: f64 = 1.5; // ... and after this multiple of it
const SPARE_PER_REQUEST: f64 = 0.10; // second copies and moves that a request pays for ...
const SPARE_MOST: f64 = 5.0; // ... and the most that are saved up
const ANSWER_PART: f64 = 0.33; // tokens of an answer as part of the most allowed, where no hint tells
const ROOM: f64 = 0.5; // part of a reader's memory that the texts noted for it may fill
const KEPT_AIMS: Time = 60; // the prefix table forgets a text after so many of the shortest aims
const HELD_PART: f64 = 0.8; // part of the time that a state may be held in which a writer is looked for
fn seconds(time: Time) -> f64 {
    time as f64 / 1e6
}

/// The least of an aim over the classes that are in use.
fn least(settings: &RoutingSettings, of: fn(&RequestClass) -> Time) -> Time {
    settings
        .classes
        .iter()
        .filter(|it| it.is_active)
        .map(of)
        .filter(|it| *it > 0)
        .min()
        .unwrap_or(REFIT)
}

fn blend(value: &mut f64, new: f64) {
    *value += NEWEST * (new - *value);
}

#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    Read,
    Write,
    MigratingStream,
}

// The place of each side's model, its counts and its work; last the pace's model.
const READ: usize = Side::Read as usize;
const WRITE: usize = Side::Write as usize;
const PACE: usize = 2;
const TOKENS: usize = 2; // the input of the readers' model that tells the tokens left to read

const FINISHED: usize = 0; // reads and first tokens seen ...
const BORNE: usize = 1; // ... those at one warm server, on the mean ...
const STARTED: usize = 2; // ... and what was sent

fn side(stage: Stage) -> Side {
    Side::of(stage == Stage::Write)
}

#[derive(Default)]
struct Attempt {
    choice: Choice,
    stage: Stage,
    sent: Time,
    work: Counts,
    out: bool,
    harmless: bool, // it ended without effect: reading has none, and some outcomes prove that it never ran
    first_at: Option<Time>,
    check_at: Time, // it was found overdue, and is looked at again then
}

#[derive(Default)]
struct Request {
    ask: RequestMetadata,
    end_at: Time, // the last moment for a final answer: a little before the client's time is up
    aim: f64,     // seconds that its class has for the first token
    aim_at: Time,
    worth: f64,
    homes: BTreeMap<EndpointId, f64>, // readers that are presumed to keep some of its prompt, and how much
    attempts: Vec<Attempt>,
    state_at: Option<EndpointId>, // the reader that holds its state, and since when no attempt was out
    held_since: Time,
    answered: bool,
    begun: bool,
    may_hold: bool,      // some state may be held for it somewhere
    asked: Option<Time>, // servers were asked for their load; when their answers are due
    due: Time,
    retry_at: Time,
    widened: u32, // how often its look for servers was
}

impl Request {
    fn out(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.out)
    }
}

/// The decisions of one router. Tell it [`Event::TimerFired`] after `new`, and at each time that it asks for.
pub struct Router {
    settings: RoutingSettings,
    share: f64, // routers that share the servers
    rng: Pcg32,
    now: Time,
    out: Vec<Action>,
    servers: BTreeMap<EndpointId, TrackedEndpoint>,
    candidates: CandidateIndex,
    prefixes: PrefixCacheIndex,
    requests: BTreeMap<RequestId, Request>,
    due: BTreeSet<(Time, RequestId)>,
    models: [Model; 3], // time to 'read' at readers, wait for the first token at writers, time per token
    pause: Time,        // the first of a server that is set aside: the shortest aim
    next_refit: Time,
    wake_at: Option<Time>,
    ends_at: Time, // this router ends, and no request lasts longer
    watching: bool,
    usual: f64,
    spare: f64,               // second copies and moves that may be made
    home_match: Vec<f64>, // per class: part of a prompt that its session's home was found to keep
    usual_load: [Counts; 2], // told by servers that write, and by readers
    quotas: Vec<TokenBucket>, // per tenant: this router's part
    flow: [[f64; 2]; 3],  // by side, fading at each refit: FINISHED, BORNE, STARTED
    salt: u64,
}

impl Router {
    /// A router as it starts: it knows nothing but its settings. `seed` settles all its draws.
    pub fn new(settings: RoutingSettings, seed: u64, now: Time) -> Self {
        let share = f64::from(settings.dispatchers.max(1));
        // Priors, from the aims: reading takes some of what the aim adds for it, waits a little of the aim.
        let pause = least(&settings, |it| it.ttft_objective);
        let (aim, pace) = (
            seconds(pause),
            seconds(least(&settings, |it| it.inter_token_objective)),
        );
        let read =
            1.5 * seconds(least(&settings, |it| it.ttft_objective_per_1000_tokens)).min(0.05 * aim);
        let covariance = SMatrix::identity() * COVARIANCE;
        let prior = |weights, mean| Model {
            weights,
            covariance,
            samples: 0,
            mean,
            spread: mean,
        };
        let models = [
            prior(
                Inputs::new(0.02 * aim, 0.1 * aim, read, 0.02 * aim, read),
                0.1 * aim,
            ),
            prior(
                Inputs::new(0.02 * aim, 0.005 * aim, 0.1 * aim, 0.2 * read, 0.1 * read),
                0.05 * aim,
            ),
            prior(
                Inputs::new(0.3 * pace, 0.03 * pace, 0.2 * pace, 0.0, 0.0),
                0.2 * pace,
            ),
        ];
        Router {
            quotas: settings
                .tenants
                .iter()
                .map(|it| TokenBucket::new(it.requests_per_second / share, now))
                .collect(),
            home_match: vec![HOME_MATCH; settings.classes.len()],
            settings,
            share,
            pause,
            rng: Pcg32::seed_from_u64(seed),
            now,
            out: Vec::new(),
            servers: BTreeMap::new(),
            candidates: CandidateIndex::default(),
            prefixes: PrefixCacheIndex::default(),
            requests: BTreeMap::new(),
            due: BTreeSet::new(),
            models,
            next_refit: now,
            wake_at: None,
            ends_at: Time::MAX,
            watching: false,
            usual: 0.0,
            spare: SPARE_MOST,
            usual_load: Default::default(),
            flow: Default::default(),
            salt: mix(seed, 0),
        }
    }

    /// Looks at all servers in fleets of up to so many, and in larger ones at some: for comparisons.
    pub fn look_at_all_up_to(&mut self, servers: usize) {
        self.candidates.look_at_all_up_to(servers);
    }

    /// Hears one event and appends what is to be done.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.now = now.max(self.now);
        self.candidates.advance_to(self.now);
        match event {
            Event::EndpointsChanged {
                is_full: complete,
                endpoints: entries,
            } => self.members(complete, entries),
            Event::SettingsChanged(settings) => self.changed(settings),
            Event::ShutdownDeadline(at) => {
                self.ends_at = at;
                let ids: Vec<RequestId> = self.requests.keys().copied().collect();
                ids.into_iter()
                    .for_each(|id| self.with(id, |_, it| it.end_at = it.end_at.min(at)));
            }
            Event::EndpointListFailed => self.watching = false,
            Event::RequestArrived(ask) => self.arrive(ask),
            Event::FirstEvent { id, attempt } => {
                self.with(id, |it, request| it.first(request, attempt as usize))
            }
            Event::AttemptEnded {
                id,
                attempt,
                endpoint: server,
                status,
                request_closed: closed,
                cached_tokens,
                load,
            } => {
                self.told_load(server, load);
                self.with(id, |it, request| {
                    it.outcome(request, attempt as usize, status, closed, cached_tokens)
                });
            }
            Event::PeerLoadReport {
                endpoint: server,
                load,
            } => {
                self.told_load(server, load);
                if let Some(server) = self.servers.get_mut(&server).filter(|_| load.is_none()) {
                    let all = 0..self.settings.classes.len();
                    all.for_each(|class| blend(&mut server.health_mut(class).failing, 1.0));
                }
            }
            Event::ClientDisconnected { id } => self.with(id, |it, request| {
                request.answered = true;
                it.cancel_all(request, |_| true);
            }),
            Event::ProbeCompleted {
                endpoint: server,
                is_healthy: ok,
                load,
            } => {
                self.told_load(server, load);
                self.servers
                    .entry(server)
                    .and_modify(|server| server.asked_at = None);
                if !ok {
                    self.blame(server, None, true);
                }
            }
            Event::TimerFired => self.wake_at = self.wake_at.filter(|at| *at > self.now),
        }
        while let Some((_, id)) = self
            .due
            .first()
            .copied()
            .filter(|(due, _)| *due <= self.now)
        {
            self.with(id, Self::look_at);
        }
        if self.now >= self.next_refit {
            self.refit();
        }
        let next = self
            .due
            .first()
            .map_or(Time::MAX, |(due, _)| *due)
            .min(self.next_refit);
        if self.wake_at.is_none_or(|at| next < at) {
            self.wake_at = Some(next);
            self.out.push(Action::SetTimer { at: next });
        }
        out.append(&mut self.out);
    }

    /// Does something with a request, then sets when it is due next.
    fn with(&mut self, id: RequestId, act: impl FnOnce(&mut Self, &mut Request)) {
        let Some(mut request) = self.requests.remove(&id) else {
            return;
        };
        self.due.remove(&(request.due, id));
        act(self, &mut request);
        let over = request.answered && !request.out();
        if over && request.may_hold {
            self.act(&mut request, Action::ReleaseReservation { id });
        }
        if !over {
            request.due = self.due_at(&request).max(self.now + 1);
            self.due.insert((request.due, id));
            self.requests.insert(id, request);
        }
    }

    fn members(&mut self, complete: bool, entries: Vec<EndpointRecord>) {
        self.servers
            .values_mut()
            .take_while(|_| complete)
            .for_each(|it| it.entry.status = EndpointStatus::Removed);
        for entry in entries {
            let mut old = self.servers.remove(&entry.endpoint).unwrap_or_default();
            if old.entry.started_at != entry.started_at {
                // A restarted server is a new one, but for what this router still has out there.
                old = TrackedEndpoint {
                    own: old.own,
                    waiting: old.waiting,
                    sent: old.sent,
                    ..TrackedEndpoint::default()
                };
                self.prefixes.forget_endpoint(entry.endpoint);
            }
            self.candidates
                .update(self.now, &entry, self.settings.slow_start_duration);
            self.servers
                .insert(entry.endpoint, TrackedEndpoint { entry, ..old });
        }
        if complete {
            self.list_all();
        }
    }

    fn list_all(&mut self) {
        let (now, warm_within) = (self.now, self.settings.slow_start_duration);
        self.servers
            .values()
            .for_each(|it| self.candidates.update(now, &it.entry, warm_within));
    }

    /// New settings; what was learned stays. Requests under way have their class by its number.
    fn changed(&mut self, settings: RoutingSettings) {
        self.share = f64::from(settings.dispatchers.max(1));
        self.pause = least(&settings, |it| it.ttft_objective);
        self.home_match.resize(settings.classes.len(), HOME_MATCH);
        self.quotas
            .resize(settings.tenants.len(), TokenBucket::new(0.0, self.now));
        let quotas = self.quotas.iter_mut().zip(&settings.tenants);
        quotas.for_each(|(quota, tenant)| quota.set_rate(tenant.requests_per_second / self.share));
        self.settings = settings;
        self.list_all();
    }

    fn told_load(&mut self, id: EndpointId, load: Option<LoadReport>) {
        let (Some(server), Some(load)) = (self.servers.get_mut(&id), load) else {
            return;
        };
        let told = [
            load.in_flight,
            load.pending_prefill_kilotokens,
            load.kv_memory_share,
        ];
        server.told = told.map(|told| told.filter(|it| (0.0..1e6).contains(it)));
        (server.told_at, server.own_then) = (Some(self.now), server.own);
        let usual = &mut self.usual_load[usize::from(server.entry.role == Role::Prefill)];
        let told = usual.iter_mut().zip(server.told);
        told.for_each(|(usual, told)| blend(usual, told.unwrap_or(*usual)));
    }

    fn arrive(&mut self, ask: RequestMetadata) {
        let id = ask.id;
        let Some(class) = self.settings.classes.get(ask.class) else {
            return self.out.push(Action::Fail {
                id,
                reason: FailureReason::UnknownClass,
            });
        };
        let (aim, worth) = (
            seconds(class.ttft_objective).max(1e-3),
            class.priority_weight,
        );
        let aim_at = self.now
            + class.ttft_objective
            + (class.ttft_objective_per_1000_tokens as f64 * ask.prompt_tokens / 1000.0) as Time;
        let worth = worth
            * if self.over_share(ask.tenant) {
                self.settings.over_quota_weight
            } else {
                1.0
            };
        let end_at = self
            .now
            .saturating_add(ask.time_left)
            .saturating_sub(2 * self.settings.tick);
        self.spare = (self.spare + SPARE_PER_REQUEST).min(SPARE_MOST);
        let (end_at, aim_at) = (
            end_at.min(self.ends_at),
            aim_at.min(end_at).min(self.ends_at),
        );
        self.prefixes.on_arrival(&ask);
        self.requests.insert(
            id,
            Request {
                ask,
                end_at,
                aim,
                aim_at,
                worth,
                ..Request::default()
            },
        );
        self.with(id, Self::place);
    }

    fn cancel_all(&mut self, request: &mut Request, useless: impl Fn(&Attempt) -> bool) {
        for at in 0..request.attempts.len() {
            if request.attempts[at].out && useless(&request.attempts[at]) {
                self.act(
                    request,
                    Action::CancelAttempt {
                        id: request.ask.id,
                        attempt: at as u32,
                    },
                );
            }
        }
    }

    fn first(&mut self, request: &mut Request, at: usize) {
        let Some(attempt) = request.attempts.get_mut(at).filter(|attempt| attempt.out) else {
            return;
        };
        attempt.first_at = Some(self.now);
        self.observed(&request.ask, at, attempt, &attempt.choice.inputs);
        (request.begun, request.state_at, request.may_hold) = (true, None, false);
        self.cancel_all(request, |attempt| attempt.first_at.is_none());
    }

    /// A wait is over: corrects the server; teaches the shared model, but for cold servers.
    fn observed(&mut self, ask: &RequestMetadata, at: usize, attempt: &Attempt, inputs: &Inputs) {
        let Some(server) = self.servers.get_mut(&attempt.choice.server) else {
            return;
        };
        server.waiting.remove(&(ask.id, at));
        server.begun = server.begun.max(attempt.sent);
        let health = server.health_mut(ask.class);
        blend(&mut health.failing, 0.0);
        health.pauses = 0;
        let took = seconds(self.now.saturating_sub(attempt.sent));
        let side = side(attempt.stage);
        let model = &mut self.models[side as usize];
        let warm = server.warm_share(&self.settings, self.now);
        let ratio = (took * warm + model.spread) / (model.predict(inputs) + model.spread).max(1e-6);
        blend(&mut server.slower, ratio.clamp(0.2, 10.0) - 1.0);
        if warm >= 1.0 {
            model.learn(inputs, took);
        }
        let (bearing, any_warm) = self.candidates.bearing(side);
        self.flow[BORNE][side as usize] += if warm >= 1.0 || !any_warm {
            1.0 / bearing
        } else {
            0.0
        };
        self.flow[FINISHED][side as usize] += 1.0;
    }

    fn outcome(
        &mut self,
        request: &mut Request,
        at: usize,
        status: AttemptStatus,
        closed: bool,
        cached_tokens: f64,
    ) {
        let (now, id) = (self.now, request.ask.id);
        request.answered |= closed;
        let Some(attempt) = request.attempts.get_mut(at).filter(|attempt| attempt.out) else {
            return;
        };
        attempt.out = false;
        let never = matches!(
            status,
            AttemptStatus::ConnectFailed | AttemptStatus::NotSent | AttemptStatus::InvalidRequest
        );
        attempt.harmless |= never
            || matches!(
                status,
                AttemptStatus::Overloaded | AttemptStatus::KvStateMissing
            )
            || attempt.stage == Stage::Read;
        let server = attempt.choice.server;
        if let Some(server) = self.servers.get_mut(&server) {
            server.waiting.remove(&(id, at));
            add(&mut server.own, &attempt.work, -1.0);
        }
        // A broken connection is one failure; that of a dead server is followed by one that does not open.
        let dead = status == AttemptStatus::ConnectFailed;
        let failed = matches!(status, AttemptStatus::Reset | AttemptStatus::Error)
            || status == AttemptStatus::Overloaded;
        if dead || failed || (status == AttemptStatus::Timeout && attempt.check_at > 0) {
            let answered = matches!(status, AttemptStatus::Error | AttemptStatus::Overloaded);
            self.blame(server, answered.then_some(request.ask.class), dead);
        }
        request.held_since = if never { request.held_since } else { now }; // runs on if nobody was reached
        (request.retry_at, request.asked) = (now, None);
        match status {
            AttemptStatus::PrefillDone => {
                // What was really left to read: after a flush the table is wrong, and the model must not be.
                let mut inputs = attempt.choice.inputs;
                inputs[TOKENS] = (request.ask.prompt_tokens - cached_tokens).max(0.0) / 1000.0;
                self.observed(&request.ask, at, attempt, &inputs);
                self.note_kept(&request.ask, attempt, cached_tokens);
                let wanted = request.state_at.is_none() && !request.begun;
                request.may_hold = true;
                if wanted {
                    request.state_at = Some(server);
                    self.cancel_all(request, |attempt| attempt.stage == Stage::Read);
                } else if request.begun {
                    // A second copy; before the first token a release would take the state that is sent for.
                    self.act(request, Action::ReleaseReservation { id });
                }
            }
            AttemptStatus::Served => self.streamed(&request.ask, attempt, cached_tokens),
            AttemptStatus::KvStateMissing => request.state_at = None,
            // It may have taken the state: given up where too few attempts would be left to read and write.
            AttemptStatus::Error | AttemptStatus::Reset | AttemptStatus::StaleConnection
                if attempt.stage == Stage::Write =>
            {
                let left = self
                    .settings
                    .max_attempts
                    .saturating_sub(request.attempts.len() as u32);
                request.state_at = request.state_at.filter(|_| left >= 3);
            }
            _ => {}
        }
        // One that may have run and must not run twice is given up, and its client told so at once.
        let unsafe_class =
            self.settings.classes[request.ask.class].idempotency == Idempotency::NonIdempotent;
        if unsafe_class
            && !request.begun
            && request.attempts.iter().any(|it| !it.out && !it.harmless)
        {
            return self.end(request, FailureReason::NotRepeatable);
        }
        self.place(request);
    }

    /// TraceRecorder what a reader has read, and corrects what homes are presumed to keep.
    fn note_kept(&mut self, ask: &RequestMetadata, attempt: &Attempt, found: f64) {
        let Some(server) = self.servers.get(&attempt.choice.server) else {
            return;
        };
        if attempt.choice.matched > ask.prefix_tokens / ask.prompt_tokens.max(1.0) {
            blend(
                &mut self.home_match[ask.class],
                found / ask.prompt_tokens.max(1.0),
            );
        }
        self.prefixes.record_prefill(
            self.now,
            server.entry.endpoint,
            ROOM * server.entry.kv_capacity_tokens,
            ask,
        );
    }

    /// An answer has ended well: learns the pace from its length, as far as that is told.
    fn streamed(&mut self, ask: &RequestMetadata, attempt: &Attempt, cached_tokens: f64) {
        if attempt.stage == Stage::MigratingStream {
            self.note_kept(ask, attempt, cached_tokens);
        }
        let Some(first_at) = attempt.first_at else {
            return;
        };
        let took = seconds(self.now.saturating_sub(first_at));
        self.models[PACE].learn(&attempt.choice.inputs, took / self.tokens(ask).max(1.0));
    }

    fn place(&mut self, request: &mut Request) {
        // A state may be taken while a second read is still out.
        let waits =
            |it: &Attempt| it.out && (it.stage != Stage::Read || request.state_at.is_none());
        if request.answered || request.begun || request.attempts.iter().any(waits) {
            return;
        }
        let held_until =
            request.held_since + (self.settings.reservation_ttl as f64 * HELD_PART) as Time;
        let held_too_long = request.state_at.is_some() && self.now >= held_until;
        if held_too_long {
            return self.end(request, FailureReason::KvStateExpired);
        }
        if request.attempts.len() as u32 >= self.settings.max_attempts.max(1) {
            return self.end(request, FailureReason::AttemptsExhausted);
        }
        request.homes = self.homes(request);
        let mut choices = self.choices(request);
        if !choices.iter().any(|it| it.chance >= FIT) && !self.looks_at_all(request) {
            request.widened += 1;
            choices = self.choices(request);
        }
        request.retry_at = self.now + self.asking(request);
        if choices.is_empty() && request.widened > 0 && self.looks_at_all(request) {
            // All in vain, which is much work: lots are drawn anew before long.
            (request.retry_at, request.widened) = (self.now + self.settings.overload_window / 8, 0);
        }
        if self.asks_first(request, &choices) {
            return;
        }
        if request.state_at.is_none() {
            while self.refuses(request, &choices) {
                if self.looks_at_all(request) {
                    return self.end(request, FailureReason::Overload);
                }
                request.widened = u32::MAX; // none is refused that a server not looked at would serve
                choices = self.choices(request);
            }
            choices = self.warm_only(choices, request);
        }
        // A lot that is won at a cold server that fits is used, or the rest would jam; rations need not be.
        let lots = request.homes.is_empty() || request.state_at.is_some();
        let rationed = |it: &Choice| {
            it.chance >= FIT && self.servers[&it.server].age(&self.settings, self.now) < 1.0
        };
        if self.share >= FEW && lots && choices.iter().any(rationed) {
            choices.retain(rationed);
        }
        let Some(choice) = self.draw(choices) else {
            return;
        };
        let reads = self
            .servers
            .get(&choice.server)
            .is_some_and(|to| to.entry.role == Role::Prefill);
        let stage = request.state_at.map_or(
            if reads {
                Stage::Read
            } else {
                Stage::MigratingStream
            },
            |_| Stage::Write,
        );
        self.send(request, stage, choice);
    }

    /// Asks likely servers for their load before the choice; true while it waits for answers.
    fn asks_first(&mut self, request: &mut Request, choices: &[Choice]) -> bool {
        if request.asked.is_none()
            && self.settings.probes_allowed
            && self.settings.load_reporting != LoadReporting::Never
        {
            let (now, due) = (self.now, self.now + self.asking(request));
            request.asked = Some(now);
            let mut likely: Vec<_> = choices
                .iter()
                .map(|it| (it.weight() + self.rng.gen::<f64>(), it.server))
                .collect();
            likely.sort_by(|a, b| b.0.total_cmp(&a.0));
            for (_, id) in likely.into_iter().take(ASKED) {
                let Some(server) = self.servers.get_mut(&id) else {
                    continue;
                };
                if server.asked_at.is_none() && server.told_at.is_none_or(|at| at + FRESH <= now) {
                    (server.asked_at, request.asked) = (Some(now), Some(due));
                    self.out.push(Action::Probe { endpoint: id });
                }
            }
        }
        request.asked.is_some_and(|due| self.now < due)
    }

    fn asking(&self, request: &Request) -> Time {
        ((request.aim * 1e6 * ASKING_PART) as Time).max(2 * self.settings.tick)
    }

    fn send(&mut self, request: &mut Request, stage: Stage, choice: Choice) {
        let (id, server, sent) = (request.ask.id, choice.server, self.now);
        let allowed = self
            .servers
            .get(&server)
            .is_some_and(|server| self.may_send(request, server, stage));
        let held = request.ask.prompt_tokens
            + if stage == Stage::Read {
                0.0
            } else {
                self.tokens(&request.ask)
            };
        let Some(to) = self.servers.get_mut(&server).filter(|_| allowed) else {
            return;
        };
        to.sent
            .extend((to.age(&self.settings, sent) < 1.0).then_some(sent));
        let work = [
            1.0,
            (request.ask.prompt_tokens - choice.kept) / 1000.0,
            to.part_of_memory(held),
        ];
        add(&mut to.own, &work, 1.0);
        to.waiting.insert(
            (id, request.attempts.len()),
            (sent, choice.predicted, request.ask.class),
        );
        self.flow[STARTED][side(stage) as usize] += 1.0;
        request.widened = 0;
        // Not harmless yet, reads neither: while one is out, nothing proves that it had no effect.
        request.attempts.push(Attempt {
            choice,
            stage,
            sent,
            work,
            out: true,
            ..Attempt::default()
        });
        self.out.push(Action::StartAttempt {
            id,
            endpoint: server,
            timeout: request.end_at.saturating_sub(sent),
        });
    }

    fn may_send(&self, request: &Request, server: &TrackedEndpoint, stage: Stage) -> bool {
        let live = !request.answered && !request.begun && self.now < request.end_at;
        let tries = (request.attempts.len() as u32) < self.settings.max_attempts.max(1);
        let alone = self.settings.hedging_allowed || !request.out();
        let open = live && tries && alone && server.entry.status == EndpointStatus::Ready;
        open && self.effect_allows(request, server, stage)
            && self.cold_allows(request, server, stage)
    }

    /// Everything for a request but sends passes here; false where a rule or its state forbids it.
    fn act(&mut self, request: &mut Request, action: Action) -> bool {
        let open = !request.answered && !request.begun;
        let allowed = match action {
            Action::CancelAttempt { .. } => self.settings.cancellation_allowed,
            // A refusal says that trying again is harmless.
            Action::Shed { .. } => open && self.may_repeat(request, None),
            Action::Fail { .. } => open,
            _ => true,
        };
        if allowed {
            request.answered |= matches!(action, Action::Shed { .. } | Action::Fail { .. });
            self.out.push(action);
        }
        allowed
    }

    fn due_at(&self, request: &Request) -> Time {
        if request.answered || request.begun {
            return Time::MAX;
        }
        let retry_at = if request.out() {
            Time::MAX
        } else {
            request.retry_at
        };
        let checks = request
            .attempts
            .iter()
            .map(|attempt| self.check_at(attempt));
        checks.fold(request.end_at.min(retry_at), Time::min)
    }

    fn check_at(&self, attempt: &Attempt) -> Time {
        let predicted = attempt.choice.predicted;
        let spread = self.models[side(attempt.stage) as usize].spread;
        let limit = (predicted + OVERDUE_SPREADS * spread).max(predicted * OVERDUE_MULTIPLE);
        let never = u64::from(!attempt.out || attempt.stage == Stage::MigratingStream) * Time::MAX;
        (attempt.sent + ((limit * 1e6) as Time).max(self.settings.tick))
            .max(attempt.check_at)
            .max(never)
    }

    fn look_at(&mut self, request: &mut Request) {
        if self.now >= request.end_at {
            return self.end(request, FailureReason::DeadlineExceeded);
        }
        let late = request
            .attempts
            .iter()
            .position(|attempt| self.check_at(attempt) <= self.now);
        let Some(at) = late else {
            return self.place(request);
        };
        self.help(request, at);
    }

    /// An attempt is overdue and another server fits: a second read, or another writer for the waiting state.
    fn help(&mut self, request: &mut Request, at: usize) {
        let (tries, copies) = (request.attempts.len() as u32, self.settings.hedging_allowed);
        let attempt = &mut request.attempts[at];
        let (server, writes) = (attempt.choice.server, attempt.stage == Stage::Write);
        // Where no second copy may be, one is given up once later ones there are over: its answer is lost.
        let helped = copies
            || self
                .servers
                .get(&server)
                .is_some_and(|it| it.begun > attempt.sent);
        attempt.check_at = if helped {
            Time::MAX
        } else {
            self.now + self.pause / 5
        };
        if !helped || self.spare < 1.0 || tries + 2 > self.settings.max_attempts {
            return;
        }
        let reader = request
            .state_at
            .and_then(|reader| self.servers.get(&reader));
        // What could be sent is asked as if it had ended, which it does first where there is no second copy.
        request.attempts[at].out = !writes && copies;
        let mut choices = if writes {
            self.writers(request, reader)
        } else {
            self.readers(request)
        };
        request.attempts[at].out = true;
        // A text that is read where it has no home pushes out what others come back for.
        let home =
            |it: EndpointId| writes || request.homes.len() < 2 || request.homes.contains_key(&it);
        choices.retain(|it| it.server != server && it.chance >= FIT && home(it.server));
        let Some(choice) = self.draw(choices) else {
            return;
        };
        self.spare -= 1.0;
        if writes || !copies {
            self.act(
                request,
                Action::CancelAttempt {
                    id: request.ask.id,
                    attempt: at as u32,
                },
            );
        } else {
            self.send(request, Stage::Read, choice);
        }
    }

    fn refit(&mut self) {
        self.next_refit = self.now + REFIT;
        self.flow
            .as_flattened_mut()
            .iter_mut()
            .for_each(|it| *it *= 1.0 - NEWEST);
        let ask = self.settings.must_poll_endpoints && !std::mem::replace(&mut self.watching, true);
        self.out.extend(ask.then_some(Action::WatchEndpoints));
        for server in self.servers.values_mut() {
            server
                .sent
                .retain(|at| *at + self.settings.overload_window >= self.now);
            server
                .health
                .values_mut()
                .for_each(|it| it.failing *= 1.0 - NEWEST);
        }
        self.prefixes
            .expire(self.now.saturating_sub(KEPT_AIMS * self.pause));
        let over = |it: &TrackedEndpoint| {
            it.entry.status == EndpointStatus::Removed && it.own[REQUESTS] <= 0.0
        };
        self.servers
            .values()
            .filter(|it| over(it))
            .for_each(|it| self.prefixes.forget_endpoint(it.entry.endpoint));
        self.servers.retain(|_, server| !over(server));
    }
}
