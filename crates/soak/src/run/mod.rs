//! One run of the soak test.
//!
//! Simulated replicas, discovery agents and clients run as tasks of this process, the dispatchers under test as child
//! processes. `SoakRun` owns all of them until the end of the run. It generates load and injects the faults of the schedule
//! at the same time. Then it waits for outstanding responses and releases, and returns the violations.

mod faults;
mod process;
mod upgrades;

use crate::client::{self, ClientRequest, PersistentConnection, Target};
use crate::error::SoakError;
use crate::oracle::{Oracle, ResponseCounts, Violation};
use crate::replica::{Replica, TimeSinceDrainNotice};
use crate::schedule::{self, RunSize};
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

/// The parameters of a run.
pub struct RunPlan {
    /// Seed of the fault schedule, the load and the replicas' response delays.
    pub seed: u64,
    /// Numbers of dispatchers and replicas, the duration, and whether floods of idle connections are among the faults.
    pub size: RunSize,
    /// Requests per second to each dispatcher.
    pub rate: f64,
    /// The deadline in the dispatchers' settings, which no client's deadline exceeds.
    pub max_deadline: Duration,
    /// Path of the dispatcher's executable.
    pub program: PathBuf,
    /// Folder for the dispatchers' configuration and log files.
    pub folder: PathBuf,
}

/// The result of a run.
pub struct RunResult {
    /// All violations, in the order in which they were found.
    pub violations: Vec<Violation>,
    /// Numbers of responses by status.
    pub counts: ResponseCounts,
    /// Number of scheduled faults, where a series of upgrades counts as one.
    pub faults: usize,
    /// Number of upgrades in all series.
    pub upgrades: u32,
    /// The longest delay of an event, without the delays that a pause excuses.
    pub max_event_delay: Duration,
}

/// Upper bound on the deadline from which the time between SIGTERM and SIGKILL is computed.
const MAX_KILL_DEADLINE: Duration = Duration::from_secs(3);
/// Added to the deadline for the time between SIGTERM and SIGKILL.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Time between two checks for overdue responses and releases.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Wait after the end of load and faults. In this time, all outstanding responses have to arrive and all KV caches to be
/// released.
const SETTLE_TIME: Duration = Duration::from_millis(6_500);

/// Clients with a persistent connection for each process that is upgraded.
const PERSISTENT_CLIENTS_PER_PROCESS: u64 = 2;
/// Exclusive upper bound of the pause between two requests on a persistent connection, in milliseconds.
const MAX_PERSISTENT_CLIENT_PAUSE_MS: u64 = 200;
/// Request numbers of persistent client `n` start at `(n + 1) << PERSISTENT_CLIENT_NUMBER_SHIFT`. They differ from those of
/// all other clients of the dispatcher.
const PERSISTENT_CLIENT_NUMBER_SHIFT: u32 = 32;
/// Fraction of requests to upgraded processes that ask for a long stream, which may still be open during an upgrade.
const LONG_STREAM_FRACTION: f64 = 0.3;
/// Fraction of the other requests whose clients write them slowly.
const SLOW_WRITE_FRACTION: f64 = 0.15;

/// Port on which a dispatcher listens for clients. All ports are on a loopback address of the dispatcher's own.
const LISTEN_PORT: u16 = 7_000;
/// Port of the dispatcher's discovery agent. The ports above it are management ports, one for each process of an upgraded
/// dispatcher.
const AGENT_PORT: u16 = 7_001;
/// Port of replica 0. The other replicas have the ports above it.
const FIRST_REPLICA_PORT: u16 = 7_100;
/// Ports of one run. The next run uses others, because connections of an earlier run may still be closing.
const PORTS_PER_RUN: u16 = 200;
/// Number of successive seeds with ports of their own, after which the ports are reused.
const PORT_RANGE_COUNT: u64 = 100;
/// Number of cells over which the replicas are distributed.
const CELL_COUNT: u32 = 3;
/// Multiplier of the run's seed in the seeds of its replicas. Runs of successive seeds with up to 31 replicas start from
/// different replica seeds.
const REPLICA_SEED_FACTOR: u64 = 31;

/// A run in progress. Replicas and dispatchers are indexed by their numbers.
struct SoakRun {
    plan: RunPlan,
    oracle: Arc<Oracle>,
    replicas: Vec<Arc<Replica>>,
    processes: Vec<Arc<DispatcherProcess>>,
}

/// Returns a loopback address for dispatcher `process`. The host part is derived from the operating system's id of the soak
/// process. So no other program takes the ports while a dispatcher is down.
fn process_address(seed: u64, process: usize, port: u16) -> SocketAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let port = port + PORTS_PER_RUN * (seed % PORT_RANGE_COUNT) as u16;
    SocketAddr::from(([127, 64 | (high & 63), low, process as u8 + 1], port))
}

