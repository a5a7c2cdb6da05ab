//! Spreading of the store's data over the nodes, on fleets of up to 1,000 machines.
//!
//! Guards against machines that serve too many followers, chains that don't end at the
//! store, and fleets that all call the store at the same time.

use std::{sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use carobstep_tier::{
    PeerEntry, PeerTable, PeerUpdate, SpreadTiming, StoreRevision, TreePlace, UpdateSource,
};
use indexmap::IndexMap;

const fn at(millis: u64) -> BootTime {
    BootTime::from_millis(10_000 + millis)
}

const fn rev(number: u64) -> StoreRevision {
    StoreRevision { era: 0, number }
}

/// Returns machines in `zones` zones; one of 20 is four times as fast as the others.
fn machines(count: usize, zones: usize) -> Vec<PeerEntry> {
    let mut machines = Vec::with_capacity(count);
    for number in 0..count {
        machines.push(PeerEntry {
            name: format!("node-{number}").into(),
            zone: format!("zone-{}", number % zones).into(),
            address: "127.0.0.1:7000".parse().expect("an address"),
            cpu_share: if number % 20 == 0 { 0.5 } else { 0.12 },
            link_mbps: 25.0,
        });
    }
    machines
}

/// Returns the table of each node.
fn tables(machines: &[PeerEntry]) -> IndexMap<Arc<str>, PeerTable> {
    let mut tables = IndexMap::new();
    for own in machines {
        let mut table = PeerTable::new(own.clone());
        for other in machines {
            table.insert(rev(1), other.clone());
        }
        tables.insert(own.name.clone(), table);
    }
    tables
}

/// Returns the number of followers of each node, and the longest chain to the store.
/// Panics if a chain does not end at the store.
fn measure(
    tables: &IndexMap<Arc<str>, PeerTable>,
    now: BootTime,
) -> (IndexMap<Arc<str>, usize>, usize) {
    let mut followers: IndexMap<Arc<str>, usize> = IndexMap::new();
    let mut longest = 0;
    for (name, table) in tables {
        if let UpdateSource::Peer(parent) = table.update_source(now) {
            *followers.entry(parent).or_default() += 1;
        }
        let mut node = name.clone();
        let mut hops = 0;
        while let UpdateSource::Peer(parent) = tables[&node].update_source(now) {
            hops += 1;
            assert!(hops <= 8, "the chain of {name} does not end at the store");
            node = parent;
        }
        longest = longest.max(hops);
    }
    (followers, longest)
}

/// A fleet, and the most followers and hops that its tree may have.
struct TreeCase {
    machines: usize,
    zones: usize,
    max_followers: usize,
    max_hops: usize,
}

#[test]
fn each_node_has_few_followers_and_a_short_way_to_the_store() {
    let cases = [
        TreeCase { machines: 1, zones: 1, max_followers: 0, max_hops: 0 },
        TreeCase { machines: 6, zones: 3, max_followers: 3, max_hops: 2 },
        TreeCase { machines: 69, zones: 3, max_followers: 12, max_hops: 3 },
        TreeCase { machines: 295, zones: 5, max_followers: 20, max_hops: 3 },
        TreeCase { machines: 1_000, zones: 5, max_followers: 40, max_hops: 3 },
    ];
    for case in cases {
        let label = format!("{} machines", case.machines);
        let tables = tables(&machines(case.machines, case.zones));
        let (followers, hops) = measure(&tables, at(0));
        let most = followers.values().copied().max().unwrap_or(0);
        assert!(most <= case.max_followers, "{label}: {most} followers");
        assert!(hops <= case.max_hops, "{label}: {hops} hops");
        let roots =
            tables.values().filter(|table| table.update_source(at(0)) == UpdateSource::Store);
        assert_eq!(roots.count(), 1, "{label}");
    }
}

#[test]
fn every_chain_ends_at_the_store_after_any_node_was_lost() {
    let machines = machines(60, 3);
    for lost in &machines {
        let mut tables = tables(&machines);
        tables.shift_remove(&lost.name);
        for table in tables.values_mut() {
            table.on_failed(at(0), &lost.name);
        }
        let (followers, _) = measure(&tables, at(0));
        assert!(!followers.contains_key(&lost.name), "{}", lost.name);
    }
}

/// The nodes of one zone reach nobody else; the first of them must call the store at
/// once, and the others must follow it.
#[test]
fn a_zone_without_the_others_calls_the_store_by_one_node() {
    let machines = machines(60, 3);
    let mut tables = tables(&machines);
    tables.retain(|_, table| &*table.own().zone == "zone-1");
    let mut outside: Vec<_> = machines.iter().filter(|node| &*node.zone != "zone-1").collect();
    outside.sort_by(|one, other| other.cpu_share.total_cmp(&one.cpu_share));
    for table in tables.values_mut() {
        // A node finds out about those that it tries to follow, at the most two.
        for _ in 0..2 {
            let UpdateSource::Peer(parent) = table.update_source(at(0)) else { break };
            if outside.iter().any(|node| node.name == parent) {
                table.on_failed(at(0), &parent);
            }
        }
    }
    let roots = tables.values().filter(|table| table.update_source(at(0)) == UpdateSource::Store);
    assert_eq!(roots.count(), 1);
    measure(&tables, at(0));
}

#[test]
fn a_peer_with_stale_data_is_avoided_while_another_is_fresh() {
    let machines = machines(60, 3);
    let mut tables = tables(&machines);
    for table in tables.values_mut() {
        let UpdateSource::Peer(first) = table.update_source(at(0)) else { continue };
        table.mark_stale(at(0), &first);
        assert_ne!(table.update_source(at(0)), UpdateSource::Peer(first.clone()));
        assert_eq!(table.update_source(at(2_000)), UpdateSource::Peer(first));
    }
}

/// While the store is down, every node's data grows stale at the same time.
#[test]
fn stale_nodes_call_the_store_one_after_the_other() {
    for bound in [3_000, 6_000] {
        let timing = SpreadTiming::within(Duration::from_millis(bound));
        let tables = tables(&machines(295, 5));
        let mut calls: Vec<Duration> = Vec::new();
        for table in tables.values() {
            calls.push(timing.call_age(table.tree_place(at(0))));
        }
        // The first ones call early enough to find out about a change within the bound,
        // with a call of 700 ms and a silent watch before it.
        let early = calls.iter().filter(|age| **age <= timing.max_age()).count();
        assert!((5..=12).contains(&early), "{bound}: {early}");
        for second in 0..20 {
            let (from, until) = (Duration::from_secs(second), Duration::from_secs(second + 1));
            let count = calls.iter().filter(|age| (from..until).contains(age)).count();
            assert!(count <= 30, "{bound}: {count} nodes call within second {second}");
        }
        let slowest = TreePlace::Member { rank: 1 };
        assert!(
            timing.call_age(slowest) + Duration::from_millis(900) < Duration::from_millis(bound)
        );
        assert!(timing.watch_wait() < timing.call_age(TreePlace::RootCandidate));
    }
}

#[test]
fn a_list_of_nodes_is_continued_from_another_peer() {
    let machines = machines(20, 2);
    let mut source = PeerTable::new(machines[0].clone());
    let listed = machines[..10].iter().map(|node| (rev(5), node.clone())).collect();
    source.replace(at(0), rev(10), listed);
    let mut copy = PeerTable::new(machines[1].clone());
    copy.apply_update(at(0), source.updates_since(copy.revision()));
    assert_eq!((copy.live_nodes(), copy.revision()), (10, rev(10)));
    source.insert(rev(12), machines[12].clone());
    source.remove(at(0), rev(13), "node-4");
    let update = source.updates_since(copy.revision());
    assert!(!update.whole);
    let changed: Vec<_> = update.changed.iter().map(|(_, node)| &*node.name).collect();
    assert_eq!(changed, ["node-0", "node-12"]);
    let mut other = PeerTable::new(machines[2].clone());
    other.apply_update(at(0), source.updates_since(other.revision()));
    copy.apply_update(at(0), update);
    assert_eq!((copy.live_nodes(), copy.revision()), (10, rev(13)));
    // A peer that has the same data gives nothing but itself.
    let same = other.updates_since(copy.revision());
    let unknown = same.changed.iter().filter(|(revision, _)| *revision < rev(13)).count();
    assert_eq!((same.whole, unknown), (false, 0));
    // An older list changes nothing; one of a later era replaces everything.
    copy.apply_update(
        at(0),
        PeerUpdate { revision: rev(11), whole: true, ..PeerUpdate::default() },
    );
    assert_eq!(copy.live_nodes(), 10);
    let restored = StoreRevision { era: 1, number: 3 };
    source.replace(at(0), restored, vec![(restored, machines[1].clone())]);
    let update = source.updates_since(copy.revision());
    assert!(update.whole);
    copy.apply_update(at(0), update);
    assert_eq!((copy.live_nodes(), copy.revision()), (2, restored));
}

#[test]
fn nodes_agree_on_the_owner_of_an_account_unless_it_does_not_reply() {
    let machines = machines(20, 3);
    let mut tables = tables(&machines);
    let owner = |table: &PeerTable, now| table.account_owner(now, "one");
    let first = tables.values().find_map(|table| owner(table, at(0))).expect("an owner");
    for (name, table) in &mut tables {
        if *name == first {
            assert_eq!(owner(table, at(0)), None, "the node itself");
            continue;
        }
        // One failure of another kind of call changes nothing; a lost call to the owner
        // does, for a second or until the owner is heard.
        table.on_failed(at(0), &first);
        assert_eq!(owner(table, at(1)).as_ref(), Some(&first));
        table.on_owner_failed(at(1), &first);
        assert_ne!(owner(table, at(2)).as_ref(), Some(&first));
        table.on_owner_heard(&first);
        assert_eq!(owner(table, at(3)).as_ref(), Some(&first));
        table.on_owner_failed(at(3), &first);
        assert_ne!(owner(table, at(900)).as_ref(), Some(&first));
        assert_eq!(owner(table, at(1_100)).as_ref(), Some(&first));
    }
}
