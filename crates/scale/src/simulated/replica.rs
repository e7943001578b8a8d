//! Simulated replicas: HTTP servers for prefill, decode, releases and probes. They model time and load, and generate no text.
//!
//! Each [`Replica`] owns its load. What the replicas of a run observe, violations of the protocol's rules included, is collected
//! in one [`ReplicaMetrics`].

use crate::results::RuleViolations;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{HeaderValue, CONTENT_TYPE};
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

/// Prompt tokens per second that a prefill replica processes.
const PREFILL_TOKENS_PER_S: f64 = 40_000.0;
/// Share of each prompt that counts as found in the prefix cache.
const CACHED_PROMPT_SHARE: f64 = 0.5;
/// Time from the start of a decode attempt to its first token.
const FIRST_TOKEN_TIME: Duration = Duration::from_millis(15);
/// Time between two events of a stream: 25 ms for each token.
const EVENT_INTERVAL: Duration = Duration::from_millis(200);
/// Output tokens in one event of a stream.
const TOKENS_PER_EVENT: u32 = 8;
/// Tokens that one byte of a request body stands for. The bodies of the load are shorter than real ones.
pub const TOKENS_PER_BYTE: f64 = 4.0;
/// Time after a drain's notification within which attempts of the notified dispatcher may still arrive. It exceeds `drain_grace`
/// in the dispatchers' settings by 50 ms.
const DRAIN_GRACE: Duration = Duration::from_millis(300);
/// Time within which a reserved KV cache must be consumed or released. It exceeds `release_within` in the dispatchers' settings by
/// 300 ms.
const RESERVATION_TTL: Duration = Duration::from_millis(1_300);
/// Number of requests in flight at which a replica reports its KV memory as full.
const IN_FLIGHT_AT_FULL_MEMORY: f64 = 200.0;
/// Approximate size of the heads of a probe and of its response, in bytes.
const PROBE_HEADS_BYTES: u64 = 180;
/// The header with the client request id.
const TRACE_HEADER: &str = "x-trace-id";
/// Path prefix of reservations; the client request id follows.
const RESERVATIONS_PATH: &str = "/kv/leases/";

type Body = BoxBody<Bytes, Infallible>;
type EventStream = std::pin::Pin<
    Box<dyn futures_util::Stream<Item = Result<Frame<Bytes>, Infallible>> + Send + Sync>,
>;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Metrics that all replicas of a run collect together.
pub struct ReplicaMetrics {
    /// Due times of the requests that no replica has received yet, by client request id.
    unseen_requests: Mutex<HashMap<String, Instant>>,
    /// Time from when a request was due to its first arrival at a replica, in microseconds.
    pub time_to_replica: Mutex<Histogram<u64>>,
    /// Time from the notification of a drain to the arrival of an attempt of the notified dispatcher, in microseconds.
    pub time_after_drain: Mutex<Histogram<u64>>,
    /// Times at which KV caches were reserved, by client request id.
    reservations: Mutex<HashMap<String, Instant>>,
    sends_after_drain: AtomicU64,
    slow_start_overloads: AtomicU64,
    late_kv_releases: AtomicU64,
    /// Bytes of probes and their responses, with approximate heads.
    pub probe_bytes: AtomicU64,
    /// Number of accepted connections.
    pub connections: AtomicU64,
    /// Number of answered probes.
    pub probes: AtomicU64,
}

impl ReplicaMetrics {
    /// Creates empty metrics.
    ///
    /// # Errors
    ///
    /// Fails if a histogram cannot be created.
    pub fn new() -> Result<ReplicaMetrics, hdrhistogram::CreationError> {
        Ok(ReplicaMetrics {
            unseen_requests: Mutex::default(),
            time_to_replica: Mutex::new(Histogram::new(3)?),
            time_after_drain: Mutex::new(Histogram::new(3)?),
            reservations: Mutex::default(),
            sends_after_drain: AtomicU64::new(0),
            slow_start_overloads: AtomicU64::new(0),
            late_kv_releases: AtomicU64::new(0),
            probe_bytes: AtomicU64::new(0),
            connections: AtomicU64::new(0),
            probes: AtomicU64::new(0),
        })
    }

