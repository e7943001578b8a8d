//! Clients of the dispatchers: they send randomly drawn requests and record what they observe in the [`Oracle`].
//!
//! Most clients send one request on a connection of its own; some reuse a persistent connection. Some write their request
//! slowly, some disconnect before their response arrives, and some read their stream late or slowly.

use crate::config::{IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS};
use crate::oracle::Oracle;
use crate::stream_plan::{parse_written_at, StreamPlan};
use crate::wire::split_head;
use rand::Rng;
use rand_pcg::Pcg32;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Fraction of requests that must be executed at most once.
const NON_IDEMPOTENT_FRACTION: f64 = 0.3;
/// Fraction of requests whose client disconnects if no response has arrived after a drawn time.
const EARLY_DISCONNECT_FRACTION: f64 = 0.1;
/// The longest time over which a client writes its request, in milliseconds. Dispatchers wait a little longer than that.
const MAX_WRITE_TIME_MS: u64 = 2_000;
/// Number of writes, and of waits between them, over which a slow client spreads its request.
const SLOW_WRITES: usize = 8;
/// The shortest deadline that is drawn, in milliseconds; four fifths of the longest deadline if that is shorter.
const MIN_DEADLINE_MS: u64 = 900;
/// The chunk at the end of a complete stream.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// A client stops reading a stream on which it has received nothing for this long.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Buffer size of one read of a stream.
const READ_CHUNK_BYTES: usize = 64 * 1024;
/// Buffer size of one read by a slow client.
const SLOW_READ_CHUNK_BYTES: usize = 16 * 1024;
/// Time between two reads of a slow client.
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(60);
/// How long a client waits for its response beyond its deadline; long enough for the oracle to report it as overdue.
const MAX_WAIT_AFTER_DEADLINE: Duration = Duration::from_secs(4);

/// A dispatcher under test, from its clients' point of view.
pub struct Target {
    /// The dispatcher's number.
    pub process: usize,
    /// The host and port on which it listens for clients.
    pub address: String,
    /// Records what clients observe.
    pub oracle: Arc<Oracle>,
    /// Whether the schedule's faults may kill this dispatcher, which excuses a connection that closes without response.
    pub may_be_killed: bool,
}

/// A randomly drawn request, and how its client behaves.
pub struct ClientRequest {
    id: String,
    is_non_idempotent: bool,
    deadline: Duration,
    disconnect_after: Option<Duration>,
    head: String,
    body: String,
    /// How long the client takes to write the request; zero if it writes all at once.
    write_time: Duration,
    read_behavior: ReadBehavior,
}

/// How a client reads its response stream.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReadBehavior {
    /// Reads data as it arrives; only these clients measure event delays.
    AtOnce,
    /// Reads nothing for this long, then as data arrives.
    After(Duration),
    /// Reads a limited number of bytes at intervals.
    Slowly,
}

