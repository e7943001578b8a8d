//! Selection among candidates compared with selection among all endpoints: the same traffic, fleet and seeds.

use crate::fleet::FleetShape;
use crate::results::SelectionComparison;
use crate::simulation::{Simulation, SimulationOptions};
use crate::steps::TARGET_RATE;
use std::time::Duration;

/// Tokens per second of a prefill replica: slow enough for these replicas to be busy at the target's rate.
const BUSY_PREFILL_RATE: f64 = 20_000.0;
/// Requests per second for each replica at the target: 31,000 over 11,000.
const RATE_PER_REPLICA: f64 = 31_000.0 / 11_000.0;
/// Real time that a simulation may take.
const MAX_DURATION: Duration = Duration::from_secs(3600);

/// Simulates a fleet with as many routers as its share of the target's peak needs, twice: with candidates, and with all
/// endpoints scored.
pub fn compare(
    replicas: usize,
    warming_up_share: f64,
    seed: u64,
    seconds: f64,
) -> SelectionComparison {
    let routers = ((replicas as f64 * RATE_PER_REPLICA / TARGET_RATE).round() as usize).max(1);
    let options = SimulationOptions {
        shape: FleetShape {
            warming_up_share,
            ..FleetShape::with_replicas(replicas)
        },
        routers,
        dispatchers: routers as u32,
        rate_per_router: TARGET_RATE,
        has_background_load: false,
        prefill_tokens_per_s: BUSY_PREFILL_RATE,
        seed,
        max_arrivals: (routers as f64 * TARGET_RATE * seconds) as usize,
        max_duration: MAX_DURATION,
    };
    let candidates = Simulation::new(options.clone(), |_| {}).run();
    let full = Simulation::new(options, |router| router.set_full_scan_limit(usize::MAX)).run();
    SelectionComparison {
        replicas,
        routers,
        warming_up_share,
        seed,
        arrivals: full.arrivals,
        served_weight_share: candidates.served_weight_share,
        served_weight_share_full: full.served_weight_share,
        shed_or_failed: candidates.shed_or_failed,
        shed_or_failed_full: full.shed_or_failed,
        is_identical: candidates.digest == full.digest,
    }
}
