//! State that a node keeps of servers, zones, peers and its own lifecycle.

mod support;

use std::time::Duration;

use carobstep_tier::{
    AttemptKind, AttemptOutcome, DirectoryChange, LifecyclePhase, NodeLifecycle, PeerEntry,
    PeerTable, PickScope, ServerDirectory, ServerPhase, ServingReach, StopTiming, StoreRevision,
    VersionedServer, return_delay,
};
use support::{LIMITS, at, class, entry, fleet, name};

/// Returns a revision of a store that was never restored.
const fn rev(number: u64) -> StoreRevision {
    StoreRevision { era: 0, number }
}

fn ids(directory: &ServerDirectory) -> Vec<String> {
    directory.entries().map(|entry| entry.id.to_string()).collect()
}

#[test]
fn entries_that_expired_during_an_outage_are_kept_for_two_seconds() {
    let mut directory = ServerDirectory::default();
    directory.on_store_reply(at(0));
    directory.replace(
        at(0),
        rev(5),
        vec![(rev(1), entry("x", "s", "a")), (rev(2), entry("y", "s", "a"))],
    );
    // The store is unavailable for 4 s; the first list afterwards misses one entry.
    directory.on_store_failure(at(100));
    directory.on_store_failure(at(3_000));
    directory.on_store_reply(at(4_000));
    let changes = directory.replace(at(4_000), rev(9), vec![(rev(2), entry("y", "s", "a"))]);
    assert_eq!(changes, []);
    assert_eq!(ids(&directory), ["x", "y"]);
    assert_eq!(directory.expire(at(5_999)), []);
    assert_eq!(directory.expire(at(6_000)), [DirectoryChange::Removed(name("x"))]);
}

/// A removal that a directory defers after an outage.
struct DeferredCase {
    label: &'static str,
    remove: fn(&mut ServerDirectory),
    /// Revision that another node may continue from meanwhile.
    known: StoreRevision,
}

#[test]
fn a_removal_that_is_deferred_is_not_hidden_from_peers_by_the_revision() {
    let cases = [
        DeferredCase {
            label: "an event",
            remove: |directory| {
                directory.remove(at(4_100), rev(7), "x", &mut Vec::new());
                directory.insert(rev(8), entry("z", "s", "a"), &mut Vec::new());
                directory.confirm(rev(9));
            },
            known: rev(6),
        },
        DeferredCase {
            label: "a list",
            remove: |directory| {
                let list = vec![(rev(2), entry("y", "s", "a")), (rev(11), entry("z", "s", "a"))];
                directory.replace(at(4_100), rev(9), list);
            },
            known: rev(5),
        },
        DeferredCase {
            label: "a list of a restored store",
            remove: |directory| {
                let list = vec![(StoreRevision { era: 1, number: 2 }, entry("y", "s", "a"))];
                directory.replace(at(4_100), StoreRevision { era: 1, number: 4 }, list);
            },
            known: StoreRevision { era: 1, number: 1 },
        },
    ];
    for case in cases {
        let mut directory = ServerDirectory::default();
        let list = vec![(rev(1), entry("x", "s", "a")), (rev(2), entry("y", "s", "a"))];
        directory.replace(at(0), rev(5), list);
        let mut follower = directory.clone();
        directory.on_store_failure(at(100));
        directory.on_store_reply(at(4_000));
        let before = directory.last_change();
        (case.remove)(&mut directory);
        assert_eq!(directory.revision(), case.known, "{}", case.label);
        let update = directory.updates_after(Some(before));
        follower.apply_update(at(4_200), update);
        assert!(ids(&follower).contains(&"x".to_owned()), "{}", case.label);
        assert_eq!(follower.revision().max(case.known), case.known, "{}", case.label);
        let mut newcomer = ServerDirectory::default();
        newcomer.apply_update(at(4_200), directory.updates_after(None));
        assert_eq!(newcomer.revision(), case.known, "{}: a new node", case.label);
        directory.expire(at(6_200));
        assert!(directory.revision() > case.known, "{}", case.label);
        follower.apply_update(at(6_300), directory.updates_after(Some(before)));
        assert!(!ids(&follower).contains(&"x".to_owned()), "{}", case.label);
    }
}