impl ClientRequest {
    /// Draws request `number` to dispatcher `process`; both together make up its id.
    pub fn draw(
        process: usize,
        number: u64,
        max_deadline: Duration,
        rng: &mut Pcg32,
    ) -> ClientRequest {
        let id = format!("{process:04x}{number:012x}");
        let is_non_idempotent = rng.gen_bool(NON_IDEMPOTENT_FRACTION);
        let max_deadline_ms = max_deadline.as_millis() as u64;
        let min_deadline_ms = MIN_DEADLINE_MS.min(max_deadline_ms * 4 / 5);
        let deadline = Duration::from_millis(rng.gen_range(min_deadline_ms..=max_deadline_ms));
        let disconnect_after = if rng.gen_bool(EARLY_DISCONNECT_FRACTION) {
            Some(Duration::from_millis(rng.gen_range(20..900)))
        } else {
            None
        };
        let class = if is_non_idempotent {
            NON_IDEMPOTENT_CLASS
        } else {
            IDEMPOTENT_CLASS
        };
        let expires = deadline.as_millis();
        let session = rng.gen_range(0..200);
        let prompt_tokens = rng.gen_range(100..2_000);
        let body = "x".repeat(prompt_tokens);
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: soak\r\nX-Trace-Id: {id}\r\nX-Qos: {class}\r\nX-Customer: acme\r\nX-Object: {session:x}\r\nX-Expires-In-Ms: {expires}\r\nX-Props: prompt_len={prompt_tokens},max_out=50\r\n"
        );
        ClientRequest {
            id,
            is_non_idempotent,
            deadline,
            disconnect_after,
            head,
            body,
            write_time: Duration::ZERO,
            read_behavior: ReadBehavior::AtOnce,
        }
    }

    /// Spreads the request over a drawn time, and asks for a drawn stream. If its dispatcher is told to end meanwhile, the
    /// request ends arriving late in the shutdown, and its stream would outlast the process.
    pub fn with_slow_write(mut self, rng: &mut Pcg32) -> ClientRequest {
        self.write_time = Duration::from_millis(rng.gen_range(300..=MAX_WRITE_TIME_MS));
        self.body = StreamPlan::draw(rng).request_body();
        self
    }

    /// Asks for a drawn stream, which may still be open while its dispatcher is upgraded. Also draws how the client reads
    /// the stream.
    pub fn with_long_stream(mut self, rng: &mut Pcg32) -> ClientRequest {
        let plan = StreamPlan::draw(rng);
        self.body = plan.request_body();
        self.read_behavior = match rng.gen_range(0..10) {
            0 => ReadBehavior::After(Duration::from_millis(rng.gen_range(500..5_000))),
            1 => ReadBehavior::Slowly,
            _ => ReadBehavior::AtOnce,
        };
        self
    }

    fn text(&self) -> String {
        let length = self.body.len();
        format!("{}Content-Length: {length}\r\n\r\n{}", self.head, self.body)
    }
}

/// Sends a request on a new connection and records the response in the oracle. Does nothing if the connection fails.
pub async fn send_request(target: Arc<Target>, request: ClientRequest) {
    let Ok(mut stream) = TcpStream::connect(&target.address).await else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let _ = exchange(&target, &request, &mut stream).await;
}

/// A client that sends its requests one after the other on the same connection, and reconnects after it was closed.
pub struct PersistentConnection {
    target: Arc<Target>,
    stream: Option<TcpStream>,
}

impl PersistentConnection {
    /// Creates a client that connects with its first request.
    pub fn new(target: Arc<Target>) -> PersistentConnection {
        PersistentConnection {
            target,
            stream: None,
        }
    }

    /// Sends a request and records the response in the oracle. If the dispatcher has closed the idle connection before the
    /// request is written, sends it on a new connection.
    pub async fn send(&mut self, request: ClientRequest) {
        if let Some(mut stream) = self.stream.take() {
            match exchange(&self.target, &request, &mut stream).await {
                ConnectionState::Reusable => {
                    self.stream = Some(stream);
                    return;
                }
                ConnectionState::Unusable => return,
                ConnectionState::ClosedBeforeRequest => {}
            }
        }
        let Ok(mut stream) = TcpStream::connect(&self.target.address).await else {
            return;
        };
        let _ = stream.set_nodelay(true);
        if let ConnectionState::Reusable = exchange(&self.target, &request, &mut stream).await {
            self.stream = Some(stream);
        }
    }
}

/// Whether a connection can be used for another request.
enum ConnectionState {
    /// The response was complete, and the dispatcher keeps the connection open.
    Reusable,
    /// The connection is closed or must not be used again.
    Unusable,
    /// The connection was closed before the request was written. The request is not recorded in the oracle.
    ClosedBeforeRequest,
}

/// Writes a request; fails if the dispatcher closes the connection before the last byte.
async fn write_request(request: &ClientRequest, stream: &mut TcpStream) -> io::Result<()> {
    let text = request.text();
    if request.write_time.is_zero() {
        return stream.write_all(text.as_bytes()).await;
    }
    for piece in text.as_bytes().chunks(text.len().div_ceil(SLOW_WRITES)) {
        sleep(request.write_time / SLOW_WRITES as u32).await;
        if crate::wire::is_closed_by_peer(stream) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        stream.write_all(piece).await?;
    }
    Ok(())
}

