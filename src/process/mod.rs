//! The dispatcher's process: startup, tasks, signals and graceful shutdown.
//!
//! The process owns the listening sockets, the clock, the log and the runtime, and connects the parts of the dispatcher
//! by channels. It does not handle requests itself.

mod core_startup;
mod error;
mod frontends;
mod limits;
mod listeners;
pub mod logging;
mod shutdown;
mod shutdown_schedule;
mod signals;
mod takeover;
mod tasks;
mod trace_recording;

pub use error::ServeError;

use crate::config::{Config, Deployment, LoadedConfig};
use crate::dispatcher::Clock;
use crate::identity::ProcessIdentity;
use crate::upgrade::request_claims::RequestClaims;
use crate::upgrade::{PeerProcesses, ResourceLimits, UpgradeCoordinator};
use crate::variants::{is_enabled, Variant};
use core_startup::CoreStartup;
use frontends::{FrontendInputs, Frontends};
use limits::{ResourceBudgets, SharedLimits};
use listeners::{AuxiliaryListeners, Listeners};
use shutdown::Process;
use signals::Signals;
use slog::{info, warn, Level, Logger};
use std::path::PathBuf;
use std::sync::Arc;
use tasks::{RunningTasks, TaskInputs};

/// The options of the `serve` command, with the files that they name.
pub struct ServeOptions {
    /// The configuration file. It is read again on SIGHUP.
    pub config_path: PathBuf,
    /// The contents of the configuration files, already read and checked.
    pub files: LoadedConfig,
    /// The listening address for operators, which overrides the configuration's; empty disables the listener.
    pub management: Option<String>,
    /// The file for a new recording, which must not exist yet; `None` if nothing is recorded.
    pub recording: Option<PathBuf>,
}

impl ServeOptions {
    /// Returns the listening address for operators; `None` if the listener is disabled.
    fn management_address(&self) -> Option<&str> {
        let configured = self.files.config.management.as_deref();
        let address = self.management.as_deref().or(configured)?;
        if address.is_empty() {
            return None;
        }
        Some(address)
    }
}

/// The state of a process before its core is created.
struct Startup {
    config: Config,
    config_path: PathBuf,
    /// The text of the running configuration, against which a reloaded file is checked.
    config_text: String,
    deployment: Arc<Deployment>,
    /// The source of what this process names and draws.
    identity: ProcessIdentity,
    clock: Clock,
    budgets: ResourceBudgets,
    recording: Option<PathBuf>,
    /// `None` if this process was not announced: then no other process of the dispatcher can find it.
    upgrade: Option<UpgradeCoordinator>,
    /// The other processes of the dispatcher, as of startup.
    peers: PeerProcesses,
    log: Logger,
}

/// Runs the dispatcher on a new runtime until SIGTERM or SIGINT, and returns when it has shut down.
///
/// # Errors
///
/// [`ServeError`] if the process can't start, or if a task has ended without which it can't answer requests.
pub fn run(options: ServeOptions, log_level: Level) -> Result<(), ServeError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ServeError::Runtime)?;
    let (log, _flush_guard) = logging::start(log_level);
    runtime.block_on(serve(options, log))
}

async fn serve(options: ServeOptions, log: Logger) -> Result<(), ServeError> {
    // The first step: a signal that arrives before its handler is installed kills the process.
    let signals = Signals::install()?;
    let (mut startup, listeners) = Startup::prepare(options, log.clone()).await?;
    let core = CoreStartup::create(&mut startup)?;
    let limits = startup.shared_limits(listeners.auxiliary.sessions.is_some());
    let inputs = TaskInputs {
        hangup: signals.hangup,
        limits: limits.clone(),
        management: listeners.auxiliary.management,
    };
    let request_claims = startup.request_claims();
    let RunningTasks {
        mut critical,
        dispatcher,
        pending_endpoints,
        upgrade,
        streams,
    } = tasks::spawn(&mut startup, core, inputs);
    info!(log, "starting"; "stage" => "tasks started", "tasks" => critical.count());
    let client_connections = limits.clients.clone();
    let inputs = FrontendInputs {
        dispatcher: dispatcher.clone(),
        limits,
        sessions: startup.budgets.sessions.clone(),
        request_ids: startup.identity.request_ids(),
        streams,
        request_claims,
        log: log.clone(),
    };
    let frontends = Frontends::start(
        inputs,
        listeners.clients,
        listeners.auxiliary.sessions,
        listeners.auxiliary.agent_check,
    );
    startup.log_serving(client_connections.capacity());
    let process = Process {
        dispatcher,
        frontends,
        pending_endpoints,
        upgrade,
        log: log.clone(),
    };
    tokio::select! {
        () = process.run(signals.termination) => {}
        Some(ended) = critical.wait_for_end() => return Err(ServeError::TaskEnded(ended)),
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
    /// Opens the listeners, announces this process to the dispatcher's other ones, and divides the machine's limits.
    async fn prepare(
        options: ServeOptions,
        log: Logger,
    ) -> Result<(Startup, Listeners), ServeError> {
        let config = &options.files.config;
        let inherited = listeners::inherited_descriptor();
        let clients = listeners::bind_clients(inherited.as_deref(), &config.listen).await?;
        info!(log, "starting"; "stage" => "listening");
        let clock = Clock::start();
        // Only a process with an inherited socket can run beside another one of its dispatcher.
        let mut upgrade = None;
        if inherited.is_some() {
            upgrade = takeover::announce(&config.name, clock, &log).await;
        }
        let peers = match &upgrade {
            Some(coordinator) => coordinator.peer_processes(),
            None => PeerProcesses::default(),
        };
        let auxiliary = AuxiliaryListeners::bind(&options, peers.predecessor).await?;
        let seed = u64::from_str_radix(&config.seed, 16).map_err(ServeError::InvalidSeed)?;
        let identity = ProcessIdentity::draw(seed).map_err(ServeError::Identity)?;
        let startup = Startup {
            budgets: ResourceBudgets::new(config, options.files.sessions),
            config: options.files.config,
            config_path: options.config_path,
            config_text: options.files.text,
            deployment: Arc::new(options.files.deployment),
            identity,
            clock,
            recording: options.recording,
            upgrade,
            peers,
            log,
        };
        Ok((startup, Listeners { clients, auxiliary }))
    }

    /// Returns the claims of request ids, which this process shares with the others of its dispatcher.
    fn request_claims(&self) -> RequestClaims {
        match &self.upgrade {
            Some(coordinator) => coordinator.request_claims(),
            None => RequestClaims::disabled(),
        }
    }

    fn log_serving(&self, max_client_connections: usize) {
        let endpoint_sockets = self.budgets.sockets.endpoints;
        let max_open_requests = self.deployment.limits.max_open_requests;
        info!(self.log, "serving"; "name" => &self.config.name, "listen" => &self.config.listen,
            "max_open_requests" => max_open_requests.min(endpoint_sockets),
            "max_client_connections" => max_client_connections,
            "max_endpoint_connections" => endpoint_sockets);
    }

    /// Creates the limits that this process shares with others. A successor begins with the share that its predecessor
    /// has left free.
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
