//! A straight line through measured points.

use crate::bench::Summary;

/// A figure of a measured row, with the name of its unit.
pub(super) type Figure<R> = (&'static str, fn(&R) -> f64);

/// Adds start and slope of the least-squares line of each figure; `per` says what 1,000 of are counted.
pub(super) fn push_lines<R>(
    summary: &mut Summary,
    per: &str,
    rows: &[(f64, R)],
    figures: &[Figure<R>],
) {
    for (name, figure) in figures {
        let points: Vec<(f64, f64)> = rows.iter().map(|(x, row)| (*x, figure(row))).collect();
        let (slope, start) = slope(&points);
        summary.push(format!("{name}_at_0"), start);
        summary.push(format!("{name}_per_1000_{per}"), slope * 1000.0);
    }
}

/// Returns slope and start of the least-squares line through points `(x, y)`.
fn slope(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    if spread == 0.0 {
        return (0.0, mean_y);
    }
    let slope =
        points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum::<f64>() / spread;
    (slope, mean_y - slope * mean_x)
}
