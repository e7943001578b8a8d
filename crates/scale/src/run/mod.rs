//! One scale run: simulated replicas, discovery and dispatchers in this process, real dispatchers as child processes, and an
//! open-loop load.
//!
//! [`run`] starts all of them, measures before and after the load, and shuts them down. Whether the result is as the scenario
//! expects is decided by [`find_unmet_expectations`].

mod bench;
mod error;
mod real;
mod resources;

use crate::load::{self, LoadResult};
use crate::process::{sample_resources, ResourceSample};
use crate::results::{DispatcherUsage, DurationSummary, ScaleRunResult};
use crate::scenario::{Scenario, ScenarioEvent};
use crate::simulated::peers::SimulatedPeers;
use bench::Bench;
use hdrhistogram::Histogram;
use real::RealDispatchers;
use slog::{info, Logger};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinSet;
use tokio::time::{interval, sleep_until, Instant};

pub use error::RunError;
pub use resources::{find_shortage, Shortage};

/// Limit of the 99th percentile of the send delay. Above it, the bench itself limited the load.
const MAX_SEND_DELAY: Duration = Duration::from_millis(20);
/// Time between two log lines during the load.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);
/// Factor of the run's seed in the seeds of the load, so that runs with consecutive seeds share none for up to 31 dispatchers.
const LOAD_SEED_FACTOR: u64 = 31;

/// A scenario with all that is needed to run it.
pub struct RunPlan {
    /// The scenario.
    pub scenario: Scenario,
    /// Seed of the fleet, the load, the events and the dispatchers.
    pub seed: u64,
    /// Path of the dispatcher's program.
    pub program: PathBuf,
    /// Existing folder for the configurations and logs of the real dispatchers.
    pub folder: PathBuf,
}

/// Returns a loopback address whose port is free now. Each dispatcher has an IP address of its own.
async fn find_free_address(dispatcher: usize) -> Result<String, RunError> {
    let [_, _, high, low] = (dispatcher as u32 + 1).to_be_bytes();
    let ip = std::net::Ipv4Addr::new(127, 2, high, low);
    let listener = TcpListener::bind((ip, 0)).await?;
    Ok(listener.local_addr()?.to_string())
}

fn read_counter(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}

fn summarize_durations(histogram: &Mutex<Histogram<u64>>) -> DurationSummary {
    DurationSummary::from_histogram(&histogram.lock().unwrap_or_else(PoisonError::into_inner))
}

/// The bench's counters at one moment.
struct CounterSnapshot {
    list_bytes: Vec<u64>, // by real dispatcher
    gossip_bytes: u64,
    probes: u64,
    connections: u64,
    probe_bytes: u64,
}

impl CounterSnapshot {
    fn take(bench: &Bench, peers: &SimulatedPeers) -> CounterSnapshot {
        CounterSnapshot {
            list_bytes: bench
                .delivery_logs
                .iter()
                .map(|log| read_counter(&log.bytes))
                .collect(),
            gossip_bytes: read_counter(&peers.sent_bytes),
            probes: read_counter(&bench.metrics.probes),
            connections: read_counter(&bench.metrics.connections),
            probe_bytes: read_counter(&bench.metrics.probe_bytes),
        }
    }
}

/// What is measured both before and after the load.
struct Measurement {
    dispatchers: Vec<ResourceSample>,
    bench: ResourceSample,
    counters: CounterSnapshot,
}

impl Measurement {
    fn take(bench: &Bench, peers: &SimulatedPeers, process_ids: &[u32]) -> Measurement {
        let sample_or_zero = |process_id| sample_resources(process_id).unwrap_or_default();
        Measurement {
            dispatchers: process_ids.iter().map(|id| sample_or_zero(*id)).collect(),
            bench: sample_or_zero(std::process::id()),
            counters: CounterSnapshot::take(bench, peers),
        }
    }
}

