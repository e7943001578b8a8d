//! The oracle by itself, and that a seed draws the same faults again.

use quartzhall_soak::oracle::{Invariant, Oracle, Outcome};
use quartzhall_soak::schedule::{draw, Shape};
use rand::SeedableRng;
use rand_pcg::Pcg32;
use std::time::Duration;

const WAIT: Duration = Duration::from_secs(3);

fn broken(oracle: &Oracle) -> Vec<Invariant> {
    oracle
        .breaches()
        .iter()
        .map(|breach| breach.invariant)
        .collect()
}

/// A single-shot request that a writer has taken; `proven`: that one says that it never ran.
fn taken(proven: bool) -> Oracle {
    let oracle = Oracle::new();
    oracle.sent("a", 0, true, WAIT);
    oracle.arrived("a", 7, true, true, Some(2_900), None);
    if proven {
        oracle.turned_away("a", 7, true);
    }
    oracle.attempt_over(
        "a",
        7,
        true,
        if proven {
            Outcome::NeverRan
        } else {
            Outcome::Other
        },
    );
    oracle
}

#[test]
fn what_may_have_run_is_neither_written_again_nor_refused() {
    for (proven, expected) in [(false, vec![Invariant::Duplicate]), (true, vec![])] {
        let oracle = taken(proven);
        oracle.arrived("a", 8, true, true, None, None);
        assert_eq!(broken(&oracle), expected);
        let oracle = taken(proven);
        oracle.answered("a", 503);
        assert_eq!(broken(&oracle), expected);
        let oracle = taken(proven);
        oracle.answered("a", 502);
        assert_eq!(broken(&oracle), []);
    }
}

#[test]
fn drains_told_times_and_broken_streams_are_judged_by_their_own_rules() {
    let oracle = Oracle::new();
    oracle.sent("a", 0, false, WAIT);
    oracle.arrived(
        "a",
        1,
        false,
        true,
        Some(3_100),
        Some(Duration::from_millis(200)),
    );
    assert_eq!(broken(&oracle), [], "all of it within the slack");
    oracle.arrived("a", 1, false, true, None, Some(Duration::from_millis(900)));
    oracle.arrived("a", 1, false, true, Some(4_000), None);
    oracle.stream_broken("a");
    oracle.stream_over("a", false);
    assert_eq!(broken(&oracle), [Invariant::Drain, Invariant::ToldTime]);
    oracle.stream_over("a", true);
    assert_eq!(broken(&oracle).last(), Some(&Invariant::StreamEnd));
    // What had waited in the rig is nobody's fault.
    let oracle = Oracle::new();
    oracle.sent("a", 0, false, WAIT);
    oracle.arrived(
        "a",
        1,
        false,
        false,
        Some(9_000),
        Some(Duration::from_secs(9)),
    );
    assert_eq!(broken(&oracle), []);
}

/// A release lets go of what no write waits for.
#[test]
fn a_release_leaves_what_a_writer_waits_for() {
    let oracle = Oracle::new();
    oracle.sent("a", 0, false, WAIT);
    oracle.arrived("a", 1, false, true, None, None);
    oracle.state_made("a", 1);
    oracle.attempt_over("a", 1, false, Outcome::Read);
    oracle.arrived("a", 7, true, true, None, None);
    oracle.released("a", 2);
    assert!(oracle.is_held("a"));
    oracle.attempt_over("a", 7, true, Outcome::Other);
    oracle.released("a", 2);
    assert!(!oracle.is_held("a"));
}

#[test]
fn a_seed_draws_the_same_faults_again() {
    let shape = Shape {
        processes: 10,
        readers: 5,
        servers: 12,
        span: Duration::from_secs(12),
    };
    let drawn = |seed| format!("{:?}", draw(&shape, &mut Pcg32::seed_from_u64(seed)));
    assert_eq!(drawn(7), drawn(7));
    assert_ne!(drawn(7), drawn(8));
}
