//! Simulated prefill and decode replicas with injected faults.
//!
//! Each dispatcher reaches each replica at an address of its own, so that a fault can affect one pair. A [`Replica`] owns its
//! fault flags and knows its open connections; what it observes goes to the [`Oracle`].

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

/// Between two checks of the fault flags.
const FLAG_POLL_INTERVAL: Duration = Duration::from_millis(4);
/// Work times are drawn from this to the role's maximum, in milliseconds.
const MIN_WORK_MS: u64 = 5;
const MAX_PREFILL_MS: u64 = 150;
const MAX_DECODE_START_MS: u64 = 500;
/// Distance between the seeds of two attempts.
const SEED_STEP: u64 = 0x9e37_79b9;

/// Head of a rejection, after its status line: the proof that the attempt never ran.
const NEVER_RAN_HEADERS: &str = "X-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";

/// How long ago a dispatcher (first number) was notified that a replica (second number) is draining.
pub type DrainNotifications = Arc<dyn Fn(usize, usize) -> Option<Duration> + Send + Sync>;

/// The faults of a replica that are active now.
#[derive(Default)]
pub struct FaultBehavior {
    /// It accepts connections and bytes, and executes nothing.
    pub is_stalled: AtomicBool,
    /// It has crashed.
    pub is_dead: AtomicBool,
    /// Its responses are lost.
    pub loses_responses: AtomicBool,
    /// It responds with errors.
    pub returns_errors: AtomicBool,
    /// It rejects requests because of overload.
    pub is_overloaded: AtomicBool,
    /// It aborts its streams.
    pub aborts_streams: AtomicBool,
}

/// The faults of one connection.
#[derive(Default)]
struct ConnectionFaults {
    is_silent: AtomicBool,
    is_reset: AtomicBool,
}

/// A connection from a dispatcher.
struct Connection {
    process: usize,
    stream: TcpStream,
    received: Vec<u8>, // bytes that were read and not yet parsed
    faults: Arc<ConnectionFaults>,
}

/// An open connection, as the replica keeps track of it.
struct TrackedConnection {
    process: usize,
    faults: Weak<ConnectionFaults>,
}

/// Why a connection ends.
enum ConnectionEnd {
    /// The peer has closed it.
    Closed,
    /// The replica resets it.
    Reset,
}

/// How an attempt ended, and whether its connection can be used further.
type AttemptEnd = (AttemptOutcome, Result<(), ConnectionEnd>);

/// A simulated replica.
pub struct Replica {
    number: usize,
    role: Role,
    oracle: Arc<Oracle>,
    drain_notifications: DrainNotifications,
    /// Its active faults.
    pub behavior: FaultBehavior,
    connections: Mutex<Vec<TrackedConnection>>,
    next_seed: AtomicU64,
}

fn is_set(flag: &AtomicBool) -> bool {
    flag.load(Ordering::Relaxed)
}

/// Waits until the peer closes the connection; what it sends meanwhile is buffered.
async fn wait_for_close(stream: &mut TcpStream, received: &mut Vec<u8>) {
    let mut chunk = [0; 1024];
    while let Ok(count @ 1..) = stream.read(&mut chunk).await {
        received.extend_from_slice(&chunk[..count]);
    }
}

impl Replica {
    /// Creates a replica without faults.
    pub fn new(
        number: usize,
        role: Role,
        seed: u64,
        oracle: Arc<Oracle>,
        drain_notifications: DrainNotifications,
    ) -> Arc<Replica> {
        Arc::new(Replica {
            number,
            role,
            oracle,
            drain_notifications,
            behavior: FaultBehavior::default(),
            connections: Mutex::default(),
            next_seed: AtomicU64::new(seed),
        })
    }

    /// Silences all open connections of a dispatcher.
    pub fn silence_connections(&self, process: usize) {
        for faults in self.faults_of(process) {
            faults.is_silent.store(true, Ordering::Relaxed);
        }
    }

    /// Resets all open connections of a dispatcher.
    pub fn reset_connections(&self, process: usize) {
        for faults in self.faults_of(process) {
            faults.is_reset.store(true, Ordering::Relaxed);
        }
    }

