//! HTTP/1.1 to nodes, on hyper-util's client.
//!
//! "It never ran" is said only where that is certain: the connection never came up, the node said so, or the
//! last byte was never written to a connection.

use super::attempt::{parse_load, AttemptRequest, AttemptResult, StreamForwarder};
use super::connector::{Connector, LateConnect, TrackedConnection, CROWDED};
use crate::dispatcher::EndReason;
use crate::routing::api::LoadReport;
use crate::variants::{breaks, Variant};
use bytes::Bytes;
use http_body::Frame;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::http::Extensions;
use hyper::{header, HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::client::legacy::connect::{capture_connection, CaptureConnection};
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use miniserde::{json, Deserialize};
use slog::{debug, info, Logger};
use std::error::Error;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// A connection's read buffer.
const BUFFER: usize = 32 * 1024;
/// A short answer of a node (a read's result, a load report) is not read beyond this.
const SHORT_ANSWER: usize = 16 * 1024;
/// After a kept connection has broken under a request none is kept for so long ...
const DISTRUST: Duration = Duration::from_secs(5);
/// ... and twice as long each time that it happens soon again, up to this.
const DISTRUST_MOST: Duration = Duration::from_secs(60);
/// What was read from a node comes through the client's library in this time.
const DRAINED: Duration = Duration::from_millis(300);
/// The end of a stream that is kept for the usage and the load report that it carries.
const TAIL: usize = 4096;

/// A body of one piece that notes when a connection took it: until then nothing can have run.
pub struct SingleFrameBody {
    body: Option<Bytes>,
    taken: Arc<AtomicBool>,
}

impl http_body::Body for SingleFrameBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        self.taken.store(true, Ordering::Relaxed);
        Poll::Ready(self.body.take().map(|body| Ok(Frame::data(body))))
    }

    fn is_end_stream(&self) -> bool {
        false
    }

    fn size_hint(&self) -> http_body::SizeHint {
        http_body::SizeHint::with_exact(self.body.as_ref().map_or(0, |body| body.len() as u64))
    }
}

fn load_of(headers: &HeaderMap) -> Option<LoadReport> {
    parse_load(headers.get("endpoint-load-metrics")?.to_str().ok()?)
}

#[derive(Deserialize)]
struct Kept {
    cached_tokens: Option<f64>,
}

#[derive(Deserialize)]
struct Usage {
    completion_tokens: Option<f64>,
    prompt_tokens_details: Option<Kept>,
}

#[derive(Deserialize)]
struct Last {
    usage: Option<Usage>,
}

/// What the last lines of a stream tell: tokens found kept, tokens of the answer, and the node's load.
pub fn parse_tail(tail: &[u8]) -> (f64, f64, Option<LoadReport>) {
    let text = String::from_utf8_lossy(tail);
    let (mut kept, mut written, mut load) = (0.0, 0.0, None);
    for line in text.lines() {
        if let Some(comment) = line.strip_prefix(':') {
            load = parse_load(comment).or(load);
        } else if let Some(data) = line
            .strip_prefix("data:")
            .filter(|data| data.contains("\"usage\""))
        {
            let usage = json::from_str::<Last>(data.trim())
                .ok()
                .and_then(|last| last.usage);
            written = usage
                .as_ref()
                .and_then(|usage| usage.completion_tokens)
                .unwrap_or(written);
            let details = usage.and_then(|usage| usage.prompt_tokens_details);
            kept = details
                .and_then(|details| details.cached_tokens)
                .unwrap_or(kept);
        }
    }
    (kept, written, load)
}

