use super::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// Runs whose service hangs on scenario and seed, and beside that on what the version does.
fn results(version: u64, better: f64, seeds: u64) -> Results {
    let mut all = Results::new();
    for (number, scenario) in ["jump", "deploy", "slow"].iter().enumerate() {
        for seed in 0..seeds {
            let mut shared = Pcg64::seed_from_u64(seed * 10 + number as u64);
            let mut own = Pcg64::seed_from_u64(version * 100_000 + seed * 10 + number as u64);
            let service = 0.8 + shared.gen_range(-0.15..0.15) + own.gen_range(-0.02..0.02) + better;
            let run = ((*scenario).to_owned(), seed);
            all.insert(run, BTreeMap::from([("service".to_owned(), service)]));
        }
    }
    all
}

/// Of two versions that are the same, as many are told apart as the interval allows: one in twenty.
#[test]
fn the_same_version_is_told_apart_as_seldom_as_stated() {
    let mut distinct = [0; 2];
    for round in 0..400 {
        let told = compare(
            &results(2 * round + 1, 0.0, 12),
            &results(2 * round + 2, 0.0, 12),
        )
        .unwrap();
        distinct[0] += u32::from(told[0].is_distinct());
        distinct[1] += u32::from(told[1].is_distinct());
    }
    // 20 of 400 are meant; chance alone brings 8 to 34.
    assert!(
        distinct.iter().all(|it| (8..=34).contains(it)),
        "{distinct:?}"
    );
}

/// One percent is found though seeds differ by thirty: the pairs met the same.
#[test]
fn a_worse_version_is_found() {
    let told = compare(&results(1, 0.0, 20), &results(2, -0.01, 20)).unwrap();
    let all = &told[0];
    assert!(
        all.is_distinct() && all.scenario.is_none() && all.pairs == 60,
        "{all:?}"
    );
    assert!(
        all.low < -0.01 && -0.01 < all.high && all.high - all.low < 0.02,
        "{all:?}"
    );
    assert_eq!(told.len(), 4);
}

#[test]
fn sets_of_other_runs_are_refused() {
    let (whole, few) = (results(1, 0.0, 6), results(1, 0.0, 4));
    assert!(compare(&whole, &few)
        .unwrap_err()
        .contains("the second set lacks"));
    assert!(compare(&few, &whole)
        .unwrap_err()
        .contains("the first set lacks"));
    assert!(compare(&few, &few)
        .unwrap_err()
        .contains("fewer than 5 pairs"));
    let mut other = whole.clone();
    other
        .values_mut()
        .for_each(|measures| measures.extend([("worst".into(), 1.0)]));
    assert!(compare(&whole, &other)
        .unwrap_err()
        .contains("not measured alike"));
    let mut broken = whole.clone();
    broken
        .values_mut()
        .for_each(|measures| measures.extend([("service".into(), f64::NAN)]));
    assert!(compare(&whole, &broken).unwrap_err().contains("no number"));
    assert_eq!(compare(&Results::new(), &Results::new()), Ok(vec![]));
}
