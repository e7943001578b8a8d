//! One play: servers, agents and clients in this process, real dispatchers beside it, and the faults of the schedule.

use crate::client::{self, Asked, Target};
use crate::config;
use crate::oracle::{Breach, Oracle};
use crate::schedule::{self, Fault, Planned, Shape};
use crate::server::{DrainTold, Server};
use crate::wire;
use quartzhall::routing::api::{EndpointRecord, EndpointStatus, Role};
use quartzhall_scale::hollow::discovery::{DiscoveredEndpoint, Discovery, Written};
use quartzhall_scale::process::Dispatcher;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use rustix::process::{kill_process, Pid, Signal};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{interval, sleep, sleep_until};

/// What is played.
pub struct Plan {
    /// Draws the faults, the load and the servers' times.
    pub seed: u64,
    /// Dispatchers, servers and the time.
    pub shape: Shape,
    /// Requests a second to each dispatcher.
    pub rate: f64,
    /// The dispatcher's program.
    pub program: PathBuf,
    /// Where configurations and logs go.
    pub folder: PathBuf,
}

/// What came of a play.
pub struct Played {
    /// Broken invariants.
    pub breaches: Vec<Breach>,
    /// Requests served, refused and failed.
    pub counts: (usize, usize, usize),
    /// Faults that were played.
    pub faults: usize,
}

/// Between two looks of the oracle.
const LOOK: Duration = Duration::from_millis(20);
/// After the last request all answers have come and nothing is held within this.
const SETTLES: Duration = Duration::from_millis(6_500);
/// New connections are made for so long after SIGTERM.
const COMES_AFTER_END: Duration = Duration::from_millis(300);
/// SIGKILL comes this long after SIGTERM, by the longest deadline.
const KILLED_AFTER: Duration =
    Duration::from_millis(config::LONGEST_DEADLINE.as_millis() as u64 + 1_500);

fn failed(error: impl std::fmt::Display) -> String {
    error.to_string()
}

/// One dispatcher and what is its own.
struct Process {
    number: usize,
    listen: String,
    discovery: Discovery,
    agent: SocketAddr,
    written: Arc<Written>,
    agent_task: Mutex<Option<AbortHandle>>,
    running: Mutex<Option<Dispatcher>>,
    accepts: AtomicBool,
    stopped: AtomicBool,
    starts: AtomicU64,
}

impl Process {
    fn running(&self) -> MutexGuard<'_, Option<Dispatcher>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn signal(&self, signal: Signal) {
        let id = self
            .running()
            .as_ref()
            .and_then(|it| Pid::from_raw(it.id as i32));
        if let Some(id) = id {
            let _ = kill_process(id, signal); // it may have ended by itself, which is seen elsewhere
        }
    }
}

/// A play under way.
struct Play {
    plan: Plan,
    oracle: Arc<Oracle>,
    servers: Vec<Arc<Server>>,
    processes: Vec<Arc<Process>>,
}

/// Ports of a process's own address: where it listens, and its agent of discovery. Those of servers follow.
const LISTEN_PORT: u16 = 7_000;
const AGENT_PORT: u16 = 7_001;
const SERVER_PORT: u16 = 7_100;

/// So many ports belong to one play; the next plays have others, for connections of a play before may still be closing.
const PORTS: u16 = 200;
const PLAYS: u64 = 100;

/// An address of this machine that belongs to one process of one rig, so that no other takes its ports meanwhile.
fn own_address(seed: u64, process: usize, port: u16) -> SocketAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let port = port + PORTS * (seed % PLAYS) as u16;
    SocketAddr::from(([127, 64 | (high & 63), low, process as u8 + 1], port))
}

/// Plays a seed.
pub async fn play(plan: Plan) -> Result<Played, String> {
    let mut rng = Pcg32::seed_from_u64(plan.seed);
    let faults = schedule::draw(&plan.shape, &mut rng);
    let mut tasks = JoinSet::new();
    let play = Arc::new(Play::set_up(plan, &mut tasks).await?);
    for process in &play.processes {
        play.start(process).await?;
    }
    let looks = tokio::spawn(play.clone().look());
    let began = tokio::time::Instant::now();
    let mut work = JoinSet::new();
    for process in &play.processes {
        let seed = rng.gen();
        work.spawn(play.clone().load(process.clone(), seed));
    }
    let count = faults.len();
    for planned in faults {
        sleep_until(began + planned.at).await;
        work.spawn(play.clone().inflict(planned));
    }
    while work.join_next().await.is_some() {}
    sleep(SETTLES).await;
    looks.abort();
    play.check_processes();
    let played = Played {
        breaches: play.oracle.breaches(),
        counts: play.oracle.counts(),
        faults: count,
    };
    tasks.abort_all();
    Ok(played)
}

