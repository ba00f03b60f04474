//! A straight line through measured points.

/// A point: what was set, and what was found.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Point {
    /// What was set.
    pub(crate) x: f64,
    /// What was found.
    pub(crate) y: f64,
}

/// A line by least squares.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Line {
    /// What one more of `x` costs.
    pub(crate) slope: f64,
    /// The cost at zero.
    pub(crate) start: f64,
    /// The part of the variance that the line explains, up to 1.
    pub(crate) r2: f64,
}

impl Line {
    /// Fits a line.
    pub(crate) fn fit(points: &[Point]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|p| p.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.y).sum::<f64>() / count;
        let sxx: f64 = points.iter().map(|p| (p.x - mean_x).powi(2)).sum();
        let syy: f64 = points.iter().map(|p| (p.y - mean_y).powi(2)).sum();
        let sxy = points.iter().map(|p| (p.x - mean_x) * (p.y - mean_y));
        let sxy: f64 = sxy.sum();
        let slope = sxy / sxx;
        Line {
            slope,
            start: mean_y - slope * mean_x,
            r2: sxy * sxy / (sxx * syy),
        }
    }

    /// Prints the line under a name.
    pub(crate) fn print(&self, name: &str, unit: &str) {
        println!(
            "slope of {name}: {:.6} {unit}, at zero {:.3}, r2 {:.4}",
            self.slope, self.start, self.r2
        );
    }
}
