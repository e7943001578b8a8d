//! Scale tests of the dispatcher.
//!
//! [`run`] plays a [`scenario`]: [`simulated`] replicas, discovery and dispatchers in one process, real dispatchers beside
//! it ([`process`], configured by [`config`]), and an open-loop [`load`].
//!
//! [`simulation`] runs the routing module against modelled replicas on a simulated clock. [`steps`] measures what each of
//! the module's steps costs against the size of the [`fleet`], [`core_steps`] those of the core, [`memory`] the memory they
//! take, and [`selection`] compares selection among candidates with selection among all endpoints. [`results`] are stored as
//! JSON, from which [`table`] writes the tables of `docs/CAPACITY.md`; [`power_law`] fits the growth of the costs.

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
