//! The backend executes the dispatcher's commands at the endpoints, and reports how each attempt, release and probe
//! ended.
//!
//! Endpoints are called over HTTP/1.1, or over WebSocket sessions if the session file lists them. [`run`] owns one task
//! for each attempt, release and probe, and aborts them when it ends.

pub mod attempt;
mod blocked_endpoints;
mod connector;
pub mod event_stream;
pub mod http;
pub mod load_report;
mod probe;
mod reservation_release;
mod tracked_connection;
mod transport;
mod unread_window;
pub mod websocket;

use crate::config::DispatcherLimits;
use crate::dispatcher::{Command, DispatcherHandle, EndReason, Event, ReceivedAttempt};
use crate::net::adjustable_semaphore::AdjustableSemaphore;
use crate::routing::api::{EndpointId, RequestId};
use crate::upgrade::stream_migration::{migration_signal, MigrationSignal};
use attempt::{AttemptKey, AttemptRequest, AttemptResult, ConnectionPolicy, StreamForwarder};
use connector::Connector;
use http::HttpBackend;
use slog::{error, Logger};
use std::collections::{HashMap, HashSet};
use std::future::Future;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{JoinError, JoinSet};
use websocket::SessionPool;

/// The connection limit is divided by this to get the maximum number of idle connections to one endpoint.
const IDLE_CONNECTION_DIVISOR: usize = 12;
/// The number of commands taken from the queue at once.
const MAX_COMMAND_BATCH: usize = 1024;

/// The clients for both wire protocols, and the handle of the dispatcher that gets the results. Each task has a clone.
#[derive(Clone)]
struct EndpointClient {
    http: HttpBackend,
    sessions: SessionPool,
    websocket_endpoints: Arc<HashSet<String>>,
    dispatcher: DispatcherHandle,
    log: Logger,
}

impl EndpointClient {
    fn uses_websocket(&self, address: &str) -> bool {
        self.websocket_endpoints.contains(address)
    }

    async fn attempt(&self, request: AttemptRequest, forwarder: StreamForwarder) -> AttemptResult {
        if self.uses_websocket(&request.address) {
            self.sessions.attempt(request, forwarder).await
        } else {
            self.http.attempt(request, forwarder).await
        }
    }

    /// Runs an attempt until it ends or is cancelled, and reports how it ended.
    async fn run_attempt(
        self,
        request: AttemptRequest,
        forwarder: StreamForwarder,
        cancelled: impl Future<Output = ()>,
    ) {
        let key = request.key();
        let result = tokio::select! {
            biased;
            result = self.attempt(request, forwarder) => result,
            // Dropping the other future closes the attempt's connection.
            () = cancelled => EndReason::Cancelled.into(),
        };
        self.dispatcher.send(attempt_ended(key, result)).await;
    }
}

fn attempt_ended(key: AttemptKey, result: AttemptResult) -> Event {
    Event::AttemptEnded {
        id: key.id,
        attempt: key.attempt,
        reason: result.reason,
        cached_tokens: result.cached_tokens,
        completion_tokens: result.completion_tokens,
        load: result.load,
    }
}

/// The backend's inputs for stream migration: when to migrate streams to another process, and the streams received from
/// one.
pub struct StreamMigration {
    /// Tells when streams should migrate.
    pub signal: MigrationSignal,
    /// The streams that another process has migrated to this one.
    pub received_attempts: mpsc::Receiver<ReceivedAttempt>,
}

impl StreamMigration {
    /// Creates a value for a process that neither migrates nor receives streams.
    pub fn disabled() -> StreamMigration {
        StreamMigration {
            signal: migration_signal().1,
            received_attempts: mpsc::channel(1).1,
        }
    }
}

/// Executes commands, and tracks the tasks that they start.
struct Backend {
    cancel_senders: HashMap<AttemptKey, oneshot::Sender<()>>,
    attempts_by_task: HashMap<tokio::task::Id, AttemptKey>,
    tasks: JoinSet<()>,
    client: EndpointClient,
    connector: Connector,
    migration: MigrationSignal,
}

impl Backend {
    fn execute(&mut self, command: Command) {
        match command {
            Command::StartAttempt {
                id,
                attempt,
                address,
                upstream,
                timeout,
                needs_new_connection,
            } => self.start_attempt(AttemptRequest {
                id,
                attempt,
                address,
                upstream,
                timeout,
                connection: if needs_new_connection {
                    ConnectionPolicy::RequireNew
                } else {
                    ConnectionPolicy::AllowPooled
                },
            }),
            Command::CancelAttempt { id, attempt } => {
                self.cancel_attempt(AttemptKey { id, attempt });
            }
            Command::ReleaseReservation {
                id,
                client_request_id,
                addresses,
            } => self.release_reservation(id, client_request_id, addresses),
            Command::Probe { endpoint, address } => self.probe(endpoint, address),
            Command::BlockAddress {
                address,
                is_blocked: true,
            } => self.block_address(address),
            Command::BlockAddress {
                address,
                is_blocked: false,
            } => self.connector.blocked_endpoints().unblock(&address),
        }
    }

