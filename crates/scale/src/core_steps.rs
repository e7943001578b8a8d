//! The cost of the core's steps by the size of the fleet: endpoint lists, gossip, requests, releases, and the timer.
//!
//! [`CoreBench`] drives a [`Core`] with events on a simulated clock and times each call on the real one. The core runs
//! without connections: [`CoreBench`] answers its probes and ends its attempts. [`crate::memory`] uses it, too.
//!
//! The names of the steps are keys in the committed results, and must not change.

use crate::config::{self, Addresses};
use crate::fleet::{self, replica_id, replica_key, FleetShape};
use crate::results::{StepCost, StepCosts};
use crate::scenario::{Scenario, ScenarioError};
use crate::simulation::UNITS_PER_MICROSECOND;
use bytes::Bytes;
use hdrhistogram::Histogram;
use quartzhall::config::{Config, Deployment};
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
use std::error::Error;
use std::fmt;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::{mpsc, oneshot};

/// One millisecond of the simulated clock.
const MS: Time = 1_000;
/// The start of the simulated clock, in Unix microseconds.
const START_TIME: Time = 1_700_000_000_000_000;
/// Repetitions of each step, unless another number is given for it.
const REPETITIONS: usize = 200;
/// Repetitions of the unchanged full list: fewer, because each goes through the whole fleet.
const FULL_LIST_REPETITIONS: usize = REPETITIONS / 20;
/// Streams that are open at one dispatcher at the target's peak: 58.5 requests per second, each open for 10 s.
const PEAK_OPEN_STREAMS: u64 = 585;
/// Requests that the sender counts before each gossip message, because they earn its gossip budget.
const REQUESTS_PER_GOSSIP_MESSAGE: usize = 50;
/// The core's limit of connections to endpoints. It also limits the open requests, but `most_held` in the settings is lower: 2,000.
const MAX_CONNECTIONS: usize = 4_096;

type StepHistograms = BTreeMap<String, Histogram<u64>>;

/// Why the core could not be configured.
#[derive(Debug)]
pub enum MeasureError {
    /// The built-in scenario, from which the configuration is made, is not valid.
    Scenario(ScenarioError),
    /// The dispatcher does not accept the configuration.
    Config(String),
}

impl fmt::Display for MeasureError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MeasureError::Scenario(error) => error.fmt(formatter),
            MeasureError::Config(reason) => formatter.write_str(reason),
        }
    }
}

impl Error for MeasureError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            MeasureError::Scenario(error) => Some(error),
            MeasureError::Config(_) => None,
        }
    }
}

impl From<ScenarioError> for MeasureError {
    fn from(error: ScenarioError) -> MeasureError {
        MeasureError::Scenario(error)
    }
}

/// A core in front of a drawn fleet, with histograms of the cost of its steps.
pub struct CoreBench {
    core: Core,
    now: Time,
    costs: StepHistograms,
    records: Vec<EndpointRecord>, // by replica number, with the status last sent
    outcomes: Vec<oneshot::Receiver<Outcome>>, // kept: without a receiver the core would end the stream
}

/// Builds the deployment of a dispatcher in a fleet with this many dispatchers. The addresses are placeholders,
/// because the core opens no connections.
fn build_deployment(dispatchers: u32) -> Result<Deployment, MeasureError> {
    let scenario = Scenario::parse(&format!(
        "name = \"steps\"\nseconds = 1\n[fleet]\nreplicas = 100\nzones = 15\nrack = [4, 8]\nreaders = 0.25\n[dispatchers]\nreal = 1\ntold = {dispatchers}\nsockets = 1024\n[load]\nper_dispatcher = 1.0\nprompt = [1, 2]\nanswer = [1, 2]\n"
    ))?;
    let unused_address = || "127.0.0.1:1".to_owned();
    let addresses = Addresses {
        listen: unused_address(),
        discovery: unused_address(),
        peer_listen: unused_address(),
        peers_all: unused_address(),
    };
    let text = config::config_text(&scenario, 0, 1, &addresses, &[]);
    let config = Config::parse(&text).map_err(|error| MeasureError::Config(error.to_string()))?;
    Deployment::new(&config.settings).map_err(|error| MeasureError::Config(error.to_string()))
}

fn discovered_endpoint(record: &EndpointRecord) -> DiscoveredEndpoint {
    let [_, _, high, low] = (record.cell + 1).to_be_bytes();
    let address = format!("127.1.{high}.{low}:{}", 10_000 + record.endpoint);
    DiscoveredEndpoint {
        id: replica_id(record.endpoint as usize).into(),
        address: address.into(),
        record: record.clone(),
        is_partial: false,
    }
}

