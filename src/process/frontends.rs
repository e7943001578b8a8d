//! The tasks that serve clients and load balancers, each on a listener of its own.

use super::limits::SharedLimits;
use super::listeners::DeferredListener;
use crate::config::SessionBudget;
use crate::dispatcher::DispatcherHandle;
use crate::frontend::{health_check, http, listener, websocket, ShutdownPhase};
use crate::net::connection_limit::ConnectionLimit;
use crate::upgrade::stream_migration::MigrationSender;
use axum::Router;
use slog::Logger;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// What the frontends share.
pub(super) struct FrontendInputs {
    pub dispatcher: DispatcherHandle,
    pub limits: SharedLimits,
    pub sessions: SessionBudget,
    pub seed: u64,
    pub migrating_streams: MigrationSender,
    pub log: Logger,
}

/// The frontends: sessions and agent checks from the start, the clients' one once the process accepts clients.
pub(super) struct Frontends {
    tasks: JoinSet<()>,
    /// The clients' frontend until it is opened. Its listener stays open while it waits, also in a process that shuts down
    /// before: clients' connections then wait for the successor rather than being refused.
    clients: Option<ClientFrontend>,
    sessions: websocket::SessionFrontend,
    shutdown_phase: watch::Sender<ShutdownPhase>,
}

struct ClientFrontend {
    listener: TcpListener,
    routes: Router,
    connections: ConnectionLimit,
    migrating_streams: MigrationSender,
    log: Logger,
}

impl Frontends {
    /// Prepares the clients' frontend, and starts those for sessions and agent checks where they are on.
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
            seed,
            migrating_streams,
            log,
        } = inputs;
        let (shutdown_phase, phase) = watch::channel(ShutdownPhase::Serving);
        let clients = ClientFrontend {
            listener: client_listener,
            routes: http::routes(dispatcher.clone(), limits.body_memory.clone(), log.clone()),
            connections: limits.clients,
            migrating_streams,
            log: log.clone(),
        };
        let sessions = websocket::SessionFrontend::new(
            dispatcher.clone(),
            Arc::new(session_budget.config),
            limits.body_memory,
            seed,
            phase.clone(),
            log.clone(),
        );
        let mut tasks = JoinSet::new();
        if let Some(listener) = session_listener {
            let health_checks = health_check::routes(dispatcher.clone());
            let routes = websocket::routes(sessions.clone()).merge(health_checks);
            let connections = ConnectionLimit::new(session_budget.handshake_sockets);
            let (phase, log) = (phase.clone(), log.clone());
            tasks.spawn(async move {
                if let Some(listener) = listener.listener(phase.clone()).await {
                    listener::serve(listener, routes, connections, phase, None, log).await;
                }
            });
        }
        if let Some(listener) = agent_listener {
            tasks.spawn(async move {
                if let Some(listener) = listener.listener(phase.clone()).await {
                    health_check::serve_agent(listener, dispatcher, phase, log).await;
                }
            });
        }
        Frontends {
            tasks,
            clients: Some(clients),
            sessions,
            shutdown_phase,
        }
    }

    /// Starts to accept clients.
    pub(super) fn accept_clients(&mut self) {
        if let Some(clients) = self.clients.take() {
            self.tasks.spawn(listener::serve(
                clients.listener,
                clients.routes,
                clients.connections,
                self.shutdown_phase.subscribe(),
                clients.migrating_streams,
                clients.log,
            ));
        }
    }

    pub(super) fn set_shutdown_phase(&self, phase: ShutdownPhase) {
        // Without any frontend running nobody needs to know.
        let _ = self.shutdown_phase.send(phase);
    }

    /// Waits until all connections and sessions are closed.
    pub(super) async fn wait_until_closed(&mut self) {
        while self.tasks.join_next().await.is_some() {}
        self.sessions.wait_until_closed().await;
    }
}
