use super::*;
use crate::config::MachineLimits;

fn limits(memory_mb: u64, sockets: u64, has_sessions: bool) -> SharedLimits {
    let machine = MachineLimits {
        memory_mb: Some(memory_mb),
        sockets: Some(sockets),
    };
    let sockets = machine.socket_budgets();
    let memory_bytes = machine.memory_bytes();
    let sessions = SessionConfig::parse("{}").unwrap();
    let budgets = ResourceBudgets {
        sockets,
        sessions: sessions.fit_to_machine(sockets.clients, memory_bytes),
        memory_bytes,
    };
    let session_sockets = if has_sessions {
        budgets.session_sockets()
    } else {
        0
    };
    SharedLimits::new(&budgets, session_sockets)
}

/// Guards against parts of the memory that are bounded each, but not together.
#[test]
fn connections_and_the_shared_budget_are_within_the_clients_memory() {
    for memory_mb in [16, 32, 48, 96, 192, 512, 2048] {
        for sockets in [64, 512, 1024, 4096] {
            for has_sessions in [false, true] {
                let limits = limits(memory_mb, sockets, has_sessions);
                let connections = limits.clients.capacity() * CONNECTION_BYTES;
                let shared = limits.client_memory.capacity_kilobytes() * 1024;
                let client_memory = (memory_mb as usize) << 20;
                let client_memory = client_memory / 100 * CLIENT_MEMORY_PERCENT;
                assert!(
                    connections + shared <= client_memory,
                    "{memory_mb} MB, {sockets} sockets: {connections} + {shared}"
                );
            }
        }
    }
}

#[test]
fn scored_limits_keep_all_connections_and_leave_half_the_endpoints_to_http() {
    let alone = limits(192, 1024, false);
    assert_eq!(alone.clients.capacity(), (1024 - 32) * 5 / 8);
    let with_sessions = limits(192, 1024, true);
    let endpoints = with_sessions.endpoints.capacity();
    assert_eq!(with_sessions.session_requests.capacity(), endpoints / 2);
}