/// Sends a request on an open connection and records all that its client observes until the end of the response.
async fn exchange(
    target: &Target,
    request: &ClientRequest,
    stream: &mut TcpStream,
) -> ConnectionState {
    let started = Instant::now();
    let is_closed = crate::wire::is_closed_by_peer(stream);
    if is_closed || write_request(request, stream).await.is_err() {
        return ConnectionState::ClosedBeforeRequest;
    }
    let oracle = &target.oracle;
    oracle.on_request_sent(
        &request.id,
        target.process,
        request.is_non_idempotent,
        request.deadline,
    );
    let response_timeout = request
        .disconnect_after
        .unwrap_or(request.deadline + MAX_WAIT_AFTER_DEADLINE);
    let Ok(response) = timeout(response_timeout, read_response_head(stream)).await else {
        if request.disconnect_after.is_some() {
            let _ = stream.shutdown().await;
            oracle.on_client_disconnected(&request.id);
        }
        return ConnectionState::Unusable;
    };
    let Some(head) = response else {
        let is_excused = target.may_be_killed && oracle.was_killed_since(target.process, started);
        oracle.on_closed_without_response(&request.id, is_excused);
        return ConnectionState::Unusable;
    };
    oracle.on_response(&request.id, head.status);
    let keeps_connection = head.keeps_connection;
    if head.status != 200 {
        return ConnectionState::Unusable;
    }
    let is_complete = read_stream(target, request, stream, head.body).await;
    if is_complete && keeps_connection {
        ConnectionState::Reusable
    } else {
        ConnectionState::Unusable
    }
}

/// Reads a response stream until its last chunk, the end of the connection, or [`STREAM_IDLE_TIMEOUT`] without data. Records
/// the end in the oracle and returns whether the last chunk arrived. `body` holds the bytes that arrived with the head.
async fn read_stream(
    target: &Target,
    request: &ClientRequest,
    stream: &mut TcpStream,
    mut body: Vec<u8>,
) -> bool {
    if let ReadBehavior::After(pause) = request.read_behavior {
        sleep(pause).await;
    }
    let chunk_bytes = match request.read_behavior {
        ReadBehavior::Slowly => SLOW_READ_CHUNK_BYTES,
        _ => READ_CHUNK_BYTES,
    };
    let mut chunk = vec![0; chunk_bytes];
    let mut recorded_bytes = 0;
    if request.read_behavior == ReadBehavior::AtOnce {
        recorded_bytes = record_event_delays(target, request, &body);
    }
    while !body.ends_with(LAST_CHUNK) {
        match timeout(STREAM_IDLE_TIMEOUT, stream.read(&mut chunk)).await {
            Ok(Ok(count @ 1..)) => body.extend_from_slice(&chunk[..count]),
            _ => break,
        }
        match request.read_behavior {
            ReadBehavior::AtOnce => {
                recorded_bytes += record_event_delays(target, request, &body[recorded_bytes..]);
            }
            ReadBehavior::Slowly => sleep(SLOW_READ_INTERVAL).await,
            ReadBehavior::After(_) => {}
        }
    }
    let is_complete = body.ends_with(LAST_CHUNK);
    target.oracle.on_stream_ended(&request.id, is_complete);
    is_complete
}

/// Records the delay of each complete event in `bytes`. Returns the number of bytes that were examined; an event that is
/// still incomplete begins behind them.
fn record_event_delays(target: &Target, request: &ClientRequest, bytes: &[u8]) -> usize {
    let Some(end) = bytes.windows(2).rposition(|window| window == b"\n\n") else {
        return 0;
    };
    let text = String::from_utf8_lossy(&bytes[..end]);
    for line in text.lines() {
        if let Some(written_at) = parse_written_at(line) {
            target.oracle.on_event(&request.id, written_at);
        }
    }
    end
}

/// The parsed head of a response.
struct ResponseHead {
    status: u16,
    keeps_connection: bool,
    /// Bytes of the body that arrived with the head.
    body: Vec<u8>,
}

/// Reads the head of a response; `None` if the connection ends first or the status line is invalid.
async fn read_response_head(stream: &mut TcpStream) -> Option<ResponseHead> {
    let mut received = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let count = stream.read(&mut chunk).await.ok()?;
        if count == 0 {
            return None;
        }
        received.extend_from_slice(&chunk[..count]);
        let Some((head, body_start)) = split_head(&received) else {
            continue;
        };
        return Some(ResponseHead {
            status: head.split(' ').nth(1)?.parse().ok()?,
            keeps_connection: !head.to_ascii_lowercase().contains("connection: close"),
            body: received.split_off(body_start),
        });
    }
}
