//! Estimates with 90% confidence intervals, by a block bootstrap.
//!
//! Samples that are close in time are not independent, because the requests met the same queue. So whole blocks of time are
//! resampled, never single samples. The same samples and seed give the same estimate.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// The length of a block of time, in microseconds.
const BLOCK_US: u64 = 5_000_000;
/// The minimum number of blocks for an estimate.
pub const MIN_BLOCKS: usize = 8;
/// The minimum number of samples for an estimate.
pub const MIN_SAMPLES: usize = 40;
/// The number of bootstrap resamples.
const RESAMPLES: usize = 400;
/// The share of resampled values below a 90% interval, and likewise above the interval.
const TAIL_SHARE: f64 = 0.05;
/// Sizes with a lower relative variance count as equal, because no line can be fitted to them.
const MIN_RELATIVE_VARIANCE: f64 = 1e-9;

/// One observation of a duration that may depend on a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// The time of the observation in microseconds, which assigns it to a block.
    pub at_us: u64,
    /// The size, such as a number of tokens; [`Estimator::Mean`] ignores it.
    pub size: f64,
    /// The observed duration.
    pub seconds: f64,
}

/// The result of an estimate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Estimate {
    /// There are at least [`MIN_SAMPLES`] samples in at least [`MIN_BLOCKS`] blocks, and they determine the value.
    Known {
        /// The value for all samples.
        value: f64,
        /// The lower end of the 90% interval.
        low: f64,
        /// The upper end of the 90% interval.
        high: f64,
        /// The number of samples.
        samples: usize,
    },
    /// There are too few samples or blocks, no line can be fitted because all sizes are equal, or an inverse may be infinite.
    Unknown {
        /// The number of samples.
        samples: usize,
        /// The number of blocks with samples; 0 for an inverse that may be infinite.
        blocks: usize,
    },
}

/// The quantity that is estimated from the samples.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Estimator {
    /// The duration at size 0, from a line fitted by least squares.
    Intercept,
    /// The duration per unit of size, from a line fitted by least squares.
    Slope,
    /// The mean duration, whatever the sizes.
    Mean,
}

impl Estimator {
    /// Returns the value for the samples: seconds, or seconds per unit of size for [`Estimator::Slope`]. `None` without samples,
    /// or if a line cannot be fitted because all sizes are equal.
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
        // Variance and covariance are multiplied by the number of samples.
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

/// Estimates a value from samples in any order, with its confidence interval. `seed` determines the resampling.
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
        let drawn_blocks: Vec<usize> = blocks
            .iter()
            .map(|_| rng.gen_range(0..blocks.len()))
            .collect();
        let resample = drawn_blocks
            .iter()
            .flat_map(|index| blocks[*index].iter().copied());
        resampled.extend(estimator.apply(resample));
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
    /// Returns the estimate of the inverse, such as the rate for a time per token. It is unknown if the interval reaches
    /// 0 or below, because the inverse may then be infinite.
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
