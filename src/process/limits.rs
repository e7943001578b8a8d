//! Divides the machine's file descriptors and memory among their uses.
//!
//! [`ResourceBudgets`] is the division as if the process were alone. [`SharedLimits`] enforces it at run time, reduced
//! to the process's share while another process of the dispatcher runs beside it.

use crate::config::{Config, SessionBudget, SessionConfig, SocketBudgets};
use crate::frontend::memory_budget::BodyMemoryBudget;
use crate::net::adjustable_semaphore::{AdjustableSemaphore, SHARE_UNITS};
use crate::upgrade::ResourceLimits;

/// Minimum limit for connections to clients and for those to endpoints, however small the process's share is.
const MIN_CONNECTIONS: usize = 4;
/// The limit for all request bodies together is [`ResourceBudgets::memory_bytes`] divided by this.
const BODY_MEMORY_DIVISOR: usize = 3;

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
    /// Memory for request bodies.
    pub body_memory: BodyMemoryBudget,
}

impl SharedLimits {
    /// Creates the limits of a process that is alone, with `session_sockets` of the clients' file descriptors reserved
    /// for sessions.
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
        // Only connections count as in use; memory for bodies does not.
        let used_units = [&self.clients, &self.endpoints].map(|connections| {
            connections.set_share(share, MIN_CONNECTIONS);
            let units = connections.in_use() * SHARE_UNITS as usize;
            units.div_ceil(connections.capacity().max(1)) as u32
        });
        used_units[0].max(used_units[1])
    }
}
