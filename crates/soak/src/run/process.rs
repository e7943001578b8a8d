//! A dispatcher under test: its processes, which are replaced and restarted in the course of a run, and its discovery
//! agent.

use super::RunPlan;
use crate::config;
use crate::error::SoakError;
use crate::wire;
use quartzhall_scale::process::{Dispatcher, LaunchEnvironment};
use quartzhall_scale::simulated::discovery::{DeliveryLog, Discovery, EndpointEntry};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::{sleep, Instant};

/// How long binding a discovery agent's address is retried; the previous agent may still be using the address.
const AGENT_RESTART_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two attempts to bind a discovery agent's address.
const AGENT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// A dispatcher under test. It keeps its number and addresses while its process is replaced or restarted.
pub(super) struct DispatcherProcess {
    /// The dispatcher's number in the run.
    pub(super) number: usize,
    /// Host and port on which it listens for clients.
    pub(super) listen: String,
    /// The endpoint list that its discovery agent reports.
    pub(super) discovery: Discovery,
    agent_address: SocketAddr,
    delivery_log: Arc<DeliveryLog>,
    agent_task: Mutex<Option<AbortHandle>>,
    /// The listening socket that the dispatcher's processes inherit; `None` where each process binds its own.
    inherited_socket: Option<TcpListener>,
    dispatcher: Mutex<Option<Dispatcher>>,
    accepts_requests: AtomicBool,
    is_paused: AtomicBool,
    start_count: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl DispatcherProcess {
    /// Creates a dispatcher without a process or a running discovery agent.
    pub(super) fn new(
        number: usize,
        listen: SocketAddr,
        agent_address: SocketAddr,
        endpoints: Vec<EndpointEntry>,
        delivery_log: Arc<DeliveryLog>,
        inherited_socket: Option<TcpListener>,
    ) -> DispatcherProcess {
        DispatcherProcess {
            number,
            listen: listen.to_string(),
            discovery: Discovery::new(endpoints),
            agent_address,
            delivery_log,
            agent_task: Mutex::default(),
            inherited_socket,
            dispatcher: Mutex::default(),
            accepts_requests: AtomicBool::new(false),
            is_paused: AtomicBool::new(false),
            start_count: AtomicU64::new(0),
        }
    }

    /// Starts a process and waits until it is ready, then makes it the current one. Returns the previous process, if there
    /// is one; it is still running.
    pub(super) async fn start(&self, plan: &RunPlan) -> Result<Option<Dispatcher>, SoakError> {
        let dispatcher = self.spawn(plan)?;
        dispatcher.wait_until_ready().await?;
        let previous = lock(&self.dispatcher).replace(dispatcher);
        self.accepts_requests.store(true, Ordering::Relaxed);
        Ok(previous)
    }

    /// Starts a process without waiting until it is ready, and without making it the current one.
    pub(super) fn spawn(&self, plan: &RunPlan) -> Result<Dispatcher, SoakError> {
        let start = self.start_count.fetch_add(1, Ordering::Relaxed);
        let seed = plan.seed ^ (self.number as u64) << 32 ^ start;
        let config = config::config_text(
            self.number,
            plan.size.processes,
            seed,
            &self.listen,
            &self.agent_address.to_string(),
            plan.max_deadline,
        );
        let name = format!("p{}-{start}", self.number);
        let launch_environment = match &self.inherited_socket {
            Some(socket) => Some(self.launch_environment(plan, socket, start)?),
            None => None,
        };
        Ok(Dispatcher::start(
            &plan.program,
            &plan.folder,
            &name,
            self.listen.clone(),
            &config,
            launch_environment,
        )?)
    }

    /// Prepares what a process inherits: the listening socket, a folder shared with the dispatcher's other processes, and a
    /// management address of its own. `start` counts the dispatcher's processes.
    fn launch_environment(
        &self,
        plan: &RunPlan,
        socket: &TcpListener,
        start: u64,
    ) -> Result<LaunchEnvironment, SoakError> {
        let shared_folder = std::env::temp_dir().join(format!(
            "qh-soak-{}-{}-{}",
            std::process::id(),
            plan.seed,
            self.number
        ));
        std::fs::create_dir_all(&shared_folder).map_err(SoakError::CreateFolder)?;
        let mut management = self.agent_address;
        management.set_port(management.port() + 1 + start as u16);
        Ok(LaunchEnvironment {
            socket: socket.try_clone().map_err(SoakError::Listen)?.into(),
            shared_folder,
            management: management.to_string(),
            max_descriptors: config::MAX_DESCRIPTORS,
        })
    }

    /// Starts the discovery agent.
    pub(super) fn start_agent(&self) -> Result<(), SoakError> {
        let listener = wire::listen(self.agent_address).map_err(SoakError::Listen)?;
        let agent = self
            .discovery
            .clone()
            .serve(listener, self.delivery_log.clone());
        *lock(&self.agent_task) = Some(tokio::spawn(agent).abort_handle());
        Ok(())
    }

    /// Restarts the discovery agent. Retries for a while, since the address of a stopped agent may still be in use.
    pub(super) async fn restart_agent(&self) -> Result<(), SoakError> {
        let give_up_at = Instant::now() + AGENT_RESTART_TIMEOUT;
        loop {
            self.stop_agent();
            match self.start_agent() {
                Err(_) if Instant::now() < give_up_at => sleep(AGENT_RETRY_INTERVAL).await,
                result => return result,
            }
        }
    }

    /// Stops the discovery agent, if one is running, from accepting connections. Open connections are still served.
    pub(super) fn stop_agent(&self) {
        let task = lock(&self.agent_task).take();
        if let Some(task) = task {
            task.abort();
        }
    }

    /// Returns the operating system's id of the current process.
    pub(super) fn id(&self) -> Option<u32> {
        let dispatcher = lock(&self.dispatcher);
        Some(dispatcher.as_ref()?.process_id)
    }

    /// Returns whether clients may send requests: a process is ready, and no fault is about to end it.
    pub(super) fn accepts_requests(&self) -> bool {
        self.accepts_requests.load(Ordering::Relaxed)
    }

    /// Returns whether a process of this dispatcher is paused by SIGSTOP.
    pub(super) fn is_paused(&self) -> bool {
        self.is_paused.load(Ordering::Relaxed)
    }

    /// Marks the dispatcher as paused; returns whether it already was.
    pub(super) fn mark_paused(&self) -> bool {
        self.is_paused.swap(true, Ordering::Relaxed)
    }

    /// Marks the dispatcher as no longer paused.
    pub(super) fn mark_resumed(&self) {
        self.is_paused.store(false, Ordering::Relaxed);
    }

    /// Stops new requests from clients, and returns whether the caller may end the process. Of several concurrent callers
    /// only one may, and none while the process is paused; requests are stopped in either case.
    pub(super) fn claim_for_exit(&self) -> bool {
        self.accepts_requests.swap(false, Ordering::Relaxed) && !self.is_paused()
    }

    /// Removes the current process, which is killed when the returned value is dropped.
    pub(super) fn take_dispatcher(&self) -> Option<Dispatcher> {
        lock(&self.dispatcher).take()
    }
}
