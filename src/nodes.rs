//! The side of the model nodes: attempts and their cancels, leases, probes, load reports, connections.
//!
//! It does what the core commands and tells it how each attempt ended. "It never ran" is said only where that
//! is certain: the connection never came up, the node said so, or the body was never handed to a connection.

use crate::api::{Load, RequestId, ServerId, Status};
use crate::dispatch::{Command, Door, Event, Piece, Work};
use crate::settings::Bounds;
use bytes::Bytes;
use http_body::Frame;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{header, HeaderMap, Method, Request, Response, StatusCode, Uri};
use hyper_util::client::legacy::connect::{Connected, Connection};
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use miniserde::{json, Deserialize};
use slog::{debug, error, warn, Logger};
use std::collections::{HashMap, HashSet};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinSet;
use tokio::time::{timeout, timeout_at, Instant};

/// Pieces of a stream that may wait for a slow client before its node is read no further.
const PIECES: usize = 16;
/// A short answer of a node (a read's result, a load report) is not read beyond this.
const SHORT_ANSWER: usize = 16 * 1024;
/// The end of a stream that is kept for the usage and the load report that it carries.
const TAIL: usize = 4096;
/// A stream without an event for so long has broken: its node is silent.
const SILENCE: Duration = Duration::from_secs(30);
/// A lease call is tried so long at one node before the next one ...
const LEASE_CALL: Duration = Duration::from_millis(150);
/// ... and so long in all; nodes free by themselves what is left then.
const LEASE_TRIES: Duration = Duration::from_secs(5);
/// A probe that takes longer has failed.
const PROBE: Duration = Duration::from_secs(1);

/// Addresses that nothing new may go to.
type Barred = Arc<Mutex<HashSet<Arc<str>>>>;

fn is_barred(barred: &Barred, address: &str) -> bool {
    barred.lock().is_ok_and(|barred| barred.contains(address))
}

/// A connection to a node and its place among the descriptors that may be open.
struct Wire {
    io: TokioIo<TcpStream>,
    _place: OwnedSemaphorePermit,
}

impl Connection for Wire {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}

impl hyper::rt::Read for Wire {
    fn poll_read(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, buffer: hyper::rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(context, buffer)
    }
}

impl hyper::rt::Write for Wire {
    fn poll_write(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(context, slices)
    }
}

/// Opens connections, within the dial time and the descriptors allowed.
#[derive(Clone)]
struct Dialer {
    dial: Duration,
    places: Arc<Semaphore>,
    barred: Barred,
}

impl Dialer {
    async fn dial(self, uri: Uri) -> io::Result<Wire> {
        let address = uri.authority().map_or("", |authority| authority.as_str());
        let target: SocketAddr = address.parse().map_err(io::Error::other)?;
        let dialled = timeout(self.dial, async {
            let place = self.places.acquire_owned().await.map_err(io::Error::other)?;
            let stream = TcpStream::connect(target).await?;
            stream.set_nodelay(true)?;
            Ok(Wire { io: TokioIo::new(stream), _place: place })
        });
        dialled.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }
}

impl tower_service::Service<Uri> for Dialer {
    type Response = Wire;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<Wire>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let (dialer, barred) = (self.clone(), self.barred.clone());
        Box::pin(async move {
            let address = uri.authority().map(|it| it.as_str().to_owned()).unwrap_or_default();
            let wire = dialer.dial(uri).await?;
            // The drain rule counts from a send's first byte: one that waited here is checked again.
            if is_barred(&barred, &address) {
                return Err(io::Error::other("the node drains"));
            }
            Ok(wire)
        })
    }
}

/// A body of one piece that notes when a connection took it: until then nothing can have run.
struct Once {
    body: Option<Bytes>,
    taken: Arc<AtomicBool>,
}

