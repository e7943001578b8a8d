//! The cost of the routing module's steps by the size of the fleet, from a simulation of one router.

use crate::fleet::FleetShape;
use crate::results::{StepCost, StepCosts};
use crate::simulation::{Simulation, SimulationOptions, SimulationResult, PREFILL_TOKENS_PER_S};
use std::time::Duration;

/// Requests per second of one dispatcher at the target's peak: 31,000 over 530 dispatchers.
pub const PEAK_RATE_PER_DISPATCHER: f64 = 31_000.0 / 530.0;

/// The fleet, the traffic and the limits of one measurement.
#[derive(Clone, Debug)]
pub struct StepMeasurement {
    /// Number of replicas in the fleet.
    pub replicas: usize,
    /// Share of the replicas that is warming up at the start, from 0 to 1.
    pub warming_up_share: f64,
    /// Number of dispatchers in the fleet, as given in the settings. The router of one of them is simulated.
    pub dispatchers: u32,
    /// Seed by which the fleet and the traffic are drawn.
    pub seed: u64,
    /// Maximum number of simulated requests.
    pub max_arrivals: usize,
    /// Maximum real time of the simulation.
    pub max_duration: Duration,
}

/// Simulates one router at the target's peak rate, and returns the cost of its steps.
pub fn measure(measurement: &StepMeasurement) -> StepCosts {
    let options = SimulationOptions {
        shape: FleetShape {
            warming_up_share: measurement.warming_up_share,
            ..FleetShape::with_replicas(measurement.replicas)
        },
        routers: 1,
        dispatchers: measurement.dispatchers,
        rate_per_router: PEAK_RATE_PER_DISPATCHER,
        has_background_load: true,
        prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
        seed: measurement.seed,
        max_arrivals: measurement.max_arrivals,
        max_duration: measurement.max_duration,
    };
    summarize(measurement, &Simulation::new(options, |_| {}).run())
}

/// Summarizes a simulation: costs by step name, and whether all requested arrivals were simulated.
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
