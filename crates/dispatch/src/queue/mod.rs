//! The holder's queue in front of one backend server.
//!
//! Requests wait in deadline order. While customers compete, those that used
//! more than their share of the server wait behind the others. A request that
//! cannot make its deadline is refused when it arrives, with a time to come
//! back that is booked for its caller.

mod booking;
mod share;
mod waiting;

use std::time::Duration;

use carobstep_clock::BootTime;
use carobstep_wire::RefusalReason;
use slotmap::{SlotMap, new_key_type};

use crate::estimate::{MeanEstimate, as_micros, from_micros};
pub(crate) use booking::BookingSchedule;
use share::CustomerShares;
use waiting::{WaitingList, WaitingTicket};

pub use share::CustomerKey;

/// Smallest spacing of bookings, used before the first observation.
const MIN_SPACING: Duration = Duration::from_micros(500);

/// Share of the lent capacity that is promised to refused callers.
const BOOKED_SHARE: f64 = 0.9;

/// Share of a request's slack that it may be expected to wait.
const WAIT_SHARE: f64 = 0.5;

/// Time to come back after the queue was closed.
const CLOSED_RETRY: Duration = Duration::from_millis(100);

new_key_type! {
    /// Key of one admitted request of a queue.
    pub struct TicketKey;
}

/// What the owner of the server lends and how many requests may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Requests that may run at the same time.
    pub slots: u16,
    /// Requests that may wait.
    pub waiting: u16,
}

/// One request for a slot of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueTicket {
    /// When the reply must be there.
    pub deadline: BootTime,
    /// Whether the request is a hedge, which never waits.
    pub hedge: bool,
    /// The customer that the request is charged to.
    pub customer: CustomerKey,
    /// Identity that the caller presents again when it comes back.
    pub caller: u64,
}

/// Decision about an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueAdmission {
    /// The request has a slot: send it now.
    Dispatch(TicketKey),
    /// The request waits; [`ServerQueue::poll`] tells when it may go.
    Queued(TicketKey),
    /// The request was not taken.
    Refused {
        /// Why it was not taken.
        reason: RefusalReason,
        /// When a caller that comes back finds capacity.
        retry_after: Duration,
    },
}

/// A change of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueEvent {
    /// The request has a slot: send it now.
    Dispatch(TicketKey),
    /// The request was dropped without being sent.
    Refused {
        /// The dropped request; its key is no longer valid.
        key: TicketKey,
        /// Why it was dropped.
        reason: RefusalReason,
        /// When a caller that comes back finds capacity.
        retry_after: Duration,
    },
}

#[derive(Clone, Copy, Debug)]
enum TicketState {
    Waiting,
    Running,
}

#[derive(Clone, Copy, Debug)]
struct TicketEntry {
    ticket: QueueTicket,
    state: TicketState,
}

/// Exact count of the requests on one backend server, and those that wait.
#[derive(Clone, Debug)]
pub struct ServerQueue {
    limits: QueueLimits,
    tickets: SlotMap<TicketKey, TicketEntry>,
    waiting: WaitingList,
    running: usize,
    held: Vec<BootTime>,
    blocked_until: BootTime,
    closed: Option<RefusalReason>,
    service: MeanEstimate,
    shares: CustomerShares,
    bookings: BookingSchedule,
    dropped: Vec<(WaitingTicket, RefusalReason)>,
}

impl ServerQueue {
    /// Builds an empty queue.
    #[must_use]
    pub fn new(limits: QueueLimits, now: BootTime) -> Self {
        Self {
            limits,
            tickets: SlotMap::with_key(),
            waiting: WaitingList::default(),
            running: 0,
            held: Vec::new(),
            blocked_until: now,
            closed: None,
            service: MeanEstimate::default(),
            shares: CustomerShares::default(),
            bookings: BookingSchedule::new(),
            dropped: Vec::new(),
        }
    }

    /// Decides about a new request.
    ///
    /// A refused request certainly was not run.
    pub fn offer(&mut self, now: BootTime, ticket: QueueTicket) -> QueueAdmission {
        if let Some(reason) = self.closed {
            return QueueAdmission::Refused { reason, retry_after: CLOSED_RETRY };
        }
        self.expire(now);
        if ticket.hedge {
            return self.offer_hedge(now, ticket);
        }
        match self.check(now, &ticket) {
            Ok(()) => self.admit(now, ticket),
            Err(reason) => {
                let retry_after = self.book(now, ticket.caller, ticket.customer);
                QueueAdmission::Refused { reason, retry_after }
            }
        }
    }

