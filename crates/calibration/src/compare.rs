//! Paired comparison of two sets of runs of the fleet model, such as those of two versions of the dispatcher.
//!
//! Runs are paired by scenario and seed, so both runs of a pair have the same traffic and faults. The pair is the unit of
//! observation, because requests within a run are not independent. The 95% intervals cover the variation between seeds only:
//! neither the uncertainty of the calibration nor the errors of the model.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;

/// Identifies a run by its scenario and seed.
pub type RunKey = (String, u64);
/// The measured values of each run, by the name of the measure.
pub type RunMeasures = BTreeMap<RunKey, BTreeMap<String, f64>>;

/// The minimum number of pairs in each scenario.
pub const MIN_PAIRS: usize = 5;

/// The 97.5% quantile of Student's t distribution, by degrees of freedom.
const STUDENT_T: [(usize, f64); 14] = [
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

/// The difference of a measure between the sets: the value in the second set minus that in the first.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The name of the measure.
    pub measure: String,
    /// The scenario; `None` for the difference over all scenarios.
    pub scenario: Option<String>,
    /// The number of pairs.
    pub pairs: usize,
    /// The mean difference, in the measure's unit. Over all scenarios, each scenario has the same weight.
    pub mean: f64,
    /// The lower end of the 95% interval.
    pub low: f64,
    /// The upper end of the 95% interval.
    pub high: f64,
}

impl Difference {
    /// Returns whether the 95% interval excludes 0.
    pub fn is_significant(&self) -> bool {
        self.low > 0.0 || self.high < 0.0
    }
}

/// One of the two compared sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunSet {
    /// The first argument of [`compare`].
    First,
    /// The second argument of [`compare`].
    Second,
}

/// The reason why two sets cannot be compared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CompareError {
    /// A run of one set is missing from the other set.
    MissingRun {
        /// The set that lacks the run.
        set: RunSet,
        /// The run's scenario.
        scenario: String,
        /// The run's seed.
        seed: u64,
    },
    /// A run has different numbers of measures in the two sets.
    DifferentMeasures {
        /// The run's scenario.
        scenario: String,
        /// The run's seed.
        seed: u64,
    },
    /// A measure of a run is missing from the second set, or is not finite in one of the sets.
    NotFinite {
        /// The name of the measure.
        measure: String,
        /// The run's scenario.
        scenario: String,
        /// The run's seed.
        seed: u64,
    },
    /// A measure has fewer than [`MIN_PAIRS`] pairs in a scenario.
    TooFewPairs {
        /// The name of the measure.
        measure: String,
    },
}

impl fmt::Display for CompareError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CompareError::MissingRun {
                set,
                scenario,
                seed,
            } => {
                let set = match set {
                    RunSet::First => "first",
                    RunSet::Second => "second",
                };
                write!(
                    formatter,
                    "the {set} set lacks scenario {scenario:?} with seed {seed}"
                )
            }
            CompareError::DifferentMeasures { scenario, seed } => write!(
                formatter,
                "scenario {scenario:?} with seed {seed} has different measures in the two sets"
            ),
            CompareError::NotFinite {
                measure,
                scenario,
                seed,
            } => write!(
                formatter,
                "measure {measure:?} of scenario {scenario:?} with seed {seed} is missing or not finite in a set"
            ),
            CompareError::TooFewPairs { measure } => write!(
                formatter,
                "{measure:?}: fewer than {MIN_PAIRS} pairs in a scenario"
            ),
        }
    }
}

impl Error for CompareError {}

/// A mean with its 95% confidence interval.
struct Interval {
    mean: f64,
    low: f64,
    high: f64,
}

impl Interval {
    fn around(mean: f64, half_width: f64) -> Interval {
        Interval {
            mean,
            low: mean - half_width,
            high: mean + half_width,
        }
    }
}

/// Returns the 97.5% quantile of Student's t distribution. Between two rows of the table it is that of the lower row, which
/// makes the interval wider, never narrower.
fn student_t(degrees_of_freedom: usize) -> f64 {
    for (row, t) in STUDENT_T.iter().rev() {
        if *row <= degrees_of_freedom {
            return *t;
        }
    }
    f64::INFINITY
}

/// Returns the mean of the differences, and the sum of their squared deviations from the mean. NaN for no differences, which
/// callers exclude by [`MIN_PAIRS`].
fn mean_and_squares(differences: &[f64]) -> (f64, f64) {
    let mean = differences.iter().sum::<f64>() / differences.len() as f64;
    let squares = differences
        .iter()
        .map(|difference| (difference - mean) * (difference - mean))
        .sum::<f64>();
    (mean, squares)
}

