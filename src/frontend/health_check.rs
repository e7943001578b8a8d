//! Health checks for load balancers, over HTTP and as HAProxy agent checks.
//!
//! They report the dispatcher's readiness and make no decisions.

use super::ShutdownPhase;
use crate::dispatcher::{DispatcherHandle, Readiness};
use crate::net::system_errors::AcceptBackoff;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use axum::Router;
use slog::{warn, Logger};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Time for a load balancer to read the response to its agent check.
const AGENT_WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Handles `GET /ready`: responds with 200 only while the process accepts clients. Otherwise responds with 503, and
/// with the word `starting` also for [`Readiness::Standby`].
pub async fn ready(State(dispatcher): State<DispatcherHandle>) -> (StatusCode, &'static str) {
    match dispatcher.readiness() {
        Readiness::Ready => (StatusCode::OK, "ready\n"),
        Readiness::Starting | Readiness::Standby => (StatusCode::SERVICE_UNAVAILABLE, "starting\n"),
        Readiness::Draining => (StatusCode::SERVICE_UNAVAILABLE, "draining\n"),
    }
}

/// Handles `GET /health`: responds with 200 while the process serves requests, also while it drains.
async fn health(State(dispatcher): State<DispatcherHandle>) -> (StatusCode, &'static str) {
    match dispatcher.readiness() {
        Readiness::Starting | Readiness::Standby => (StatusCode::SERVICE_UNAVAILABLE, "starting\n"),
        Readiness::Ready | Readiness::Draining => (StatusCode::OK, "alive\n"),
    }
}

/// Returns the routes for load balancers that check over HTTP.
pub fn routes(dispatcher: DispatcherHandle) -> Router {
    Router::new()
        .route("/ready", get(ready))
        .route("/health", get(health))
        .with_state(dispatcher)
}

/// Returns the response to an agent check, in the format of HAProxy's `agent-check`.
pub fn agent_line(readiness: Readiness) -> &'static str {
    match readiness {
        Readiness::Starting | Readiness::Standby => "down\n",
        Readiness::Ready => "up ready\n",
        Readiness::Draining => "up drain\n",
    }
}

/// Answers agent checks, one line per connection, until [`ShutdownPhase::Closing`].
pub async fn serve_agent_checks(
    listener: TcpListener,
    dispatcher: DispatcherHandle,
    mut shutdown: watch::Receiver<ShutdownPhase>,
    log: Logger,
) {
    let mut backoff = AcceptBackoff::default();
    loop {
        let accepted = tokio::select! {
            _ = shutdown.wait_for(|phase| *phase >= ShutdownPhase::Closing) => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            // Served one at a time: the response is one short line, and a load balancer repeats its checks.
            Ok((stream, _)) => {
                backoff.reset();
                send_agent_line(stream, agent_line(dispatcher.readiness())).await;
            }
            Err(error) => {
                warn!(log, "accept failed"; "error" => %error);
                sleep(backoff.delay_after(&error)).await;
            }
        }
    }
}

async fn send_agent_line(mut stream: TcpStream, line: &str) {
    let _ = timeout(AGENT_WRITE_TIMEOUT, async {
        stream.write_all(line.as_bytes()).await?;
        stream.shutdown().await
    })
    .await;
}
