//! Calibration of a fleet model from recorded traffic: the speed of the recorded endpoints ([`calibrate`]) with confidence
//! intervals ([`estimate`]), and the comparison of two sets of runs ([`compare`]).
//!
//! `docs/fleet-model.md` weighs the options and says what comes next.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod calibrate;
pub mod compare;
pub mod estimate;
