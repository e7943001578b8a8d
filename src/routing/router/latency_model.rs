//! Latency models: linear models of the prefill time, the time to first token of a decode attempt and the
//! time per token.
//!
//! All endpoints share them. Each model is fitted by recursive least squares, starting from a prior that is
//! derived from the objectives. `outcomes` provides the samples, and `selection` corrects the predictions
//! by each endpoint's slowdown and warm-up.

use super::{seconds, shortest_objective};
use crate::routing::api::RoutingSettings;
use crate::routing::candidate_index::PoolKind;
use nalgebra::{SMatrix, SVector};

/// Number of inputs of a model, including the constant.
pub(super) const INPUT_COUNT: usize = 5;
/// Factor on the weight of earlier samples with each new one. The baseline wait of load shedding is smoothed
/// by the same factor.
pub(super) const FORGETTING_FACTOR: f64 = 0.997;
/// Initial variance of each weight. Forgetting inflates the covariance only while the largest variance is
/// below this.
const INITIAL_COVARIANCE: f64 = 1.0;
/// Number of samples before a model is trusted, and number of samples that its prior counts for.
pub(super) const MIN_SAMPLES: u32 = 4;
/// Index of the prefill model's input for uncached prompt tokens, in thousands.
pub(super) const PENDING_PROMPT: usize = 2;

pub(super) type Inputs = SVector<f64, INPUT_COUNT>;

/// A linear model of a time in seconds, fitted by recursive least squares with forgetting. Negative slopes
/// count as 0, because more load never shortens a time.
pub(super) struct Model {
    /// Seconds per unit of each input; index 0 is the constant.
    pub(super) weights: Inputs,
    covariance: SMatrix<f64, INPUT_COUNT, INPUT_COUNT>,
    pub(super) samples: u32,
    /// Mean of the observed times, in seconds. Predictions are limited to 0.1 to 20 times this value.
    mean: f64,
    /// Mean absolute prediction error, in seconds.
    pub(super) spread: f64,
}

impl Model {
    /// Creates a model without samples. `mean` is the expected mean of the modelled time, in seconds. The
    /// prediction error is initially presumed to be as large.
    fn with_prior(weights: Inputs, mean: f64) -> Model {
        Model {
            weights,
            covariance: SMatrix::identity() * INITIAL_COVARIANCE,
            samples: 0,
            mean,
            spread: mean,
        }
    }

    /// Updates the model with a time of `observed` seconds for `inputs`.
    pub(super) fn learn(&mut self, inputs: &Inputs, observed: f64) {
        let error = (observed - self.predict(inputs)).abs();
        self.samples = self.samples.saturating_add(1);
        let sample_weight = 1.0 / f64::from(self.samples.saturating_add(MIN_SAMPLES)).min(50.0);
        self.mean += sample_weight * (observed - self.mean);
        self.spread += sample_weight * (error.min(4.0 * self.mean) - self.spread);
        let gain = self.covariance * inputs;
        let denominator = FORGETTING_FACTOR + inputs.dot(&gain);
        self.weights += gain * ((observed - inputs.dot(&self.weights)) / denominator);
        self.covariance -= gain * gain.transpose() / denominator;
        if self.covariance.diagonal().max() < INITIAL_COVARIANCE {
            self.covariance /= FORGETTING_FACTOR;
        }
    }

    /// Returns the predicted time in seconds.
    pub(super) fn predict(&self, inputs: &Inputs) -> f64 {
        let contributions = self
            .weights
            .zip_map(inputs, |weight, input| weight.max(0.0) * input);
        (self.weights[0] * inputs[0] + contributions.sum() - contributions[0])
            .clamp(self.mean * 0.1, self.mean * 20.0)
    }
}

/// The latency models that all endpoints share.
pub(super) struct LatencyModels {
    /// Seconds from sending an attempt to the end of its prefill.
    pub(super) prefill: Model,
    /// Seconds from sending a decode attempt to its first token.
    pub(super) decode: Model,
    /// Seconds per output token.
    pub(super) inter_token: Model,
}

impl LatencyModels {
    /// Creates the models with priors from the shortest objectives. The prior time for a prompt follows from
    /// the objective's addition for the prompt. The prior queueing time is a small share of the TTFT
    /// objective.
    pub(super) fn from_objectives(settings: &RoutingSettings) -> LatencyModels {
        let ttft = seconds(shortest_objective(settings, |class| class.ttft_objective));
        let inter_token = seconds(shortest_objective(settings, |class| {
            class.inter_token_objective
        }));
        let ttft_per_1000_tokens = seconds(shortest_objective(settings, |class| {
            class.ttft_objective_per_1000_tokens
        }));
        let prefill = 1.5 * ttft_per_1000_tokens.min(0.05 * ttft);
        LatencyModels {
            prefill: Model::with_prior(
                Inputs::new(0.02 * ttft, 0.1 * ttft, prefill, 0.02 * ttft, prefill),
                0.1 * ttft,
            ),
            decode: Model::with_prior(
                Inputs::new(
                    0.02 * ttft,
                    0.005 * ttft,
                    0.1 * ttft,
                    0.2 * prefill,
                    0.1 * prefill,
                ),
                0.05 * ttft,
            ),
            inter_token: Model::with_prior(
                Inputs::new(
                    0.3 * inter_token,
                    0.03 * inter_token,
                    0.2 * inter_token,
                    0.0,
                    0.0,
                ),
                0.2 * inter_token,
            ),
        }
    }

    /// Returns the model of the time that an attempt takes in a pool.
    pub(super) fn for_pool(&self, pool: PoolKind) -> &Model {
        match pool {
            PoolKind::Prefill => &self.prefill,
            PoolKind::Decode => &self.decode,
        }
    }

    pub(super) fn for_pool_mut(&mut self, pool: PoolKind) -> &mut Model {
        match pool {
            PoolKind::Prefill => &mut self.prefill,
            PoolKind::Decode => &mut self.decode,
        }
    }
}

/// The logistic function: 0.5 at 0.
pub(super) fn logistic(x: f64) -> f64 {
    1.0 / (1.0 + (-x).exp())
}
