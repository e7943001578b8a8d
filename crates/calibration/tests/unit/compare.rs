use super::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// Runs whose service depends on scenario and seed, and also on the version.
fn measures(version: u64, improvement: f64, seeds: u64) -> RunMeasures {
    let mut all = RunMeasures::new();
    for (number, scenario) in ["jump", "deploy", "slow"].iter().enumerate() {
        for seed in 0..seeds {
            let mut shared = Pcg64::seed_from_u64(seed * 10 + number as u64);
            let mut own = Pcg64::seed_from_u64(version * 100_000 + seed * 10 + number as u64);
            let service =
                0.8 + shared.gen_range(-0.15..0.15) + own.gen_range(-0.02..0.02) + improvement;
            let key = ((*scenario).to_owned(), seed);
            all.insert(key, BTreeMap::from([("service".to_owned(), service)]));
        }
    }
    all
}

/// Two equal versions differ significantly as often as the interval allows: once in twenty comparisons.
#[test]
fn equal_versions_differ_as_rarely_as_stated() {
    let mut distinct = [0; 2];
    for round in 0..400 {
        let differences = compare(
            &measures(2 * round + 1, 0.0, 12),
            &measures(2 * round + 2, 0.0, 12),
        )
        .unwrap();
        distinct[0] += u32::from(differences[0].is_distinct());
        distinct[1] += u32::from(differences[1].is_distinct());
    }
    // 20 of 400 are expected; chance alone gives 8 to 34.
    assert!(
        distinct.iter().all(|count| (8..=34).contains(count)),
        "{distinct:?}"
    );
}

/// One percent is detected although seeds differ by thirty, because the pairs met the same traffic.
#[test]
fn worse_version_differs_significantly() {
    let differences = compare(&measures(1, 0.0, 20), &measures(2, -0.01, 20)).unwrap();
    let all = &differences[0];
    assert!(
        all.is_distinct() && all.scenario.is_none() && all.pairs == 60,
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
        .contains("not measured alike"));
    let mut broken = whole.clone();
    for run in broken.values_mut() {
        run.insert("service".into(), f64::NAN);
    }
    assert!(compare(&whole, &broken)
        .unwrap_err()
        .to_string()
        .contains("no number"));
    assert_eq!(
        compare(&RunMeasures::new(), &RunMeasures::new()),
        Ok(vec![])
    );
}
