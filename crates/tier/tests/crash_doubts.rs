//! Broken connections: crashes of servers, or links that were lost at one node.

mod support;

use std::time::Duration;

use carobstep_tier::{
    AttemptKind, CrashDoubts, CrashEvidence, CrashTable, DirectoryChange, PickScope, ProbeOutcome,
    QuarantineChange, RequestFingerprint, ServerFleet, ServerIncarnation, ServerKey,
};
use support::{LIMITS, at, class, entry, fleet, name};

fn request() -> RequestFingerprint {
    RequestFingerprint::of(&[b"/search/one"])
}

fn evidence(id: &str) -> CrashEvidence {
    CrashEvidence::of(&ServerIncarnation { id: name(id), born_ms: Some(1) })
}

/// Sends the request to one server of each shard, all in zone `a`.
fn sent(shards: usize) -> (ServerFleet, Vec<ServerKey>) {
    let (mut fleet, services) = fleet(shards, &["a", "b"], LIMITS);
    let key = class(&mut fleet);
    let mut servers = Vec::new();
    for service in services {
        let server = fleet.pick(at(0), service, key, PickScope::default()).expect("a server");
        fleet.on_attempt_sent(at(0), server, key, AttemptKind::First);
        servers.push(server);
    }
    (fleet, servers)
}

/// What happens after the connections to three of the servers of a zone have broken.
struct DoubtCase {
    label: &'static str,
    /// Number of servers in the zone.
    servers: usize,
    /// What probes of the other servers show.
    others: ProbeOutcome,
    /// Time until then, in milliseconds.
    after: u64,
    /// Number of crashes that are put down to the request at once, and then.
    used_at_once: usize,
    used: usize,
}

#[test]
fn broken_connections_are_crashes_unless_the_links_to_the_zone_are_lost() {
    use ProbeOutcome::{Answered, Silent, Unreachable};
    let cases = [
        DoubtCase {
            label: "another server responds",
            servers: 8,
            others: Answered,
            after: 10,
            used_at_once: 0,
            used: 3,
        },
        DoubtCase {
            label: "connections to others are reset",
            servers: 8,
            others: Unreachable,
            after: 10,
            used_at_once: 0,
            used: 0,
        },
        DoubtCase {
            label: "others stay silent",
            servers: 8,
            others: Silent,
            after: 400,
            used_at_once: 0,
            used: 0,
        },
        DoubtCase {
            label: "there is no other server",
            servers: 3,
            others: Unreachable,
            after: 10,
            used_at_once: 1,
            used: 0,
        },
    ];
    for case in cases {
        let DoubtCase { label, servers: count, others, after, used_at_once, used } = case;
        let (mut fleet, servers) = sent(count);
        let mut doubts = CrashDoubts::default();
        let mut at_once = 0;
        for server in &servers[..3] {
            fleet.on_connection_broken(*server);
            at_once += doubts.record(at(1), request(), *server, &mut fleet).iter().count();
        }
        assert_eq!(at_once, used_at_once, "{label}");
        assert_eq!(doubts.is_suspected(request()), at_once < 3, "{label}");
        assert!(doubts.resolve(at(2), &fleet).is_empty(), "{label}");
        let probed = fleet.due_probes(at(2));
        assert!(!probed.is_empty(), "{label}");
        for server in probed {
            let outcome = if servers[..3].contains(&server) { Unreachable } else { others };
            fleet.on_probe_ended(at(after), server, outcome);
        }
        let confirmed = doubts.resolve(at(after), &fleet);
        assert_eq!(confirmed.len(), used, "{label}: {confirmed:?}");
        assert!(doubts.is_empty(), "{label}");
    }
}

#[test]
fn a_crash_is_not_doubted_for_long() {
    let (mut fleet, servers) = sent(8);
    let mut doubts = CrashDoubts::default();
    assert_eq!(doubts.record(at(0), request(), servers[0], &mut fleet), None);
    assert!(doubts.resolve(at(1_400), &fleet).is_empty());
    assert_eq!(doubts.resolve(at(1_500), &fleet).len(), 1);
}

#[test]
fn a_server_that_has_started_again_did_crash() {
    let (mut fleet, servers) = sent(8);
    let mut doubts = CrashDoubts::default();
    doubts.record(at(0), request(), servers[0], &mut fleet);
    let mut restarted = entry("shard-0-a", "shard-0", "a");
    restarted.born_ms = Some(2);
    fleet.apply(at(5), &DirectoryChange::Changed(restarted));
    fleet.on_response(at(6), servers[1]);
    assert_eq!(doubts.resolve(at(6), &fleet), [(request(), evidence("shard-0-a"))]);
}

/// Response of a server after its crash was assumed.
struct ResponseCase {
    label: &'static str,
    /// When its connection was opened; the crash was assumed at 1,000 ms.
    opened: u64,
    is_refuted: bool,
}

#[test]
fn a_response_on_an_older_connection_shows_that_a_server_has_not_crashed() {
    let cases = [
        ResponseCase { label: "older connection", opened: 100, is_refuted: true },
        ResponseCase { label: "opened in the last moment", opened: 990, is_refuted: false },
        ResponseCase { label: "opened after the crash", opened: 1_400, is_refuted: false },
    ];
    for ResponseCase { label, opened, is_refuted } in cases {
        let (mut fleet, servers) = sent(4);
        let mut crashes = CrashTable::default();
        for id in ["shard-0-a", "shard-1-a", "shard-2-a"] {
            crashes.record_crash(at(1_000), request(), evidence(id));
        }
        fleet.accuse_by_evidence(at(1_000), crashes.evidence());
        let exonerated = fleet.exonerate(at(opened), servers[0]);
        assert_eq!(exonerated.is_some(), is_refuted, "{label}");
        let Some(server) = exonerated else { continue };
        let changes = crashes.refute(at(1_500), CrashEvidence::of(&server));
        assert_eq!(changes, [(request(), QuarantineChange::Ended)], "{label}");
        assert!(fleet.exonerate(at(opened), servers[0]).is_none(), "{label}: once");
        assert!(fleet.exonerate(at(opened), servers[3]).is_none(), "{label}: not accused");
    }
}

/// Guards against evidence that comes back with a delayed message after it was refuted.
#[test]
fn refuted_evidence_stays_refuted_on_all_nodes() {
    let mut origin = CrashTable::default();
    for id in ["x", "y", "z"] {
        origin.record_crash(at(0), request(), evidence(id));
    }
    let accusation = origin.record(at(0), request()).expect("a record");
    let mut witness = CrashTable::default();
    assert_eq!(witness.merge(at(1), &accusation), Some(QuarantineChange::Started));
    assert_eq!(witness.refute(at(2), evidence("x")).len(), 1);
    let refutation = witness.record(at(2), request()).expect("a record");
    for messages in [[&accusation, &refutation], [&refutation, &accusation]] {
        let mut other = CrashTable::default();
        for message in messages {
            other.merge(at(3), message);
        }
        assert_eq!(other.quarantined(), 0);
        assert!(other.is_suspected(request()), "of two crashes");
    }
    assert_eq!(origin.merge(at(3), &refutation), Some(QuarantineChange::Ended));
    // A further crash counts.
    let further = origin.record_crash(at(4), request(), evidence("w"));
    assert_eq!(further, Some(QuarantineChange::Started));
    assert!(witness.refute(at(5), evidence("unknown")).is_empty());
    let age = origin.record(at(100), request()).expect("a record").age;
    assert!(age <= Duration::from_millis(100));
}
