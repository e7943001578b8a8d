//! One scale run: hollow replicas, hollow discovery and hollow dispatchers in this process, real dispatchers beside it,
//! and an open-loop load.

use crate::config::{self, Addresses};
use crate::fleet;
use crate::hollow::discovery::{DiscoveredEndpoint, Discovery, Written};
use crate::hollow::peers::{self, GossipTransport};
use crate::hollow::replica::{ColdRule, DrainTold, Ledger, Replica};
use crate::load;
use crate::process::{self, Dispatcher, Sample};
use crate::results::{Answers, ScaleRun, Times, Usage};
use crate::scenario::{Event, EventKind, Scenario};
use hdrhistogram::Histogram;
use quartzhall::routing::api::{EndpointRecord, EndpointStatus};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use slog::{info, Logger};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinSet;
use tokio::time::{interval, sleep_until, Instant};

/// Descriptors that the rig needs for each real dispatcher, beside those of its connections.
const DESCRIPTORS_SPARE: u64 = 200;
/// Descriptors of a hollow dispatcher: its socket for talk, and its call of discovery.
const DESCRIPTORS_HOLLOW: u64 = 3;
/// Memory that a replica, a hollow dispatcher and a real one may take, in KB, generously.
const REPLICA_KB: u64 = 48;
const HOLLOW_KB: u64 = 128;
const REAL_KB: u64 = 256 * 1024;
/// Real dispatchers and the rig keep to this part of the machine's memory.
const MEMORY_PART: u64 = 2;
/// The rig was the bottleneck where it sent one request in a hundred later than this.
const SENT_LATE: Duration = Duration::from_millis(20);
/// A replica that a rolling deploy replaces drains for so long.
const ROLL_DRAIN: Duration = Duration::from_secs(1);
/// Between two lines of progress.
const PROGRESS: Duration = Duration::from_secs(5);

/// What is run, and with what.
pub struct Plan {
    /// The scenario.
    pub scenario: Scenario,
    /// Draws the load, the fleet and the events.
    pub seed: u64,
    /// The dispatcher's program.
    pub program: PathBuf,
    /// Where configurations and logs go.
    pub folder: PathBuf,
}

/// What is short for this scenario on this machine, if anything; nothing was started then.
pub fn short_of(scenario: &Scenario) -> Option<String> {
    let sides = &scenario.dispatchers;
    let descriptors = scenario.fleet.replicas as u64
        + sides.hollow as u64 * DESCRIPTORS_HOLLOW
        + sides.real as u64 * (sides.sockets + DESCRIPTORS_SPARE);
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let files = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"));
    let most = files
        .and_then(|it| it.split_whitespace().next()?.parse::<u64>().ok())
        .unwrap_or(u64::MAX);
    if descriptors > most {
        return Some(format!(
            "descriptors: {descriptors} are needed, {most} may be open"
        ));
    }
    let memory = scenario.fleet.replicas as u64 * REPLICA_KB
        + sides.hollow as u64 * HOLLOW_KB
        + sides.real as u64 * REAL_KB;
    let told = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let total = told.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let total = total
        .and_then(|it| it.split_whitespace().next()?.parse::<u64>().ok())
        .unwrap_or(u64::MAX);
    let may = total / MEMORY_PART;
    (memory > may).then(|| format!("memory: {memory} KB are needed, {may} KB may be used"))
}

/// The hollow side of a run.
struct Rig {
    ledger: Arc<Ledger>,
    discovery: Discovery,
    replicas: Arc<Vec<Arc<Replica>>>,
    written: Arc<Vec<Arc<Written>>>,
    tasks: JoinSet<()>,
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |it| it.as_millis() as u64)
}

fn failed(error: std::io::Error) -> String {
    error.to_string()
}

