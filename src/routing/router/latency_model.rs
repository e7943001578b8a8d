//! Latency models: shared linear models of times, fitted by recursive least squares.

use super::{seconds, shortest_objective};
use crate::routing::api::RoutingSettings;
use crate::routing::candidate_index::PoolKind;
use nalgebra::{SMatrix, SVector};

/// Inputs of a model, the constant among them.
pub(super) const INPUT_COUNT: usize = 5;
/// Weight that a sample retains with each later one.
pub(super) const FORGETTING_FACTOR: f64 = 0.997;
/// A model's covariance at the start, and the bound below which it grows again.
const INITIAL_COVARIANCE: f64 = 1.0;
/// Samples before a model is trusted, and the number of samples that its prior counts for.
pub(super) const MIN_SAMPLES: u32 = 4;
/// Index of the prefill model's input for prompt tokens that are not cached, in thousands.
pub(super) const PENDING_PROMPT: usize = 2;

pub(super) type Inputs = SVector<f64, INPUT_COUNT>;

/// A shared model, in seconds: recursive least squares with forgetting. Slopes count as at least 0, for more
/// load never shortens a time.
pub(super) struct Model {
    pub(super) weights: Inputs,
    covariance: SMatrix<f64, INPUT_COUNT, INPUT_COUNT>,
    pub(super) samples: u32,
    mean: f64,
    /// Mean absolute error of its predictions, in seconds.
    pub(super) spread: f64,
}

impl Model {
    fn with_prior(weights: Inputs, mean: f64) -> Model {
        Model {
            weights,
            covariance: SMatrix::identity() * INITIAL_COVARIANCE,
            samples: 0,
            mean,
            spread: mean,
        }
    }

    /// Learns that `inputs` led to a time of `observed` seconds.
    pub(super) fn learn(&mut self, inputs: &Inputs, observed: f64) {
        let error = (observed - self.predict(inputs)).abs();
        self.samples = self.samples.saturating_add(1);
        let newest = 1.0 / f64::from(self.samples.saturating_add(MIN_SAMPLES)).min(50.0);
        self.mean += newest * (observed - self.mean);
        self.spread += newest * (error.min(4.0 * self.mean) - self.spread);
        let gain = self.covariance * inputs;
        let scale = FORGETTING_FACTOR + inputs.dot(&gain);
        self.weights += gain * ((observed - inputs.dot(&self.weights)) / scale);
        self.covariance -= gain * gain.transpose() / scale;
        if self.covariance.diagonal().max() < INITIAL_COVARIANCE {
            self.covariance /= FORGETTING_FACTOR;
        }
    }

    /// The predicted time in seconds.
    pub(super) fn predict(&self, inputs: &Inputs) -> f64 {
        let slopes = self
            .weights
            .zip_map(inputs, |weight, input| weight.max(0.0) * input);
        (self.weights[0] * inputs[0] + slopes.sum() - slopes[0])
            .clamp(self.mean * 0.1, self.mean * 20.0)
    }
}

/// The models that all endpoints share.
pub(super) struct LatencyModels {
    /// Seconds from a send to the end of the prefill.
    pub(super) prefill: Model,
    /// Seconds from a send to the first token at a decode endpoint.
    pub(super) decode: Model,
    /// Seconds a token.
    pub(super) inter_token: Model,
}

impl LatencyModels {
    /// Priors from the objectives: a prefill takes some of what the objective adds for it, and queues for a
    /// little of it.
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

    /// The model of the time that an attempt takes in a pool.
    pub(super) fn of(&self, pool: PoolKind) -> &Model {
        match pool {
            PoolKind::Prefill => &self.prefill,
            PoolKind::Decode => &self.decode,
        }
    }

    pub(super) fn of_mut(&mut self, pool: PoolKind) -> &mut Model {
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
