//! Directories of several nodes that learn from the store or from each other, under cut
//! watches, restarts, changes of the watching node, compactions and restores in any order.
//!
//! Guards against a removal that the watching node defers and that no node ever sees, because
//! a revision behind it was claimed before.

use std::time::Duration;

use carobstep_clock::BootTime;
use carobstep_tier::{DirectoryUpdate, ServerDirectory, ServerEntry, ServerPhase, StoreRevision};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SEEDS: u64 = 2_000;

/// Seed of a run in which a server registers and leaves behind a deferred removal.
const OPEN_SEED: u64 = 17_106;
const NODES: usize = 4;

/// Interval between two steps of a run, in milliseconds.
const STEP_MS: u64 = 100;

/// Number of steps with troubles, and of calm ones after them.
const TROUBLED_STEPS: u64 = 150;
const CALM_STEPS: u64 = 80;

/// Time in which a server writes its entry again after a restore, and after which the store
/// removes one that doesn't.
const REWRITE_STEPS: u64 = 10;
const LAPSE_STEPS: u64 = 36;

const fn at(millis: u64) -> BootTime {
    BootTime::from_millis(10_000 + millis)
}

fn entry(id: &str, service: &str, zone: &str) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        service: service.into(),
        address: "127.0.0.1:1000".parse().expect("an address"),
        zone: zone.into(),
        slots: 2,
        phase: ServerPhase::Ready,
        cold_left: Duration::ZERO,
        born_ms: Some(1),
        report_number: 1,
    }
}

const fn rev(number: u64) -> StoreRevision {
    StoreRevision { era: 0, number }
}

/// A change of an object: its revision, name, and the entry unless it was removed.
type StoreEvent = (u64, String, Option<ServerEntry>);

#[derive(Clone, Default)]
struct StoreModel {
    era: u64,
    revision: u64,
    objects: IndexMap<String, (u64, ServerEntry)>,
    events: Vec<StoreEvent>,
    /// Revision up to which the history is gone.
    compacted: u64,
}

impl StoreModel {
    fn put(&mut self, entry: ServerEntry) {
        self.revision += 1;
        let id = entry.id.to_string();
        self.objects.insert(id.clone(), (self.revision, entry.clone()));
        self.events.push((self.revision, id, Some(entry)));
    }

    fn remove(&mut self, id: &str) {
        if self.objects.shift_remove(id).is_some() {
            self.revision += 1;
            self.events.push((self.revision, id.to_owned(), None));
        }
    }

    fn at(&self, number: u64) -> StoreRevision {
        StoreRevision { era: self.era, number }
    }
}

#[derive(Clone, Default)]
struct NodeModel {
    directory: ServerDirectory,
    /// Distinguishes the processes of the node.
    life: u64,
    /// Life of the followed process, and the number of its last change that is known.
    followed: (usize, u64, u64),
    /// Where the node continues to watch the store.
    watched: Option<StoreRevision>,
}

impl NodeModel {
    /// Lets the node read the store: the changes since it last did, or a list.
    fn read_store(&mut self, now: BootTime, store: &StoreModel) {
        self.directory.on_store_reply(now);
        let known = Some(self.directory.revision()).filter(|known| known.number > 0);
        let after = self.watched.or(known);
        let after = after.filter(|it| {
            it.era == store.era && it.number >= store.compacted && it.number <= store.revision
        });
        let revision = store.at(store.revision);
        match after {
            Some(after) => {
                let mut changes = Vec::new();
                for (number, id, entry) in &store.events {
                    if *number <= after.number {
                        continue;
                    }
                    let changed = store.at(*number);
                    match entry {
                        Some(entry) => {
                            self.directory.insert(changed, entry.clone(), &mut changes);
                        }
                        None => self.directory.remove(now, changed, id, &mut changes),
                    }
                }
            }
            None => {
                let objects = store.objects.values();
                let list = objects.map(|(number, entry)| (store.at(*number), entry.clone()));
                self.directory.replace(now, revision, list.collect());
            }
        }
        self.directory.confirm(revision);
        self.watched = Some(revision);
    }

