//! Hollow replicas: they read, hand over, stream, let go, answer probes and tell their load, by a model of time only.

use crate::results::RuleCounts;
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use quartzhall::routing::api::Role;
use std::collections::{HashMap, VecDeque};
use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, sleep_until, Instant};

/// Tokens that a reader reads in a second, and the part of each prompt that it finds kept.
const READ_RATE: f64 = 40_000.0;
const FOUND: f64 = 0.5;
/// A writer's first token comes after this, ...
const FIRST_TOKEN: Duration = Duration::from_millis(15);
/// ... and events after that this far apart, of so many tokens each.
const EVENT_EACH: Duration = Duration::from_millis(200);
const TOKENS_PER_EVENT: u32 = 8;
/// Characters of a body for each token of its prompt: the bodies of the load are shorter than real ones.
pub const TOKENS_PER_BYTE: f64 = 4.0;
/// After it was written to a dispatcher that a replica drains, nothing of it may begin to come after this.
const DRAIN_GRACE: Duration = Duration::from_millis(300);
/// A read state is taken or let go within this.
const STATE_TIME: Duration = Duration::from_millis(1_300);
/// A header's name, by which the load, the replicas and the dispatchers know a request.
const TRACE: &str = "x-trace-id";

type Body = BoxBody<Bytes, Infallible>;

/// What all replicas of a run share.
pub struct Ledger {
    /// When requests were sent by their clients, by name; a request that has reached a replica is taken out.
    pub waiting: Mutex<HashMap<String, Instant>>,
    /// Told of each first arrival at a replica: microseconds since the client sent the request.
    pub reached: Mutex<hdrhistogram::Histogram<u64>>,
    /// From discovery's write of a drain to the last send against it, in microseconds.
    pub after_drain: Mutex<hdrhistogram::Histogram<u64>>,
    /// States that wait, by the request's name.
    states: Mutex<HashMap<String, Instant>>,
    /// Broken rules, and what was counted for them.
    pub rules: Rules,
    /// Bytes of probes and their answers, of leases, and of requests and streams.
    pub probe_bytes: AtomicU64,
    /// Bytes of requests and answers.
    pub request_bytes: AtomicU64,
    /// Connections that dispatchers have opened.
    pub connections: AtomicU64,
    /// Probes that were answered.
    pub probes: AtomicU64,
}

/// Counts behind the verdict.
#[derive(Default)]
pub struct Rules {
    after_drain: AtomicU64,
    cold_falls: AtomicU64,
    late_states: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Ledger {
    /// An empty one; the error is why no histogram can be made.
    pub fn new() -> Result<Ledger, String> {
        let histogram = || hdrhistogram::Histogram::new(3).map_err(|error| error.to_string());
        Ok(Ledger {
            waiting: Mutex::default(),
            reached: Mutex::new(histogram()?),
            after_drain: Mutex::new(histogram()?),
            states: Mutex::default(),
            rules: Rules::default(),
            probe_bytes: AtomicU64::new(0),
            request_bytes: AtomicU64::new(0),
            connections: AtomicU64::new(0),
            probes: AtomicU64::new(0),
        })
    }

    /// What is known of broken rules at the end, states that are still held too long among them.
    pub fn rules(&self) -> RuleCounts {
        let now = Instant::now();
        let held = lock(&self.states)
            .values()
            .filter(|since| now - **since > STATE_TIME)
            .count() as u64;
        RuleCounts {
            sends_after_drain: self.rules.after_drain.load(Ordering::Relaxed),
            cold_falls: self.rules.cold_falls.load(Ordering::Relaxed),
            states_held_too_long: held + self.rules.late_states.load(Ordering::Relaxed),
        }
    }

    fn take_state(&self, name: &str) -> bool {
        let Some(since) = lock(&self.states).remove(name) else {
            return false;
        };
        if since.elapsed() > STATE_TIME {
            self.rules.late_states.fetch_add(1, Ordering::Relaxed);
        }
        true
    }
}

/// How the run tells which dispatcher has sent a request, and when that one was told that a replica drains.
pub type DrainTold = Arc<dyn Fn(&str, usize) -> Option<Instant> + Send + Sync>;

/// What a cold replica bears, by the settings that all dispatchers are given.
#[derive(Clone, Copy, Debug)]
pub struct ColdRule {
    /// In this span ...
    pub span: Duration,
    /// ... it is sent so many requests at the most, before it falls.
    pub most: f64,
    /// It is warm after this.
    pub warm_within: Duration,
}

/// One hollow replica.
pub struct Replica {
    number: usize,
    role: Role,
    ledger: Arc<Ledger>,
    drain_told: DrainTold,
    cold: ColdRule,
    running: AtomicU64,
    busy_until: Mutex<Instant>,
    started: Mutex<Option<Instant>>,
    sent: Mutex<VecDeque<Instant>>,
    fallen: AtomicBool,
}

impl Replica {
    /// A replica that serves; `started`: it is cold since then.
    pub fn new(
        number: usize,
        role: Role,
        ledger: Arc<Ledger>,
        drain_told: DrainTold,
        cold: ColdRule,
        started: Option<Instant>,
    ) -> Arc<Replica> {
        Arc::new(Replica {
            number,
            role,
            ledger,
            drain_told,
            cold,
            running: AtomicU64::new(0),
            busy_until: Mutex::new(Instant::now()),
            started: Mutex::new(started),
            sent: Mutex::default(),
            fallen: AtomicBool::new(false),
        })
    }

