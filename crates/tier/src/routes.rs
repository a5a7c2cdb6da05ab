//! Finds the route of a request and the part of a split that it belongs to.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::model::{Configuration, RouteConfig, SplitPart};

/// The routes of one configuration, by host and longest prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Routes of each host, longest prefix first.
    hosts: IndexMap<Arc<str>, Vec<Arc<RouteConfig>>>,
}

impl From<&Configuration> for RouteTable {
    fn from(configuration: &Configuration) -> Self {
        let mut hosts: IndexMap<Arc<str>, Vec<Arc<RouteConfig>>> = IndexMap::new();
        for route in &configuration.routes {
            hosts.entry(route.host.clone()).or_default().push(route.clone());
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { hosts }
    }
}

impl RouteTable {
    /// Route with the longest prefix that begins `path`; `host` may carry a port.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteConfig>> {
        let name = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(route.prefix.as_ref()))
    }
}

/// Deals the requests of split routes to their parts, in proportion to the weights.
///
/// It is a smooth weighted round robin: over any run of requests each part
/// gets its share within one request. A part without room is not skipped, so
/// that its load never moves to another part.
#[derive(Clone, Debug, Default)]
pub struct SplitRotation {
    credits: IndexMap<Arc<str>, Vec<f64>>,
}

impl SplitRotation {
    /// Position of the part that gets the next request of a route.
    pub fn next(&mut self, route: &Arc<str>, parts: &[SplitPart]) -> usize {
        let credits = self.credits.entry(route.clone()).or_default();
        credits.resize(parts.len(), 0.0);
        let mut total = 0.0;
        for (credit, part) in credits.iter_mut().zip(parts) {
            *credit += part.weight;
            total += part.weight;
        }
        let mut chosen = 0;
        for (position, credit) in credits.iter().enumerate() {
            if *credit > credits[chosen] {
                chosen = position;
            }
        }
        if let Some(credit) = credits.get_mut(chosen) {
            *credit -= total;
        }
        chosen
    }

    /// Forgets the routes that a configuration no longer has.
    pub fn retain(&mut self, configuration: &Configuration) {
        self.credits.retain(|name, _| configuration.routes.iter().any(|route| route.name == *name));
    }
}
