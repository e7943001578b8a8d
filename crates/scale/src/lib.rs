//! Scale tests of the dispatcher.
//!
//! [`run`] plays a [`scenario`]: [`hollow`] replicas, discovery and dispatchers in one process, real dispatchers beside
//! it ([`process`], configured by [`config`]), and an open-loop [`load`].
//!
//! [`world`] plays the decision module against modelled servers on a simulated clock; [`steps`] measures what each of
//! its steps costs against the size of the fleet, [`core_steps`] those of the core, [`memory`] what it holds takes, [`slope`] how that grows, and [`choice`] what the choice is worth. [`results`] are kept as JSON, from which
//! [`table`] writes the tables of `docs/CAPACITY.md`.

#![deny(unsafe_code)]
#![warn(missing_docs)]

pub mod choice;
pub mod config;
pub mod core_steps;
pub mod fleet;
pub mod hollow;
pub mod load;
pub mod memory;
pub mod process;
pub mod results;
pub mod run;
pub mod scenario;
pub mod slope;
pub mod steps;
pub mod table;
pub mod world;
