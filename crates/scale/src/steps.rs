//! The cost of the routing module's steps against the size of the fleet.

use crate::fleet::FleetShape;
use crate::results::{StepCost, StepCosts};
use crate::simulation::{Simulation, SimulationOptions, SimulationResult, PREFILL_TOKENS_PER_S};
use std::time::Duration;

/// Requests per second that the target's peak gives one dispatcher: 31,000 over 530.
pub const TARGET_RATE: f64 = 31_000.0 / 530.0;

/// What is measured.
#[derive(Clone, Debug)]
pub struct StepMeasurement {
    /// Replicas of the fleet.
    pub replicas: usize,
    /// Share of them that is warming up.
    pub warming_up_share: f64,
    /// Dispatchers of the fleet, as configured.
    pub dispatchers: u32,
    /// Draws fleet and traffic.
    pub seed: u64,
    /// Requests that are simulated at most, ...
    pub max_arrivals: usize,
    /// ... and real time that is spent at most.
    pub max_duration: Duration,
}

/// Simulates one router at the target's rate, and returns the cost of its steps.
pub fn measure(measurement: &StepMeasurement) -> StepCosts {
    let options = SimulationOptions {
        shape: FleetShape {
            warming_up_share: measurement.warming_up_share,
            ..FleetShape::with_replicas(measurement.replicas)
        },
        routers: 1,
        dispatchers: measurement.dispatchers,
        rate_per_router: TARGET_RATE,
        has_background_load: true,
        prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
        seed: measurement.seed,
        max_arrivals: measurement.max_arrivals,
        max_duration: measurement.max_duration,
    };
    summarize(measurement, &Simulation::new(options, |_| {}).run())
}

fn summarize(measurement: &StepMeasurement, result: &SimulationResult) -> StepCosts {
    let steps = result
        .steps
        .iter()
        .map(|(step, histogram)| (step.name().to_owned(), StepCost::from_histogram(histogram)));
    StepCosts {
        replicas: measurement.replicas,
        dispatchers: measurement.dispatchers,
        warming_up_share: measurement.warming_up_share,
        seed: measurement.seed,
        arrivals: result.arrivals,
        is_finished: result.arrivals >= measurement.max_arrivals,
        steps: steps.collect(),
    }
}