/// Returns the interval of one scenario; `None` with too few pairs.
fn scenario_interval(differences: &[f64]) -> Option<Interval> {
    let count = differences.len();
    if count < MIN_PAIRS {
        return None;
    }
    let (mean, squares) = mean_and_squares(differences);
    let standard_error = (squares / (count - 1) as f64 / count as f64).sqrt();
    Some(Interval::around(
        mean,
        student_t(count - 1) * standard_error,
    ))
}

/// Returns the interval over all scenarios; `None` with too few pairs in any of them. Scenarios have equal weights, whatever
/// their numbers of pairs, and only the variance within scenarios counts.
fn overall_interval(by_scenario: &[&Vec<f64>]) -> Option<Interval> {
    let mut mean = 0.0;
    let mut variance = 0.0;
    let mut degrees_of_freedom = 0;
    let scenarios = by_scenario.len() as f64;
    for differences in by_scenario {
        let count = differences.len();
        if count < MIN_PAIRS {
            return None;
        }
        let (scenario_mean, squares) = mean_and_squares(differences);
        mean += scenario_mean / scenarios;
        variance += squares / (count - 1) as f64 / count as f64 / (scenarios * scenarios);
        degrees_of_freedom += count - 1;
    }
    if degrees_of_freedom == 0 {
        return None;
    }
    let half_width = student_t(degrees_of_freedom) * variance.sqrt();
    Some(Interval::around(mean, half_width))
}

/// Checks that both sets have the same runs.
fn check_runs(first: &RunMeasures, second: &RunMeasures) -> Result<(), CompareError> {
    let missing = |set, key: &RunKey| CompareError::MissingRun {
        set,
        scenario: key.0.clone(),
        seed: key.1,
    };
    if let Some(key) = first.keys().find(|key| !second.contains_key(*key)) {
        return Err(missing(RunSet::Second, key));
    }
    if let Some(key) = second.keys().find(|key| !first.contains_key(*key)) {
        return Err(missing(RunSet::First, key));
    }
    Ok(())
}

/// The difference of each pair, by measure and scenario.
type Differences<'a> = BTreeMap<&'a str, BTreeMap<&'a str, Vec<f64>>>;

/// Returns the difference of each measure in each pair of runs. Both sets must have the same runs.
fn pair_runs<'a>(
    first: &'a RunMeasures,
    second: &RunMeasures,
) -> Result<Differences<'a>, CompareError> {
    let mut differences = Differences::new();
    for (key, first_measures) in first {
        let (scenario, seed) = key;
        let second_measures = &second[key];
        if first_measures.len() != second_measures.len() {
            return Err(CompareError::DifferentMeasures {
                scenario: scenario.clone(),
                seed: *seed,
            });
        }
        for (measure, first_value) in first_measures {
            let second_value = match second_measures.get(measure) {
                Some(value) if value.is_finite() && first_value.is_finite() => value,
                _ => {
                    return Err(CompareError::NotFinite {
                        measure: measure.clone(),
                        scenario: scenario.clone(),
                        seed: *seed,
                    })
                }
            };
            differences
                .entry(measure)
                .or_default()
                .entry(scenario)
                .or_default()
                .push(second_value - first_value);
        }
    }
    Ok(differences)
}

/// Compares two sets of runs. Returns for each measure the difference over all scenarios, then that of each scenario.
///
/// # Errors
///
/// Fails if the sets differ in their runs or measures, if a value is not finite, or if a scenario has too few pairs.
pub fn compare(first: &RunMeasures, second: &RunMeasures) -> Result<Vec<Difference>, CompareError> {
    check_runs(first, second)?;
    let mut comparison = Vec::new();
    for (measure, by_scenario) in pair_runs(first, second)? {
        let mut add = |scenario: Option<&str>, pairs: usize, interval: Option<Interval>| {
            let Some(Interval { mean, low, high }) = interval else {
                return Err(CompareError::TooFewPairs {
                    measure: measure.to_owned(),
                });
            };
            comparison.push(Difference {
                measure: measure.to_owned(),
                scenario: scenario.map(str::to_owned),
                pairs,
                mean,
                low,
                high,
            });
            Ok(())
        };
        let all_scenarios: Vec<&Vec<f64>> = by_scenario.values().collect();
        let all_pairs = all_scenarios.iter().map(|pairs| pairs.len()).sum();
        add(None, all_pairs, overall_interval(&all_scenarios))?;
        for (scenario, differences) in &by_scenario {
            let interval = scenario_interval(differences);
            add(Some(scenario), differences.len(), interval)?;
        }
    }
    Ok(comparison)
}

#[cfg(test)]
#[path = "../tests/unit/compare.rs"]
mod tests;
