//! Calibration of a fleet model from recorded traffic.
//!
//! [`calibrate`] derives the speed of the endpoints from a recording, and [`estimate`] computes the estimates with confidence
//! intervals. [`compare`] compares two sets of runs. The modules do no I/O; the command line reads the recordings.
//! `docs/fleet-model.md` discusses the alternatives and the next steps.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod calibrate;
pub mod compare;
pub mod estimate;