impl http_body::Body for Once {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>, _: &mut Context<'_>,
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

/// Reads a load report: `TEXT inflight=7, queue=2`. What is not known is disregarded.
pub fn parse_load(text: &str) -> Option<Load> {
    let text = text.trim();
    let text = text.strip_prefix("Endpoint-Load-Metrics:").unwrap_or(text).trim_start();
    let mut load = Load::default();
    let mut any = false;
    for pair in text.strip_prefix("TEXT")?.split(',') {
        let Some((name, value)) = pair.split_once('=') else { continue };
        let Some(value) = value.trim().parse().ok().filter(|value: &f64| value.is_finite()) else { continue };
        match name.trim() {
            "inflight" => load.in_flight = Some(value),
            "queue" => load.queue = Some(value),
            "x0" => load.memory = Some(value),
            "x1" => load.to_read = Some(value),
            _ => continue,
        }
        any = true;
    }
    any.then_some(load)
}

fn load_of(headers: &HeaderMap) -> Option<Load> {
    parse_load(headers.get("endpoint-load-metrics")?.to_str().ok()?)
}

#[derive(Deserialize)]
struct Kept {
    cached_tokens: Option<f64>,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens_details: Option<Kept>,
}

#[derive(Deserialize)]
struct Last {
    usage: Option<Usage>,
}

/// What the last lines of a stream tell: tokens found kept, and the node's load.
pub fn parse_tail(tail: &[u8]) -> (f64, Option<Load>) {
    let text = String::from_utf8_lossy(tail);
    let (mut kept, mut load) = (0.0, None);
    for line in text.lines() {
        if let Some(comment) = line.strip_prefix(':') {
            load = parse_load(comment).or(load);
        } else if let Some(data) = line.strip_prefix("data:").filter(|data| data.contains("\"usage\"")) {
            let usage = json::from_str::<Last>(data.trim()).ok().and_then(|last| last.usage);
            let details = usage.and_then(|usage| usage.prompt_tokens_details);
            kept = details.and_then(|details| details.cached_tokens).unwrap_or(kept);
        }
    }
    (kept, load)
}

/// How an attempt ended.
struct End {
    status: Status,
    note: f64,
    load: Option<Load>,
}

impl From<Status> for End {
    fn from(status: Status) -> Self {
        End { status, note: 0.0, load: None }
    }
}

/// What tasks of this side share.
#[derive(Clone)]
struct Shared {
    client: Client<Dialer, Once>,
    barred: Barred,
    door: Door,
    log: Logger,
}

/// One attempt, as the core commanded it.
struct Trial {
    id: RequestId,
    attempt: u32,
    address: Arc<str>,
    work: Work,
    timeout: Duration,
}

impl Shared {
    async fn call(
        &self, method: Method, address: &str, target: &str,
    ) -> Result<Response<Incoming>, Option<hyper_util::client::legacy::Error>> {
        let body = Once { body: None, taken: Arc::default() };
        let request = Request::builder().method(method).uri(format!("http://{address}{target}")).body(body);
        self.client.request(request.map_err(|_| None)?).await.map_err(Some)
    }

