//! Estimates with confidence intervals. The module does no I/O; random draws come from a seed.
//!
//! Samples that lie close together in time are not independent, because they met the same queue. So whole blocks of time are
//! resampled, never single samples (block bootstrap).

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// Samples within the same span of this many microseconds form a block.
const BLOCK_US: u64 = 5_000_000;
/// With fewer blocks there is no estimate.
pub const MIN_BLOCKS: usize = 8;
/// With fewer samples there is no estimate.
pub const MIN_SAMPLES: usize = 40;
/// The number of resamplings.
const RESAMPLES: usize = 400;
/// The share of resampled values outside the interval on either side: 90% are within.
const TAIL_SHARE: f64 = 0.05;
/// Sizes whose relative variance is lower count as equal.
const MIN_RELATIVE_VARIANCE: f64 = 1e-9;

/// One observation of a duration that may grow with a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// When it was made, in microseconds.
    pub at_us: u64,
    /// The size.
    pub size: f64,
    /// The duration, in seconds.
    pub seconds: f64,
}

/// An estimated value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Estimate {
    /// The data suffice.
    Known {
        /// The value.
        value: f64,
        /// The lower end of the 90% interval.
        low: f64,
        /// The upper end of the 90% interval.
        high: f64,
        /// The number of samples.
        samples: usize,
    },
    /// The data do not suffice, or all sizes are equal.
    Unknown {
        /// The number of samples.
        samples: usize,
        /// The number of blocks.
        blocks: usize,
    },
}

/// What is estimated from the samples.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Estimator {
    /// The duration at size 0, by a fitted line.
    Intercept,
    /// The duration per unit of size, by a fitted line.
    Slope,
    /// The mean duration, whatever the size.
    Mean,
}

impl Estimator {
    /// Applies the estimator; `None` without samples, or if a line is to be fitted and all sizes are equal.
    fn apply(self, samples: impl Iterator<Item = Sample> + Clone) -> Option<f64> {
        let count = samples.clone().count() as f64;
        if count == 0.0 {
            return None;
        }
        let mean_size = samples.clone().map(|sample| sample.size).sum::<f64>() / count;
        let mean_seconds = samples.clone().map(|sample| sample.seconds).sum::<f64>() / count;
        if self == Estimator::Mean {
            return Some(mean_seconds);
        }
        let variance = samples
            .clone()
            .map(|sample| (sample.size - mean_size) * (sample.size - mean_size))
            .sum::<f64>();
        let covariance = samples
            .map(|sample| (sample.size - mean_size) * (sample.seconds - mean_seconds))
            .sum::<f64>();
        if variance <= MIN_RELATIVE_VARIANCE * (1.0 + mean_size * mean_size) * count {
            return None;
        }
        let slope = covariance / variance;
        if self == Estimator::Slope {
            Some(slope)
        } else {
            Some(mean_seconds - slope * mean_size)
        }
    }
}

/// Estimates a value from samples, with the interval that resampled blocks give. The seed determines the resampling.
pub fn estimate(samples: &[Sample], estimator: Estimator, seed: u64) -> Estimate {
    let mut sorted = samples.to_vec();
    sorted.sort_by_key(|sample| sample.at_us);
    let blocks: Vec<&[Sample]> = sorted
        .chunk_by(|a, b| a.at_us / BLOCK_US == b.at_us / BLOCK_US)
        .collect();
    let unknown = Estimate::Unknown {
        samples: sorted.len(),
        blocks: blocks.len(),
    };
    if sorted.len() < MIN_SAMPLES || blocks.len() < MIN_BLOCKS {
        return unknown;
    }
    let Some(value) = estimator.apply(sorted.iter().copied()) else {
        return unknown;
    };
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut resampled = Vec::with_capacity(RESAMPLES);
    for _ in 0..RESAMPLES {
        let picks: Vec<usize> = blocks
            .iter()
            .map(|_| rng.gen_range(0..blocks.len()))
            .collect();
        let picked_samples = picks
            .iter()
            .flat_map(|index| blocks[*index].iter().copied());
        resampled.extend(estimator.apply(picked_samples));
    }
    if resampled.len() < RESAMPLES / 2 {
        return unknown;
    }
    resampled.sort_by(f64::total_cmp);
    let quantile = |share: f64| resampled[((resampled.len() - 1) as f64 * share).round() as usize];
    Estimate::Known {
        value,
        low: quantile(TAIL_SHARE),
        high: quantile(1.0 - TAIL_SHARE),
        samples: sorted.len(),
    }
}

impl Estimate {
    /// The estimate of the inverse, such as the rate for a time per token; unknown if that may be infinite.
    pub fn inverse(self) -> Estimate {
        match self {
            Estimate::Known {
                value,
                low,
                high,
                samples,
            } if low > 0.0 && value > 0.0 => Estimate::Known {
                value: 1.0 / value,
                low: 1.0 / high,
                high: 1.0 / low,
                samples,
            },
            Estimate::Known { samples, .. } => Estimate::Unknown { samples, blocks: 0 },
            Estimate::Unknown { .. } => self,
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/estimate.rs"]
mod tests;
