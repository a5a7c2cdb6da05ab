//! The VM list and its recent history, from which delayed reads are served.

use std::{collections::VecDeque, time::Duration};

use carobstep_store::VmRecord;
use indexmap::IndexMap;
use tokio::time::Instant;

/// Number of past and current lists that are kept for delayed reads.
const MAX_HISTORY_LENGTH: usize = 1_024;

type VmMap = IndexMap<String, VmRecord>;

/// The VM list with its recent history.
#[derive(Debug)]
pub(crate) struct VmList {
    /// Past and current lists, each with the time at which it became current; oldest first, never
    /// empty.
    history: VecDeque<(Instant, VmMap)>,
}

impl VmList {
    /// Creates a history whose only list contains `vms`.
    pub(crate) fn new(vms: Vec<VmRecord>, now: Instant) -> Self {
        let initial = vms.into_iter().map(|vm| (vm.name.clone(), vm)).collect();
        Self { history: VecDeque::from([(now, initial)]) }
    }

    /// Adds or replaces a VM.
    pub(crate) fn put(&mut self, vm: VmRecord, now: Instant) {
        let mut next = self.newest();
        next.insert(vm.name.clone(), vm);
        self.push(next, now);
    }

    /// Removes a VM.
    pub(crate) fn remove(&mut self, name: &str, now: Instant) {
        let mut next = self.newest();
        next.shift_remove(name);
        self.push(next, now);
    }

    /// Returns the list as it was `lag` ago, or the oldest list that is kept.
    pub(crate) fn read(&self, lag: Duration, now: Instant) -> Vec<VmRecord> {
        let mut visible = &self.history[0].1;
        for (since, list) in &self.history {
            if *since + lag > now {
                break;
            }
            visible = list;
        }
        visible.values().cloned().collect()
    }

    fn newest(&self) -> VmMap {
        self.history[self.history.len() - 1].1.clone()
    }

    fn push(&mut self, list: VmMap, now: Instant) {
        self.history.push_back((now, list));
        if self.history.len() > MAX_HISTORY_LENGTH {
            self.history.pop_front();
        }
    }
}
