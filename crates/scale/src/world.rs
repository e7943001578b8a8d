//! Routers of the decision module before modelled servers, on a simulated clock.
//!
//! Each router gets its own stream of requests and decides as it does in service; servers take time by a simple model of
//! reading and writing. Every call of a router is timed on the real clock, by the kind of step. The same seed gives the
//! same decisions, whatever the machine.

use crate::fleet::{self, Shape};
use hdrhistogram::Histogram;
use quartzhall::routing::api::*;
use quartzhall::routing::Router;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::{Duration, Instant};

const MS: Time = 1_000;
const SECOND: Time = 1_000_000;

/// Tokens that a warm reader reads in a second, where its load is not to be felt.
pub const READ_RATE: f64 = 40_000.0;
/// From a send to a writer to its first token, when it is idle.
const FIRST_TOKEN: Time = 15 * MS;
/// Moving the state of 1,000 tokens to a writer of another rack.
const MOVE_PER_1000: Time = 12 * MS;
/// Time per token of an idle writer, and how many answers at once double it.
const TOKEN_TIME: f64 = 25_000.0;
const DOUBLED_AT: f64 = 120.0;
/// Answers that run at a writer for dispatchers that are not played, on the mean, where the load is not all played.
const OTHERS_RUNNING: f64 = 45.0;
/// What readers have to read for them, as a wait on the mean.
const OTHERS_WAIT: Time = 25 * MS;
/// Between a probe and its answer.
const PROBE_TIME: Time = 1_500;
/// Times between whole lists, changes, reports of other dispatchers, and settings, for each router.
const WHOLE_LIST_EACH: Time = 4 * SECOND;
const CHANGE_EACH: Time = SECOND / 2;
const REPORT_EACH: Time = 20 * MS;
const SETTINGS_EACH: Time = 5 * SECOND;
/// Texts that conversations may begin with, and tokens of each.
const SHARED_TEXTS: u64 = 400;
const SHARED_TOKENS: f64 = 1_000.0;
/// A conversation goes on with this probability.
const GOES_ON: f64 = 0.6;
/// Conversations of one router that may go on.
const CONVERSATIONS: usize = 200;

/// A kind of call of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// A request arrives and is sent to a reader.
    Arrival,
    /// A read has ended and the request is sent to a writer.
    ReadEnd,
    /// The first token has come.
    FirstToken,
    /// An attempt is over in any other way.
    AttemptEnd,
    /// A time that was asked for has come.
    Wake,
    /// Another dispatcher's report of a server.
    Report,
    /// A probe's answer.
    ProbeAnswer,
    /// The whole list of servers, unchanged.
    WholeList,
    /// One server's change.
    Change,
    /// New settings.
    NewSettings,
    /// The first whole list of a new process.
    FirstList,
}

impl Step {
    /// Its name in results.
    pub fn name(self) -> &'static str {
        match self {
            Step::Arrival => "arrival",
            Step::ReadEnd => "read's end",
            Step::FirstToken => "first token",
            Step::AttemptEnd => "attempt's end",
            Step::Wake => "wake",
            Step::Report => "report heard",
            Step::ProbeAnswer => "probe's answer",
            Step::WholeList => "whole list, unchanged",
            Step::Change => "change of one replica",
            Step::NewSettings => "settings taken",
            Step::FirstList => "first list of a process",
        }
    }
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Options {
    /// The fleet.
    pub shape: Shape,
    /// Routers that are played.
    pub routers: usize,
    /// Dispatchers of the fleet, as the settings tell each of them.
    pub dispatchers: u32,
    /// Requests a second of each router.
    pub rate: f64,
    /// Servers carry the load of dispatchers that are not played, too.
    pub others: bool,
    /// Tokens that a warm reader reads in a second.
    pub read_rate: f64,
    /// Draws the fleet, the traffic and the routers' own draws.
    pub seed: u64,
    /// Ends after so many arrivals, ...
    pub arrivals: usize,
    /// ... or after so much real time.
    pub within: Duration,
}