    /// Frees the slot of a running request.
    ///
    /// `observed` is the time that the server took, if it answered.
    pub fn finish(&mut self, now: BootTime, key: TicketKey, observed: Option<Duration>) {
        let Some(entry) = self.tickets.get(key) else { return };
        if matches!(entry.state, TicketState::Waiting) {
            self.cancel(now, key);
            return;
        }
        self.tickets.remove(key);
        self.running -= 1;
        if let Some(sample) = observed {
            self.service.record(sample);
        }
    }

    /// Removes a waiting request; true if it was there and thus never ran.
    ///
    /// A running request keeps its slot until [`Self::finish`].
    pub fn cancel(&mut self, _now: BootTime, key: TicketKey) -> bool {
        let Some(entry) = self.tickets.get(key) else { return false };
        if matches!(entry.state, TicketState::Running) {
            return false;
        }
        let deadline = entry.ticket.deadline;
        self.tickets.remove(key);
        self.waiting.remove(deadline, key);
        true
    }

    /// The next change of a waiting request; call until `None`.
    pub fn poll(&mut self, now: BootTime) -> Option<QueueEvent> {
        self.expire(now);
        if let Some((dropped, reason)) = self.dropped.pop() {
            let retry_after = self.book(now, dropped.caller, dropped.customer);
            return Some(QueueEvent::Refused { key: dropped.key, reason, retry_after });
        }
        if now < self.blocked_until || !self.has_slot() {
            return None;
        }
        let shares = &self.shares;
        let next = self.waiting.take_next(|customer| shares.is_over(customer))?;
        self.start(next.key);
        Some(QueueEvent::Dispatch(next.key))
    }

    /// When [`Self::poll`] must be called even if nothing else happens.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<BootTime> {
        if !self.dropped.is_empty() {
            return Some(BootTime::ZERO);
        }
        let expiry = self.waiting.first_deadline().map(|deadline| deadline - self.service.mean());
        let held = if self.waiting.is_empty() { None } else { self.held.iter().min().copied() };
        let blocked = (!self.waiting.is_empty() && self.has_slot()).then_some(self.blocked_until);
        [expiry, held, blocked].into_iter().flatten().min()
    }

    /// Changes the lent slots; running requests are not cut.
    pub fn set_slots(&mut self, _now: BootTime, slots: u16) {
        self.limits.slots = slots;
    }

    /// Dispatches nothing before `until`.
    ///
    /// Used after a takeover, while requests of the previous holder may run,
    /// and when the server itself asked for a pause.
    pub fn block_until(&mut self, until: BootTime) {
        self.blocked_until = self.blocked_until.max(until);
    }

    /// Refuses everything that waits and all that is offered from now on.
    pub fn close(&mut self, reason: RefusalReason) {
        self.closed = Some(reason);
        for waiting in self.waiting.drain() {
            self.tickets.remove(waiting.key);
            self.dropped.push((waiting, reason));
        }
    }

    /// Takes requests again after [`Self::close`].
    pub fn reopen(&mut self) {
        self.closed = None;
    }

    /// Counts a slot as used until `until`.
    ///
    /// A request on an abandoned connection may still run on the server.
    pub fn hold_slot(&mut self, until: BootTime) {
        self.held.push(until);
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Number of slots in use, those of abandoned requests included.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running + self.held.len()
    }

    /// Running mean of the time that the server takes.
    #[must_use]
    pub fn service_time(&self) -> Duration {
        self.service.mean()
    }
}

impl ServerQueue {
    fn offer_hedge(&mut self, now: BootTime, ticket: QueueTicket) -> QueueAdmission {
        let reachable = now + self.service.mean() <= ticket.deadline;
        let idle = now >= self.blocked_until && self.has_slot() && self.waiting.is_empty();
        if !reachable || !idle {
            let reason = if reachable {
                RefusalReason::QueueFull
            } else {
                RefusalReason::DeadlineUnreachable
            };
            return QueueAdmission::Refused { reason, retry_after: self.service.mean() };
        }
        let key = self.tickets.insert(TicketEntry { ticket, state: TicketState::Waiting });
        self.start(key);
        QueueAdmission::Dispatch(key)
    }