impl Play {
    async fn set_up(plan: Plan, tasks: &mut JoinSet<()>) -> Result<Play, String> {
        let oracle = Arc::new(Oracle::new());
        let shape = plan.shape;
        let written: Vec<Arc<Written>> = (0..shape.processes).map(|_| Arc::default()).collect();
        let told = written.clone();
        let drain_told: DrainTold = Arc::new(move |process: usize, server| {
            Some(told.get(process)?.told_of(server)?.elapsed())
        });
        let role = |number| {
            if number < shape.readers {
                Role::Prefill
            } else {
                Role::Decode
            }
        };
        let make = |number| {
            let seed = plan.seed.wrapping_mul(31).wrapping_add(number as u64);
            Server::new(
                number,
                role(number),
                seed,
                oracle.clone(),
                drain_told.clone(),
            )
        };
        let servers: Vec<Arc<Server>> = (0..shape.servers).map(make).collect();
        let mut processes = Vec::new();
        for (number, written) in written.into_iter().enumerate() {
            let mut members = Vec::new();
            for (at, server) in servers.iter().enumerate() {
                let address = own_address(plan.seed, number, SERVER_PORT + at as u16);
                let listener = wire::listen(address).map_err(failed)?;
                tasks.spawn(server.clone().serve(number, address, listener));
                let entry = EndpointRecord {
                    endpoint: at as u32,
                    key: at as u64,
                    role: role(at),
                    cell: at as u32 % 3,
                    ..EndpointRecord::default()
                };
                members.push(DiscoveredEndpoint {
                    entry,
                    address: address.to_string(),
                    up_since_ms: 0,
                });
            }
            let agent = own_address(plan.seed, number, AGENT_PORT);
            let process = Process {
                number,
                listen: own_address(plan.seed, number, LISTEN_PORT).to_string(),
                discovery: Discovery::new(members),
                agent,
                written,
                agent_task: Mutex::default(),
                running: Mutex::default(),
                accepts: AtomicBool::new(false),
                stopped: AtomicBool::new(false),
                starts: AtomicU64::new(0),
            };
            processes.push(Arc::new(process));
        }
        let play = Play {
            plan,
            oracle,
            servers,
            processes,
        };
        play.processes
            .iter()
            .try_for_each(|process| play.start_agent(process))?;
        Ok(play)
    }

    fn start_agent(&self, process: &Process) -> Result<(), String> {
        let listener = wire::listen(process.agent).map_err(failed)?;
        let task = tokio::spawn(
            process
                .discovery
                .clone()
                .serve(listener, process.written.clone()),
        );
        *process
            .agent_task
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(task.abort_handle());
        Ok(())
    }

    fn stop_agent(&self, process: &Process) {
        let task = process
            .agent_task
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(task) = task {
            task.abort();
        }
    }

