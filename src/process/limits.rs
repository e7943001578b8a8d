//! Divides the machine's file descriptors and memory among their uses.
//!
//! [`ResourceBudgets`] is the division as if the process were alone. [`SharedLimits`] enforces it at run time, reduced
//! to the process's share while another process of the dispatcher runs beside it.

use crate::config::{Config, SessionBudget, SessionConfig, SocketBudgets};
use crate::frontend::memory_budget::{ClientMemoryBudget, CONNECTION_BYTES};
use crate::net::adjustable_semaphore::{AdjustableSemaphore, SHARE_UNITS};
use crate::upgrade::ResourceLimits;

/// Minimum limit for connections to clients and for those to endpoints, however small the process's share is.
const MIN_CONNECTIONS: usize = 4;
/// The part of the memory that is held for all clients together, in hundredths. The rest is for the connections to
/// endpoints, for messages of sessions that have not arrived completely, and for the program itself.
const CLIENT_MEMORY_PERCENT: usize = 40;
/// The part of the clients' memory that HTTP connections may take for themselves, in hundredths.
const CONNECTION_MEMORY_PERCENT: usize = 75;

/// The machine's limits, divided among their uses within one process.
pub(super) struct ResourceBudgets {
    pub sockets: SocketBudgets,
    /// The limits of WebSocket sessions, and the file descriptors for their handshakes.
    pub sessions: SessionBudget,
    /// The memory that the configuration allows the dispatcher, in bytes.
    pub memory_bytes: usize,
}

impl ResourceBudgets {
    pub(super) fn new(config: &Config, sessions: SessionConfig) -> Self {
        let sockets = config.limits.socket_budgets();
        let memory_bytes = config.limits.memory_bytes();
        ResourceBudgets {
            sockets,
            sessions: sessions.fit_to_machine(sockets.clients, memory_bytes),
            memory_bytes,
        }
    }

    /// Returns how many file descriptors of the clients' budget are reserved for sessions if these are enabled.
    pub(super) fn session_sockets(&self) -> usize {
        self.sessions.config.max_sessions + self.sessions.handshake_sockets
    }
}

/// The limits that the processes of one dispatcher share during an upgrade.
#[derive(Clone)]
pub(super) struct SharedLimits {
    /// Connections of clients to the HTTP listener. Sessions have a limit of their own.
    pub clients: AdjustableSemaphore,
    /// Connections to endpoints.
    pub endpoints: AdjustableSemaphore,
    /// Requests of all sessions together: half as many as connections to endpoints, so that sessions whose clients read
    /// nothing leave the other half to HTTP clients.
    pub session_requests: AdjustableSemaphore,
    /// The memory that clients share; each HTTP connection has [`CONNECTION_BYTES`] besides.
    pub client_memory: ClientMemoryBudget,
}

impl SharedLimits {
    /// Creates the limits of a process that is alone, with `session_sockets` of the clients' file descriptors reserved
    /// for sessions.
    pub(super) fn new(budgets: &ResourceBudgets, session_sockets: usize) -> Self {
        let client_memory = budgets.memory_bytes / 100 * CLIENT_MEMORY_PERCENT;
        let connection_memory = client_memory / 100 * CONNECTION_MEMORY_PERCENT;
        let clients = (budgets.sockets.clients - session_sockets)
            .min(connection_memory / CONNECTION_BYTES)
            .max(MIN_CONNECTIONS);
        let shared_memory = client_memory.saturating_sub(clients * CONNECTION_BYTES);
        SharedLimits {
            clients: AdjustableSemaphore::new(clients),
            endpoints: AdjustableSemaphore::new(budgets.sockets.endpoints),
            session_requests: AdjustableSemaphore::new((budgets.sockets.endpoints / 2).max(1)),
            client_memory: ClientMemoryBudget::new(shared_memory / 1024),
        }
    }
}

impl ResourceLimits for SharedLimits {
    fn apply_share(&self, share: u32) -> u32 {
        self.client_memory.set_share(share);
        self.session_requests.set_share(share, MIN_CONNECTIONS / 2);
        // Only connections count as in use; memory for bodies does not.
        let used_units = [&self.clients, &self.endpoints].map(|connections| {
            connections.set_share(share, MIN_CONNECTIONS);
            let units = connections.in_use() * SHARE_UNITS as usize;
            units.div_ceil(connections.capacity().max(1)) as u32
        });
        used_units[0].max(used_units[1])
    }
}

#[cfg(test)]
#[path = "../../tests/unit/process/limits.rs"]
mod tests;
