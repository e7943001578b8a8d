//! The backend: runs the dispatcher's commands at the endpoints, and reports how each attempt, release and probe ended.
//!
//! Endpoints use HTTP/1.1, or WebSocket sessions where the session file names them. [`run`] owns the tasks, one for
//! each attempt, release and probe; ending it ends them.

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

/// One in so many of all connections to endpoints may be idle at one of them.
const IDLE_CONNECTION_DIVISOR: usize = 12;
/// How many commands are taken from the queue at once.
const MAX_COMMAND_BATCH: usize = 1024;

/// The clients for both wire protocols, and the dispatcher that gets the results. Each task has a clone.
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

    /// Runs an attempt to its end or to its cancel, and reports how it ended.
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
            // This drops the exchange, which closes its connection.
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

/// What the backend is told of streams that go to another process or come from one.
pub struct StreamMigration {
    /// When streams are to migrate.
    pub signal: MigrationSignal,
    /// The streams that another process has begun.
    pub received_attempts: mpsc::Receiver<ReceivedAttempt>,
}

impl StreamMigration {
    /// For a process that is alone.
    pub fn disabled() -> StreamMigration {
        StreamMigration {
            signal: migration_signal().1,
            received_attempts: mpsc::channel(1).1,
        }
    }
}

/// Runs the commands, and the tasks that they start.
struct Backend {
    cancels: HashMap<AttemptKey, oneshot::Sender<()>>,
    attempts: HashMap<tokio::task::Id, AttemptKey>,
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
            } => self.connector.gate().unblock(&address),
        }
    }

    fn start_attempt(&mut self, request: AttemptRequest) {
        let key = request.key();
        let (cancel, cancelled) = oneshot::channel::<()>();
        let client = self.client.clone();
        let forwarder = self.forwarder(key);
        let is_committed = forwarder.committed_flag();
        let cancelled = async move {
            // A cancel may cross with the first event. The dispatcher has then given the stream to the client, and
            // cutting it would lose the request: it ends when the dispatcher drops it.
            if cancelled.await.is_err() || is_committed.load(Ordering::Relaxed) {
                std::future::pending::<()>().await;
            }
        };
        let task = self
            .tasks
            .spawn(client.run_attempt(request, forwarder, cancelled));
        self.attempts.insert(task.id(), key);
        self.cancels.insert(key, cancel);
    }

    /// Goes on with a stream that another process has begun, as an attempt like any other.
    fn resume_attempt(&mut self, attempt: ReceivedAttempt) {
        let ReceivedAttempt {
            id,
            upstream,
            chunks,
        } = attempt;
        let key = AttemptKey { id, attempt: 0 };
        let client = self.client.clone();
        let forwarder = self.forwarder(key).resume(chunks, &upstream.state);
        // Streams that are handed over count, also beyond the limit: the process that had them has closed theirs.
        let permit = self.connector.limit().acquire_beyond_limit();
        let task = self.tasks.spawn(async move {
            let result = client.http.resume(upstream, forwarder).await;
            drop(permit);
            client.dispatcher.send(attempt_ended(key, result)).await;
        });
        self.attempts.insert(task.id(), key);
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
        if let Some(cancel) = self.cancels.remove(&key) {
            let _ = cancel.send(()); // the attempt may have ended
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
        self.connector.gate().block(address);
    }

    fn on_task_finished(&mut self, finished: Result<(tokio::task::Id, ()), JoinError>) {
        let task = match &finished {
            Ok((task, ())) => *task,
            Err(error) => error.id(),
        };
        let Some(key) = self.attempts.remove(&task) else {
            return;
        };
        self.cancels.remove(&key);
        if let Err(error) = finished {
            // A task that panicked has reported nothing, and the dispatcher must not wait for it.
            error!(self.client.log, "attempt task panicked"; "id" => key.id, "attempt" => key.attempt,
                "error" => %error);
            let event = attempt_ended(key, EndReason::TaskPanicked.into());
            self.client.dispatcher.send_detached(event);
        }
    }
}

/// Runs the dispatcher's commands until their channel is closed. `connections` limits the connections to endpoints;
/// `websocket_endpoints` are the addresses of endpoints that use WebSocket sessions. Streams migrate to another process
/// and come from one as `migration` tells.
pub async fn run(
    mut commands: mpsc::Receiver<Command>,
    dispatcher: DispatcherHandle,
    bounds: DispatcherLimits,
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
    let connector = Connector::new(Duration::from_micros(bounds.connect_timeout), connections);
    // Endpoints close connections that were idle for the settings' time; a request written then would be lost.
    let idle_timeout = Duration::from_micros(bounds.endpoint_idle_timeout * 7 / 10);
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
        cancels: HashMap::new(),
        attempts: HashMap::new(),
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
                // All waiting commands are taken at once, and addresses are blocked before any attempt starts.
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
