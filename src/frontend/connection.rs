//! What a client's connection is doing, and for how long it may.

use super::ShutdownPhase;
use crate::net::message_framing::RequestFraming;
use crate::upgrade::stream_migration::SharedMigrationSlot;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, sleep_until, Instant};

/// From its start, or from the first byte of a later one, a connection has so long for a request's whole head.
const HEAD_TIME: Duration = Duration::from_millis(2200);
/// A connection that stands idle longer is closed.
const IDLE_TIME: Duration = Duration::from_secs(90);
/// At the limit, one that has stood idle so long makes room for a new one.
pub(super) const REPLACEABLE_TIME: Duration = Duration::from_millis(2000);
/// A client that takes nothing of its answer for so long is gone, and its node is to be freed.
const STALL_TIME: Duration = Duration::from_secs(30);
/// At the limit, one that has said nothing at all makes room sooner: a client connects when it has something to
/// ask, so that its request is there when it is taken, and crowds of mute ones would keep it waiting for seconds.
pub(super) const MUTE_TIME: Duration = Duration::from_millis(300);
/// When the dispatcher ends, a request that has begun to come is looked for this often.
const LOOK: Duration = Duration::from_millis(20);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Nothing has come yet.
    New,
    /// It stands between requests.
    Idle,
    /// A head has begun.
    Head,
    /// A request is open.
    Open,
}

/// One connection, as its listener sees it.
pub(super) struct ClientConnection {
    state: Mutex<(Phase, Instant)>,
    stalled: Mutex<Option<Instant>>,
    requests: Mutex<RequestFraming>,
    answered: AtomicU64,
    reader: Mutex<Option<Waker>>, // reads on when the open request is answered
    pub(super) exit: SharedMigrationSlot,
    changed: Notify,
    pub(super) close: Notify,
}

impl ClientConnection {
    pub(super) fn new() -> Arc<ClientConnection> {
        let state = Mutex::new((Phase::New, Instant::now()));
        Arc::new(ClientConnection {
            state,
            stalled: Mutex::default(),
            requests: Mutex::default(),
            answered: AtomicU64::new(0),
            reader: Mutex::default(),
            exit: SharedMigrationSlot::default(),
            changed: Notify::new(),
            close: Notify::new(),
        })
    }

    fn state(&self) -> MutexGuard<'_, (Phase, Instant)> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set_phase(&self, phase: Phase) {
        *self.state() = (phase, Instant::now());
        self.changed.notify_one();
    }

    pub(super) fn requests(&self) -> MutexGuard<'_, RequestFraming> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Bytes have come, of which so many belong to the same request. The first ones of a connection don't give it more
    /// time.
    pub(super) fn received(&self, bytes: &[u8]) -> usize {
        let belong = self.requests().feed(bytes);
        let mut state = self.state();
        match state.0 {
            Phase::New => state.0 = Phase::Head,
            Phase::Idle => *state = (Phase::Head, Instant::now()),
            Phase::Head | Phase::Open => return belong,
        }
        drop(state);
        self.changed.notify_one();
        belong
    }

    /// A request has come whole and has no whole answer yet. Who reads is woken when it has.
    pub(super) fn awaits_answer(&self, context: &Context<'_>) -> bool {
        let awaits = self.requests().ended() > self.answered.load(Ordering::Relaxed);
        *self.reader() = awaits.then(|| context.waker().clone());
        awaits
    }

    fn reader(&self) -> MutexGuard<'_, Option<Waker>> {
        self.reader.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An answer is over.
    pub(super) fn answered(&self) {
        self.answered.fetch_add(1, Ordering::Relaxed);
        self.set_phase(Phase::Idle);
        if let Some(reader) = self.reader().take() {
            reader.wake();
        }
    }

    fn stalled(&self) -> MutexGuard<'_, Option<Instant>> {
        self.stalled.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The client has taken some of an answer, or would take no more at this moment.
    pub(super) fn wrote<T>(&self, wrote: &Poll<T>) {
        let mut stalled = self.stalled();
        if wrote.is_ready() {
            *stalled = None;
        } else if stalled.is_none() {
            *stalled = Some(Instant::now());
            self.changed.notify_one();
        }
    }

    /// From when on it may make room for another: it waits for a client that owes nothing and is owed nothing.
    pub(super) fn replaceable_at(&self) -> Option<Instant> {
        if self.stalled().is_some() {
            return None; // the last of an answer is still to be sent
        }
        let (phase, since) = *self.state();
        match phase {
            Phase::New => Some(since + MUTE_TIME),
            Phase::Idle => Some(since + REPLACEABLE_TIME),
            Phase::Head | Phase::Open => None,
        }
    }

    /// From when on it has to go, as it stands; `None` where it may stay as long as it does what it is doing.
    fn expires_at(&self) -> Option<Instant> {
        let stalled_until = self.stalled().map(|since| since + STALL_TIME);
        let (phase, since) = *self.state();
        match phase {
            Phase::New | Phase::Head => Some(since + HEAD_TIME),
            Phase::Idle => stalled_until.or(Some(since + IDLE_TIME)),
            Phase::Open => stalled_until,
        }
    }

    /// Returns when the dispatcher ends and no request has begun to come: a new client has its request at hand, and half
    /// a head becomes a whole one, or its time is up.
    pub(super) async fn is_at_rest(&self, course: &mut watch::Receiver<ShutdownPhase>) {
        let _ = course
            .wait_for(|course| *course == ShutdownPhase::Closing)
            .await;
        loop {
            // What has come by now is read first.
            tokio::task::yield_now().await;
            let (phase, since) = *self.state();
            match phase {
                Phase::Idle | Phase::Open => return,
                Phase::New if since.elapsed() >= MUTE_TIME => return,
                Phase::New | Phase::Head => sleep(LOOK).await,
            }
        }
    }

    /// Whether a time limit of this connection has passed. What lies in the socket's buffer is read first, so that a
    /// request which came in time is served, although the runtime had not yet noticed it.
    async fn has_passed(&self, limit: impl Fn(&Self) -> Option<Instant>) -> bool {
        tokio::task::yield_now().await;
        limit(self).is_some_and(|at| at <= Instant::now())
    }

    /// Returns when the connection has to go.
    pub(super) async fn over(&self) {
        loop {
            let expires_at = self.expires_at();
            let expired = async {
                match expires_at {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            let has_to_go = tokio::select! {
                () = expired => self.has_passed(ClientConnection::expires_at).await,
                () = self.close.notified() => self.has_passed(ClientConnection::replaceable_at).await,
                () = self.changed.notified() => false,
            };
            if has_to_go {
                return;
            }
        }
    }
}