#[test]
fn an_entry_that_is_registered_again_within_the_grace_period_is_kept() {
    let mut directory = ServerDirectory::default();
    directory.on_store_reply(at(0));
    directory.replace(at(0), rev(5), vec![(rev(1), entry("x", "s", "a"))]);
    directory.on_store_failure(at(100));
    directory.on_store_reply(at(4_000));
    directory.replace(at(4_000), rev(9), Vec::new());
    let mut changes = Vec::new();
    directory.insert(rev(10), entry("x", "s", "a"), &mut changes);
    assert_eq!(changes, []);
    assert_eq!(directory.expire(at(9_000)), []);
}

#[test]
fn without_an_outage_a_missing_entry_is_removed_at_once() {
    /// Times of failed calls to the store and of the next list, in milliseconds.
    struct GapCase {
        label: &'static str,
        failed: &'static [u64],
        listed: u64,
    }
    let cases = [
        GapCase { label: "one call after the other", failed: &[], listed: 500 },
        // A node that gets its updates from a peer rarely calls the store.
        GapCase { label: "no call for a while", failed: &[], listed: 5_000 },
        GapCase { label: "one call failed", failed: &[100], listed: 600 },
    ];
    for case in cases {
        let mut directory = ServerDirectory::default();
        directory.on_store_reply(at(0));
        directory.replace(at(0), rev(5), vec![(rev(1), entry("x", "s", "a"))]);
        for millis in case.failed {
            directory.on_store_failure(at(*millis));
        }
        directory.on_store_reply(at(case.listed));
        let changes = directory.replace(at(case.listed), rev(6), Vec::new());
        assert_eq!(changes, [DirectoryChange::Removed(name("x"))], "{}", case.label);
    }
}

#[test]
fn older_updates_do_not_override_newer_ones() {
    let mut draining = entry("x", "s", "a");
    draining.phase = ServerPhase::Draining;
    let mut directory = ServerDirectory::default();
    let mut changes = Vec::new();
    directory.insert(rev(7), draining.clone(), &mut changes);
    directory.insert(rev(3), entry("x", "s", "a"), &mut changes);
    assert_eq!(changes, [DirectoryChange::Changed(draining)]);
    directory.remove(at(0), rev(9), "x", &mut changes);
    directory.insert(rev(8), entry("x", "s", "a"), &mut changes);
    assert_eq!(ids(&directory), Vec::<String>::new());
    directory.insert(rev(10), entry("x", "s", "a"), &mut changes);
    assert_eq!(ids(&directory), ["x"]);
}

/// A report that the store receives after another report of the same server.
struct ReportCase {
    label: &'static str,
    born_ms: u64,
    report_number: u64,
    /// Whether the report is applied.
    is_applied: bool,
}

#[test]
fn a_delayed_report_does_not_override_a_later_one() {
    let cases = [
        ReportCase { label: "next report", born_ms: 5, report_number: 8, is_applied: true },
        ReportCase { label: "delayed report", born_ms: 5, report_number: 6, is_applied: false },
        ReportCase {
            label: "earlier incarnation",
            born_ms: 4,
            report_number: 90,
            is_applied: false,
        },
        ReportCase { label: "next incarnation", born_ms: 6, report_number: 1, is_applied: true },
    ];
    for case in cases {
        let mut directory = ServerDirectory::default();
        let mut draining = entry("x", "s", "a");
        draining.phase = ServerPhase::Draining;
        (draining.born_ms, draining.report_number) = (Some(5), 7);
        directory.insert(rev(1), draining.clone(), &mut Vec::new());
        let mut report = entry("x", "s", "a");
        (report.born_ms, report.report_number) = (Some(case.born_ms), case.report_number);
        let mut changes = Vec::new();
        directory.insert(rev(2), report, &mut changes);
        assert_eq!(!changes.is_empty(), case.is_applied, "{}", case.label);
    }
}

#[test]
fn a_report_without_new_content_is_no_change() {
    let mut directory = ServerDirectory::default();
    directory.insert(rev(1), entry("x", "s", "a"), &mut Vec::new());
    let mut next = entry("x", "s", "a");
    next.report_number += 1;
    let mut changes = Vec::new();
    directory.insert(rev(2), next, &mut changes);
    assert_eq!((changes.len(), directory.last_change()), (0, 2), "known to peers only");
}

