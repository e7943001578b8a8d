//! What a client's connection is doing, and for how long it may.
//!
//! A [`ClientConnection`] is shared by the connection's task, its socket and its listener. It owns the time limits of
//! the connection; the listener owns the limit on their number.

use super::ShutdownPhase;
use crate::net::message_framing::RequestFraming;
use crate::upgrade::stream_migration::SharedMigrationSlot;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, sleep_until, Instant};

/// For a request's complete head: from the connection's start, or from the first byte of a later request.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_millis(2200);
/// A connection that is idle for longer is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);
/// At the limit, a connection that has been idle for so long is closed for a new one.
pub(super) const REPLACEABLE_IDLE_TIME: Duration = Duration::from_millis(2000);
/// A client that reads nothing of its response for so long is disconnected, so that its endpoint is released.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// At the limit, a connection that has sent nothing at all is closed sooner: a client connects when it has a request, so
/// that the request has arrived by the time the connection is accepted, and crowds of silent connections would keep
/// clients waiting for seconds.
pub(super) const REPLACEABLE_SILENT_TIME: Duration = Duration::from_millis(300);
/// During the shutdown, how often a connection is checked for a request that has begun to arrive.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionPhase {
    /// Nothing has arrived yet.
    New,
    /// Between two requests.
    Idle,
    /// A request's head has begun to arrive.
    ReadingHead,
    /// A request is in flight.
    RequestInFlight,
}

#[derive(Clone, Copy)]
struct PhaseState {
    phase: ConnectionPhase,
    since: Instant,
}

impl PhaseState {
    fn starting_now(phase: ConnectionPhase) -> PhaseState {
        PhaseState {
            phase,
            since: Instant::now(),
        }
    }
}

/// The state of one connection.
pub(super) struct ClientConnection {
    phase_state: Mutex<PhaseState>,
    write_blocked_since: Mutex<Option<Instant>>,
    framing: Mutex<RequestFraming>,
    completed_responses: AtomicU64,
    /// Wakes the task that reads on when the response in flight is complete.
    read_waker: Mutex<Option<Waker>>,
    migration_slot: SharedMigrationSlot,
    /// The client was told that the connection ends with the response in flight.
    closes_after_response: AtomicBool,
    /// A further request, or its beginning, has been read behind the one in flight.
    has_pipelined: AtomicBool,
    /// Notified when a time limit may have changed.
    limits_changed: Notify,
    close_requested: Notify,
}

impl ClientConnection {
    pub(super) fn new() -> Arc<ClientConnection> {
        Arc::new(ClientConnection {
            phase_state: Mutex::new(PhaseState::starting_now(ConnectionPhase::New)),
            write_blocked_since: Mutex::default(),
            framing: Mutex::default(),
            completed_responses: AtomicU64::new(0),
            read_waker: Mutex::default(),
            migration_slot: SharedMigrationSlot::default(),
            closes_after_response: AtomicBool::new(false),
            has_pipelined: AtomicBool::new(false),
            limits_changed: Notify::new(),
            close_requested: Notify::new(),
        })
    }

    fn phase_state(&self) -> MutexGuard<'_, PhaseState> {
        self.phase_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set_phase(&self, phase: ConnectionPhase) {
        *self.phase_state() = PhaseState::starting_now(phase);
        self.limits_changed.notify_one();
    }

    pub(super) fn framing(&self) -> MutexGuard<'_, RequestFraming> {
        self.framing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn read_waker(&self) -> MutexGuard<'_, Option<Waker>> {
        self.read_waker
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn write_blocked_since(&self) -> MutexGuard<'_, Option<Instant>> {
        self.write_blocked_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Where a response's stream is offered for migration to a successor process.
    pub(super) fn migration_slot(&self) -> &SharedMigrationSlot {
        &self.migration_slot
    }

    /// Records that the client is told that the connection ends with the response in flight.
    pub(super) fn set_closes_after_response(&self) {
        self.closes_after_response.store(true, Ordering::Relaxed);
    }

    /// Whether the client was told that the connection ends with the response in flight.
    pub(super) fn closes_after_response(&self) -> bool {
        self.closes_after_response.load(Ordering::Relaxed)
    }

    /// Records whether bytes of a further request have been read behind the one in flight.
    pub(super) fn set_has_pipelined(&self, has_pipelined: bool) {
        self.has_pipelined.store(has_pipelined, Ordering::Relaxed);
    }

    /// Whether the connection owes an answer beyond the one in flight: a request that was read is answered, also where
    /// the client sent it before the first response has ended.
    fn owes_further_response(&self) -> bool {
        self.has_pipelined.load(Ordering::Relaxed) && !self.closes_after_response()
    }

    /// Asks the connection to close, which it does if it is still replaceable.
    pub(super) fn request_close(&self) {
        self.close_requested.notify_one();
    }

