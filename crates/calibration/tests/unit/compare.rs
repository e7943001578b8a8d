use super::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// Returns runs in three scenarios whose served share varies with scenario and seed, and a little with the version.
fn measures(version: u64, improvement: f64, seeds: u64) -> RunMeasures {
    let mut all = RunMeasures::new();
    for (number, scenario) in ["jump", "deploy", "slow"].iter().enumerate() {
        for seed in 0..seeds {
            let mut shared = Pcg64::seed_from_u64(seed * 10 + number as u64);
            let mut own = Pcg64::seed_from_u64(version * 100_000 + seed * 10 + number as u64);
            let served_share =
                0.8 + shared.gen_range(-0.15..0.15) + own.gen_range(-0.02..0.02) + improvement;
            let key = ((*scenario).to_owned(), seed);
            all.insert(key, BTreeMap::from([("service".to_owned(), served_share)]));
        }
    }
    all
}

/// Versions without a difference are reported as different in 5% of the comparisons, as 95% intervals promise.
#[test]
fn equal_versions_differ_as_rarely_as_stated() {
    let mut significant = [0; 2];
    for round in 0..400 {
        let differences = compare(
            &measures(2 * round + 1, 0.0, 12),
            &measures(2 * round + 2, 0.0, 12),
        )
        .unwrap();
        significant[0] += u32::from(differences[0].is_significant());
        significant[1] += u32::from(differences[1].is_significant());
    }
    // 20 of 400 are expected; random variation alone gives 8 to 34.
    assert!(
        significant.iter().all(|count| (8..=34).contains(count)),
        "{significant:?}"
    );
}

/// A difference of 0.01 is detected although the served share varies by 0.3 between seeds, because runs are compared in pairs.
#[test]
fn worse_version_differs_significantly() {
    let differences = compare(&measures(1, 0.0, 20), &measures(2, -0.01, 20)).unwrap();
    let all = &differences[0];
    assert!(
        all.is_significant() && all.scenario.is_none() && all.pairs == 60,
        "{all:?}"
    );
    assert!(
        all.low < -0.01 && -0.01 < all.high && all.high - all.low < 0.02,
        "{all:?}"
    );
    assert_eq!(differences.len(), 4);
}

#[test]
fn sets_with_different_runs_are_rejected() {
    let (whole, few) = (measures(1, 0.0, 6), measures(1, 0.0, 4));
    assert!(compare(&whole, &few)
        .unwrap_err()
        .to_string()
        .contains("the second set lacks"));
    assert!(compare(&few, &whole)
        .unwrap_err()
        .to_string()
        .contains("the first set lacks"));
    assert!(compare(&few, &few)
        .unwrap_err()
        .to_string()
        .contains("fewer than 5 pairs"));
    let mut other = whole.clone();
    for run in other.values_mut() {
        run.insert("worst".into(), 1.0);
    }
    assert!(compare(&whole, &other)
        .unwrap_err()
        .to_string()
        .contains("has different measures in the two sets"));
    let mut broken = whole.clone();
    for run in broken.values_mut() {
        run.insert("service".into(), f64::NAN);
    }
    assert!(compare(&whole, &broken)
        .unwrap_err()
        .to_string()
        .contains("is missing or not finite"));
    assert_eq!(
        compare(&RunMeasures::new(), &RunMeasures::new()),
        Ok(vec![])
    );
}
