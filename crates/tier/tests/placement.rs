//! Which node calls the servers of a shard, and room for the requests of other nodes.

mod support;

use std::{sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use carobstep_tier::{
    AttemptKind, Delegation, LinkReport, PeerEntry, PeerTable, PickScope, Placement,
    PlacementRequest, ProbeOutcome, RelayRoom, ServerFleet, ServiceKey, ShardIndex, StoreRevision,
    UnplacedShard, place_request, place_with_peers,
};
use indexmap::{IndexMap, IndexSet};
use support::{LIMITS, OBJECTIVE, at, class, fleet, name};

/// Number of shards of the searches.
const SHARDS: usize = 6;

fn peer(node: &str, zone: &str, cpu_share: f64) -> PeerEntry {
    PeerEntry {
        name: name(node),
        zone: name(zone),
        address: "127.0.0.1:7000".parse().expect("an address"),
        cpu_share,
        link_mbps: 1_000.0,
    }
}

/// Builds the table of a node in zone `a` that has heard of all `others` at the time 0.
fn peers(others: &[PeerEntry]) -> PeerTable {
    let mut peers = PeerTable::new(peer("own", "a", 0.5));
    for other in others {
        peers.insert(StoreRevision { era: 0, number: 1 }, other.clone());
        peers.on_answered(at(0), &other.name);
    }
    peers
}

fn lose(peers: &mut PeerTable, node: &str, zones: &[&str]) {
    let lost_zones = zones.iter().map(|zone| name(zone)).collect();
    peers.link_reports_mut().merge(&LinkReport { node: name(node), version: 1, lost_zones });
}

/// Lets the node lose its links to some zones.
fn lose_links(fleet: &mut ServerFleet, services: &[ServiceKey], zones: &[&str]) {
    let key = class(fleet);
    for zone in zones {
        for service in services {
            let keys: Vec<_> = fleet.choose_allowed(at(0), *service, key, zone, 9, &[]);
            for server in keys {
                if *fleet.endpoint(server).expect("a server").entry.zone == **zone {
                    fleet.on_attempt_sent(at(0), server, key, AttemptKind::First);
                }
            }
        }
    }
    for server in fleet.due_probes(at(400)) {
        fleet.on_probe_ended(at(400), server, ProbeOutcome::Unreachable);
    }
    let lost = fleet.lost_zones(at(400));
    assert_eq!(lost, zones.iter().map(|zone| name(zone)).collect::<Vec<_>>());
}

fn request(fleet: &mut ServerFleet, is_search: bool, number: usize) -> PlacementRequest {
    PlacementRequest {
        is_search,
        is_cautious: false,
        class: class(fleet),
        objective: OBJECTIVE,
        attempts: 2,
        answer_by: at(500),
        deadline: at(900),
        number,
    }
}

fn place(
    fleet: &mut ServerFleet,
    services: &[ServiceKey],
    peers: &PeerTable,
    request: PlacementRequest,
) -> Placement {
    let names: Vec<Arc<str>> =
        (0..services.len()).map(|shard| name(&format!("shard-{shard}"))).collect();
    place_request(at(450), request, &names, services, fleet, peers)
}

/// Nodes that a request with one shard may go to.
struct NodeCase {
    label: &'static str,
    /// Zones of the servers.
    servers: &'static [&'static str],
    /// Zones whose servers this node has lost.
    own_lost: &'static [&'static str],
    /// Other nodes: name, zone and the zones whose servers they have lost.
    others: &'static [(&'static str, &'static str, &'static [&'static str])],
    /// Nodes that do not respond or have no room.
    absent: &'static [&'static str],
    full: &'static [&'static str],
    /// Peers that get the request; none if this node calls the servers or refuses it.
    expected: &'static [&'static str],
}

