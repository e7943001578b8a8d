//! A model of the fleet, fed with recorded traffic. So far: what a recording tells of its nodes,
//! and how sets of runs are compared.
//!
//! `docs/fleet-model.md` weighs the options and says what comes next.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod calibrate;
pub mod compare;
pub mod estimate;
