//! Links to servers: what counts as lost, what is probed, and when a node returns.

mod support;

use std::time::Duration;

use carobstep_clock::BootTime;
use carobstep_tier::{
    AttemptKind, AttemptOutcome, AttemptTicket, ClassKey, DirectoryChange, LinkReport, LinkReports,
    PickScope, ProbeOutcome, ServerFleet, ServerKey, ServiceKey,
};
use support::{LIMITS, at, class, entry, fleet, name};

/// Sends a request to one server of each service.
fn send_to_all(
    fleet: &mut ServerFleet,
    now: BootTime,
    services: &[ServiceKey],
    key: ClassKey,
) -> Vec<AttemptTicket> {
    let mut tickets = Vec::new();
    for service in services {
        let server = fleet.pick(now, *service, key, PickScope::default()).expect("a server");
        tickets.push(fleet.on_attempt_sent(now, server, key, AttemptKind::First));
    }
    tickets
}

fn zone_of(fleet: &ServerFleet, server: ServerKey) -> String {
    fleet.endpoint(server).expect("a server").entry.zone.to_string()
}

/// Lets the probes that are due at `now` end with an outcome for each zone.
fn probe(fleet: &mut ServerFleet, now: BootTime, outcome_in: impl Fn(&str) -> ProbeOutcome) {
    for server in fleet.due_probes(now) {
        let outcome = outcome_in(&zone_of(fleet, server));
        fleet.on_probe_ended(now + Duration::from_millis(1), server, outcome);
    }
}

/// Silence of the servers of zone `a`, and what the probes show.
struct SilenceCase {
    label: &'static str,
    /// Number of services, with a server in each of the zones `a` and `b`.
    services: usize,
    outcomes: &'static [ProbeOutcome],
    is_lost: bool,
}

#[test]
fn a_silent_zone_is_lost_only_after_all_its_probes_failed() {
    use ProbeOutcome::{Answered, Silent, Unreachable};
    let cases = [
        SilenceCase {
            label: "connections fail",
            services: 5,
            outcomes: &[Unreachable; 3],
            is_lost: true,
        },
        SilenceCase {
            label: "connections are accepted and stay silent",
            services: 5,
            outcomes: &[Silent; 3],
            is_lost: true,
        },
        SilenceCase {
            label: "one server responds",
            services: 5,
            outcomes: &[Unreachable, Silent, Answered],
            is_lost: false,
        },
        SilenceCase {
            label: "one server responds first",
            services: 5,
            outcomes: &[Answered, Silent, Unreachable],
            is_lost: false,
        },
        SilenceCase { label: "one server", services: 1, outcomes: &[Silent], is_lost: true },
    ];
    for SilenceCase { label, services: count, outcomes, is_lost } in cases {
        let (mut fleet, services) = fleet(count, &["a", "b"], LIMITS);
        let key = class(&mut fleet);
        send_to_all(&mut fleet, at(0), &services, key);
        assert!(fleet.due_probes(at(149)).is_empty(), "{label}");
        let probed = fleet.due_probes(at(150));
        assert_eq!(probed.len(), outcomes.len(), "{label}");
        for (server, outcome) in probed.iter().zip(outcomes) {
            assert_eq!(zone_of(&fleet, *server), "a", "{label}");
            fleet.on_probe_ended(at(300), *server, *outcome);
        }
        let expected = if is_lost { vec![name("a")] } else { Vec::new() };
        assert_eq!(fleet.lost_zones(at(300)), expected, "{label}");
    }
}

#[test]
fn a_zone_that_responds_is_not_probed() {
    let (mut fleet, services) = fleet(4, &["a"], LIMITS);
    let key = class(&mut fleet);
    let tickets = send_to_all(&mut fleet, at(0), &services, key);
    fleet.on_attempt_ended(at(5), tickets[0], AttemptOutcome::Answered);
    // The others wait for less than the pauses of sound servers take.
    assert!(fleet.due_probes(at(300)).is_empty());
}

/// A server that stays silent while others respond.
struct SlowCase {
    label: &'static str,
    /// Time for which its request waits, in milliseconds.
    waits: u64,
    is_probed: bool,
    outcome: ProbeOutcome,
    /// Whether it is still called if no other server is left.
    is_last_resort: bool,
}