#[test]
fn a_request_goes_to_the_nearest_node_that_reaches_its_servers() {
    let cases = [
        NodeCase {
            label: "links in order",
            servers: &["a", "b"],
            own_lost: &[],
            others: &[("a-1", "a", &[]), ("b-1", "b", &[])],
            absent: &[],
            full: &[],
            expected: &[],
        },
        NodeCase {
            label: "one zone lost, servers in both",
            servers: &["a", "b"],
            own_lost: &["a"],
            others: &[("a-1", "a", &[]), ("b-1", "b", &[])],
            absent: &[],
            full: &[],
            expected: &[],
        },
        NodeCase {
            label: "all lost",
            servers: &["a", "b"],
            own_lost: &["a", "b"],
            others: &[("a-1", "a", &[]), ("a-2", "a", &[]), ("b-1", "b", &[])],
            absent: &[],
            full: &[],
            expected: &["a-1", "a-2"],
        },
        NodeCase {
            label: "a peer has lost them as well",
            servers: &["a", "b"],
            own_lost: &["a", "b"],
            others: &[("a-1", "a", &["a", "b"]), ("a-2", "a", &[]), ("b-1", "b", &[])],
            absent: &[],
            full: &[],
            expected: &["a-2"],
        },
        NodeCase {
            label: "the whole zone has lost them",
            servers: &["a", "b"],
            own_lost: &["a", "b"],
            others: &[("a-1", "a", &["a", "b"]), ("b-1", "b", &[]), ("b-2", "b", &[])],
            absent: &[],
            full: &[],
            expected: &["b-1", "b-2"],
        },
        NodeCase {
            label: "servers in another zone, whose nodes have lost them",
            servers: &["b"],
            own_lost: &["b"],
            others: &[("a-1", "a", &[]), ("b-1", "b", &["b"]), ("c-1", "c", &[])],
            absent: &[],
            full: &[],
            expected: &["a-1"],
        },
        NodeCase {
            label: "a peer has no room",
            servers: &["a"],
            own_lost: &["a"],
            others: &[("a-1", "a", &[]), ("a-2", "a", &[]), ("b-1", "b", &[])],
            absent: &[],
            full: &["a-1"],
            expected: &["a-2"],
        },
        NodeCase {
            label: "no peer in the zone has room",
            servers: &["a"],
            own_lost: &["a"],
            others: &[("a-1", "a", &[]), ("b-1", "b", &[])],
            absent: &[],
            full: &["a-1"],
            expected: &["b-1"],
        },
        NodeCase {
            label: "a peer does not respond",
            servers: &["a"],
            own_lost: &["a"],
            others: &[("a-1", "a", &[]), ("a-2", "a", &[])],
            absent: &["a-2"],
            full: &[],
            expected: &["a-1"],
        },
        NodeCase {
            label: "no node reaches them",
            servers: &["a"],
            own_lost: &["a"],
            others: &[("a-1", "a", &["a"]), ("b-1", "b", &["a", "b"])],
            absent: &[],
            full: &[],
            expected: &[],
        },
    ];
    for case in cases {
        let label = case.label;
        let others: Vec<_> =
            case.others.iter().map(|(node, zone, _)| peer(node, zone, 0.25)).collect();
        let mut peers = peers(&others);
        for (node, _, zones) in case.others {
            lose(&mut peers, node, zones);
        }
        for node in case.absent {
            peers.on_failed(at(300), node);
        }
        for node in case.full {
            peers.on_full(at(300), node, Duration::from_millis(200));
        }
        let (mut fleet, services) = fleet(SHARDS, case.servers, LIMITS);
        lose_links(&mut fleet, &services, case.own_lost);
        let mut chosen = IndexSet::new();
        for number in 0..60 {
            let request = request(&mut fleet, false, number);
            let placement = place(&mut fleet, &services[..1], &peers, request);
            for Delegation { peer, shards, is_relay, .. } in placement.delegations {
                assert_eq!((&shards[..], is_relay), (&[ShardIndex(0)][..], true), "{label}");
                assert_eq!(placement.allowed[&ShardIndex(0)].len(), case.servers.len(), "{label}");
                chosen.insert(peer.to_string());
            }
        }
        chosen.sort_unstable();
        assert_eq!(chosen.into_iter().collect::<Vec<_>>(), case.expected, "{label}");
    }
}

