//! A soak test with randomized fault injection.
//!
//! [`run`] starts real dispatchers on loopback with simulated [`replica`]s, and clients ([`client`]) and a discovery agent
//! for each dispatcher. It injects the faults of a seeded [`schedule`]; several faults may be active at once. The
//! [`oracle`] records what clients and replicas observe, by request id and with monotonic timestamps, and checks it against
//! the protocol's invariants. The same seed draws the same fault schedule and the same requests.
//!
//! In names and parameters, `process` is the number of a dispatcher, which it keeps while its process is replaced.

#![deny(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
pub mod config;
pub mod error;
pub mod oracle;
pub mod replica;
mod request_history;
pub mod run;
pub mod schedule;
pub mod stream_plan;
pub mod wire;
