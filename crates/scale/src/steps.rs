//! The cost of the module's steps against the size of the fleet.

use crate::fleet::Shape;
use crate::results::{Cost, StepCosts};
use crate::world::{Options, Report, World, READ_RATE};
use std::time::Duration;

/// Requests a second that the target's peak gives one dispatcher: 31,000 over 530.
pub const TARGET_RATE: f64 = 31_000.0 / 530.0;

/// What one measurement of the steps is to do.
#[derive(Clone, Debug)]
pub struct Measurement {
    /// Replicas of the fleet.
    pub replicas: usize,
    /// Part of them that is cold.
    pub cold: f64,
    /// Dispatchers that the settings tell of.
    pub dispatchers: u32,
    /// Draws fleet and traffic.
    pub seed: u64,
    /// Requests that are played at most, ...
    pub arrivals: usize,
    /// ... and real time that is spent at most.
    pub within: Duration,
}

/// Plays one router of the module at the target's rate, and gives what its steps cost.
pub fn measure(measurement: &Measurement) -> StepCosts {
    let shape = Shape {
        cold: measurement.cold,
        ..Shape::of(measurement.replicas)
    };
    let options = Options {
        shape,
        routers: 1,
        dispatchers: measurement.dispatchers,
        rate: TARGET_RATE,
        others: true,
        read_rate: READ_RATE,
        seed: measurement.seed,
        arrivals: measurement.arrivals,
        within: measurement.within,
    };
    costs(measurement, World::new(options, |_| {}).run())
}

fn costs(measurement: &Measurement, report: Report) -> StepCosts {
    StepCosts {
        replicas: measurement.replicas,
        dispatchers: measurement.dispatchers,
        cold: measurement.cold,
        seed: measurement.seed,
        arrivals: report.arrivals,
        finished: report.arrivals >= measurement.arrivals,
        steps: report
            .steps
            .iter()
            .map(|(step, it)| (step.name().to_owned(), Cost::of(it)))
            .collect(),
    }
}
