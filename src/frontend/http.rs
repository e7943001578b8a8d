//! The HTTP/1.1 frontend: parses requests, submits them to the dispatcher, and streams the responses.
//!
//! It owns no state beyond the request that it serves. The platform's clients define the header names and rely on the
//! response texts.

use crate::config::{millis_to_micros, Deployment};
use crate::dispatcher::{
    DispatcherHandle, Outcome, PendingRequest, ReceivedAttempt, StreamChunk, UpstreamRequest,
    MAX_QUEUED_CHUNKS,
};
use crate::frontend::health_check::ready;
use crate::frontend::identifiers::{is_valid_name, parse_key};
use crate::frontend::memory_budget::BodyMemoryBudget;
use crate::frontend::request_body::{read_body, ArrivalsEnd, BodyError};
use crate::routing::api::RequestMetadata;
use crate::upgrade::stream_migration::{ReceivedUpstream, SharedMigrationSlot};
use crate::variants::{is_enabled, Variant};
use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::{header, HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::Router;
use bytes::Bytes;
use http_body::Frame;
use slog::{debug, Logger};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// The state that the handlers share.
#[derive(Clone)]
struct HttpFrontend {
    dispatcher: DispatcherHandle,
    body_memory: BodyMemoryBudget,
    log: Logger,
}

/// Returns the routes for client requests and the readiness check. `body_memory` limits the memory for request bodies.
pub fn routes(dispatcher: DispatcherHandle, body_memory: BodyMemoryBudget, log: Logger) -> Router {
    let ready = Router::new()
        .route("/ready", get(ready))
        .with_state(dispatcher.clone());
    let frontend = HttpFrontend {
        dispatcher,
        body_memory,
        log,
    };
    Router::new()
        .route("/v1/chat/completions", post(complete))
        .with_state(frontend)
        .merge(ready)
}

/// Why a request's head is invalid. The text is sent to the client.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// A required header is missing.
    #[error("{0} is missing")]
    MissingHeader(&'static str),
    /// A header's value has bytes other than visible ASCII.
    #[error("{0} is not plain text")]
    NotText(&'static str),
    /// The client request id is not a valid name, see [`is_valid_name`].
    #[error("X-Trace-Id is not a plain name")]
    InvalidId,
    /// No request class has this name.
    #[error("unknown class {0:?}")]
    UnknownClass(String),
    /// No tenant has this name.
    #[error("unknown tenant {0:?}")]
    UnknownTenant(String),
    /// The deadline is not a number of milliseconds.
    #[error("X-Expires-In-Ms is not a number")]
    InvalidDeadline,
    /// `X-Props` has an item without a `=`.
    #[error("X-Props is not a list of pairs")]
    MalformedProps,
    /// A length in `X-Props` is not a number of tokens.
    #[error("{0} is not a number of tokens")]
    InvalidTokenCount(&'static str),
    /// A required length is missing in `X-Props`.
    #[error("X-Props lacks {0}")]
    MissingTokenCount(&'static str),
}

fn parse_token_count(name: &'static str, value: &str) -> Result<f64, InvalidRequest> {
    match value.parse::<u32>() {
        Ok(tokens) => Ok(f64::from(tokens)),
        Err(_) => Err(InvalidRequest::InvalidTokenCount(name)),
    }
}

/// Parses `X-Props` into the metadata: lengths in tokens, and the key of the shared prefix if there is one.
///
/// # Errors
///
/// Returns the item that is malformed, or the required one that is missing.
pub fn parse_props(text: &str, metadata: &mut RequestMetadata) -> Result<(), InvalidRequest> {
    let mut prompt_tokens = None;
    let mut max_output_tokens = None;
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=').ok_or(InvalidRequest::MalformedProps)?;
        let value = value.trim();
        match name.trim() {
            "prefix" => metadata.prefix = Some(parse_key(value)),
            "prompt_len" => prompt_tokens = Some(parse_token_count("prompt_len", value)?),
            "prefix_len" => metadata.prefix_tokens = parse_token_count("prefix_len", value)?,
            "max_out" => max_output_tokens = Some(parse_token_count("max_out", value)?),
            _ => {}
        }
    }
    metadata.prompt_tokens =
        prompt_tokens.ok_or(InvalidRequest::MissingTokenCount("prompt_len"))?;
    metadata.max_output_tokens =
        max_output_tokens.ok_or(InvalidRequest::MissingTokenCount("max_out"))?;
    Ok(())
}

fn header_text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, InvalidRequest> {
    let value = headers
        .get(name)
        .ok_or(InvalidRequest::MissingHeader(name))?;
    value.to_str().map_err(|_| InvalidRequest::NotText(name))
}

/// Parses a request's headers into the client request id and the metadata that the dispatcher routes by.
///
/// # Errors
///
/// Returns the first header that is missing or invalid.
pub fn parse_head(
    headers: &HeaderMap,
    deployment: &Deployment,
) -> Result<(Arc<str>, RequestMetadata), InvalidRequest> {
    let id = header_text(headers, "x-trace-id")?;
    if !is_valid_name(id) {
        return Err(InvalidRequest::InvalidId);
    }
    let mut metadata = RequestMetadata {
        session: Some(parse_key(header_text(headers, "x-object")?)),
        ..RequestMetadata::default()
    };
    let class = header_text(headers, "x-qos")?;
    let Some(class_number) = deployment.classes.lookup(class) else {
        return Err(InvalidRequest::UnknownClass(class.to_owned()));
    };
    metadata.class = class_number as usize;
    if !deployment.settings.tenants.is_empty() {
        let tenant = header_text(headers, "x-customer")?;
        let Some(tenant_number) = deployment.tenants.lookup(tenant) else {
            return Err(InvalidRequest::UnknownTenant(tenant.to_owned()));
        };
        metadata.tenant = Some(tenant_number as usize);
    }
    let expires_in_ms: u32 = header_text(headers, "x-expires-in-ms")?
        .parse()
        .map_err(|_| InvalidRequest::InvalidDeadline)?;
    metadata.time_left = millis_to_micros(f64::from(expires_in_ms));
    parse_props(header_text(headers, "x-props")?, &mut metadata)?;
    Ok((id.into(), metadata))
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
    let body = match read_body(body, &frontend.body_memory, received_at, arrivals_end).await {
        Ok(body) => body,
        Err(error) => {
            let max_retry_after = Duration::from_micros(deployment.settings.max_retry_after);
            return body_error_response(&error, max_retry_after);
        }
    };
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
    let (pending_request, outcome) = frontend.dispatcher.submit(metadata, upstream_request).await;
    match outcome.await {
        Ok(Outcome::Stream(chunks)) => stream_response(ResponseStream {
            chunks,
            state: StreamState::Open,
            migration_slot,
            client_request_id: Some(stream_request_id),
            _pending_request: pending_request,
        }),
        Ok(Outcome::Shed { retry_after }) => shed_response(retry_after),
        Ok(Outcome::Failed) => text_response(StatusCode::BAD_GATEWAY, "failed"),
        Ok(Outcome::InvalidRequest) => {
            text_response(StatusCode::BAD_REQUEST, "a node found the request bad")
        }
        Ok(Outcome::DuplicateId) => {
            text_response(StatusCode::CONFLICT, "a request of this id is in flight")
        }
        Err(_) => text_response(StatusCode::INTERNAL_SERVER_ERROR, "no answer"),
    }
}

/// Resumes response streams that another process of this dispatcher has begun.
#[derive(Clone)]
pub struct StreamResumer {
    /// Counts resumed streams among the open requests.
    pub dispatcher: DispatcherHandle,
    /// Passes the upstream side of resumed streams to the backend.
    pub attempts: mpsc::Sender<ReceivedAttempt>,
}

impl StreamResumer {
    /// Returns the response that continues a stream. Its connection writes it like any other response, except for the
    /// head, which the other process has already sent.
    pub(super) async fn resume(
        &self,
        upstream: ReceivedUpstream,
        client_request_id: Option<Arc<str>>,
        migration_slot: SharedMigrationSlot,
    ) -> Response {
        let address = upstream.socket.peer_addr().ok();
        let address = address.map(|address| address.to_string().into());
        let pending_request = self
            .dispatcher
            .receive_stream(client_request_id.clone(), address)
            .await;
        let (chunk_sender, chunks) = mpsc::channel(MAX_QUEUED_CHUNKS);
        let attempt = ReceivedAttempt {
            id: pending_request.id(),
            upstream,
            chunks: chunk_sender,
        };
        // If the backend has stopped, the process is about to exit; the response then ends as a broken stream.
        let _ = self.attempts.send(attempt).await;
        stream_response(ResponseStream {
            chunks,
            state: StreamState::Open,
            migration_slot: Some(migration_slot),
            client_request_id,
            _pending_request: pending_request,
        })
    }
}

fn stream_response(stream: ResponseStream) -> Response {
    (
        [
            (header::CONTENT_TYPE, "text/event-stream"),
            (header::CACHE_CONTROL, "no-cache"),
        ],
        Body::new(stream),
    )
        .into_response()
}

#[derive(PartialEq, Eq)]
enum StreamState {
    Open,
    /// The stream has broken. The error is returned at the next poll, so that hyper can send the earlier chunks first.
    Broken,
    /// The response is complete.
    Ended,
}

/// The body of a streamed response. If the client disconnects, the pending request is dropped with the body, which
/// cancels the request at the dispatcher.
struct ResponseStream {
    chunks: mpsc::Receiver<StreamChunk>,
    state: StreamState,
    /// The slot in which the stream is offered for migration; `None`: the stream stays in this process, because its
    /// client does not use HTTP/1.1.
    migration_slot: Option<SharedMigrationSlot>,
    /// The id that is passed on if the stream migrates; `None`: the process that sent this stream did not pass it on.
    client_request_id: Option<Arc<str>>,
    _pending_request: PendingRequest,
}

impl http_body::Body for ResponseStream {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.state == StreamState::Ended {
            return Poll::Ready(None);
        }
        match self.chunks.poll_recv(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(StreamChunk::Data(data))) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Poll::Ready(Some(StreamChunk::Migrate(half))) => {
                // No chunk follows until the stream has migrated or continues in this process.
                match &self.migration_slot {
                    Some(migration_slot) => {
                        migration_slot.offer(half, self.client_request_id.clone());
                    }
                    None => drop(half),
                }
                self.poll_frame(context)
            }
            Poll::Ready(Some(StreamChunk::End)) => {
                self.state = StreamState::Ended;
                Poll::Ready(None)
            }
            // The stream has broken. An error makes hyper close the connection at once and discard what it has not sent
            // yet. If the stream broke right after its first event, the client would get no response at all. So the
            // error is returned only at the next poll.
            Poll::Ready(None) if is_enabled(Variant::StreamEnd) => Poll::Ready(None),
            Poll::Ready(None) if self.state == StreamState::Open => {
                self.state = StreamState::Broken;
                context.waker().wake_by_ref();
                Poll::Pending
            }
            Poll::Ready(None) => Poll::Ready(Some(Err(io::ErrorKind::ConnectionReset.into()))),
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/frontend/http.rs"]
mod tests;