impl Rig {
    /// Binds and serves all replicas, each rack on a loopback address of its own.
    async fn start(scenario: &Scenario, seed: u64) -> Result<Rig, String> {
        let ledger = Arc::new(Ledger::new()?);
        let mut rng = Pcg32::seed_from_u64(seed);
        let entries = fleet::draw(&scenario.fleet.shape(), 1, &mut rng);
        let written: Vec<Arc<Written>> = (0..scenario.dispatchers.real)
            .map(|_| Arc::default())
            .collect();
        let written = Arc::new(written);
        let lists = written.clone();
        let drain_told: DrainTold =
            Arc::new(move |name, replica| lists.get(load::dispatcher_of(name)?)?.told_of(replica));
        let most = config::CAPACITY
            * config::FALL.as_secs_f64()
            * config::COLD_FROM
            * config::FALL_MULTIPLE;
        let cold = ColdRule {
            span: config::FALL,
            most,
            warm_within: config::WARM_WITHIN,
        };
        let (mut tasks, mut members, mut replicas) = (JoinSet::new(), Vec::new(), Vec::new());
        for (number, entry) in entries.into_iter().enumerate() {
            let listener = TcpListener::bind((rack_address(&entry), 0))
                .await
                .map_err(failed)?;
            let address = listener.local_addr().map_err(failed)?.to_string();
            let started = entry.started_at.map(|_| Instant::now());
            let up_since_ms = entry.started_at.map_or(0, |_| unix_ms());
            let replica = Replica::new(
                number,
                entry.role,
                ledger.clone(),
                drain_told.clone(),
                cold,
                started,
            );
            tasks.spawn(replica.clone().serve(listener));
            replicas.push(replica);
            members.push(DiscoveredEndpoint {
                entry,
                address,
                up_since_ms,
            });
        }
        let discovery = Discovery::new(members);
        Ok(Rig {
            ledger,
            discovery,
            replicas: Arc::new(replicas),
            written,
            tasks,
        })
    }

    /// An agent of discovery for one dispatcher.
    async fn agent(&mut self, written: Arc<Written>) -> Result<String, String> {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?.to_string();
        self.tasks
            .spawn(self.discovery.clone().serve(listener, written));
        Ok(address)
    }

    /// Starts the hollow dispatchers; what they were sent to each real one is counted in what is returned.
    async fn hollow(
        &mut self,
        scenario: &Scenario,
        seed: u64,
        sockets: Vec<UdpSocket>,
        real: &[String],
    ) -> Result<GossipTransport, String> {
        let agent = self.agent(Arc::default()).await?;
        let count = self.replicas.len();
        let keys =
            (0..count).map(|number| quartzhall::config::fnv1a_hash(&format!("replica-{number}")));
        let peers = GossipTransport {
            told: scenario.dispatchers.told,
            price: config::PEER_PRICE,
            rate: scenario.load.per_dispatcher,
            keys: Arc::new(keys.collect()),
            real: Arc::new(real.iter().filter_map(|it| it.parse().ok()).collect()),
            bytes: Arc::default(),
            messages: Arc::default(),
        };
        for (number, socket) in sockets.into_iter().enumerate() {
            let own = seed.wrapping_add(1_000 + number as u64);
            self.tasks.spawn(peers::tell(peers.clone(), socket, own));
            self.tasks
                .spawn(peers::follow(agent.clone(), peers.told, own));
        }
        Ok(peers)
    }

    fn happen(&mut self, event: &Event, seed: u64) {
        let in_zone = |member: &DiscoveredEndpoint| member.entry.zone == event.number;
        match event.kind {
            EventKind::DrainRack => self.drain(|member| member.entry.cell == event.number),
            EventKind::DrainZone => self.drain(in_zone),
            EventKind::ReturnZone => restart(
                &self.discovery,
                &self.replicas,
                &self.discovery.members(in_zone),
            ),
            EventKind::WholeList => self.discovery.send_whole(),
            EventKind::Roll => {
                let (discovery, replicas) = (self.discovery.clone(), self.replicas.clone());
                self.tasks
                    .spawn(roll(discovery, replicas, event.number as usize, seed));
            }
        }
    }

