//! The cost of the core's steps against the size of the fleet: lists, messages of other dispatchers, leases, sweeps.

use crate::config::{self, Addresses};
use crate::fleet::{self, Shape};
use crate::results::{Cost, StepCosts};
use crate::scenario::Scenario;
use crate::world::UNITS_PER_MICROSECOND;
use bytes::Bytes;
use hdrhistogram::Histogram;
use quartzhall::config::{fnv1a_hash, Config, Deployment};
use quartzhall::dispatcher::{
    Command, Core, DiscoveredEndpoint, EndReason, Event, Outcome, UpstreamRequest,
};
use quartzhall::gossip::Gossip;
use quartzhall::routing::api::{
    AttemptStatus, EndpointId, EndpointRecord, EndpointStatus, LoadReport, RequestId,
    RequestMetadata, Time,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use slog::{o, Discard, Logger};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::{mpsc, oneshot};

const MS: Time = 1_000;
/// Each step is measured so often.
const TURNS: usize = 200;
/// Streams that are open at one dispatcher at the target's peak: 58.5 requests a second of 10 s.
const OPEN_STREAMS: u64 = 585;
/// Requests that a dispatcher without load reports earns its talk by, before each message.
const EARNED_BY: usize = 50;

type Costs = BTreeMap<String, Histogram<u64>>;

/// A core before a fleet, with what its steps have cost.
pub struct Bench {
    core: Core,
    now: Time,
    costs: Costs,
    entries: Vec<EndpointRecord>,
    answers: Vec<oneshot::Receiver<Outcome>>, // clients wait for them, and take streams
}

/// The settings of a dispatcher in a fleet of so many.
fn site(dispatchers: u32) -> Result<Deployment, String> {
    let scenario = Scenario::parse(&format!(
        "name = \"steps\"\nseconds = 1\n[fleet]\nreplicas = 100\nzones = 15\nrack = [4, 8]\nreaders = 0.25\n[dispatchers]\nreal = 1\ntold = {dispatchers}\nsockets = 1024\n[load]\nper_dispatcher = 1.0\nprompt = [1, 2]\nanswer = [1, 2]\n"
    ))?;
    let nowhere = || "127.0.0.1:1".to_owned();
    let addresses = Addresses {
        listen: nowhere(),
        discovery: nowhere(),
        peer_listen: nowhere(),
        peers_all: nowhere(),
    };
    let config = Config::parse(&config::text(&scenario, 0, 1, &addresses, &[]))
        .map_err(|error| error.to_string())?;
    Deployment::new(&config.settings).map_err(|error| error.to_string())
}

fn name(entry: &EndpointRecord) -> String {
    format!("replica-{}", entry.endpoint)
}

fn member(entry: &EndpointRecord) -> DiscoveredEndpoint {
    let [_, _, high, low] = (entry.cell + 1).to_be_bytes();
    let address = format!("127.1.{high}.{low}:{}", 10_000 + entry.endpoint);
    DiscoveredEndpoint {
        id: name(entry).into(),
        address: address.into(),
        record: entry.clone(),
        is_partial: false,
    }
}

impl Bench {
    fn time(&mut self, step: &str, event: Event) -> Vec<Command> {
        let began = Instant::now();
        self.core.handle_event(self.now, event);
        let commands = self.core.take_commands();
        self.record(step, began);
        commands
    }

    fn record(&mut self, step: &str, began: Instant) {
        let took = began.elapsed().as_nanos() as f64 / 1e3 * UNITS_PER_MICROSECOND;
        let Ok(empty) = Histogram::new(3) else { return };
        let _ = self
            .costs
            .entry(step.to_owned())
            .or_insert(empty)
            .record(took as u64);
    }

    fn members(&self, complete: bool, which: &[usize]) -> Event {
        Event::EndpointsChanged {
            is_full: complete,
            endpoints: which.iter().map(|at| member(&self.entries[*at])).collect(),
        }
    }

    /// A core that has heard of no replica yet.
    pub fn new(replicas: usize, dispatchers: u32, seed: u64) -> Result<Bench, String> {
        let now = 1_700_000_000_000_000;
        let entries = fleet::draw(&Shape::of(replicas), now, &mut Pcg32::seed_from_u64(seed));
        let site = Arc::new(site(dispatchers)?);
        let core = Core::new(site, 4_096, seed, now, Logger::root(Discard, o!()));
        Ok(Bench {
            core,
            now,
            costs: Costs::new(),
            entries,
            answers: Vec::new(),
        })
    }

    /// It hears of all replicas.
    pub fn first_list(&mut self) {
        let all: Vec<usize> = (0..self.entries.len()).collect();
        let first = self.members(true, &all);
        self.time("core: first list", first);
    }

    /// The whole list, and changes of one replica.
    fn lists(&mut self, rng: &mut Pcg32) {
        let all: Vec<usize> = (0..self.entries.len()).collect();
        self.first_list();
        for _ in 0..TURNS / 20 {
            self.now += 100 * MS;
            let list = self.members(true, &all);
            self.time("core: whole list, unchanged", list);
        }
        for turn in 0..TURNS {
            self.now += 100 * MS;
            let at = rng.gen_range(0..self.entries.len());
            for state in [EndpointStatus::Draining, EndpointStatus::Ready] {
                self.entries[at].status = state;
                let change = self.members(false, &[at]);
                self.time("core: change of one replica", change);
            }
            self.now += turn as Time;
        }
    }

    /// Messages that each tell of one replica's load.
    fn messages(&mut self, dispatchers: u32, rng: &mut Pcg32) {
        self.core
            .set_gossip(Gossip::new(dispatchers as usize, config::PEER_PRICE));
        let mut other = Gossip::new(dispatchers as usize, config::PEER_PRICE);
        for turn in 0..TURNS {
            self.now += 20 * MS;
            (0..EARNED_BY).for_each(|_| other.on_request());
            let at = rng.gen_range(0..self.entries.len());
            let load = LoadReport {
                in_flight: Some(50.0 + turn as f64),
                ..LoadReport::default()
            };
            other.record_load(
                self.now,
                at as u32,
                fnv1a_hash(&name(&self.entries[at])),
                &load,
            );
            let Some(message) = other.next_message(self.now) else {
                continue;
            };
            self.time(
                "core: message heard",
                Event::GossipReceived {
                    from: 1,
                    message: Bytes::from(message),
                },
            );
        }
    }

    /// A request; true when it was sent to a reader, if need be after the answers of servers that were asked first.
    fn request(&mut self, id: u64) -> bool {
        let ask = RequestMetadata {
            id,
            session: Some(id),
            time_left: 4_000 * MS,
            prompt_tokens: 2_000.0,
            max_output_tokens: 300.0,
            ..RequestMetadata::default()
        };
        let work = UpstreamRequest {
            client_request_id: format!("r{id}").into(),
            target: "/v1/chat/completions".into(),
            body: Bytes::new(),
        };
        let (answer, answered) = oneshot::channel();
        self.answers.push(answered);
        let commands = self.time(
            "core: request",
            Event::RequestArrived {
                metadata: ask,
                upstream: work,
                outcome: answer,
            },
        );
        let commands = self.ask_servers(commands);
        is_sent(&commands, id, 0)
    }

    /// Servers that are asked for their load before a choice answer, and the choice is made.
    fn ask_servers(&mut self, mut commands: Vec<Command>) -> Vec<Command> {
        let probed: Vec<_> = commands.iter().filter_map(probed).collect();
        for server in probed {
            let load = Some(LoadReport {
                in_flight: Some(1.0),
                kv_memory_share: Some(0.1),
                ..LoadReport::default()
            });
            commands.extend(self.time(
                "core: probe's answer",
                Event::ProbeCompleted {
                    endpoint: server,
                    is_healthy: true,
                    load,
                },
            ));
        }
        let began = Instant::now();
        self.now += 10 * MS; // by then answers are due
        self.core.on_timer(self.now);
        commands.extend(self.core.take_commands());
        self.record("core: wake, a request is sent", began);
        commands
    }

    /// Requests of which the client leaves when they are read: the state is let go.
    pub fn read_and_leave(&mut self, first: u64, count: u64) {
        for id in first..first + count {
            self.now += MS;
            if !self.request(id) {
                continue;
            }
            let ended = Event::AttemptEnded {
                id,
                attempt: 0,
                reason: EndReason::PrefillDone,
                cached_tokens: 0.0,
                completion_tokens: 0.0,
                load: None,
            };
            self.time("core: read's end", ended);
            self.time(
                "core: client left, lease let go",
                Event::ClientDisconnected {
                    id,
                    may_have_run: None,
                },
            );
            self.core.handle_event(
                self.now,
                Event::ReleaseCompleted {
                    id,
                    confirmed: true,
                },
            );
        }
    }

    /// Looks over a table of open requests.
    fn sweeps(&mut self) {
        for _ in 0..TURNS {
            self.now += 20 * MS;
            let began = Instant::now();
            self.core.on_timer(self.now);
            self.core.take_commands();
            self.record("core: wake with 585 streams", began);
        }
    }

    /// Requests that are read, written, and stream on.
    pub fn open_streams(&mut self, first: u64, count: u64) {
        for id in first..first + count {
            self.now += MS;
            if !self.request(id) {
                continue;
            }
            let (status, note, written, load) = (AttemptStatus::PrefillDone, 0.0, 0.0, None);
            self.core.handle_event(
                self.now,
                Event::AttemptEnded {
                    id,
                    attempt: 0,
                    reason: EndReason::of(status),
                    cached_tokens: note,
                    completion_tokens: written,
                    load,
                },
            );
            let commands = self.core.take_commands();
            if !is_sent(&self.ask_servers(commands), id, 1) {
                continue;
            }
            let stream = mpsc::channel(1).1;
            self.core.handle_event(
                self.now,
                Event::FirstEvent {
                    id,
                    attempt: 1,
                    stream,
                },
            );
            self.core.take_commands();
        }
    }
}

fn is_sent(commands: &[Command], of: RequestId, number: u32) -> bool {
    let sends = |it: &Command| matches!(it, Command::StartAttempt { id, attempt, .. } if (*id, *attempt) == (of, number));
    commands.iter().any(sends)
}

fn probed(command: &Command) -> Option<EndpointId> {
    match command {
        Command::Probe {
            endpoint: server, ..
        } => Some(*server),
        _ => None,
    }
}

/// Measures the core's steps before so many replicas.
pub fn measure(replicas: usize, dispatchers: u32, seed: u64) -> Result<StepCosts, String> {
    let mut rng = Pcg32::seed_from_u64(seed ^ 1);
    let mut bench = Bench::new(replicas, dispatchers, seed)?;
    bench.lists(&mut rng);
    bench.messages(dispatchers, &mut rng);
    bench.read_and_leave(1, TURNS as u64);
    bench.open_streams(10_000, OPEN_STREAMS);
    bench.sweeps();
    let cost = |(step, histogram): (&String, &Histogram<u64>)| (step.clone(), Cost::of(histogram));
    Ok(StepCosts {
        replicas,
        dispatchers,
        cold: 0.0,
        seed,
        arrivals: TURNS,
        finished: true,
        steps: bench.costs.iter().map(cost).collect(),
    })
}
