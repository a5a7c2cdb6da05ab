//! Checks that a static split assigns every slot of a backend server to exactly
//! one node, and spreads slots evenly over the nodes.

use carobstep_config::{NodeName, ServerName};
use carobstep_node::StaticSplit;
use yare::parameterized;

#[parameterized(
    one_node = { 1, 2 },
    as_many_nodes_as_slots = { 2, 2 },
    fewer_nodes_than_slots = { 3, 4 },
    more_nodes_than_slots = { 9, 2 },
)]
fn every_slot_has_one_owner(node_count: u16, slots: u16) {
    let name = |number| NodeName::try_from(format!("n{number}")).unwrap();
    let nodes: Vec<NodeName> = (0..node_count).map(name).collect();
    for number in 0..20 {
        let server = ServerName::try_from(format!("s{number}")).unwrap();
        let shares: Vec<u16> = nodes
            .iter()
            .map(|node| StaticSplit::new(node.clone(), nodes.clone()).share(&server, slots))
            .collect();
        assert_eq!(shares.iter().sum::<u16>(), slots, "{server}: {shares:?}");
        let even_shares = slots / node_count..=slots.div_ceil(node_count);
        assert!(shares.iter().all(|share| even_shares.contains(share)), "{server}: {shares:?}");
    }
}

#[test]
fn servers_go_to_different_nodes() {
    let nodes = ["n0", "n1", "n2", "n3"].map(|name| NodeName::try_from(name.to_owned()).unwrap());
    for node in &nodes {
        let split = StaticSplit::new(node.clone(), nodes.to_vec());
        let names = (0..40).map(|number| ServerName::try_from(format!("s{number}")).unwrap());
        let servers_with_share = names.filter(|server| split.share(server, 2) > 0).count();
        assert!(
            (1..40).contains(&servers_with_share),
            "{node}: a share of {servers_with_share} of 40 servers"
        );
    }
}
