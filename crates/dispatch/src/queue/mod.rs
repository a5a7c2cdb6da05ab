//! Request queue of one backend server, kept by the node that holds its grant.
//!
//! Requests wait in deadline order. While customers compete, those over their
//! share of the server wait behind the others. A request that cannot meet its
//! deadline is refused on arrival, with a retry time booked for its caller.

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

/// Minimum spacing of bookings, which also applies before the first observation.
const MIN_SPACING: Duration = Duration::from_micros(500);

/// Share of the server's capacity that may be booked by refused callers.
const BOOKED_SHARE: f64 = 0.9;

/// Maximum expected wait of an admitted request, as a share of its slack.
const MAX_WAIT_SHARE: f64 = 0.5;

/// Retry-after delay returned while the queue is closed.
const CLOSED_RETRY_AFTER: Duration = Duration::from_millis(100);

new_key_type! {
    /// Key of one admitted request in a queue.
    pub struct TicketKey;
}

/// Limits on the running and waiting requests of one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Maximum number of requests running at the same time.
    pub slots: u16,
    /// Maximum number of waiting requests.
    pub max_waiting: u16,
}

/// One request for a slot of the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueTicket {
    /// Time by which the reply must have arrived.
    pub deadline: BootTime,
    /// Whether the request is a hedge, which never waits.
    pub hedge: bool,
    /// The customer that the request is charged to.
    pub customer: CustomerKey,
    /// Identifier of the caller, which stays the same when the caller retries.
    pub caller_id: u64,
}

/// Decision about an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueAdmission {
    /// The request has a slot: send it now.
    Dispatch(TicketKey),
    /// The request waits until [`ServerQueue::poll`] returns its dispatch or refusal.
    Queued(TicketKey),
    /// The request was not admitted.
    Refused {
        /// Why it was not admitted.
        reason: RefusalReason,
        /// Delay after which a retry of the caller finds capacity.
        retry_after: Duration,
    },
}

/// Dispatch or refusal of a waiting request.
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
        /// Delay after which a retry of the caller finds capacity.
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

/// Request queue of one backend server with an exact count of its running requests.
#[derive(Clone, Debug)]
pub struct ServerQueue {
    limits: QueueLimits,
    tickets: SlotMap<TicketKey, TicketEntry>,
    waiting: WaitingList,
    running: usize,
    abandoned_slots: Vec<BootTime>,
    blocked_until: BootTime,
    closed: Option<RefusalReason>,
    service_time: MeanEstimate,
    shares: CustomerShares,
    bookings: BookingSchedule,
    dropped: Vec<(WaitingTicket, RefusalReason)>,
}

