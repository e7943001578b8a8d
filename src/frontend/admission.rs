//! Admission of connections: which new ones get a permit, and which ones are closed for them at the limit.

use super::connection::{ClientConnection, REPLACEABLE_IDLE_TIME, REPLACEABLE_SILENT_TIME};
use super::ShutdownPhase;
use crate::net::adjustable_semaphore::{AdjustableSemaphore, Permit};
use crate::upgrade::stream_migration::MigrationSender;
use std::collections::HashMap;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;
use tokio::task;
use tokio::time::{sleep_until, Instant};

/// What a listener and its connections share. Cheap to clone.
#[derive(Clone)]
pub(super) struct ListenerState {
    connection_limit: AdjustableSemaphore,
    /// When a new connection last had to wait although none could be closed for it.
    last_full_at: Arc<Mutex<Option<Instant>>>,
    shutdown: watch::Receiver<ShutdownPhase>,
    migration_sender: MigrationSender,
}

impl ListenerState {
    pub(super) fn new(
        connection_limit: AdjustableSemaphore,
        shutdown: watch::Receiver<ShutdownPhase>,
        migration_sender: MigrationSender,
    ) -> Self {
        ListenerState {
            connection_limit,
            last_full_at: Arc::default(),
            shutdown,
            migration_sender,
        }
    }

    fn last_full_at(&self) -> MutexGuard<'_, Option<Instant>> {
        self.last_full_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a new connection recently found no permit, nor a connection that could be closed for it. Responses then
    /// end their connections, as HTTP allows at any time: crowds of clients that send one request and stay connected
    /// would otherwise take all permits for the idle timeout.
    pub(super) fn is_full(&self) -> bool {
        let was_full = self
            .last_full_at()
            .is_some_and(|instant| instant.elapsed() < REPLACEABLE_IDLE_TIME);
        was_full || self.connection_limit.over_limit() > 0
    }

    pub(super) fn is_shutting_down(&self) -> bool {
        *self.shutdown.borrow() > ShutdownPhase::Serving
    }

    pub(super) fn shutdown(&self) -> &watch::Receiver<ShutdownPhase> {
        &self.shutdown
    }

    /// The same for a connection whose streams don't migrate.
    pub(super) fn without_migration(mut self) -> Self {
        self.migration_sender = None;
        self
    }

    /// Whether streams are to migrate to another process now.
    pub(super) fn is_migration_due(&self) -> bool {
        let sender = self.migration_sender.as_ref();
        sender.is_some_and(|sender| sender.signal.is_due())
    }

    /// Waits until it changes whether streams are to migrate to another process.
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

/// The open connections of a listener, and the permits for new ones.
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

    /// A permit for a connection that another process has handed over. Where it is beyond the limit, an idle connection is
    /// closed for it.
    pub(super) fn acquire_for_received(&self) -> Option<Permit> {
        let connection_limit = &self.listener_state.connection_limit;
        let permit = connection_limit.acquire_beyond_limit();
        if connection_limit.over_limit() > 0 {
            if let Some((_, client)) = self.first_replaceable() {
                client.request_close();
            }
        }
        permit
    }

    /// A permit if one is free now.
    pub(super) fn try_acquire_permit(&self) -> Option<Permit> {
        self.listener_state.connection_limit.try_acquire(1)
    }

    /// Waits for a permit for a new connection. At the limit a silent connection, or the one that has been idle for
    /// longest, is closed for it; where none has been so for long enough, the new one waits in the listener's queue.
    pub(super) async fn acquire_permit(&self) -> Option<Permit> {
        let connection_limit = &self.listener_state.connection_limit;
        let mut permit = pin!(connection_limit.acquire(1));
        loop {
            let replaceable = self.first_replaceable();
            let wait_until = match replaceable {
                Some((replaceable_at, _)) => replaceable_at,
                None => Instant::now() + REPLACEABLE_SILENT_TIME,
            };
            if connection_limit.available() == 0 && wait_until > Instant::now() {
                *self.listener_state.last_full_at() = Some(Instant::now());
            }
            tokio::select! {
                biased;
                permit = permit.as_mut() => return permit,
                () = sleep_until(wait_until) => {}
            }
            if let Some((_, client)) = replaceable {
                client.request_close();
                // Its task releases the permit as soon as it runs, unless a request has arrived meanwhile.
                task::yield_now().await;
            }
        }
    }

    /// The connection that may be closed first, and from when on.
    fn first_replaceable(&self) -> Option<(Instant, &ClientConnection)> {
        self.connections
            .values()
            .filter_map(|client| Some((client.replaceable_at()?, client.as_ref())))
            .min_by_key(|(replaceable_at, _)| *replaceable_at)
    }
}
