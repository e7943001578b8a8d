//! A process serves the streams that it receives from another process like its own. The dispatcher's core, backend and
//! listener run in the test's process, on a paused clock.

mod testbed;

use axum::Router;
use bytes::Bytes;
use miniserde::json;
use quartzhall::backend::{self, StreamMigration};
use quartzhall::config::{Deployment, SettingsObject};
use quartzhall::dispatcher::{self, Clock, Core, DispatcherHandle, DrainSchedule, Event};
use quartzhall::frontend::http::StreamResumer;
use quartzhall::frontend::listener::{self, MigrationChannels};
use quartzhall::frontend::memory_budget::ClientMemoryBudget;
use quartzhall::frontend::{http, ShutdownPhase};
use quartzhall::net::adjustable_semaphore::AdjustableSemaphore;
use quartzhall::net::message_framing::ChunkedDecoder;
use quartzhall::upgrade::request_claims::RequestClaims;
use quartzhall::upgrade::stream_migration::{
    self, migration_signal, ClientState, ConnectionState, MigratingStream, MigrationHandle,
    ReceivedStream, ReceivedUpstream, ReceiverProcess, UpstreamState,
};
use slog::{o, Discard, Logger};
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UnixListener};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout, Instant};

const MAX_CONNECTIONS: usize = 4;
/// Number of 16 KB events that exceeds what the buffers of all sockets of a stream can hold.
const STALLED_STREAM_EVENTS: usize = 1_000;
/// A chunk that contains one event.
const CHUNK: &str = "9\r\ndata: 1\n\n\r\n";
const LAST_CHUNK: &str = "0\r\n\r\n";
const GET_READY: &str = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";

/// A process that receives streams.
struct ReceivingProcess {
    streams: mpsc::Sender<ReceivedStream>,
    dispatcher: DispatcherHandle,
    clients: AdjustableSemaphore,
    endpoints: AdjustableSemaphore,
    shutdown: watch::Sender<ShutdownPhase>,
    set_migration_due: watch::Sender<bool>,
    migrating: mpsc::Receiver<MigratingStream>,
    listener_task: JoinHandle<()>,
}

fn deployment() -> Arc<Deployment> {
    let settings: SettingsObject = json::from_str(testbed::SETTINGS).unwrap();
    Arc::new(Deployment::new(&settings).unwrap())
}

fn routes(dispatcher: &DispatcherHandle, log: &Logger) -> Router {
    http::routes(
        dispatcher.clone(),
        ClientMemoryBudget::new(1_000),
        RequestClaims::disabled(),
        log.clone(),
    )
}

impl ReceivingProcess {
    async fn start() -> ReceivingProcess {
        let log = Logger::root(Discard, o!());
        let deployment = deployment();
        let clock = Clock::start();
        let (dispatcher, events) = dispatcher::channel(deployment.clone());
        let core = Core::new(deployment.clone(), 100, 7, clock.now(), log.clone());
        let (commands, backend_commands) = mpsc::channel(64);
        tokio::spawn(dispatcher::run(core, clock, events, commands, None, None));
        let (set_migration_due, signal) = migration_signal();
        let (attempts, received_attempts) = mpsc::channel(4);
        let endpoints = AdjustableSemaphore::new(MAX_CONNECTIONS);
        tokio::spawn(backend::run(
            backend_commands,
            dispatcher.clone(),
            deployment.limits,
            endpoints.clone(),
            HashSet::new(),
            StreamMigration {
                signal: signal.clone(),
                received_attempts,
            },
            log.clone(),
        ));
        let (shutdown, phase) = watch::channel(ShutdownPhase::Serving);
        let (streams, received) = mpsc::channel(4);
        let (migrating_streams, migrating) = mpsc::channel(4);
        let migration_channels = MigrationChannels {
            migration_sender: Some(MigrationHandle {
                streams: migrating_streams,
                signal,
            }),
            received,
            resumer: Some(StreamResumer {
                dispatcher: dispatcher.clone(),
                attempts,
                claims: RequestClaims::disabled(),
            }),
            // The listener does not accept new connections, as in a process that is not serving yet.
            accepts: watch::channel(false).1,
            client_memory: ClientMemoryBudget::new(1_000),
        };
        let clients = AdjustableSemaphore::new(MAX_CONNECTIONS);
        let listener_task = tokio::spawn(listener::serve_with_migration(
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
            routes(&dispatcher, &log),
            clients.clone(),
            phase,
            migration_channels,
            log,
        ));
        ReceivingProcess {
            streams,
            dispatcher,
            clients,
            endpoints,
            shutdown,
            set_migration_due,
            migrating,
            listener_task,
        }
    }

