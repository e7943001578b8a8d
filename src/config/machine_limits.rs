//! The resources that one dispatcher process may use.

use miniserde::Deserialize;

/// File descriptors reserved for listeners, discovery, the log and the runtime.
const RESERVED_SOCKETS: u64 = 32;
/// The minimum number of file descriptors that are divided between clients and endpoints.
const MIN_SOCKETS: u64 = 16;
/// The number of file descriptors if the configuration has none.
const DEFAULT_SOCKETS: u64 = 1024;
/// Memory if the configuration has no value, in MB.
const DEFAULT_MEMORY_MB: u64 = 192;

/// The memory and file descriptors that the dispatcher may use.
#[derive(Deserialize, Clone)]
pub struct MachineLimits {
    /// Memory, in MB; `None`: the default.
    pub memory_mb: Option<u64>,
    /// The number of file descriptors; `None`: the default.
    pub sockets: Option<u64>,
}

/// How the file descriptors are divided between clients and endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketBudgets {
    /// For connections from clients.
    pub clients: usize,
    /// For connections to endpoints.
    pub endpoints: usize,
}

impl MachineLimits {
    /// Divides the file descriptors. Clients get five eighths: an open request needs one on each side, and some client
    /// connections are idle or silent until they may be evicted.
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

    /// Returns the memory limit in bytes.
    pub fn memory_bytes(&self) -> usize {
        (self.memory_mb.unwrap_or(DEFAULT_MEMORY_MB) as usize).saturating_mul(1 << 20)
    }
}
