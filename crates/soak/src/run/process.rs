//! One real dispatcher of a run, with its discovery agent.

use super::RunPlan;
use crate::config;
use crate::error::SoakError;
use crate::wire;
use quartzhall_scale::process::Dispatcher;
use quartzhall_scale::simulated::discovery::{DeliveryLog, DiscoveredEndpoint, Discovery};
use rustix::process::{kill_process, Pid, Signal};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::task::AbortHandle;

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
        endpoints: Vec<DiscoveredEndpoint>,
        delivery_log: Arc<DeliveryLog>,
    ) -> DispatcherProcess {
        DispatcherProcess {
            number,
            listen: listen.to_string(),
            discovery: Discovery::new(endpoints),
            agent_address,
            delivery_log,
            agent_task: Mutex::default(),
            dispatcher: Mutex::default(),
            accepts_requests: AtomicBool::new(false),
            is_paused: AtomicBool::new(false),
            starts: AtomicU64::new(0),
        }
    }

    /// Starts the process and waits until it is ready.
    pub(super) async fn start(&self, plan: &RunPlan) -> Result<(), SoakError> {
        let start = self.starts.fetch_add(1, Ordering::Relaxed);
        let seed = plan.seed ^ (self.number as u64) << 32 ^ start;
        let config = config::config_text(
            self.number,
            plan.shape.processes,
            seed,
            &self.listen,
            &self.agent_address.to_string(),
        );
        let name = format!("p{}-{start}", self.number);
        let dispatcher = Dispatcher::start(
            &plan.program,
            &plan.folder,
            &name,
            self.listen.clone(),
            &config,
        )?;
        dispatcher.wait_until_ready().await?;
        *lock(&self.dispatcher) = Some(dispatcher);
        self.accepts_requests.store(true, Ordering::Relaxed);
        Ok(())
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

    /// Sends a signal to the running process.
    pub(super) fn signal(&self, signal: Signal) {
        let id = self.id().and_then(|id| Pid::from_raw(id as i32));
        if let Some(id) = id {
            let _ = kill_process(id, signal); // it may have exited by itself, which is detected elsewhere
        }
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
