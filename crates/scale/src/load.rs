//! An open-loop load on one dispatcher: each request is sent when it is due, whether or not earlier ones have completed.
//!
//! Times count from when a request was due, not from when it was sent, so that stalls of the dispatcher show in them.

use crate::results::ResponseCounts;
use crate::scenario::LoadConfig;
use crate::simulated::replica::{ReplicaMetrics, TOKENS_PER_BYTE};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{JoinError, JoinSet};
use tokio::time::{sleep_until, timeout_at, Instant};

/// Deadline of each request for its first token, as sent to the dispatcher.
pub const CLIENT_DEADLINE: Duration = Duration::from_millis(4_000);
/// Time without any response after which a request counts as lost: from its deadline to the first token, and between two reads
/// in its stream.
const LOST_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Number of conversations of one dispatcher's clients.
const CONVERSATIONS_PER_DISPATCHER: u64 = 2_000;
/// Number of shared prompt prefixes.
const SHARED_PREFIX_COUNT: u64 = 300;
/// Buffer size of a read from a response, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// The responses to the load on one or more dispatchers.
pub struct LoadResult {
    /// Requests by the kind of their response.
    pub responses: ResponseCounts,
    /// Time from when a request was due to its first token, in microseconds.
    pub time_to_first_token: Histogram<u64>,
    /// Time from when a request was due until it was sent, in microseconds: a delay of the bench itself.
    pub send_delay: Histogram<u64>,
}

/// The outcome of a request for its client.
enum ClientOutcome {
    Served {
        time_to_first_token: Duration,
    },
    Shed,
    Failed,
    /// No complete response came in time, or the connection failed.
    Lost,
}

/// The dispatcher under load, with the clients' idle connections to it.
struct LoadTarget {
    address: String,
    idle_connections: Mutex<Vec<TcpStream>>,
    metrics: Arc<ReplicaMetrics>,
}

/// A request with its text on the wire.
struct ClientRequest {
    id: String,
    text: String,
    due: Instant,
}

impl LoadTarget {
    fn idle_connections(&self) -> MutexGuard<'_, Vec<TcpStream>> {
        self.idle_connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl LoadResult {
    /// Creates an empty result.
    ///
    /// # Errors
    ///
    /// Fails if a histogram cannot be created.
    pub fn new() -> Result<LoadResult, hdrhistogram::CreationError> {
        Ok(LoadResult {
            responses: ResponseCounts::default(),
            time_to_first_token: Histogram::new(3)?,
            send_delay: Histogram::new(3)?,
        })
    }

    /// Adds the result of another dispatcher.
    ///
    /// # Errors
    ///
    /// Fails if the histograms cannot be added.
    pub fn add(&mut self, other: &LoadResult) -> Result<(), hdrhistogram::AdditionError> {
        self.responses.add(other.responses);
        self.time_to_first_token.add(&other.time_to_first_token)?;
        self.send_delay.add(&other.send_delay)
    }

    fn count_outcome(&mut self, outcome: Result<ClientOutcome, JoinError>) {
        let responses = &mut self.responses;
        responses.sent += 1;
        match outcome {
            Ok(ClientOutcome::Served {
                time_to_first_token,
            }) => {
                responses.served += 1;
                let micros = time_to_first_token.as_micros() as u64;
                let _ = self.time_to_first_token.record(micros);
            }
            Ok(ClientOutcome::Shed) => responses.shed += 1,
            Ok(ClientOutcome::Failed) => responses.failed += 1,
            Ok(ClientOutcome::Lost) | Err(_) => responses.lost += 1,
        }
    }
}

/// Sends requests to the dispatcher `number` at the rate of `load` until `end`, and waits for their responses.
///
/// # Errors
///
/// Fails if a histogram cannot be created.
pub async fn run(
    address: String,
    number: usize,
    load: LoadConfig,
    seed: u64,
    end: Instant,
    metrics: Arc<ReplicaMetrics>,
) -> Result<LoadResult, hdrhistogram::CreationError> {
    let target = Arc::new(LoadTarget {
        address,
        idle_connections: Mutex::default(),
        metrics,
    });
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut result = LoadResult::new()?;
    let mut in_flight = JoinSet::new();
    let mut due = Instant::now();
    let mut count = 0_u64;
    loop {
        let uniform: f64 = rng.gen_range(1e-9..1.0);
        due += Duration::from_secs_f64(-uniform.ln() / load.rate_per_dispatcher);
        if due >= end {
            break;
        }
        sleep_until(due).await;
        let _ = result.send_delay.record(due.elapsed().as_micros() as u64);
        count += 1;
        let request = draw_request(number, count, due, &load, &mut rng);
        in_flight.spawn(send_request(target.clone(), request));
        while let Some(outcome) = in_flight.try_join_next() {
            result.count_outcome(outcome);
        }
    }
    while let Some(outcome) = in_flight.join_next().await {
        result.count_outcome(outcome);
    }
    Ok(result)
}

/// Returns a client request id that contains the dispatcher's number.
pub fn client_request_id(dispatcher: usize, number: u64) -> String {
    format!("d{dispatcher}-{number:08x}")
}

/// Returns the number of the dispatcher in a client request id.
pub fn dispatcher_of(id: &str) -> Option<usize> {
    id.strip_prefix('d')?.split('-').next()?.parse().ok()
}

/// Draws a request: prompt and output lengths, conversation and prefix.
fn draw_request(
    dispatcher: usize,
    number: u64,
    due: Instant,
    load: &LoadConfig,
    rng: &mut Pcg32,
) -> ClientRequest {
    let id = client_request_id(dispatcher, number);
    let (min_prompt, max_prompt) = load.prompt_tokens;
    let (min_output, max_output) = load.output_tokens;
    let prompt_tokens = rng.gen_range(min_prompt..=max_prompt);
    let output_tokens = rng.gen_range(min_output..=max_output);
    let conversation = rng.gen_range(0..CONVERSATIONS_PER_DISPATCHER)
        + CONVERSATIONS_PER_DISPATCHER * dispatcher as u64;
    let prefix = rng.gen_range(0..SHARED_PREFIX_COUNT);
    let prefix_tokens = prompt_tokens / 2;
    let filler = "x".repeat((f64::from(prompt_tokens) / TOKENS_PER_BYTE) as usize);
    let body = format!(
        r#"{{"model":"chat","stream":true,"max_tokens":{output_tokens},"messages":"{filler}"}}"#
    );
    let expires = CLIENT_DEADLINE.as_millis();
    let length = body.len();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: scale\r\nX-Trace-Id: {id}\r\nX-Qos: chat\r\nX-Customer: acme\r\nX-Object: {conversation:x}\r\nX-Expires-In-Ms: {expires}\r\nX-Props: prefix={prefix:x},prompt_len={prompt_tokens},prefix_len={prefix_tokens},max_out={output_tokens}\r\nContent-Length: {length}\r\n\r\n"
    );
    ClientRequest {
        id,
        text: head + &body,
        due,
    }
}

