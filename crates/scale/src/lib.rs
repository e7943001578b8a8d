//! Scale tests of the dispatcher: what it costs and how it behaves as the fleet grows.
//!
//! The target is a deployment of 11,000 replicas and 530 dispatchers with a peak of 31,000 requests per second.
//!
//! - [`run`] runs a [`scenario`]. This process, the bench, contains [`simulated`] replicas, discovery and dispatchers,
//!   and generates an open-loop [`load`]. Real dispatchers are child processes ([`process`]), configured by [`config`].
//! - [`simulation`] runs the routing module against modelled replicas on a simulated clock. [`steps`] derives from it
//!   the cost of each step of the module by the size of the [`fleet`]. [`selection`] compares selection among a sample
//!   of candidates with selection among all endpoints.
//! - [`core_steps`] measures the cost of each step of the dispatcher's core, and [`memory`] its memory.
//! - [`results`] are stored as JSON files. [`table`] writes the tables of `docs/CAPACITY.md` from them, and
//!   [`power_law`] fits how the costs grow with the fleet.

#![deny(unsafe_code)]
#![warn(missing_docs)]

pub mod config;
pub mod core_steps;
pub mod fleet;
pub mod load;
pub mod memory;
pub mod power_law;
pub mod process;
pub mod results;
pub mod run;
pub mod scenario;
pub mod selection;
pub mod simulated;
pub mod simulation;
pub mod steps;
pub mod table;