    /// Lets the process receive a stream, and returns the sockets of the stream's client and endpoint.
    async fn receive(&self, idle_for: Duration, connection: ConnectionState) -> StreamPeers {
        let state = UpstreamState {
            chunks: ChunkedDecoder::default(),
            partial_event: Bytes::new(),
            idle_for,
        };
        self.receive_in_state(state, connection).await
    }

    /// Does the same as [`ReceivingProcess::receive`] with this state of the endpoint's side.
    async fn receive_in_state(
        &self,
        state: UpstreamState,
        connection: ConnectionState,
    ) -> StreamPeers {
        let (client_socket, client) = socket_pair().await;
        let (upstream_socket, endpoint) = socket_pair().await;
        let received = ReceivedStream {
            client: client_socket,
            client_state: ClientState {
                client_request_id: Some("received".into()),
                connection,
            },
            upstream: ReceivedUpstream {
                socket: upstream_socket,
                state,
            },
        };
        self.streams.send(received).await.unwrap();
        StreamPeers { client, endpoint }
    }

    /// Waits until this number of requests is open; panics after 10 s.
    async fn wait_for_open_requests(&self, count: usize) {
        let wait = async {
            while self.dispatcher.open_requests() != count {
                // The paused clock advances only while all tasks wait, and a stream that retries its migration waits
                // for it.
                sleep(Duration::from_millis(1)).await;
            }
        };
        timeout(Duration::from_secs(10), wait).await.unwrap();
    }
}

/// Returns a connected pair: the dispatcher's socket and its peer's.
async fn socket_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (connected, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    let (accepted, connected) = (accepted.unwrap().0, connected.unwrap());
    // Without this, a second small write waits for the acknowledgement of the first, in real time.
    connected.set_nodelay(true).unwrap();
    (accepted, connected)
}

/// The state of a connection that has nothing buffered and is kept after the response.
fn kept_connection() -> ConnectionState {
    ConnectionState {
        unsent: Bytes::new(),
        pipelined: Bytes::new(),
        closes_after_response: false,
    }
}

/// The client's and the endpoint's sockets of a stream.
struct StreamPeers {
    client: TcpStream,
    endpoint: TcpStream,
}

impl StreamPeers {
    /// Writes this text as the endpoint.
    async fn send(&mut self, text: &str) {
        self.endpoint.write_all(text.as_bytes()).await.unwrap();
    }

    /// Reads as the client until what was read ends with `suffix`, or to the end of the connection if `suffix` is
    /// empty.
    async fn read_until(&mut self, suffix: &str) -> String {
        let mut text = Vec::new();
        while suffix.is_empty() || !text.ends_with(suffix.as_bytes()) {
            match self.client.read_buf(&mut text).await {
                Ok(0) | Err(_) => break,
                Ok(_) => {}
            }
        }
        String::from_utf8(text).unwrap()
    }
}

#[tokio::test(start_paused = true)]
async fn received_stream_is_whole_counted_and_its_connection_kept() {
    let receiver = ReceivingProcess::start().await;
    let mut stream = receiver.receive(Duration::ZERO, kept_connection()).await;
    stream.send(CHUNK).await;
    assert_eq!(stream.read_until(CHUNK).await, CHUNK);
    assert_eq!(receiver.dispatcher.open_requests(), 1);
    assert_eq!(
        (receiver.clients.in_use(), receiver.endpoints.in_use()),
        (1, 1)
    );
    stream.send(&[CHUNK, LAST_CHUNK].concat()).await;
    let rest = stream.read_until(LAST_CHUNK).await;
    assert_eq!(rest, [CHUNK, LAST_CHUNK].concat());
    receiver.wait_for_open_requests(0).await;
    assert_eq!(receiver.endpoints.in_use(), 0);
    // The client was not told that the connection is closed, and sends its next request on it.
    stream.client.write_all(GET_READY.as_bytes()).await.unwrap();
    assert!(stream.read_until("\n").await.starts_with("HTTP/1.1 503"));
}

#[tokio::test(start_paused = true)]
async fn connection_ends_with_the_response_where_the_client_was_told_so() {
    let receiver = ReceivingProcess::start().await;
    let mut connection = kept_connection();
    connection.closes_after_response = true;
    let mut stream = receiver.receive(Duration::ZERO, connection).await;
    stream.send(&[CHUNK, LAST_CHUNK].concat()).await;
    assert_eq!(stream.read_until("").await, [CHUNK, LAST_CHUNK].concat());
}

/// The unsent bytes of the response come first, and the pipelined request is answered.
#[tokio::test(start_paused = true)]
async fn buffered_bytes_of_the_connection_come_along() {
    let receiver = ReceivingProcess::start().await;
    let connection = ConnectionState {
        unsent: Bytes::from_static(b"ata: 0\n\n\r\n"),
        pipelined: Bytes::from_static(GET_READY.as_bytes()),
        closes_after_response: false,
    };
    let mut stream = receiver.receive(Duration::ZERO, connection).await;
    stream.send(&[CHUNK, LAST_CHUNK].concat()).await;
    let text = stream.read_until("starting\n").await;
    let response = ["ata: 0\n\n\r\n", CHUNK, LAST_CHUNK].concat();
    assert!(text.starts_with(&response), "{text}");
    assert!(text[response.len()..].starts_with("HTTP/1.1 503"), "{text}");
}

