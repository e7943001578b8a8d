//! The decisions of the module in fleets of the size in service today, and how they grow beyond it.

use quartzhall_scale::fleet::Shape;
use quartzhall_scale::world::{Options, Report, World, READ_RATE};
use std::time::Duration;

fn play(shape: Shape, seed: u64, arrivals: usize) -> Report {
    let options = Options {
        shape,
        routers: 2,
        dispatchers: 12,
        rate: 60.0,
        others: true,
        read_rate: READ_RATE,
        seed,
        arrivals,
        within: Duration::from_secs(600),
    };
    World::new(options, |_| {}).run()
}

fn shapes() -> Vec<Shape> {
    let shape = |replicas, zones, cold| Shape {
        zones,
        cold,
        ..Shape::of(replicas)
    };
    vec![
        shape(12, 1, 0.0),
        shape(40, 3, 0.3),
        shape(100, 15, 0.0),
        shape(100, 2, 0.5),
    ]
}

/// All that the module did in these plays when it judged every server for every choice: draw for draw the same.
const DIGESTS: [u64; 4] = [
    8_361_958_994_946_791_718,
    11_216_637_254_983_268_111,
    2_019_342_602_743_963_867,
    18_298_614_020_725_993_871,
];

#[test]
fn decisions_in_small_fleets_are_those_of_full_choice() {
    let digests: Vec<u64> = shapes()
        .into_iter()
        .map(|shape| play(shape, 7, 600).digest)
        .collect();
    assert_eq!(digests, DIGESTS);
}
