//! Accepts client connections up to a limit, takes over connections from other processes, and closes all of them in an
//! orderly way at shutdown.
//!
//! Silent and slow clients are disconnected by timeouts. At the limit, an idle connection is evicted for a new one, so
//! that no group of clients can lock out the others.

use super::admission::{Admission, ListenerState};
use super::connection::ClientConnection;
use super::http::StreamResumer;
use super::memory_budget::ClientMemoryBudget;
use super::request_service::{serve_connection, ResumedConnection};
use super::ShutdownPhase;
use crate::net::adjustable_semaphore::{AdjustableSemaphore, Permit};
use crate::net::system_errors::AcceptBackoff;
use crate::upgrade::stream_migration::{MigrationSender, ReceivedStream};
use crate::variants::{is_enabled, Variant};
use axum::Router;
use futures_util::FutureExt;
use slog::{info, warn, Logger};
use std::io;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// The channels by which a listener exchanges live streams with other processes of its dispatcher.
pub struct MigrationChannels {
    /// Sends streams that migrate to another process; `None` in a process that runs alone.
    pub migration_sender: MigrationSender,
    /// Receives streams from other processes. A sender that has reserved a slot in this queue may still use it after
    /// the queue is closed.
    pub received: mpsc::Receiver<ReceivedStream>,
    /// Resumes received streams; `None` in a process that runs alone, which receives no streams.
    pub resumer: Option<StreamResumer>,
    /// Whether new connections are accepted. Received streams are served even while this is false.
    pub accepts: watch::Receiver<bool>,
    /// The budget for what is buffered of streams that are to migrate.
    pub client_memory: ClientMemoryBudget,
}

impl MigrationChannels {
    /// Returns the channels for a process that runs alone: no stream arrives or leaves, and connections are accepted at
    /// once.
    fn none() -> MigrationChannels {
        MigrationChannels {
            migration_sender: None,
            received: mpsc::channel(1).1,
            resumer: None,
            accepts: watch::channel(true).1,
            client_memory: ClientMemoryBudget::new(0),
        }
    }
}

/// The open connections of a listener and the tasks that serve them.
struct ConnectionTasks {
    admission: Admission,
    tasks: JoinSet<()>,
    routes: Router,
    resumer: Option<StreamResumer>,
}

impl ConnectionTasks {
    /// Serves a connection in a task of its own, which holds the permit until the connection ends.
    fn spawn(&mut self, stream: TcpStream, permit: Permit) {
        let client = ClientConnection::new();
        let serving = serve_connection(
            stream,
            client.clone(),
            self.routes.clone(),
            self.admission.listener_state().clone(),
            None,
        );
        let task = self.tasks.spawn(async move {
            serving.await;
            drop(permit);
        });
        self.admission.add(task.id(), client);
    }

    /// Resumes a connection that another process has handed over. It is served in the same way as one accepted here.
    fn spawn_received(&mut self, stream: ReceivedStream) {
        let Some(resumer) = self.resumer.clone() else {
            return;
        };
        let permit = self.admission.acquire_for_received();
        let client = ClientConnection::new();
        let served_client = client.clone();
        let routes = self.routes.clone();
        let mut listener_state = self.admission.listener_state().clone();
        if is_enabled(Variant::StreamCut) {
            listener_state = listener_state.without_migration();
        }
        let serving = async move {
            let slot = served_client.migration_slot().clone();
            let client_request_id = stream.client_state.client_request_id;
            let response = resumer
                .resume(stream.upstream, client_request_id, slot)
                .await;
            let resumed = ResumedConnection {
                state: stream.client_state.connection,
                response,
            };
            serve_connection(
                stream.client,
                served_client,
                routes,
                listener_state,
                Some(resumed),
            )
            .await;
            drop(permit);
        };
        if is_enabled(Variant::StreamCut) {
            tokio::spawn(serving);
            return;
        }
        let task = self.tasks.spawn(serving);
        self.admission.add(task.id(), client);
    }

    fn remove_finished(&mut self) {
        while let Some(finished) = self.tasks.try_join_next_with_id() {
            let task = match finished {
                Ok((task, ())) => task,
                Err(error) => error.id(),
            };
            self.admission.remove(task);
        }
    }

    /// Serves received streams until all connections have ended and no further stream can arrive. The queue is closed
    /// only once no connection is open: as long as this process has connections to finish, it also takes over streams.
    async fn finish(&mut self, received: &mut mpsc::Receiver<ReceivedStream>) {
        loop {
            tokio::select! {
                biased;
                Some(stream) = received.recv() => self.spawn_received(stream),
                ended = self.tasks.join_next() => {
                    if ended.is_none() {
                        break;
                    }
                }
            }
        }
        received.close();
        while let Some(stream) = received.recv().await {
            self.spawn_received(stream);
        }
        while self.tasks.join_next().await.is_some() {}
    }
}

