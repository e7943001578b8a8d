//! Whether this machine has the file descriptors and the memory that a scenario needs.

use crate::scenario::Scenario;
use std::fmt;

/// File descriptors that the bench needs for each real dispatcher, beside its connections.
const DESCRIPTORS_PER_REAL: u64 = 200;
/// File descriptors of a simulated dispatcher: its gossip socket, and its connection to discovery.
const DESCRIPTORS_PER_SIMULATED: u64 = 3;
/// Memory that a replica may take, in KB.
const REPLICA_MEMORY_KB: u64 = 48;
/// Memory that a simulated dispatcher may take, in KB.
const SIMULATED_MEMORY_KB: u64 = 128;
/// Memory that a real dispatcher may take, in KB.
const REAL_MEMORY_KB: u64 = 256 * 1024;
/// The run may use the machine's memory divided by this.
const MEMORY_DIVISOR: u64 = 2;

/// What is short on this machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// File descriptors.
    Descriptors {
        /// As many as the scenario needs.
        needed: u64,
        /// As many as a process may open.
        available: u64,
    },
    /// Memory.
    Memory {
        /// As much as the scenario needs.
        needed_kb: u64,
        /// As much as it may use.
        available_kb: u64,
    },
}

impl fmt::Display for Shortage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Shortage::Descriptors { needed, available } => write!(
                formatter,
                "descriptors: {needed} are needed, {available} may be open"
            ),
            Shortage::Memory {
                needed_kb,
                available_kb,
            } => write!(
                formatter,
                "memory: {needed_kb} KB are needed, {available_kb} KB may be used"
            ),
        }
    }
}

/// Finds what is short on this machine for a scenario.
pub fn find_shortage(scenario: &Scenario) -> Option<Shortage> {
    let replicas = scenario.fleet.replicas as u64;
    let simulated = scenario.dispatchers.simulated as u64;
    let real = scenario.dispatchers.real as u64;
    let needed = replicas
        + simulated * DESCRIPTORS_PER_SIMULATED
        + real * (scenario.dispatchers.max_sockets + DESCRIPTORS_PER_REAL);
    let available = read_number("/proc/self/limits", "Max open files").unwrap_or(u64::MAX);
    if needed > available {
        return Some(Shortage::Descriptors { needed, available });
    }
    let needed_kb =
        replicas * REPLICA_MEMORY_KB + simulated * SIMULATED_MEMORY_KB + real * REAL_MEMORY_KB;
    let total_kb = read_number("/proc/meminfo", "MemTotal:").unwrap_or(u64::MAX);
    let available_kb = total_kb / MEMORY_DIVISOR;
    if needed_kb > available_kb {
        return Some(Shortage::Memory {
            needed_kb,
            available_kb,
        });
    }
    None
}

/// The first number of a line in a file of the system.
fn read_number(path: &str, label: &str) -> Option<u64> {
    let text = std::fs::read_to_string(path).ok()?;
    let values = text.lines().find_map(|line| line.strip_prefix(label))?;
    values.split_whitespace().next()?.parse().ok()
}
