//! The growth of a cost with the size of the fleet: a power law, fitted by least squares on logarithms.

/// A fitted power law: the cost is `scale` times the size to the power of `exponent`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PowerLaw {
    /// 0 if the cost does not depend on the size, 1 if it is proportional to it.
    pub exponent: f64,
    /// The standard error of the exponent; 0 if only two points were given.
    pub exponent_error: f64,
    /// The cost at size 1.
    pub scale: f64,
}

impl PowerLaw {
    /// Fits points of size and cost, in this order; points that are not positive are ignored. Returns `None` if the rest have
    /// fewer than two different sizes.
    pub fn fit(points: &[(f64, f64)]) -> Option<PowerLaw> {
        let mut logs = Vec::with_capacity(points.len());
        for (size, cost) in points {
            if *size > 0.0 && *cost > 0.0 {
                logs.push((size.ln(), cost.ln()));
            }
        }
        let count = logs.len() as f64;
        let mean_x = logs.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = logs.iter().map(|(_, y)| y).sum::<f64>() / count;
        let variance = logs.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
        if logs.len() < 2 || variance <= 0.0 {
            return None;
        }
        let covariance = logs
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum::<f64>();
        let exponent = covariance / variance;
        let intercept = mean_y - exponent * mean_x;
        let residual = logs
            .iter()
            .map(|(x, y)| (y - intercept - exponent * x).powi(2))
            .sum::<f64>();
        let exponent_error = if logs.len() > 2 {
            (residual / (count - 2.0) / variance).sqrt()
        } else {
            0.0
        };
        Some(PowerLaw {
            exponent,
            exponent_error,
            scale: intercept.exp(),
        })
    }

    /// Returns the fitted cost at this size.
    pub fn cost_at(&self, size: f64) -> f64 {
        self.scale * size.powf(self.exponent)
    }
}
