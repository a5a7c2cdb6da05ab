//! Model checking of the grant protocol: an exhaustive search over the real
//! `LeaseGuard`, `LeaseWitness` and `LeaseTakeover` checks that no two nodes use
//! a backend server at the same time.

mod rules;
mod spec;
mod steps;

use pathfinding::directed::bfs::{bfs, bfs_reach};
use rules::{ModelConfig, Mutant};
use spec::{GrantState, GrantStep};
use steps::successors;
use strum::IntoEnumIterator;

/// Smallest search, which the others extend.
const BASE: ModelConfig = ModelConfig {
    nodes: 2,
    claimants: 1,
    renewals: 1,
    restarts: 0,
    missed_ticks: 0,
    term: 1,
    deadline: 0,
    slow_replies: false,
    gossip_reports: false,
    releases: false,
    holder_ends: false,
    mutant: None,
};

/// Smallest search in which the holder also releases its grant and crashes.
const WITH_ENDS: ModelConfig =
    ModelConfig { releases: true, holder_ends: true, deadline: 1, ..BASE };

/// Searches of a zone of two nodes that must find no violation.
const ZONES_OF_TWO: &[ModelConfig] = &[
    ModelConfig { renewals: 2, restarts: 1, missed_ticks: 1, term: 3, slow_replies: true, ..BASE },
    ModelConfig { renewals: 2, restarts: 1, missed_ticks: 1, ..WITH_ENDS },
];

/// Searches of a zone of three nodes that must find no violation.
const ZONES_OF_THREE: &[ModelConfig] = &[
    ModelConfig { nodes: 3, renewals: 2, term: 3, ..BASE },
    ModelConfig { nodes: 3, restarts: 1, missed_ticks: 1, term: 3, ..BASE },
    ModelConfig { nodes: 3, restarts: 1, missed_ticks: 1, slow_replies: true, ..BASE },
    ModelConfig { nodes: 3, term: 3, gossip_reports: true, ..BASE },
    ModelConfig { nodes: 3, missed_ticks: 1, gossip_reports: true, ..BASE },
    ModelConfig { nodes: 3, claimants: 2, restarts: 1, ..BASE },
    ModelConfig { nodes: 3, restarts: 1, ..WITH_ENDS },
    ModelConfig { nodes: 3, missed_ticks: 1, ..WITH_ENDS },
];

/// Searches of a zone of four nodes that must find no violation.
const ZONES_OF_FOUR: &[ModelConfig] = &[
    ModelConfig { nodes: 4, restarts: 1, ..BASE },
    ModelConfig { nodes: 4, renewals: 2, ..BASE },
    ModelConfig { nodes: 4, missed_ticks: 1, ..BASE },
    ModelConfig { nodes: 4, term: 3, ..BASE },
    ModelConfig { nodes: 4, ..WITH_ENDS },
];

/// A rule that is left out, and a search that then must find a violation.
struct MutantCase {
    mutant: Mutant,
    config: ModelConfig,
}

const THREE_NODES: ModelConfig = ModelConfig { nodes: 3, ..BASE };