    /// Runs an attempt to its end.
    async fn attempt(&self, trial: &Trial) -> End {
        let until = Instant::now() + trial.timeout;
        let taken = Arc::new(AtomicBool::new(false));
        let body = Once { body: Some(trial.work.body.clone()), taken: taken.clone() };
        let uri = format!("http://{}{}", trial.address, trial.work.target);
        let request = Request::builder()
            .method(Method::POST)
            .uri(uri)
            .header("x-trace-id", &*trial.work.name)
            .header("x-expires-in-ms", trial.timeout.as_millis().to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(body);
        let Ok(request) = request else { return Status::Moot.into() };
        if is_barred(&self.barred, &trial.address) {
            return Status::Moot.into();
        }
        let response = match timeout_at(until, self.client.request(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => {
                debug!(self.log, "attempt failed"; "id" => trial.id, "attempt" => trial.attempt,
                    "address" => %trial.address, "error" => ?error);
                let never = error.is_connect() || !taken.load(Ordering::Relaxed);
                return if never { Status::ConnectFailed } else { Status::Reset }.into();
            }
            Err(_) => return Status::Timeout.into(),
        };
        let load = load_of(response.headers());
        let never_ran = response.headers().get("x-never-ran").is_some_and(|value| value == "1");
        match response.status() {
            StatusCode::OK => self.stream(trial, until, response).await,
            StatusCode::ACCEPTED => {
                let body = Limited::new(response.into_body(), SHORT_ANSWER).collect();
                match timeout_at(until, body).await {
                    Ok(Ok(body)) => {
                        let body = body.to_bytes();
                        let kept = std::str::from_utf8(&body).ok().and_then(|it| json::from_str(it).ok());
                        let note = kept.and_then(|kept: Kept| kept.cached_tokens).unwrap_or(0.0);
                        End { status: Status::Read, note, load }
                    }
                    Ok(Err(_)) => Status::Reset.into(),
                    Err(_) => Status::Timeout.into(),
                }
            }
            StatusCode::GONE if never_ran => End { status: Status::Full, note: 1.0, load },
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if never_ran => {
                End { status: Status::Full, note: 0.0, load }
            }
            other => {
                debug!(self.log, "a node's error"; "id" => trial.id, "address" => %trial.address,
                    "code" => other.as_u16());
                End { status: Status::Error, note: 0.0, load }
            }
        }
    }

    /// Passes a stream on as it comes. The first event stops the time-out.
    async fn stream(&self, trial: &Trial, until: Instant, response: Response<Incoming>) -> End {
        let load = load_of(response.headers());
        let kind = response.headers().get(header::CONTENT_TYPE).and_then(|kind| kind.to_str().ok());
        if !kind.is_some_and(|kind| kind.starts_with("text/event-stream")) {
            return End { status: Status::Error, note: 0.0, load };
        }
        let mut body = response.into_body();
        let mut pieces: Option<mpsc::Sender<Piece>> = None;
        let mut tail = Vec::new();
        loop {
            let limit = if pieces.is_none() { until } else { Instant::now() + SILENCE };
            let frame = match timeout_at(limit, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return Status::Reset.into(),
                Ok(None) => break,
                Err(_) if pieces.is_none() => return Status::Timeout.into(),
                Err(_) => {
                    warn!(self.log, "a stream fell silent"; "id" => trial.id, "address" => %trial.address);
                    return Status::Reset.into();
                }
            };
            let Ok(data) = frame.into_data() else { continue };
            tail.extend_from_slice(&data[data.len().saturating_sub(TAIL)..]);
            tail.drain(..tail.len().saturating_sub(TAIL));
            if let Some(pieces) = &pieces {
                if pieces.send(Piece::Data(data)).await.is_err() {
                    return Status::Cancelled.into();
                }
            } else if !data.is_empty() {
                let (sender, stream) = mpsc::channel(PIECES);
                let _ = sender.try_send(Piece::Data(data)); // the channel is new and empty
                pieces = Some(sender);
                let (id, attempt) = (trial.id, trial.attempt);
                self.door.tell(Event::First { id, attempt, stream }).await;
            }
        }
        let Some(pieces) = pieces else { return End { status: Status::Error, note: 0.0, load } };
        let _ = pieces.send(Piece::End).await;
        let (note, last) = parse_tail(&tail);
        End { status: Status::Ok, note, load: last.or(load) }
    }

    /// Lets go of what is held for a request: any node passes it on, and one that can't be reached may have
    /// died with the state, so the next one is tried.
    async fn release(&self, name: &str, addresses: &[Arc<str>]) {
        let until = Instant::now() + LEASE_TRIES;
        let target = format!("/kv/leases/{name}");
        while Instant::now() < until && !addresses.is_empty() {
            for address in addresses {
                let call = self.call(Method::DELETE, address, &target);
                match timeout(LEASE_CALL, call).await {
                    Ok(Ok(response)) if response.status().is_success() => {
                        drain(response).await;
                        return;
                    }
                    outcome => debug!(self.log, "a lease call failed"; "address" => %address,
                        "outcome" => ?outcome.map(|it| it.map(|it| it.status()))),
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        warn!(self.log, "a lease could not be let go"; "name" => name);
    }

    async fn probe(&self, server: ServerId, address: &str) {
        let answer = timeout(PROBE, async {
            let response = self.call(Method::GET, address, "/status/load").await.ok()?;
            let ok = response.status() == StatusCode::OK;
            let load = load_of(response.headers());
            let body = Limited::new(response.into_body(), SHORT_ANSWER).collect().await.ok()?.to_bytes();
            Some((ok, load.or_else(|| parse_load(std::str::from_utf8(&body).ok()?))))
        });
        let (ok, load) = answer.await.ok().flatten().unwrap_or((false, None));
        self.door.tell(Event::Probed { server, ok, load }).await;
    }
}

/// Reads a short answer to its end, so that its connection can be used again.
async fn drain(response: Response<Incoming>) {
    let _ = timeout(LEASE_CALL, Limited::new(response.into_body(), SHORT_ANSWER).collect()).await;
}

/// Does what the core commands, until it ends. `sockets` is the most connections to nodes at once.
pub async fn run(
    mut commands: mpsc::Receiver<Command>, door: Door, bounds: Bounds, sockets: usize, log: Logger,
) {
    let barred = Barred::default();
    let places = Arc::new(Semaphore::new(sockets));
    let dialer = Dialer { dial: Duration::from_micros(bounds.dial), places, barred: barred.clone() };
    let client = Client::builder(TokioExecutor::new())
        // A resend is an attempt of its own, which only the core may order.
        .retry_canceled_requests(false)
        .set_host(true)
        .pool_timer(TokioTimer::new())
        // Nodes close what was idle for the settings' time; a request written then would be lost.
        .pool_idle_timeout(Duration::from_micros(bounds.idle * 7 / 10))
        .pool_max_idle_per_host(64)
        .build(dialer);
    let shared = Shared { client, barred: barred.clone(), door, log };
    let mut tasks: JoinSet<()> = JoinSet::new();
    let mut trials: HashMap<tokio::task::Id, (RequestId, u32)> = HashMap::new();
    let mut cancels: HashMap<(RequestId, u32), oneshot::Sender<()>> = HashMap::new();
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                None => break,
                Some(Command::Send { id, attempt, address, work, timeout }) => {
                    let (cancel, cancelled) = oneshot::channel::<()>();
                    let shared = shared.clone();
                    let trial = Trial { id, attempt, address, work, timeout };
                    let handle = tasks.spawn(async move {
                        let End { status, note, load } = tokio::select! {
                            biased;
                            end = shared.attempt(&trial) => end,
                            // Dropping the exchange closes its connection.
                            _ = cancelled => Status::Cancelled.into(),
                        };
                        let (id, attempt) = (trial.id, trial.attempt);
                        shared.door.tell(Event::Ended { id, attempt, status, note, load }).await;
                    });
                    trials.insert(handle.id(), (id, attempt));
                    cancels.insert((id, attempt), cancel);
                }
                Some(Command::Cancel { id, attempt }) => {
                    if let Some(cancel) = cancels.remove(&(id, attempt)) {
                        let _ = cancel.send(());
                    }
                }
                Some(Command::Release { id, name, addresses }) => {
                    let shared = shared.clone();
                    tasks.spawn(async move {
                        shared.release(&name, &addresses).await;
                        shared.door.tell(Event::Released(id)).await;
                    });
                }
                Some(Command::Probe { server, address }) => {
                    let shared = shared.clone();
                    tasks.spawn(async move { shared.probe(server, &address).await });
                }
                Some(Command::Bar { address, barred: bar }) => {
                    if let Ok(mut barred) = barred.lock() {
                        if bar {
                            barred.insert(address);
                        } else {
                            barred.remove(&address);
                        }
                    }
                }
            },
            Some(ended) = tasks.join_next_with_id() => {
                let task = match &ended {
                    Ok((task, ())) => *task,
                    Err(error) => error.id(),
                };
                let Some((id, attempt)) = trials.remove(&task) else { continue };
                cancels.remove(&(id, attempt));
                if let Err(error) = ended {
                    // A task that died has told nothing: the core must not wait for it.
                    error!(shared.log, "an attempt's task died"; "error" => %error);
                    let status = Status::Reset;
                    shared.door.post(Event::Ended { id, attempt, status, note: 0.0, load: None });
                }
            }
        }
    }
}