/// What a listener handles next: a connection that it accepted, or a stream from another process.
enum Incoming {
    Accepted(Option<Permit>, io::Result<TcpStream>),
    Received(ReceivedStream),
}

/// Serves clients, with at most `connection_limit` connections at once. Stops accepting connections in
/// [`ShutdownPhase::Draining`], closes idle ones in [`ShutdownPhase::Closing`], and returns when all have ended.
pub async fn serve(
    listener: TcpListener,
    routes: Router,
    connection_limit: AdjustableSemaphore,
    shutdown: watch::Receiver<ShutdownPhase>,
    log: Logger,
) {
    let channels = MigrationChannels::none();
    serve_with_migration(listener, routes, connection_limit, shutdown, channels, log).await;
}

/// Does the same as [`serve`], and also exchanges streams with other processes of the dispatcher.
pub async fn serve_with_migration(
    listener: TcpListener,
    routes: Router,
    connection_limit: AdjustableSemaphore,
    mut shutdown: watch::Receiver<ShutdownPhase>,
    channels: MigrationChannels,
    log: Logger,
) {
    let MigrationChannels {
        migration_sender,
        mut received,
        resumer,
        mut accepts,
        client_memory,
    } = channels;
    let listener_state = ListenerState::new(
        connection_limit,
        shutdown.clone(),
        migration_sender,
        client_memory,
    );
    let mut connections = ConnectionTasks {
        admission: Admission::new(listener_state),
        tasks: JoinSet::new(),
        routes,
        resumer,
    };
    let mut incoming = IncomingConnections {
        listener: &listener,
        received: &mut received,
        accepts: &mut accepts,
        log: &log,
    };
    incoming
        .serve_until_draining(&mut connections, shutdown.clone())
        .await;
    if *shutdown.borrow() >= ShutdownPhase::Closing && *accepts.borrow() {
        // No other process will accept the connections that already wait in the accept queue.
        while let Some(permit) = connections.admission.try_acquire_permit() {
            let Some(Ok((stream, _))) = listener.accept().now_or_never() else {
                break;
            };
            connections.spawn(stream, permit);
        }
    }
    drop(listener);
    info!(log, "listener closed"; "open_connections" => connections.tasks.len());
    let mut closing = std::pin::pin!(shutdown.wait_for(|phase| *phase >= ShutdownPhase::Closing));
    loop {
        tokio::select! {
            biased;
            _ = closing.as_mut() => break,
            Some(stream) = received.recv() => connections.spawn_received(stream),
        }
    }
    connections.finish(&mut received).await;
}

/// The sources of a listener's connections.
struct IncomingConnections<'a> {
    listener: &'a TcpListener,
    received: &'a mut mpsc::Receiver<ReceivedStream>,
    accepts: &'a mut watch::Receiver<bool>,
    log: &'a Logger,
}

impl IncomingConnections<'_> {
    /// Serves accepted connections and received streams until [`ShutdownPhase::Draining`] or a later phase.
    async fn serve_until_draining(
        &mut self,
        connections: &mut ConnectionTasks,
        mut shutdown: watch::Receiver<ShutdownPhase>,
    ) {
        let mut backoff = AcceptBackoff::default();
        loop {
            connections.remove_finished();
            let incoming = tokio::select! {
                biased;
                _ = shutdown.wait_for(|phase| *phase > ShutdownPhase::Serving) => return,
                incoming = self.next(connections) => incoming,
            };
            let (permit, accepted) = match incoming {
                Incoming::Accepted(permit, accepted) => (permit, accepted),
                Incoming::Received(stream) => {
                    connections.spawn_received(stream);
                    continue;
                }
            };
            let stream = match accepted {
                Ok(stream) => stream,
                Err(error) => {
                    let delay = backoff.delay_after(&error);
                    warn!(self.log, "accept failed"; "error" => %error, "pause_ms" => delay.as_millis() as u64);
                    sleep(delay).await;
                    continue;
                }
            };
            let Some(permit) = permit else {
                return;
            };
            backoff.reset();
            connections.spawn(stream, permit);
        }
    }

    /// Waits for the next connection or stream. The permit is acquired before the connection is accepted.
    async fn next(&mut self, connections: &ConnectionTasks) -> Incoming {
        let accept = async {
            // If the sender was dropped, the value can't change any more.
            if self.accepts.wait_for(|accepts| *accepts).await.is_err() {
                std::future::pending::<()>().await;
            }
            let permit = connections.admission.acquire_permit().await;
            let accepted = self.listener.accept().await;
            Incoming::Accepted(permit, accepted.map(|(stream, _)| stream))
        };
        tokio::select! {
            biased;
            Some(stream) = self.received.recv() => Incoming::Received(stream),
            incoming = accept => incoming,
        }
    }
}
