//! Exhaustive search of the grant rules on the product's own transition
//! functions: no two nodes use a backend server at the same time.

mod rules;
mod spec;
mod steps;

use pathfinding::directed::bfs::{bfs, bfs_reach};
use rules::{Mutant, ZoneSize};
use spec::{GrantState, HoldStep};
use steps::successors;
use strum::IntoEnumIterator;

/// The smallest search; others add to it.
const BASE: ZoneSize = ZoneSize {
    nodes: 2,
    takers: 1,
    renewals: 1,
    restarts: 0,
    skips: 0,
    term: 1,
    deadline: 0,
    slow_answers: false,
    hearsay: false,
    releases: false,
    ends: false,
    mutant: None,
};

/// The smallest search in which the holder also releases and ends.
const ENDS: ZoneSize = ZoneSize { releases: true, ends: true, deadline: 1, ..BASE };

/// Searches of a zone of two that have to find no violation.
const ZONES_OF_TWO: &[ZoneSize] = &[
    ZoneSize { renewals: 2, restarts: 1, skips: 1, term: 3, slow_answers: true, ..BASE },
    ZoneSize { renewals: 2, restarts: 1, skips: 1, ..ENDS },
];

/// Searches of a zone of three that have to find no violation.
const ZONES_OF_THREE: &[ZoneSize] = &[
    ZoneSize { nodes: 3, renewals: 2, term: 3, ..BASE },
    ZoneSize { nodes: 3, restarts: 1, skips: 1, term: 3, ..BASE },
    ZoneSize { nodes: 3, restarts: 1, skips: 1, slow_answers: true, ..BASE },
    ZoneSize { nodes: 3, term: 3, hearsay: true, ..BASE },
    ZoneSize { nodes: 3, skips: 1, hearsay: true, ..BASE },
    ZoneSize { nodes: 3, takers: 2, restarts: 1, ..BASE },
    ZoneSize { nodes: 3, restarts: 1, ..ENDS },
    ZoneSize { nodes: 3, skips: 1, ..ENDS },
];

/// Searches of a zone of four that have to find no violation.
const ZONES_OF_FOUR: &[ZoneSize] = &[
    ZoneSize { nodes: 4, restarts: 1, ..BASE },
    ZoneSize { nodes: 4, renewals: 2, ..BASE },
    ZoneSize { nodes: 4, skips: 1, ..BASE },
    ZoneSize { nodes: 4, term: 3, ..BASE },
    ZoneSize { nodes: 4, ..ENDS },
];

/// A rule that is left out, and a search that shows why it is needed.
struct MutantCase {
    mutant: Mutant,
    size: ZoneSize,
}

const THREE: ZoneSize = ZoneSize { nodes: 3, ..BASE };

const MUTANT_CASES: &[MutantCase] = &[
    MutantCase { mutant: Mutant::NewsLeftOut, size: BASE },
    MutantCase { mutant: Mutant::FenceLeftOut, size: THREE },
    MutantCase { mutant: Mutant::RestartRuleLeftOut, size: ZoneSize { restarts: 1, ..THREE } },
    MutantCase { mutant: Mutant::DispatchCheckLeftOut, size: THREE },
    MutantCase { mutant: Mutant::HalfTold, size: BASE },
    MutantCase { mutant: Mutant::ToldBeforeClose, size: ZoneSize { restarts: 1, ..THREE } },
    MutantCase { mutant: Mutant::OldWitnessesOnly, size: ZoneSize { nodes: 4, ..BASE } },
    MutantCase { mutant: Mutant::DriftLeftOut, size: ZoneSize { skips: 1, ..THREE } },
    MutantCase { mutant: Mutant::TermFromAnswer, size: THREE },
    MutantCase { mutant: Mutant::VouchFromAnswer, size: ZoneSize { slow_answers: true, ..THREE } },
    MutantCase { mutant: Mutant::LostAnswerTrusted, size: THREE },
    MutantCase { mutant: Mutant::CloseUnconditional, size: THREE },
    MutantCase { mutant: Mutant::LapseLeftOut, size: ZoneSize { term: 3, ..THREE } },
    MutantCase { mutant: Mutant::LapseNotRestarted, size: ZoneSize { term: 3, ..THREE } },
    MutantCase { mutant: Mutant::DeadlineLeftOut, size: ENDS },
    MutantCase { mutant: Mutant::ReleasedBeforeIdle, size: ENDS },
    MutantCase { mutant: Mutant::ResumedAfterRelease, size: ENDS },
    MutantCase { mutant: Mutant::ReopenedBeforeDrop, size: ENDS },
    MutantCase { mutant: Mutant::ListBelieved, size: BASE },
];