#[test]
fn a_peer_gets_a_full_snapshot_first_and_then_only_changes() {
    let mut source = ServerDirectory::default();
    let mut changes = Vec::new();
    source.insert(rev(1), entry("x", "s", "a"), &mut changes);
    source.insert(rev(2), entry("y", "s", "a"), &mut changes);
    let mut copy = ServerDirectory::default();
    let whole = source.updates_after(None);
    assert!(whole.whole);
    let number = whole.number;
    copy.apply_update(at(0), whole);
    assert_eq!(ids(&copy), ["x", "y"]);
    source.remove(at(0), rev(3), "x", &mut changes);
    let update = source.updates_after(Some(number));
    let expected = [VersionedServer { revision: rev(3), id: name("x"), entry: None }];
    assert_eq!((update.whole, &update.servers[..]), (false, &expected[..]));
    copy.apply_update(at(0), update);
    assert_eq!(ids(&copy), ["y"]);
    assert_eq!(source.updates_after(Some(source.last_change())).servers, []);
    assert!(
        source.updates_after(Some(source.last_change() + 1)).whole,
        "the number is unknown to this incarnation of the sender"
    );
}

/// Expected phase of a stopping node at a point in time.
struct PhaseCase {
    millis: u64,
    in_flight: usize,
    phase: LifecyclePhase,
}

/// Guards against callers that a node in a cut-off zone asks to come back at once, only
/// to be refused again before the balancer sends them elsewhere.
#[test]
fn a_cut_off_node_names_the_time_until_the_balancer_has_left() {
    let mut lifecycle = NodeLifecycle::new(StopTiming::within(Duration::from_secs(6)));
    let delay =
        |lifecycle: &NodeLifecycle, millis| lifecycle.balancer_delay(at(millis)).as_millis();
    assert_eq!(delay(&lifecycle, 0), 0);
    lifecycle.set_reach(at(1_000), ServingReach::CutOff);
    assert!(!lifecycle.set_reach(at(1_500), ServingReach::CutOff), "it was cut off before");
    let delays = [1_000, 1_800, 3_799, 3_800, 9_000].map(|millis| delay(&lifecycle, millis));
    assert_eq!(delays, [2_800, 2_000, 1, 0, 0]);
    lifecycle.set_reach(at(9_000), ServingReach::Own);
    assert_eq!(delay(&lifecycle, 9_000), 0);
}

/// When a caller that a stopping node refuses should return.
struct ReturnCase {
    name: &'static str,
    balancer_ms: u64,
    remaining_ms: u64,
    other_nodes: usize,
    return_ms: u64,
}

/// Guards against callers that a stopping node refuses and that the load balancer sends to
/// the same node again.
#[test]
fn a_caller_refused_by_a_stopping_node_returns_when_it_reaches_another_one() {
    let cases = [
        ReturnCase {
            name: "the balancer has left",
            balancer_ms: 0,
            remaining_ms: 8_000,
            other_nodes: 1,
            return_ms: 0,
        },
        ReturnCase {
            name: "few nodes: after the balancer has left",
            balancer_ms: 1_800,
            remaining_ms: 8_000,
            other_nodes: 1,
            return_ms: 1_800,
        },
        ReturnCase {
            name: "little time is left",
            balancer_ms: 1_800,
            remaining_ms: 900,
            other_nodes: 1,
            return_ms: 300,
        },
        ReturnCase {
            name: "probably another node at once",
            balancer_ms: 1_800,
            remaining_ms: 8_000,
            other_nodes: 22,
            return_ms: 0,
        },
    ];
    for case in cases {
        let [balancer, remaining] =
            [case.balancer_ms, case.remaining_ms].map(Duration::from_millis);
        let delay = return_delay(balancer, remaining, case.other_nodes);
        assert_eq!(delay.as_millis(), u128::from(case.return_ms), "{}", case.name);
    }
    let mut lifecycle = NodeLifecycle::new(StopTiming::within(Duration::from_secs(6)));
    lifecycle.stop(at(1_000));
    let delays = [1_000, 2_800, 3_800, 5_000].map(|millis| lifecycle.balancer_delay(at(millis)));
    assert_eq!(delays.map(|delay| delay.as_millis()), [2_800, 1_000, 0, 0]);
}

