//! Connection pool of one backend server.

use std::time::Duration;

use carobstep_clock::BootTime;
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of one connection of a pool.
    pub struct ConnectionKey;
}

/// Limits and timeouts of one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolLimits {
    /// Maximum number of connections open at the same time.
    pub connections: u16,
    /// Number of idle or busy connections that are kept open.
    pub warm: u16,
    /// Time without progress after which a busy connection is abandoned.
    pub progress_timeout: Duration,
    /// Idle time after which a connection is probed.
    pub probe_interval: Duration,
    /// Idle time after which a connection is closed if more than `warm` are open.
    pub idle_timeout: Duration,
}

/// Result of acquiring a connection for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionStep {
    /// Use this open connection.
    Reuse(ConnectionKey),
    /// Open a connection under this key, then use it.
    Open(ConnectionKey),
    /// The maximum number of connections is open: wait for a release.
    Wait,
}

/// Action that the owner of a pool executes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolEvent {
    /// Open a connection to keep it warm.
    Open(ConnectionKey),
    /// Send a keep-alive probe on an idle connection.
    Probe(ConnectionKey),
    /// Abandon an unresponsive connection: reset it, then report it closed.
    Abandon(ConnectionKey),
    /// Close an idle connection, then report it closed.
    Close(ConnectionKey),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionPhase {
    Opening { warm_up: bool },
    Idle,
    Busy,
    Probing,
    Abandoned { until: BootTime },
    Closing,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    phase: ConnectionPhase,
    /// Start of the phase, or time of the last progress in it.
    last_progress: BootTime,
    /// Time when a request last used the connection; probes do not count.
    last_used: BootTime,
}

/// Pool that counts the connections to one backend server against a limit.
///
/// A connection counts from the decision to open it until the owner reports
/// that the server has closed it too, or until the server's own timeout has
/// certainly passed.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    limits: PoolLimits,
    connections: SlotMap<ConnectionKey, Connection>,
    idle: Vec<ConnectionKey>,
    abandoned: usize,
    closing: usize,
}

impl ConnectionPool {
    /// Creates a pool without connections.
    #[must_use]
    pub fn new(limits: PoolLimits) -> Self {
        Self {
            limits,
            connections: SlotMap::with_key(),
            idle: Vec::new(),
            abandoned: 0,
            closing: 0,
        }
    }

    /// Acquires a connection for a request.
    pub fn acquire(&mut self, now: BootTime) -> ConnectionStep {
        if let Some(key) = self.idle.pop() {
            self.set_phase(now, key, ConnectionPhase::Busy);
            return ConnectionStep::Reuse(key);
        }
        match self.open(now, false) {
            Some(key) => ConnectionStep::Open(key),
            None => ConnectionStep::Wait,
        }
    }

    /// Reports that a connection is open.
    ///
    /// It becomes busy if it was opened for a request, else idle.
    pub fn opened(&mut self, now: BootTime, key: ConnectionKey) {
        let Some(connection) = self.connections.get(key) else { return };
        match connection.phase {
            ConnectionPhase::Opening { warm_up: false } => {
                self.set_phase(now, key, ConnectionPhase::Busy);
            }
            ConnectionPhase::Opening { warm_up: true } => self.release(now, key),
            _ => {}
        }
    }

    /// Reports progress on a busy connection and restarts its progress timeout.
    pub fn progress(&mut self, now: BootTime, key: ConnectionKey) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.last_progress = now;
        }
    }

    /// Reports that a request or probe ended and left its connection reusable.
    pub fn release(&mut self, now: BootTime, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        if matches!(
            connection.phase,
            ConnectionPhase::Idle | ConnectionPhase::Abandoned { .. } | ConnectionPhase::Closing
        ) {
            return;
        }
        if connection.phase != ConnectionPhase::Probing {
            connection.last_used = now;
        }
        self.set_phase(now, key, ConnectionPhase::Idle);
        self.idle.push(key);
    }

    /// Abandons a connection that the server may keep open until `until`.
    pub fn abandon(&mut self, now: BootTime, key: ConnectionKey, until: BootTime) {
        self.idle.retain(|idle| *idle != key);
        self.set_phase(now, key, ConnectionPhase::Abandoned { until });
    }

    /// Reports that a connection is certainly closed and stops counting it.
    pub fn closed(&mut self, key: ConnectionKey) {
        self.idle.retain(|idle| *idle != key);
        if let Some(connection) = self.connections.remove(key) {
            self.subtract_phase(connection.phase);
        }
    }

    /// Returns the next action; call until `None`, at each wakeup.
    pub fn poll(&mut self, now: BootTime) -> Option<PoolEvent> {
        self.expire_abandoned(now);
        if let Some(event) = self.poll_timeouts(now) {
            return Some(event);
        }
        if self.open_count() < usize::from(self.limits.warm) {
            return self.open(now, true).map(PoolEvent::Open);
        }
        None
    }

    /// Returns the time at which [`Self::poll`] must be called even if no other event occurs.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<BootTime> {
        self.connections.values().filter_map(|connection| self.next_due(connection)).min()
    }

    /// Changes the limits; [`Self::poll`] closes idle connections above them at once.
    pub fn set_limits(&mut self, limits: PoolLimits) {
        self.limits = limits;
    }

    /// Returns the number of connections that count against the limit: open, closing and
    /// abandoned ones.
    #[must_use]
    pub fn counted_connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns the number of abandoned connections that the server may still keep open.
    #[must_use]
    pub const fn abandoned(&self) -> usize {
        self.abandoned
    }

    /// Returns the number of open connections that no request or probe uses.
    #[must_use]
    pub fn idle(&self) -> usize {
        self.idle.len()
    }
}

