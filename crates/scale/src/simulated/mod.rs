//! Replicas, discovery and dispatchers that are simulated in this process. Real dispatchers reach them over loopback sockets.

pub mod discovery;
pub mod peers;
pub mod replica;
