//! The sending process's view of a stream that is to migrate: when that is due, and where its two sides meet.
//!
//! Each client connection owns a [`MigrationSlot`]; the process owns one [`MigrationSignal`].

use super::frame::{ClientState, ConnectionState, UpstreamState};
use std::os::fd::{AsFd, OwnedFd};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{mpsc, oneshot, watch, Notify, OwnedSemaphorePermit, Semaphore};

/// How many streams migrate at a time: each needs descriptors beyond its own meanwhile.
const MAX_CONCURRENT_MIGRATIONS: usize = 12;

/// What connections send their streams to; `None` in a process that is alone.
pub type MigrationSender = Option<MigrationHandle>;

/// The way of a connection's stream to another process.
#[derive(Clone)]
pub struct MigrationHandle {
    /// Takes the streams that are ready.
    pub streams: mpsc::Sender<MigratingStream>,
    /// When streams are to migrate.
    pub signal: MigrationSignal,
}

/// A slot that a connection shares with the response that it writes.
pub type SharedMigrationSlot = Arc<MigrationSlot>;

/// Settles once whether an offer is taken or withdrawn: the first to claim it decides.
#[derive(Clone, Debug, Default)]
pub struct OfferClaim(Arc<AtomicBool>);

impl OfferClaim {
    /// Claims the offer; false where the other side did before.
    pub fn claim(&self) -> bool {
        !self.0.swap(true, Ordering::Relaxed)
    }
}

/// The upstream side of a stream. Whoever offers it reads nothing from its socket until it has withdrawn the offer, or
/// knows that the stream has not migrated.
#[derive(Debug)]
pub struct UpstreamHalf {
    /// The upstream's socket.
    pub upstream: OwnedFd,
    /// Where the stream stands.
    pub state: UpstreamState,
    /// Whether the offer still stands.
    pub claim: OfferClaim,
    /// Receives whether the stream has migrated; it has not where this is dropped.
    pub migrated: oneshot::Sender<bool>,
}

/// Never equal: chunks of a stream are compared in tests, and an offer stands for one stream only.
impl PartialEq for UpstreamHalf {
    fn eq(&self, _: &UpstreamHalf) -> bool {
        false
    }
}

/// The client's side of a stream.
#[derive(Debug)]
pub struct ClientHalf {
    /// The client's socket.
    pub client: OwnedFd,
    /// The state of its connection.
    pub state: ClientState,
}

/// Both sides of a stream on its way to another process.
pub struct MigratingStream {
    pub(super) upstream_half: UpstreamHalf,
    pub(super) client_half: ClientHalf,
    /// Receives whether the stream has migrated, for the client's side.
    pub(super) migrated: oneshot::Sender<bool>,
}

/// Tells streams when to migrate, a few at a time.
#[derive(Clone)]
pub struct MigrationSignal {
    is_due: watch::Receiver<bool>,
    permits: Arc<Semaphore>,
}

impl MigrationSignal {
    /// Waits until streams are to migrate, and for a permit, which is kept while the stream tries to.
    pub async fn acquire(self) -> OwnedSemaphorePermit {
        let MigrationSignal {
            mut is_due,
            permits,
        } = self;
        if is_due.wait_for(|is_due| *is_due).await.is_ok() {
            if let Ok(permit) = permits.acquire_owned().await {
                return permit;
            }
        }
        std::future::pending().await
    }

    /// Whether streams are to migrate now.
    pub fn is_due(&self) -> bool {
        *self.is_due.borrow()
    }

    /// Waits until it changes whether streams are to migrate.
    pub async fn changed(&mut self) {
        if self.is_due.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// A signal, and the sender that starts the migration with `true` and pauses it with `false`.
pub fn migration_signal() -> (watch::Sender<bool>, MigrationSignal) {
    let (set_due, is_due) = watch::channel(false);
    let signal = MigrationSignal {
        is_due,
        permits: Arc::new(Semaphore::new(MAX_CONCURRENT_MIGRATIONS)),
    };
    (set_due, signal)
}

/// Where the two sides of a client connection's stream meet before it migrates.
#[derive(Default)]
pub struct MigrationSlot {
    state: Mutex<SlotState>,
    is_ready: Notify,
}

#[derive(Default)]
enum SlotState {
    /// The stream, if any, does not migrate.
    #[default]
    Empty,
    /// The upstream side is there; the client's side has not handed on all that came before the offer.
    Offered(UpstreamHalf, Option<Arc<str>>),
    /// Both sides are there.
    Ready(UpstreamHalf, ClientHalf),
    /// Both sides are on their way to another process, or back.
    InTransit,
}

impl MigrationSlot {
    fn state(&self) -> MutexGuard<'_, SlotState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds the upstream side of the stream, when the connection has been given all that was received before.
    pub fn offer(&self, upstream_half: UpstreamHalf, client_request_id: Option<Arc<str>>) {
        *self.state() = SlotState::Offered(upstream_half, client_request_id);
    }

    /// Whether the connection's socket must not be used, as another process may own it.
    pub fn is_frozen(&self) -> bool {
        matches!(*self.state(), SlotState::Ready(..) | SlotState::InTransit)
    }

    /// Adds the client's side to an offer, when all that the connection was given is written or part of its state.
    pub fn on_flushed(&self, client: impl AsFd, connection: impl FnOnce() -> ConnectionState) {
        let mut state = self.state();
        match std::mem::take(&mut *state) {
            SlotState::Offered(upstream_half, client_request_id) => {
                // Without a descriptor for the client's socket the offer is dropped, and the stream goes on here.
                let Ok(client) = client.as_fd().try_clone_to_owned() else {
                    return;
                };
                // An offer that was withdrawn meanwhile is dropped, too.
                if !upstream_half.claim.claim() {
                    return;
                }
                let client_half = ClientHalf {
                    client,
                    state: ClientState {
                        client_request_id,
                        connection: connection(),
                    },
                };
                *state = SlotState::Ready(upstream_half, client_half);
                self.is_ready.notify_one();
            }
            unchanged => *state = unchanged,
        }
    }

    /// Waits until both sides of the stream are there and sends them to another process. Returns whether it accepted
    /// them: if so, this side of the stream is over, else it goes on here. Not to be dropped in between.
    pub async fn migrate(&self, sender: &MigrationSender) -> bool {
        let (upstream_half, client_half) = loop {
            self.is_ready.notified().await;
            let mut state = self.state();
            match std::mem::take(&mut *state) {
                SlotState::Ready(upstream_half, client_half) => {
                    *state = SlotState::InTransit;
                    break (upstream_half, client_half);
                }
                unchanged => *state = unchanged,
            }
        };
        let (migrated, was_migrated) = oneshot::channel();
        // Without a sender both sides are dropped here, which tells the upstream that the stream goes on.
        if let Some(sender) = sender {
            let stream = MigratingStream {
                upstream_half,
                client_half,
                migrated,
            };
            let _ = sender.streams.send(stream).await;
        } else {
            drop((upstream_half, migrated));
        }
        let has_migrated = was_migrated.await.unwrap_or(false);
        if !has_migrated {
            *self.state() = SlotState::Empty;
        }
        has_migrated
    }
}
