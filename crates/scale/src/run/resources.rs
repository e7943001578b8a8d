//! Checks, before a run starts, that the machine has the file descriptors and the memory that the scenario needs.

use crate::scenario::Scenario;
use std::fmt;

/// File descriptors that the bench needs for each real dispatcher, beside that dispatcher's connections.
const DESCRIPTORS_PER_REAL: u64 = 200;
/// File descriptors of a simulated dispatcher: its gossip socket, and both ends of its connection to discovery.
const DESCRIPTORS_PER_SIMULATED: u64 = 3;
/// Estimated memory of a replica, in KB.
const REPLICA_MEMORY_KB: u64 = 48;
/// Estimated memory of a simulated dispatcher, in KB.
const SIMULATED_MEMORY_KB: u64 = 128;
/// Memory limit of a real dispatcher, in KB.
const REAL_MEMORY_KB: u64 = 256 * 1024;
/// Divisor of the machine's memory: a run may use half of it.
const MEMORY_DIVISOR: u64 = 2;

/// A resource of which the machine has less than a scenario needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// Too few file descriptors.
    Descriptors {
        /// Number that the scenario needs.
        needed: u64,
        /// Limit of open files of this process.
        available: u64,
    },
    /// Too little memory.
    Memory {
        /// Memory that the scenario needs, in KB.
        needed_kb: u64,
        /// Memory that a run may use, in KB.
        available_kb: u64,
    },
}

impl fmt::Display for Shortage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Shortage::Descriptors { needed, available } => write!(
                formatter,
                "file descriptors: {needed} needed, {available} allowed"
            ),
            Shortage::Memory {
                needed_kb,
                available_kb,
            } => write!(
                formatter,
                "memory: {needed_kb} KB needed, {available_kb} KB allowed"
            ),
        }
    }
}

/// Returns the first resource that the machine lacks for a scenario. Limits that cannot be read count as sufficient.
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

/// Returns the first number after `label` at the start of a line, from a file below `/proc`.
fn read_number(path: &str, label: &str) -> Option<u64> {
    let text = std::fs::read_to_string(path).ok()?;
    let values = text.lines().find_map(|line| line.strip_prefix(label))?;
    values.split_whitespace().next()?.parse().ok()
}
