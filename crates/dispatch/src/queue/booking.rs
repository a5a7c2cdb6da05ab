//! Times that refused callers were told to come back at.

use std::{collections::VecDeque, time::Duration};

use carobstep_clock::BootTime;

/// Most bookings that one queue keeps, at 24 bytes each.
const MAX_BOOKINGS: usize = 65_536;

/// How long before its time a booking may be redeemed.
const EARLY_GRACE: Duration = Duration::from_millis(20);

/// How long after its time a booking may be redeemed.
///
/// A caller that several servers refused comes back at the latest of their
/// times, and any of them must still know it.
const LATE_GRACE: Duration = Duration::from_secs(1);

/// How long after its time capacity is held for a booking.
const HOLD_GRACE: Duration = Duration::from_millis(100);

/// Weight of one kept or missed booking in the show rate.
const SHOW_WEIGHT: f64 = 1.0 / 32.0;

/// One promised time.
#[derive(Clone, Copy, Debug)]
struct Booking {
    due: BootTime,
    caller: u64,
    over_share: bool,
    redeemed: bool,
}

/// A virtual schedule that gives each refused caller a time of its own.
///
/// Bookings are spaced by the time the server needs per request, so callers
/// that come back at the time they were told find capacity for each of them.
/// The show rate learns how many do come back; the capacity held for the
/// others is not kept from new requests.
#[derive(Clone, Debug)]
pub(crate) struct BookingSchedule {
    /// In the order of their times.
    bookings: VecDeque<Booking>,
    end: BootTime,
    show_rate: f64,
}

impl BookingSchedule {
    pub(crate) const fn new() -> Self {
        Self { bookings: VecDeque::new(), end: BootTime::ZERO, show_rate: 1.0 }
    }

    /// Books the next free time, at `earliest` or later.
    ///
    /// A full schedule books nothing and names the time of its end.
    pub(crate) fn book(
        &mut self,
        caller: u64,
        over_share: bool,
        earliest: BootTime,
        spacing: Duration,
    ) -> BootTime {
        let due = self.end.max(earliest);
        if self.bookings.len() >= MAX_BOOKINGS {
            return due;
        }
        self.end = due + spacing;
        self.bookings.push_back(Booking { due, caller, over_share, redeemed: false });
        due
    }

    /// Takes the caller's booking if it is due now.
    pub(crate) fn redeem(&mut self, caller: u64, now: BootTime) -> bool {
        let latest = now + EARLY_GRACE;
        for booking in &mut self.bookings {
            if booking.due > latest {
                return false;
            }
            if booking.caller != caller || booking.redeemed {
                continue;
            }
            booking.redeemed = true;
            return true;
        }
        false
    }

    /// Drops the bookings whose time is over.
    pub(crate) fn expire(&mut self, now: BootTime) {
        while let Some(first) = self.bookings.front() {
            if first.due + LATE_GRACE >= now {
                return;
            }
            let shown = f64::from(u8::from(first.redeemed));
            self.show_rate += SHOW_WEIGHT * (shown - self.show_rate);
            self.bookings.pop_front();
        }
    }

    /// Expected number of callers that come back between `now` and `until`.
    ///
    /// Bookings of customers over their share do not count against the others.
    pub(crate) fn expected_by(&self, now: BootTime, until: BootTime, over_share: bool) -> f64 {
        let overdue = now - HOLD_GRACE;
        let first = self.bookings.partition_point(|booking| booking.due < overdue);
        let due = self.bookings.partition_point(|booking| booking.due <= until);
        let mut open = 0.0;
        for booking in self.bookings.iter().take(due).skip(first) {
            if booking.redeemed || (booking.over_share && !over_share) {
                continue;
            }
            open += 1.0;
        }
        open * self.show_rate
    }
}