#[test]
fn a_slow_server_is_not_taken_for_one_out_of_reach() {
    let cases = [
        SlowCase {
            label: "pause",
            waits: 250,
            is_probed: false,
            outcome: ProbeOutcome::Answered,
            is_last_resort: true,
        },
        SlowCase {
            label: "responds to the probe",
            waits: 600,
            is_probed: true,
            outcome: ProbeOutcome::Answered,
            is_last_resort: true,
        },
        SlowCase {
            label: "accepts connections only",
            waits: 600,
            is_probed: true,
            outcome: ProbeOutcome::Silent,
            is_last_resort: true,
        },
        SlowCase {
            label: "out of reach",
            waits: 600,
            is_probed: true,
            outcome: ProbeOutcome::Unreachable,
            is_last_resort: false,
        },
    ];
    for SlowCase { label, waits, is_probed, outcome, is_last_resort } in cases {
        let (mut fleet, services) = fleet(6, &["a"], LIMITS);
        let key = class(&mut fleet);
        let slow = send_to_all(&mut fleet, at(0), &services[..1], key)[0].server;
        for step in 0..waits / 50 {
            let now = at(step * 50);
            for ticket in send_to_all(&mut fleet, now, &services[1..], key) {
                fleet.on_attempt_ended(now, ticket, AttemptOutcome::Answered);
            }
        }
        let probed = fleet.due_probes(at(waits));
        assert_eq!(probed, if is_probed { vec![slow] } else { Vec::new() }, "{label}");
        for server in probed {
            fleet.on_probe_ended(at(waits), server, outcome);
        }
        assert!(fleet.lost_zones(at(waits)).is_empty(), "{label}");
        let is_available = fleet.has_available_server(at(waits), services[0]);
        assert_eq!(is_available, is_last_resort, "{label}");
        let responds = fleet.has_responding_server(at(waits), services[0]);
        assert_eq!(responds, outcome == ProbeOutcome::Answered, "{label}");
    }
}

#[test]
fn a_server_that_can_not_be_called_twice_is_probed_at_once() {
    let (mut fleet, services) = fleet(6, &["a"], LIMITS);
    let key = class(&mut fleet);
    for round in 0..2 {
        let ticket = send_to_all(&mut fleet, at(round), &services[..1], key)[0];
        fleet.on_attempt_ended(at(round), ticket, AttemptOutcome::Unsent);
    }
    assert_eq!(fleet.due_probes(at(100)).len(), 1);
}

/// Results of the probes that follow another node's report.
struct ReportCase {
    label: &'static str,
    outcome: ProbeOutcome,
    is_lost: bool,
}

/// Guards against each node of a large fleet losing a request before it learns that a zone
/// is cut off, and against nodes that believe others without looking.
#[test]
fn a_zone_that_another_node_has_lost_is_probed_before_it_is_avoided() {
    let cases = [
        ReportCase { label: "lost here, too", outcome: ProbeOutcome::Unreachable, is_lost: true },
        ReportCase {
            label: "lost by the other only",
            outcome: ProbeOutcome::Answered,
            is_lost: false,
        },
    ];
    for ReportCase { label, outcome, is_lost } in cases {
        let (mut fleet, services) = fleet(4, &["a", "b"], LIMITS);
        assert!(fleet.due_probes(at(2_000)).is_empty(), "{label}");
        fleet.suspect_zone(at(2_000), &name("b"));
        assert!(fleet.lost_zones(at(2_000)).is_empty(), "{label}");
        let probed = fleet.due_probes(at(2_000));
        assert_eq!(probed.len(), 3, "{label}");
        for server in probed {
            fleet.on_probe_ended(at(2_010), server, outcome);
        }
        assert_eq!(!fleet.lost_zones(at(2_010)).is_empty(), is_lost, "{label}");
        // A link that has just been used needs no probe.
        fleet.suspect_zone(at(2_300), &name("b"));
        assert!(is_lost || fleet.due_probes(at(2_300)).is_empty(), "{label}");
        assert!(fleet.has_available_server(at(2_300), services[0]), "{label}");
    }
}