impl ServerQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(limits: QueueLimits, now: BootTime) -> Self {
        Self {
            limits,
            tickets: SlotMap::with_key(),
            waiting: WaitingList::default(),
            running: 0,
            abandoned_slots: Vec::new(),
            blocked_until: now,
            closed: None,
            service_time: MeanEstimate::default(),
            shares: CustomerShares::default(),
            bookings: BookingSchedule::new(),
            dropped: Vec::new(),
        }
    }

    /// Dispatches, queues or refuses a new request.
    ///
    /// A refused request was not run.
    pub fn offer(&mut self, now: BootTime, ticket: QueueTicket) -> QueueAdmission {
        if let Some(reason) = self.closed {
            return QueueAdmission::Refused { reason, retry_after: CLOSED_RETRY_AFTER };
        }
        self.expire(now);
        if ticket.hedge {
            return self.offer_hedge(now, ticket);
        }
        match self.check_admission(now, &ticket) {
            Ok(()) => self.admit(now, ticket),
            Err(reason) => {
                let retry_after = self.book(now, ticket.caller_id, ticket.customer);
                QueueAdmission::Refused { reason, retry_after }
            }
        }
    }

    /// Frees the slot of a running request.
    ///
    /// `observed` is the time that the server took, or `None` if it did not answer.
    pub fn finish(&mut self, now: BootTime, key: TicketKey, observed: Option<Duration>) {
        let Some(entry) = self.tickets.get(key) else { return };
        if matches!(entry.state, TicketState::Waiting) {
            self.cancel(now, key);
            return;
        }
        self.tickets.remove(key);
        self.running -= 1;
        if let Some(sample) = observed {
            self.service_time.record(sample);
        }
    }

    /// Removes a waiting request; returns whether it was waiting and so never ran.
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

    /// Returns the next dispatch or refusal of a waiting request; call until `None`.
    pub fn poll(&mut self, now: BootTime) -> Option<QueueEvent> {
        self.expire(now);
        if let Some((dropped, reason)) = self.dropped.pop() {
            let retry_after = self.book(now, dropped.caller_id, dropped.customer);
            return Some(QueueEvent::Refused { key: dropped.key, reason, retry_after });
        }
        if now < self.blocked_until || !self.has_slot() {
            return None;
        }
        let shares = &self.shares;
        let next = self.waiting.pop_next(|customer| shares.is_over_share(customer))?;
        self.start(next.key);
        Some(QueueEvent::Dispatch(next.key))
    }

    /// Returns the time at which [`Self::poll`] must be called even if no other event occurs.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<BootTime> {
        if !self.dropped.is_empty() {
            return Some(BootTime::ZERO);
        }
        let expiry =
            self.waiting.first_deadline().map(|deadline| deadline - self.service_time.mean());
        let slot_expiry =
            if self.waiting.is_empty() { None } else { self.abandoned_slots.iter().min().copied() };
        let blocked = (!self.waiting.is_empty() && self.has_slot()).then_some(self.blocked_until);
        [expiry, slot_expiry, blocked].into_iter().flatten().min()
    }

    /// Changes the number of slots; running requests are not interrupted.
    pub fn set_slots(&mut self, _now: BootTime, slots: u16) {
        self.limits.slots = slots;
    }

    /// Blocks all dispatches until `until`.
    ///
    /// Used after a takeover, while requests of the previous holder may still
    /// run, and when the backend server itself requested a pause.
    pub fn block_until(&mut self, until: BootTime) {
        self.blocked_until = self.blocked_until.max(until);
    }

    /// Refuses all waiting requests and all requests offered from now on.
    pub fn close(&mut self, reason: RefusalReason) {
        self.closed = Some(reason);
        for waiting in self.waiting.drain() {
            self.tickets.remove(waiting.key);
            self.dropped.push((waiting, reason));
        }
    }

    /// Admits requests again after [`Self::close`].
    pub fn reopen(&mut self) {
        self.closed = None;
    }

    /// Counts a slot as in use until `until` for an abandoned request.
    ///
    /// The backend server may still run a request whose connection was abandoned.
    pub fn add_abandoned_slot(&mut self, until: BootTime) {
        self.abandoned_slots.push(until);
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of slots in use, including those of abandoned requests.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running + self.abandoned_slots.len()
    }

    /// Returns the running mean of the service time.
    #[must_use]
    pub fn service_time(&self) -> Duration {
        self.service_time.mean()
    }
}

impl ServerQueue {
    fn offer_hedge(&mut self, now: BootTime, ticket: QueueTicket) -> QueueAdmission {
        let is_deadline_reachable = now + self.service_time.mean() <= ticket.deadline;
        let can_start = now >= self.blocked_until && self.has_slot() && self.waiting.is_empty();
        if !is_deadline_reachable || !can_start {
            let reason = if is_deadline_reachable {
                RefusalReason::QueueFull
            } else {
                RefusalReason::DeadlineUnreachable
            };
            return QueueAdmission::Refused { reason, retry_after: self.service_time.mean() };
        }
        let key = self.tickets.insert(TicketEntry { ticket, state: TicketState::Waiting });
        self.start(key);
        QueueAdmission::Dispatch(key)
    }

