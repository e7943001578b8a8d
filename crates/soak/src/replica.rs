//! Simulated prefill and decode replicas with injected faults.
//!
//! Each dispatcher reaches each replica at an address of its own, so that a fault can affect a single pair. Fault injection
//! sets flags, which the tasks that serve connections poll. Reservations of KV caches, rejections and aborts are recorded
//! in the [`Oracle`] before the dispatcher can learn of them. The oracle also decides whether a KV cache is reserved, since
//! the decode replicas consume what the prefill replicas reserve.

use crate::oracle::{AttemptArrival, AttemptOutcome, Oracle};
use crate::stream_plan::{self, StreamPlan};
use crate::wire::{self, Message};
use quartzhall::routing::api::Role;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Time between two checks of the fault flags.
const FAULT_POLL_INTERVAL: Duration = Duration::from_millis(4);
/// The shortest time from the arrival of an attempt to the response, or to the start of the stream, in milliseconds.
const MIN_RESPONSE_DELAY_MS: u64 = 5;
/// Exclusive upper bound of the time from the arrival of a prefill attempt to its response, in milliseconds.
const MAX_PREFILL_DELAY_MS: u64 = 150;
/// Exclusive upper bound of the time from the arrival of a decode attempt to the start of its stream, in milliseconds.
const MAX_DECODE_DELAY_MS: u64 = 500;
/// Difference between the seeds of two successive attempts at a replica.
const ATTEMPT_SEED_STEP: u64 = 0x9e37_79b9;

/// Headers of a rejection. `X-Never-Ran` states that the attempt was not executed, so that any request may be retried.
const NEVER_RAN_HEADERS: &str = "X-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";

/// Returns how long ago discovery told a dispatcher (first argument) that a replica (second argument) is draining; `None`
/// if it is not.
pub type TimeSinceDrainNotice = Arc<dyn Fn(usize, usize) -> Option<Duration> + Send + Sync>;

/// The faults of a replica that are active at the moment; set and cleared by fault injection.
#[derive(Default)]
pub struct ActiveFaults {
    /// It accepts connections and reads data, but neither executes nor sends anything.
    pub is_stalled: AtomicBool,
    /// It has crashed: it resets all connections and does not listen.
    pub is_killed: AtomicBool,
    /// It resets the connection instead of responding to a prefill attempt that has succeeded.
    pub loses_responses: AtomicBool,
    /// It responds with status 500.
    pub returns_errors: AtomicBool,
    /// It rejects attempts with status 503.
    pub is_overloaded: AtomicBool,
    /// It resets the connections of its streams after the current event.
    pub aborts_streams: AtomicBool,
}

/// The faults of one connection, which last until it is closed.
#[derive(Default)]
struct ConnectionFaults {
    is_silent: AtomicBool,
    is_reset: AtomicBool,
}

/// A connection from a dispatcher.
struct Connection {
    process: usize,
    stream: TcpStream,
    received: Vec<u8>, // bytes that are read and not yet parsed
    faults: Arc<ConnectionFaults>,
}

/// A connection that faults can be injected into. The weak reference expires when the connection's task ends.
struct TrackedConnection {
    process: usize,
    faults: Weak<ConnectionFaults>,
}

/// The reason for the end of a connection.
enum ConnectionEnd {
    /// The dispatcher has closed the connection, or the connection failed.
    Closed,
    /// The replica has to reset the connection, because of a fault.
    Reset,
}

/// How an attempt ended, and whether its connection remains usable.
type AttemptEnd = (AttemptOutcome, Result<(), ConnectionEnd>);

/// A simulated replica, which serves all dispatchers.
pub struct Replica {
    number: usize,
    role: Role,
    oracle: Arc<Oracle>,
    time_since_drain_notice: TimeSinceDrainNotice,
    /// The faults that are active at the moment.
    pub faults: ActiveFaults,
    connections: Mutex<Vec<TrackedConnection>>,
    next_attempt_seed: AtomicU64,
}

fn is_set(flag: &AtomicBool) -> bool {
    flag.load(Ordering::Relaxed)
}