    /// Returns what the node sends to one that follows it and knows `followed` and `revision`.
    fn update_for(&self, (life, number): (u64, u64), revision: StoreRevision) -> DirectoryUpdate {
        if life == self.life {
            self.directory.updates_after(Some(number))
        } else {
            self.directory.updates_since(revision)
        }
    }
}

struct Run {
    rng: StdRng,
    step: u64,
    store: StoreModel,
    copy: StoreModel,
    nodes: Vec<NodeModel>,
    /// Node that watches the store.
    root: usize,
    lives: u64,
    /// Servers that are alive, as they report themselves.
    live: IndexMap<String, ServerEntry>,
    restored_at: Option<u64>,
}

impl Run {
    fn new(seed: u64) -> Self {
        let nodes = vec![NodeModel::default(); NODES];
        let mut run = Self {
            rng: StdRng::seed_from_u64(seed),
            step: 0,
            store: StoreModel { revision: 10, compacted: 10, ..StoreModel::default() },
            copy: StoreModel::default(),
            nodes,
            root: 0,
            lives: 0,
            live: IndexMap::new(),
            restored_at: None,
        };
        for node in 0..NODES {
            run.restart(node);
        }
        run.root = 0;
        for _ in 0..6 {
            run.add_server();
        }
        run.copy = run.store.clone();
        run
    }

    fn now(&self) -> BootTime {
        at(self.step * STEP_MS)
    }

    fn add_server(&mut self) {
        let id = format!("i-{}", self.rng.random_range(0..40));
        if self.live.contains_key(&id) {
            return;
        }
        let mut entry = entry(&id, "service", "a");
        // A server that starts again under its name knows nothing of before.
        entry.born_ms = Some(1_000 + self.step);
        self.live.insert(id, entry.clone());
        self.store.put(entry);
    }

    fn remove_server(&mut self) {
        if self.live.len() < 2 {
            return;
        }
        let position = self.rng.random_range(0..self.live.len());
        let (id, _) = self.live.shift_remove_index(position).expect("a server");
        self.store.remove(&id);
    }

    fn report(&mut self, position: usize) {
        let (_, entry) = self.live.get_index_mut(position).expect("a server");
        entry.report_number += 1;
        entry.slots = 2 + entry.report_number as u32 % 3;
        self.store.put(entry.clone());
    }

    fn restart(&mut self, node: usize) {
        self.lives += 1;
        self.nodes[node] = NodeModel { life: self.lives, ..NodeModel::default() };
        if node == self.root {
            self.root = (node + 1 + self.rng.random_range(0..NODES - 1)) % NODES;
        }
    }

    fn restore(&mut self) {
        let era = self.store.era + 1;
        self.store = StoreModel { era, ..self.copy.clone() };
        self.store.events.clear();
        self.store.compacted = self.store.revision;
        self.copy = self.store.clone();
        self.restored_at = Some(self.step);
    }

    /// Lets the servers write their entries again after a restore, and the store remove those
    /// of servers that are gone.
    fn settle_restore(&mut self) {
        let Some(restored_at) = self.restored_at else { return };
        if self.step == restored_at + REWRITE_STEPS {
            for position in 0..self.live.len() {
                self.report(position);
            }
        }
        if self.step == restored_at + LAPSE_STEPS {
            let ids: Vec<_> = self.store.objects.keys().cloned().collect();
            for id in ids {
                if !self.live.contains_key(&id) {
                    self.store.remove(&id);
                }
            }
            self.restored_at = None;
        }
    }

