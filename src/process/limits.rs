//! The limits of one dispatcher's processes: file descriptors and memory, by their use.

use crate::config::{Config, SessionBudget, SessionConfig, SocketBudgets};
use crate::frontend::memory_budget::BodyMemoryBudget;
use crate::net::adjustable_semaphore::{AdjustableSemaphore, SHARE_UNITS};
use crate::upgrade::ResourceLimits;

/// The fewest connections of either side, however small a process's share is.
const MIN_CONNECTIONS: usize = 4;
/// The fraction of the memory that holds request bodies is one in so many.
const BODY_MEMORY_DIVISOR: usize = 3;

/// How the machine's limits are divided within one process.
pub(super) struct ResourceBudgets {
    pub sockets: SocketBudgets,
    /// The sessions' limits, and file descriptors for their handshakes.
    pub sessions: SessionBudget,
    /// Memory, in bytes.
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

    /// File descriptors that sessions take out of the clients' budget, where there are sessions.
    pub(super) fn session_sockets(&self) -> usize {
        self.sessions.config.max_sessions + self.sessions.handshake_sockets
    }
}

/// The limits that the processes of one dispatcher share during an upgrade.
#[derive(Clone)]
pub(super) struct SharedLimits {
    /// Connections from clients of the platform's listener.
    pub clients: AdjustableSemaphore,
    /// Connections to endpoints.
    pub endpoints: AdjustableSemaphore,
    /// Memory for request bodies.
    pub body_memory: BodyMemoryBudget,
}

impl SharedLimits {
    /// The whole limits, with `session_sockets` of the clients' file descriptors reserved for sessions.
    pub(super) fn new(budgets: &ResourceBudgets, session_sockets: usize) -> Self {
        let body_memory_kilobytes = budgets.memory_bytes / 1024 / BODY_MEMORY_DIVISOR;
        SharedLimits {
            clients: AdjustableSemaphore::new(budgets.sockets.clients - session_sockets),
            endpoints: AdjustableSemaphore::new(budgets.sockets.endpoints),
            body_memory: BodyMemoryBudget::new(body_memory_kilobytes),
        }
    }
}

impl ResourceLimits for SharedLimits {
    fn apply_share(&self, share: u32) -> u32 {
        self.body_memory.set_share(share);
        let used_units = [&self.clients, &self.endpoints].map(|connections| {
            connections.set_share(share, MIN_CONNECTIONS);
            let units = connections.in_use() * SHARE_UNITS as usize;
            units.div_ceil(connections.capacity().max(1)) as u32
        });
        used_units[0].max(used_units[1])
    }
}