    fn faults_of(&self, process: usize) -> Vec<Arc<ConnectionFaults>> {
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

    fn track(&self, process: usize, faults: &Arc<ConnectionFaults>) {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(TrackedConnection {
                process,
                faults: Arc::downgrade(faults),
            });
    }

    /// Serves a dispatcher at this address until the task is aborted. Connections are refused while the replica is dead.
    pub async fn serve(self: Arc<Self>, process: usize, address: SocketAddr, first: TcpListener) {
        let mut listener = Some(first);
        loop {
            if is_set(&self.behavior.is_dead) {
                listener = None;
                sleep(FLAG_POLL_INTERVAL).await;
                continue;
            }
            let Some(open) = &listener else {
                listener = wire::listen(address).ok();
                continue;
            };
            let death = async {
                while !is_set(&self.behavior.is_dead) {
                    sleep(FLAG_POLL_INTERVAL).await;
                }
            };
            tokio::select! {
                accepted = open.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    let faults = Arc::new(ConnectionFaults::default());
                    self.track(process, &faults);
                    let connection = Connection { process, stream, received: Vec::new(), faults };
                    tokio::spawn(self.clone().serve_connection(connection));
                }
                () = death => {}
            }
        }
    }

    /// Waits while the replica is stalled or the connection is silent; returns whether it had to wait.
    async fn wait_while_stalled(&self, faults: &ConnectionFaults) -> bool {
        let mut has_waited = false;
        while is_set(&self.behavior.is_stalled) || is_set(&faults.is_silent) {
            has_waited = true;
            sleep(FLAG_POLL_INTERVAL).await;
        }
        has_waited
    }

    /// Waits until the connection has to be reset.
    async fn wait_for_reset(&self, faults: &ConnectionFaults) {
        while !is_set(&self.behavior.is_dead) && !is_set(&faults.is_reset) {
            sleep(FLAG_POLL_INTERVAL).await;
        }
    }

    async fn serve_connection(self: Arc<Self>, mut connection: Connection) {
        let _ = connection.stream.set_nodelay(true);
        loop {
            let message = tokio::select! {
                message = wire::read_message(&mut connection.stream, &mut connection.received) => message,
                () = self.wait_for_reset(&connection.faults) => return wire::reset(connection.stream),
            };
            let Some(message) = message else { return };
            let is_delayed = tokio::select! {
                has_waited = self.wait_while_stalled(&connection.faults) => has_waited,
                () = self.wait_for_reset(&connection.faults) => return wire::reset(connection.stream),
            };
            match self.respond(&mut connection, &message, is_delayed).await {
                Ok(()) => {}
                Err(ConnectionEnd::Closed) => return,
                Err(ConnectionEnd::Reset) => return wire::reset(connection.stream),
            }
        }
    }

