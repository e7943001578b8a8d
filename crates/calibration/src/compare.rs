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
    TABLE
        .iter()
        .rev()
        .find(|(row, _)| *row <= freedom)
        .map_or(f64::INFINITY, |(_, t)| *t)
}

/// The mean of these differences and its 95% interval.
fn interval(differences: &[f64]) -> Option<(f64, f64, f64)> {
    let count = differences.len();
    if count < PAIRS {
        return None;
    }
    let mean = differences.iter().sum::<f64>() / count as f64;
    let square = differences
        .iter()
        .map(|it| (it - mean) * (it - mean))
        .sum::<f64>();
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
        let square = differences
            .iter()
            .map(|it| (it - own) * (it - own))
            .sum::<f64>();
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
        return Err(format!(
            "the second set lacks scenario {scenario:?} with seed {seed}"
        ));
    }
    if let Some((scenario, seed)) = second.keys().find(|run| !first.contains_key(*run)) {
        return Err(format!(
            "the first set lacks scenario {scenario:?} with seed {seed}"
        ));
    }
    let mut all: BTreeMap<&str, BTreeMap<&str, Vec<f64>>> = BTreeMap::new();
    for ((scenario, seed), measures) in first {
        let others = &second[&(scenario.clone(), *seed)];
        if measures.len() != others.len() {
            return Err(format!(
                "scenario {scenario:?} with seed {seed} was not measured alike"
            ));
        }
        for (measure, value) in measures {
            let other = others
                .get(measure)
                .filter(|it| it.is_finite() && value.is_finite());
            let other = other.ok_or_else(|| {
                format!("{measure:?} of {scenario:?}, seed {seed}, is no number in both")
            })?;
            all.entry(measure)
                .or_default()
                .entry(scenario)
                .or_default()
                .push(other - value);
        }
    }
    let mut told = Vec::new();
    for (measure, scenarios) in all {
        let lists: Vec<Vec<f64>> = scenarios.values().cloned().collect();
        let mut tell = |scenario: Option<&str>, pairs, found: Option<(f64, f64, f64)>| {
            let (mean, low, high) = found
                .ok_or_else(|| format!("{measure:?}: fewer than {PAIRS} pairs in a scenario"))?;
            let (measure, scenario) = (measure.to_owned(), scenario.map(str::to_owned));
            told.push(Difference {
                measure,
                scenario,
                pairs,
                mean,
                low,
                high,
            });
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
#[path = "../tests/unit/compare.rs"]
mod tests;
