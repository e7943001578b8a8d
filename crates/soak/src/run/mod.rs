//! One run: simulated replicas, discovery agents and clients in this process, real dispatchers beside it, and the faults of
//! the schedule.
//!
//! `SoakRun` owns all of them for the time of the run.

mod faults;
mod process;
mod upgrades;

use crate::client::{self, ClientRequest, KeptConnection, Target};
use crate::error::SoakError;
use crate::oracle::{Oracle, ResponseCounts, Violation};
use crate::replica::{DrainNotifications, Replica};
use crate::schedule::{self, SoakShape};
use crate::wire;
use process::DispatcherProcess;
use quartzhall::routing::api::{EndpointRecord, Role};
use quartzhall_scale::process::sample_resources;
use quartzhall_scale::simulated::discovery::{DeliveryLog, EndpointEntry};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::{interval, sleep, sleep_until};

/// What is run.
pub struct RunPlan {
    /// Draws the faults, the load and the replicas' work times.
    pub seed: u64,
    /// The number of dispatchers and replicas, and the duration.
    pub shape: SoakShape,
    /// Requests per second to each dispatcher.
    pub rate: f64,
    /// The deadline in the settings; no client waits longer for its first event.
    pub max_deadline: Duration,
    /// The dispatcher's program.
    pub program: PathBuf,
    /// Where configurations and logs go.
    pub folder: PathBuf,
}

/// The result of a run.
pub struct RunResult {
    /// Violated invariants.
    pub violations: Vec<Violation>,
    /// Requests by the kind of their response.
    pub counts: ResponseCounts,
    /// Faults that were injected.
    pub faults: usize,
    /// Upgrades among them.
    pub upgrades: u32,
    /// The latest that an event was.
    pub worst_event_delay: Duration,
}

/// Between two checks of the oracle's deadlines.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// After the last request, all responses have come and all reservations are released within this.
const SETTLE_TIME: Duration = Duration::from_millis(6_500);

/// Clients that keep their connection, for each process that is upgraded.
const KEPT_CONNECTIONS: u64 = 2;
/// Between two requests of such a client, in milliseconds.
const MAX_KEPT_PAUSE_MS: u64 = 200;
/// Requests of these clients have numbers from a multiple of two to this power on.
const KEPT_NUMBER_BITS: u32 = 32;
/// The fraction of requests to upgraded processes whose streams outlast upgrades.
const LONG_STREAM_FRACTION: f64 = 0.3;

/// Ports on a process's own address: where it listens, its discovery agent, and the first replica.
const LISTEN_PORT: u16 = 7_000;
const AGENT_PORT: u16 = 7_001; // ports above it answer operators
const REPLICA_PORT: u16 = 7_100;
/// Ports of one run. The following runs use others, because connections of an earlier run may still be closing.
const PORTS_PER_RUN: u16 = 200;
/// Runs after which ports are used again.
const PORT_RANGES: u64 = 100;
/// Cells over which replicas are spread.
const CELLS: u32 = 3;
/// Distance between the seeds of two runs' replicas.
const REPLICA_SEED_FACTOR: u64 = 31;

/// A run in progress.
struct SoakRun {
    plan: RunPlan,
    oracle: Arc<Oracle>,
    replicas: Vec<Arc<Replica>>,
    processes: Vec<Arc<DispatcherProcess>>,
}

/// A loopback address that belongs to one process of this bench, so that no other program takes its ports meanwhile.
fn process_address(seed: u64, process: usize, port: u16) -> SocketAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let port = port + PORTS_PER_RUN * (seed % PORT_RANGES) as u16;
    SocketAddr::from(([127, 64 | (high & 63), low, process as u8 + 1], port))
}

