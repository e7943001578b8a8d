//! The endpoint addresses that get no new requests, for example because the endpoint drains, and the open connections
//! of every address. Blocking an address also closes its idle connections.

use super::tracked_connection::TrackedConnection;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use tokio::sync::watch;

type OpenConnections = HashMap<SocketAddr, Vec<Weak<TrackedConnection>>>;

/// The blocked addresses. Cheap to clone; clones share their state.
#[derive(Clone)]
pub struct BlockedEndpoints {
    blocked: Arc<Mutex<HashSet<Arc<str>>>>,
    open_connections: Arc<Mutex<OpenConnections>>,
    /// Notified whenever an address becomes blocked.
    changed: watch::Sender<()>,
}

impl BlockedEndpoints {
    /// Creates an empty set.
    pub fn new() -> Self {
        BlockedEndpoints {
            blocked: Arc::default(),
            open_connections: Arc::default(),
            changed: watch::Sender::new(()),
        }
    }

    fn blocked(&self) -> MutexGuard<'_, HashSet<Arc<str>>> {
        self.blocked.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn open_connections(&self) -> MutexGuard<'_, OpenConnections> {
        self.open_connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an open connection. If its address becomes blocked, the connection closes once it is idle.
    pub fn register(&self, target: SocketAddr, connection: &Arc<TrackedConnection>) {
        let mut open = self.open_connections();
        // Removes closed connections, including those of endpoints that no longer exist.
        open.retain(|_, connections| {
            connections.retain(|connection| connection.strong_count() > 0);
            !connections.is_empty()
        });
        open.entry(target)
            .or_default()
            .push(Arc::downgrade(connection));
    }

    /// Blocks new requests to this address, including those that wait for a connection. Its connections close once they
    /// are idle.
    pub fn block(&self, address: Arc<str>) {
        if let Ok(target) = address.parse() {
            let connections = self.open_connections().remove(&target);
            for connection in connections.iter().flatten().filter_map(Weak::upgrade) {
                connection.close_when_idle();
            }
        }
        self.blocked().insert(address);
        self.changed.send_replace(());
    }

    /// Allows new requests to this address again.
    pub fn unblock(&self, address: &str) {
        self.blocked().remove(address);
    }

    /// Whether new requests to this address are blocked.
    pub fn is_blocked(&self, address: &str) -> bool {
        self.blocked().contains(address)
    }

    /// Waits until the address is blocked while the caller's request still waits for a connection, as `is_waiting`
    /// tells. Checks both at the call and whenever an address becomes blocked. Does not complete for a request that was
    /// sent before its address was blocked.
    pub async fn wait_until_blocked(&self, address: &str, is_waiting: impl Fn() -> bool) {
        let mut changed = self.changed.subscribe();
        while !(self.is_blocked(address) && is_waiting()) {
            if changed.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }
}