impl ConnectionPool {
    fn open(&mut self, now: BootTime, warm_up: bool) -> Option<ConnectionKey> {
        if self.connections.len() >= usize::from(self.limits.connections) {
            return None;
        }
        let phase = ConnectionPhase::Opening { warm_up };
        Some(self.connections.insert(Connection { phase, last_progress: now, last_used: now }))
    }

    fn set_phase(&mut self, now: BootTime, key: ConnectionKey, phase: ConnectionPhase) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        let old = std::mem::replace(&mut connection.phase, phase);
        connection.last_progress = now;
        self.subtract_phase(old);
        match phase {
            ConnectionPhase::Abandoned { .. } => self.abandoned += 1,
            ConnectionPhase::Closing => self.closing += 1,
            _ => {}
        }
    }

    const fn subtract_phase(&mut self, phase: ConnectionPhase) {
        match phase {
            ConnectionPhase::Abandoned { .. } => self.abandoned -= 1,
            ConnectionPhase::Closing => self.closing -= 1,
            _ => {}
        }
    }

    /// Returns the time at which [`Self::poll`] has to act on a connection.
    fn next_due(&self, connection: &Connection) -> Option<BootTime> {
        match connection.phase {
            ConnectionPhase::Opening { .. } | ConnectionPhase::Busy | ConnectionPhase::Probing => {
                Some(connection.last_progress + self.limits.progress_timeout)
            }
            ConnectionPhase::Idle if self.exceeds_limit() => Some(connection.last_progress),
            ConnectionPhase::Idle if self.exceeds_warm() => {
                let probe = connection.last_progress + self.limits.probe_interval;
                Some(probe.min(connection.last_used + self.limits.idle_timeout))
            }
            ConnectionPhase::Idle => Some(connection.last_progress + self.limits.probe_interval),
            ConnectionPhase::Abandoned { until } => Some(until),
            ConnectionPhase::Closing => None,
        }
    }

    /// Returns whether more connections are open than are kept warm.
    fn exceeds_warm(&self) -> bool {
        self.open_count() > usize::from(self.limits.warm)
    }

    /// Returns whether more connections count than the limit allows, after it was lowered.
    fn exceeds_limit(&self) -> bool {
        self.connections.len() - self.closing > usize::from(self.limits.connections)
    }

    /// Returns the number of connections open or opening and neither abandoned nor closing.
    fn open_count(&self) -> usize {
        self.connections.len() - self.abandoned - self.closing
    }

    fn poll_timeouts(&mut self, now: BootTime) -> Option<PoolEvent> {
        let exceeds_warm = self.exceeds_warm();
        let exceeds_limit = self.exceeds_limit();
        let key = self
            .connections
            .iter()
            .find(|(_, connection)| self.next_due(connection).is_some_and(|due| due <= now))
            .map(|(key, _)| key)?;
        let connection = self.connections[key];
        match connection.phase {
            ConnectionPhase::Idle => {
                self.idle.retain(|idle| *idle != key);
                let is_idle_timeout_over =
                    now.since(connection.last_used) >= self.limits.idle_timeout;
                if exceeds_limit || (exceeds_warm && is_idle_timeout_over) {
                    self.set_phase(now, key, ConnectionPhase::Closing);
                    return Some(PoolEvent::Close(key));
                }
                self.set_phase(now, key, ConnectionPhase::Probing);
                Some(PoolEvent::Probe(key))
            }
            _ => {
                self.set_phase(now, key, ConnectionPhase::Abandoned { until: BootTime::MAX });
                Some(PoolEvent::Abandon(key))
            }
        }
    }

    fn expire_abandoned(&mut self, now: BootTime) {
        if self.abandoned == 0 {
            return;
        }
        let before = self.connections.len();
        self.connections.retain(|_, connection| {
            !matches!(connection.phase, ConnectionPhase::Abandoned { until } if until <= now)
        });
        self.abandoned -= before - self.connections.len();
    }
}
