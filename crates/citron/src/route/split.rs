//! Distributes the requests of a route over its backends by weight.

use std::sync::Arc;

use super::Route;

/// Smooth weighted round-robin over the backends of one route.
#[derive(Debug, Default, Clone)]
pub struct Split {
    current_weights: Vec<(Arc<str>, i64)>,
}

impl Split {
    /// Returns the service of the next request of `route`.
    ///
    /// In any sequence of requests, each backend gets its share by weight to within one request.
    pub fn next(&mut self, route: &Route) -> Arc<str> {
        if route.backends.len() == 1 {
            return Arc::clone(&route.backends[0].service);
        }
        self.reset_on_change(route);
        let total: i64 = route.backends.iter().map(|backend| i64::from(backend.weight)).sum();
        let mut best = 0;
        for (index, backend) in route.backends.iter().enumerate() {
            self.current_weights[index].1 += i64::from(backend.weight);
            if self.current_weights[index].1 > self.current_weights[best].1 {
                best = index;
            }
        }
        self.current_weights[best].1 -= total;
        Arc::clone(&self.current_weights[best].0)
    }

    /// Resets the current weights if the route's services have changed.
    fn reset_on_change(&mut self, route: &Route) {
        let same = self.current_weights.len() == route.backends.len()
            && self
                .current_weights
                .iter()
                .zip(&route.backends)
                .all(|((name, _), backend)| *name == backend.service);
        if !same {
            self.current_weights =
                route.backends.iter().map(|backend| (Arc::clone(&backend.service), 0)).collect();
        }
    }
}