/// What came of it.
pub struct Report {
    /// Microseconds of the calls, by step; nanoseconds are kept as fractions by counting in tenths of microseconds.
    pub steps: BTreeMap<Step, Histogram<u64>>,
    /// Requests that came.
    pub arrivals: usize,
    /// Requests of which the first token came in time.
    pub in_time: usize,
    /// Requests that were refused or failed.
    pub given_up: usize,
    /// Worth that was served in time, as part of all that came.
    pub worth: f64,
    /// A digest of all that routers did, in order.
    pub digest: u64,
}

/// A histogram's unit: tenths of microseconds.
pub const UNITS_PER_MICROSECOND: f64 = 10.0;

struct Machine {
    entry: EndpointRecord,
    busy_until: Time,
    kept: HashMap<u64, f64>,
    running: f64,
    held: f64,
}

struct Try {
    server: EndpointId,
    over: bool,
    held: f64,
}

struct Job {
    router: usize,
    ask: RequestMetadata,
    aim_at: Time,
    worth: f64,
    tries: Vec<Try>,
    begun: bool,
    over: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrival(usize),
    Wake(usize),
    Read(RequestId, u32, u64),
    First(RequestId, u32),
    End(RequestId, u32),
    Probed(usize, EndpointId),
    Report(usize),
    WholeList(usize),
    Change(usize),
    NewSettings(usize),
}

struct Conversation {
    session: u64,
    text: u64,
    tokens: f64,
}

/// Routers, servers, and what is to happen.
pub struct World {
    options: Options,
    settings: RoutingSettings,
    now: Time,
    rng: Pcg32,
    routers: Vec<Router>,
    conversations: Vec<Vec<Conversation>>,
    machines: Vec<Machine>,
    jobs: HashMap<RequestId, Job>,
    queue: BinaryHeap<Reverse<(Time, u64, Happening)>>,
    queued: u64,
    draining: Option<EndpointId>,
    worth_came: f64,
    worth_served: f64,
    report: Report,
}

/// The settings of a fleet of so many dispatchers, with the target's aims.
pub fn settings(dispatchers: u32) -> RoutingSettings {
    let class = |worth, aim, effect| RequestClass {
        ttft_objective: aim,
        ttft_objective_per_1000_tokens: 20 * MS,
        inter_token_objective: 60 * MS,
        priority_weight: worth,
        idempotency: effect,
        is_active: true,
    };
    RoutingSettings {
        dispatchers,
        zone: 0,
        classes: vec![
            class(3.0, 510 * MS, Idempotency::Idempotent),
            class(1.0, 2 * SECOND, Idempotency::Idempotent),
        ],
        tenants: vec![],
        over_quota_weight: 0.2,
        load_reporting: LoadReporting::WithResponses,
        must_poll_endpoints: false,
        probes_allowed: true,
        cancellation_allowed: true,
        hedging_allowed: true,
        max_retry_after: 500 * MS,
        max_attempts: 5,
        tick: 2 * MS,
        response_slack: 8 * MS,
        drain_grace: 250 * MS,
        reservation_ttl: SECOND,
        slow_start_initial_share: 0.3,
        slow_start_duration: 30 * SECOND,
        overload_threshold: 2.5,
        overload_window: 1500 * MS,
        cross_zone_cost: 0.01,
        kv_transfer_cost: 0.01,
    }
}