    /// Records bytes that have arrived, and returns how many of them belong to the current request. The first bytes of a
    /// connection don't extend its time for the head.
    pub(super) fn on_bytes_received(&self, bytes: &[u8]) -> usize {
        let request_bytes = self.framing().feed(bytes);
        let mut state = self.phase_state();
        match state.phase {
            ConnectionPhase::New => state.phase = ConnectionPhase::ReadingHead,
            ConnectionPhase::Idle => {
                *state = PhaseState::starting_now(ConnectionPhase::ReadingHead);
            }
            ConnectionPhase::ReadingHead | ConnectionPhase::RequestInFlight => {
                return request_bytes;
            }
        }
        drop(state);
        self.limits_changed.notify_one();
        request_bytes
    }

    /// Whether a complete request has no complete response yet. If so, the task is woken when it has.
    pub(super) fn is_response_pending(&self, context: &Context<'_>) -> bool {
        let is_pending =
            self.framing().completed_requests() > self.completed_responses.load(Ordering::Relaxed);
        *self.read_waker() = if is_pending {
            Some(context.waker().clone())
        } else {
            None
        };
        is_pending
    }

    pub(super) fn on_response_completed(&self) {
        self.completed_responses.fetch_add(1, Ordering::Relaxed);
        self.set_phase(ConnectionPhase::Idle);
        if let Some(waker) = self.read_waker().take() {
            waker.wake();
        }
    }

    /// Records whether the client has read some of a response, or its receive window is full.
    pub(super) fn on_write_polled<T>(&self, written: &Poll<T>) {
        let mut write_blocked_since = self.write_blocked_since();
        if written.is_ready() {
            *write_blocked_since = None;
        } else if write_blocked_since.is_none() {
            *write_blocked_since = Some(Instant::now());
            self.limits_changed.notify_one();
        }
    }

    /// From when on the connection may be closed for a new one: while neither side owes the other anything.
    pub(super) fn replaceable_at(&self) -> Option<Instant> {
        if self.write_blocked_since().is_some() {
            return None; // the last of a response is still to be sent
        }
        let PhaseState { phase, since } = *self.phase_state();
        match phase {
            ConnectionPhase::New => Some(since + REPLACEABLE_SILENT_TIME),
            ConnectionPhase::Idle => Some(since + REPLACEABLE_IDLE_TIME),
            ConnectionPhase::ReadingHead | ConnectionPhase::RequestInFlight => None,
        }
    }

    /// When the connection expires in its present phase; `None` if that has no time limit.
    fn expires_at(&self) -> Option<Instant> {
        let write_stalls_at = self
            .write_blocked_since()
            .map(|since| since + WRITE_STALL_TIMEOUT);
        let PhaseState { phase, since } = *self.phase_state();
        match phase {
            ConnectionPhase::New | ConnectionPhase::ReadingHead => {
                Some(since + REQUEST_HEAD_TIMEOUT)
            }
            ConnectionPhase::Idle => write_stalls_at.or(Some(since + IDLE_TIMEOUT)),
            ConnectionPhase::RequestInFlight => write_stalls_at,
        }
    }

    /// Returns when the dispatcher shuts down and no request has begun to arrive: a new client sends its request at once,
    /// and half a head is completed or runs into its timeout.
    pub(super) async fn wait_until_closable(&self, shutdown: &mut watch::Receiver<ShutdownPhase>) {
        let _ = shutdown
            .wait_for(|phase| *phase == ShutdownPhase::Closing)
            .await;
        loop {
            // What has arrived by now is read first.
            tokio::task::yield_now().await;
            let PhaseState { phase, since } = *self.phase_state();
            match phase {
                ConnectionPhase::RequestInFlight if self.owes_further_response() => {
                    sleep(SHUTDOWN_POLL_INTERVAL).await;
                }
                ConnectionPhase::Idle | ConnectionPhase::RequestInFlight => return,
                ConnectionPhase::New if since.elapsed() >= REPLACEABLE_SILENT_TIME => return,
                ConnectionPhase::New | ConnectionPhase::ReadingHead => {
                    sleep(SHUTDOWN_POLL_INTERVAL).await;
                }
            }
        }
    }

    /// Whether a time limit of this connection has passed. What lies in the socket's buffer is read first, so that a
    /// request which arrived in time is served although the runtime had not yet noticed it.
    async fn has_passed(&self, time_limit: impl Fn(&Self) -> Option<Instant>) -> bool {
        tokio::task::yield_now().await;
        time_limit(self).is_some_and(|limit| limit <= Instant::now())
    }

    /// Returns when the connection has expired, or was asked to close and is replaceable.
    pub(super) async fn wait_until_expired(&self) {
        loop {
            let expires_at = self.expires_at();
            let expiry = async {
                match expires_at {
                    Some(instant) => sleep_until(instant).await,
                    None => std::future::pending().await,
                }
            };
            let has_expired = tokio::select! {
                () = expiry => self.has_passed(ClientConnection::expires_at).await,
                () = self.close_requested.notified() => self.has_passed(ClientConnection::replaceable_at).await,
                () = self.limits_changed.notified() => false,
            };
            if has_expired {
                return;
            }
        }
    }
}
