//! One real dispatcher of a run, with its discovery agent.

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

/// How long an agent's address may be in use by the one before ...
const AGENT_RESTART_TIMEOUT: Duration = Duration::from_secs(2);
/// ... and how often it is tried.
const AGENT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// A dispatcher's process, which is restarted during the run, and its discovery agent.
pub(super) struct DispatcherProcess {
    /// Its number in the run.
    pub(super) number: usize,
    /// Where its clients connect.
    pub(super) listen: String,
    /// Its endpoint list.
    pub(super) discovery: Discovery,
    agent_address: SocketAddr,
    delivery_log: Arc<DeliveryLog>,
    agent_task: Mutex<Option<AbortHandle>>,
    /// The socket that its processes inherit; `None`: it binds its own.
    platform_socket: Option<TcpListener>,
    dispatcher: Mutex<Option<Dispatcher>>,
    accepts_requests: AtomicBool,
    is_paused: AtomicBool,
    starts: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl DispatcherProcess {
    /// A dispatcher that is not started yet.
    pub(super) fn new(
        number: usize,
        listen: SocketAddr,
        agent_address: SocketAddr,
        endpoints: Vec<EndpointEntry>,
        delivery_log: Arc<DeliveryLog>,
        platform_socket: Option<TcpListener>,
    ) -> DispatcherProcess {
        DispatcherProcess {
            number,
            listen: listen.to_string(),
            discovery: Discovery::new(endpoints),
            agent_address,
            delivery_log,
            agent_task: Mutex::default(),
            platform_socket,
            dispatcher: Mutex::default(),
            accepts_requests: AtomicBool::new(false),
            is_paused: AtomicBool::new(false),
            starts: AtomicU64::new(0),
        }
    }

    /// Starts the process, or the next one beside it, and waits until it is ready. Returns the one that was there before.
    pub(super) async fn start(&self, plan: &RunPlan) -> Result<Option<Dispatcher>, SoakError> {
        let dispatcher = self.spawn(plan)?;
        dispatcher.wait_until_ready().await?;
        let previous = lock(&self.dispatcher).replace(dispatcher);
        self.accepts_requests.store(true, Ordering::Relaxed);
        Ok(previous)
    }

    /// Starts a process and does not wait for it.
    pub(super) fn spawn(&self, plan: &RunPlan) -> Result<Dispatcher, SoakError> {
        let start = self.starts.fetch_add(1, Ordering::Relaxed);
        let seed = plan.seed ^ (self.number as u64) << 32 ^ start;
        let config = config::config_text(
            self.number,
            plan.shape.processes,
            seed,
            &self.listen,
            &self.agent_address.to_string(),
            plan.max_deadline,
        );
        let name = format!("p{}-{start}", self.number);
        let launch_environment = match &self.platform_socket {
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

    /// Starts the discovery agent anew. The address of one that was just stopped may be in use for a moment.
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

    /// Stops the discovery agent, if it is running.
    pub(super) fn stop_agent(&self) {
        let task = lock(&self.agent_task).take();
        if let Some(task) = task {
            task.abort();
        }
    }

    /// The system's id of the running process.
    pub(super) fn id(&self) -> Option<u32> {
        let dispatcher = lock(&self.dispatcher);
        Some(dispatcher.as_ref()?.process_id)
    }

    /// Whether clients may send requests to it.
    pub(super) fn accepts_requests(&self) -> bool {
        self.accepts_requests.load(Ordering::Relaxed)
    }

    /// Whether it is paused by SIGSTOP.
    pub(super) fn is_paused(&self) -> bool {
        self.is_paused.load(Ordering::Relaxed)
    }

    /// Marks it as paused; returns whether it was paused before.
    pub(super) fn mark_paused(&self) -> bool {
        self.is_paused.swap(true, Ordering::Relaxed)
    }

    /// Marks it as running again.
    pub(super) fn mark_resumed(&self) {
        self.is_paused.store(false, Ordering::Relaxed);
    }

    /// Stops requests to it, so that only one fault at a time ends the process; returns whether the caller may end it.
    pub(super) fn claim_for_exit(&self) -> bool {
        self.accepts_requests.swap(false, Ordering::Relaxed) && !self.is_paused()
    }

    /// Takes the running dispatcher, which is killed when it is dropped.
    pub(super) fn take_dispatcher(&self) -> Option<Dispatcher> {
        lock(&self.dispatcher).take()
    }
}
