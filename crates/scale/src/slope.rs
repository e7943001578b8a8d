//! How a cost grows with a size: the exponent of a power law, by least squares on logarithms.

/// A fitted power law: cost is `scale` times the size to the power of `exponent`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slope {
    /// 0 where the cost does not depend on the size, 1 where it grows in proportion.
    pub exponent: f64,
    /// The standard error of the exponent; 0 where only two points were given.
    pub error: f64,
    /// The cost at size 1.
    pub scale: f64,
}

impl Slope {
    /// Fits points of size and cost; points that are not positive tell nothing. `None` with fewer than two sizes.
    pub fn fit(points: &[(f64, f64)]) -> Option<Slope> {
        let positive = points
            .iter()
            .filter(|(size, cost)| *size > 0.0 && *cost > 0.0);
        let logs: Vec<(f64, f64)> = positive
            .map(|(size, cost)| (size.ln(), cost.ln()))
            .collect();
        let count = logs.len() as f64;
        let mean_x = logs.iter().map(|it| it.0).sum::<f64>() / count;
        let mean_y = logs.iter().map(|it| it.1).sum::<f64>() / count;
        let square = logs.iter().map(|it| (it.0 - mean_x).powi(2)).sum::<f64>();
        if logs.len() < 2 || square <= 0.0 {
            return None;
        }
        let product = logs
            .iter()
            .map(|it| (it.0 - mean_x) * (it.1 - mean_y))
            .sum::<f64>();
        let exponent = product / square;
        let intercept = mean_y - exponent * mean_x;
        let residual = logs
            .iter()
            .map(|it| (it.1 - intercept - exponent * it.0).powi(2))
            .sum::<f64>();
        let error = if logs.len() > 2 {
            (residual / (count - 2.0) / square).sqrt()
        } else {
            0.0
        };
        Some(Slope {
            exponent,
            error,
            scale: intercept.exp(),
        })
    }

    /// The cost at this size, by the fitted law.
    pub fn at(&self, size: f64) -> f64 {
        self.scale * size.powf(self.exponent)
    }
}