    async fn respond(
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
                .send(connection, "HTTP/1.1 204 No Content\r\n\r\n")
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
            draining_for: (self.drain_notifications)(connection.process, self.number),
        };
        self.oracle.on_attempt_arrived(&id, arrival);
        let plan = StreamPlan::of_request(&message.body);
        let (outcome, result) = self.execute(connection, &id, plan).await;
        self.oracle
            .on_attempt_ended(&id, self.number, self.role, outcome);
        result
    }

    /// Executes an attempt under the active faults.
    async fn execute(&self, connection: &mut Connection, id: &str, plan: StreamPlan) -> AttemptEnd {
        if is_set(&self.behavior.is_overloaded) {
            return self.reject(connection, id, "503 Service Unavailable").await;
        }
        if self.role == Role::Decode && !self.oracle.is_kv_reserved(id) {
            return self.reject(connection, id, "410 Gone").await;
        }
        if is_set(&self.behavior.returns_errors) {
            let response = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
            let result = self.send(connection, response).await;
            return (AttemptOutcome::Other, result);
        }
        let max_work_ms = if self.role == Role::Prefill {
            MAX_PREFILL_MS
        } else {
            MAX_DECODE_START_MS
        };
        let mut rng = self.attempt_rng();
        let work = Duration::from_millis(rng.gen_range(MIN_WORK_MS..max_work_ms));
        if let Err(end) = self.unless_ended(connection, sleep(work)).await {
            return (AttemptOutcome::Other, Err(end));
        }
        if self.role == Role::Prefill {
            self.finish_prefill(connection, id).await
        } else {
            self.decode(connection, id, plan).await
        }
    }

    fn attempt_rng(&self) -> Pcg32 {
        Pcg32::seed_from_u64(self.next_seed.fetch_add(SEED_STEP, Ordering::Relaxed))
    }

    async fn reject(&self, connection: &mut Connection, id: &str, status: &str) -> AttemptEnd {
        self.oracle.on_attempt_rejected(id, self.number, self.role);
        let response = format!("HTTP/1.1 {status}\r\n{NEVER_RAN_HEADERS}");
        let result = self.send(connection, &response).await;
        (AttemptOutcome::NeverRan, result)
    }

    async fn finish_prefill(&self, connection: &mut Connection, id: &str) -> AttemptEnd {
        self.oracle.on_kv_reserved(id, self.number);
        if is_set(&self.behavior.loses_responses) {
            // Prefill has succeeded, and the dispatcher is not notified.
            return (AttemptOutcome::Prefilled, Err(ConnectionEnd::Reset));
        }
        let response = "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}";
        let result = self.send(connection, response).await;
        (AttemptOutcome::Prefilled, result)
    }

    async fn decode(&self, connection: &mut Connection, id: &str, plan: StreamPlan) -> AttemptEnd {
        if !self.oracle.consume_kv(id, self.number) {
            return (AttemptOutcome::Other, Err(ConnectionEnd::Reset));
        }
        match self.stream_events(connection, id, plan).await {
            Ok(()) => (AttemptOutcome::Streamed, Ok(())),
            Err(end) => {
                match end {
                    ConnectionEnd::Closed => self.oracle.on_stream_cut(id),
                    ConnectionEnd::Reset => self.oracle.on_stream_aborted(id),
                }
                (AttemptOutcome::Other, Err(end))
            }
        }
    }

    async fn stream_events(
        &self,
        connection: &mut Connection,
        id: &str,
        plan: StreamPlan,
    ) -> Result<(), ConnectionEnd> {
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        self.send(connection, head).await?;
        for number in 0..plan.events {
            // The event has its time stamp once nothing holds it back here.
            self.unless_ended(connection, async {}).await?;
            let event = stream_plan::event(id, number, plan.event_bytes);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            self.write(connection, &chunk).await?;
            let faults = connection.faults.clone();
            let wait = async {
                sleep(plan.wait_after(number)).await;
                let is_stalled = is_set(&self.behavior.is_stalled) || is_set(&faults.is_silent);
                self.oracle.on_stream_stalled(id, is_stalled);
            };
            self.unless_ended(connection, wait).await?;
            self.oracle.on_stream_stalled(id, false);
            if is_set(&self.behavior.aborts_streams) {
                return Err(ConnectionEnd::Reset);
            }
        }
        self.send(connection, "0\r\n\r\n").await
    }

    /// Does some work unless the connection is closed or reset before; stalls add to the work.
    async fn unless_ended<T>(
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
        let stalled_work = async {
            let done = work.await;
            self.wait_while_stalled(faults).await;
            done
        };
        tokio::select! {
            done = stalled_work => Ok(done),
            () = wait_for_close(stream, received) => Err(ConnectionEnd::Closed),
            () = self.wait_for_reset(faults) => Err(ConnectionEnd::Reset),
        }
    }

    async fn send(&self, connection: &mut Connection, text: &str) -> Result<(), ConnectionEnd> {
        self.unless_ended(connection, async {}).await?;
        self.write(connection, text).await
    }

    async fn write(&self, connection: &mut Connection, text: &str) -> Result<(), ConnectionEnd> {
        connection
            .stream
            .write_all(text.as_bytes())
            .await
            .map_err(|_| ConnectionEnd::Closed)
    }
}
