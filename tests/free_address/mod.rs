//! Addresses for programs under test, which take an address and not a listener.

use std::sync::atomic::{AtomicU8, Ordering};

/// Below the system's range of ephemeral ports.
const PORT: u16 = 7_000;

/// Returns an address that no other test binds: each has a loopback IP address of its own.
///
/// The address is not reserved by binding and closing a listener. A process that another test forks at that moment may
/// still have the listener open, and the program would find the address in use.
pub(crate) fn free_address() -> String {
    static NEXT: AtomicU8 = AtomicU8::new(2);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let last = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("127.{}.{low}.{last}:{PORT}", 16 + high % 128)
}