/// Guards against a request that waits for a node which has not been heard of.
#[test]
fn only_nodes_that_have_responded_lately_get_requests() {
    let (mut fleet, services) = fleet(SHARDS, &["a"], LIMITS);
    lose_links(&mut fleet, &services, &["a"]);
    let others = [peer("a-1", "a", 0.25)];
    let mut table = PeerTable::new(peer("own", "a", 0.5));
    table.insert(StoreRevision { era: 0, number: 1 }, others[0].clone());
    let request = request(&mut fleet, false, 1);
    assert!(place(&mut fleet, &services[..1], &table, request).delegations.is_empty());
    assert_eq!(table.contacts_to_check(at(450), &[name("a")]), [name("a-1")]);
    table.on_answered(at(449), "a-1");
    assert!(table.contacts_to_check(at(450), &[name("a")]).is_empty());
    assert_eq!(place(&mut fleet, &services[..1], &table, request).delegations.len(), 1);
    // The links to the peers may have been lost with those to the servers.
    table.forget_contacts();
    assert!(place(&mut fleet, &services[..1], &table, request).delegations.is_empty());
    assert!(table.any_reaches("a"), "it may be there");
    lose(&mut table, "a-1", &["a"]);
    assert!(!table.any_reaches("a"));
}

#[test]
fn contacts_are_looked_for_in_all_zones() {
    let mut others: Vec<_> = (0..30).map(|it| peer(&format!("a-{it}"), "a", 0.25)).collect();
    others.extend((0..30).map(|it| peer(&format!("b-{it}"), "b", 0.25)));
    let mut peers = peers(&others);
    let zones_of = |contacts: Vec<Arc<str>>| -> IndexSet<char> {
        contacts.iter().filter_map(|contact| contact.chars().next()).collect()
    };
    let contacts = peers.contacts_to_check(at(5_000), &[name("a"), name("b")]);
    assert_eq!(contacts.len(), 6);
    assert_eq!(zones_of(contacts).len(), 2);
    for number in 0..30 {
        lose(&mut peers, &format!("a-{number}"), &["a", "b"]);
    }
    let contacts = peers.contacts_to_check(at(5_000), &[name("a"), name("b")]);
    assert_eq!(zones_of(contacts), IndexSet::from(['b']), "those without links can't help");
}

#[test]
fn a_search_uses_its_own_links_and_those_of_others() {
    let (mut fleet, services) = fleet(SHARDS, &["b"], LIMITS);
    lose_links(&mut fleet, &services, &["b"]);
    // Two shards have a server in the local zone as well.
    for shard in 0..2 {
        let service = format!("shard-{shard}");
        let entry = support::entry(&format!("{service}-a"), &service, "a");
        fleet.apply(at(0), &carobstep_tier::DirectoryChange::Changed(entry));
    }
    let peers = peers(&[peer("b-1", "b", 0.25), peer("b-2", "b", 0.25)]);
    let request = request(&mut fleet, true, 1);
    let placement = place(&mut fleet, &services, &peers, request);
    let mut shards: Vec<_> =
        placement.delegations.iter().flat_map(|it| &it.shards).map(|shard| shard.0).collect();
    shards.sort_unstable();
    assert_eq!(shards, [2, 3, 4, 5]);
    assert!(placement.delegations.iter().all(|it| it.is_relay));
}

#[test]
fn one_node_sends_a_request_that_may_crash_servers() {
    let (mut fleet, services) = fleet(SHARDS, &["a", "b"], LIMITS);
    lose_links(&mut fleet, &services, &["a", "b"]);
    let peers = peers(&[peer("a-1", "a", 0.25), peer("a-2", "a", 0.25), peer("b-1", "b", 0.25)]);
    let request = PlacementRequest { is_cautious: true, ..request(&mut fleet, true, 1) };
    let placement = place(&mut fleet, &services, &peers, request);
    assert_eq!(placement.delegations.len(), 1);
    assert_eq!(placement.delegations[0].shards.len(), SHARDS);
}

