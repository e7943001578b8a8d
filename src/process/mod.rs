//! The dispatcher's process: its start, its tasks, its signals and its graceful shutdown.
//!
//! The process owns the sockets, the clock, the log and the runtime, and connects the parts of the dispatcher by
//! channels. It knows nothing about requests.

mod core_startup;
mod error;
mod frontends;
mod limits;
mod listeners;
pub mod logging;
mod shutdown;
mod signals;
mod takeover;
mod tasks;
mod trace_recording;

pub use error::ServeError;

use crate::config::{Config, Deployment, LoadedConfig};
use crate::dispatcher::Clock;
use crate::upgrade::{PeerProcesses, ResourceLimits, UpgradeCoordinator};
use crate::variants::{is_enabled, Variant};
use core_startup::CoreStartup;
use frontends::{FrontendInputs, Frontends};
use limits::{ResourceBudgets, SharedLimits};
use listeners::{Listeners, SideListeners};
use shutdown::Process;
use signals::Signals;
use slog::{info, warn, Level, Logger};
use std::path::PathBuf;
use std::sync::Arc;
use tasks::{RunningTasks, TaskInputs};

/// What the command line says about serving.
pub struct ServeOptions {
    /// The configuration file, which is read again at SIGHUP.
    pub config_path: PathBuf,
    /// The files, as read.
    pub files: LoadedConfig,
    /// The address on which operators call, in place of the configuration's; empty: off.
    pub management: Option<String>,
    /// The new file for a recording; `None`: nothing is recorded.
    pub recording: Option<PathBuf>,
}

impl ServeOptions {
    fn management_address(&self) -> Option<&str> {
        let configured = self.files.config.management.as_deref();
        let address = self.management.as_deref().or(configured)?;
        if address.is_empty() {
            return None;
        }
        Some(address)
    }
}

/// What is settled before the core is created.
struct Startup {
    config: Config,
    config_path: PathBuf,
    /// The text of the running configuration.
    config_text: String,
    deployment: Arc<Deployment>,
    seed: u64,
    clock: Clock,
    budgets: ResourceBudgets,
    recording: Option<PathBuf>,
    /// `None`: there can't be other processes of this dispatcher.
    upgrade: Option<UpgradeCoordinator>,
    /// The other processes as they were at the start.
    peers: PeerProcesses,
    log: Logger,
}

/// Serves until SIGTERM or SIGINT, on a runtime of its own.
///
/// # Errors
///
/// The process can't start, or a task without which it can't answer requests has ended.
pub fn run(options: ServeOptions, log_level: Level) -> Result<(), ServeError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ServeError::Runtime)?;
    let (log, _flush_guard) = logging::start(log_level);
    runtime.block_on(serve(options, log))
}

async fn serve(options: ServeOptions, log: Logger) -> Result<(), ServeError> {
    // Signals come first: one that arrives before its handler is installed kills the process.
    let signals = Signals::install()?;
    let (mut startup, listeners) = Startup::prepare(options, log.clone()).await?;
    let core = CoreStartup::create(&mut startup)?;
    let limits = startup.shared_limits(listeners.side.sessions.is_some());
    let inputs = TaskInputs {
        hangup: signals.hangup,
        limits: limits.clone(),
        management: listeners.side.management,
    };
    let RunningTasks {
        mut vital,
        dispatcher,
        pending_endpoints,
        upgrade,
        streams,
    } = tasks::spawn(&mut startup, core, inputs);
    info!(log, "starting"; "stage" => "tasks started", "tasks" => vital.count());
    let endpoint_sockets = startup.budgets.sockets.endpoints;
    let max_open_requests = startup.deployment.limits.max_open_requests;
    let client_connections = limits.clients.clone();
    let inputs = FrontendInputs {
        dispatcher: dispatcher.clone(),
        limits,
        sessions: startup.budgets.sessions,
        seed: startup.seed,
        streams,
        log: log.clone(),
    };
    let frontends = Frontends::start(
        inputs,
        listeners.clients,
        listeners.side.sessions,
        listeners.side.agent_check,
    );
    info!(log, "serving"; "name" => startup.config.name, "listen" => startup.config.listen,
        "max_open_requests" => max_open_requests.min(endpoint_sockets),
        "max_client_connections" => client_connections.capacity(),
        "max_endpoint_connections" => endpoint_sockets);
    let process = Process {
        dispatcher,
        frontends,
        pending_endpoints,
        upgrade,
        log: log.clone(),
    };
    tokio::select! {
        () = process.run(signals.termination) => {}
        Some(ended) = vital.wait_for_end() => return Err(ServeError::TaskEnded(ended)),
    }
    let unfinished_connections = client_connections.in_use();
    if unfinished_connections > 0 {
        warn!(log, "shutdown with unfinished work"; "client_connections" => unfinished_connections);
    }
    if is_enabled(Variant::Process) {
        std::process::exit(1);
    }
    info!(log, "shutdown complete");
    Ok(())
}

impl Startup {
    /// Opens the listeners, announces the process to others, and divides the limits.
    async fn prepare(
        options: ServeOptions,
        log: Logger,
    ) -> Result<(Startup, Listeners), ServeError> {
        let config = &options.files.config;
        let inherited = listeners::inherited_descriptor();
        let clients = listeners::bind_clients(inherited.as_deref(), &config.listen).await?;
        info!(log, "starting"; "stage" => "listening");
        let clock = Clock::start();
        // Only a process that inherits its socket can have another one beside it.
        let mut upgrade = None;
        if inherited.is_some() {
            upgrade = takeover::announce(&config.name, clock, &log).await;
        }
        let peers = match &upgrade {
            Some(coordinator) => coordinator.peer_processes(),
            None => PeerProcesses::default(),
        };
        let side = SideListeners::bind(&options, peers.predecessor).await?;
        let seed = u64::from_str_radix(&config.seed, 16).map_err(ServeError::InvalidSeed)?;
        let startup = Startup {
            budgets: ResourceBudgets::new(config, options.files.sessions),
            config: options.files.config,
            config_path: options.config_path,
            config_text: options.files.text,
            deployment: Arc::new(options.files.deployment),
            seed,
            clock,
            recording: options.recording,
            upgrade,
            peers,
            log,
        };
        Ok((startup, Listeners { clients, side }))
    }

    /// The limits that this process shares with others. A successor starts with the share that its predecessor left it.
    fn shared_limits(&self, has_sessions: bool) -> SharedLimits {
        let session_sockets = if has_sessions {
            self.budgets.session_sockets()
        } else {
            0
        };
        let limits = SharedLimits::new(&self.budgets, session_sockets);
        if self.peers.predecessor {
            limits.apply_share(self.peers.share);
        }
        limits
    }
}