#[test]
fn services_without_a_server_in_reach_are_told_from_those_without_servers() {
    let (mut fleet, services) = fleet(4, &["b"], LIMITS);
    let key = class(&mut fleet);
    send_to_all(&mut fleet, at(0), &services, key);
    assert!(!fleet.is_out_of_reach(at(200), services[0]));
    probe(&mut fleet, at(200), |_| ProbeOutcome::Unreachable);
    assert!(fleet.is_out_of_reach(at(300), services[0]));
    assert!(!fleet.has_available_server(at(300), services[0]));
    assert!(fleet.pick(at(300), services[0], key, PickScope::default()).is_none());
    assert_eq!(fleet.zones_of(at(300), services[0]), [name("b")]);
    assert!(fleet.link_check_due(at(300)).is_some_and(|due| due > at(300)));
    fleet.apply(at(300), &DirectoryChange::Removed(name("shard-0-b")));
    assert!(!fleet.is_out_of_reach(at(300), services[0]));
}

/// Nodes whose links to a zone are back at the same time.
struct ReturnCase {
    nodes: u32,
    /// Greatest share of them that may return within a tenth of a second.
    most_at_once: f64,
    /// Time within which all must have returned, in milliseconds.
    all_within: u128,
}

/// Guards against hundreds of nodes opening connections to all servers in the same moment,
/// and against a few that leave servers unused for no reason.
#[test]
fn nodes_return_one_after_the_other_when_the_links_are_back() {
    let cases = [
        ReturnCase { nodes: 6, most_at_once: 1.0, all_within: 1_200 },
        ReturnCase { nodes: 300, most_at_once: 0.3, all_within: 3_000 },
    ];
    for ReturnCase { nodes, most_at_once, all_within } in cases {
        let mut returned = Vec::new();
        for node in 0..nodes {
            let limits = carobstep_tier::FleetLimits { nodes, ..LIMITS };
            let (fleet, services) = fleet(4, &["a"], limits);
            let mut fleet = fleet.with_seed(u64::from(node));
            let key = class(&mut fleet);
            send_to_all(&mut fleet, at(0), &services, key);
            let mut now = at(200);
            while now < at(5_000) {
                probe(&mut fleet, now, |_| ProbeOutcome::Unreachable);
                now += Duration::from_millis(50);
            }
            assert_eq!(fleet.lost_zones(now), [name("a")]);
            while !fleet.lost_zones(now).is_empty() {
                probe(&mut fleet, now, |_| ProbeOutcome::Answered);
                now += Duration::from_millis(50);
            }
            returned.push(now.since(at(5_000)).as_millis());
        }
        returned.sort_unstable();
        let last = returned[returned.len() - 1];
        assert!(last <= all_within, "{nodes} nodes: the last after {last} ms");
        let at_once = |start: usize| {
            let later = returned[start..].iter();
            later.take_while(|time| **time < returned[start] + 100).count()
        };
        let most = (0..returned.len()).map(at_once).max().unwrap_or(0);
        let share = most as f64 / f64::from(nodes);
        assert!(share <= most_at_once, "{nodes} nodes: {share} at once");
    }
}

#[test]
fn a_node_returns_at_once_if_no_other_calls_the_servers() {
    let (mut fleet, services) = fleet(4, &["a"], LIMITS);
    let key = class(&mut fleet);
    send_to_all(&mut fleet, at(0), &services, key);
    let mut now = at(200);
    while now < at(5_000) {
        probe(&mut fleet, now, |_| ProbeOutcome::Unreachable);
        now += Duration::from_millis(50);
    }
    while !fleet.end_return(now, services[0]) {
        probe(&mut fleet, now, |_| ProbeOutcome::Answered);
        now += Duration::from_millis(50);
        assert!(now < at(7_000), "the links are not found to be back");
    }
    assert!(fleet.lost_zones(now).is_empty());
    assert!(fleet.has_available_server(now, services[0]));
}