    /// Tells why a request can't be taken.
    fn check(&mut self, now: BootTime, ticket: &QueueTicket) -> Result<(), RefusalReason> {
        let redeemed = self.bookings.redeem(ticket.caller, now);
        let start = now.max(self.blocked_until);
        let slack_us = as_micros(ticket.deadline.since(start)) - self.service.mean_us();
        if slack_us < 0.0 || ticket.deadline <= start {
            let fenced = self.blocked_until > now && ticket.deadline > now;
            let reason = if fenced {
                RefusalReason::GrantFenced
            } else {
                RefusalReason::DeadlineUnreachable
            };
            return Err(reason);
        }
        let over = self.shares.is_over(ticket.customer);
        if self.waiting.len() >= usize::from(self.limits.waiting) && !self.make_room(over) {
            return Err(if over { RefusalReason::CallerLimit } else { RefusalReason::QueueFull });
        }
        if start == now && self.has_slot() && self.waiting.is_empty() {
            return Ok(());
        }
        let shares = &self.shares;
        let ahead =
            self.waiting.count_ahead(ticket.deadline, over, |customer| shares.is_over(customer));
        let mut wait_us = (ahead as f64 + 1.0) * self.interval_us();
        if !redeemed {
            let booked = self.bookings.expected_by(now, start + from_micros(wait_us), over);
            wait_us += booked * self.interval_us();
        }
        if wait_us > slack_us * WAIT_SHARE {
            return Err(if over {
                RefusalReason::CallerLimit
            } else {
                RefusalReason::DeadlineUnreachable
            });
        }
        Ok(())
    }

    /// Drops a request of a customer over its share in favour of one that isn't.
    fn make_room(&mut self, over: bool) -> bool {
        if over {
            return false;
        }
        let shares = &self.shares;
        let Some(dropped) = self.waiting.take_last(|customer| shares.is_over(customer)) else {
            return false;
        };
        self.tickets.remove(dropped.key);
        self.dropped.push((dropped, RefusalReason::CallerLimit));
        true
    }

    fn admit(&mut self, now: BootTime, ticket: QueueTicket) -> QueueAdmission {
        let key = self.tickets.insert(TicketEntry { ticket, state: TicketState::Waiting });
        if now >= self.blocked_until && self.has_slot() && self.waiting.is_empty() {
            self.start(key);
            return QueueAdmission::Dispatch(key);
        }
        self.waiting.insert(WaitingTicket {
            deadline: ticket.deadline,
            key,
            customer: ticket.customer,
            caller: ticket.caller,
        });
        QueueAdmission::Queued(key)
    }

    fn start(&mut self, key: TicketKey) {
        let Some(entry) = self.tickets.get_mut(key) else { return };
        entry.state = TicketState::Running;
        self.running += 1;
        self.shares.charge(entry.ticket.customer);
    }

    /// Drops what can no longer make its deadline and frees held slots.
    fn expire(&mut self, now: BootTime) {
        self.held.retain(|until| *until > now);
        self.bookings.expire(now);
        let latest_start = now.max(self.blocked_until) + self.service.mean();
        while let Some(expired) = self.waiting.take_expired(latest_start) {
            self.tickets.remove(expired.key);
            self.dropped.push((expired, RefusalReason::DeadlineUnreachable));
        }
    }

    /// Books a time for a refused caller.
    fn book(&mut self, now: BootTime, caller: u64, customer: CustomerKey) -> Duration {
        let over = self.shares.is_over(customer);
        let backlog = self.waiting.len() as f64 + 1.0;
        let drained = now.max(self.blocked_until) + from_micros(backlog * self.interval_us());
        let spacing = from_micros(self.interval_us() / BOOKED_SHARE).max(MIN_SPACING);
        self.bookings.book(caller, over, drained, spacing).since(now)
    }

    fn has_slot(&self) -> bool {
        self.running() < usize::from(self.limits.slots)
    }

    /// Mean time between two freed slots while all are busy.
    fn interval_us(&self) -> f64 {
        self.service.mean_us() / f64::from(self.limits.slots.max(1))
    }
}