fn next_states(size: &ZoneSize, state: &GrantState) -> Vec<GrantState> {
    successors(size, state).into_iter().map(|(_, next)| next).collect()
}

/// Shortest path to a state that `wanted` accepts, as the names of its steps.
fn find_trace(size: &ZoneSize, wanted: impl Fn(&GrantState) -> bool) -> Option<Vec<String>> {
    let start = GrantState::new(size);
    let path = bfs(&start, |state| next_states(size, state), wanted)?;
    let mut trace = Vec::new();
    for pair in path.windows(2) {
        let step = successors(size, &pair[0]).into_iter().find(|(_, next)| *next == pair[1]);
        trace.push(step.map(|(name, _)| name).unwrap_or_default());
    }
    Some(trace)
}

/// Counts every reachable state; panics with the trace of a violation.
fn explore(size: &ZoneSize) -> usize {
    let start = GrantState::new(size);
    let mut count = 0;
    let states = bfs_reach(start, |state| next_states(size, state));
    for state in states {
        count += 1;
        if state.is_violated(size) {
            let trace = find_trace(size, |state| state.is_violated(size));
            panic!("violation after {count} states: {trace:#?}");
        }
    }
    count
}

fn explore_all(sizes: &[ZoneSize]) {
    for size in sizes {
        println!("{} states: {size:?}", explore(size));
    }
}

#[test]
fn zones_of_two_are_safe() {
    explore_all(ZONES_OF_TWO);
}

#[test]
fn zones_of_three_are_safe() {
    explore_all(ZONES_OF_THREE);
}

#[test]
fn zones_of_four_are_safe() {
    explore_all(ZONES_OF_FOUR);
}

#[test]
fn every_rule_is_needed() {
    for case in MUTANT_CASES {
        let size = ZoneSize { mutant: Some(case.mutant), ..case.size };
        let trace = find_trace(&size, |state| state.is_violated(&size));
        let trace = trace.unwrap_or_else(|| panic!("no violation without {}", case.mutant));
        println!("{}: {} steps in a zone of {}", case.mutant, trace.len(), size.nodes);
        for step in trace {
            println!("    {step}");
        }
    }
}

#[test]
fn every_mutant_has_a_case() {
    for mutant in Mutant::iter() {
        assert!(MUTANT_CASES.iter().any(|case| case.mutant == mutant), "{mutant}");
    }
}

/// Whether a taker dispatches although the holder neither ended nor heard of
/// the takeover.
fn is_taken_by_lapse(state: &GrantState) -> bool {
    state.holder.hold == HoldStep::Held && state.dispatching_taker().is_some()
}

#[test]
fn a_lapse_alone_never_moves_a_grant_in_a_zone_of_two() {
    let size = ZoneSize { renewals: 2, restarts: 1, skips: 1, ..BASE };
    assert_eq!(find_trace(&size, is_taken_by_lapse), None);
}

#[test]
fn a_lapse_moves_a_grant_in_larger_zones() {
    for nodes in [3, 4] {
        let size = ZoneSize { nodes, ..BASE };
        assert!(find_trace(&size, is_taken_by_lapse).is_some(), "zone of {nodes}");
    }
}

#[test]
fn a_holder_goes_on_past_its_term_while_half_of_the_witnesses_vouch() {
    let size = ZoneSize { nodes: 4, ..BASE };
    let trace = find_trace(&size, |state| state.lease.closed && state.holder_dispatches(&size));
    assert!(trace.is_some());
}
