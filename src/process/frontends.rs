//! The tasks that serve clients and load balancers, each on a listener of its own.
//!
//! All tasks start with the process; one whose address a predecessor still uses waits for it. HTTP clients are accepted
//! only after [`Frontends::accept_clients`], but migrated streams of other processes are received from the start.

use super::limits::SharedLimits;
use super::listeners::DeferredListener;
use super::tasks::StreamChannels;
use crate::config::SessionBudget;
use crate::dispatcher::DispatcherHandle;
use crate::frontend::listener::MigrationChannels;
use crate::frontend::memory_budget::ClientMemoryBudget;
use crate::frontend::{health_check, http, listener, websocket, ShutdownPhase};
use crate::identity::RequestIdGenerator;
use crate::net::adjustable_semaphore::AdjustableSemaphore;
use crate::upgrade::request_claims::RequestClaims;
use axum::Router;
use slog::Logger;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// What the frontends need from the rest of the process, besides their listeners.
pub(super) struct FrontendInputs {
    pub dispatcher: DispatcherHandle,
    pub limits: SharedLimits,
    pub sessions: SessionBudget,
    pub request_ids: RequestIdGenerator,
    pub streams: StreamChannels,
    /// The requests that each process of this dispatcher has.
    pub request_claims: RequestClaims,
    pub log: Logger,
}

/// The running frontends: HTTP, and sessions and agent checks where they are enabled.
pub(super) struct Frontends {
    tasks: JoinSet<()>,
    accepts_clients: watch::Sender<bool>,
    sessions: websocket::SessionFrontend,
    shutdown_phase: watch::Sender<ShutdownPhase>,
}

impl StreamChannels {
    /// Converts the channels to what the HTTP listener uses; `accepts` tells it when to accept new connections.
    fn into_migration_channels(
        self,
        dispatcher: DispatcherHandle,
        claims: RequestClaims,
        client_memory: ClientMemoryBudget,
        accepts: watch::Receiver<bool>,
    ) -> MigrationChannels {
        let resumer = http::StreamResumer {
            dispatcher,
            attempts: self.received_attempts,
            claims,
        };
        MigrationChannels {
            migration_sender: self.migration,
            received: self.received,
            resumer: Some(resumer),
            accepts,
            client_memory,
        }
    }
}

impl Frontends {
    /// Starts the HTTP frontend, and those for sessions and agent checks where they have a listener.
    pub(super) fn start(
        inputs: FrontendInputs,
        client_listener: TcpListener,
        session_listener: Option<DeferredListener>,
        agent_listener: Option<DeferredListener>,
    ) -> Frontends {
        let FrontendInputs {
            dispatcher,
            limits,
            sessions: session_budget,
            request_ids,
            streams,
            request_claims,
            log,
        } = inputs;
        let (shutdown_phase, phase) = watch::channel(ShutdownPhase::Serving);
        let (accepts_clients, accepts) = watch::channel(false);
        let mut tasks = JoinSet::new();
        let routes = http::routes(
            dispatcher.clone(),
            limits.client_memory.clone(),
            request_claims.clone(),
            log.clone(),
        );
        let streams = streams.into_migration_channels(
            dispatcher.clone(),
            request_claims.clone(),
            limits.client_memory.clone(),
            accepts,
        );
        tasks.spawn(listener::serve_with_migration(
            client_listener,
            routes,
            limits.clients,
            phase.clone(),
            streams,
            log.clone(),
        ));
        let sessions = websocket::SessionFrontend::new(
            dispatcher.clone(),
            Arc::new(session_budget.config),
            limits.client_memory,
            request_ids,
            request_claims,
            phase.clone(),
            log.clone(),
        )
        .with_request_slots(limits.session_requests);
        if let Some(listener) = session_listener {
            let health_checks = health_check::routes(dispatcher.clone());
            let routes = websocket::routes(sessions.clone()).merge(health_checks);
            let connections = AdjustableSemaphore::new(session_budget.handshake_sockets);
            let (phase, log) = (phase.clone(), log.clone());
            tasks.spawn(serve_sessions(listener, routes, connections, phase, log));
        }
        if let Some(listener) = agent_listener {
            tasks.spawn(serve_agent_checks(listener, dispatcher, phase, log));
        }
        Frontends {
            tasks,
            accepts_clients,
            sessions,
            shutdown_phase,
        }
    }

    /// Lets the HTTP frontend accept new connections.
    pub(super) fn accept_clients(&self) {
        self.accepts_clients.send_replace(true);
    }

    /// Tells all frontends the phase of the shutdown.
    pub(super) fn set_shutdown_phase(&self, phase: ShutdownPhase) {
        // Fails only if no frontend is running any more; then none needs the phase.
        let _ = self.shutdown_phase.send(phase);
    }

    /// Returns the sender of the phase, for a task that changes it while the frontends are waited for.
    pub(super) fn shutdown_phase_sender(&self) -> watch::Sender<ShutdownPhase> {
        self.shutdown_phase.clone()
    }

    /// Waits until all connections and sessions are closed.
    pub(super) async fn wait_until_closed(&mut self) {
        while self.tasks.join_next().await.is_some() {}
        self.sessions.wait_until_closed().await;
    }
}

/// Serves sessions as soon as their address can be bound. `connections` limits those whose handshake is not complete.
async fn serve_sessions(
    listener: DeferredListener,
    routes: Router,
    connections: AdjustableSemaphore,
    phase: watch::Receiver<ShutdownPhase>,
    log: Logger,
) {
    if let Some(listener) = listener.wait_until_bound(phase.clone()).await {
        listener::serve(listener, routes, connections, phase, log).await;
    }
}

/// Serves agent checks as soon as their address can be bound.
async fn serve_agent_checks(
    listener: DeferredListener,
    dispatcher: DispatcherHandle,
    phase: watch::Receiver<ShutdownPhase>,
    log: Logger,
) {
    if let Some(listener) = listener.wait_until_bound(phase.clone()).await {
        health_check::serve_agent_checks(listener, dispatcher, phase, log).await;
    }
}