    /// Checks whether a request can be admitted; the error is the reason to refuse it.
    fn check_admission(
        &mut self,
        now: BootTime,
        ticket: &QueueTicket,
    ) -> Result<(), RefusalReason> {
        let redeemed = self.bookings.redeem(ticket.caller_id, now);
        let start = now.max(self.blocked_until);
        let slack_us = as_micros(ticket.deadline.since(start)) - self.service_time.mean_us();
        if slack_us < 0.0 || ticket.deadline <= start {
            let fenced = self.blocked_until > now && ticket.deadline > now;
            let reason = if fenced {
                RefusalReason::GrantFenced
            } else {
                RefusalReason::DeadlineUnreachable
            };
            return Err(reason);
        }
        let over_share = self.shares.is_over_share(ticket.customer);
        if self.waiting.len() >= usize::from(self.limits.max_waiting)
            && !self.evict_over_share(over_share)
        {
            return Err(if over_share {
                RefusalReason::CallerLimit
            } else {
                RefusalReason::QueueFull
            });
        }
        if start == now && self.has_slot() && self.waiting.is_empty() {
            return Ok(());
        }
        let shares = &self.shares;
        let requests_ahead = self
            .waiting
            .count_ahead(ticket.deadline, over_share, |customer| shares.is_over_share(customer));
        let mut wait_us = (requests_ahead as f64 + 1.0) * self.slot_interval_us();
        if !redeemed {
            let booked_callers =
                self.bookings.expected_by(now, start + from_micros(wait_us), over_share);
            wait_us += booked_callers * self.slot_interval_us();
        }
        if wait_us > slack_us * MAX_WAIT_SHARE {
            return Err(if over_share {
                RefusalReason::CallerLimit
            } else {
                RefusalReason::DeadlineUnreachable
            });
        }
        Ok(())
    }

    /// Evicts a waiting request of a customer over its share so that a new one can wait.
    ///
    /// Returns whether one was evicted; `over_share` tells whether the new request's customer is
    /// over its share too, in which case nothing is evicted.
    fn evict_over_share(&mut self, over_share: bool) -> bool {
        if over_share {
            return false;
        }
        let shares = &self.shares;
        let Some(dropped) =
            self.waiting.pop_last_over_share(|customer| shares.is_over_share(customer))
        else {
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
            caller_id: ticket.caller_id,
        });
        QueueAdmission::Queued(key)
    }

    fn start(&mut self, key: TicketKey) {
        let Some(entry) = self.tickets.get_mut(key) else { return };
        entry.state = TicketState::Running;
        self.running += 1;
        self.shares.charge(entry.ticket.customer);
    }

    /// Drops requests that can no longer meet their deadline, and frees the slots of abandoned
    /// requests whose time is over.
    fn expire(&mut self, now: BootTime) {
        self.abandoned_slots.retain(|until| *until > now);
        self.bookings.expire(now);
        let earliest_end = now.max(self.blocked_until) + self.service_time.mean();
        while let Some(expired) = self.waiting.pop_expired(earliest_end) {
            self.tickets.remove(expired.key);
            self.dropped.push((expired, RefusalReason::DeadlineUnreachable));
        }
    }

    /// Books a retry time for a refused caller and returns the delay until then.
    fn book(&mut self, now: BootTime, caller_id: u64, customer: CustomerKey) -> Duration {
        let over_share = self.shares.is_over_share(customer);
        let backlog = self.waiting.len() as f64 + 1.0;
        let backlog_end =
            now.max(self.blocked_until) + from_micros(backlog * self.slot_interval_us());
        let spacing = from_micros(self.slot_interval_us() / BOOKED_SHARE).max(MIN_SPACING);
        self.bookings.book(caller_id, over_share, backlog_end, spacing).since(now)
    }

    fn has_slot(&self) -> bool {
        self.running() < usize::from(self.limits.slots)
    }

    /// Returns the mean time between two freed slots while all are busy.
    fn slot_interval_us(&self) -> f64 {
        self.service_time.mean_us() / f64::from(self.limits.slots.max(1))
    }
}
