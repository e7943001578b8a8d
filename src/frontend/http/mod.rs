//! The HTTP/1.1 frontend: parses requests, submits them to the dispatcher, and streams the responses.
//!
//! It owns no state beyond the request that it serves. The platform's clients define the header names and rely on the
//! response texts.

mod request_head;
mod response_stream;

pub use request_head::{parse_head, parse_props, InvalidRequest};
pub use response_stream::StreamResumer;

use crate::config::Deployment;
use crate::dispatcher::{DispatcherHandle, Outcome, UpstreamRequest};
use crate::frontend::health_check::ready;
use crate::frontend::memory_budget::ClientMemoryBudget;
use crate::frontend::request_body::{read_body, ArrivalsEnd, BodyError};
use crate::upgrade::request_claims::{
    ClaimResult, Repeatability, RequestClaim, RequestClaims, RequestKey,
};
use crate::upgrade::stream_migration::SharedMigrationSlot;
use axum::extract::{Request, State};
use axum::http::{header, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::Router;
use response_stream::{stream_response, ResponseStream};
use slog::{debug, Logger};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The state that the handlers share.
#[derive(Clone)]
struct HttpFrontend {
    dispatcher: DispatcherHandle,
    client_memory: ClientMemoryBudget,
    claims: RequestClaims,
    log: Logger,
}

/// Returns the routes for client requests and the readiness check. `client_memory` limits the memory for request bodies;
/// `claims` tells which requests other processes of this dispatcher have.
pub fn routes(
    dispatcher: DispatcherHandle,
    client_memory: ClientMemoryBudget,
    claims: RequestClaims,
    log: Logger,
) -> Router {
    let ready = Router::new()
        .route("/ready", get(ready))
        .with_state(dispatcher.clone());
    let frontend = HttpFrontend {
        dispatcher,
        client_memory,
        claims,
        log,
    };
    Router::new()
        .route("/v1/chat/completions", post(complete))
        .with_state(frontend)
        .merge(ready)
}

fn text_response(status: StatusCode, text: &str) -> Response {
    (status, format!("{text}\n")).into_response()
}

fn shed_response(retry_after: Duration) -> Response {
    let retry_after_s = format!("{:.3}", retry_after.as_secs_f64());
    (
        StatusCode::SERVICE_UNAVAILABLE,
        [(header::RETRY_AFTER, retry_after_s)],
        "refused\n",
    )
        .into_response()
}

fn body_error_response(error: &BodyError, max_retry_after: Duration) -> Response {
    let status = match error {
        BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::Incomplete => StatusCode::BAD_REQUEST,
        BodyError::TimedOut => StatusCode::REQUEST_TIMEOUT,
        BodyError::NoMemory => return shed_response(max_retry_after),
        // Another dispatcher can serve the request at once.
        BodyError::ShuttingDown => return shed_response(Duration::ZERO),
    };
    text_response(status, &error.to_string())
}

fn duplicate_id_response() -> Response {
    text_response(StatusCode::CONFLICT, "a request of this id is in flight")
}

/// Why a request may not be begun by this process.
enum NotClaimed {
    /// Its id is in use, or was.
    DuplicateId,
    /// It is not known whether another process has it. Nothing was done, so the client may retry it.
    Unknown,
}

impl NotClaimed {
    fn response(&self, deployment: &Deployment) -> Response {
        match self {
            NotClaimed::DuplicateId => duplicate_id_response(),
            NotClaimed::Unknown => shed_response(max_retry_after(deployment)),
        }
    }
}

fn max_retry_after(deployment: &Deployment) -> Duration {
    Duration::from_micros(deployment.settings.max_retry_after)
}

impl HttpFrontend {
    /// Claims a request for this process, before it is begun.
    fn claim(
        &self,
        client_request_id: &str,
        class: usize,
        deployment: &Deployment,
    ) -> Result<RequestClaim, NotClaimed> {
        let key = RequestKey::of_http_request(client_request_id);
        let repeatability = Repeatability::of(deployment.settings.classes[class].idempotency);
        match self.claims.claim(key, repeatability) {
            ClaimResult::Owned(claim) => Ok(claim),
            ClaimResult::Held(held) => {
                debug!(self.log, "request id is held"; "client_request_id" => client_request_id, "state" => ?held);
                Err(NotClaimed::DuplicateId)
            }
            ClaimResult::Unknown => {
                debug!(self.log, "owner of request id unknown"; "client_request_id" => client_request_id);
                Err(NotClaimed::Unknown)
            }
        }
    }
}

/// Handles `POST /v1/chat/completions`.
async fn complete(State(frontend): State<HttpFrontend>, request: Request) -> Response {
    let received_at = Instant::now();
    let (head, body) = request.into_parts();
    let deployment = frontend.dispatcher.deployment();
    let (client_request_id, mut metadata) = match parse_head(&head.headers, &deployment) {
        Ok(parsed) => parsed,
        Err(error) => {
            debug!(frontend.log, "invalid request"; "error" => %error);
            return text_response(StatusCode::BAD_REQUEST, &error.to_string());
        }
    };
    let arrivals_end = head.extensions.get::<ArrivalsEnd>().cloned();
    let arrivals_end = arrivals_end.unwrap_or_default();
    let body = match read_body(body, &frontend.client_memory, received_at, arrivals_end).await {
        Ok(body) => body,
        Err(error) => return body_error_response(&error, max_retry_after(&deployment)),
    };
    let (end_report, end) = oneshot::channel();
    match frontend.claim(&client_request_id, metadata.class, &deployment) {
        Ok(claim) => claim.end_when_reported(end),
        Err(not_claimed) => return not_claimed.response(&deployment),
    }
    let migration_slot = head.extensions.get::<SharedMigrationSlot>().cloned();
    let stream_request_id = client_request_id.clone();
    let target = match head.uri.path_and_query() {
        Some(target) => target.as_str(),
        None => "/",
    };
    let upstream_request = UpstreamRequest {
        client_request_id,
        target: target.into(),
        body,
        stream_can_migrate: migration_slot.is_some(),
    };
    let elapsed_us = received_at.elapsed().as_micros() as u64;
    metadata.time_left = metadata.time_left.saturating_sub(elapsed_us);
    let (pending_request, outcome) = frontend
        .dispatcher
        .submit_with_report(metadata, upstream_request, Some(end_report))
        .await;
    match outcome.await {
        Ok(Outcome::Stream(chunks)) => stream_response(ResponseStream::new(
            chunks,
            migration_slot,
            stream_request_id,
            pending_request,
        )),
        Ok(Outcome::Shed { retry_after }) => shed_response(retry_after),
        Ok(Outcome::Failed) => text_response(StatusCode::BAD_GATEWAY, "failed"),
        Ok(Outcome::InvalidRequest) => {
            text_response(StatusCode::BAD_REQUEST, "a node found the request bad")
        }
        Ok(Outcome::DuplicateId) => duplicate_id_response(),
        Err(_) => text_response(StatusCode::INTERNAL_SERVER_ERROR, "no answer"),
    }
}