/// A received stream has the same idle timeout as one that the process has started, 4.7 s.
#[tokio::test(start_paused = true)]
async fn silent_endpoint_is_waited_for_as_long_as_one_of_an_own_stream() {
    let receiver = ReceivingProcess::start().await;
    let mut stream = receiver.receive(Duration::ZERO, kept_connection()).await;
    receiver.wait_for_open_requests(1).await;
    sleep(Duration::from_millis(4_400)).await;
    stream.send(CHUNK).await;
    assert_eq!(stream.read_until(CHUNK).await, CHUNK);
    let idle_since = Instant::now();
    assert_eq!(stream.read_until("").await, "", "without the last chunk");
    let idle_time = idle_since.elapsed();
    assert!(idle_time > Duration::from_millis(4_600) && idle_time < Duration::from_millis(4_900));
    receiver.wait_for_open_requests(0).await;
}

/// The idle time before the migration, 3 s, counts toward the idle timeout of 4.7 s.
#[tokio::test(start_paused = true)]
async fn silence_before_the_migration_counts() {
    let receiver = ReceivingProcess::start().await;
    let started_at = Instant::now();
    let idle_for = Duration::from_millis(3_000);
    let mut stream = receiver.receive(idle_for, kept_connection()).await;
    assert_eq!(stream.read_until("").await, "");
    let idle_time = started_at.elapsed();
    assert!(idle_time > Duration::from_millis(1_600) && idle_time < Duration::from_millis(1_900));
}

/// Guards against a long event that is cut because the stream has migrated while it is written.
#[tokio::test(start_paused = true)]
async fn long_event_that_is_written_slowly_is_not_cut_by_a_migration() {
    let receiver = ReceivingProcess::start().await;
    let state = UpstreamState {
        chunks: ChunkedDecoder::default(),
        partial_event: "data: a".into(),
        idle_for: Duration::from_millis(6_000),
    };
    let mut stream = receiver.receive_in_state(state, kept_connection()).await;
    for piece in ["1\r\nb\r\n", "1\r\nc\r\n", "2\r\n\n\n\r\n"] {
        sleep(Duration::from_millis(2_900)).await;
        stream.send(piece).await;
    }
    stream.send(LAST_CHUNK).await;
    let received = stream.read_until(LAST_CHUNK).await;
    assert!(received.contains("data: abc\n\n"), "{received:?}");
}

#[tokio::test(start_paused = true)]
async fn broken_stream_ends_without_the_last_chunk() {
    let receiver = ReceivingProcess::start().await;
    let mut stream = receiver.receive(Duration::ZERO, kept_connection()).await;
    stream.send(CHUNK).await;
    assert_eq!(stream.read_until(CHUNK).await, CHUNK);
    stream.endpoint.shutdown().await.unwrap();
    assert_eq!(stream.read_until("").await, "");
    receiver.wait_for_open_requests(0).await;
}

#[tokio::test(start_paused = true)]
async fn endpoint_connection_is_closed_when_the_client_disconnects() {
    let receiver = ReceivingProcess::start().await;
    let stream = receiver.receive(Duration::ZERO, kept_connection()).await;
    receiver.wait_for_open_requests(1).await;
    let StreamPeers {
        client,
        mut endpoint,
    } = stream;
    drop(client);
    let mut rest = Vec::new();
    let closed = timeout(Duration::from_millis(100), endpoint.read_to_end(&mut rest)).await;
    assert!(closed.is_ok());
    receiver.wait_for_open_requests(0).await;
}

/// Streams that arrive while all permits are in use are served, and counted beyond the limit.
#[tokio::test(start_paused = true)]
async fn received_streams_count_beyond_the_limits() {
    let receiver = ReceivingProcess::start().await;
    let count = MAX_CONNECTIONS + 3;
    let mut streams = Vec::new();
    for _ in 0..count {
        streams.push(receiver.receive(Duration::ZERO, kept_connection()).await);
    }
    receiver.wait_for_open_requests(count).await;
    for stream in &mut streams {
        stream.send(CHUNK).await;
        assert_eq!(stream.read_until(CHUNK).await, CHUNK);
    }
    for limit in [&receiver.clients, &receiver.endpoints] {
        assert_eq!((limit.in_use(), limit.over_limit()), (count, 3));
    }
    drop(streams);
    receiver.wait_for_open_requests(0).await;
    assert_eq!(receiver.clients.over_limit(), 0);
}

