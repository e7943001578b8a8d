//! Addresses for programs under test, which take an address and not a listener.

use std::sync::atomic::{AtomicU8, Ordering};

/// Below the ports that the system gives to connections.
const PORT: u16 = 7_000;

/// An address that nobody else binds: each has a loopback IP address of its own.
///
/// It is not bound here first. A listener that was closed again may still be open in a process that another test has
/// forked at that moment, and the program would find the address in use.
pub(crate) fn free_address() -> String {
    static NEXT: AtomicU8 = AtomicU8::new(2);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let last = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("127.{}.{low}.{last}:{PORT}", 16 + high % 128)
}
