//! Compares selection among a sample of candidates with selection among all endpoints.
//!
//! Both simulations have the same fleet, traffic and seed, so a difference in their results comes from the selection.

use crate::fleet::FleetShape;
use crate::results::SelectionComparison;
use crate::simulation::{Simulation, SimulationOptions};
use crate::steps::PEAK_RATE_PER_DISPATCHER;
use std::time::Duration;

/// Tokens per second of a prefill replica: slow enough to keep prefill replicas busy at the target's peak, so that the
/// selection matters.
const BUSY_PREFILL_TOKENS_PER_S: f64 = 20_000.0;
/// Requests per second per replica at the target's peak: 31,000 over 11,000 replicas.
const PEAK_RATE_PER_REPLICA: f64 = 31_000.0 / 11_000.0;
/// The maximum real time of one simulation.
const MAX_SIMULATION_TIME: Duration = Duration::from_secs(3600);

/// Simulates a fleet twice: with candidates, and with all endpoints scored. The number of routers is proportional to
/// the fleet, so that each has the target's peak rate. The simulations end after as many requests as arrive in
/// `seconds` on average.
pub fn compare(
    replicas: usize,
    warming_up_share: f64,
    seed: u64,
    seconds: f64,
) -> SelectionComparison {
    let routers = ((replicas as f64 * PEAK_RATE_PER_REPLICA / PEAK_RATE_PER_DISPATCHER).round()
        as usize)
        .max(1);
    let options = SimulationOptions {
        shape: FleetShape {
            warming_up_share,
            ..FleetShape::with_replicas(replicas)
        },
        routers,
        dispatchers: routers as u32,
        rate_per_router: PEAK_RATE_PER_DISPATCHER,
        has_background_load: false,
        prefill_tokens_per_s: BUSY_PREFILL_TOKENS_PER_S,
        seed,
        max_arrivals: (routers as f64 * PEAK_RATE_PER_DISPATCHER * seconds) as usize,
        max_duration: MAX_SIMULATION_TIME,
    };
    let with_candidates = Simulation::new(options.clone(), |_| {}).run();
    let full_scan = Simulation::new(options, |router| router.set_full_scan_limit(usize::MAX)).run();
    SelectionComparison {
        replicas,
        routers,
        warming_up_share,
        seed,
        arrivals: full_scan.arrivals,
        served_weight_share: with_candidates.served_weight_share,
        served_weight_share_full: full_scan.served_weight_share,
        shed_or_failed: with_candidates.shed_or_failed,
        shed_or_failed_full: full_scan.shed_or_failed,
        is_identical: with_candidates.digest == full_scan.digest,
    }
}