    fn drain(&self, which: impl Fn(&DiscoveredEndpoint) -> bool) {
        let members = self.discovery.members(which);
        self.discovery.change(&members, |member| {
            member.entry.status = EndpointStatus::Draining
        });
    }
}

fn rack_address(entry: &EndpointRecord) -> std::net::Ipv4Addr {
    let [_, _, high, low] = (entry.cell + 1).to_be_bytes();
    std::net::Ipv4Addr::new(127, 1, high, low)
}

/// Replicas are back, and cold.
fn restart(discovery: &Discovery, replicas: &[Arc<Replica>], numbers: &[usize]) {
    numbers
        .iter()
        .for_each(|number| replicas[*number].restart());
    let now = unix_ms();
    discovery.change(numbers, |member| {
        member.entry.status = EndpointStatus::Ready;
        member.up_since_ms = now;
    });
}

/// So many replicas a second drain, and are back cold after a second.
async fn roll(
    discovery: Discovery,
    replicas: Arc<Vec<Arc<Replica>>>,
    each_second: usize,
    seed: u64,
) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut turns = interval(ROLL_DRAIN);
    let mut draining: Vec<usize> = Vec::new();
    loop {
        turns.tick().await;
        restart(&discovery, &replicas, &draining);
        draining = (0..each_second)
            .map(|_| rng.gen_range(0..replicas.len()))
            .collect();
        discovery.change(&draining, |member| {
            member.entry.status = EndpointStatus::Draining
        });
    }
}

/// An address that is free now, on a loopback address of the dispatcher's own.
async fn free_address(number: usize) -> Result<String, String> {
    let [_, _, high, low] = (number as u32 + 1).to_be_bytes();
    let listener = TcpListener::bind((std::net::Ipv4Addr::new(127, 2, high, low), 0))
        .await
        .map_err(failed)?;
    Ok(listener.local_addr().map_err(failed)?.to_string())
}

/// The real dispatchers of a run, and when and at what cost each was ready.
struct Real {
    dispatchers: Vec<Dispatcher>,
    ready: Vec<(Duration, Sample)>,
}

/// Starts one real dispatcher after the other, each when the one before is ready.
async fn start_real(
    plan: &Plan,
    rig: &mut Rig,
    peer_listen: &[String],
    peers: &[String],
    all: &str,
    log: &Logger,
) -> Result<Real, String> {
    let mut real = Real {
        dispatchers: Vec::new(),
        ready: Vec::new(),
    };
    for (number, peer_listen) in peer_listen.iter().enumerate() {
        let addresses = Addresses {
            listen: free_address(number).await?,
            discovery: rig.agent(rig.written[number].clone()).await?,
            peer_listen: peer_listen.clone(),
            peers_all: all.to_owned(),
        };
        let seed = plan.seed.wrapping_add(number as u64);
        let config = config::text(&plan.scenario, number, seed, &addresses, peers);
        let name = format!("d{number}");
        let dispatcher = Dispatcher::start(
            &plan.program,
            &plan.folder,
            &name,
            addresses.listen,
            &config,
        )?;
        let took = dispatcher.ready().await?;
        let sample = process::sample(dispatcher.id).ok_or_else(|| format!("{name} has ended"))?;
        info!(log, "ready"; "dispatcher" => name, "seconds" => took.as_secs_f64(), "resident_mb" => sample.resident_mb);
        real.ready.push((took, sample));
        real.dispatchers.push(dispatcher);
    }
    Ok(real)
}

/// What the load has come to.
struct Loaded {
    answers: Answers,
    first_token: Histogram<u64>,
    sent_late: Histogram<u64>,
}

