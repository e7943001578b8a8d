//! Decisions of the routing module in simulated fleets of the sizes now in service.
//!
//! In fleets this small, selection among candidates must decide as if all endpoints were scored. Any other change of a decision,
//! such as another order of the module's random draws, changes a digest as well.

use quartzhall_scale::fleet::FleetShape;
use quartzhall_scale::simulation::{
    Simulation, SimulationOptions, SimulationResult, PREFILL_TOKENS_PER_S,
};
use std::time::Duration;

fn simulate(shape: FleetShape, seed: u64, max_arrivals: usize) -> SimulationResult {
    let options = SimulationOptions {
        shape,
        routers: 2,
        dispatchers: 12,
        rate_per_router: 60.0,
        has_background_load: true,
        prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
        seed,
        max_arrivals,
        max_duration: Duration::from_secs(600),
    };
    Simulation::new(options, |_| {}).run()
}

fn shapes() -> Vec<FleetShape> {
    let shape = |replicas, zones, warming_up_share| FleetShape {
        zones,
        warming_up_share,
        ..FleetShape::with_replicas(replicas)
    };
    vec![
        shape(12, 1, 0.0),
        shape(40, 3, 0.3),
        shape(100, 15, 0.0),
        shape(100, 2, 0.5),
    ]
}

/// Digests of the simulations in the order of [`shapes`], computed when the module scored every endpoint for every selection.
const DIGESTS: [u64; 4] = [
    8_361_958_994_946_791_718,
    11_216_637_254_983_268_111,
    2_019_342_602_743_963_867,
    18_298_614_020_725_993_871,
];

#[test]
fn decisions_in_small_fleets_equal_those_with_all_endpoints_scored() {
    let digests: Vec<u64> = shapes()
        .into_iter()
        .map(|shape| simulate(shape, 7, 600).digest)
        .collect();
    assert_eq!(digests, DIGESTS);
}
