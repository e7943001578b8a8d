//! Replicas, discovery and dispatchers that are simulated in this process, as real dispatchers meet them on loopback.

pub mod discovery;
pub mod peers;
pub mod replica;
