//! Route lookup and weighted distribution over the services of a split route.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::model::{Configuration, RouteConfig, WeightedService};

/// Routes of one configuration, for lookup by host and longest path prefix.
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
    /// Returns the route of `host` with the longest prefix of `path`. `host` may include a
    /// port, and upper-case letters if the configured host is in lower case.
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

/// Distributes the requests of split routes over their services by smooth weighted
/// round robin.
///
/// Over any number of requests, each service gets its share to within one request. A
/// service without free capacity is not skipped, so its load never moves to another
/// service.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    credits: IndexMap<Arc<str>, Vec<f64>>,
}

impl WeightedRoundRobin {
    /// Returns the position in `services` of the service that gets the next request of a route.
    pub fn next(&mut self, route: &Arc<str>, services: &[WeightedService]) -> usize {
        let credits = self.credits.entry(route.clone()).or_default();
        credits.resize(services.len(), 0.0);
        let mut total = 0.0;
        for (credit, service) in credits.iter_mut().zip(services) {
            *credit += service.weight;
            total += service.weight;
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

    /// Drops the state of routes that are not in the configuration.
    pub fn retain(&mut self, configuration: &Configuration) {
        self.credits.retain(|name, _| configuration.routes.iter().any(|route| route.name == *name));
    }
}