impl World {
    /// Draws the fleet and starts the routers, which hear their first list. `prepare` may change a router.
    pub fn new(options: Options, prepare: impl Fn(&mut Router)) -> World {
        let mut rng = Pcg32::seed_from_u64(options.seed);
        let now = 1_000 * SECOND;
        let entries = fleet::draw(&options.shape, now, &mut rng);
        let settings = settings(options.dispatchers);
        let zones = options.shape.zones.max(1);
        let router = |number: usize| {
            let own = RoutingSettings {
                zone: number as u32 % zones,
                ..settings.clone()
            };
            let mut router = Router::new(own, options.seed.wrapping_add(number as u64), now);
            prepare(&mut router);
            router
        };
        let machine = |entry: &EndpointRecord| Machine {
            entry: entry.clone(),
            busy_until: now,
            kept: HashMap::new(),
            running: 0.0,
            held: 0.0,
        };
        let mut world = World {
            routers: (0..options.routers).map(router).collect(),
            conversations: (0..options.routers).map(|_| Vec::new()).collect(),
            machines: entries.iter().map(machine).collect(),
            settings,
            now,
            rng,
            jobs: HashMap::new(),
            queue: BinaryHeap::new(),
            queued: 0,
            draining: None,
            worth_came: 0.0,
            worth_served: 0.0,
            report: Report {
                steps: BTreeMap::new(),
                arrivals: 0,
                in_time: 0,
                given_up: 0,
                worth: 0.0,
                digest: 0xcbf2_9ce4_8422_2325,
            },
            options,
        };
        for at in 0..world.options.routers {
            world.tell(at, Step::Wake, Event::TimerFired);
            let entries = entries.clone();
            world.tell(
                at,
                Step::FirstList,
                Event::EndpointsChanged {
                    is_full: true,
                    endpoints: entries,
                },
            );
            let gap = world.gap();
            world.push(gap, Happening::Arrival(at));
            world.push(WHOLE_LIST_EACH, Happening::WholeList(at));
            world.push(SETTINGS_EACH, Happening::NewSettings(at));
            world.push(REPORT_EACH, Happening::Report(at));
        }
        world.push(CHANGE_EACH, Happening::Change(0));
        world
    }

    /// Plays to the end that the options name.
    pub fn run(mut self) -> Report {
        let began = Instant::now();
        while self.report.arrivals < self.options.arrivals && began.elapsed() < self.options.within
        {
            let Some(Reverse((at, _, what))) = self.queue.pop() else {
                break;
            };
            self.now = at;
            self.happen(what);
        }
        self.report.worth = self.worth_served / self.worth_came.max(f64::MIN_POSITIVE);
        self.report
    }

    fn push(&mut self, after: Time, what: Happening) {
        self.queued += 1;
        self.queue
            .push(Reverse((self.now + after, self.queued, what)));
    }

    /// Time to the next arrival at a router.
    fn gap(&mut self) -> Time {
        let even: f64 = self.rng.gen_range(1e-9..1.0);
        (-even.ln() / self.options.rate * 1e6) as Time
    }

    /// A router hears an event, on the clock; what it does is done.
    fn tell(&mut self, at: usize, step: Step, event: Event) {
        let mut actions = Vec::new();
        let began = Instant::now();
        self.routers[at].handle(self.now, event, &mut actions);
        let took = began.elapsed().as_nanos() as f64 / 1e3 * UNITS_PER_MICROSECOND;
        if let Ok(empty) = Histogram::new(3) {
            let histogram = self.report.steps.entry(step).or_insert(empty);
            let _ = histogram.record(took as u64); // it grows as it needs to
        }
        for action in actions {
            let note =
                |digest: u64, byte: u8| (digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
            let text = format!("{at} {} {}", self.now, decision(&action));
            self.report.digest = text.bytes().fold(self.report.digest, note);
            self.act(at, action);
        }
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Arrival(at) => {
                let gap = self.gap();
                self.push(gap, Happening::Arrival(at));
                self.arrive(at);
            }
            Happening::Wake(at) => self.tell(at, Step::Wake, Event::TimerFired),
            Happening::Read(id, attempt, kept) => self.read_ends(id, attempt, kept as f64),
            Happening::First(id, attempt) => self.first(id, attempt),
            Happening::End(id, attempt) => {
                self.end(id, attempt, AttemptStatus::Served, Step::AttemptEnd, 0.0)
            }
            Happening::Probed(at, server) => {
                let load = Some(self.load(server));
                self.tell(
                    at,
                    Step::ProbeAnswer,
                    Event::ProbeCompleted {
                        endpoint: server,
                        is_healthy: true,
                        load,
                    },
                );
            }
            Happening::Report(at) => {
                let server = self.rng.gen_range(0..self.machines.len()) as EndpointId;
                let load = Some(self.load(server));
                self.tell(
                    at,
                    Step::Report,
                    Event::PeerLoadReport {
                        endpoint: server,
                        load,
                    },
                );
                self.push(REPORT_EACH, Happening::Report(at));
            }
            Happening::WholeList(at) => {
                let entries = self.machines.iter().map(|it| it.entry.clone()).collect();
                self.tell(
                    at,
                    Step::WholeList,
                    Event::EndpointsChanged {
                        is_full: true,
                        endpoints: entries,
                    },
                );
                self.push(WHOLE_LIST_EACH, Happening::WholeList(at));
            }
            Happening::Change(_) => {
                self.change();
                self.push(CHANGE_EACH, Happening::Change(0));
            }
            Happening::NewSettings(at) => {
                let zone = at as u32 % self.options.shape.zones.max(1);
                let settings = RoutingSettings {
                    zone,
                    ..self.settings.clone()
                };
                self.tell(at, Step::NewSettings, Event::SettingsChanged(settings));
                self.push(SETTINGS_EACH, Happening::NewSettings(at));
            }
        }
    }

