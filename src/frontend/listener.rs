//! Accepts connections from clients, up to a limit, and ends them in order at the shutdown.
//!
//! Silent and slow clients lose their connection in time, and at the limit an idle one is closed for a new one, so that
//! nobody can lock the others out.

use super::admission::{Admission, ListenerState};
use super::connection::ClientConnection;
use super::request_service::serve_connection;
use super::ShutdownPhase;
use crate::net::connection_limit::{ConnectionLimit, ConnectionPermit};
use crate::net::system_errors::AcceptPauses;
use crate::upgrade::stream_migration::MigrationSender;
use axum::Router;
use futures_util::FutureExt;
use slog::{info, warn, Logger};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// The connections of a listener and their tasks.
struct ConnectionTasks {
    admission: Admission,
    tasks: JoinSet<()>,
    routes: Router,
}

impl ConnectionTasks {
    /// Serves a connection in a task of its own, which holds the permit.
    fn spawn(&mut self, stream: TcpStream, permit: ConnectionPermit) {
        let client = ClientConnection::new();
        let serving = serve_connection(
            stream,
            client.clone(),
            self.routes.clone(),
            self.admission.listener_state().clone(),
        );
        let task = self.tasks.spawn(async move {
            serving.await;
            drop(permit);
        });
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
}

/// Serves clients, up to `connection_limit` connections at once. While the dispatcher drains, no new ones are accepted;
/// when it closes, idle ones are closed, and this returns when all have ended. Streams to be migrated go to
/// `migration_sender`.
pub async fn serve(
    listener: TcpListener,
    routes: Router,
    connection_limit: ConnectionLimit,
    mut shutdown: watch::Receiver<ShutdownPhase>,
    migration_sender: MigrationSender,
    log: Logger,
) {
    let listener_state = ListenerState::new(connection_limit, shutdown.clone(), migration_sender);
    let mut connections = ConnectionTasks {
        admission: Admission::new(listener_state),
        tasks: JoinSet::new(),
        routes,
    };
    accept_until_draining(&listener, &mut connections, shutdown.clone(), &log).await;
    if *shutdown.borrow() == ShutdownPhase::Closing {
        // No successor accepts the connections that are in the queue already.
        while let Some(permit) = connections.admission.try_acquire_permit() {
            let Some(Ok((stream, _))) = listener.accept().now_or_never() else {
                break;
            };
            connections.spawn(stream, permit);
        }
    }
    drop(listener);
    info!(log, "listener closed"; "open_connections" => connections.tasks.len());
    let _ = shutdown
        .wait_for(|phase| *phase == ShutdownPhase::Closing)
        .await;
    while connections.tasks.join_next().await.is_some() {}
}

async fn accept_until_draining(
    listener: &TcpListener,
    connections: &mut ConnectionTasks,
    mut shutdown: watch::Receiver<ShutdownPhase>,
    log: &Logger,
) {
    let mut pauses = AcceptPauses::default();
    loop {
        connections.remove_finished();
        let (permit, accepted) = tokio::select! {
            biased;
            _ = shutdown.wait_for(|phase| *phase > ShutdownPhase::Serving) => return,
            accepted = async {
                let permit = connections.admission.acquire_permit().await;
                (permit, listener.accept().await)
            } => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                let pause = pauses.delay_after(&error);
                warn!(log, "accept failed"; "error" => %error, "pause_ms" => pause.as_millis() as u64);
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
