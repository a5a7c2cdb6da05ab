//! The scenarios have the specified numbers of nodes, services and servers.

use carobstep_bench::{ScenarioName, ScenarioPlan, ServerPlan};

struct SizeCase {
    name: ScenarioName,
    nodes: usize,
    searched: usize,
    servers: usize,
}

const CASES: [SizeCase; 3] = [
    SizeCase { name: ScenarioName::Demo, nodes: 6, searched: 6, servers: 15 },
    SizeCase { name: ScenarioName::Perth, nodes: 6, searched: 50, servers: 130 },
    SizeCase { name: ScenarioName::Ireland, nodes: 6, searched: 50, servers: 106 },
];

#[test]
fn scenarios_have_the_specified_sizes() {
    for case in CASES {
        let plan = ScenarioPlan::from(case.name);
        let servers = ServerPlan::plan(&plan).unwrap();
        assert_eq!(plan.zones.len() * plan.nodes_per_zone, case.nodes, "{}", case.name);
        assert_eq!(plan.searched_services().count(), case.searched, "{}", case.name);
        assert_eq!(servers.len(), case.servers, "{}", case.name);
    }
}

#[test]
fn replicas_of_a_search_service_are_in_different_zones() {
    for case in CASES {
        let plan = ScenarioPlan::from(case.name);
        let servers = ServerPlan::plan(&plan).unwrap();
        for service in plan.searched_services() {
            let mut zones: Vec<&str> =
                servers.iter().filter(|server| server.service == service).map(|s| s.zone).collect();
            zones.dedup();
            assert_eq!(zones.len(), 2, "{service} of {}", case.name);
        }
    }
}
