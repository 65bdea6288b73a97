//! Reads single values from Prometheus' text format.

/// Returns the value of the metric `name` that has all of `labels`, each as `key="value"`.
pub fn value(text: &str, name: &str, labels: &[&str]) -> Option<f64> {
    let line = text.lines().find(|line| {
        let rest = line.strip_prefix(name).unwrap_or_default();
        rest.starts_with([' ', '{']) && labels.iter().all(|label| rest.contains(label))
    })?;
    line.rsplit(' ').next()?.parse().ok()
}