    /// Causes one trouble; returns whether the watch of the store is cut off.
    fn trouble(&mut self) -> bool {
        match self.rng.random_range(0..100) {
            0..8 => self.add_server(),
            8..18 => self.remove_server(),
            18..24 => {
                let position = self.rng.random_range(0..self.live.len());
                self.report(position);
            }
            24..34 => {
                let called = self.step.saturating_sub(self.rng.random_range(0..15));
                let root = &mut self.nodes[self.root].directory;
                root.on_store_failure(at(called * STEP_MS));
                return true;
            }
            34..36 => {
                self.store.compacted = self.store.revision;
                self.store.events.clear();
            }
            36..42 => self.restart(self.root),
            42..48 => {
                let node = self.rng.random_range(0..NODES);
                self.restart(node);
            }
            48..54 => {
                self.root = self.rng.random_range(0..NODES);
            }
            // A node whose data is stale calls the store itself.
            58..64 => {
                let node = self.rng.random_range(0..NODES);
                let now = self.now();
                self.nodes[node].read_store(now, &self.store);
            }
            54..56 => self.copy = self.store.clone(),
            56 if self.restored_at.is_none() => self.restore(),
            _ => {}
        }
        false
    }

    /// Lets nodes follow the watching one, or each other.
    fn follow(&mut self, is_calm: bool) {
        for node in 0..NODES {
            if node == self.root || !is_calm && self.rng.random_bool(0.3) {
                continue;
            }
            let peer = if is_calm || self.rng.random_bool(0.8) {
                self.root
            } else {
                self.rng.random_range(0..NODES)
            };
            let (known_peer, life, number) = self.nodes[node].followed;
            let life = if known_peer == peer { life } else { 0 };
            let revision = self.nodes[node].directory.revision();
            let update = self.nodes[peer].update_for((life, number), revision);
            let (now, life) = (self.now(), self.nodes[peer].life);
            let is_outdated = self.nodes[node].directory.is_outdated(&update);
            let life = if is_outdated { 0 } else { life };
            self.nodes[node].followed = (peer, life, update.number);
            // A peer that has just started may not have a list of servers yet.
            if peer != node && update.revision.number > 0 {
                self.nodes[node].directory.apply_update(now, update);
            }
        }
    }

    fn play(&mut self) {
        for step in 0..TROUBLED_STEPS + CALM_STEPS {
            self.step = step;
            let is_calm = step >= TROUBLED_STEPS;
            let is_cut = !is_calm && self.trouble();
            self.settle_restore();
            let now = self.now();
            for (number, node) in self.nodes.iter_mut().enumerate() {
                if number != self.root {
                    node.watched = None;
                }
            }
            if !is_cut {
                self.nodes[self.root].read_store(now, &self.store);
            }
            self.follow(is_calm);
            for node in &mut self.nodes {
                node.directory.expire(now);
            }
        }
    }
}

/// Returns the servers that a directory lists, with their reports.
fn listed(directory: &ServerDirectory) -> Vec<(String, u64)> {
    let entries = directory.entries();
    let mut listed: Vec<_> =
        entries.map(|entry| (entry.id.to_string(), entry.report_number)).collect();
    listed.sort();
    listed
}

/// Plays a seed, and checks that all nodes list the servers that are alive.
fn check_seed(seed: u64) {
    let mut run = Run::new(seed);
    run.play();
    let live = run.live.iter();
    let mut expected: Vec<_> = live.map(|(id, entry)| (id.clone(), entry.report_number)).collect();
    expected.sort();
    for (number, node) in run.nodes.iter().enumerate() {
        assert_eq!(listed(&node.directory), expected, "seed {seed}, node {number}");
    }
}

#[test]
fn every_node_learns_every_removal_whichever_node_watches() {
    for seed in 0..SEEDS {
        check_seed(seed);
    }
}

#[test]
fn a_server_that_registers_and_leaves_behind_a_deferred_removal_is_forgotten() {
    check_seed(OPEN_SEED);
}