/// Guards against a running request that reaches more servers than its route allows because
/// two nodes choose them.
#[test]
fn a_peer_may_call_the_servers_that_were_called_and_no_more_than_allowed() {
    let (mut fleet, services) = fleet(1, &["a", "b", "c"], LIMITS);
    let peers = peers(&[peer("a-1", "a", 0.25)]);
    let key = class(&mut fleet);
    for called_count in 0..=2 {
        let mut called = Vec::new();
        for _ in 0..called_count {
            let scope = PickScope { excluded: &called, ..PickScope::default() };
            called.push(fleet.pick(at(0), services[0], key, scope).expect("a server"));
        }
        let shard = UnplacedShard {
            shard: ShardIndex(0),
            service: services[0],
            called: called.clone(),
            tried: Vec::new(),
        };
        let request = request(&mut fleet, false, 1);
        let placement = place_with_peers(at(450), request, &[shard], &mut fleet, &peers);
        let allowed = &placement.allowed[&ShardIndex(0)];
        assert_eq!(allowed.len(), 2, "{called_count} called");
        assert!(called.iter().all(|server| allowed.contains(server)), "{called_count} called");
    }
}

#[test]
fn a_peer_that_could_not_call_servers_is_not_asked_again() {
    let (mut fleet, services) = fleet(SHARDS, &["a"], LIMITS);
    lose_links(&mut fleet, &services, &["a"]);
    let peers = peers(&[peer("a-1", "a", 0.25), peer("a-2", "a", 0.25), peer("b-1", "b", 0.25)]);
    let mut tried: Vec<Arc<str>> = Vec::new();
    for _ in 0..3 {
        let shard = UnplacedShard {
            shard: ShardIndex(0),
            service: services[0],
            called: Vec::new(),
            tried: tried.clone(),
        };
        let request = request(&mut fleet, false, 1);
        let placement = place_with_peers(at(450), request, &[shard], &mut fleet, &peers);
        let peer = placement.delegations[0].peer.clone();
        assert!(!tried.contains(&peer), "{peer}");
        tried.push(peer);
    }
    assert_eq!(&*tried[2], "b-1", "the nearer ones first");
}

/// Load of requests on a node that stands in for others.
struct LoadCase {
    label: &'static str,
    /// Work of one request in seconds, and requests per second of each of the priorities 0
    /// to 2 from other nodes.
    seconds: f64,
    relayed_per_second: u32,
    /// Requests per second of the node's own callers.
    own_per_second: u32,
    /// Least share of the requests of each priority that is taken.
    taken: [f64; 3],
    /// Greatest share of those of the lowest priority.
    most_of_lowest: f64,
}

