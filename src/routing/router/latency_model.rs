//! What is learned of times: shared linear models, fitted by recursive least squares.

use nalgebra::{SMatrix, SVector};

pub(super) const INPUTS: usize = 5; // of a model, the constant among them
pub(super) const FORGET: f64 = 0.997; // weight that a sample keeps with each later one
pub(super) const COVARIANCE: f64 = 1.0; // a model's covariance at the start, and its bound
pub(super) const ENOUGH: u32 = 4; // samples before a model is trusted, and what its prior counts for

pub(super) type Inputs = SVector<f64, INPUTS>;

/// A shared model: recursive least squares with forgetting. More load never helps: slopes are at least 0.
pub(super) struct Model {
    pub(super) weights: Inputs,
    pub(super) covariance: SMatrix<f64, INPUTS, INPUTS>,
    pub(super) samples: u32,
    pub(super) mean: f64,
    pub(super) spread: f64,
}

impl Model {
    pub(super) fn learn(&mut self, x: &Inputs, y: f64) {
        let error = (y - self.predict(x)).abs();
        self.samples = self.samples.saturating_add(1);
        let newest = 1.0 / f64::from(self.samples.saturating_add(ENOUGH)).min(50.0);
        self.mean += newest * (y - self.mean);
        self.spread += newest * (error.min(4.0 * self.mean) - self.spread);
        let along = self.covariance * x;
        let scale = FORGET + x.dot(&along);
        self.weights += along * ((y - x.dot(&self.weights)) / scale);
        self.covariance -= along * along.transpose() / scale;
        if self.covariance.diagonal().max() < COVARIANCE {
            self.covariance /= FORGET;
        }
    }

    pub(super) fn predict(&self, x: &Inputs) -> f64 {
        let slopes = self.weights.zip_map(x, |weight, x| weight.max(0.0) * x);
        (self.weights[0] * x[0] + slopes.sum() - slopes[0]).clamp(self.mean * 0.1, self.mean * 20.0)
    }
}

/// The logistic function: even odds at 0.
pub(super) fn odds(x: f64) -> f64 {
    1.0 / (1.0 + (-x).exp())
}
