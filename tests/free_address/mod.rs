//! Addresses for programs under test, which take an address and not a listener.

use std::sync::atomic::{AtomicU8, Ordering};
use tokio::net::TcpListener;

/// An address that nobody else binds before the program does: each has a loopback IP address of its own, so that no
/// other test is given its port meanwhile.
pub(crate) async fn free_address() -> String {
    static NEXT: AtomicU8 = AtomicU8::new(2);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let last = NEXT.fetch_add(1, Ordering::Relaxed);
    let host = format!("127.{}.{low}.{last}", 16 + high % 128);
    let listener = TcpListener::bind((host, 0)).await.unwrap();
    listener.local_addr().unwrap().to_string()
}