impl CoreBench {
    /// Creates a core without endpoints, and draws the fleet for its first list.
    ///
    /// # Errors
    ///
    /// Fails if the core cannot be configured.
    pub fn new(replicas: usize, dispatchers: u32, seed: u64) -> Result<CoreBench, MeasureError> {
        let now = START_TIME;
        let shape = FleetShape::with_replicas(replicas);
        let records = fleet::draw(&shape, now, &mut Pcg32::seed_from_u64(seed));
        let deployment = Arc::new(build_deployment(dispatchers)?);
        let log = Logger::root(Discard, o!());
        let core = Core::new(deployment, MAX_CONNECTIONS, seed, now, log);
        Ok(CoreBench {
            core,
            now,
            costs: StepHistograms::new(),
            records,
            outcomes: Vec::new(),
        })
    }

    /// Times the handling of an event as one step, and returns the core's commands.
    fn measure_event(&mut self, step: &str, event: Event) -> Vec<Command> {
        let started = Instant::now();
        self.core.handle_event(self.now, event);
        let commands = self.core.take_commands();
        self.record_duration(step, started);
        commands
    }

    /// Times a run of the core's timer as one step, and returns the core's commands.
    fn measure_timer(&mut self, step: &str) -> Vec<Command> {
        let started = Instant::now();
        self.core.on_timer(self.now);
        let commands = self.core.take_commands();
        self.record_duration(step, started);
        commands
    }

    fn record_duration(&mut self, step: &str, started: Instant) {
        let duration_units = started.elapsed().as_nanos() as f64 / 1e3 * UNITS_PER_MICROSECOND;
        let Ok(empty) = Histogram::new(3) else { return };
        let histogram = self.costs.entry(step.to_owned()).or_insert(empty);
        let _ = histogram.record(duration_units as u64);
    }

    fn full_list_event(&self) -> Event {
        Event::EndpointsChanged {
            is_full: true,
            endpoints: self.records.iter().map(discovered_endpoint).collect(),
        }
    }

    /// Creates a partial endpoint list of one replica, with its status in `records`.
    fn endpoint_change_event(&self, number: usize) -> Event {
        Event::EndpointsChanged {
            is_full: false,
            endpoints: vec![discovered_endpoint(&self.records[number])],
        }
    }

    /// Sends the full list to a core without endpoints, which adds them all.
    pub fn send_first_list(&mut self) {
        let first_list = self.full_list_event();
        self.measure_event("core: first list", first_list);
    }

    /// Measures the first list, unchanged full lists, and lists with the changed status of one replica.
    fn measure_lists(&mut self, rng: &mut Pcg32) {
        self.send_first_list();
        for _ in 0..FULL_LIST_REPETITIONS {
            self.now += 100 * MS;
            let list = self.full_list_event();
            self.measure_event("core: whole list, unchanged", list);
        }
        for repetition in 0..REPETITIONS {
            self.now += 100 * MS;
            let number = rng.gen_range(0..self.records.len());
            for status in [EndpointStatus::Draining, EndpointStatus::Ready] {
                self.records[number].status = status;
                let change = self.endpoint_change_event(number);
                self.measure_event("core: change of one replica", change);
            }
            self.now += repetition as Time;
        }
    }

    /// Measures received gossip messages, each with the load of one replica.
    fn measure_gossip(&mut self, dispatchers: u32, rng: &mut Pcg32) {
        let new_gossip = || Gossip::new(dispatchers as usize, config::GOSSIP_COST);
        self.core.set_gossip(new_gossip());
        let mut sender = new_gossip();
        for repetition in 0..REPETITIONS {
            self.now += 20 * MS;
            for _ in 0..REQUESTS_PER_GOSSIP_MESSAGE {
                sender.on_request();
            }
            let number = rng.gen_range(0..self.records.len());
            let load = LoadReport {
                in_flight: Some(50.0 + repetition as f64),
                ..LoadReport::default()
            };
            sender.record_load(self.now, number as u32, replica_key(number), &load);
            let Some(message) = sender.next_message(self.now) else {
                continue;
            };
            let received = Event::GossipReceived {
                peer: 1,
                message: Bytes::from(message),
            };
            self.measure_event("core: message heard", received);
        }
    }

    /// Sends a request to the core and answers its probes. Returns whether the prefill attempt was started.
    fn start_request(&mut self, id: u64) -> bool {
        let metadata = RequestMetadata {
            id,
            session: Some(id),
            time_left: 4_000 * MS,
            prompt_tokens: 2_000.0,
            max_output_tokens: 300.0,
            ..RequestMetadata::default()
        };
        let upstream = UpstreamRequest {
            client_request_id: format!("r{id}").into(),
            target: "/v1/chat/completions".into(),
            body: Bytes::new(),
            stream_can_migrate: true,
        };
        let (outcome, receiver) = oneshot::channel();
        self.outcomes.push(receiver);
        let arrived = Event::RequestArrived {
            metadata,
            upstream,
            outcome,
            end_report: None,
        };
        let commands = self.measure_event("core: request", arrived);
        let commands = self.answer_probes(commands);
        starts_attempt(&commands, id, 0)
    }

