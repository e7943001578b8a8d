//! The platform's HTTP/1.1: a thin front on axum.

use crate::config::{micros, Deployment};
use crate::dispatcher::{DispatcherHandle, Outcome, PendingRequest, StreamChunk, UpstreamRequest};
use crate::frontend::health_check::ready;
use crate::frontend::identifiers::{is_name, key};
use crate::frontend::memory_budget::{BodyMemoryBudget, MAX_BODY_BYTES};
use crate::routing::api::RequestMetadata;
use crate::upgrade::stream_migration::SharedMigrationSlot;
use crate::variants::{breaks, Variant};
use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::{header, HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::Router;
use bytes::Bytes;
use http_body::Frame;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use slog::{debug, Logger};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{timeout_at, Instant};

/// A whole body, and room for it, are waited for so long after the head, however long the client would wait for
/// its answer: that is the client's own word.
const BODY_TIME: Duration = Duration::from_millis(2200);

/// What the handlers share.
#[derive(Clone)]
pub struct Shared {
    door: DispatcherHandle,
    rooms: BodyMemoryBudget,
    log: Logger,
}

/// The front's routes. `rooms` bounds the bodies that are held at once.
pub fn routes(door: DispatcherHandle, rooms: BodyMemoryBudget, log: Logger) -> Router {
    let door_of_ready = door.clone();
    let shared = Shared { door, rooms, log };
    let ready = Router::new()
        .route("/ready", get(ready))
        .with_state(door_of_ready);
    Router::new()
        .route("/v1/chat/completions", post(complete))
        .with_state(shared)
        .merge(ready)
}

/// Reads `X-Props`: lengths in tokens, and the shared text where there is one.
pub fn parse_props(text: &str, ask: &mut RequestMetadata) -> Result<(), String> {
    let (mut prompt, mut most) = (None, None);
    for pair in text.split(',') {
        let (name, value) = pair
            .split_once('=')
            .ok_or("X-Props is not a list of pairs")?;
        let (name, value) = (name.trim(), value.trim());
        let tokens = || {
            let tokens = value
                .parse::<u32>()
                .map_err(|_| format!("{name} is not a number of tokens"));
            tokens.map(f64::from)
        };
        match name {
            "prefix" => ask.prefix = Some(key(value)),
            "prompt_len" => prompt = Some(tokens()?),
            "prefix_len" => ask.prefix_tokens = tokens()?,
            "max_out" => most = Some(tokens()?),
            _ => {}
        }
    }
    ask.prompt_tokens = prompt.ok_or("X-Props lacks prompt_len")?;
    ask.max_output_tokens = most.ok_or("X-Props lacks max_out")?;
    Ok(())
}

/// Reads a request's head: its name and what the module is told.
pub fn parse_head(
    headers: &HeaderMap,
    site: &Deployment,
) -> Result<(Arc<str>, RequestMetadata), String> {
    let text = |name: &str| {
        let value = headers
            .get(name)
            .ok_or_else(|| format!("{name} is missing"))?;
        value
            .to_str()
            .map_err(|_| format!("{name} is not plain text"))
    };
    let name = text("x-trace-id")?;
    if !is_name(name) {
        return Err("X-Trace-Id is not a plain name".into());
    }
    let mut ask = RequestMetadata {
        session: Some(key(text("x-object")?)),
        ..RequestMetadata::default()
    };
    let class = text("x-qos")?;
    ask.class = site
        .classes
        .known(class)
        .ok_or_else(|| format!("unknown class {class:?}"))? as usize;
    if !site.settings.tenants.is_empty() {
        let tenant = text("x-customer")?;
        let number = site
            .tenants
            .known(tenant)
            .ok_or_else(|| format!("unknown tenant {tenant:?}"))?;
        ask.tenant = Some(number as usize);
    }
    let expires: u32 = text("x-expires-in-ms")?
        .parse()
        .map_err(|_| "X-Expires-In-Ms is not a number")?;
    ask.time_left = micros(f64::from(expires));
    parse_props(text("x-props")?, &mut ask)?;
    Ok((name.into(), ask))
}

fn says(status: StatusCode, text: impl Into<String>) -> Response {
    (status, text.into() + "\n").into_response()
}

fn refused(after: Duration) -> Response {
    let after = format!("{:.3}", after.as_secs_f64());
    (
        StatusCode::SERVICE_UNAVAILABLE,
        [(header::RETRY_AFTER, after)],
        "refused\n",
    )
        .into_response()
}

async fn complete(State(shared): State<Shared>, request: Request) -> Response {
    let came = Instant::now();
    let (head, body) = request.into_parts();
    let site = shared.door.deployment();
    let (name, mut ask) = match parse_head(&head.headers, &site) {
        Ok(parsed) => parsed,
        Err(error) => {
            debug!(shared.log, "a bad request"; "error" => &error);
            return says(StatusCode::BAD_REQUEST, error);
        }
    };
    let length = http_body::Body::size_hint(&body)
        .exact()
        .unwrap_or(MAX_BODY_BYTES as u64);
    if length > MAX_BODY_BYTES as u64 {
        return says(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 256 KiB");
    }
    let until = came + BODY_TIME;
    // Nothing was done for a request that finds no room: it may come again.
    let Ok(Some(room)) = timeout_at(until, shared.rooms.reserve(length as usize)).await else {
        return refused(Duration::from_micros(site.settings.max_retry_after));
    };
    let body = match timeout_at(until, Limited::new(body, MAX_BODY_BYTES).collect()).await {
        Ok(Ok(body)) => room.attach(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            return says(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 256 KiB");
        }
        Ok(Err(_)) => return says(StatusCode::BAD_REQUEST, "the body is not whole"),
        Err(_) => return says(StatusCode::REQUEST_TIMEOUT, "the body took too long"),
    };
    let exit = head.extensions.get::<SharedMigrationSlot>().cloned();
    let target = head
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let work = UpstreamRequest {
        client_request_id: name,
        target: target.into(),
        body,
    };
    ask.time_left = ask
        .time_left
        .saturating_sub(came.elapsed().as_micros() as u64);
    let (ticket, answered) = shared.door.submit(ask, work).await;
    match answered.await {
        Ok(Outcome::Stream(pieces)) => {
            let body = Body::new(Pieces {
                pieces,
                ended: false,
                broken: false,
                exit,
                _ticket: ticket,
            });
            (
                [
                    (header::CONTENT_TYPE, "text/event-stream"),
                    (header::CACHE_CONTROL, "no-cache"),
                ],
                body,
            )
                .into_response()
        }
        Ok(Outcome::Shed { retry_after }) => refused(retry_after),
        Ok(Outcome::Failed) => says(StatusCode::BAD_GATEWAY, "failed"),
        Ok(Outcome::InvalidRequest) => {
            says(StatusCode::BAD_REQUEST, "a node found the request bad")
        }
        Ok(Outcome::DuplicateId) => says(StatusCode::CONFLICT, "a request of this id is in flight"),
        Err(_) => says(StatusCode::INTERNAL_SERVER_ERROR, "no answer"),
    }
}

/// A stream on its way to the client. Its ticket tells the core when the client has left.
struct Pieces {
    pieces: mpsc::Receiver<StreamChunk>,
    ended: bool,
    broken: bool, // it broke, and what came before has had its turn to be sent
    exit: Option<SharedMigrationSlot>,
    _ticket: PendingRequest,
}

impl http_body::Body for Pieces {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match self.pieces.poll_recv(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(StreamChunk::Data(data))) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Poll::Ready(Some(StreamChunk::Migrate(half))) => {
                // Nothing more comes until it has moved, or goes on here.
                match &self.exit {
                    Some(exit) => exit.offer(half),
                    None => drop(half),
                }
                self.poll_frame(context)
            }
            Poll::Ready(Some(StreamChunk::End)) => {
                self.ended = true;
                Poll::Ready(None)
            }
            // The stream broke. An error makes the server close the connection at once, with what it has not sent yet: where
            // the break comes right behind the first event, the client would get no answer at all.
            Poll::Ready(None) if breaks(Variant::StreamEnd) => Poll::Ready(None),
            Poll::Ready(None) if !self.broken => {
                self.broken = true;
                context.waker().wake_by_ref();
                Poll::Pending
            }
            Poll::Ready(None) => Poll::Ready(Some(Err(io::ErrorKind::ConnectionReset.into()))),
        }
    }
}
