//! The steps of a migration in the sending process before the frame is sent. Tells streams when to migrate, and brings
//! the two halves of a stream together.
//!
//! Each client connection owns a [`MigrationSlot`]; the process has one [`MigrationSignal`].

use super::frame::{ClientState, ConnectionState, UpstreamState};
use std::os::fd::{AsFd, OwnedFd};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{mpsc, oneshot, watch, Notify, OwnedSemaphorePermit, Semaphore};

/// Maximum number of streams that migrate at a time, as each needs additional descriptors meanwhile.
const MAX_CONCURRENT_MIGRATIONS: usize = 12;

/// How connections send their streams to another process; `None` in a process that was not announced to others.
pub type MigrationSender = Option<MigrationHandle>;

/// What a connection needs to migrate its stream to another process.
#[derive(Clone)]
pub struct MigrationHandle {
    /// The queue of streams whose halves are both ready.
    pub streams: mpsc::Sender<MigratingStream>,
    /// Tells when streams are to migrate.
    pub signal: MigrationSignal,
}

/// A slot that a connection shares with the response being written on it.
pub type SharedMigrationSlot = Arc<MigrationSlot>;

/// Decides once whether an offer is taken by the client's side or withdrawn by the upstream side: the first claim wins.
#[derive(Clone, Debug, Default)]
pub struct OfferClaim(Arc<AtomicBool>);

impl OfferClaim {
    /// Claims the offer; returns false if the other side has claimed it before.
    pub fn claim(&self) -> bool {
        !self.0.swap(true, Ordering::Relaxed)
    }
}

/// The upstream side of a stream. The backend offers it, and must not read from the upstream's socket during the offer.
/// The offer ends when it is withdrawn, or when `migrated` reports that the stream has not migrated.
#[derive(Debug)]
pub struct UpstreamHalf {
    /// A duplicate of the upstream's socket; the backend keeps its own descriptor.
    pub upstream: OwnedFd,
    /// The position up to which this process has read the response, and the event that is incomplete there.
    pub state: UpstreamState,
    /// Claimed by the side that takes or withdraws the offer.
    pub claim: OfferClaim,
    /// Reports to the upstream side whether the stream has migrated; dropping it means that it has not.
    pub migrated: oneshot::Sender<bool>,
}

/// Two halves are never equal, as each belongs to a stream of its own. Exists because tests compare the chunks of a
/// stream.
impl PartialEq for UpstreamHalf {
    fn eq(&self, _: &UpstreamHalf) -> bool {
        false
    }
}

/// The client side of a stream.
#[derive(Debug)]
pub struct ClientHalf {
    /// A duplicate of the client's socket; the connection keeps its own descriptor.
    pub client: OwnedFd,
    /// The state of the client's connection.
    pub state: ClientState,
}

/// Both halves of a stream that is being sent to another process.
pub struct MigratingStream {
    pub(super) upstream_half: UpstreamHalf,
    pub(super) client_half: ClientHalf,
    /// Reports to the client's side whether the stream has migrated.
    pub(super) migrated: oneshot::Sender<bool>,
}

/// Tells streams when to migrate, and limits how many do so at a time.
#[derive(Clone)]
pub struct MigrationSignal {
    is_due: watch::Receiver<bool>,
    permits: Arc<Semaphore>,
}

impl MigrationSignal {
    /// Waits until streams are to migrate and a permit is free. The permit must be held while the stream tries to
    /// migrate.
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

    /// Returns whether streams are to migrate now.
    pub fn is_due(&self) -> bool {
        *self.is_due.borrow()
    }

    /// Waits until the result of [`MigrationSignal::is_due`] may have changed.
    pub async fn changed(&mut self) {
        if self.is_due.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Creates a signal, and the sender that starts migrations with `true` and pauses them with `false`.
pub fn migration_signal() -> (watch::Sender<bool>, MigrationSignal) {
    let (set_due, is_due) = watch::channel(false);
    let signal = MigrationSignal {
        is_due,
        permits: Arc::new(Semaphore::new(MAX_CONCURRENT_MIGRATIONS)),
    };
    (set_due, signal)
}

/// Holds the halves of the stream on a client connection until both are ready to migrate.
#[derive(Default)]
pub struct MigrationSlot {
    state: Mutex<SlotState>,
    is_ready: Notify,
}

#[derive(Default)]
enum SlotState {
    /// No stream of the connection is migrating.
    #[default]
    Empty,
    /// The upstream half is offered; the client's side still has to write what came before the offer. Also holds the
    /// client request id.
    Offered(UpstreamHalf, Option<Arc<str>>),
    /// Both halves are ready.
    Ready(UpstreamHalf, ClientHalf),
    /// Both halves have been passed to the sender, and the result is not known yet.
    InTransit,
}

impl MigrationSlot {
    fn state(&self) -> MutexGuard<'_, SlotState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds the upstream half. The connection must have been given all events that came before the offer.
    pub fn offer(&self, upstream_half: UpstreamHalf, client_request_id: Option<Arc<str>>) {
        *self.state() = SlotState::Offered(upstream_half, client_request_id);
    }

    /// Returns whether the connection's socket must not be used, as another process may own it.
    pub fn is_frozen(&self) -> bool {
        matches!(*self.state(), SlotState::Ready(..) | SlotState::InTransit)
    }

    /// Adds the client half if there is an offer. All that the connection was given must be written to the socket or be
    /// part of the state that `connection` returns.
    pub fn on_flushed(&self, client: impl AsFd, connection: impl FnOnce() -> ConnectionState) {
        let mut state = self.state();
        match std::mem::take(&mut *state) {
            SlotState::Offered(upstream_half, client_request_id) => {
                // If the client's socket can't be duplicated, the offer is dropped and the stream continues here.
                let Ok(client) = client.as_fd().try_clone_to_owned() else {
                    return;
                };
                // The upstream side has withdrawn the offer meanwhile.
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

    /// Waits until both halves of the stream are ready and sends them to another process. Returns whether that process
    /// has accepted the stream: if so, the stream has ended here, else it continues here.
    ///
    /// The future must not be dropped before it completes.
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
        // Without a sender both halves are dropped, which tells both sides that the stream continues here.
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