/// Runs a scenario to its end.
///
/// # Errors
///
/// Fails if the machine lacks the resources, or the bench or a real dispatcher fails. Unmet expectations of the scenario are not
/// an error here; see [`find_unmet_expectations`].
pub async fn run(plan: &RunPlan, log: &Logger) -> Result<ScaleRunResult, RunError> {
    if let Some(shortage) = find_shortage(&plan.scenario) {
        return Err(RunError::Shortage {
            scenario: plan.scenario.name.clone(),
            shortage,
        });
    }
    let config = &plan.scenario.dispatchers;
    let mut bench = Bench::start(&plan.scenario, plan.seed).await?;
    info!(log, "simulated replicas listening"; "replicas" => bench.replicas.len());
    let mut real_gossip_addresses = Vec::new();
    for number in 0..config.real {
        real_gossip_addresses.push(find_free_address(number).await?);
    }
    let mut peer_sockets = Vec::new();
    let mut all_gossip_addresses = real_gossip_addresses.clone();
    for _ in 0..config.simulated {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        all_gossip_addresses.push(socket.local_addr()?.to_string());
        peer_sockets.push(socket);
    }
    // Gossip that real dispatchers send to the address for all others is discarded: it could not be forwarded from the sender's
    // own address.
    let discarding_socket = UdpSocket::bind("127.0.0.1:0").await?;
    let gossip = real::GossipAddresses {
        real: &real_gossip_addresses,
        all: &all_gossip_addresses,
        broadcast: &discarding_socket.local_addr()?.to_string(),
    };
    let real = RealDispatchers::start(plan, &mut bench, &gossip, log).await?;
    let peers = bench
        .start_peers(
            &plan.scenario,
            plan.seed,
            peer_sockets,
            &real_gossip_addresses,
        )
        .await?;
    let process_ids = real.process_ids();
    let before = Measurement::take(&bench, &peers, &process_ids);
    let started = Instant::now();
    let load = generate_load(plan, &mut bench, &real, log).await?;
    let seconds = started.elapsed().as_secs_f64();
    let after = Measurement::take(&bench, &peers, &process_ids);
    let usage = measure_usage(&bench, &real, &before, &after, seconds);
    real.terminate().await?;
    let result = summarize_run(plan, &bench, &load, usage, &before, &after, seconds);
    bench.shut_down().await;
    Ok(result)
}

/// Puts all real dispatchers under load and starts the scenario's events at their times, until all responses are complete.
async fn generate_load(
    plan: &RunPlan,
    bench: &mut Bench,
    real: &RealDispatchers,
    log: &Logger,
) -> Result<LoadResult, RunError> {
    let started = Instant::now();
    let end = started + Duration::from_secs(plan.scenario.seconds);
    let mut loads = JoinSet::new();
    for (number, address) in real.addresses().enumerate() {
        let seed = plan
            .seed
            .wrapping_mul(LOAD_SEED_FACTOR)
            .wrapping_add(number as u64);
        let load = plan.scenario.load.clone();
        let metrics = bench.metrics.clone();
        loads.spawn(load::run(
            address.to_owned(),
            number,
            load,
            seed,
            end,
            metrics,
        ));
    }
    let mut events = plan.scenario.events.clone();
    events.sort_by(|a, b| a.at_seconds.total_cmp(&b.at_seconds));
    let mut events = events.into_iter().peekable();
    let mut progress = interval(PROGRESS_INTERVAL);
    let mut result = LoadResult::new()?;
    let starts_at =
        |event: &ScenarioEvent| started + Duration::from_secs_f64(event.at_seconds.max(0.0));
    loop {
        let next_event = events.peek().map(starts_at);
        tokio::select! {
            () = sleep_until(next_event.unwrap_or(end)), if next_event.is_some() => {
                if let Some(event) = events.next() {
                    info!(log, "scenario event started"; "at_seconds" => event.at_seconds,
                        "kind" => ?event.kind, "number" => event.number);
                    bench.start_event(&event, plan.seed);
                }
            }
            _ = progress.tick() => {
                info!(log, "load in progress"; "seconds" => started.elapsed().as_secs(),
                    "total_seconds" => plan.scenario.seconds);
            }
            finished = loads.join_next() => {
                let Some(finished) = finished else { return Ok(result) };
                result.add(&finished??)?;
            }
        }
    }
}