/// Whether this holds for an error or for one that it comes from.
fn any_cause(
    error: &(dyn Error + 'static),
    holds: impl Fn(&(dyn Error + 'static)) -> bool,
) -> bool {
    let mut next = Some(error);
    while let Some(error) = next {
        if holds(error) {
            return true;
        }
        next = error.source();
    }
    false
}

fn kind(error: &(dyn Error + 'static)) -> Option<io::ErrorKind> {
    error.downcast_ref::<io::Error>().map(io::Error::kind)
}

/// What an exchange has come to that may have run: an error where the node's answer can't be read, which tells
/// nothing of the node's health, and a reset where its connection broke.
fn broken(error: &(dyn Error + 'static)) -> EndReason {
    let unreadable = any_cause(error, |error| {
        error
            .downcast_ref::<hyper::Error>()
            .is_some_and(hyper::Error::is_parse)
            || matches!(
                kind(error),
                Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput)
            )
    });
    if unreadable {
        EndReason::UnreadableResponse
    } else {
        EndReason::ConnectionReset
    }
}

/// What an exchange has come to that never ran: the node can't be reached, or it was not even tried, for all places
/// were taken.
fn never_ran(error: &(dyn Error + 'static)) -> EndReason {
    if any_cause(error, |error| kind(error) == Some(CROWDED)) {
        EndReason::NoConnectionPermit
    } else {
        EndReason::ConnectFailed
    }
}

/// Whether the connection came up, but late: nothing was written, and it waits for the request to be made anew.
fn came_late(failure: &Failure) -> bool {
    let is_late = |error: &(dyn Error + 'static)| {
        let inner = error
            .downcast_ref::<io::Error>()
            .and_then(io::Error::get_ref);
        inner.is_some_and(|inner| inner.is::<LateConnect>())
    };
    any_cause(&failure.error, is_late)
}

/// Kept connections, and whether they are to be used at all.
struct Pool {
    client: Client<Connector, SingleFrameBody>,
    distrusted_until: Instant,
    distrust: Duration,
}

/// The clients, with the pool of connections. Cheap to clone.
#[derive(Clone)]
pub struct Http {
    pool: Arc<Mutex<Pool>>,
    single: Client<Connector, SingleFrameBody>,
    dialer: Connector,
    idle_time: Duration,
    most_idle: usize,
    log: Logger,
}

/// The connection of an exchange that has not been answered yet. It is closed when this is let go, at that moment: the
/// client's library closes it some turns later, and what follows from the end of an attempt must not come before that.
#[derive(Default)]
struct OpenExchange {
    taken: Option<CaptureConnection>,
}

impl OpenExchange {
    fn carried(&self) -> Option<Arc<TrackedConnection>> {
        let mut extras = Extensions::new();
        self.taken
            .as_ref()?
            .connection_metadata()
            .as_ref()?
            .get_extras(&mut extras);
        extras.remove::<Arc<TrackedConnection>>()
    }

    /// The exchange has come to its end, and its connection may be used again.
    fn ended(&mut self) {
        self.taken = None;
    }
}

impl Drop for OpenExchange {
    fn drop(&mut self) {
        if let Some(carried) = self.carried() {
            carried.close();
        }
    }
}

/// A stream on its way.
struct Stream {
    body: Incoming,
    passing: StreamForwarder,
    seen: u64, // bytes of its data that have come
    tail: Vec<u8>,
}

/// The head of an answer, and what its connection has carried.
type Exchanged = (Response<Incoming>, Option<Arc<TrackedConnection>>);

/// An exchange that has failed.
struct Failure {
    error: hyper_util::client::legacy::Error,
    /// Its connection had been kept, and nothing came back.
    stale: bool,
    /// Some of the request was not written: no node has its last byte.
    unwritten: bool,
}

fn client(
    dialer: &Connector,
    idle_time: Duration,
    most_idle: usize,
) -> Client<Connector, SingleFrameBody> {
    Client::builder(TokioExecutor::new())
        // A resend is an attempt of its own, which only the core may order.
        .retry_canceled_requests(false)
        .set_host(true)
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(idle_time)
        .pool_max_idle_per_host(most_idle)
        // A node's head must fit; one that does not end is found out the sooner, and costs no more.
        .http1_max_buf_size(BUFFER)
        .build(dialer.clone())
}

impl Http {
    /// A client without connections. One that was idle for `idle_time` is not used again, and no more than
    /// `most_idle` are kept for a node: what some nodes don't need is for the others.
    pub fn new(dialer: Connector, idle_time: Duration, most_idle: usize, log: Logger) -> Self {
        let pool = Pool {
            client: client(&dialer, idle_time, most_idle),
            distrusted_until: Instant::now(),
            distrust: Duration::ZERO,
        };
        let single = client(&dialer, idle_time, 0);
        Http {
            pool: Arc::new(Mutex::new(pool)),
            single,
            dialer,
            idle_time,
            most_idle,
            log,
        }
    }

    fn pool(&self) -> MutexGuard<'_, Pool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A kept connection has broken under a request. Where one does, others will: something on the way, or nodes
    /// themselves, close them early. All are let go, and none is kept for a time, which grows while it goes on.
    fn distrust(&self) {
        let now = Instant::now();
        let mut pool = self.pool();
        if now < pool.distrusted_until {
            return; // it was out when the first one broke
        }
        let again = now < pool.distrusted_until + pool.distrust;
        pool.distrust = if again {
            (pool.distrust * 2).min(DISTRUST_MOST)
        } else {
            DISTRUST
        };
        pool.distrusted_until = now + pool.distrust;
        pool.client = client(&self.dialer, self.idle_time, self.most_idle);
        info!(self.log, "kept connections break"; "none_for_ms" => pool.distrust.as_millis() as u64);
    }

    /// One request and the head of its answer; `alone`: on a connection of its own.
    async fn exchange(
        &self,
        mut request: Request<SingleFrameBody>,
        alone: bool,
        open: &mut OpenExchange,
    ) -> Result<Exchanged, Failure> {
        let client = {
            let pool = self.pool();
            let single = alone || Instant::now() < pool.distrusted_until;
            if single { &self.single } else { &pool.client }.clone()
        };
        open.taken = Some(capture_connection(&mut request));
        let answer = client.request(request).await;
        let carried = open.carried();
        let of = carried.clone();
        answer.map(|answer| (answer, of)).map_err(|error| {
            let carried = carried.as_ref();
            let stale = carried.is_some_and(|it| it.was_kept());
            if stale {
                self.distrust();
            }
            Failure {
                error,
                stale,
                unwritten: carried.is_some_and(|it| it.is_unwritten()),
            }
        })
    }

    /// The same with a request that is made when its connection is up: made anew where that came up late, for nothing was
    /// written then. `None`: no request can be made.
    async fn exchange_when_up(
        &self,
        request: impl Fn() -> Option<Request<SingleFrameBody>>,
        alone: bool,
        open: &mut OpenExchange,
    ) -> Option<Result<Exchanged, Failure>> {
        match self.exchange(request()?, alone, open).await {
            Err(failure) if came_late(&failure) => {
                Some(self.exchange(request()?, alone, open).await)
            }
            exchanged => Some(exchanged),
        }
    }

    async fn call(
        &self,
        method: Method,
        address: &str,
        target: &str,
        alone: bool,
    ) -> Option<Response<Incoming>> {
        let request = || {
            let body = SingleFrameBody {
                body: None,
                taken: Arc::default(),
            };
            let uri = format!("http://{address}{target}");
            Request::builder()
                .method(method.clone())
                .uri(uri)
                .body(body)
                .ok()
        };
        let mut open = OpenExchange::default();
        let answer = self.exchange_when_up(request, alone, &mut open).await?;
        open.ended();
        answer
            .map_err(
                |it| debug!(self.log, "a call failed"; "address" => address, "error" => ?it.error),
            )
            .ok()
            .map(|(response, _)| response)
    }

    /// The request of an attempt, which tells the server the time that is left now.
    fn request(
        trial: &AttemptRequest,
        until: Instant,
        taken: &Arc<AtomicBool>,
    ) -> Option<Request<SingleFrameBody>> {
        let body = SingleFrameBody {
            body: Some(trial.work.body.clone()),
            taken: taken.clone(),
        };
        let surplus = if breaks(Variant::ToldTime) {
            Duration::from_secs(1)
        } else {
            Duration::ZERO
        };
        let left = until.saturating_duration_since(Instant::now()) + surplus;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{}", trial.address, trial.work.target))
            .header("x-trace-id", &*trial.work.client_request_id)
            .header("x-expires-in-ms", left.as_millis().to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(body);
        request.ok()
    }

    /// Runs an attempt to its end.
    pub async fn attempt(
        &self,
        mut trial: AttemptRequest,
        passing: StreamForwarder,
    ) -> AttemptResult {
        let until = Instant::now() + trial.timeout;
        let taken = Arc::new(AtomicBool::new(false));
        let mut open = OpenExchange::default();
        let request = || Self::request(&trial, until, &taken);
        let exchange = tokio::select! {
            biased;
            // The drain rule counts from a send's first byte: one that still waits for a connection when its
            // node is barred is not sent. What has gone out is left alone.
            () = self.dialer.barred_while(&trial.address, || !taken.load(Ordering::Relaxed)) => {
                return EndReason::EndpointBlocked.into();
            }
            exchange = timeout_at(until, self.exchange_when_up(request, trial.alone, &mut open)) => exchange,
        };
        trial.work.body = Bytes::new(); // a long stream keeps none of it
        let exchange = match exchange {
            Ok(Some(exchange)) => Ok(exchange),
            Ok(None) => return EndReason::NotSent.into(),
            Err(elapsed) => Err(elapsed),
        };
        let (response, carried) = match exchange {
            Ok(Ok(exchanged)) => exchanged,
            Ok(Err(Failure {
                error,
                stale,
                unwritten,
            })) => {
                debug!(self.log, "attempt failed"; "id" => trial.id, "attempt" => trial.attempt,
                    "address" => %trial.address, "error" => ?error, "stale" => stale, "unwritten" => unwritten);
                return if error.is_connect() || !taken.load(Ordering::Relaxed) {
                    never_ran(&error)
                } else if unwritten {
                    EndReason::RequestNotWritten // the node is there, for it took the connection
                } else {
                    match broken(&error) {
                        EndReason::ConnectionReset if stale => EndReason::StaleConnection,
                        reason => reason,
                    }
                }
                .into();
            }
            Err(_) => return EndReason::Timeout.into(),
        };
        // Whatever else the answer says, it has come.
        if !matches!(response.status(), StatusCode::OK | StatusCode::ACCEPTED) {
            open.ended();
        }
        let load = load_of(response.headers());
        let never_ran = response
            .headers()
            .get("x-never-ran")
            .is_some_and(|value| value == "1");
        match response.status() {
            StatusCode::OK => self.stream(until, response, carried, passing, open).await,
            StatusCode::ACCEPTED => {
                let body = Limited::new(response.into_body(), SHORT_ANSWER).collect();
                match timeout_at(until, body).await {
                    Ok(Ok(body)) => {
                        let body = body.to_bytes();
                        let kept = std::str::from_utf8(&body)
                            .ok()
                            .and_then(|it| json::from_str(it).ok());
                        let cached_tokens = kept
                            .and_then(|kept: Kept| kept.cached_tokens)
                            .unwrap_or(0.0);
                        open.ended();
                        AttemptResult {
                            reason: EndReason::PrefillDone,
                            cached_tokens,
                            completion_tokens: 0.0,
                            load,
                        }
                    }
                    Ok(Err(_)) => EndReason::ConnectionReset.into(),
                    Err(_) => EndReason::Timeout.into(),
                }
            }
            StatusCode::GONE if never_ran => AttemptResult {
                load,
                ..EndReason::KvStateMissing.into()
            },
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if never_ran => {
                AttemptResult {
                    load,
                    ..EndReason::Overloaded.into()
                }
            }
            StatusCode::BAD_REQUEST | StatusCode::NOT_FOUND | StatusCode::PAYLOAD_TOO_LARGE => {
                debug!(self.log, "a bad request, says a node"; "id" => trial.id, "address" => %trial.address);
                AttemptResult {
                    load,
                    ..EndReason::InvalidRequest.into()
                }
            }
            other => {
                debug!(self.log, "a node's error"; "id" => trial.id, "address" => %trial.address,
                    "code" => other.as_u16());
                AttemptResult {
                    load,
                    ..EndReason::ErrorResponse.into()
                }
            }
        }
    }

    async fn stream(
        &self,
        until: Instant,
        response: Response<Incoming>,
        carried: Option<Arc<TrackedConnection>>,
        passing: StreamForwarder,
        mut open: OpenExchange,
    ) -> AttemptResult {
        let load = load_of(response.headers());
        let kind = response
            .headers()
            .get(header::CONTENT_TYPE)
            .and_then(|kind| kind.to_str().ok());
        if !kind.is_some_and(|kind| kind.starts_with("text/event-stream")) {
            return AttemptResult {
                load,
                ..EndReason::UnreadableResponse.into()
            };
        }
        let mut stream = Stream {
            body: response.into_body(),
            passing,
            seen: 0,
            tail: Vec::new(),
        };
        let mut carried = carried;
        loop {
            let next = tokio::select! {
                biased;
                next = stream.passing.next(until, stream.body.frame()) => Ok(next),
                turn = stream.passing.to_move(), if carried.is_some() => Err(turn),
            };
            match next {
                Ok(next) => match self.take(&mut stream, next).await {
                    Ok(true) if stream.passing.begun() => open.ended(),
                    Ok(true) => {}
                    Ok(false) => break,
                    Err(reason) => return reason.into(),
                },
                // Tried once: what can't move now can't later.
                Err(_turn) => match carried.take() {
                    None => {}
                    Some(carried) => match self.move_on(&mut stream, &carried).await {
                        Ok(true) => return EndReason::Served.into(),
                        Ok(false) => carried.freeze(false),
                        Err(reason) => return reason.into(),
                    },
                },
            }
        }
        open.ended();
        if let Err(reason) = stream.passing.end().await {
            return AttemptResult {
                load,
                ..reason.into()
            };
        }
        let (cached_tokens, completion_tokens, last) = parse_tail(&stream.tail);
        AttemptResult {
            reason: EndReason::Served,
            cached_tokens,
            completion_tokens,
            load: last.or(load),
        }
    }

    /// Takes what came next of a stream; false at its end.
    async fn take(
        &self,
        stream: &mut Stream,
        next: Result<Option<hyper::Result<Frame<Bytes>>>, EndReason>,
    ) -> Result<bool, EndReason> {
        let frame = match next? {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => {
                debug!(self.log, "a stream broke"; "error" => ?error);
                return Err(broken(&error));
            }
            None => return Ok(false),
        };
        if let Ok(data) = frame.into_data() {
            stream.seen += data.len() as u64;
            stream
                .tail
                .extend_from_slice(&data[data.len().saturating_sub(TAIL)..]);
            stream.tail.drain(..stream.tail.len().saturating_sub(TAIL));
            stream.passing.data(&data).await?;
        }
        Ok(true)
    }

    /// Has the stream go on in another process: nothing more is read, and what was read is passed on first. False:
    /// it goes on here.
    async fn move_on(
        &self,
        stream: &mut Stream,
        carried: &TrackedConnection,
    ) -> Result<bool, EndReason> {
        carried.freeze(true);
        let until = Instant::now() + DRAINED;
        loop {
            let Some((chunks, data)) = carried.body().filter(|(chunks, _)| !chunks.ended()) else {
                return Ok(false);
            };
            if data == stream.seen {
                let Some(node) = carried.descriptor() else {
                    return Ok(false);
                };
                return Ok(stream.passing.moves(node, chunks).await);
            }
            // What was read and has not come yet needs no more than the connection's own task.
            let Ok(frame) = timeout_at(until, stream.body.frame()).await else {
                return Ok(false);
            };
            if !self.take(stream, Ok(frame)).await? {
                return Ok(false);
            }
        }
    }

    /// Asks a node to let go of what is held for a request; true when it said that it has.
    pub async fn release(&self, name: &str, address: &str, fresh: bool) -> bool {
        let target = format!("/kv/leases/{name}");
        let Some(answer) = self.call(Method::DELETE, address, &target, fresh).await else {
            return false;
        };
        let done = answer.status().is_success();
        // Read to its end, so that its connection can be used again.
        let _ = Limited::new(answer.into_body(), SHORT_ANSWER)
            .collect()
            .await;
        done
    }

    /// Asks a node for its load: whether it is well, and its report.
    pub async fn probe(&self, address: &str) -> Option<(bool, Option<LoadReport>)> {
        let answer = self
            .call(Method::GET, address, "/status/load", false)
            .await?;
        let ok = answer.status() == StatusCode::OK;
        let load = load_of(answer.headers());
        let body = Limited::new(answer.into_body(), SHORT_ANSWER)
            .collect()
            .await
            .ok()?
            .to_bytes();
        Some((
            ok,
            load.or_else(|| parse_load(std::str::from_utf8(&body).ok()?)),
        ))
    }
}
