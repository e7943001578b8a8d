//! A randomized fault soak.
//!
//! [`run`] starts real dispatchers on loopback with simulated [`replica`]s, and clients ([`client`]) and a discovery agent
//! for each dispatcher. It injects the seeded fault [`schedule`], whose faults overlap in time. The [`oracle`] checks what
//! clients and replicas observed, by request id and with monotonic time stamps. A seed repeats the same faults and load.

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