    /// Answers the probes among the commands, then fires the timer, so that a request that waits for probes is sent.
    /// Returns the given commands and those that follow.
    fn answer_probes(&mut self, mut commands: Vec<Command>) -> Vec<Command> {
        let probed: Vec<EndpointId> = commands.iter().filter_map(probed_endpoint).collect();
        for endpoint in probed {
            let load = LoadReport {
                in_flight: Some(1.0),
                kv_memory_share: Some(0.1),
                ..LoadReport::default()
            };
            let completed = Event::ProbeCompleted {
                endpoint,
                is_healthy: true,
                load: Some(load),
            };
            commands.extend(self.measure_event("core: probe's answer", completed));
        }
        self.now += 10 * MS; // past the deadline for responses to probes
        commands.extend(self.measure_timer("core: wake, a request is sent"));
        commands
    }

    /// Measures `count` requests with ids from `first_id` whose client disconnects after prefill, so that the core releases the
    /// KV cache.
    fn measure_releases(&mut self, first_id: u64, count: u64) {
        for id in first_id..first_id + count {
            self.now += MS;
            if !self.start_request(id) {
                continue;
            }
            self.measure_event("core: read's end", prefill_done(id, EndReason::PrefillDone));
            let disconnected = Event::ClientDisconnected {
                id,
                may_have_run: None,
            };
            self.measure_event("core: client left, lease let go", disconnected);
            let released = Event::ReleaseCompleted {
                id,
                confirmed: true,
            };
            self.core.handle_event(self.now, released);
        }
    }

    /// Measures the timer, which checks deadlines, while the streams are open.
    fn measure_deadline_checks(&mut self) {
        for _ in 0..REPETITIONS {
            self.now += 20 * MS;
            self.measure_timer("core: wake with 585 streams");
        }
    }

    /// Opens streams: sends `count` requests with ids from `first_id`, and takes each to the first event of its decode. Requests
    /// that the core does not start are skipped.
    pub fn open_streams(&mut self, first_id: u64, count: u64) {
        for id in first_id..first_id + count {
            self.now += MS;
            if !self.start_request(id) {
                continue;
            }
            let reason = EndReason::from_status(AttemptStatus::PrefillDone);
            self.core.handle_event(self.now, prefill_done(id, reason));
            let commands = self.core.take_commands();
            let commands = self.answer_probes(commands);
            if !starts_attempt(&commands, id, 1) {
                continue;
            }
            let first_event = Event::FirstEvent {
                id,
                attempt: 1,
                stream: mpsc::channel(1).1,
            };
            self.core.handle_event(self.now, first_event);
            self.core.take_commands();
        }
    }
}

/// Creates the event for the end of a request's first attempt, the prefill.
fn prefill_done(id: RequestId, reason: EndReason) -> Event {
    Event::AttemptEnded {
        id,
        attempt: 0,
        reason,
        cached_tokens: 0.0,
        completion_tokens: 0.0,
        load: None,
    }
}

/// Returns whether the commands start attempt `number` of a request; attempts count from 0.
fn starts_attempt(commands: &[Command], request: RequestId, number: u32) -> bool {
    commands.iter().any(|command| {
        matches!(command, Command::StartAttempt { id, attempt, .. } if *id == request && *attempt == number)
    })
}

/// Returns the endpoint of a probe; `None` for other commands.
fn probed_endpoint(command: &Command) -> Option<EndpointId> {
    match command {
        Command::Probe { endpoint, .. } => Some(*endpoint),
        _ => None,
    }
}

/// Measures all steps of the core with this many replicas.
///
/// # Errors
///
/// Fails if the core cannot be configured.
pub fn measure(replicas: usize, dispatchers: u32, seed: u64) -> Result<StepCosts, MeasureError> {
    let mut rng = Pcg32::seed_from_u64(seed ^ 1);
    let mut bench = CoreBench::new(replicas, dispatchers, seed)?;
    bench.measure_lists(&mut rng);
    bench.measure_gossip(dispatchers, &mut rng);
    bench.measure_releases(1, REPETITIONS as u64);
    bench.open_streams(10_000, PEAK_OPEN_STREAMS);
    bench.measure_deadline_checks();
    let steps = bench
        .costs
        .iter()
        .map(|(step, histogram)| (step.clone(), StepCost::from_histogram(histogram)));
    Ok(StepCosts {
        replicas,
        dispatchers,
        warming_up_share: 0.0,
        seed,
        arrivals: REPETITIONS,
        is_finished: true,
        steps: steps.collect(),
    })
}
