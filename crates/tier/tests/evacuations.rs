//! Evacuated availability zones.
//!
//! Guards against a request to a server of an evacuated zone, and against an evacuation that
//! ends before its removal is known.

mod support;

use std::{sync::Arc, time::Duration};

use carobstep_tier::{
    DirectoryChange, EvacuationChange, EvacuationTable, PickScope, ServerFleet, StoreRevision,
};
use support::{LIMITS, at, class, entry, fleet, name};

enum Step {
    List { era: u64, number: u64, zones: &'static [&'static str] },
    Event { era: u64, number: u64, zone: &'static str, is_removed: bool },
    Expire,
}

struct TableCase {
    what: &'static str,
    steps: &'static [(u64, Step)],
    zones: &'static [&'static str],
}

const CASES: [TableCase; 8] = [
    TableCase {
        what: "listed",
        steps: &[(0, Step::List { era: 0, number: 5, zones: &["a", "b"] })],
        zones: &["a", "b"],
    },
    TableCase {
        what: "created and removed while watched",
        steps: &[
            (0, Step::List { era: 0, number: 5, zones: &[] }),
            (1, Step::Event { era: 0, number: 6, zone: "a", is_removed: false }),
            (2, Step::Event { era: 0, number: 7, zone: "b", is_removed: false }),
            (3, Step::Event { era: 0, number: 8, zone: "a", is_removed: true }),
        ],
        zones: &["b"],
    },
    TableCase {
        what: "an older list of a peer",
        steps: &[
            (0, Step::Event { era: 0, number: 6, zone: "a", is_removed: false }),
            (1, Step::List { era: 0, number: 5, zones: &[] }),
        ],
        zones: &["a"],
    },
    TableCase {
        what: "a newer list of a peer",
        steps: &[
            (0, Step::Event { era: 0, number: 6, zone: "a", is_removed: false }),
            (1, Step::List { era: 0, number: 7, zones: &[] }),
        ],
        zones: &[],
    },
    TableCase {
        what: "no news for an hour",
        steps: &[(0, Step::List { era: 0, number: 5, zones: &["a"] }), (3_600_000, Step::Expire)],
        zones: &["a"],
    },
    TableCase {
        what: "a restored store lacks the entry at first",
        steps: &[
            (0, Step::List { era: 0, number: 50, zones: &["a"] }),
            (1_000, Step::List { era: 1, number: 40, zones: &[] }),
            (1_500, Step::List { era: 1, number: 41, zones: &[] }),
            (2_000, Step::Event { era: 1, number: 42, zone: "a", is_removed: false }),
            (9_000, Step::Expire),
        ],
        zones: &["a"],
    },
    TableCase {
        what: "a restored store lacks the entry for good",
        steps: &[
            (0, Step::List { era: 0, number: 50, zones: &["a"] }),
            (1_000, Step::List { era: 1, number: 40, zones: &[] }),
            (4_000, Step::Expire),
        ],
        zones: &[],
    },
    TableCase {
        what: "a list from before the restore",
        steps: &[
            (0, Step::List { era: 1, number: 40, zones: &["a"] }),
            (1, Step::List { era: 0, number: 50, zones: &[] }),
        ],
        zones: &["a"],
    },
];

fn names(zones: &[&str]) -> Vec<Arc<str>> {
    zones.iter().map(|zone| name(zone)).collect()
}

#[test]
fn the_newest_word_of_the_store_holds() {
    for case in &CASES {
        let mut table = EvacuationTable::default();
        for (millis, step) in case.steps {
            match step {
                Step::List { era, number, zones } => {
                    let revision = StoreRevision { era: *era, number: *number };
                    table.replace(at(*millis), revision, &names(zones));
                }
                Step::Event { era, number, zone, is_removed } => {
                    let revision = StoreRevision { era: *era, number: *number };
                    table.apply_event(at(*millis), revision, &name(zone), *is_removed);
                }
                Step::Expire => drop(table.expire(at(*millis))),
            }
        }
        let known: Vec<_> = table.zones().cloned().collect();
        assert_eq!(known, names(case.zones), "{}", case.what);
    }
}

#[test]
fn an_update_carries_all_that_the_store_lists() {
    let mut first = EvacuationTable::default();
    first.replace(at(0), StoreRevision { era: 0, number: 5 }, &names(&["a"]));
    first.confirm(StoreRevision { era: 0, number: 9 });
    let update = first.update(Duration::from_millis(3));
    let mut second = EvacuationTable::default();
    let changes = second.replace(at(1), update.changed, &update.zones);
    second.confirm(update.confirmed);
    assert_eq!(changes, [EvacuationChange::Started(name("a"))]);
    assert_eq!(second.update(Duration::from_millis(3)), update);
    assert!(second.replace(at(2), update.changed, &update.zones).is_empty());
}

/// Sends requests to one service; returns the zones of the servers that got them.
fn zones_used(fleet: &mut ServerFleet, millis: u64, excluded: bool) -> Vec<Arc<str>> {
    let service = fleet.service_key("shard-0").expect("a service");
    let class = class(fleet);
    let mut zones = Vec::new();
    let mut used = Vec::new();
    for _ in 0..8 {
        let scope = PickScope { excluded: &used, ..Default::default() };
        let Some(server) = fleet.pick(at(millis), service, class, scope) else { break };
        if excluded {
            used.push(server);
        }
        zones.push(fleet.endpoint(server).expect("a server").entry.zone);
    }
    zones.sort();
    zones.dedup();
    zones
}

#[test]
fn servers_of_an_evacuated_zone_get_no_requests() {
    let (mut fleet, services) = fleet(1, &["a", "b", "c"], LIMITS);
    let class = class(&mut fleet);
    assert_eq!(zones_used(&mut fleet, 0, true), names(&["a", "b", "c"]));
    let changed = fleet.set_evacuated_zones(at(1), names(&["a"]));
    assert_eq!(changed.len(), 1);
    assert!(fleet.is_evacuated(changed[0]));
    assert_eq!(zones_used(&mut fleet, 1, true), names(&["b", "c"]));
    let preference = names(&["a", "b", "c"]);
    let best = fleet.best_zone(at(1), services[0], class, &preference);
    assert_eq!(best, Some(name("b")));
    let allowed = fleet.choose_allowed(at(1), services[0], class, "a", 3, &[]);
    assert!(!allowed.contains(&changed[0]));
    // A server that starts there, or reports again, is not called either.
    fleet.apply(at(2), &DirectoryChange::Changed(entry("new", "shard-0", "a")));
    let mut again = entry("shard-0-a", "shard-0", "a");
    again.report_number = 2;
    fleet.apply(at(2), &DirectoryChange::Changed(again));
    assert_eq!(zones_used(&mut fleet, 2, true), names(&["b", "c"]));
    assert_eq!(fleet.set_evacuated_zones(at(3), names(&["a", "b", "c"])).len(), 2);
    assert!(zones_used(&mut fleet, 3, true).is_empty());
    assert!(!fleet.has_available_server(at(3), services[0]));
    assert_eq!(fleet.available_from(at(3), &services, 1), None);
    fleet.set_evacuated_zones(at(4), Vec::new());
    assert_eq!(zones_used(&mut fleet, 4, true), names(&["a", "b", "c"]));
}