    /// Registers a request that a client is about to send, and when it was due.
    pub fn expect_request(&self, id: &str, due: Instant) {
        lock(&self.unseen_requests).insert(id.to_owned(), due);
    }

    /// Removes a request whose client no longer waits for the response.
    pub fn forget_request(&self, id: &str) {
        lock(&self.unseen_requests).remove(id);
    }

    /// Returns all violations so far. KV caches that are still reserved after the time limit are included.
    pub fn violations(&self) -> RuleViolations {
        let now = Instant::now();
        let overdue = lock(&self.reservations)
            .values()
            .filter(|reserved_at| now - **reserved_at > RESERVATION_TTL)
            .count() as u64;
        RuleViolations {
            sends_after_drain: self.sends_after_drain.load(Ordering::Relaxed),
            slow_start_overloads: self.slow_start_overloads.load(Ordering::Relaxed),
            late_kv_releases: overdue + self.late_kv_releases.load(Ordering::Relaxed),
        }
    }

    /// Ends the reservation of a client request, and returns whether there was one. Counts it as late after [`RESERVATION_TTL`].
    fn end_reservation(&self, id: &str) -> bool {
        let Some(reserved_at) = lock(&self.reservations).remove(id) else {
            return false;
        };
        if reserved_at.elapsed() > RESERVATION_TTL {
            self.late_kv_releases.fetch_add(1, Ordering::Relaxed);
        }
        true
    }
}

/// Looks up when a dispatcher was notified that a replica is draining; `None` if it was not. The arguments are the client
/// request id of one of the dispatcher's requests, and the replica's number.
pub type DrainNotifications = Arc<dyn Fn(&str, usize) -> Option<Instant> + Send + Sync>;

/// The limit of requests to a replica in slow start, derived from the settings that all dispatchers share.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartRule {
    /// Sliding window over which requests are counted.
    pub window: Duration,
    /// Mean number of requests in a window that the replica can take. More are tolerated, because arrivals are random.
    pub max_requests: f64,
    /// Duration of the slow start, after which the limit no longer applies.
    pub duration: Duration,
}

/// A simulated replica, which serves attempts, releases and probes.
pub struct Replica {
    number: usize,
    role: Role,
    metrics: Arc<ReplicaMetrics>,
    drain_notifications: DrainNotifications,
    slow_start: SlowStartRule,
    /// Number of attempts that run or wait.
    in_flight: AtomicU64,
    /// End of the last queued prefill.
    busy_until: Mutex<Instant>,
    /// Start of the last slow start; `None` if the replica was created warm.
    started_at: Mutex<Option<Instant>>,
    /// Arrivals in slow start, within the rule's window.
    recent_arrivals: Mutex<VecDeque<Instant>>,
    /// Whether an overload was counted in this slow start.
    is_overloaded: AtomicBool,
}

impl Replica {
    /// Creates a replica. `started_at` is the start of its slow start, `None` if it is warm.
    pub fn new(
        number: usize,
        role: Role,
        metrics: Arc<ReplicaMetrics>,
        drain_notifications: DrainNotifications,
        slow_start: SlowStartRule,
        started_at: Option<Instant>,
    ) -> Arc<Replica> {
        Arc::new(Replica {
            number,
            role,
            metrics,
            drain_notifications,
            slow_start,
            in_flight: AtomicU64::new(0),
            busy_until: Mutex::new(Instant::now()),
            started_at: Mutex::new(started_at),
            recent_arrivals: Mutex::default(),
            is_overloaded: AtomicBool::new(false),
        })
    }

    /// Starts a new slow start, as after a restart of the process.
    pub fn restart(&self) {
        *lock(&self.started_at) = Some(Instant::now());
        lock(&self.recent_arrivals).clear();
        self.is_overloaded.store(false, Ordering::Relaxed);
    }

