//! Times that refused callers were told to come back at.

use std::{collections::BTreeMap, time::Duration};

use carobstep_clock::BootTime;

/// Most bookings that one queue keeps.
const MAX_BOOKINGS: usize = 4096;

/// How long before its time a booking may be redeemed.
const EARLY_GRACE: Duration = Duration::from_millis(20);

/// How long after its time a booking may be redeemed.
const LATE_GRACE: Duration = Duration::from_millis(100);

/// Weight of one kept or missed booking in the show rate.
const SHOW_WEIGHT: f64 = 1.0 / 32.0;

/// A virtual schedule that gives each refused caller a time of its own.
///
/// Bookings are spaced by the time the server needs per request, so callers
/// that come back at the time they were told find capacity for each of them.
/// The show rate learns how many do come back; the capacity held for the
/// others is not kept from new requests.
#[derive(Clone, Debug)]
pub(super) struct BookingSchedule {
    by_time: BTreeMap<(BootTime, u64), ()>,
    by_caller: BTreeMap<u64, BootTime>,
    end: BootTime,
    show_rate: f64,
}

impl BookingSchedule {
    pub(super) const fn new() -> Self {
        Self {
            by_time: BTreeMap::new(),
            by_caller: BTreeMap::new(),
            end: BootTime::ZERO,
            show_rate: 1.0,
        }
    }

    /// Books the next free time, at `earliest` or later.
    pub(super) fn book(&mut self, caller: u64, earliest: BootTime, spacing: Duration) -> BootTime {
        let due = self.end.max(earliest);
        if self.by_caller.len() >= MAX_BOOKINGS {
            return due;
        }
        self.end = due + spacing;
        if let Some(old) = self.by_caller.insert(caller, due) {
            self.by_time.remove(&(old, caller));
        }
        self.by_time.insert((due, caller), ());
        due
    }

    /// Takes the caller's booking if it is due now.
    pub(super) fn redeem(&mut self, caller: u64, now: BootTime) -> bool {
        let Some(due) = self.by_caller.get(&caller).copied() else { return false };
        if due > now + EARLY_GRACE {
            return false;
        }
        self.by_caller.remove(&caller);
        self.by_time.remove(&(due, caller));
        self.note_show(1.0);
        true
    }

    /// Drops the bookings whose callers did not come.
    pub(super) fn expire(&mut self, now: BootTime) {
        while let Some((&(due, caller), ())) = self.by_time.first_key_value() {
            if due + LATE_GRACE >= now {
                return;
            }
            self.by_time.pop_first();
            self.by_caller.remove(&caller);
            self.note_show(0.0);
        }
    }

    /// Expected number of callers that come back by `until`.
    pub(super) fn expected_by(&self, until: BootTime) -> f64 {
        if self.by_time.is_empty() {
            return 0.0;
        }
        let due = self.by_time.range(..=(until, u64::MAX)).count();
        due as f64 * self.show_rate
    }

    fn note_show(&mut self, shown: f64) {
        self.show_rate += SHOW_WEIGHT * (shown - self.show_rate);
    }
}