/// Builds the directories of a watching node that has deferred the removal of `x` at revision
/// 6, and of one that follows it and still lists `x`.
fn deferred_removal() -> (ServerDirectory, ServerDirectory) {
    let mut watcher = ServerDirectory::default();
    let list = vec![(rev(1), entry("x", "s", "a")), (rev(5), entry("y", "s", "a"))];
    watcher.replace(at(0), rev(5), list);
    let mut follower = ServerDirectory::default();
    follower.apply_update(at(0), watcher.updates_after(None));
    watcher.on_store_failure(at(100));
    watcher.on_store_reply(at(1_200));
    watcher.remove(at(1_200), rev(6), "x", &mut Vec::new());
    watcher.confirm(rev(6));
    (watcher, follower)
}

/// Guards against a node that forgets a removal which it has deferred, because another node
/// that doesn't know of it sends the entry.
#[test]
fn a_peer_that_still_lists_an_entry_does_not_end_the_deferral_of_its_removal() {
    let (mut watcher, follower) = deferred_removal();
    watcher.apply_update(at(1_300), follower.updates_since(watcher.revision()));
    watcher.apply_update(at(1_300), follower.updates_after(None));
    assert_eq!(watcher.revision(), rev(5), "no revision behind the removal is claimed");
    watcher.expire(at(3_300));
    assert_eq!(listed(&watcher), [("y".to_owned(), 1)]);
}

/// Guards against a removal that the watching node doesn't pass on, because it has never listed
/// the entry itself: before a restore, it had seen it removed.
#[test]
fn a_removal_reaches_nodes_that_list_what_the_watching_one_does_not() {
    let restored = |number| StoreRevision { era: 1, number };
    let mut watcher = ServerDirectory::default();
    watcher.replace(at(0), rev(5), vec![(rev(1), entry("x", "s", "a"))]);
    watcher.remove(at(0), rev(6), "x", &mut Vec::new());
    // The restored store holds the entry of the server, which is gone, until it lapses.
    let list = || vec![(restored(1), entry("x", "s", "a"))];
    watcher.replace(at(100), restored(3), list());
    let mut newcomer = ServerDirectory::default();
    newcomer.replace(at(100), restored(3), list());
    let known = watcher.updates_after(None).number;
    watcher.remove(at(4_000), restored(4), "x", &mut Vec::new());
    watcher.confirm(restored(4));
    let update = watcher.updates_after(Some(known));
    newcomer.apply_update(at(4_100), update);
    assert_eq!(listed(&newcomer), [], "at {:?}", newcomer.revision());
}

/// How a node that has called the store itself goes on with one that lists again after its
/// history was compacted: `y` registered and left meanwhile, and only the former knows it.
fn list_after_compaction(
    update: impl Fn(&ServerDirectory, u64, StoreRevision) -> DirectoryUpdate,
) -> Vec<(String, u64)> {
    let mut watcher = ServerDirectory::default();
    watcher.replace(at(0), rev(5), vec![(rev(1), entry("x", "s", "a"))]);
    let known = watcher.last_change();
    let mut follower = ServerDirectory::default();
    follower.apply_update(at(0), watcher.updates_after(None));
    follower.insert(rev(6), entry("y", "s", "a"), &mut Vec::new());
    watcher.replace(at(500), rev(8), vec![(rev(1), entry("x", "s", "a"))]);
    let update = update(&watcher, known, follower.revision());
    follower.apply_update(at(600), update);
    listed(&follower)
}

/// Guards against a new follower that is told of the changes since a list only, and keeps what
/// was missing from it.
#[test]
fn a_new_list_tells_a_new_follower_what_is_missing() {
    let known = list_after_compaction(|watcher, _, revision| watcher.updates_since(revision));
    assert_eq!(known, [("x".to_owned(), 1)]);
}

/// Like the test above, with a node that has followed the other one before.
#[test]
fn a_new_list_tells_an_earlier_follower_what_is_missing() {
    let known = list_after_compaction(|watcher, number, _| watcher.updates_after(Some(number)));
    assert_eq!(known, [("x".to_owned(), 1)]);
}