    fn start_attempt(&mut self, request: AttemptRequest) {
        let key = request.key();
        let (cancel, cancelled) = oneshot::channel::<()>();
        let client = self.client.clone();
        let forwarder = self.forwarder(key);
        let is_committed = forwarder.committed_flag();
        let cancelled = async move {
            // A cancel may arrive after the first event was reported. The dispatcher has then given the stream to the
            // client, and cutting it would fail the request. Such a stream ends when its receiver is dropped.
            if cancelled.await.is_err() || is_committed.load(Ordering::Relaxed) {
                std::future::pending::<()>().await;
            }
        };
        let task = self
            .tasks
            .spawn(client.run_attempt(request, forwarder, cancelled));
        self.attempts_by_task.insert(task.id(), key);
        self.cancel_senders.insert(key, cancel);
    }

    /// Continues a received stream as an attempt like any other.
    fn resume_attempt(&mut self, attempt: ReceivedAttempt) {
        let ReceivedAttempt {
            id,
            upstream,
            chunks,
        } = attempt;
        let key = AttemptKey { id, attempt: 0 };
        let client = self.client.clone();
        let forwarder = self.forwarder(key).resume(chunks, &upstream.state);
        // A received connection counts even beyond the limit: it is open already, and the process that sent it closes
        // its own descriptor.
        let permit = self.connector.limit().acquire_beyond_limit();
        let task = self.tasks.spawn(async move {
            let result = client.http.resume(upstream, forwarder).await;
            drop(permit);
            client.dispatcher.send(attempt_ended(key, result)).await;
        });
        self.attempts_by_task.insert(task.id(), key);
    }

    fn forwarder(&self, key: AttemptKey) -> StreamForwarder {
        StreamForwarder::new(
            self.client.dispatcher.clone(),
            key,
            self.migration.clone(),
            self.client.log.clone(),
        )
    }

    fn cancel_attempt(&mut self, key: AttemptKey) {
        if let Some(cancel) = self.cancel_senders.remove(&key) {
            let _ = cancel.send(()); // fails if the attempt has ended
        }
    }

    fn release_reservation(
        &mut self,
        id: RequestId,
        client_request_id: Arc<str>,
        addresses: Vec<Arc<str>>,
    ) {
        let client = self.client.clone();
        self.tasks.spawn(async move {
            let confirmed = client.release(&client_request_id, &addresses).await;
            let event = Event::ReleaseCompleted { id, confirmed };
            client.dispatcher.send(event).await;
        });
    }

    fn probe(&mut self, endpoint: EndpointId, address: Arc<str>) {
        let client = self.client.clone();
        self.tasks
            .spawn(async move { client.probe(endpoint, &address).await });
    }

    fn block_address(&self, address: Arc<str>) {
        self.client.sessions.close_idle(&address);
        self.connector.blocked_endpoints().block(address);
    }

    fn on_task_finished(&mut self, finished: Result<(tokio::task::Id, ()), JoinError>) {
        let task = match &finished {
            Ok((task, ())) => *task,
            Err(error) => error.id(),
        };
        let Some(key) = self.attempts_by_task.remove(&task) else {
            return;
        };
        self.cancel_senders.remove(&key);
        if let Err(error) = finished {
            // The panicked task has not reported its end, and the dispatcher would wait for it forever.
            error!(self.client.log, "attempt task panicked"; "id" => key.id, "attempt" => key.attempt,
                "error" => %error);
            let event = attempt_ended(key, EndReason::TaskPanicked.into());
            self.client.dispatcher.send_detached(event);
        }
    }
}

/// Executes the dispatcher's commands until their channel is closed. `connections` limits the connections to endpoints.
/// `websocket_endpoints` are the addresses of the endpoints that use WebSocket sessions. `migration` controls the
/// streams that migrate to another process or were received from one.
pub async fn run(
    mut commands: mpsc::Receiver<Command>,
    dispatcher: DispatcherHandle,
    limits: DispatcherLimits,
    connections: AdjustableSemaphore,
    websocket_endpoints: HashSet<String>,
    migration: StreamMigration,
    log: Logger,
) {
    let StreamMigration {
        signal: migration,
        mut received_attempts,
    } = migration;
    let max_idle_per_endpoint = (connections.capacity() / IDLE_CONNECTION_DIVISOR).max(1);
    let connector = Connector::new(Duration::from_micros(limits.connect_timeout), connections);
    // Endpoints close connections that were idle for `endpoint_idle_timeout`; a request written at that moment is lost.
    // Connections are therefore not reused in the last 30 % of that time.
    let idle_timeout = Duration::from_micros(limits.endpoint_idle_timeout * 7 / 10);
    let client = EndpointClient {
        http: HttpBackend::new(
            connector.clone(),
            idle_timeout,
            max_idle_per_endpoint,
            log.clone(),
        ),
        sessions: SessionPool::new(connector.clone(), idle_timeout, log.clone()),
        websocket_endpoints: Arc::new(websocket_endpoints),
        dispatcher,
        log,
    };
    let mut backend = Backend {
        cancel_senders: HashMap::new(),
        attempts_by_task: HashMap::new(),
        tasks: JoinSet::new(),
        client,
        connector,
        migration,
    };
    let mut batch = Vec::new();
    loop {
        tokio::select! {
            count = commands.recv_many(&mut batch, MAX_COMMAND_BATCH) => {
                if count == 0 {
                    return;
                }
                // All queued commands are taken at once, so that addresses are blocked before any attempt starts.
                Command::sort_blocks_first(&mut batch);
                for command in batch.drain(..) {
                    backend.execute(command);
                }
            }
            Some(attempt) = received_attempts.recv() => backend.resume_attempt(attempt),
            Some(finished) = backend.tasks.join_next_with_id() => backend.on_task_finished(finished),
        }
    }
}