/// Reads into `received` until the peer closes the connection.
async fn read_until_closed(stream: &mut TcpStream, received: &mut Vec<u8>) {
    let mut chunk = [0; 1024];
    while let Ok(count @ 1..) = stream.read(&mut chunk).await {
        received.extend_from_slice(&chunk[..count]);
    }
}

impl Replica {
    /// Creates a replica without active faults. `seed` determines its response delays.
    pub fn new(
        number: usize,
        role: Role,
        seed: u64,
        oracle: Arc<Oracle>,
        time_since_drain_notice: TimeSinceDrainNotice,
    ) -> Arc<Replica> {
        Arc::new(Replica {
            number,
            role,
            oracle,
            time_since_drain_notice,
            faults: ActiveFaults::default(),
            connections: Mutex::default(),
            next_attempt_seed: AtomicU64::new(seed),
        })
    }

    /// Makes the replica stop executing and sending on the connections that dispatcher `process` has open now, until they
    /// are closed. Later connections are not affected.
    pub fn silence_connections(&self, process: usize) {
        for faults in self.connection_faults(process) {
            faults.is_silent.store(true, Ordering::Relaxed);
        }
    }

    /// Makes the replica reset the connections that dispatcher `process` has open now. Later connections are not affected.
    pub fn reset_connections(&self, process: usize) {
        for faults in self.connection_faults(process) {
            faults.is_reset.store(true, Ordering::Relaxed);
        }
    }

    /// Returns the faults of all open connections of a dispatcher, and forgets closed connections.
    fn connection_faults(&self, process: usize) -> Vec<Arc<ConnectionFaults>> {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        connections.retain(|connection| connection.faults.strong_count() > 0);
        connections
            .iter()
            .filter(|connection| connection.process == process)
            .filter_map(|connection| connection.faults.upgrade())
            .collect()
    }

    fn track_connection(&self, process: usize, faults: &Arc<ConnectionFaults>) {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(TrackedConnection {
                process,
                faults: Arc::downgrade(faults),
            });
    }

