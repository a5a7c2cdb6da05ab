//! Waiting requests of one queue, in deadline order.

use carobstep_clock::BootTime;

use super::{TicketKey, share::CustomerKey};

/// One waiting request.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingTicket {
    pub(super) deadline: BootTime,
    pub(super) key: TicketKey,
    pub(super) customer: CustomerKey,
    pub(super) caller_id: u64,
}

/// Waiting requests, sorted by descending deadline so that the earliest is cheap to pop.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitingList {
    tickets: Vec<WaitingTicket>,
}

impl WaitingList {
    pub(super) fn len(&self) -> usize {
        self.tickets.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Returns the earliest deadline, or `None` if no request is waiting.
    pub(super) fn first_deadline(&self) -> Option<BootTime> {
        self.tickets.last().map(|ticket| ticket.deadline)
    }

    /// Inserts a request after those with the same deadline.
    pub(super) fn insert(&mut self, ticket: WaitingTicket) {
        let position = self.tickets.partition_point(|other| other.deadline > ticket.deadline);
        self.tickets.insert(position, ticket);
    }

    /// Removes a request by its deadline and key.
    pub(super) fn remove(&mut self, deadline: BootTime, key: TicketKey) {
        let first = self.tickets.partition_point(|other| other.deadline > deadline);
        for position in first..self.tickets.len() {
            if self.tickets[position].key != key {
                continue;
            }
            self.tickets.remove(position);
            return;
        }
    }

    /// Removes the request with the earliest deadline among customers within their share, else
    /// the one with the earliest deadline of all.
    pub(super) fn pop_next(
        &mut self,
        is_over_share: impl Fn(CustomerKey) -> bool,
    ) -> Option<WaitingTicket> {
        let last = self.tickets.len().checked_sub(1)?;
        let within = self.tickets.iter().rposition(|ticket| !is_over_share(ticket.customer));
        Some(self.tickets.remove(within.unwrap_or(last)))
    }

    /// Removes the request with the latest deadline among customers over their share.
    pub(super) fn pop_last_over_share(
        &mut self,
        is_over_share: impl Fn(CustomerKey) -> bool,
    ) -> Option<WaitingTicket> {
        let position = self.tickets.iter().position(|ticket| is_over_share(ticket.customer))?;
        Some(self.tickets.remove(position))
    }

    /// Removes a request whose deadline is before `earliest_end`.
    pub(super) fn pop_expired(&mut self, earliest_end: BootTime) -> Option<WaitingTicket> {
        let last = self.tickets.last()?;
        if last.deadline >= earliest_end {
            return None;
        }
        self.tickets.pop()
    }

    /// Returns the number of requests that would be dispatched before a new one.
    pub(super) fn count_ahead(
        &self,
        deadline: BootTime,
        over_share: bool,
        is_over_share: impl Fn(CustomerKey) -> bool,
    ) -> usize {
        let mut ahead = 0;
        for ticket in &self.tickets {
            let ticket_over_share = is_over_share(ticket.customer);
            let same_class = ticket_over_share == over_share;
            if (same_class && ticket.deadline <= deadline) || (over_share && !ticket_over_share) {
                ahead += 1;
            }
        }
        ahead
    }

    pub(super) fn drain(&mut self) -> Vec<WaitingTicket> {
        std::mem::take(&mut self.tickets)
    }
}