async fn put_under_load(
    plan: &Plan,
    rig: &mut Rig,
    real: &Real,
    log: &Logger,
) -> Result<Loaded, String> {
    let began = Instant::now();
    let until = began + Duration::from_secs(plan.scenario.seconds);
    let mut loads = JoinSet::new();
    for (number, dispatcher) in real.dispatchers.iter().enumerate() {
        let seed = plan.seed.wrapping_mul(31).wrapping_add(number as u64);
        let load = plan.scenario.load.clone();
        loads.spawn(load::run(
            dispatcher.address.clone(),
            number,
            load,
            seed,
            until,
            rig.ledger.clone(),
        ));
    }
    let mut events = plan.scenario.events.clone();
    events.sort_by(|a, b| a.at.total_cmp(&b.at));
    let mut events = events.into_iter().peekable();
    let mut progress = interval(PROGRESS);
    let histogram = || Histogram::new(3).map_err(|error| error.to_string());
    let mut loaded = Loaded {
        answers: Answers::default(),
        first_token: histogram()?,
        sent_late: histogram()?,
    };
    loop {
        let next = events
            .peek()
            .map(|event| began + Duration::from_secs_f64(event.at.max(0.0)));
        tokio::select! {
            () = sleep_until(next.unwrap_or(until)), if next.is_some() => {
                if let Some(event) = events.next() {
                    info!(log, "event"; "at" => event.at, "kind" => ?event.kind, "number" => event.number);
                    rig.happen(&event, plan.seed);
                }
            }
            _ = progress.tick() => {
                info!(log, "under load"; "seconds" => began.elapsed().as_secs(), "of" => plan.scenario.seconds);
            }
            ended = loads.join_next() => {
                let Some(ended) = ended else { return Ok(loaded) };
                let outcomes = ended.map_err(|error| error.to_string())??;
                loaded.answers = loaded.answers.and(outcomes.answers);
                loaded.first_token.add(outcomes.first_token).map_err(|error| error.to_string())?;
                loaded.sent_late.add(outcomes.sent_late).map_err(|error| error.to_string())?;
            }
        }
    }
}