    /// One server drains, and the one before is back.
    fn change(&mut self) {
        let server = self.rng.gen_range(0..self.machines.len()) as EndpointId;
        let mut changed = Vec::new();
        for (server, state) in [
            (self.draining, EndpointStatus::Ready),
            (Some(server), EndpointStatus::Draining),
        ] {
            let Some(server) = server else { continue };
            self.machines[server as usize].entry.status = state;
            changed.push(self.machines[server as usize].entry.clone());
        }
        self.draining = Some(server);
        for at in 0..self.routers.len() {
            let entries = changed.clone();
            self.tell(
                at,
                Step::Change,
                Event::EndpointsChanged {
                    is_full: false,
                    endpoints: entries,
                },
            );
        }
    }

    fn arrive(&mut self, at: usize) {
        let id = self.report.arrivals as RequestId + 1;
        self.report.arrivals += 1;
        let goes_on = self.rng.gen_bool(GOES_ON) && !self.conversations[at].is_empty();
        let spoken = if goes_on {
            let which = self.rng.gen_range(0..self.conversations[at].len());
            self.conversations[at].swap_remove(which)
        } else {
            // Few texts are common: the square of an even draw.
            let even: f64 = self.rng.gen();
            let text = (even * even * SHARED_TEXTS as f64) as u64;
            Conversation {
                session: self.rng.gen(),
                text: 1 + text,
                tokens: SHARED_TOKENS,
            }
        };
        let prompt = spoken.tokens + f64::from(self.rng.gen_range(50..600_u32));
        let max_tokens = f64::from(self.rng.gen_range(100..1000_u32));
        let class = usize::from(self.rng.gen_bool(0.3));
        let ask = RequestMetadata {
            id,
            class,
            session: Some(spoken.session),
            prefix: Some(spoken.text),
            time_left: 6 * SECOND,
            prompt_tokens: prompt,
            prefix_tokens: SHARED_TOKENS,
            max_output_tokens: max_tokens,
            ..RequestMetadata::default()
        };
        let next = Conversation {
            tokens: prompt + max_tokens * 0.33,
            ..spoken
        };
        if self.conversations[at].len() < CONVERSATIONS {
            self.conversations[at].push(next);
        }
        let class = &self.settings.classes[class];
        let aim = class.ttft_objective
            + (class.ttft_objective_per_1000_tokens as f64 * prompt / 1000.0) as Time;
        let (aim_at, worth) = (self.now + aim, class.priority_weight);
        self.worth_came += worth;
        let job = Job {
            router: at,
            ask: ask.clone(),
            aim_at,
            worth,
            tries: Vec::new(),
            begun: false,
            over: false,
        };
        self.jobs.insert(id, job);
        self.tell(at, Step::Arrival, Event::RequestArrived(ask));
    }

