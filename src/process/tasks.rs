//! The tasks that run for the life of the process: core, backend, gossip, discovery, configuration reload, management
//! and process upgrade.
//!
//! Creates the channels between them, and owns all but the gossip task. The process ends if one of these ends.

use super::core_startup::{ConfiguredEndpoints, CoreStartup};
use super::limits::SharedLimits;
use super::Startup;
use crate::config::reload;
use crate::dispatcher::{Command, Core, DispatcherHandle, Event, ReceivedAttempt};
use crate::frontend::admin;
use crate::gossip::transport::GossipTransport;
use crate::gossip::Gossip;
use crate::identity::RandomSource;
use crate::upgrade::resource_shares::ProcessState;
use crate::upgrade::stream_migration::{
    self, MigratingStream, MigrationHandle, MigrationSender, ReceivedStream, ReceiverProcess,
};
use crate::upgrade::{PeerProcesses, UpgradeCoordinator};
use crate::{backend, discovery, dispatcher, upgrade};
use bytes::Bytes;
use slog::{warn, Logger};
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinError, JoinSet};

/// Commands of the core that can wait for the backend.
const COMMAND_QUEUE_LENGTH: usize = 1024;
/// Streams that can wait in each of the queues of their migration.
const STREAM_QUEUE_LENGTH: usize = 64;

/// What the tasks need besides [`Startup`] and the core.
pub(super) struct TaskInputs {
    /// SIGHUP, which reloads the configuration.
    pub hangup: Signal,
    pub limits: SharedLimits,
    /// The listener for operators; `None` if it is disabled.
    pub management: Option<TcpListener>,
}

/// The running tasks, and the channels on which the rest of the process uses them.
pub(super) struct RunningTasks {
    pub critical: CriticalTasks,
    pub dispatcher: DispatcherHandle,
    /// The endpoint list of the configuration, if the core has not received it yet.
    pub pending_endpoints: Option<Event>,
    pub streams: StreamChannels,
    pub upgrade: UpgradeChannels,
}

/// The channels by which the frontend migrates streams to other processes and resumes received ones.
pub(super) struct StreamChannels {
    /// Takes streams that migrate to another process; `None` if this process was not announced to others.
    pub migration: MigrationSender,
    /// Streams received from other processes.
    pub received: mpsc::Receiver<ReceivedStream>,
    /// Passes the upstream side of received streams to the backend.
    pub received_attempts: mpsc::Sender<ReceivedAttempt>,
}

/// The channels to the upgrade tasks. They are idle in a process that was not announced to others.
pub(super) struct UpgradeChannels {
    /// Turns the migration of streams on and off. Once it is dropped, migration stays as it was set last.
    pub migration_switch: watch::Sender<bool>,
    /// The state of this process that is announced to others.
    pub process_state: watch::Sender<ProcessState>,
    pub peers: watch::Receiver<PeerProcesses>,
    /// Whether the streams of all endpoints can migrate.
    pub endpoint_streams_migrate: bool,
}

/// The tasks without which the dispatcher would accept requests and not answer them. If one ends, the process ends.
pub(super) struct CriticalTasks {
    tasks: JoinSet<()>,
    dispatcher: DispatcherHandle,
    log: Logger,
}

/// Creates the channels between the tasks and starts all of them. Takes the coordinator out of `startup`. Backend,
/// gossip and core come first, as the further tasks send events to the core, and the core sends commands to the
/// backend.
pub(super) fn spawn(startup: &mut Startup, core: CoreStartup, inputs: TaskInputs) -> RunningTasks {
    let CoreStartup {
        mut core,
        dispatcher,
        events,
        recorder,
        endpoints,
    } = core;
    let mut critical = CriticalTasks {
        tasks: JoinSet::new(),
        dispatcher: dispatcher.clone(),
        log: startup.log.clone(),
    };
    let (commands, backend_commands) = mpsc::channel(COMMAND_QUEUE_LENGTH);
    let (migration_switch, signal) = stream_migration::migration_signal();
    let (received_attempts, attempts) = mpsc::channel(STREAM_QUEUE_LENGTH);
    let migration = backend::StreamMigration {
        signal: signal.clone(),
        received_attempts: attempts,
    };
    critical.spawn_backend(startup, backend_commands, &inputs.limits, migration);
    let gossip_queue = spawn_gossip(startup, &mut core, &dispatcher);
    critical.tasks.spawn(dispatcher::run(
        core,
        startup.clock,
        events,
        commands,
        recorder,
        gossip_queue,
    ));
    let pending_endpoints = critical.spawn_discovery(startup, endpoints, inputs.hangup);
    if let Some(listener) = inputs.management {
        // Unlike the frontends, it answers until the process exits.
        let log = critical.log.clone();
        let serve = admin::serve(listener, dispatcher.clone(), log);
        critical.tasks.spawn(serve);
    }
    let (received_streams, received) = mpsc::channel(STREAM_QUEUE_LENGTH);
    let (upgrade, migrating_streams) =
        critical.spawn_upgrade(startup, inputs.limits, migration_switch, received_streams);
    let migration = migrating_streams.map(|streams| MigrationHandle { streams, signal });
    RunningTasks {
        critical,
        dispatcher,
        pending_endpoints,
        streams: StreamChannels {
            migration,
            received,
            received_attempts,
        },
        upgrade,
    }
}

