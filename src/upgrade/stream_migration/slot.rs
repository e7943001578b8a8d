//! The sending process's view of a stream that is to migrate: when that is due, and where its two sides meet.
//!
//! Each client connection owns a [`MigrationSlot`]; the process owns one [`MigrationSignal`].

use crate::net::message_framing::ChunkedDecoder;
use bytes::Bytes;
use std::os::fd::{AsFd, OwnedFd};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{mpsc, oneshot, watch, Notify, OwnedSemaphorePermit, Semaphore};

/// How many streams migrate at a time: each needs descriptors beyond its own meanwhile.
const MAX_CONCURRENT_MIGRATIONS: usize = 12;

/// What connections send their streams to; `None` in a process that can have no successor.
pub type MigrationSender = Option<mpsc::Sender<MigratingStream>>;

/// A slot that a connection shares with the response that it writes.
pub type SharedMigrationSlot = Arc<MigrationSlot>;

/// The upstream side of a stream. Whoever offers it reads nothing more from its socket.
#[derive(Debug)]
pub struct UpstreamHalf {
    /// The upstream's socket.
    pub upstream: OwnedFd,
    /// The position in the chunked body.
    pub chunks: ChunkedDecoder,
    /// The bytes received so far of the event that has not ended.
    pub partial_event: Bytes,
    /// Receives whether the stream has migrated; it has not where this is dropped.
    pub migrated: oneshot::Sender<bool>,
}

/// Never equal: chunks of a stream are compared in tests, and an offer stands for one stream only.
impl PartialEq for UpstreamHalf {
    fn eq(&self, _: &UpstreamHalf) -> bool {
        false
    }
}

/// Both sides of a stream on its way to the successor.
pub struct MigratingStream {
    pub(super) upstream_half: UpstreamHalf,
    pub(super) client: OwnedFd,
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
    /// Waits until streams are to migrate, and for a permit, which is kept until the stream has migrated.
    pub async fn acquire(&self) -> OwnedSemaphorePermit {
        let mut is_due = self.is_due.clone();
        if is_due.wait_for(|is_due| *is_due).await.is_ok() {
            if let Ok(permit) = self.permits.clone().acquire_owned().await {
                return permit;
            }
        }
        std::future::pending().await
    }
}

/// A signal, and the sender that starts the migration with `true`.
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
    /// The upstream side is there; the client's side has not written all that came before the offer.
    Offered(UpstreamHalf),
    /// Both sides are there.
    Ready {
        upstream_half: UpstreamHalf,
        client: OwnedFd,
    },
}

impl MigrationSlot {
    fn state(&self) -> MutexGuard<'_, SlotState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds the upstream side of the stream, when the connection has been given all that was received before.
    pub fn offer(&self, upstream_half: UpstreamHalf) {
        *self.state() = SlotState::Offered(upstream_half);
    }

    /// Adds the client's side to an offer, when all that the connection was given is written.
    pub fn on_flushed(&self, client: impl AsFd) {
        let mut state = self.state();
        match std::mem::take(&mut *state) {
            SlotState::Offered(upstream_half) => {
                // Without a descriptor for the client's socket the offer is dropped, and the stream goes on here.
                if let Ok(client) = client.as_fd().try_clone_to_owned() {
                    *state = SlotState::Ready {
                        upstream_half,
                        client,
                    };
                    self.is_ready.notify_one();
                }
            }
            unchanged => *state = unchanged,
        }
    }

    /// Waits until both sides of the stream are there and sends them to the successor. Returns whether it accepted
    /// them: if so, this side of the stream is over.
    pub async fn migrate(&self, sender: &MigrationSender) -> bool {
        loop {
            self.is_ready.notified().await;
            let SlotState::Ready {
                upstream_half,
                client,
            } = std::mem::take(&mut *self.state())
            else {
                continue;
            };
            let (migrated, was_migrated) = oneshot::channel();
            if let Some(sender) = sender {
                let stream = MigratingStream {
                    upstream_half,
                    client,
                    migrated,
                };
                let _ = sender.send(stream).await;
            }
            return was_migrated.await.unwrap_or(false);
        }
    }
}
