//! Spreads the requests of a route over its services by weight.

use std::sync::Arc;

use super::Route;

/// Smooth weighted round robin over the parts of one route.
#[derive(Debug, Default, Clone)]
pub struct Split {
    parts: Vec<(Arc<str>, i64)>,
}

impl Split {
    /// Returns the service of the next request of `route`.
    ///
    /// Of any run of requests, each part gets its weight's share to within one request.
    pub fn next(&mut self, route: &Route) -> Arc<str> {
        if route.parts.len() == 1 {
            return Arc::clone(&route.parts[0].service);
        }
        self.follow(route);
        let total: i64 = route.parts.iter().map(|part| i64::from(part.weight)).sum();
        let mut best = 0;
        for (index, part) in route.parts.iter().enumerate() {
            self.parts[index].1 += i64::from(part.weight);
            if self.parts[index].1 > self.parts[best].1 {
                best = index;
            }
        }
        self.parts[best].1 -= total;
        Arc::clone(&self.parts[best].0)
    }

    /// Starts anew when the route names other services than before.
    fn follow(&mut self, route: &Route) {
        let same = self.parts.len() == route.parts.len()
            && self.parts.iter().zip(&route.parts).all(|((name, _), part)| *name == part.service);
        if !same {
            self.parts = route.parts.iter().map(|part| (Arc::clone(&part.service), 0)).collect();
        }
    }
}