/// Runs one seed to its end.
///
/// # Errors
///
/// Fails if the bench cannot be set up, or a dispatcher does not start at the beginning.
pub async fn run(plan: RunPlan) -> Result<RunResult, SoakError> {
    let mut rng = Pcg32::seed_from_u64(plan.seed);
    let schedule = schedule::draw_schedule(&plan.shape, &mut rng);
    let mut replica_tasks = JoinSet::new();
    let run = Arc::new(SoakRun::set_up(plan, &mut replica_tasks)?);
    for process in &run.processes {
        process.start(&run.plan).await?;
    }
    let deadline_checks = tokio::spawn(run.clone().check_deadlines());
    let started = tokio::time::Instant::now();
    let mut work = JoinSet::new();
    for process in &run.processes {
        let seed = rng.gen();
        work.spawn(run.clone().generate_load(process.clone(), seed));
        if run.plan.shape.is_upgraded(process.number) {
            for client in 0..KEPT_CONNECTIONS {
                let seed = rng.gen();
                work.spawn(
                    run.clone()
                        .use_kept_connection(process.clone(), client, seed),
                );
            }
        }
    }
    let faults = schedule.len();
    let upgrades = schedule::count_upgrades(&schedule);
    for scheduled in schedule {
        sleep_until(started + scheduled.starts_after).await;
        work.spawn(run.clone().inject(scheduled));
    }
    while work.join_next().await.is_some() {}
    sleep(SETTLE_TIME).await;
    deadline_checks.abort();
    run.check_processes();
    let result = RunResult {
        violations: run.oracle.violations(),
        counts: run.oracle.counts(),
        faults,
        upgrades,
        worst_event_delay: run.oracle.worst_event_delay(),
    };
    replica_tasks.abort_all();
    Ok(result)
}

impl SoakRun {
    /// Creates the replicas and the discovery agents. The replicas are served by `replica_tasks`.
    fn set_up(plan: RunPlan, replica_tasks: &mut JoinSet<()>) -> Result<SoakRun, SoakError> {
        let oracle = Arc::new(Oracle::new());
        let delivery_logs: Vec<Arc<DeliveryLog>> =
            (0..plan.shape.processes).map(|_| Arc::default()).collect();
        let replicas = create_replicas(&plan, &oracle, &delivery_logs);
        let mut processes = Vec::new();
        for (number, delivery_log) in delivery_logs.into_iter().enumerate() {
            let endpoints = serve_replicas(&plan, &replicas, number, replica_tasks)?;
            let listen = process_address(plan.seed, number, LISTEN_PORT);
            let platform_socket = if plan.shape.is_upgraded(number) {
                let socket = wire::listen(listen).and_then(TcpListener::into_std);
                Some(socket.map_err(SoakError::Listen)?)
            } else {
                None
            };
            let process = DispatcherProcess::new(
                number,
                listen,
                process_address(plan.seed, number, AGENT_PORT),
                endpoints,
                delivery_log,
                platform_socket,
            );
            processes.push(Arc::new(process));
        }
        for process in &processes {
            process.start_agent()?;
        }
        Ok(SoakRun {
            plan,
            oracle,
            replicas,
            processes,
        })
    }

    /// Sends requests at random times, each on a connection of its own.
    async fn generate_load(self: Arc<Self>, process: Arc<DispatcherProcess>, seed: u64) {
        let mut rng = Pcg32::seed_from_u64(seed);
        let target = self.target(&process);
        let end = Instant::now() + self.plan.shape.load_duration;
        let mut in_flight = JoinSet::new();
        for number in 0.. {
            let uniform: f64 = rng.gen_range(1e-6..1.0);
            sleep(Duration::from_secs_f64(-uniform.ln() / self.plan.rate)).await;
            if Instant::now() >= end {
                break;
            }
            let mut request =
                ClientRequest::draw(process.number, number, self.plan.max_deadline, &mut rng);
            if self.plan.shape.is_upgraded(process.number) && rng.gen_bool(LONG_STREAM_FRACTION) {
                request = request.with_long_stream(&mut rng);
            }
            if process.accepts_requests() {
                in_flight.spawn(client::send_request(target.clone(), request));
            }
            while in_flight.try_join_next().is_some() {}
        }
        while in_flight.join_next().await.is_some() {}
    }