/// Guards against a node in a zone that is cut off that the balancer keeps, because peers of
/// the same zone seem to be able to help for a moment.
#[test]
fn a_cut_off_node_is_ready_again_once_peers_have_helped_for_a_while() {
    let mut lifecycle = NodeLifecycle::new(StopTiming::within(Duration::from_secs(6)));
    assert!(!lifecycle.set_reach(at(0), ServingReach::Peers), "ready from the start");
    assert!(lifecycle.set_reach(at(10), ServingReach::CutOff));
    assert!(!lifecycle.set_reach(at(50), ServingReach::Peers));
    assert!(!lifecycle.set_reach(at(300), ServingReach::CutOff));
    assert!(!lifecycle.set_reach(at(400), ServingReach::Peers));
    assert!(!lifecycle.set_reach(at(699), ServingReach::Peers) && lifecycle.is_cut_off());
    assert!(lifecycle.set_reach(at(700), ServingReach::Peers) && !lifecycle.is_cut_off());
    assert!(lifecycle.set_reach(at(800), ServingReach::CutOff));
    assert!(lifecycle.set_reach(at(801), ServingReach::Own), "at once when the links are back");
}

#[test]
fn a_stopping_node_serves_on_until_the_balancer_has_left() {
    let mut lifecycle = NodeLifecycle::new(StopTiming::within(Duration::from_secs(6)));
    assert_eq!(lifecycle.phase(at(0), 0), LifecyclePhase::Starting);
    lifecycle.on_configuration();
    assert_eq!(lifecycle.phase(at(0), 0), LifecyclePhase::Starting);
    lifecycle.on_server_list();
    assert_eq!(lifecycle.phase(at(0), 0), LifecyclePhase::Ready);
    assert!(lifecycle.set_reach(at(0), ServingReach::CutOff));
    assert_eq!(lifecycle.phase(at(0), 0), LifecyclePhase::CutOff);
    lifecycle.stop(at(1_000));
    lifecycle.stop(at(2_000));
    let cases = [
        PhaseCase { millis: 1_000, in_flight: 0, phase: LifecyclePhase::Leaving },
        // The load balancer has seen two failed checks, one per second.
        PhaseCase { millis: 3_000, in_flight: 0, phase: LifecyclePhase::Leaving },
        // A request may still be on its way when the listener closes.
        PhaseCase { millis: 3_820, in_flight: 0, phase: LifecyclePhase::Finishing },
        PhaseCase { millis: 3_900, in_flight: 0, phase: LifecyclePhase::Ended },
        PhaseCase { millis: 4_000, in_flight: 1, phase: LifecyclePhase::Finishing },
        PhaseCase { millis: 4_000, in_flight: 0, phase: LifecyclePhase::Ended },
        // The process exits within the grace period, even with requests in flight.
        PhaseCase { millis: 6_900, in_flight: 1, phase: LifecyclePhase::Ended },
    ];
    for case in cases {
        let phase = lifecycle.phase(at(case.millis), case.in_flight);
        assert_eq!(phase, case.phase, "{} ms, {} in flight", case.millis, case.in_flight);
    }
}

/// Builds the entry of a node with a link of 1,000 Mbit/s.
fn peer(node: &str, zone: &str, cpu_share: f64) -> PeerEntry {
    PeerEntry {
        name: name(node),
        zone: name(zone),
        address: "127.0.0.1:7000".parse().expect("an address"),
        cpu_share,
        link_mbps: 1_000.0,
    }
}

fn table(own: PeerEntry, others: &[PeerEntry]) -> PeerTable {
    let mut table = PeerTable::new(own);
    for node in others {
        table.insert(rev(1), node.clone());
    }
    table
}

#[test]
fn shards_are_assigned_in_proportion_to_cpu_share() {
    let (own, large) = (peer("own", "a", 0.1), peer("large", "a", 0.4));
    let mut assigned = 0;
    for shard in 0..1_000 {
        let delegate = PeerTable::choose_delegate(&[&own, &large], &format!("shard-{shard}"));
        if delegate.expect("a delegate").name == own.name {
            assigned += 1;
        }
    }
    assert!((150..250).contains(&assigned), "{assigned} of 1000, 200 expected");
}