const MUTANT_CASES: &[MutantCase] = &[
    MutantCase { mutant: Mutant::CloseNoticeLeftOut, config: BASE },
    MutantCase { mutant: Mutant::FenceLeftOut, config: THREE_NODES },
    MutantCase {
        mutant: Mutant::LeaseReadLeftOut,
        config: ModelConfig { restarts: 1, ..THREE_NODES },
    },
    MutantCase { mutant: Mutant::DispatchCheckLeftOut, config: THREE_NODES },
    MutantCase { mutant: Mutant::HalfNotified, config: BASE },
    MutantCase {
        mutant: Mutant::NotifiedBeforeClose,
        config: ModelConfig { restarts: 1, ..THREE_NODES },
    },
    MutantCase { mutant: Mutant::OldWitnessesOnly, config: ModelConfig { nodes: 4, ..BASE } },
    MutantCase {
        mutant: Mutant::DriftLeftOut,
        config: ModelConfig { missed_ticks: 1, ..THREE_NODES },
    },
    MutantCase { mutant: Mutant::TermFromReply, config: THREE_NODES },
    MutantCase {
        mutant: Mutant::VouchFromReply,
        config: ModelConfig { slow_replies: true, ..THREE_NODES },
    },
    MutantCase { mutant: Mutant::LostReplyTrusted, config: THREE_NODES },
    MutantCase { mutant: Mutant::CloseUnconditional, config: THREE_NODES },
    MutantCase { mutant: Mutant::ExpiryLeftOut, config: ModelConfig { term: 3, ..THREE_NODES } },
    MutantCase {
        mutant: Mutant::ExpiryNotRestarted,
        config: ModelConfig { term: 3, ..THREE_NODES },
    },
    MutantCase { mutant: Mutant::DeadlineLeftOut, config: WITH_ENDS },
    MutantCase { mutant: Mutant::ReleasedBeforeIdle, config: WITH_ENDS },
    MutantCase { mutant: Mutant::ResumedAfterRelease, config: WITH_ENDS },
    MutantCase { mutant: Mutant::ReopenedBeforeDrop, config: WITH_ENDS },
    MutantCase { mutant: Mutant::UnseenListTrusted, config: BASE },
];

fn next_states(config: &ModelConfig, state: &GrantState) -> Vec<GrantState> {
    successors(config, state).into_iter().map(|(_, next)| next).collect()
}

/// Returns the names of the steps on the shortest path to a state that `wanted`
/// accepts.
fn find_trace(config: &ModelConfig, wanted: impl Fn(&GrantState) -> bool) -> Option<Vec<String>> {
    let start = GrantState::new(config);
    let path = bfs(&start, |state| next_states(config, state), wanted)?;
    let mut trace = Vec::new();
    for pair in path.windows(2) {
        let step = successors(config, &pair[0]).into_iter().find(|(_, next)| *next == pair[1]);
        trace.push(step.map(|(name, _)| name).unwrap_or_default());
    }
    Some(trace)
}

/// Visits every reachable state and returns their number.
///
/// # Panics
///
/// Panics with the shortest trace if a state violates the safety property.
fn explore(config: &ModelConfig) -> usize {
    let start = GrantState::new(config);
    let mut count = 0;
    let states = bfs_reach(start, |state| next_states(config, state));
    for state in states {
        count += 1;
        if state.is_violated(config) {
            let trace = find_trace(config, |state| state.is_violated(config));
            panic!("violation after {count} states: {trace:#?}");
        }
    }
    count
}

fn explore_all(configs: &[ModelConfig]) {
    for config in configs {
        println!("{} states: {config:?}", explore(config));
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
        let config = ModelConfig { mutant: Some(case.mutant), ..case.config };
        let trace = find_trace(&config, |state| state.is_violated(&config));
        let trace = trace.unwrap_or_else(|| panic!("no violation without {}", case.mutant));
        println!("{}: {} steps in a zone of {}", case.mutant, trace.len(), config.nodes);
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

/// Whether a claimant dispatches although the holder has neither ended nor been
/// notified of the takeover.
fn is_moved_by_expiry(state: &GrantState) -> bool {
    state.holder.grant_step == GrantStep::Held && state.dispatching_claimant().is_some()
}

#[test]
fn an_expired_lease_alone_never_moves_a_grant_in_a_zone_of_two() {
    let config = ModelConfig { renewals: 2, restarts: 1, missed_ticks: 1, ..BASE };
    assert_eq!(find_trace(&config, is_moved_by_expiry), None);
}

#[test]
fn an_expired_lease_moves_a_grant_in_larger_zones() {
    for nodes in [3, 4] {
        let config = ModelConfig { nodes, ..BASE };
        assert!(find_trace(&config, is_moved_by_expiry).is_some(), "zone of {nodes}");
    }
}

#[test]
fn a_holder_dispatches_past_its_term_while_half_of_the_witnesses_vouch() {
    let config = ModelConfig { nodes: 4, ..BASE };
    let trace = find_trace(&config, |state| state.lease.closed && state.holder_dispatches(&config));
    assert!(trace.is_some());
}