    fn target(&self, process: &DispatcherProcess) -> Arc<Target> {
        Arc::new(Target {
            process: process.number,
            address: process.listen.clone(),
            oracle: self.oracle.clone(),
            may_be_killed: !self.plan.shape.is_upgraded(process.number),
        })
    }

    /// Sends one request after the other, on one connection for as long as that stays open.
    async fn use_kept_connection(
        self: Arc<Self>,
        process: Arc<DispatcherProcess>,
        client: u64,
        seed: u64,
    ) {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut connection = KeptConnection::new(self.target(&process));
        let end = Instant::now() + self.plan.shape.load_duration;
        let first_number = (client + 1) << KEPT_NUMBER_BITS;
        for number in first_number.. {
            if Instant::now() >= end {
                break;
            }
            let request =
                ClientRequest::draw(process.number, number, self.plan.max_deadline, &mut rng);
            connection.send(request).await;
            sleep(Duration::from_millis(rng.gen_range(0..MAX_KEPT_PAUSE_MS))).await;
        }
    }

    /// Checks deadlines until the task is aborted.
    async fn check_deadlines(self: Arc<Self>) {
        let mut checks = interval(CHECK_INTERVAL);
        loop {
            checks.tick().await;
            let paused: Vec<usize> = self
                .processes
                .iter()
                .filter(|process| process.is_paused())
                .map(|process| process.number)
                .collect();
            self.oracle.check_deadlines(&paused);
        }
    }

    /// Reports the processes that do not run at the end of the run.
    fn check_processes(&self) {
        for process in &self.processes {
            let is_running = process
                .id()
                .is_some_and(|id| sample_resources(id).is_some());
            if !is_running {
                self.oracle
                    .on_process_failed(process.number, "not running at the end".into());
            }
        }
    }
}

fn create_replicas(
    plan: &RunPlan,
    oracle: &Arc<Oracle>,
    delivery_logs: &[Arc<DeliveryLog>],
) -> Vec<Arc<Replica>> {
    let logs = delivery_logs.to_vec();
    let drain_notifications: DrainNotifications = Arc::new(move |process: usize, replica| {
        Some(logs.get(process)?.drain_notified_at(replica)?.elapsed())
    });
    let create = |number: usize| {
        Replica::new(
            number,
            role_of(&plan.shape, number),
            plan.seed
                .wrapping_mul(REPLICA_SEED_FACTOR)
                .wrapping_add(number as u64),
            oracle.clone(),
            drain_notifications.clone(),
        )
    };
    (0..plan.shape.replicas).map(create).collect()
}

fn role_of(shape: &SoakShape, replica: usize) -> Role {
    if replica < shape.prefill_replicas {
        Role::Prefill
    } else {
        Role::Decode
    }
}

/// Serves all replicas at addresses for one process, and returns the endpoint list that it is given.
fn serve_replicas(
    plan: &RunPlan,
    replicas: &[Arc<Replica>],
    process: usize,
    tasks: &mut JoinSet<()>,
) -> Result<Vec<EndpointEntry>, SoakError> {
    let mut endpoints = Vec::new();
    for (number, replica) in replicas.iter().enumerate() {
        let address = process_address(plan.seed, process, REPLICA_PORT + number as u16);
        let listener = wire::listen(address).map_err(SoakError::Listen)?;
        tasks.spawn(replica.clone().serve(process, address, listener));
        let record = EndpointRecord {
            endpoint: number as u32,
            key: number as u64,
            role: role_of(&plan.shape, number),
            cell: number as u32 % CELLS,
            ..EndpointRecord::default()
        };
        endpoints.push(EndpointEntry {
            record,
            address: address.to_string(),
            up_since_ms: 0,
        });
    }
    Ok(endpoints)
}