/// Expected delegates of a node for a search over 90 shards.
struct DelegateCase {
    label: &'static str,
    own: PeerEntry,
    others: Vec<PeerEntry>,
    zone: &'static str,
    /// Minimum and maximum number of delegates.
    count: (usize, usize),
    /// Whether only nodes named `large-` may be delegates.
    only_large: bool,
}

#[test]
fn few_fast_delegates_are_preferred_to_many_slow_ones() {
    let many = |prefix: &str, zone: &str, cpu_share: f64, count: usize| -> Vec<PeerEntry> {
        (0..count).map(|number| peer(&format!("{prefix}-{number}"), zone, cpu_share)).collect()
    };
    let mixed = || [many("small", "a", 0.12, 16), many("large", "a", 0.5, 2)].concat();
    let mut narrow = many("large", "a", 0.5, 1);
    narrow[0].link_mbps = 0.5;
    let cases = [
        DelegateCase {
            label: "a slow node between slow and fast ones",
            own: peer("own", "a", 0.12),
            others: mixed(),
            zone: "a",
            count: (2, 2),
            only_large: true,
        },
        DelegateCase {
            label: "a node in another zone",
            own: peer("own", "d", 0.12),
            others: mixed(),
            zone: "a",
            count: (2, 2),
            only_large: true,
        },
        DelegateCase {
            label: "slow nodes only",
            own: peer("own", "a", 0.12),
            others: many("small", "a", 0.12, 16),
            zone: "a",
            count: (4, 8),
            only_large: false,
        },
        DelegateCase {
            label: "a fast processor behind a narrow link",
            own: peer("own", "a", 0.5),
            others: narrow,
            zone: "a",
            count: (0, 0),
            only_large: false,
        },
        DelegateCase {
            label: "no node in the zone",
            own: peer("own", "d", 0.12),
            others: mixed(),
            zone: "b",
            count: (0, 0),
            only_large: false,
        },
    ];
    for case in cases {
        let label = case.label;
        let table = table(case.own, &case.others);
        let delegates = table.delegates_in_zone(at(0), case.zone, 90);
        let (fewest, most) = case.count;
        assert!((fewest..=most).contains(&delegates.len()), "{label}: {delegates:?}");
        let large = delegates.iter().filter(|delegate| delegate.name.starts_with("large-")).count();
        assert!(!case.only_large || large == delegates.len(), "{label}: {delegates:?}");
    }
}

#[test]
fn equally_fast_nodes_share_the_delegations() {
    // Each of 16 slow nodes chooses some of the others as delegates; each node must be
    // chosen by at least one node and by no more than 14.
    let nodes: Vec<_> = (0..16).map(|number| peer(&format!("node-{number}"), "a", 0.12)).collect();
    let mut chosen = [0; 16];
    for own in &nodes {
        let table = table(own.clone(), &nodes);
        for delegate in table.delegates_in_zone(at(0), "a", 90) {
            let position = nodes.iter().position(|node| node.name == delegate.name);
            chosen[position.expect("a node")] += 1;
        }
    }
    assert!(chosen.iter().all(|count| (1..=14).contains(count)), "{chosen:?}");
}

#[test]
fn a_node_that_the_store_does_not_serve_asks_peers_for_updates() {
    let nodes = [
        peer("one", "a", 0.2),
        peer("two", "a", 0.2),
        peer("three", "a", 0.2),
        peer("far", "b", 0.2),
    ];
    for own in &nodes[..3] {
        let mut table = table(own.clone(), &nodes);
        let mut sources = Vec::new();
        // Marks each source as stale, so that the next one is chosen.
        while let Some(source) = table.fallback_peer(at(0)) {
            table.mark_stale(at(0), &source);
            sources.push(source);
        }
        let label = format!("{}: {sources:?}", own.name);
        assert_eq!(sources.len(), 3, "{label}");
        assert!(!sources.contains(&own.name), "{label}");
        assert_eq!(&*sources[2], "far", "nodes of the local zone come first, {label}");
        assert!(table.fallback_peer(at(1_999)).is_none(), "{label}");
        assert!(
            table.fallback_peer(at(2_000)).is_some(),
            "they may be chosen again later, {label}"
        );
    }
}