    /// It has started anew, and is cold.
    pub fn restart(&self) {
        *lock(&self.started) = Some(Instant::now());
        lock(&self.sent).clear();
        self.fallen.store(false, Ordering::Relaxed);
    }

    /// Takes connections, for as long as the task runs.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            self.ledger.connections.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(self.clone().converse(stream));
        }
    }

    async fn converse(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request| {
            let replica = self.clone();
            async move { Ok::<_, Infallible>(replica.answer(request).await) }
        });
        let http = hyper::server::conn::http1::Builder::new();
        let _ = http.serve_connection(TokioIo::new(stream), service).await;
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/chat/completions") => self.work(request).await,
            (&Method::DELETE, path) if path.starts_with("/kv/leases/") => {
                self.ledger
                    .take_state(path.trim_start_matches("/kv/leases/"));
                plain(StatusCode::NO_CONTENT, "")
            }
            (&Method::GET, "/status/load" | "/health") => {
                let load = self.load();
                self.ledger.probes.fetch_add(1, Ordering::Relaxed);
                self.ledger
                    .probe_bytes
                    .fetch_add(load.len() as u64 + PROBE_OVERHEAD, Ordering::Relaxed);
                plain(StatusCode::OK, &load)
            }
            _ => plain(StatusCode::NOT_FOUND, ""),
        }
    }

    /// Its load report.
    fn load(&self) -> String {
        let running = self.running.load(Ordering::Relaxed);
        let waits = lock(&self.busy_until).saturating_duration_since(Instant::now());
        let to_read = waits.as_secs_f64() * READ_RATE / 1000.0;
        format!(
            "TEXT inflight={running}, x0={:.3}, x1={to_read:.2}",
            (running as f64 / 200.0).min(1.0)
        )
    }

    async fn work(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let name = request
            .headers()
            .get(TRACE)
            .and_then(|it| it.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        if let Some(sent) = lock(&self.ledger.waiting).remove(&name) {
            let _ = lock(&self.ledger.reached).record(sent.elapsed().as_micros() as u64);
        }
        self.check_rules(&name);
        let Ok(body) = request.into_body().collect().await else {
            return plain(StatusCode::BAD_REQUEST, "");
        };
        let body = body.to_bytes();
        self.ledger
            .request_bytes
            .fetch_add(body.len() as u64, Ordering::Relaxed);
        self.running.fetch_add(1, Ordering::Relaxed);
        let running = Running(self.clone());
        match self.role {
            Role::Prefill => self.read(name, body.len(), running).await,
            _ if self.ledger.take_state(&name) => self.write(&body, running).await,
            _ => {
                let mut gone = plain(StatusCode::GONE, "");
                gone.headers_mut()
                    .insert("x-never-ran", hyper::header::HeaderValue::from_static("1"));
                gone
            }
        }
    }

    /// TraceRecorder a send against a told drain, and one that makes a cold replica fall.
    fn check_rules(&self, name: &str) {
        if let Some(told) = (self.drain_told)(name, self.number) {
            let _ = lock(&self.ledger.after_drain).record(told.elapsed().as_micros() as u64);
            if told.elapsed() > DRAIN_GRACE {
                self.ledger
                    .rules
                    .after_drain
                    .fetch_add(1, Ordering::Relaxed);
            }
        }
        let is_cold =
            lock(&self.started).is_some_and(|since| since.elapsed() < self.cold.warm_within);
        if is_cold {
            let now = Instant::now();
            let mut sent = lock(&self.sent);
            sent.push_back(now);
            while sent.front().is_some_and(|at| now - *at > self.cold.span) {
                sent.pop_front();
            }
            let most = self.cold.most + 2.0 * self.cold.most.sqrt() + 2.0;
            if sent.len() as f64 > most && !self.fallen.swap(true, Ordering::Relaxed) {
                self.ledger.rules.cold_falls.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    async fn read(&self, name: String, length: usize, running: Running) -> Response<Body> {
        let tokens = length as f64 * TOKENS_PER_BYTE;
        let found = (tokens * FOUND) as u64;
        let ends = {
            let mut busy_until = lock(&self.busy_until);
            let took = Duration::from_secs_f64((tokens - found as f64) / READ_RATE);
            *busy_until = (*busy_until).max(Instant::now()) + took;
            *busy_until
        };
        sleep_until(ends).await;
        lock(&self.ledger.states).insert(name, Instant::now());
        drop(running);
        let mut answer = plain(
            StatusCode::ACCEPTED,
            &format!(r#"{{"cached_tokens":{found}}}"#),
        );
        if let Ok(load) = hyper::header::HeaderValue::from_str(&self.load()) {
            answer.headers_mut().insert("endpoint-load-metrics", load);
        }
        answer
    }

    async fn write(self: &Arc<Self>, body: &[u8], running: Running) -> Response<Body> {
        let tokens = asked_tokens(body);
        sleep(FIRST_TOKEN).await;
        let events = tokens.div_ceil(TOKENS_PER_EVENT).max(1);
        let replica = self.clone();
        let stream = futures_util::stream::unfold((0, running), move |(number, running)| {
            let replica = replica.clone();
            async move {
                if number > events {
                    return None;
                }
                if number > 0 && number < events {
                    sleep(EVENT_EACH).await;
                }
                let data = if number < events {
                    event(number)
                } else {
                    replica.last_events(tokens)
                };
                replica
                    .ledger
                    .request_bytes
                    .fetch_add(data.len() as u64, Ordering::Relaxed);
                Some((
                    Ok::<_, Infallible>(Frame::data(data)),
                    (number + 1, running),
                ))
            }
        });
        let mut response = Response::new(BodyExt::boxed(StreamBody::new(
            Box::pin(stream) as EventStream
        )));
        let kind = hyper::header::HeaderValue::from_static("text/event-stream");
        response
            .headers_mut()
            .insert(hyper::header::CONTENT_TYPE, kind);
        response
    }

    fn last_events(&self, tokens: u32) -> Bytes {
        let usage = format!(
            r#"{{"choices":[],"usage":{{"prompt_tokens":1,"completion_tokens":{tokens},"prompt_tokens_details":{{"cached_tokens":0}}}}}}"#
        );
        let load = self.load();
        format!("data: {usage}\n\n: Endpoint-Load-Metrics: {load}\n\ndata: [DONE]\n\n").into()
    }
}

type EventStream = std::pin::Pin<
    Box<dyn futures_util::Stream<Item = Result<Frame<Bytes>, Infallible>> + Send + Sync>,
>;

/// Heads of a probe and of its answer, about.
const PROBE_OVERHEAD: u64 = 180;

fn event(number: u32) -> Bytes {
    let data = format!(
        r#"{{"choices":[{{"index":0,"delta":{{"content":"token {number} and some more of the answer"}},"finish_reason":null}}]}}"#
    );
    format!("data: {data}\n\n").into()
}

/// Tokens that the body asks for: what stands behind `"max_tokens":`.
fn asked_tokens(body: &[u8]) -> u32 {
    let text = String::from_utf8_lossy(body);
    let rest = text.split("\"max_tokens\":").nth(1).unwrap_or_default();
    rest.chars()
        .take_while(char::is_ascii_digit)
        .collect::<String>()
        .parse()
        .unwrap_or(1)
}

fn plain(status: StatusCode, text: &str) -> Response<Body> {
    let mut response = Response::new(BodyExt::boxed(Full::new(Bytes::copy_from_slice(
        text.as_bytes(),
    ))));
    *response.status_mut() = status;
    response
}

/// A request that runs at a replica, until it is let go.
struct Running(Arc<Replica>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}
