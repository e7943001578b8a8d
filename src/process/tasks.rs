//! The tasks that run from the start to the end of the process: core, backend, gossip, discovery, configuration reload,
//! management and process upgrade.

use super::core_startup::{ConfiguredEndpoints, CoreStartup};
use super::limits::SharedLimits;
use super::Startup;
use crate::config::reload;
use crate::dispatcher::{Command, Core, DispatcherHandle, Event, ReceivedAttempt};
use crate::frontend::admin;
use crate::gossip::transport::GossipTransport;
use crate::gossip::Gossip;
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

/// Commands of the core that may wait for the backend.
const COMMAND_QUEUE_LENGTH: usize = 1024;
/// Streams that may wait for the next step of their migration.
const STREAM_QUEUE_LENGTH: usize = 64;

/// What the tasks need beside the core.
pub(super) struct TaskInputs {
    /// Reloads the configuration.
    pub hangup: Signal,
    pub limits: SharedLimits,
    /// The listener for operators; `None`: off.
    pub management: Option<TcpListener>,
}

/// The running tasks, and the ends of their channels that the rest of the process uses.
pub(super) struct RunningTasks {
    pub vital: VitalTasks,
    pub dispatcher: DispatcherHandle,
    /// The endpoint list of the configuration, where the core has not received it yet.
    pub pending_endpoints: Option<Event>,
    pub streams: StreamChannels,
    pub upgrade: UpgradeChannels,
}

/// The channels on which the frontend exchanges streams with other processes, by the upgrade tasks, and with the backend.
pub(super) struct StreamChannels {
    /// Where streams are sent that migrate; `None`: there is no other process.
    pub migration: MigrationSender,
    /// The streams of other processes.
    pub received: mpsc::Receiver<ReceivedStream>,
    /// Where the backend takes the upstream side of received streams.
    pub received_attempts: mpsc::Sender<ReceivedAttempt>,
}

/// The channels to the process upgrade, which are idle in a process without a coordinator.
pub(super) struct UpgradeChannels {
    /// Turns the migration of streams on and off. Streams stop migrating for good when it is dropped.
    pub migration_switch: watch::Sender<bool>,
    /// What other processes are told about this one.
    pub process_state: watch::Sender<ProcessState>,
    pub peers: watch::Receiver<PeerProcesses>,
}

/// Tasks without any of which the dispatcher would accept requests and answer none: the process ends with the first.
pub(super) struct VitalTasks {
    tasks: JoinSet<()>,
    dispatcher: DispatcherHandle,
    log: Logger,
}

/// Starts all tasks, in an order that is part of the start: backend and core before what sends events to them.
pub(super) fn spawn(startup: &mut Startup, core: CoreStartup, inputs: TaskInputs) -> RunningTasks {
    let CoreStartup {
        mut core,
        dispatcher,
        events,
        recorder,
        endpoints,
    } = core;
    let mut vital = VitalTasks {
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
    vital.spawn_backend(startup, backend_commands, &inputs.limits, migration);
    let gossip_queue = spawn_gossip(startup, &mut core, &dispatcher);
    vital.tasks.spawn(dispatcher::run(
        core,
        startup.clock,
        events,
        commands,
        recorder,
        gossip_queue,
    ));
    let pending_endpoints = vital.spawn_discovery(startup, endpoints, inputs.hangup);
    if let Some(listener) = inputs.management {
        // Operators are answered until the process ends.
        let log = vital.log.clone();
        let serve = admin::serve(listener, dispatcher.clone(), log);
        vital.tasks.spawn(serve);
    }
    let (received_streams, received) = mpsc::channel(STREAM_QUEUE_LENGTH);
    let (upgrade, migrating_streams) =
        vital.spawn_upgrade(startup, inputs.limits, migration_switch, received_streams);
    let migration = migrating_streams.map(|streams| MigrationHandle { streams, signal });
    RunningTasks {
        vital,
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

/// Starts gossip with the other dispatchers if the deployment allows it and there are any; returns the queue of messages
/// to them.
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

impl VitalTasks {
    /// How many tasks run.
    pub(super) fn count(&self) -> usize {
        self.tasks.len()
    }

    /// Waits until one of the tasks has ended, which none should.
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

    /// Starts the discovery client and the reload that changes its address; returns the endpoint list that the core has
    /// not received yet.
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
            startup.seed,
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

    /// Starts what this process does beside others of its dispatcher, if there can be any: migration first.
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
        let channels = UpgradeChannels {
            migration_switch,
            process_state,
            peers,
        };
        (channels, migrating_streams)
    }

    /// Starts the migration of streams from and to other processes; returns the queue of the latter.
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
