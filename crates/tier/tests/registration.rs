//! The entry of this node in the store.
//!
//! Guards against a node that stays unregistered after its entry was removed by a call that
//! the store executed late, and against one that writes its entry again without need.

use carobstep_tier::{NodeRegistration, StoreRevision};

const fn revision(era: u64, number: u64) -> StoreRevision {
    StoreRevision { era, number }
}

/// What a node that wrote its entry at a revision sees, and whether it writes it again.
struct GoneCase {
    label: &'static str,
    written: StoreRevision,
    see: fn(&mut NodeRegistration) -> bool,
    writes_again: bool,
}

#[test]
fn an_entry_that_was_removed_late_is_written_again() {
    let cases = [
        GoneCase {
            label: "removed after the write",
            written: revision(0, 5),
            see: |own| own.on_removed(revision(0, 9)),
            writes_again: true,
        },
        GoneCase {
            label: "removed before the write, by the process before",
            written: revision(0, 5),
            see: |own| own.on_removed(revision(0, 4)),
            writes_again: false,
        },
        GoneCase {
            label: "missing from a later list",
            written: revision(0, 5),
            see: |own| own.on_missing(revision(0, 9)),
            writes_again: true,
        },
        GoneCase {
            label: "missing from an earlier list",
            written: revision(0, 5),
            see: |own| own.on_missing(revision(0, 4)),
            writes_again: false,
        },
        GoneCase {
            label: "missing from a restored store, whose revisions are lower",
            written: revision(0, 5),
            see: |own| own.on_missing(revision(1, 2)),
            writes_again: true,
        },
        GoneCase {
            label: "missing from a list that can't be compared",
            written: revision(0, 0),
            see: |own| own.on_missing(revision(0, 9)),
            writes_again: false,
        },
        GoneCase {
            label: "removed, of an unknown revision",
            written: revision(0, 0),
            see: |own| own.on_removed(revision(0, 9)),
            writes_again: true,
        },
    ];
    for case in cases {
        let mut own = NodeRegistration::default();
        own.on_write_started();
        assert!(!own.on_written(case.written), "{}", case.label);
        assert_eq!((case.see)(&mut own), case.writes_again, "{}", case.label);
        assert!(!(case.see)(&mut own), "{}: one write at a time", case.label);
        assert!(!own.on_written(revision(1, 20)), "{}", case.label);
    }
}

#[test]
fn a_removal_that_is_seen_while_the_entry_is_written_is_not_missed() {
    let mut own = NodeRegistration::default();
    own.on_write_started();
    assert!(!own.on_removed(revision(0, 9)));
    // The entry of an earlier process was found at revision 5, and removed since.
    assert!(own.on_written(revision(0, 5)));
    assert!(!own.on_written(revision(0, 12)));
    assert_eq!(own.revision(), Some(revision(0, 12)));
    // A store that doesn't tell revisions ends the repetition.
    assert!(!own.on_written(revision(0, 0)));
}
