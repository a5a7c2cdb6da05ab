//! Retry times booked for refused callers.

use std::{collections::VecDeque, time::Duration};

use carobstep_clock::BootTime;

/// Maximum number of bookings in one schedule, at 24 bytes each.
const MAX_BOOKINGS: usize = 65_536;

/// How long before its due time a booking may be redeemed.
const EARLY_GRACE: Duration = Duration::from_millis(20);

/// How long after its due time a booking may be redeemed.
///
/// A caller refused by several servers retries at the latest of their retry
/// times, and each of these servers must still have the booking by then.
const LATE_GRACE: Duration = Duration::from_secs(1);

/// How long after its due time a booking still reserves capacity.
const CAPACITY_GRACE: Duration = Duration::from_millis(100);

/// Weight of one expired booking in the moving average of the return rate.
const RETURN_RATE_WEIGHT: f64 = 1.0 / 32.0;

/// Retry time of one refused caller.
#[derive(Clone, Copy, Debug)]
struct Booking {
    due: BootTime,
    caller_id: u64,
    over_share: bool,
    redeemed: bool,
}

/// Schedule that books a separate retry time for each refused caller.
///
/// Bookings are spaced by the time the server needs per request, so a caller
/// that retries at its booked time finds capacity. The return rate tracks the
/// share of callers that do retry; the capacity booked for the others is
/// available to new requests.
#[derive(Clone, Debug)]
pub(crate) struct BookingSchedule {
    /// Sorted by due time.
    bookings: VecDeque<Booking>,
    end: BootTime,
    return_rate: f64,
}

impl BookingSchedule {
    pub(crate) const fn new() -> Self {
        Self { bookings: VecDeque::new(), end: BootTime::ZERO, return_rate: 1.0 }
    }

    /// Books the next free time at or after `earliest` and returns it.
    ///
    /// If the schedule is full, books nothing and returns the later of
    /// `earliest` and the end of the schedule.
    pub(crate) fn book(
        &mut self,
        caller_id: u64,
        over_share: bool,
        earliest: BootTime,
        spacing: Duration,
    ) -> BootTime {
        let due = self.end.max(earliest);
        if self.bookings.len() >= MAX_BOOKINGS {
            return due;
        }
        self.end = due + spacing;
        self.bookings.push_back(Booking { due, caller_id, over_share, redeemed: false });
        due
    }

    /// Redeems a due booking of the caller and returns whether there was one.
    pub(crate) fn redeem(&mut self, caller_id: u64, now: BootTime) -> bool {
        let latest = now + EARLY_GRACE;
        for booking in &mut self.bookings {
            if booking.due > latest {
                return false;
            }
            if booking.caller_id != caller_id || booking.redeemed {
                continue;
            }
            booking.redeemed = true;
            return true;
        }
        false
    }

    /// Removes expired bookings and updates the return rate.
    pub(crate) fn expire(&mut self, now: BootTime) {
        while let Some(first) = self.bookings.front() {
            if first.due + LATE_GRACE >= now {
                return;
            }
            let returned = f64::from(u8::from(first.redeemed));
            self.return_rate += RETURN_RATE_WEIGHT * (returned - self.return_rate);
            self.bookings.pop_front();
        }
    }

    /// Returns the expected number of booked callers that retry by `until`.
    ///
    /// Bookings of customers over their share count only if `over_share` is set.
    pub(crate) fn expected_by(&self, now: BootTime, until: BootTime, over_share: bool) -> f64 {
        let overdue = now - CAPACITY_GRACE;
        let first = self.bookings.partition_point(|booking| booking.due < overdue);
        let due = self.bookings.partition_point(|booking| booking.due <= until);
        let mut open = 0.0;
        for booking in self.bookings.iter().take(due).skip(first) {
            if booking.redeemed || (booking.over_share && !over_share) {
                continue;
            }
            open += 1.0;
        }
        open * self.return_rate
    }
}
