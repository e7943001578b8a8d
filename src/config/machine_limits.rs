//! The resources that one dispatcher process may use.

use miniserde::Deserialize;

/// File descriptors that belong to neither clients nor endpoints: listeners, discovery, the log, the runtime's own.
const RESERVED_SOCKETS: u64 = 32;
/// The fewest file descriptors that are divided, whatever the configuration says.
const MIN_SOCKETS: u64 = 16;
/// File descriptors where the configuration names no number.
const DEFAULT_SOCKETS: u64 = 1024;
/// Memory where the configuration names none, in MB.
const DEFAULT_MEMORY_MB: u64 = 192;

/// What the dispatcher may use.
#[derive(Deserialize, Clone)]
pub struct MachineLimits {
    /// Memory, in MB.
    pub memory_mb: Option<u64>,
    /// File descriptors.
    pub sockets: Option<u64>,
}

/// File descriptors by the side that uses them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketBudgets {
    /// For connections from clients.
    pub clients: usize,
    /// For connections to endpoints.
    pub endpoints: usize,
}

impl MachineLimits {
    /// Divides the file descriptors. Clients get five eighths: an open request needs one on either side, and some client
    /// connections are idle or silent until they may be closed.
    pub fn socket_budgets(&self) -> SocketBudgets {
        let sockets = self
            .sockets
            .unwrap_or(DEFAULT_SOCKETS)
            .saturating_sub(RESERVED_SOCKETS)
            .max(MIN_SOCKETS) as usize;
        let clients = sockets * 5 / 8;
        SocketBudgets {
            clients,
            endpoints: sockets - clients,
        }
    }

    /// Memory, in bytes.
    pub fn memory_bytes(&self) -> usize {
        (self.memory_mb.unwrap_or(DEFAULT_MEMORY_MB) as usize).saturating_mul(1 << 20)
    }
}
