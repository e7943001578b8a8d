//! Admission of client connections: grants permits to new ones, and evicts idle ones at the limit.
//!
//! The listener acquires a permit before it accepts a connection, and the connection's task holds the permit until it
//! ends. [`Admission`] knows the open connections; [`ListenerState`] is what they share.

use super::connection::{ClientConnection, EVICTION_IDLE_TIME, EVICTION_SILENT_TIME};
use super::memory_budget::ClientMemoryBudget;
use super::ShutdownPhase;
use crate::net::adjustable_semaphore::{AdjustableSemaphore, Permit};
use crate::upgrade::stream_migration::MigrationSender;
use std::collections::HashMap;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;
use tokio::task;
use tokio::time::{sleep_until, Instant};

/// The state that a listener shares with its connections. Clones share it.
#[derive(Clone)]
pub(super) struct ListenerState {
    connection_limit: AdjustableSemaphore,
    /// When a new connection last had to wait because no connection could be evicted for it.
    last_full_at: Arc<Mutex<Option<Instant>>>,
    shutdown: watch::Receiver<ShutdownPhase>,
    migration_sender: MigrationSender,
    client_memory: ClientMemoryBudget,
}

impl ListenerState {
    pub(super) fn new(
        connection_limit: AdjustableSemaphore,
        shutdown: watch::Receiver<ShutdownPhase>,
        migration_sender: MigrationSender,
        client_memory: ClientMemoryBudget,
    ) -> Self {
        ListenerState {
            connection_limit,
            last_full_at: Arc::default(),
            shutdown,
            migration_sender,
            client_memory,
        }
    }

    /// Returns the budget for what is buffered of an answer until its stream has migrated.
    pub(super) fn client_memory(&self) -> &ClientMemoryBudget {
        &self.client_memory
    }

    fn last_full_at(&self) -> MutexGuard<'_, Option<Instant>> {
        self.last_full_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether more connections are open than the limit allows, or a new one had to wait in the accept queue
    /// within the last [`EVICTION_IDLE_TIME`]. Responses then close their connections, as HTTP allows at any time.
    /// Otherwise many clients that send one request and stay connected would hold all permits until the idle timeout.
    pub(super) fn is_full(&self) -> bool {
        let was_full = self
            .last_full_at()
            .is_some_and(|instant| instant.elapsed() < EVICTION_IDLE_TIME);
        was_full || self.connection_limit.over_limit() > 0
    }

    pub(super) fn is_shutting_down(&self) -> bool {
        *self.shutdown.borrow() > ShutdownPhase::Serving
    }

    pub(super) fn shutdown(&self) -> &watch::Receiver<ShutdownPhase> {
        &self.shutdown
    }

    /// Returns this state without migration, for a connection whose streams stay in this process.
    pub(super) fn without_migration(mut self) -> Self {
        self.migration_sender = None;
        self
    }

    /// Returns whether streams are to migrate to another process now.
    pub(super) fn is_migration_due(&self) -> bool {
        let sender = self.migration_sender.as_ref();
        sender.is_some_and(|sender| sender.signal.is_due())
    }

    /// Waits until [`ListenerState::is_migration_due`] changes.
    pub(super) async fn migration_due_changed(&mut self) {
        match &mut self.migration_sender {
            Some(sender) => sender.signal.changed().await,
            None => std::future::pending().await,
        }
    }

    pub(super) fn migration_sender(&self) -> &MigrationSender {
        &self.migration_sender
    }
}

/// The open connections of a listener. Grants the permits for new ones.
pub(super) struct Admission {
    listener_state: ListenerState,
    connections: HashMap<task::Id, Arc<ClientConnection>>,
}

impl Admission {
    pub(super) fn new(listener_state: ListenerState) -> Self {
        Admission {
            listener_state,
            connections: HashMap::new(),
        }
    }

    pub(super) fn listener_state(&self) -> &ListenerState {
        &self.listener_state
    }

    pub(super) fn add(&mut self, task: task::Id, client: Arc<ClientConnection>) {
        self.connections.insert(task, client);
    }

    pub(super) fn remove(&mut self, task: task::Id) {
        self.connections.remove(&task);
    }

    /// Acquires a permit for a connection that another process has handed over. If this exceeds the limit, an idle
    /// connection is evicted.
    pub(super) fn acquire_for_received(&self) -> Option<Permit> {
        let connection_limit = &self.listener_state.connection_limit;
        let permit = connection_limit.acquire_beyond_limit();
        if connection_limit.over_limit() > 0 {
            if let Some((_, client)) = self.first_evictable() {
                client.request_close();
            }
        }
        permit
    }

    /// Acquires a permit if one is free now.
    pub(super) fn try_acquire_permit(&self) -> Option<Permit> {
        self.listener_state.connection_limit.try_acquire(1)
    }

    /// Waits for a permit for a new connection. At the limit, a silent connection or the one that has been idle for
    /// longest is evicted. While none may be evicted yet, the new connection waits in the accept queue.
    pub(super) async fn acquire_permit(&self) -> Option<Permit> {
        let connection_limit = &self.listener_state.connection_limit;
        let mut permit = pin!(connection_limit.acquire(1));
        loop {
            let evictable = self.first_evictable();
            let wait_until = match evictable {
                Some((evictable_at, _)) => evictable_at,
                None => Instant::now() + EVICTION_SILENT_TIME,
            };
            if connection_limit.available() == 0 && wait_until > Instant::now() {
                *self.listener_state.last_full_at() = Some(Instant::now());
            }
            tokio::select! {
                biased;
                permit = permit.as_mut() => return permit,
                () = sleep_until(wait_until) => {}
            }
            if let Some((_, client)) = evictable {
                client.request_close();
                // The evicted connection's task releases its permit as soon as it runs, unless a request has arrived
                // meanwhile.
                task::yield_now().await;
            }
        }
    }

    /// Returns the connection that may be evicted first, and the time from which it may.
    fn first_evictable(&self) -> Option<(Instant, &ClientConnection)> {
        self.connections
            .values()
            .filter_map(|client| Some((client.evictable_at()?, client.as_ref())))
            .min_by_key(|(evictable_at, _)| *evictable_at)
    }
}