/// Sends a request on an idle or a new connection, and returns its outcome.
async fn send_request(target: Arc<LoadTarget>, request: ClientRequest) -> ClientOutcome {
    let mut has_retried = false;
    loop {
        let idle = target.idle_connections().pop();
        let is_reused = idle.is_some();
        let stream = match idle {
            Some(stream) => Ok(stream),
            None => TcpStream::connect(&target.address).await,
        };
        let Ok(mut stream) = stream else {
            return ClientOutcome::Lost;
        };
        let _ = stream.set_nodelay(true);
        target.metrics.expect_request(&request.id, request.due);
        let exchange = exchange(&mut stream, &request).await;
        target.metrics.forget_request(&request.id);
        match exchange {
            // The dispatcher may close an idle connection between requests, so the client retries once on another connection.
            Err(ClosedWithoutResponse) if is_reused && !has_retried => has_retried = true,
            Err(ClosedWithoutResponse) => return ClientOutcome::Lost,
            Ok(Exchange {
                outcome,
                is_reusable,
            }) => {
                if is_reusable {
                    target.idle_connections().push(stream);
                }
                return outcome;
            }
        }
    }
}

/// The connection was closed, or failed, before the first byte of the response.
struct ClosedWithoutResponse;

/// The outcome of a request, and the state of its connection.
struct Exchange {
    outcome: ClientOutcome,
    /// Whether the connection can be used for another request.
    is_reusable: bool,
}

/// The part of a response that has been read so far.
#[derive(Default)]
struct PartialResponse {
    bytes: Vec<u8>,
    time_to_first_token: Option<Duration>,
}

impl PartialResponse {
    /// Evaluates the response after a read; `None` if it is incomplete. Responses with status 200 are chunked streams.
    fn evaluate(&mut self, due: Instant) -> Option<Exchange> {
        let head_end = find_bytes(&self.bytes, b"\r\n\r\n")?;
        let body_start = head_end + 4;
        let head = String::from_utf8_lossy(&self.bytes[..head_end]).to_ascii_lowercase();
        let is_reusable = !head.contains("connection: close");
        let status = head.split(' ').nth(1).unwrap_or_default();
        if status == "200" {
            if self.time_to_first_token.is_none() && self.bytes.len() > body_start {
                self.time_to_first_token = Some(due.elapsed());
            }
            if !self.bytes.ends_with(b"\r\n0\r\n\r\n") {
                return None;
            }
            let time_to_first_token = self.time_to_first_token.unwrap_or_default();
            let outcome = ClientOutcome::Served {
                time_to_first_token,
            };
            return Some(Exchange {
                outcome,
                is_reusable,
            });
        }
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: ")?.parse::<usize>().ok());
        if self.bytes.len() < body_start + length.unwrap_or(0) {
            return None;
        }
        let outcome = if status == "503" || status == "429" {
            ClientOutcome::Shed
        } else {
            ClientOutcome::Failed
        };
        Some(Exchange {
            outcome,
            is_reusable,
        })
    }
}

/// Sends a request on a connection, and reads its response.
async fn exchange(
    stream: &mut TcpStream,
    request: &ClientRequest,
) -> Result<Exchange, ClosedWithoutResponse> {
    stream
        .write_all(request.text.as_bytes())
        .await
        .map_err(|_| ClosedWithoutResponse)?;
    let mut response = PartialResponse::default();
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        let deadline = if response.time_to_first_token.is_some() {
            Instant::now() + LOST_TIMEOUT
        } else {
            request.due + CLIENT_DEADLINE + LOST_TIMEOUT
        };
        let count = match timeout_at(deadline, stream.read(&mut buffer)).await {
            Ok(Ok(count)) if count > 0 => count,
            Ok(_) if response.bytes.is_empty() => return Err(ClosedWithoutResponse),
            _ => {
                return Ok(Exchange {
                    outcome: ClientOutcome::Lost,
                    is_reusable: false,
                })
            }
        };
        response.bytes.extend_from_slice(&buffer[..count]);
        if let Some(exchange) = response.evaluate(request.due) {
            return Ok(exchange);
        }
    }
}

/// Returns the position of the first occurrence of `pattern`.
fn find_bytes(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}
