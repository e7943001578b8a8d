//! Accepts connections from clients, up to a limit, takes those that another process hands over, and ends them in order at
//! the shutdown.
//!
//! Silent and slow clients lose their connection in time, and at the limit an idle one is closed for a new one, so that
//! nobody can lock the others out.

use super::admission::{Admission, ListenerState};
use super::connection::ClientConnection;
use super::http::StreamResumer;
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

/// What a clients' listener has to do with other processes of its dispatcher.
pub struct MigrationChannels {
    /// Where streams are sent that migrate to another process.
    pub migration_sender: MigrationSender,
    /// The streams of other processes. Whoever has a place in this queue when it is closed may still use it.
    pub received: mpsc::Receiver<ReceivedStream>,
    /// Goes on with received streams; `None` where there are none.
    pub resumer: Option<StreamResumer>,
    /// Whether new connections are accepted. Received streams are served before that, too.
    pub accepts: watch::Receiver<bool>,
}

impl MigrationChannels {
    /// For a listener of a process that is alone.
    fn none() -> MigrationChannels {
        MigrationChannels {
            migration_sender: None,
            received: mpsc::channel(1).1,
            resumer: None,
            accepts: watch::channel(true).1,
        }
    }
}

/// The connections of a listener and their tasks.
struct ConnectionTasks {
    admission: Admission,
    tasks: JoinSet<()>,
    routes: Router,
    resumer: Option<StreamResumer>,
}

impl ConnectionTasks {
    /// Serves a connection in a task of its own, which holds the permit.
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

    /// Goes on with a connection that another process has handed over, as with one that was accepted here.
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

    /// Serves received streams until all connections have ended and no stream can come any more. The queue is closed only
    /// while no connection is open, so that this process takes streams for as long as it has others to end.
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

/// What a listener takes next.
enum Incoming {
    Accepted(Option<Permit>, io::Result<TcpStream>),
    Received(ReceivedStream),
}

/// Serves clients, up to `connection_limit` connections at once. While the dispatcher drains, no new ones are accepted;
/// when it closes, idle ones are closed, and this returns when all have ended.
pub async fn serve(
    listener: TcpListener,
    routes: Router,
    connection_limit: AdjustableSemaphore,
    shutdown: watch::Receiver<ShutdownPhase>,
    log: Logger,
) {
    let streams = MigrationChannels::none();
    serve_with_migration(listener, routes, connection_limit, shutdown, streams, log).await;
}

/// The same, for a process that may have others beside it: streams come from there and go there.
pub async fn serve_with_migration(
    listener: TcpListener,
    routes: Router,
    connection_limit: AdjustableSemaphore,
    mut shutdown: watch::Receiver<ShutdownPhase>,
    streams: MigrationChannels,
    log: Logger,
) {
    let MigrationChannels {
        migration_sender,
        mut received,
        resumer,
        mut accepts,
    } = streams;
    let listener_state = ListenerState::new(connection_limit, shutdown.clone(), migration_sender);
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
    if *shutdown.borrow() == ShutdownPhase::Closing && *accepts.borrow() {
        // No other process accepts the connections that are in the queue already.
        while let Some(permit) = connections.admission.try_acquire_permit() {
            let Some(Ok((stream, _))) = listener.accept().now_or_never() else {
                break;
            };
            connections.spawn(stream, permit);
        }
    }
    drop(listener);
    info!(log, "listener closed"; "open_connections" => connections.tasks.len());
    let mut closing = std::pin::pin!(shutdown.wait_for(|phase| *phase == ShutdownPhase::Closing));
    loop {
        tokio::select! {
            biased;
            _ = closing.as_mut() => break,
            Some(stream) = received.recv() => connections.spawn_received(stream),
        }
    }
    connections.finish(&mut received).await;
}

/// Where a listener's connections come from.
struct IncomingConnections<'a> {
    listener: &'a TcpListener,
    received: &'a mut mpsc::Receiver<ReceivedStream>,
    accepts: &'a mut watch::Receiver<bool>,
    log: &'a Logger,
}

impl IncomingConnections<'_> {
    async fn serve_until_draining(
        &mut self,
        connections: &mut ConnectionTasks,
        mut shutdown: watch::Receiver<ShutdownPhase>,
    ) {
        let mut pauses = AcceptBackoff::default();
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
                    let pause = pauses.delay_after(&error);
                    warn!(self.log, "accept failed"; "error" => %error, "pause_ms" => pause.as_millis() as u64);
                    sleep(pause).await;
                    continue;
                }
            };
            let Some(permit) = permit else {
                return;
            };
            pauses.reset();
            connections.spawn(stream, permit);
        }
    }

    async fn next(&mut self, connections: &ConnectionTasks) -> Incoming {
        let accept = async {
            // Where the sender is gone, nothing will change any more.
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
