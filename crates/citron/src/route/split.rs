//! Distributes the requests of a route over its backends by weight.

use std::sync::Arc;

use super::{Backend, Route};

/// Smooth weighted round-robin over the backends of one route.
#[derive(Debug, Default, Clone)]
pub struct Split {
    current_weights: Vec<(Backend, i64)>,
}

impl Split {
    /// Returns the service of the next request of `route`, `None` if it has no backends.
    ///
    /// In any sequence of requests, each backend gets its share by weight to within one request.
    pub fn next(&mut self, route: &Route) -> Option<Arc<str>> {
        if let [backend] = route.backends.as_slice() {
            return Some(Arc::clone(&backend.service));
        }
        self.reset_on_change(route);
        let mut total = 0;
        for (backend, current) in &mut self.current_weights {
            let weight = i64::from(backend.weight);
            total += weight;
            *current += weight;
        }
        // Of several that are equal the first one is next.
        let largest = self.current_weights.iter_mut().rev().max_by_key(|(_, current)| *current);
        let (backend, current) = largest?;
        *current -= total;
        Some(Arc::clone(&backend.service))
    }

    /// Resets the current weights if the route's backends have changed, as those of before may be of
    /// another scale.
    fn reset_on_change(&mut self, route: &Route) {
        let known = self.current_weights.iter().map(|(backend, _)| backend);
        if !known.eq(&route.backends) {
            self.current_weights = route.backends.iter().map(|b| (b.clone(), 0)).collect();
        }
    }
}
