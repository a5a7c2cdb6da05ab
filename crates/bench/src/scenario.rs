//! The named deployments: zones, nodes, services and their backend servers.

use std::time::Duration;

use carobstep_config::RepeatPolicy;
use strum::{Display, EnumIter, EnumString};

/// Name of a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum ScenarioName {
    /// Seven services and six nodes; starts within two seconds.
    Demo,
    /// Swan Coast: 50 search services, an orders desk and an airline portal.
    Perth,
    /// Shannonside: 50 search services, plan storage and order intake.
    Ireland,
}

/// Services with the same size and parameters.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceGroup {
    /// Prefix of the service names.
    pub prefix: &'static str,
    /// Number of services. With more than one, a number is appended to the prefix.
    pub count: usize,
    /// Whether requests may be repeated.
    pub repeat: RepeatPolicy,
    /// Whether the services serve shards of the scenario's index.
    pub searched: bool,
    /// Number of backend servers of each service.
    pub servers: usize,
    /// Slot limit of each backend server.
    pub slots: u16,
    /// Connection limit of each backend server.
    pub connections: u16,
    /// Time to establish a connection.
    pub connect_delay: Duration,
    /// Mean service time.
    pub service_time: Duration,
    /// Request deadline of the services.
    pub deadline: Duration,
}

/// Parameters of a scenario: zones, nodes, services and delays.
#[derive(Clone, Debug, PartialEq)]
pub struct ScenarioPlan {
    /// Name of the scenario.
    pub name: ScenarioName,
    /// Region of the nodes.
    pub region: &'static str,
    /// Availability zones.
    pub zones: [&'static str; 3],
    /// Number of nodes in each zone.
    pub nodes_per_zone: usize,
    /// Name of the search index.
    pub index: &'static str,
    /// Deadline of a search.
    pub search_deadline: Duration,
    /// Groups of services.
    pub groups: Vec<ServiceGroup>,
    /// Service that receives the orders, which must run at most once.
    pub order_service: &'static str,
    /// One-way network delay between a caller and a node.
    pub caller_delay: Duration,
    /// One-way network delay between a node and a backend server in its zone.
    pub server_delay: Duration,
}

impl From<ScenarioName> for ScenarioPlan {
    fn from(name: ScenarioName) -> Self {
        match name {
            ScenarioName::Demo => Self::demo(),
            ScenarioName::Perth => Self::perth(),
            ScenarioName::Ireland => Self::ireland(),
        }
    }
}

impl ScenarioPlan {
    /// Returns the names of the services with their groups.
    pub fn services(&self) -> impl Iterator<Item = (String, &ServiceGroup)> {
        self.groups.iter().flat_map(|group| {
            (0..group.count).map(move |number| (group.service_name(number), group))
        })
    }

    /// Returns the names of the services that serve the index's shards, in shard
    /// order.
    pub fn searched_services(&self) -> impl Iterator<Item = String> {
        self.services().filter(|(_, group)| group.searched).map(|(name, _)| name)
    }

    fn demo() -> Self {
        let search = ServiceGroup {
            prefix: "fitting-room",
            count: 6,
            service_time: Duration::from_millis(3),
            ..small_search_group()
        };
        Self {
            name: ScenarioName::Demo,
            region: "perth",
            zones: ["perth-a", "perth-b", "perth-c"],
            nodes_per_zone: 2,
            index: "garments",
            search_deadline: Duration::from_secs(2),
            groups: vec![search, order_group("orders", 3, 2, 100)],
            order_service: "orders",
            caller_delay: Duration::ZERO,
            server_delay: Duration::ZERO,
        }
    }

    fn perth() -> Self {
        Self {
            name: ScenarioName::Perth,
            region: "perth",
            zones: ["perth-a", "perth-b", "perth-c"],
            nodes_per_zone: 2,
            index: "garments",
            search_deadline: Duration::from_secs(1),
            groups: vec![
                ServiceGroup { prefix: "fitting-room", count: 20, ..small_search_group() },
                ServiceGroup { prefix: "alterations", count: 30, ..small_search_group() },
                order_group("orders-desk", 20, 2, 100),
                order_group("airline-portal", 10, 2, 100),
            ],
            order_service: "orders-desk",
            caller_delay: Duration::from_millis(1),
            server_delay: Duration::ZERO,
        }
    }

    fn ireland() -> Self {
        Self {
            name: ScenarioName::Ireland,
            region: "ireland-south",
            zones: ["ireland-a", "ireland-b", "ireland-c"],
            nodes_per_zone: 2,
            index: "layouts",
            search_deadline: Duration::from_secs(1),
            groups: vec![
                ServiceGroup { prefix: "counter-search", count: 20, ..small_search_group() },
                ServiceGroup { prefix: "stock-sync", count: 30, ..small_search_group() },
                ServiceGroup {
                    repeat: RepeatPolicy::Idempotent,
                    ..order_group("plan-storage", 3, 4, 45)
                },
                order_group("order-intake", 3, 4, 45),
            ],
            order_service: "order-intake",
            caller_delay: Duration::from_millis(3),
            server_delay: Duration::ZERO,
        }
    }
}

impl ServiceGroup {
    fn service_name(&self, number: usize) -> String {
        if self.count == 1 {
            self.prefix.to_owned()
        } else {
            format!("{}-{number:02}", self.prefix)
        }
    }
}

fn small_search_group() -> ServiceGroup {
    ServiceGroup {
        prefix: "search",
        count: 1,
        repeat: RepeatPolicy::Idempotent,
        searched: true,
        servers: 2,
        slots: 2,
        connections: 25,
        connect_delay: Duration::from_millis(6),
        service_time: Duration::from_millis(4),
        deadline: Duration::from_secs(1),
    }
}

fn order_group(prefix: &'static str, servers: usize, slots: u16, connections: u16) -> ServiceGroup {
    ServiceGroup {
        prefix,
        count: 1,
        repeat: RepeatPolicy::AtMostOnce,
        searched: false,
        servers,
        slots,
        connections,
        connect_delay: Duration::from_millis(1),
        service_time: Duration::from_millis(5),
        deadline: Duration::from_secs(2),
    }
}