/// Runs a scenario to its end; the error is what went wrong, on one line.
pub async fn run(plan: &Plan, log: &Logger) -> Result<ScaleRun, String> {
    if let Some(short) = short_of(&plan.scenario) {
        return Err(format!("{}: {short}", plan.scenario.name));
    }
    let sides = &plan.scenario.dispatchers;
    let mut rig = Rig::start(&plan.scenario, plan.seed).await?;
    info!(log, "hollow replicas listen"; "replicas" => rig.replicas.len());
    let mut peer_listen = Vec::new();
    for number in 0..sides.real {
        peer_listen.push(free_address(number).await?);
    }
    let (mut sockets, mut peers) = (Vec::new(), peer_listen.clone());
    for _ in 0..sides.hollow {
        let socket = UdpSocket::bind("127.0.0.1:0").await.map_err(failed)?;
        peers.push(socket.local_addr().map_err(failed)?.to_string());
        sockets.push(socket);
    }
    // What real dispatchers tell all others goes nowhere: it can't be passed on from their own addresses.
    let all = UdpSocket::bind("127.0.0.1:0").await.map_err(failed)?;
    let all_at = all.local_addr().map_err(failed)?.to_string();
    let real = start_real(plan, &mut rig, &peer_listen, &peers, &all_at, log).await?;
    let hollow = rig
        .hollow(&plan.scenario, plan.seed, sockets, &peer_listen)
        .await?;

    let sample = |id| process::sample(id).unwrap_or_default();
    let counts = |rig: &Rig, hollow: &GossipTransport| -> Vec<u64> {
        let bytes = rig
            .written
            .iter()
            .map(|it| it.bytes.load(Ordering::Relaxed));
        bytes
            .chain([hollow.bytes.load(Ordering::Relaxed)])
            .collect()
    };
    let ids: Vec<u32> = real.dispatchers.iter().map(|it| it.id).collect();
    let (before, own_before) = (
        ids.iter().map(|id| sample(*id)).collect::<Vec<_>>(),
        sample(std::process::id()),
    );
    let (counted, began) = (counts(&rig, &hollow), Instant::now());
    let count = |it: &AtomicU64| it.load(Ordering::Relaxed);
    let (probes, connections, probe_bytes) = (
        count(&rig.ledger.probes),
        count(&rig.ledger.connections),
        count(&rig.ledger.probe_bytes),
    );
    let loaded = put_under_load(plan, &mut rig, &real, log).await?;
    let took = began.elapsed().as_secs_f64();
    let own = sample(std::process::id());
    let now = counts(&rig, &hollow);
    let heard_bytes_per_s = (now[sides.real] - counted[sides.real]) as f64 / took;
    let usage = ids.iter().enumerate().map(|(number, id)| {
        let after = sample(*id);
        let written = &rig.written[number];
        let (ready, at_ready) = real.ready[number];
        Usage {
            core: (after.core_s - before[number].core_s) / took,
            resident_mb: after.resident_mb,
            ready_s: ready.as_secs_f64(),
            ready_core_s: at_ready.core_s,
            list_bytes_per_s: (now[number] - counted[number]) as f64 / took,
            lists: count(&written.lists),
            whole_lists: count(&written.whole),
            heard_bytes_per_s,
        }
    });
    let usage: Vec<Usage> = usage.collect();
    for dispatcher in real.dispatchers {
        dispatcher.end().await?;
    }
    let times = |it: &std::sync::Mutex<Histogram<u64>>| {
        Times::of(&it.lock().unwrap_or_else(PoisonError::into_inner))
    };
    let sent = loaded.answers.sent.max(1) as f64;
    let sent_late = Times::of(&loaded.sent_late);
    let result = ScaleRun {
        scenario: plan.scenario.name.clone(),
        seed: plan.seed,
        replicas: plan.scenario.fleet.replicas,
        real: sides.real,
        hollow: sides.hollow,
        rate: plan.scenario.load.per_dispatcher,
        answers: loaded.answers,
        rules: rig.ledger.rules(),
        usage,
        first_token: Times::of(&loaded.first_token),
        to_replica: times(&rig.ledger.reached),
        after_drain: times(&rig.ledger.after_drain),
        probes_per_request: (count(&rig.ledger.probes) - probes) as f64 / sent,
        connections_per_request: (count(&rig.ledger.connections) - connections) as f64 / sent,
        probe_bytes_per_s: (count(&rig.ledger.probe_bytes) - probe_bytes) as f64 / took,
        sent_late,
        rig_cores: (own.core_s - own_before.core_s) / took,
        rig_limited: sent_late.p99_ms > SENT_LATE.as_secs_f64() * 1000.0,
    };
    rig.tasks.shutdown().await;
    Ok(result)
}

/// What of the scenario does not hold in this result: counts and rules only.
pub fn broken(scenario: &Scenario, result: &ScaleRun) -> Vec<String> {
    let Answers {
        sent, served, lost, ..
    } = result.answers;
    let rules = &result.rules;
    let served_part = served as f64 / sent.max(1) as f64;
    let checks = [
        (sent == 0, "no request was sent".to_owned()),
        (lost > 0, format!("{lost} of {sent} requests were lost")),
        (
            rules.sends_after_drain > 0,
            format!("{} sends against a told drain", rules.sends_after_drain),
        ),
        (
            rules.cold_falls > 0,
            format!("{} cold replicas fell", rules.cold_falls),
        ),
        (
            rules.states_held_too_long > 0,
            format!("{} states held too long", rules.states_held_too_long),
        ),
        (
            served_part < scenario.must.served,
            format!("{served} of {sent} requests were served"),
        ),
    ];
    checks
        .into_iter()
        .filter(|(is_broken, _)| *is_broken)
        .map(|(_, what)| what)
        .collect()
}
