//! A randomized fault soak.
//!
//! [`run`] starts real dispatchers on loopback with stand-in [`server`]s, clients ([`client`]) and an agent of discovery for
//! each, plays a seeded [`schedule`] of faults that overlap in time, and judges by the [`oracle`]: what clients and
//! servers saw, with monotonic stamps, by request id. A seed plays the same faults and load again.

#![deny(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
pub mod config;
pub mod oracle;
pub mod run;
pub mod schedule;
pub mod server;
pub mod wire;
