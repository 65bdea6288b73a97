//! A straight line through measured points.

/// Returns slope and start of the least-squares line through points `(x, y)`.
pub(super) fn slope(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    if spread == 0.0 {
        return (0.0, mean_y);
    }
    let slope = points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum::<f64>() / spread;
    (slope, mean_y - slope * mean_x)
}