    fn act(&mut self, at: usize, action: Action) {
        match action {
            Action::StartAttempt {
                id,
                endpoint: server,
                ..
            } => self.send(id, server),
            Action::CancelAttempt { id, attempt } => {
                self.end(id, attempt, AttemptStatus::Cancelled, Step::AttemptEnd, 0.0);
            }
            Action::Shed { id, .. } | Action::Fail { id, .. } => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.over = true;
                    self.report.given_up += 1;
                }
            }
            Action::SetTimer { at: when } => {
                let after = when.saturating_sub(self.now);
                self.push(after, Happening::Wake(at));
            }
            Action::Probe { endpoint: server } => {
                self.push(PROBE_TIME, Happening::Probed(at, server))
            }
            Action::ReleaseReservation { .. } | Action::WatchEndpoints => {}
        }
    }

    fn send(&mut self, id: RequestId, server: EndpointId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let attempt = job.tries.len() as u32;
        let ask = job.ask.clone();
        let reader = job.tries.iter().map(|it| it.server).next_back();
        job.tries.push(Try {
            server,
            over: false,
            held: 0.0,
        });
        let machine = &self.machines[server as usize];
        let age = machine
            .entry
            .started_at
            .map_or(Time::MAX, |started| self.now - started);
        let age = (age as f64 / self.settings.slow_start_duration as f64).min(1.0);
        let capacity = 1.0 - (1.0 - self.settings.slow_start_initial_share) * (1.0 - age);
        if machine.entry.role == Role::Prefill {
            self.read(id, attempt, server, &ask, capacity);
        } else {
            let cell = reader.map(|reader| self.machines[reader as usize].entry.cell);
            self.write(id, attempt, server, &ask, capacity, cell);
        }
    }

    fn read(
        &mut self,
        id: RequestId,
        attempt: u32,
        server: EndpointId,
        ask: &RequestMetadata,
        capacity: f64,
    ) {
        let others = match self.options.others {
            true => (self.rng.gen_range(0.0..2.0) * OTHERS_WAIT as f64) as Time,
            false => 0,
        };
        let rate = self.options.read_rate;
        let machine = &mut self.machines[server as usize];
        let found = |text: Option<u64>| {
            text.and_then(|text| machine.kept.get(&text))
                .copied()
                .unwrap_or(0.0)
        };
        let kept = found(ask.session)
            .max(found(ask.prefix).min(ask.prefix_tokens))
            .min(ask.prompt_tokens);
        let took = ((ask.prompt_tokens - kept) / rate / capacity * 1e6) as Time;
        machine.busy_until = machine.busy_until.max(self.now + others) + took;
        let ends_in = machine.busy_until - self.now + MS;
        machine.running += 1.0;
        machine
            .kept
            .extend(ask.prefix.map(|text| (text, ask.prefix_tokens)));
        machine
            .kept
            .extend(ask.session.map(|text| (text, ask.prompt_tokens)));
        self.push(ends_in, Happening::Read(id, attempt, kept as u64));
    }

    fn write(
        &mut self,
        id: RequestId,
        attempt: u32,
        server: EndpointId,
        ask: &RequestMetadata,
        capacity: f64,
        from: Option<u32>,
    ) {
        let held = ask.prompt_tokens + ask.max_output_tokens * 0.33;
        let machine = &mut self.machines[server as usize];
        if machine.held + held > machine.entry.kv_capacity_tokens {
            return self.end(
                id,
                attempt,
                AttemptStatus::Overloaded,
                Step::AttemptEnd,
                0.0,
            );
        }
        machine.held += held;
        machine.running += 1.0;
        let far = from.is_some_and(|cell| cell != machine.entry.cell);
        let moved = if far {
            (MOVE_PER_1000 as f64 * ask.prompt_tokens / 1000.0) as Time
        } else {
            0
        };
        if let Some(job) = self.jobs.get_mut(&id) {
            job.tries[attempt as usize].held = held;
        }
        let first = (FIRST_TOKEN as f64 / capacity) as Time + moved;
        self.push(first, Happening::First(id, attempt));
    }

    fn read_ends(&mut self, id: RequestId, attempt: u32, kept: f64) {
        self.end(id, attempt, AttemptStatus::PrefillDone, Step::ReadEnd, kept);
    }

    fn first(&mut self, id: RequestId, attempt: u32) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.over || job.begun || job.tries[attempt as usize].over {
            return;
        }
        job.begun = true;
        if self.now <= job.aim_at {
            self.worth_served += job.worth;
            self.report.in_time += 1;
        }
        let (at, server, tokens) = (
            job.router,
            job.tries[attempt as usize].server,
            job.ask.max_output_tokens * 0.33,
        );
        let others = if self.options.others {
            OTHERS_RUNNING
        } else {
            0.0
        };
        let running = self.machines[server as usize].running + others;
        let pace = TOKEN_TIME * (1.0 + running / DOUBLED_AT);
        self.push((pace * tokens) as Time, Happening::End(id, attempt));
        self.tell(at, Step::FirstToken, Event::FirstEvent { id, attempt });
    }

    /// An attempt is over, and its router hears of it.
    fn end(&mut self, id: RequestId, attempt: u32, status: AttemptStatus, step: Step, note: f64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(tried) = job.tries.get_mut(attempt as usize).filter(|it| !it.over) else {
            return;
        };
        tried.over = true;
        let (server, held, at) = (tried.server, tried.held, job.router);
        let closed = status == AttemptStatus::Served || job.over;
        let over = closed && job.tries.iter().all(|it| it.over);
        let machine = &mut self.machines[server as usize];
        if status != AttemptStatus::Overloaded {
            machine.running = (machine.running - 1.0).max(0.0);
            machine.held = (machine.held - held).max(0.0);
        }
        if over {
            self.jobs.remove(&id);
        }
        let load = Some(self.load(server));
        self.tell(
            at,
            step,
            Event::AttemptEnded {
                id,
                attempt,
                endpoint: server,
                status,
                request_closed: closed,
                cached_tokens: note,
                load,
            },
        );
    }

    /// What a server reports.
    fn load(&mut self, server: EndpointId) -> LoadReport {
        let machine = &self.machines[server as usize];
        let writes = machine.entry.role == Role::Decode;
        let others = match self.options.others {
            true => self.rng.gen_range(0.0..2.0),
            false => 0.0,
        };
        let running = machine.running
            + if writes {
                others * OTHERS_RUNNING
            } else {
                others * 2.0
            };
        let waits = machine.busy_until.saturating_sub(self.now) as f64 / 1e6
            * self.options.read_rate
            / 1000.0;
        let memory = if writes {
            running * 1_500.0 / machine.entry.kv_capacity_tokens
        } else {
            0.4
        };
        LoadReport {
            in_flight: Some(running),
            queued: None,
            kv_memory_share: Some(memory.min(1.0)),
            pending_prefill_kilotokens: Some(if writes { 0.0 } else { waits + others }),
        }
    }
}

/// An action as text for the digest. The words are those with which the expected digests were made, whatever the types are called.
fn decision(action: &Action) -> String {
    match action {
        Action::StartAttempt {
            id,
            endpoint,
            timeout,
        } => {
            format!("Send {{ id: {id}, server: {endpoint}, timeout: {timeout} }}")
        }
        Action::CancelAttempt { id, attempt } => {
            format!("Cancel {{ id: {id}, attempt: {attempt} }}")
        }
        Action::Shed {
            id,
            retry_after,
            reason: _,
        } => {
            format!("Refuse {{ id: {id}, retry_after: {retry_after} }}")
        }
        Action::Fail { id, reason: _ } => format!("Fail {{ id: {id} }}"),
        Action::ReleaseReservation { id } => format!("Release {{ id: {id} }}"),
        Action::SetTimer { at } => format!("Wake {{ at: {at} }}"),
        Action::Probe { endpoint } => format!("Probe {{ server: {endpoint} }}"),
        Action::WatchEndpoints => "Watch".to_owned(),
    }
}