    /// Serves connections until the task is aborted.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            self.metrics.connections.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(self.clone().serve_connection(stream));
        }
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request| {
            let replica = self.clone();
            async move { Ok::<_, Infallible>(replica.respond(request).await) }
        });
        let http = hyper::server::conn::http1::Builder::new();
        let _ = http.serve_connection(TokioIo::new(stream), service).await;
    }

    async fn respond(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/chat/completions") => self.run_attempt(request).await,
            (&Method::DELETE, path) if path.starts_with(RESERVATIONS_PATH) => {
                self.metrics
                    .end_reservation(path.trim_start_matches(RESERVATIONS_PATH));
                text_response(StatusCode::NO_CONTENT, "")
            }
            (&Method::GET, "/status/load" | "/health") => self.respond_to_probe(),
            _ => text_response(StatusCode::NOT_FOUND, ""),
        }
    }

    fn respond_to_probe(&self) -> Response<Body> {
        let report = self.load_report();
        self.metrics.probes.fetch_add(1, Ordering::Relaxed);
        self.metrics
            .probe_bytes
            .fetch_add(report.len() as u64 + PROBE_HEADS_BYTES, Ordering::Relaxed);
        text_response(StatusCode::OK, &report)
    }

    /// Formats the load report: requests in flight, share of KV memory (`x0`), and pending prefill kilotokens (`x1`).
    fn load_report(&self) -> String {
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        let wait = lock(&self.busy_until).saturating_duration_since(Instant::now());
        let queued_kilotokens = wait.as_secs_f64() * PREFILL_TOKENS_PER_S / 1000.0;
        let memory_share = (in_flight as f64 / IN_FLIGHT_AT_FULL_MEMORY).min(1.0);
        format!("TEXT inflight={in_flight}, x0={memory_share:.3}, x1={queued_kilotokens:.2}")
    }

    /// Runs an attempt. Decode without a reservation is rejected with status 410 and the header that says it never ran.
    async fn run_attempt(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let id = request
            .headers()
            .get(TRACE_HEADER)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        if let Some(due) = lock(&self.metrics.unseen_requests).remove(&id) {
            let _ = lock(&self.metrics.time_to_replica).record(due.elapsed().as_micros() as u64);
        }
        self.record_send_after_drain(&id);
        self.record_slow_start_overload();
        let Ok(body) = request.into_body().collect().await else {
            return text_response(StatusCode::BAD_REQUEST, "");
        };
        let body = body.to_bytes();
        let in_flight = InFlightGuard::new(self.clone());
        if self.role == Role::Prefill {
            return self.prefill(id, body.len(), in_flight).await;
        }
        if self.metrics.end_reservation(&id) {
            return self.decode(&body, in_flight).await;
        }
        let mut response = text_response(StatusCode::GONE, "");
        response
            .headers_mut()
            .insert("x-never-ran", HeaderValue::from_static("1"));
        response
    }

    /// Records an attempt whose dispatcher had been notified that the replica is draining.
    fn record_send_after_drain(&self, id: &str) {
        let Some(notified_at) = (self.drain_notifications)(id, self.number) else {
            return;
        };
        let micros = notified_at.elapsed().as_micros() as u64;
        let _ = lock(&self.metrics.time_after_drain).record(micros);
        if notified_at.elapsed() > DRAIN_GRACE {
            self.metrics
                .sends_after_drain
                .fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Records, at most once for each slow start, that all dispatchers together overload the replica.
    fn record_slow_start_overload(&self) {
        let rule = &self.slow_start;
        let is_warming_up =
            lock(&self.started_at).is_some_and(|started_at| started_at.elapsed() < rule.duration);
        if !is_warming_up {
            return;
        }
        let now = Instant::now();
        let mut arrivals = lock(&self.recent_arrivals);
        arrivals.push_back(now);
        while arrivals
            .front()
            .is_some_and(|arrival| now - *arrival > rule.window)
        {
            arrivals.pop_front();
        }
        // Arrivals are random: two standard deviations above the limit are tolerated, and two requests more for small limits.
        let max_arrivals = rule.max_requests + 2.0 * rule.max_requests.sqrt() + 2.0;
        if arrivals.len() as f64 > max_arrivals && !self.is_overloaded.swap(true, Ordering::Relaxed)
        {
            self.metrics
                .slow_start_overloads
                .fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Queues a prefill behind those of other requests, then reserves its KV cache.
    async fn prefill(
        &self,
        id: String,
        body_bytes: usize,
        in_flight: InFlightGuard,
    ) -> Response<Body> {
        let tokens = body_bytes as f64 * TOKENS_PER_BYTE;
        let cached_tokens = (tokens * CACHED_PROMPT_SHARE) as u64;
        let duration =
            Duration::from_secs_f64((tokens - cached_tokens as f64) / PREFILL_TOKENS_PER_S);
        let end = {
            let mut busy_until = lock(&self.busy_until);
            *busy_until = (*busy_until).max(Instant::now()) + duration;
            *busy_until
        };
        sleep_until(end).await;
        lock(&self.metrics.reservations).insert(id, Instant::now());
        drop(in_flight);
        let text = format!(r#"{{"cached_tokens":{cached_tokens}}}"#);
        let mut response = text_response(StatusCode::ACCEPTED, &text);
        if let Ok(report) = HeaderValue::from_str(&self.load_report()) {
            response
                .headers_mut()
                .insert("endpoint-load-metrics", report);
        }
        response
    }

    /// Streams token events at fixed intervals, then the final events.
    async fn decode(self: &Arc<Self>, body: &[u8], in_flight: InFlightGuard) -> Response<Body> {
        let tokens = parse_max_tokens(body);
        sleep(FIRST_TOKEN_TIME).await;
        let events = tokens.div_ceil(TOKENS_PER_EVENT).max(1);
        let replica = self.clone();
        let start = (0, in_flight);
        let stream = futures_util::stream::unfold(start, move |(number, in_flight)| {
            let replica = replica.clone();
            async move {
                if number > events {
                    return None;
                }
                if number > 0 && number < events {
                    sleep(EVENT_INTERVAL).await;
                }
                let data = if number < events {
                    token_event(number)
                } else {
                    replica.final_events(tokens)
                };
                let frame = Ok::<_, Infallible>(Frame::data(data));
                Some((frame, (number + 1, in_flight)))
            }
        });
        let stream: EventStream = Box::pin(stream);
        let mut response = Response::new(BodyExt::boxed(StreamBody::new(stream)));
        response
            .headers_mut()
            .insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        response
    }

    /// Formats the end of a stream: the usage chunk, the load report and the `[DONE]` event.
    fn final_events(&self, tokens: u32) -> Bytes {
        let usage = format!(
            r#"{{"choices":[],"usage":{{"prompt_tokens":1,"completion_tokens":{tokens},"prompt_tokens_details":{{"cached_tokens":0}}}}}}"#
        );
        let report = self.load_report();
        format!("data: {usage}\n\n: Endpoint-Load-Metrics: {report}\n\ndata: [DONE]\n\n").into()
    }
}

fn token_event(number: u32) -> Bytes {
    let data = format!(
        r#"{{"choices":[{{"index":0,"delta":{{"content":"token {number} and some more of the answer"}},"finish_reason":null}}]}}"#
    );
    format!("data: {data}\n\n").into()
}

/// Returns the number after `"max_tokens":` in a request body, or 1 if there is none.
fn parse_max_tokens(body: &[u8]) -> u32 {
    let text = String::from_utf8_lossy(body);
    let rest = text.split("\"max_tokens\":").nth(1).unwrap_or_default();
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(1)
}

fn text_response(status: StatusCode, text: &str) -> Response<Body> {
    let bytes = Bytes::copy_from_slice(text.as_bytes());
    let mut response = Response::new(BodyExt::boxed(Full::new(bytes)));
    *response.status_mut() = status;
    response
}

/// Counts a request as in flight at a replica until the guard is dropped.
struct InFlightGuard(Arc<Replica>);

impl InFlightGuard {
    fn new(replica: Arc<Replica>) -> InFlightGuard {
        replica.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(replica)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
