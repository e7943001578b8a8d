//! The state of one client connection and its time limits.
//!
//! A [`ClientConnection`] is shared by the connection's task, its socket and its listener. It owns the time limits of
//! the connection; the listener owns the limit on the number of connections.

use super::ShutdownPhase;
use crate::net::message_framing::RequestFraming;
use crate::upgrade::stream_migration::SharedMigrationSlot;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, sleep_until, Instant};

/// Time for a complete request head, from the connection's start or from the first byte of a later request.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_millis(2200);
/// An idle connection is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);
/// At the connection limit, a connection that has been idle for this long may be evicted for a new one.
pub(super) const EVICTION_IDLE_TIME: Duration = Duration::from_millis(2000);
/// A client that reads nothing of its response for this long is disconnected, so that its endpoint is released.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// At the connection limit, a connection that has sent nothing at all may be evicted after this time, which is shorter
/// than [`EVICTION_IDLE_TIME`]. A client connects when it has a request, so the request has arrived by the time the
/// connection is accepted. Many silent connections would otherwise keep other clients waiting for seconds.
pub(super) const EVICTION_SILENT_TIME: Duration = Duration::from_millis(300);
/// How often a connection is checked at shutdown for a request that has begun to arrive.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionPhase {
    /// Nothing has been received yet.
    New,
    /// Between two requests: nothing of the next one has been received.
    Idle,
    /// A part of a request's head has been received.
    ReadingHead,
    /// A request's head is complete, and its response is not.
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
    /// Since when the socket has accepted no bytes of a response; `None` while it does.
    write_blocked_since: Mutex<Option<Instant>>,
    framing: Mutex<RequestFraming>,
    /// Completed responses, to be compared with the completed requests of `framing`.
    completed_responses: AtomicU64,
    /// Wakes the reading task when the response in flight is complete.
    read_waker: Mutex<Option<Waker>>,
    migration_slot: SharedMigrationSlot,
    /// Set once the client or this process has announced that the connection closes after the response in flight.
    closes_after_response: AtomicBool,
    /// Set while bytes of a further request, received after the one in flight, are buffered.
    has_pipelined: AtomicBool,
    /// Set once the connection has become a WebSocket session.
    is_upgraded: AtomicBool,
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
            is_upgraded: AtomicBool::new(false),
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

    /// Returns the slot in which a response's stream is offered for migration to another process.
    pub(super) fn migration_slot(&self) -> &SharedMigrationSlot {
        &self.migration_slot
    }

    /// Records that the connection closes after the response in flight.
    pub(super) fn set_closes_after_response(&self) {
        self.closes_after_response.store(true, Ordering::Relaxed);
    }

    /// Returns whether the connection closes after the response in flight.
    pub(super) fn closes_after_response(&self) -> bool {
        self.closes_after_response.load(Ordering::Relaxed)
    }

    /// Records whether bytes of a further request are buffered after the one in flight.
    pub(super) fn set_has_pipelined(&self, has_pipelined: bool) {
        self.has_pipelined.store(has_pipelined, Ordering::Relaxed);
    }

    /// Records that the connection has become a WebSocket session, so that no further request follows.
    pub(super) fn set_upgraded(&self) {
        self.is_upgraded.store(true, Ordering::Relaxed);
        self.framing().stop();
    }

    /// Returns whether the connection has become a WebSocket session.
    pub(super) fn is_upgraded(&self) -> bool {
        self.is_upgraded.load(Ordering::Relaxed)
    }

    /// Returns whether a further response is due after the one in flight: a pipelined request that was read is
    /// answered, unless the connection closes first.
    fn must_answer_pipelined(&self) -> bool {
        self.has_pipelined.load(Ordering::Relaxed) && !self.closes_after_response()
    }

    /// Asks the connection to close, which it does only if it may still be evicted.
    pub(super) fn request_close(&self) {
        self.close_requested.notify_one();
    }

    /// Records received bytes, and returns how many of them belong to the current request. The first bytes of a
    /// connection don't extend the time for its first head.
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

    /// Returns whether a complete request still lacks its complete response. If so, the task of `context` is woken when
    /// the response is complete.
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

    /// Records the result of a write: while it is pending, the client reads nothing and its receive window is full.
    pub(super) fn on_write_polled<T>(&self, written: &Poll<T>) {
        let mut write_blocked_since = self.write_blocked_since();
        if written.is_ready() {
            *write_blocked_since = None;
        } else if write_blocked_since.is_none() {
            *write_blocked_since = Some(Instant::now());
            self.limits_changed.notify_one();
        }
    }

    /// Returns the time from which the connection may be evicted for a new one; `None` while a request is being
    /// received or served, or a response is not completely written.
    pub(super) fn evictable_at(&self) -> Option<Instant> {
        if self.write_blocked_since().is_some() {
            return None; // the end of a response is still to be written
        }
        let PhaseState { phase, since } = *self.phase_state();
        match phase {
            ConnectionPhase::New => Some(since + EVICTION_SILENT_TIME),
            ConnectionPhase::Idle => Some(since + EVICTION_IDLE_TIME),
            ConnectionPhase::ReadingHead | ConnectionPhase::RequestInFlight => None,
        }
    }

    /// Returns when the connection expires in its current phase; `None` if that phase has no time limit.
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

    /// Waits until [`ShutdownPhase::Closing`], and then until no request is arriving on this connection. A new
    /// connection gets [`EVICTION_SILENT_TIME`] to send its first request. An incomplete head is either completed or
    /// times out.
    pub(super) async fn wait_until_closable(&self, shutdown: &mut watch::Receiver<ShutdownPhase>) {
        let _ = shutdown
            .wait_for(|phase| *phase >= ShutdownPhase::Closing)
            .await;
        loop {
            // Lets the connection's task read first what has already arrived.
            tokio::task::yield_now().await;
            let PhaseState { phase, since } = *self.phase_state();
            match phase {
                ConnectionPhase::RequestInFlight if self.must_answer_pipelined() => {
                    sleep(SHUTDOWN_POLL_INTERVAL).await;
                }
                ConnectionPhase::Idle | ConnectionPhase::RequestInFlight => return,
                ConnectionPhase::New if since.elapsed() >= EVICTION_SILENT_TIME => return,
                ConnectionPhase::New | ConnectionPhase::ReadingHead => {
                    sleep(SHUTDOWN_POLL_INTERVAL).await;
                }
            }
        }
    }

    /// Waits until [`ShutdownPhase::Ending`], and then until a head is incomplete and no response is still to be written.
    /// The request of such a head can't be served any more.
    pub(super) async fn wait_until_head_is_refused(
        &self,
        shutdown: &mut watch::Receiver<ShutdownPhase>,
    ) {
        let _ = shutdown
            .wait_for(|phase| *phase >= ShutdownPhase::Ending)
            .await;
        loop {
            // Lets the connection's task read first what has already arrived.
            tokio::task::yield_now().await;
            let phase = self.phase_state().phase;
            let has_incomplete_head =
                matches!(phase, ConnectionPhase::New | ConnectionPhase::ReadingHead);
            if has_incomplete_head && self.write_blocked_since().is_none() {
                return;
            }
            sleep(SHUTDOWN_POLL_INTERVAL).await;
        }
    }

    /// Returns whether a time limit of this connection has passed. Yields first, so that bytes in the socket buffer are
    /// read: a request that arrived in time is served even if the runtime had not noticed it yet.
    async fn has_passed(&self, time_limit: impl Fn(&Self) -> Option<Instant>) -> bool {
        tokio::task::yield_now().await;
        time_limit(self).is_some_and(|limit| limit <= Instant::now())
    }

    /// Waits until the connection has expired, or until it was asked to close and may be evicted.
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
                () = self.close_requested.notified() => self.has_passed(ClientConnection::evictable_at).await,
                () = self.limits_changed.notified() => false,
            };
            if has_expired {
                return;
            }
        }
    }
}
