//! Two sets of runs, compared run by run. Pure.
//!
//! Runs are paired by scenario and seed, so that both met the same traffic and the same troubles. The unit is the pair: requests
//! within a run are not independent. An interval covers what other seeds would bring, and nothing else: neither what the
//! calibration left open nor what the model gets wrong.

use std::collections::BTreeMap;

/// A run, by its scenario and its seed.
pub type Run = (String, u64);
/// What was measured in each run, by the measure's name.
pub type Results = BTreeMap<Run, BTreeMap<String, f64>>;

/// Fewer pairs say nothing.
pub const PAIRS: usize = 5;

/// The difference of a measure, the second set's less the first's.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The measure.
    pub measure: String,
    /// The scenario; `None`: over all of them.
    pub scenario: Option<String>,
    /// Pairs.
    pub pairs: usize,
    /// The mean difference.
    pub mean: f64,
    /// 95% of such comparisons hold the true one between this ...
    pub low: f64,
    /// ... and this.
    pub high: f64,
}

impl Difference {
    /// Whether the sets can be told apart by it.
    pub fn is_distinct(&self) -> bool {
        self.low > 0.0 || self.high < 0.0
    }
}

/// Student's t at 97.5% for so many degrees of freedom: from a table, and between its rows from the row before, which
/// is the wider one.
fn student(freedom: usize) -> f64 {
    const TABLE: [(usize, f64); 14] = [
        (1, 12.706),
        (2, 4.303),
        (3, 3.182),
        (4, 2.776),
        (5, 2.571),
        (6, 2.447),
        (8, 2.306),
        (10, 2.228),
        (12, 2.179),
        (15, 2.131),
        (20, 2.086),
        (30, 2.042),
        (60, 2.000),
        (120, 1.980),
    ];
    TABLE.iter().rev().find(|(row, _)| *row <= freedom).map_or(f64::INFINITY, |(_, t)| *t)
}

/// The mean of these differences and its 95% interval.
fn interval(differences: &[f64]) -> Option<(f64, f64, f64)> {
    let count = differences.len();
    if count < PAIRS {
        return None;
    }
    let mean = differences.iter().sum::<f64>() / count as f64;
    let square = differences.iter().map(|it| (it - mean) * (it - mean)).sum::<f64>();
    let half = student(count - 1) * (square / (count - 1) as f64 / count as f64).sqrt();
    Some((mean, mean - half, mean + half))
}

/// Over all scenarios, each counting alike whatever its number of pairs: the spread is that within scenarios.
fn overall(by_scenario: &[Vec<f64>]) -> Option<(f64, f64, f64)> {
    let (mut mean, mut variance, mut freedom) = (0.0, 0.0, 0);
    let scenarios = by_scenario.len() as f64;
    for differences in by_scenario {
        let count = differences.len();
        if count < PAIRS {
            return None;
        }
        let own = differences.iter().sum::<f64>() / count as f64;
        let square = differences.iter().map(|it| (it - own) * (it - own)).sum::<f64>();
        mean += own / scenarios;
        variance += square / (count - 1) as f64 / count as f64 / (scenarios * scenarios);
        freedom += count - 1;
    }
    let half = student(freedom) * variance.sqrt();
    (freedom > 0).then_some((mean, mean - half, mean + half))
}

/// Compares two sets; an error where they are not of the same runs.
pub fn compare(first: &Results, second: &Results) -> Result<Vec<Difference>, String> {
    if let Some((scenario, seed)) = first.keys().find(|run| !second.contains_key(*run)) {
        return Err(format!("the second set lacks scenario {scenario:?} with seed {seed}"));
    }
    if let Some((scenario, seed)) = second.keys().find(|run| !first.contains_key(*run)) {
        return Err(format!("the first set lacks scenario {scenario:?} with seed {seed}"));
    }
    let mut all: BTreeMap<&str, BTreeMap<&str, Vec<f64>>> = BTreeMap::new();
    for ((scenario, seed), measures) in first {
        let others = &second[&(scenario.clone(), *seed)];
        if measures.len() != others.len() {
            return Err(format!("scenario {scenario:?} with seed {seed} was not measured alike"));
        }
        for (measure, value) in measures {
            let other = others.get(measure).filter(|it| it.is_finite() && value.is_finite());
            let other = other
                .ok_or_else(|| format!("{measure:?} of {scenario:?}, seed {seed}, is no number in both"))?;
            all.entry(measure).or_default().entry(scenario).or_default().push(other - value);
        }
    }
    let mut told = Vec::new();
    for (measure, scenarios) in all {
        let lists: Vec<Vec<f64>> = scenarios.values().cloned().collect();
        let mut tell = |scenario: Option<&str>, pairs, found: Option<(f64, f64, f64)>| {
            let (mean, low, high) =
                found.ok_or_else(|| format!("{measure:?}: fewer than {PAIRS} pairs in a scenario"))?;
            let (measure, scenario) = (measure.to_owned(), scenario.map(str::to_owned));
            told.push(Difference { measure, scenario, pairs, mean, low, high });
            Ok::<(), String>(())
        };
        tell(None, lists.iter().map(Vec::len).sum(), overall(&lists))?;
        for (scenario, differences) in scenarios {
            tell(Some(scenario), differences.len(), interval(&differences))?;
        }
    }
    Ok(told)
}

#[cfg(test)]
mod tests {
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
            let told = compare(&results(2 * round + 1, 0.0, 12), &results(2 * round + 2, 0.0, 12)).unwrap();
            distinct[0] += u32::from(told[0].is_distinct());
            distinct[1] += u32::from(told[1].is_distinct());
        }
        // 20 of 400 are meant; chance alone brings 8 to 34.
        assert!(distinct.iter().all(|it| (8..=34).contains(it)), "{distinct:?}");
    }

    /// One percent is found though seeds differ by thirty: the pairs met the same.
    #[test]
    fn a_worse_version_is_found() {
        let told = compare(&results(1, 0.0, 20), &results(2, -0.01, 20)).unwrap();
        let all = &told[0];
        assert!(all.is_distinct() && all.scenario.is_none() && all.pairs == 60, "{all:?}");
        assert!(all.low < -0.01 && -0.01 < all.high && all.high - all.low < 0.02, "{all:?}");
        assert_eq!(told.len(), 4);
    }

    #[test]
    fn sets_of_other_runs_are_refused() {
        let (whole, few) = (results(1, 0.0, 6), results(1, 0.0, 4));
        assert!(compare(&whole, &few).unwrap_err().contains("the second set lacks"));
        assert!(compare(&few, &whole).unwrap_err().contains("the first set lacks"));
        assert!(compare(&few, &few).unwrap_err().contains("fewer than 5 pairs"));
        let mut other = whole.clone();
        other.values_mut().for_each(|measures| measures.extend([("worst".into(), 1.0)]));
        assert!(compare(&whole, &other).unwrap_err().contains("not measured alike"));
        let mut broken = whole.clone();
        broken.values_mut().for_each(|measures| measures.extend([("service".into(), f64::NAN)]));
        assert!(compare(&whole, &broken).unwrap_err().contains("no number"));
        assert_eq!(compare(&Results::new(), &Results::new()), Ok(vec![]));
    }
}
