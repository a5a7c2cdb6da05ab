//! Model checking of configuration distribution: a node never reverts to an older
//! version, and nodes that reach each other converge on the newest one.

use std::sync::LazyLock;

use carobstep_config::ConfigVersion;
use carobstep_control::DocumentTable;
use pathfinding::directed::bfs::{bfs, bfs_reach};
use serde_json::json;

const NODES: usize = 3;
const VERSIONS: u64 = 4;

/// The platform's version, the current version of each node, and copies in
/// flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    platform: u64,
    nodes: [u64; NODES],
    copies: [Option<u64>; NODES],
    /// The highest version that each node has had since its last restart.
    highest: [u64; NODES],
}

const START: ModelState =
    ModelState { platform: 1, nodes: [0; NODES], copies: [None; NODES], highest: [0; NODES] };

/// Rule by which a node adopts an offered version.
#[derive(Clone, Copy)]
enum AdoptionRule {
    /// The rule of `DocumentTable`: the highest version wins.
    HighestVersion,
    /// A broken rule: the version that arrives last wins.
    LastArrival,
}

/// Number of versions that a node may have, including zero before the first.
const VERSION_COUNT: usize = VERSIONS as usize + 1;

/// Results of `DocumentTable`, computed once for each pair of versions.
struct Outcomes {
    /// Version of a node after an offer: `[current][offered]`.
    offered: [[u64; VERSION_COUNT]; VERSION_COUNT],
    /// Version of the receiver after an exchange: `[receiver][sender]`.
    exchanged: [[u64; VERSION_COUNT]; VERSION_COUNT],
    /// Version that a node sends as a copy, if it has one.
    copied: [Option<u64>; VERSION_COUNT],
}

static OUTCOMES: LazyLock<Outcomes> = LazyLock::new(Outcomes::compute);

impl Outcomes {
    fn compute() -> Self {
        let versions: [u64; VERSION_COUNT] = std::array::from_fn(|version| version as u64);
        Self {
            offered: versions.map(|current| versions.map(|version| offer(current, version))),
            exchanged: versions.map(|current| versions.map(|sender| exchange(current, sender))),
            copied: versions.map(|current| {
                let copy = documents_at(current).config_after(ConfigVersion(0));
                copy.map(|copy| copy.version.0)
            }),
        }
    }
}

fn offer(current: u64, version: u64) -> u64 {
    let mut documents = documents_at(current);
    documents.merge_record(&record(version)).expect("the document is valid");
    documents.version().0
}

fn exchange(current: u64, sender: u64) -> u64 {
    let sender = documents_at(sender);
    let mut receiver = documents_at(current);
    if receiver.is_behind(sender.version(), &[])
        && let Some(copy) = sender.config_after(receiver.version())
    {
        receiver.merge_copy(copy).expect("the document is valid");
    }
    receiver.version().0
}

fn index_of(version: u64) -> usize {
    usize::try_from(version).expect("a version is a small number")
}

fn documents_at(version: u64) -> DocumentTable {
    let mut documents = DocumentTable::default();
    if version > 0 {
        documents.merge_record(&record(version)).expect("the document is valid");
    }
    documents
}

fn record(version: u64) -> serde_json::Value {
    json!({"version": version, "document": {}})
}

impl ModelState {
    fn offer(&mut self, node: usize, version: u64, adoption: AdoptionRule) {
        self.nodes[node] = match adoption {
            AdoptionRule::HighestVersion => {
                OUTCOMES.offered[index_of(self.nodes[node])][index_of(version)]
            }
            AdoptionRule::LastArrival => version,
        };
        self.highest[node] = self.highest[node].max(self.nodes[node]);
    }

    fn has_reverted(&self) -> bool {
        self.nodes != self.highest
    }
}

/// Returns the states after each possible event: a patch is accepted, a node
/// reads a current or stale version from the platform, a node sends its copy to
/// another, a copy arrives, or a node restarts without a configuration.
fn successors(state: &ModelState, adoption: AdoptionRule) -> Vec<ModelState> {
    let mut next = Vec::new();
    if state.platform < VERSIONS {
        next.push(ModelState { platform: state.platform + 1, ..state.clone() });
    }
    for node in 0..NODES {
        for stale in 1..=state.platform {
            let mut after = state.clone();
            after.offer(node, stale, adoption);
            next.push(after);
        }
        let mut restarted = state.clone();
        restarted.nodes[node] = 0;
        restarted.highest[node] = 0;
        next.push(restarted);
        if let Some(version) = state.copies[node] {
            let mut after = state.clone();
            after.copies[node] = None;
            after.offer(node, version, adoption);
            next.push(after);
        }
        for from in 0..NODES {
            let copy = OUTCOMES.copied[index_of(state.nodes[from])];
            let Some(copy) = copy.filter(|_| from != node) else { continue };
            let mut after = state.clone();
            after.copies[node] = Some(copy);
            next.push(after);
        }
    }
    next
}

#[test]
fn a_version_in_force_never_reverts() {
    let states = bfs_reach(START, |state| successors(state, AdoptionRule::HighestVersion));
    let mut count = 0;
    for state in states {
        count += 1;
        assert!(!state.has_reverted(), "{state:?}");
    }
    println!("configuration spread: {count} states");
}

#[test]
fn the_search_finds_a_reverting_node() {
    let path =
        bfs(&START, |state| successors(state, AdoptionRule::LastArrival), ModelState::has_reverted);
    let path = path.expect("a later arrival of an older version reverts a node");
    println!("{path:#?}");
}

/// From every reachable state, one exchange between each pair of nodes brings the
/// newest version to all of them.
#[test]
fn exchanges_bring_the_newest_version_to_every_node() {
    for state in bfs_reach(START, |state| successors(state, AdoptionRule::HighestVersion)) {
        let newest = state.nodes.into_iter().max().unwrap_or(0);
        let mut after = state.clone();
        for from in 0..NODES {
            for to in 0..NODES {
                after.nodes[to] =
                    OUTCOMES.exchanged[index_of(after.nodes[to])][index_of(after.nodes[from])];
                after.nodes[from] =
                    OUTCOMES.exchanged[index_of(after.nodes[from])][index_of(after.nodes[to])];
            }
        }
        assert_eq!(after.nodes, [newest; NODES], "{state:?}");
    }
}