/// Answers the load of most nodes on the few that still have links: what has no room is
/// refused at once, that of the lowest priority first, and a node takes about as much work
/// as it can do.
#[test]
fn requests_of_other_nodes_are_taken_by_priority_and_room() {
    let cases = [
        LoadCase {
            label: "room for all",
            seconds: 0.005,
            relayed_per_second: 40,
            own_per_second: 40,
            taken: [1.0, 1.0, 1.0],
            most_of_lowest: 1.0,
        },
        LoadCase {
            label: "twice the room",
            seconds: 0.005,
            relayed_per_second: 133,
            own_per_second: 0,
            taken: [0.95, 0.45, 0.0],
            most_of_lowest: 0.1,
        },
        LoadCase {
            label: "own callers fill the node",
            seconds: 0.005,
            relayed_per_second: 50,
            own_per_second: 220,
            taken: [0.0, 0.0, 0.0],
            most_of_lowest: 0.05,
        },
        LoadCase {
            label: "requests larger than the room",
            seconds: 0.3,
            relayed_per_second: 1,
            own_per_second: 0,
            taken: [0.6, 0.6, 0.6],
            most_of_lowest: 1.0,
        },
    ];
    for case in cases {
        let LoadCase { label, seconds, relayed_per_second, own_per_second, .. } = case;
        let mut room = RelayRoom::new(at(0));
        let mut offered = [0u32; 3];
        let mut taken = [0u32; 3];
        let mut work = 0.0;
        let steps_per_second = 1_000;
        let is_due = |step: u32, per_second: u32, phase: u32| {
            let count = |step: u32| (step * per_second + phase) / steps_per_second;
            count(step + 1) > count(step)
        };
        for step in 0..20 * steps_per_second {
            let now = at(u64::from(step));
            if is_due(step, own_per_second, 0) {
                room.record_own(now, seconds);
                work += seconds;
            }
            for priority in 0..3u32 {
                if !is_due(step, relayed_per_second, 300 * priority) {
                    continue;
                }
                offered[priority as usize] += 1;
                match room.try_take(now, seconds, priority) {
                    Ok(()) => {
                        taken[priority as usize] += 1;
                        work += seconds;
                    }
                    Err(retry_in) => assert!(retry_in < Duration::from_millis(500), "{label}"),
                }
            }
        }
        let share = |priority: usize| f64::from(taken[priority]) / f64::from(offered[priority]);
        for (priority, least) in case.taken.into_iter().enumerate() {
            let share = share(priority);
            assert!(share >= least, "{label}: {share} of priority {priority}");
        }
        assert!(share(2) <= case.most_of_lowest, "{label}: {} of priority 2", share(2));
        assert!(work <= 20.0 * 1.15, "{label}: {work} s of work in 20 s");
    }
}

/// Nodes of a fleet that lose their links at once.
struct FleetCase {
    label: &'static str,
    nodes: usize,
    cut: usize,
}

/// Guards against many nodes without links that all send their requests to the same few.
#[test]
fn nodes_without_links_spread_their_requests_over_those_with_links() {
    let cases = [
        FleetCase { label: "six of nine", nodes: 9, cut: 6 },
        FleetCase { label: "most of a large fleet", nodes: 295, cut: 240 },
    ];
    for FleetCase { label, nodes, cut } in cases {
        let all: Vec<_> = (0..nodes).map(|it| peer(&format!("node-{it}"), "a", 0.25)).collect();
        let mut load: IndexMap<Arc<str>, usize> = IndexMap::new();
        let requests = 4_000 / cut;
        for own in &all[..cut] {
            let mut table = PeerTable::new(own.clone());
            for other in &all {
                table.insert(StoreRevision { era: 0, number: 1 }, other.clone());
                table.on_answered(at(0), &other.name);
            }
            for other in &all[..cut] {
                lose(&mut table, &other.name, &["a"]);
            }
            let (mut fleet, services) = fleet(SHARDS, &["a"], LIMITS);
            lose_links(&mut fleet, &services, &["a"]);
            for number in 0..requests {
                let request = request(&mut fleet, false, number);
                let placement = place(&mut fleet, &services[..1], &table, request);
                let [delegation] = &placement.delegations[..] else { panic!("{label}") };
                *load.entry(delegation.peer.clone()).or_default() += 1;
            }
        }
        let mean = requests * cut / (nodes - cut);
        assert_eq!(load.len(), nodes - cut, "{label}");
        assert!(load.values().all(|count| *count < 2 * mean), "{label}: mean {mean}, {load:?}");
    }
}

#[test]
fn room_is_named_when_all_peers_with_links_are_full() {
    let mut peers = peers(&[peer("a-1", "a", 0.25), peer("a-2", "a", 0.25)]);
    assert_eq!(peers.relay_room_due(at(0), &[name("a")]), Some(at(0)));
    peers.on_full(at(0), "a-1", Duration::from_millis(300));
    peers.on_full(at(0), "a-2", Duration::from_millis(200));
    assert_eq!(peers.relay_room_due(at(0), &[name("a")]), Some(at(200)));
    lose(&mut peers, "a-2", &["a"]);
    assert_eq!(peers.relay_room_due(at(0), &[name("a")]), Some(at(300)));
    lose(&mut peers, "a-1", &["a"]);
    assert_eq!(peers.relay_room_due(at(0), &[name("a")]), None::<BootTime>);
}