/// Returns what each real dispatcher used between two measurements, `seconds` apart.
fn measure_usage(
    bench: &Bench,
    real: &RealDispatchers,
    before: &Measurement,
    after: &Measurement,
    seconds: f64,
) -> Vec<DispatcherUsage> {
    let per_second = |after: u64, before: u64| (after - before) as f64 / seconds;
    let gossip_bytes_per_s = per_second(after.counters.gossip_bytes, before.counters.gossip_bytes);
    let mut usage = Vec::new();
    for (number, startup) in real.startups().enumerate() {
        let sample = after.dispatchers[number];
        let delivery_log = &bench.delivery_logs[number];
        let list_bytes = after.counters.list_bytes[number];
        usage.push(DispatcherUsage {
            core_share: (sample.cpu_s - before.dispatchers[number].cpu_s) / seconds,
            resident_mb: sample.resident_mb,
            ready_s: startup.duration.as_secs_f64(),
            ready_core_s: startup.resources.cpu_s,
            list_bytes_per_s: per_second(list_bytes, before.counters.list_bytes[number]),
            lists: read_counter(&delivery_log.lists),
            full_lists: read_counter(&delivery_log.full_lists),
            gossip_bytes_per_s,
        });
    }
    usage
}

fn summarize_run(
    plan: &RunPlan,
    bench: &Bench,
    load: &LoadResult,
    usage: Vec<DispatcherUsage>,
    before: &Measurement,
    after: &Measurement,
    seconds: f64,
) -> ScaleRunResult {
    let metrics = &bench.metrics;
    // These counters are read here and not from `after`: connections and probes during the shutdown count as well.
    let probes = read_counter(&metrics.probes) - before.counters.probes;
    let connections = read_counter(&metrics.connections) - before.counters.connections;
    let probe_bytes = read_counter(&metrics.probe_bytes) - before.counters.probe_bytes;
    let requests = load.responses.sent.max(1) as f64;
    let send_delay = DurationSummary::from_histogram(&load.send_delay);
    ScaleRunResult {
        scenario: plan.scenario.name.clone(),
        seed: plan.seed,
        replicas: plan.scenario.fleet.replicas,
        real_dispatchers: plan.scenario.dispatchers.real,
        simulated_dispatchers: plan.scenario.dispatchers.simulated,
        rate: plan.scenario.load.rate_per_dispatcher,
        responses: load.responses,
        rules: metrics.violations(),
        usage,
        time_to_first_token: DurationSummary::from_histogram(&load.time_to_first_token),
        time_to_replica: summarize_durations(&metrics.time_to_replica),
        time_after_drain: summarize_durations(&metrics.time_after_drain),
        probes_per_request: probes as f64 / requests,
        connections_per_request: connections as f64 / requests,
        probe_bytes_per_s: probe_bytes as f64 / seconds,
        send_delay,
        bench_cores: (after.bench.cpu_s - before.bench.cpu_s) / seconds,
        is_bench_limited: send_delay.p99_ms > MAX_SEND_DELAY.as_secs_f64() * 1000.0,
    }
}

/// Returns the expectations that a result does not meet, one text each. Only counts and rules are checked, never times.
pub fn find_unmet_expectations(scenario: &Scenario, result: &ScaleRunResult) -> Vec<String> {
    let responses = &result.responses;
    let sent = responses.sent;
    let rules = &result.rules;
    let served_share = responses.served as f64 / sent.max(1) as f64;
    let mut unmet = Vec::new();
    if sent == 0 {
        unmet.push("no request was sent".to_owned());
    }
    if responses.lost > 0 {
        unmet.push(format!("{} of {sent} requests were lost", responses.lost));
    }
    if rules.sends_after_drain > 0 {
        unmet.push(format!(
            "{} sends against a told drain",
            rules.sends_after_drain
        ));
    }
    if rules.slow_start_overloads > 0 {
        unmet.push(format!("{} cold replicas fell", rules.slow_start_overloads));
    }
    if rules.late_kv_releases > 0 {
        unmet.push(format!("{} states held too long", rules.late_kv_releases));
    }
    if served_share < scenario.expectations.min_served_share {
        unmet.push(format!(
            "{} of {sent} requests were served",
            responses.served
        ));
    }
    unmet
}