/// A process that shuts down finishes the streams that it has received, and still receives others until the last one
/// has ended.
#[tokio::test(start_paused = true)]
async fn process_that_closes_finishes_received_streams_and_then_takes_none() {
    let receiver = ReceivingProcess::start().await;
    let mut first = receiver.receive(Duration::ZERO, kept_connection()).await;
    receiver.wait_for_open_requests(1).await;
    receiver.shutdown.send(ShutdownPhase::Closing).unwrap();
    first.send(CHUNK).await;
    assert_eq!(first.read_until(CHUNK).await, CHUNK);
    let mut second = receiver.receive(Duration::ZERO, kept_connection()).await;
    for stream in [&mut first, &mut second] {
        stream.send(LAST_CHUNK).await;
        assert!(stream.read_until("").await.ends_with(LAST_CHUNK));
    }
    receiver.listener_task.await.unwrap();
    assert!(receiver.streams.reserve().await.is_err());
}

/// A received stream migrates again while its client reads nothing: the unsent bytes migrate with it.
#[tokio::test(start_paused = true)]
async fn stream_of_a_stalled_client_migrates_and_is_whole() {
    let mut first = ReceivingProcess::start().await;
    let second = ReceivingProcess::start().await;
    let socket_path = std::env::temp_dir().join(format!(
        "quartzhall-received-{}-stalled.sock",
        std::process::id()
    ));
    let listener = UnixListener::bind(&socket_path).unwrap();
    let log = Logger::root(Discard, o!());
    tokio::spawn(stream_migration::receive_streams(
        listener,
        second.streams.clone(),
        log.clone(),
    ));
    let process = ReceiverProcess {
        started_at: 1,
        socket_path: socket_path.clone(),
    };
    let migrating = std::mem::replace(&mut first.migrating, mpsc::channel(1).1);
    tokio::spawn(stream_migration::send_streams(
        move || Some(process.clone()),
        migrating,
        log,
    ));
    let StreamPeers {
        mut client,
        mut endpoint,
    } = first.receive(Duration::ZERO, kept_connection()).await;
    // More than the sockets' buffers hold, so that backpressure reaches the endpoint.
    let event = format!("data: {}\n\n", "x".repeat(16_376));
    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
    let response = [chunk.repeat(STALLED_STREAM_EVENTS), LAST_CHUNK.to_owned()].concat();
    let written = response.clone();
    let endpoint = tokio::spawn(async move {
        endpoint.write_all(written.as_bytes()).await.unwrap();
        endpoint
    });
    // The paused clock advances only when all tasks wait, so all buffers are full after the sleep.
    sleep(Duration::from_millis(500)).await;
    assert!(!endpoint.is_finished());
    first.set_migration_due.send(true).unwrap();
    second.wait_for_open_requests(1).await;
    first.wait_for_open_requests(0).await;
    let mut received = vec![0; response.len()];
    client.read_exact(&mut received).await.unwrap();
    assert!(received == response.as_bytes(), "every byte once, in order");
    endpoint.await.unwrap();
    second.wait_for_open_requests(0).await;
    std::fs::remove_file(socket_path).unwrap();
}

/// A request that came with a received stream is refused if it would begin late in the shutdown of the process that has it.
#[tokio::test(start_paused = true)]
async fn request_behind_a_received_stream_is_refused_late_in_a_shutdown() {
    const POST: &str = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Trace-Id: c\r\nX-Qos: return-request\r\nX-Customer: acme\r\nX-Object: 7f3a\r\nX-Expires-In-Ms: 9000\r\nX-Props: prompt_len=500,max_out=100\r\nContent-Length: 2\r\n\r\n{}";
    let receiver = ReceivingProcess::start().await;
    let connection = ConnectionState {
        unsent: Bytes::new(),
        pipelined: Bytes::from_static(POST.as_bytes()),
        closes_after_response: false,
    };
    let mut stream = receiver.receive(Duration::ZERO, connection).await;
    receiver.wait_for_open_requests(1).await;
    let schedule = DrainSchedule {
        admit_within: Duration::from_millis(550),
        respond_within: Duration::from_millis(3_200),
    };
    receiver.dispatcher.send(Event::Drain(schedule)).await;
    receiver.shutdown.send(ShutdownPhase::Closing).unwrap();
    sleep(Duration::from_millis(600)).await;
    stream.send(&[CHUNK, LAST_CHUNK].concat()).await;
    let text = stream.read_until("").await;
    let (response, refusal) = text.split_once(LAST_CHUNK).unwrap();
    assert_eq!(response, CHUNK);
    assert!(
        refusal.starts_with("HTTP/1.1 503") && refusal.contains("retry-after: 0.000"),
        "{refusal}"
    );
    receiver.wait_for_open_requests(0).await;
}
