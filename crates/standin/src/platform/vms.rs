//! The VM list and its lag.

use std::{collections::VecDeque, time::Duration};

use carobstep_store::VmRecord;
use indexmap::IndexMap;
use tokio::time::Instant;

/// Past lists that stay available to lagging readers.
const MAX_PAST_LISTS: usize = 1_024;

type VmMap = IndexMap<String, VmRecord>;

/// The VM list with its recent past.
#[derive(Debug)]
pub(crate) struct VmList {
    /// Lists with the time from which each was true, oldest first, never empty.
    lists: VecDeque<(Instant, VmMap)>,
}

impl VmList {
    /// Builds the first list.
    pub(crate) fn new(vms: Vec<VmRecord>, now: Instant) -> Self {
        let first = vms.into_iter().map(|vm| (vm.name.clone(), vm)).collect();
        Self { lists: VecDeque::from([(now, first)]) }
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

    /// The list as it was `lag` ago, or the oldest one kept.
    pub(crate) fn read(&self, lag: Duration, now: Instant) -> Vec<VmRecord> {
        let mut seen = &self.lists[0].1;
        for (since, list) in &self.lists {
            if *since + lag > now {
                break;
            }
            seen = list;
        }
        seen.values().cloned().collect()
    }

    fn newest(&self) -> VmMap {
        self.lists[self.lists.len() - 1].1.clone()
    }

    fn push(&mut self, list: VmMap, now: Instant) {
        self.lists.push_back((now, list));
        if self.lists.len() > MAX_PAST_LISTS {
            self.lists.pop_front();
        }
    }
}