    /// Starts a process and waits until it is ready.
    async fn start(&self, process: &Process) -> Result<(), String> {
        let start = process.starts.fetch_add(1, Ordering::Relaxed);
        let seed = self.plan.seed ^ (process.number as u64) << 32 ^ start;
        let agent = process.agent.to_string();
        let text = config::text(
            process.number,
            self.plan.shape.processes,
            seed,
            &process.listen,
            &agent,
        );
        let name = format!("p{}-{start}", process.number);
        let started = Dispatcher::start(
            &self.plan.program,
            &self.plan.folder,
            &name,
            process.listen.clone(),
            &text,
        )?;
        started.ready().await?;
        *process.running() = Some(started);
        process.accepts.store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Requests at random times, each on a connection of its own.
    async fn load(self: Arc<Self>, process: Arc<Process>, seed: u64) {
        let mut rng = Pcg32::seed_from_u64(seed);
        let target = Target {
            process: process.number,
            address: process.listen.clone(),
            oracle: self.oracle.clone(),
        };
        let target = Arc::new(target);
        let until = Instant::now() + self.plan.shape.span;
        let mut asked = JoinSet::new();
        for number in 0.. {
            let even: f64 = rng.gen_range(1e-6..1.0);
            sleep(Duration::from_secs_f64(-even.ln() / self.plan.rate)).await;
            if Instant::now() >= until {
                break;
            }
            let request = Asked::draw(process.number, number, &mut rng);
            if process.accepts.load(Ordering::Relaxed) {
                asked.spawn(client::ask(target.clone(), request));
            }
            while asked.try_join_next().is_some() {}
        }
        while asked.join_next().await.is_some() {}
    }

    async fn look(self: Arc<Self>) {
        let mut looks = interval(LOOK);
        loop {
            looks.tick().await;
            let stands = |it: &&Arc<Process>| it.stopped.load(Ordering::Relaxed);
            let stopped: Vec<usize> = self
                .processes
                .iter()
                .filter(stands)
                .map(|it| it.number)
                .collect();
            self.oracle.look(&stopped);
        }
    }

    /// At the end all processes run.
    fn check_processes(&self) {
        for process in &self.processes {
            let id = process.running().as_ref().map(|it| it.id);
            let runs = id.is_some_and(|id| quartzhall_scale::process::sample(id).is_some());
            if !runs {
                self.oracle
                    .process_failed(process.number, "it does not run at the end".into());
            }
        }
    }

    fn tell(&self, server: usize, state: EndpointStatus) {
        for process in &self.processes {
            process
                .discovery
                .change(&[server], |member| member.entry.status = state);
        }
    }

    async fn inflict(self: Arc<Self>, planned: Planned) {
        let lasts = planned.lasts;
        match planned.fault {
            Fault::StopServer(server) => {
                self.for_a_time(&self.servers[server].conduct.stopped, lasts)
                    .await
            }
            Fault::LoseAnswers(server) => {
                self.for_a_time(&self.servers[server].conduct.loses_answers, lasts)
                    .await;
            }
            Fault::ErrorAnswers(server) => {
                self.for_a_time(&self.servers[server].conduct.fails, lasts)
                    .await
            }
            Fault::TurnAway(server) => {
                self.for_a_time(&self.servers[server].conduct.full, lasts)
                    .await
            }
            Fault::BreakStreams(server) => {
                self.for_a_time(&self.servers[server].conduct.breaks_streams, lasts)
                    .await;
            }
            Fault::KillServer(server) => {
                self.oracle.server_died(server);
                self.for_a_time(&self.servers[server].conduct.dead, lasts)
                    .await;
            }
            Fault::DrainServer(server) => {
                self.tell(server, EndpointStatus::Draining);
                sleep(lasts).await;
                self.tell(server, EndpointStatus::Ready);
            }
            Fault::SilenceConnections { process, server } => self.servers[server].silence(process),
            Fault::ResetConnections { process, server } => self.servers[server].reset(process),
            Fault::StopProcess(process) => self.stand_still(process, lasts).await,
            Fault::KillProcess(process) => self.kill(process, lasts).await,
            Fault::EndProcess(process) => self.end(process, lasts).await,
            Fault::Reload(process) => self.processes[process].signal(Signal::HUP),
            Fault::DiscoveryDown(process) => {
                let process = &self.processes[process];
                self.stop_agent(process);
                sleep(lasts).await;
                self.stop_agent(process);
                let _ = self.start_agent(process);
            }
        }
    }

    async fn for_a_time(&self, flag: &AtomicBool, lasts: Duration) {
        flag.store(true, Ordering::Relaxed);
        sleep(lasts).await;
        flag.store(false, Ordering::Relaxed);
    }

    async fn stand_still(&self, number: usize, lasts: Duration) {
        let process = &self.processes[number];
        if !process.accepts.load(Ordering::Relaxed) || process.stopped.swap(true, Ordering::Relaxed)
        {
            return;
        }
        let began = Instant::now();
        process.signal(Signal::STOP);
        sleep(lasts).await;
        self.oracle.process_stood_still(number, began.elapsed());
        process.signal(Signal::CONT);
        process.stopped.store(false, Ordering::Relaxed);
    }

    /// Takes a process out of the rig's hands: only one fault at a time ends it.
    fn take(&self, number: usize) -> Option<Arc<Process>> {
        let process = self.processes[number].clone();
        let takes = process.accepts.swap(false, Ordering::Relaxed)
            && !process.stopped.load(Ordering::Relaxed);
        takes.then_some(process)
    }

    async fn kill(&self, number: usize, lasts: Duration) {
        let Some(process) = self.take(number) else {
            return;
        };
        self.oracle.process_down(number);
        drop(process.running().take()); // it is killed when it is let go
        sleep(lasts).await;
        self.oracle.process_down(number);
        self.start_again(&process).await;
    }

    async fn end(&self, number: usize, lasts: Duration) {
        let process = self.processes[number].clone();
        if !process.accepts.load(Ordering::Relaxed) || process.stopped.load(Ordering::Relaxed) {
            return;
        }
        process.signal(Signal::TERM);
        sleep(COMES_AFTER_END).await;
        if self.take(number).is_none() {
            return;
        }
        let ended = process.running().take();
        if let Some(ended) = ended {
            let ends = tokio::time::timeout(KILLED_AFTER, ended.end()).await;
            match ends {
                Ok(Ok(())) => {}
                Ok(Err(error)) => self.oracle.process_failed(number, error),
                Err(_) => self.oracle.process_down(number),
            }
        }
        sleep(lasts).await;
        self.start_again(&process).await;
    }

    async fn start_again(&self, process: &Process) {
        if let Err(error) = self.start(process).await {
            self.oracle.process_failed(process.number, error);
        }
    }
}
