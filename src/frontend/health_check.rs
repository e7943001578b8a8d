//! Answers for balancers in front: they render the core's state and decide nothing.

use super::ShutdownPhase;
use crate::dispatcher::{DispatcherHandle, Readiness};
use crate::net::system_errors::AcceptPauses;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use axum::Router;
use slog::{warn, Logger};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// A balancer that does not take its one line in this time is left.
const PATIENCE: Duration = Duration::from_millis(500);

/// `GET /ready`: 200 only when able to serve.
pub async fn ready(State(door): State<DispatcherHandle>) -> (StatusCode, &'static str) {
    match door.readiness() {
        Readiness::Ready => (StatusCode::OK, "ready\n"),
        Readiness::Starting | Readiness::Standby => (StatusCode::SERVICE_UNAVAILABLE, "starting\n"),
        Readiness::Draining => (StatusCode::SERVICE_UNAVAILABLE, "draining\n"),
    }
}

/// `GET /health`: 200 while the process serves what it has, whether or not it is to get more.
async fn health(State(door): State<DispatcherHandle>) -> (StatusCode, &'static str) {
    match door.readiness() {
        Readiness::Starting | Readiness::Standby => (StatusCode::SERVICE_UNAVAILABLE, "starting\n"),
        Readiness::Ready | Readiness::Draining => (StatusCode::OK, "alive\n"),
    }
}

/// The routes for balancers that ask over HTTP.
pub fn routes(door: DispatcherHandle) -> Router {
    Router::new()
        .route("/ready", get(ready))
        .route("/health", get(health))
        .with_state(door)
}

/// The line of an agent check, as HAProxy's `agent-check` reads it.
pub fn agent_line(readiness: Readiness) -> &'static str {
    match readiness {
        Readiness::Starting | Readiness::Standby => "down\n",
        Readiness::Ready => "up ready\n",
        Readiness::Draining => "up drain\n",
    }
}

/// Answers agent checks, one line a connection, until the dispatcher ends.
pub async fn serve_agent(
    listener: TcpListener,
    door: DispatcherHandle,
    mut stop: watch::Receiver<ShutdownPhase>,
    log: Logger,
) {
    let mut pauses = AcceptPauses::default();
    loop {
        let accepted = tokio::select! {
            _ = stop.wait_for(|course| *course == ShutdownPhase::Closing) => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            // One at a time: a check is one short line, and a balancer comes back.
            Ok((mut stream, _)) => {
                pauses.reset();
                let line = agent_line(door.readiness());
                let _ = timeout(PATIENCE, async {
                    stream.write_all(line.as_bytes()).await?;
                    stream.shutdown().await
                })
                .await;
            }
            Err(error) => {
                warn!(log, "accept failed"; "error" => %error);
                sleep(pauses.delay_after(&error)).await;
            }
        }
    }
}