/// Guards against servers that look slow and failing at a node only because its links were
/// lost.
#[test]
fn lost_links_leave_no_trace_in_the_state_of_servers() {
    let (mut fleet, services) = fleet(4, &["a", "b"], LIMITS);
    let key = class(&mut fleet);
    let mut tickets = send_to_all(&mut fleet, at(0), &services, key);
    for _ in 0..10 {
        for ticket in std::mem::take(&mut tickets) {
            fleet.on_attempt_ended(at(150), ticket, AttemptOutcome::TimedOut);
            tickets.push(fleet.on_attempt_sent(at(150), ticket.server, key, AttemptKind::First));
        }
    }
    for ticket in tickets {
        fleet.on_attempt_ended(at(190), ticket, AttemptOutcome::Unsent);
    }
    probe(&mut fleet, at(400), |_| ProbeOutcome::Unreachable);
    assert_eq!(fleet.lost_zones(at(410)), [name("a")]);
    probe(&mut fleet, at(700), |_| ProbeOutcome::Answered);
    assert!(fleet.lost_zones(at(710)).is_empty());
    for service in &services {
        let server = fleet.pick(at(710), *service, key, PickScope::default()).expect("a server");
        assert_eq!(zone_of(&fleet, server), "a", "the server in the local zone is chosen again");
    }
}

#[test]
fn a_leaving_or_paused_server_is_not_probed() {
    let (mut fleet, services) = fleet(2, &["a"], LIMITS);
    let key = class(&mut fleet);
    let tickets = send_to_all(&mut fleet, at(0), &services, key);
    let mut draining = entry("shard-0-a", "shard-0", "a");
    draining.phase = carobstep_tier::ServerPhase::Draining;
    fleet.apply(at(1), &DirectoryChange::Changed(draining));
    fleet.pause_server(at(1), tickets[1].server, Duration::from_secs(5));
    assert!(fleet.due_probes(at(800)).is_empty());
}

fn report(node: &str, version: u64, zones: &[&str]) -> LinkReport {
    LinkReport {
        node: name(node),
        version,
        lost_zones: zones.iter().map(|zone| name(zone)).collect(),
    }
}

/// Reports that reach a node, and what it knows afterwards of the node `x` and the zone `a`.
struct MergeCase {
    label: &'static str,
    merged: Vec<LinkReport>,
    reaches: bool,
}

#[test]
fn the_latest_report_of_a_node_holds_whatever_the_order_of_the_messages() {
    let cases = [
        MergeCase { label: "none", merged: Vec::new(), reaches: true },
        MergeCase { label: "lost", merged: vec![report("x", 1, &["a"])], reaches: false },
        MergeCase { label: "another zone", merged: vec![report("x", 1, &["b"])], reaches: true },
        MergeCase {
            label: "back",
            merged: vec![report("x", 1, &["a"]), report("x", 2, &[])],
            reaches: true,
        },
        MergeCase {
            label: "delayed",
            merged: vec![report("x", 2, &[]), report("x", 1, &["a"])],
            reaches: true,
        },
        MergeCase { label: "damaged", merged: vec![report("x", u64::MAX, &["a"])], reaches: true },
    ];
    for MergeCase { label, merged, reaches } in cases {
        let mut reports = LinkReports::new(name("own"));
        for report in &merged {
            reports.merge(report);
        }
        assert_eq!(reports.reaches("x", "a"), reaches, "{label}");
    }
}

/// Guards against a node that is never asked again because of what it reported before a
/// restart.
#[test]
fn a_restarted_node_supersedes_its_earlier_report() {
    let mut restarted = LinkReports::new(name("x"));
    assert!(restarted.merge(&report("x", 7, &["a"])), "the others have to learn of it");
    let mut other = LinkReports::new(name("other"));
    other.merge(&report("x", 7, &["a"]));
    for update in restarted.updates_after(0).reports {
        assert!(other.merge(&update));
    }
    assert!(other.reaches("x", "a") && restarted.reaches("x", "a"));
    assert!(restarted.set_own(vec![name("b")]) && !restarted.set_own(vec![name("b")]));
    for update in restarted.updates_after(0).reports {
        assert!(other.merge(&update));
    }
    assert!(!other.reaches("x", "b"));
}