#[test]
fn a_peer_that_failed_is_not_chosen_until_its_backoff_ends() {
    let mut peers = table(peer("own", "a", 0.1), &[peer("other", "b", 0.1)]);
    let delegates = |peers: &PeerTable, millis| peers.delegates_in_zone(at(millis), "b", 90).len();
    assert_eq!(delegates(&peers, 0), 1);
    peers.on_failed(at(0), "other");
    assert_eq!(delegates(&peers, 499), 0);
    assert_eq!(delegates(&peers, 500), 1);
    peers.on_failed(at(500), "other");
    assert_eq!(delegates(&peers, 1_400), 0, "longer the second time");
    peers.on_answered(at(1_400), "other");
    assert_eq!(delegates(&peers, 1_400), 1);
}

/// Effect of the outcomes of recent attempts on the choice of a server.
struct ChoiceCase {
    label: &'static str,
    outcomes: &'static [AttemptOutcome],
    /// Whether the server in the local zone is still chosen.
    is_chosen: bool,
}

#[test]
fn recent_failures_move_requests_to_another_server() {
    let cases = [
        ChoiceCase { label: "healthy", outcomes: &[AttemptOutcome::Answered], is_chosen: true },
        ChoiceCase { label: "not reached", outcomes: &[AttemptOutcome::Unsent], is_chosen: false },
        ChoiceCase { label: "full", outcomes: &[AttemptOutcome::NotRun], is_chosen: false },
        ChoiceCase {
            label: "another server",
            outcomes: &[AttemptOutcome::WrongServer],
            is_chosen: false,
        },
        ChoiceCase { label: "failing", outcomes: &[AttemptOutcome::Failed; 20], is_chosen: false },
    ];
    for case in cases {
        let (mut fleet, services) = fleet(1, &["a", "b"], LIMITS);
        let key = class(&mut fleet);
        let own = fleet.pick(at(0), services[0], key, PickScope::default()).expect("a server");
        assert_eq!(&*fleet.endpoint(own).expect("a server").entry.zone, "a", "{}", case.label);
        for outcome in case.outcomes {
            let ticket = fleet.on_attempt_sent(at(0), own, key, AttemptKind::First);
            fleet.on_attempt_ended(at(1), ticket, *outcome);
        }
        let chosen = fleet.pick(at(2), services[0], key, PickScope::default());
        assert_eq!(chosen == Some(own), case.is_chosen, "{}", case.label);
    }
}

#[test]
fn a_stalled_server_is_not_chosen() {
    let (mut fleet, services) = fleet(1, &["a", "b"], LIMITS);
    let key = class(&mut fleet);
    let own = fleet.pick(at(0), services[0], key, PickScope::default()).expect("a server");
    fleet.on_attempt_sent(at(0), own, key, AttemptKind::First);
    assert_ne!(fleet.pick(at(200), services[0], key, PickScope::default()), Some(own));
}

#[test]
fn a_restarted_server_gets_a_new_key() {
    let (mut fleet, services) = fleet(1, &["a"], LIMITS);
    let key = class(&mut fleet);
    let first = fleet.pick(at(0), services[0], key, PickScope::default()).expect("a server");
    let mut again = entry("shard-0-a", "shard-0", "a");
    again.born_ms = Some(2);
    let ended = fleet.apply(at(1), &DirectoryChange::Changed(again));
    assert_eq!(ended, Some(first));
    assert_ne!(fleet.pick(at(1), services[0], key, PickScope::default()), Some(first));
}

#[test]
fn a_draining_server_gets_no_new_request() {
    let (mut fleet, services) = fleet(1, &["a"], LIMITS);
    let key = class(&mut fleet);
    let mut draining = entry("shard-0-a", "shard-0", "a");
    draining.phase = ServerPhase::Draining;
    fleet.apply(at(1), &DirectoryChange::Changed(draining));
    assert!(fleet.pick(at(1), services[0], key, PickScope::default()).is_none());
    assert!(!fleet.has_available_server(at(0), services[0]));
}