    /// Serves a dispatcher at `address` until the task is aborted. `first_listener` is already bound to this address. While
    /// the replica is killed the address is not bound, so that connections are refused.
    pub async fn serve(
        self: Arc<Self>,
        process: usize,
        address: SocketAddr,
        first_listener: TcpListener,
    ) {
        let mut listener = Some(first_listener);
        loop {
            if is_set(&self.faults.is_killed) {
                listener = None;
                sleep(FAULT_POLL_INTERVAL).await;
                continue;
            }
            let Some(bound) = &listener else {
                listener = wire::listen(address).ok();
                continue;
            };
            let killed = async {
                while !is_set(&self.faults.is_killed) {
                    sleep(FAULT_POLL_INTERVAL).await;
                }
            };
            tokio::select! {
                accepted = bound.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    let faults = Arc::new(ConnectionFaults::default());
                    self.track_connection(process, &faults);
                    let connection = Connection { process, stream, received: Vec::new(), faults };
                    tokio::spawn(self.clone().serve_connection(connection));
                }
                () = killed => {}
            }
        }
    }

    /// Waits while the replica is stalled or the connection is silenced; returns whether it had to wait.
    async fn wait_while_stalled(&self, connection_faults: &ConnectionFaults) -> bool {
        let mut was_stalled = false;
        while is_set(&self.faults.is_stalled) || is_set(&connection_faults.is_silent) {
            was_stalled = true;
            sleep(FAULT_POLL_INTERVAL).await;
        }
        was_stalled
    }

    /// Waits until a fault requires the connection to be reset.
    async fn wait_until_reset(&self, connection_faults: &ConnectionFaults) {
        while !is_set(&self.faults.is_killed) && !is_set(&connection_faults.is_reset) {
            sleep(FAULT_POLL_INTERVAL).await;
        }
    }

    /// Handles the messages on a connection one after the other. A message that is read during a stall counts as arrived
    /// when the stall ends.
    async fn serve_connection(self: Arc<Self>, mut connection: Connection) {
        let _ = connection.stream.set_nodelay(true);
        loop {
            let message = tokio::select! {
                message = wire::read_message(&mut connection.stream, &mut connection.received) => message,
                () = self.wait_until_reset(&connection.faults) => return wire::close_with_reset(connection.stream),
            };
            let Some(message) = message else { return };
            let was_stalled = tokio::select! {
                was_stalled = self.wait_while_stalled(&connection.faults) => was_stalled,
                () = self.wait_until_reset(&connection.faults) => return wire::close_with_reset(connection.stream),
            };
            match self
                .handle_message(&mut connection, &message, was_stalled)
                .await
            {
                Ok(()) => {}
                Err(ConnectionEnd::Closed) => return,
                Err(ConnectionEnd::Reset) => return wire::close_with_reset(connection.stream),
            }
        }
    }

    /// Handles a release of a KV cache (DELETE) or an attempt (any other method).
    async fn handle_message(
        &self,
        connection: &mut Connection,
        message: &Message,
        is_delayed_by_bench: bool,
    ) -> Result<(), ConnectionEnd> {
        if message.start_line_field(0) == "DELETE" {
            let path = message.start_line_field(1);
            let id = path.trim_start_matches("/kv/leases/").to_owned();
            self.oracle.on_release(&id, self.number);
            return self
                .send_after_stall(connection, "HTTP/1.1 204 No Content\r\n\r\n")
                .await;
        }
        let id = message.header("x-trace-id").unwrap_or_default().to_owned();
        let time_left_ms = message
            .header("x-expires-in-ms")
            .and_then(|value| value.parse().ok());
        let arrival = AttemptArrival {
            replica: self.number,
            role: self.role,
            is_delayed_by_bench,
            time_left_ms,
            time_since_drain_notice: (self.time_since_drain_notice)(
                connection.process,
                self.number,
            ),
        };
        self.oracle.on_attempt_arrived(&id, arrival);
        let plan = StreamPlan::from_request_body(&message.body);
        let (outcome, result) = self.execute_attempt(connection, &id, plan).await;
        self.oracle
            .on_attempt_ended(&id, self.number, self.role, outcome);
        result
    }

    /// Executes an attempt under the active faults. A decode attempt without a reserved KV cache is rejected with
    /// status 410.
    async fn execute_attempt(
        &self,
        connection: &mut Connection,
        id: &str,
        plan: StreamPlan,
    ) -> AttemptEnd {
        if is_set(&self.faults.is_overloaded) {
            return self
                .reject_attempt(connection, id, "503 Service Unavailable")
                .await;
        }
        if self.role == Role::Decode && !self.oracle.is_kv_reserved(id) {
            return self.reject_attempt(connection, id, "410 Gone").await;
        }
        if is_set(&self.faults.returns_errors) {
            let response = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
            let result = self.send_after_stall(connection, response).await;
            return (AttemptOutcome::Other, result);
        }
        let max_delay_ms = if self.role == Role::Prefill {
            MAX_PREFILL_DELAY_MS
        } else {
            MAX_DECODE_DELAY_MS
        };
        let mut rng = self.attempt_rng();
        let response_delay =
            Duration::from_millis(rng.gen_range(MIN_RESPONSE_DELAY_MS..max_delay_ms));
        if let Err(end) = self
            .run_until_connection_ends(connection, sleep(response_delay))
            .await
        {
            return (AttemptOutcome::Other, Err(end));
        }
        if self.role == Role::Prefill {
            self.finish_prefill(connection, id).await
        } else {
            self.decode(connection, id, plan).await
        }
    }

    /// Creates the random generator of the next attempt.
    fn attempt_rng(&self) -> Pcg32 {
        Pcg32::seed_from_u64(
            self.next_attempt_seed
                .fetch_add(ATTEMPT_SEED_STEP, Ordering::Relaxed),
        )
    }

    /// Responds that an attempt was not executed.
    async fn reject_attempt(
        &self,
        connection: &mut Connection,
        id: &str,
        status: &str,
    ) -> AttemptEnd {
        self.oracle.on_attempt_rejected(id, self.number, self.role);
        let response = format!("HTTP/1.1 {status}\r\n{NEVER_RAN_HEADERS}");
        let result = self.send_after_stall(connection, &response).await;
        (AttemptOutcome::NeverRan, result)
    }

    /// Reserves the KV cache of a prompt and responds.
    async fn finish_prefill(&self, connection: &mut Connection, id: &str) -> AttemptEnd {
        self.oracle.on_kv_reserved(id, self.number);
        if is_set(&self.faults.loses_responses) {
            // The KV cache stays reserved, although the dispatcher does not learn that prefill succeeded.
            return (AttemptOutcome::Prefilled, Err(ConnectionEnd::Reset));
        }
        let response = "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}";
        let result = self.send_after_stall(connection, response).await;
        (AttemptOutcome::Prefilled, result)
    }

    /// Consumes the reserved KV cache and streams the response.
    async fn decode(&self, connection: &mut Connection, id: &str, plan: StreamPlan) -> AttemptEnd {
        if !self.oracle.consume_kv(id, self.number) {
            return (AttemptOutcome::Other, Err(ConnectionEnd::Reset));
        }
        match self.stream_events(connection, id, plan).await {
            Ok(()) => (AttemptOutcome::Streamed, Ok(())),
            Err(end) => {
                match end {
                    ConnectionEnd::Closed => self.oracle.on_stream_closed_by_dispatcher(id),
                    ConnectionEnd::Reset => self.oracle.on_stream_aborted(id),
                }
                (AttemptOutcome::Other, Err(end))
            }
        }
    }

    /// Streams the events of `plan`. An error leaves the stream incomplete.
    async fn stream_events(
        &self,
        connection: &mut Connection,
        id: &str,
        plan: StreamPlan,
    ) -> Result<(), ConnectionEnd> {
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        self.send_after_stall(connection, head).await?;
        for number in 0..plan.events {
            // Waits for the end of a stall first, so that an event's timestamp is the time at which it is written.
            self.run_until_connection_ends(connection, async {}).await?;
            let event = stream_plan::format_event(id, number, plan.event_bytes);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            self.write_now(connection, &chunk).await?;
            let connection_faults = connection.faults.clone();
            let wait_for_next_event = async {
                sleep(plan.delay_after(number)).await;
                let is_stalled =
                    is_set(&self.faults.is_stalled) || is_set(&connection_faults.is_silent);
                self.oracle.on_stream_stalled(id, is_stalled);
            };
            self.run_until_connection_ends(connection, wait_for_next_event)
                .await?;
            self.oracle.on_stream_stalled(id, false);
            if is_set(&self.faults.aborts_streams) {
                return Err(ConnectionEnd::Reset);
            }
        }
        self.send_after_stall(connection, "0\r\n\r\n").await
    }

    /// Completes `work`, and then waits for the end of any stall, unless the connection is closed or has to be reset first.
    async fn run_until_connection_ends<T>(
        &self,
        connection: &mut Connection,
        work: impl Future<Output = T>,
    ) -> Result<T, ConnectionEnd> {
        let Connection {
            stream,
            received,
            faults,
            ..
        } = connection;
        let work_and_stalls = async {
            let output = work.await;
            self.wait_while_stalled(faults).await;
            output
        };
        tokio::select! {
            output = work_and_stalls => Ok(output),
            () = read_until_closed(stream, received) => Err(ConnectionEnd::Closed),
            () = self.wait_until_reset(faults) => Err(ConnectionEnd::Reset),
        }
    }

    /// Sends a text once no stall is active.
    async fn send_after_stall(
        &self,
        connection: &mut Connection,
        text: &str,
    ) -> Result<(), ConnectionEnd> {
        self.run_until_connection_ends(connection, async {}).await?;
        self.write_now(connection, text).await
    }

    /// Sends a text without regard to stalls.
    async fn write_now(
        &self,
        connection: &mut Connection,
        text: &str,
    ) -> Result<(), ConnectionEnd> {
        connection
            .stream
            .write_all(text.as_bytes())
            .await
            .map_err(|_| ConnectionEnd::Closed)
    }
}