/// Executes the run of one seed, including the wait for outstanding responses and releases.
///
/// # Errors
///
/// Fails if the test bench cannot be set up, or if a dispatcher does not become ready at the beginning.
pub async fn run(plan: RunPlan) -> Result<RunResult, SoakError> {
    let mut rng = Pcg32::seed_from_u64(plan.seed);
    let schedule = schedule::draw_schedule(&plan.size, &mut rng);
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
        if run.plan.size.is_upgraded(process.number) {
            for client in 0..PERSISTENT_CLIENTS_PER_PROCESS {
                let seed = rng.gen();
                work.spawn(run.clone().send_on_persistent_connection(
                    process.clone(),
                    client,
                    seed,
                ));
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
        max_event_delay: run.oracle.max_event_delay(),
    };
    replica_tasks.abort_all();
    Ok(result)
}

impl SoakRun {
    /// Creates the replicas and the dispatchers, and starts the discovery agents. The servers of the replicas run in
    /// `replica_tasks`. Dispatchers are not started yet; their inherited sockets are bound, and their configuration files
    /// are written at each start. Fails if an address cannot be bound.
    fn set_up(plan: RunPlan, replica_tasks: &mut JoinSet<()>) -> Result<SoakRun, SoakError> {
        let oracle = Arc::new(Oracle::new());
        let delivery_logs: Vec<Arc<DeliveryLog>> =
            (0..plan.size.processes).map(|_| Arc::default()).collect();
        let replicas = create_replicas(&plan, &oracle, &delivery_logs);
        let mut processes = Vec::new();
        for (number, delivery_log) in delivery_logs.into_iter().enumerate() {
            let endpoints = serve_replicas(&plan, &replicas, number, replica_tasks)?;
            let listen = process_address(plan.seed, number, LISTEN_PORT);
            let inherited_socket = if plan.size.is_upgraded(number) {
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
                inherited_socket,
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

    /// Sends requests to a process with exponentially distributed intervals, each on a connection of its own. Returns when
    /// all their clients have finished.
    async fn generate_load(self: Arc<Self>, process: Arc<DispatcherProcess>, seed: u64) {
        let mut rng = Pcg32::seed_from_u64(seed);
        let target = self.client_target(&process);
        let end = Instant::now() + self.plan.size.load_duration;
        let mut in_flight = JoinSet::new();
        for number in 0.. {
            let uniform: f64 = rng.gen_range(1e-6..1.0);
            sleep(Duration::from_secs_f64(-uniform.ln() / self.plan.rate)).await;
            if Instant::now() >= end {
                break;
            }
            let mut request =
                ClientRequest::draw(process.number, number, self.plan.max_deadline, &mut rng);
            if self.plan.size.is_upgraded(process.number) && rng.gen_bool(LONG_STREAM_FRACTION) {
                request = request.with_long_stream(&mut rng);
            } else if rng.gen_bool(SLOW_WRITE_FRACTION) {
                request = request.with_slow_write(&mut rng);
            }
            if process.accepts_requests() {
                in_flight.spawn(client::send_request(target.clone(), request));
            }
            while in_flight.try_join_next().is_some() {}
        }
        while in_flight.join_next().await.is_some() {}
    }

    /// Returns the shortest time from SIGTERM to SIGKILL that the protocol allows.
    fn kill_after_termination(&self) -> Duration {
        self.plan.max_deadline.min(MAX_KILL_DEADLINE) + KILL_MARGIN
    }

    fn client_target(&self, process: &DispatcherProcess) -> Arc<Target> {
        Arc::new(Target {
            process: process.number,
            address: process.listen.clone(),
            oracle: self.oracle.clone(),
            may_be_killed: !self.plan.size.is_upgraded(process.number),
        })
    }

    /// Sends one request after the other on a persistent connection.
    async fn send_on_persistent_connection(
        self: Arc<Self>,
        process: Arc<DispatcherProcess>,
        client: u64,
        seed: u64,
    ) {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut connection = PersistentConnection::new(self.client_target(&process));
        let end = Instant::now() + self.plan.size.load_duration;
        let first_number = (client + 1) << PERSISTENT_CLIENT_NUMBER_SHIFT;
        for number in first_number.. {
            if Instant::now() >= end {
                break;
            }
            let request =
                ClientRequest::draw(process.number, number, self.plan.max_deadline, &mut rng);
            connection.send(request).await;
            sleep(Duration::from_millis(
                rng.gen_range(0..MAX_PERSISTENT_CLIENT_PAUSE_MS),
            ))
            .await;
        }
    }

    /// Has the oracle check for overdue responses and releases until the task is aborted.
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

    /// Reports dispatchers without a running process at the end of the run.
    fn check_processes(&self) {
        for process in &self.processes {
            let is_running = process
                .id()
                .is_some_and(|id| sample_resources(id).is_some());
            if !is_running {
                self.oracle.on_process_failed(
                    process.number,
                    "no process is running at the end of the run".into(),
                );
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
    let time_since_drain_notice: TimeSinceDrainNotice = Arc::new(move |process: usize, replica| {
        Some(logs.get(process)?.drain_notified_at(replica)?.elapsed())
    });
    let create = |number: usize| {
        Replica::new(
            number,
            role_of(&plan.size, number),
            plan.seed
                .wrapping_mul(REPLICA_SEED_FACTOR)
                .wrapping_add(number as u64),
            oracle.clone(),
            time_since_drain_notice.clone(),
        )
    };
    (0..plan.size.replicas).map(create).collect()
}

fn role_of(size: &RunSize, replica: usize) -> Role {
    if replica < size.prefill_replicas {
        Role::Prefill
    } else {
        Role::Decode
    }
}

/// Starts a server of every replica for one dispatcher, and returns the endpoint list for the dispatcher's discovery agent.
fn serve_replicas(
    plan: &RunPlan,
    replicas: &[Arc<Replica>],
    process: usize,
    tasks: &mut JoinSet<()>,
) -> Result<Vec<EndpointEntry>, SoakError> {
    let mut endpoints = Vec::new();
    for (number, replica) in replicas.iter().enumerate() {
        let address = process_address(plan.seed, process, FIRST_REPLICA_PORT + number as u16);
        let listener = wire::listen(address).map_err(SoakError::Listen)?;
        tasks.spawn(replica.clone().serve(process, address, listener));
        let record = EndpointRecord {
            endpoint: number as u32,
            key: number as u64,
            role: role_of(&plan.size, number),
            cell: number as u32 % CELL_COUNT,
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
