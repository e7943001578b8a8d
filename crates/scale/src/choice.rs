//! What a choice among candidates is worth, against a choice among all servers: the same traffic, fleet and seeds.

use crate::fleet::Shape;
use crate::results::ChoiceWorth;
use crate::steps::TARGET_RATE;
use crate::world::{Options, World};
use std::time::Duration;

/// Tokens that a reader reads in a second: slow enough for the readers to be busy at the target's rate.
const READ_RATE: f64 = 20_000.0;
/// Requests a second for each replica at the target: 31,000 over 11,000.
const PER_REPLICA: f64 = 31_000.0 / 11_000.0;

/// Plays a fleet with as many routers as its share of the target's peak needs, twice: with candidates, and with all
/// servers looked at.
pub fn compare(replicas: usize, cold: f64, seed: u64, seconds: f64) -> ChoiceWorth {
    let routers = ((replicas as f64 * PER_REPLICA / TARGET_RATE).round() as usize).max(1);
    let options = Options {
        shape: Shape {
            cold,
            ..Shape::of(replicas)
        },
        routers,
        dispatchers: routers as u32,
        rate: TARGET_RATE,
        others: false,
        read_rate: READ_RATE,
        seed,
        arrivals: (routers as f64 * TARGET_RATE * seconds) as usize,
        within: Duration::from_secs(3600),
    };
    let candidates = World::new(options.clone(), |_| {}).run();
    let full = World::new(options, |router| router.look_at_all_up_to(usize::MAX)).run();
    ChoiceWorth {
        replicas,
        routers,
        cold,
        seed,
        arrivals: full.arrivals,
        worth_candidates: candidates.worth,
        worth_full: full.worth,
        given_up_candidates: candidates.given_up,
        given_up_full: full.given_up,
        same: candidates.digest == full.digest,
    }
}
