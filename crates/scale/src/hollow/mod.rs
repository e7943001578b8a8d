//! Hollow processes: they speak the platform's protocol on loopback and do no work. Many share one process.

pub mod discovery;
pub mod peers;
pub mod replica;
