//! Figures with the spread that the data leave. Pure; draws come from a seed.
//!
//! Samples that lie close together in time are not independent (they met the same queue), so what is resampled is
//! whole blocks of time, never single samples.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// A block: samples that came within the same span.
const BLOCK_US: u64 = 5_000_000;
/// With fewer blocks, or fewer samples, nothing is said.
pub const BLOCKS: usize = 8;
/// See [`BLOCKS`].
pub const SAMPLES: usize = 40;
/// Resamplings.
const DRAWS: usize = 400;
/// The part of the resampled values that an interval leaves out on either side: 90% are within.
const TAIL: f64 = 0.05;

/// One observation of a time that may grow with a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// When, in microseconds.
    pub at: u64,
    /// The size.
    pub x: f64,
    /// The time.
    pub y: f64,
}

/// A figure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Figure {
    /// It was found.
    Known {
        /// Its value.
        value: f64,
        /// 90% of the values that blocks drawn anew give are between this ...
        low: f64,
        /// ... and this.
        high: f64,
        /// From so many samples.
        samples: usize,
    },
    /// The data don't say.
    Unknown {
        /// There were so many samples ...
        samples: usize,
        /// ... in so many blocks of time; or they all had the same size.
        blocks: usize,
    },
}

/// What a fitted line is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Time at size 0.
    Start,
    /// Time for each unit of size.
    Slope,
    /// The mean of the times, whatever the size.
    Mean,
}

/// The line of least squares through the samples; `None` where their sizes don't differ.
fn line(samples: impl Iterator<Item = Sample> + Clone, part: Part) -> Option<f64> {
    let count = samples.clone().count() as f64;
    if count == 0.0 {
        return None;
    }
    let sum =
        |of: fn(&Sample) -> f64| samples.clone().map(|sample| of(&sample)).sum::<f64>() / count;
    let (x, y) = (sum(|it| it.x), sum(|it| it.y));
    if part == Part::Mean {
        return Some(y);
    }
    let across = samples
        .clone()
        .map(|it| (it.x - x) * (it.x - x))
        .sum::<f64>();
    let along = samples.map(|it| (it.x - x) * (it.y - y)).sum::<f64>();
    if across <= 1e-9 * (1.0 + x * x) * count {
        return None;
    }
    let slope = along / across;
    Some(if part == Part::Slope {
        slope
    } else {
        y - slope * x
    })
}

/// A figure of the samples, with the interval that blocks drawn anew give. The seed settles the draws.
pub fn figure(samples: &[Sample], part: Part, seed: u64) -> Figure {
    let mut sorted = samples.to_vec();
    sorted.sort_by_key(|sample| sample.at);
    let blocks: Vec<&[Sample]> = sorted
        .chunk_by(|a, b| a.at / BLOCK_US == b.at / BLOCK_US)
        .collect();
    let unknown = Figure::Unknown {
        samples: sorted.len(),
        blocks: blocks.len(),
    };
    if sorted.len() < SAMPLES || blocks.len() < BLOCKS {
        return unknown;
    }
    let Some(value) = line(sorted.iter().copied(), part) else {
        return unknown;
    };
    let mut random = Pcg64::seed_from_u64(seed);
    let mut drawn: Vec<f64> = (0..DRAWS)
        .filter_map(|_| {
            let picks: Vec<usize> = blocks
                .iter()
                .map(|_| random.gen_range(0..blocks.len()))
                .collect();
            line(
                picks.iter().flat_map(|at| blocks[*at].iter().copied()),
                part,
            )
        })
        .collect();
    if drawn.len() < DRAWS / 2 {
        return unknown;
    }
    drawn.sort_by(f64::total_cmp);
    let at = |share: f64| drawn[((drawn.len() - 1) as f64 * share).round() as usize];
    Figure::Known {
        value,
        low: at(TAIL),
        high: at(1.0 - TAIL),
        samples: sorted.len(),
    }
}

/// The figure's inverse, for a rate in place of a time for one; unknown where that may be endless.
pub fn inverse(figure: Figure) -> Figure {
    match figure {
        Figure::Known {
            value,
            low,
            high,
            samples,
        } if low > 0.0 && value > 0.0 => Figure::Known {
            value: 1.0 / value,
            low: 1.0 / high,
            high: 1.0 / low,
            samples,
        },
        Figure::Known { samples, .. } => Figure::Unknown { samples, blocks: 0 },
        unknown => unknown,
    }
}

#[cfg(test)]
#[path = "../tests/unit/estimate.rs"]
mod tests;