/// Starts gossip with the other dispatchers, and returns the queue of messages to them. `None` if the deployment has no
/// gossip, or no other dispatchers.
fn spawn_gossip(
    startup: &Startup,
    core: &mut Core,
    dispatcher: &DispatcherHandle,
) -> Option<mpsc::Sender<Bytes>> {
    let cost = startup.deployment.gossip_cost?;
    let transport = GossipTransport::new(&startup.config)?;
    if transport.peer_count() == 0 {
        return None;
    }
    let (queue, messages) = GossipTransport::queue();
    core.set_gossip(Gossip::new(transport.peer_count() + 1, cost));
    tokio::spawn(transport.run(messages, dispatcher.clone(), startup.log.clone()));
    Some(queue)
}

impl CriticalTasks {
    /// Returns how many of the tasks are running.
    pub(super) fn count(&self) -> usize {
        self.tasks.len()
    }

    /// Waits until one of the tasks ends, which is an error; `None` if there are none.
    pub(super) async fn wait_for_end(&mut self) -> Option<Result<(), JoinError>> {
        self.tasks.join_next().await
    }

    fn spawn_backend(
        &mut self,
        startup: &Startup,
        commands: mpsc::Receiver<Command>,
        limits: &SharedLimits,
        migration: backend::StreamMigration,
    ) {
        let sessions = &startup.budgets.sessions.config;
        self.tasks.spawn(backend::run(
            commands,
            self.dispatcher.clone(),
            startup.deployment.limits,
            limits.endpoints.clone(),
            sessions.websocket_endpoints.iter().cloned().collect(),
            migration,
            self.log.clone(),
        ));
    }

    /// Starts the discovery client, and the task that reloads the configuration and so changes discovery's address.
    /// Returns the configured endpoint list if the core has not received it yet.
    fn spawn_discovery(
        &mut self,
        startup: &Startup,
        endpoints: ConfiguredEndpoints,
        hangup: Signal,
    ) -> Option<Event> {
        let (set_address, address) = watch::channel(startup.config.discovery.clone());
        self.tasks.spawn(discovery::run(
            address,
            endpoints.deployment,
            startup.identity.seed(RandomSource::Discovery),
            endpoints.revision,
            self.dispatcher.clone(),
            self.log.clone(),
        ));
        self.tasks.spawn(reload::run(
            startup.config_path.clone(),
            startup.config_text.clone(),
            hangup,
            self.dispatcher.clone(),
            set_address,
            self.log.clone(),
        ));
        endpoints.pending
    }

    /// Starts the migration of streams and then the coordinator, if this process was announced to others. Returns their
    /// channels, and the queue of streams that are to migrate.
    fn spawn_upgrade(
        &mut self,
        startup: &mut Startup,
        limits: SharedLimits,
        migration_switch: watch::Sender<bool>,
        received_streams: mpsc::Sender<ReceivedStream>,
    ) -> (UpgradeChannels, Option<mpsc::Sender<MigratingStream>>) {
        let (process_state, own_state) = watch::channel(ProcessState::Starting);
        let (set_peers, peers) = watch::channel(startup.peers);
        let mut migrating_streams = None;
        if let Some(coordinator) = startup.upgrade.take() {
            migrating_streams = Some(self.spawn_migration(&coordinator, received_streams, &peers));
            self.tasks.spawn(upgrade::run(
                coordinator,
                limits,
                self.dispatcher.clone(),
                own_state,
                set_peers,
            ));
        }
        // A stream over a WebSocket session stays with the process that has the session.
        let websocket_endpoints = &startup.budgets.sessions.config.websocket_endpoints;
        let channels = UpgradeChannels {
            endpoint_streams_migrate: websocket_endpoints.is_empty(),
            migration_switch,
            process_state,
            peers,
        };
        (channels, migrating_streams)
    }

    /// Starts the tasks that receive streams from other processes and send streams to them. Returns the queue of
    /// streams to send.
    fn spawn_migration(
        &mut self,
        coordinator: &UpgradeCoordinator,
        received_streams: mpsc::Sender<ReceivedStream>,
        peers: &watch::Receiver<PeerProcesses>,
    ) -> mpsc::Sender<MigratingStream> {
        match coordinator.listen() {
            Ok(listener) => {
                self.tasks.spawn(stream_migration::receive_streams(
                    listener,
                    received_streams,
                    self.log.clone(),
                ));
            }
            Err(error) => warn!(self.log, "stream migration listener failed"; "error" => %error),
        }
        let (queue, streams) = mpsc::channel(STREAM_QUEUE_LENGTH);
        let socket_path = coordinator.stream_socket_path();
        let peers = peers.clone();
        let receiver = move || {
            let started_at = peers.borrow().stream_receiver()?;
            Some(ReceiverProcess {
                started_at,
                socket_path: socket_path(started_at),
            })
        };
        self.tasks.spawn(stream_migration::send_streams(
            receiver,
            streams,
            self.log.clone(),
        ));
        queue
    }
}
