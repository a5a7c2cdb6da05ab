//! Count of the connections to one backend server.

use std::time::Duration;

use carobstep_clock::BootTime;
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of one connection of a pool.
    pub struct ConnectionKey;
}

/// Limits and times of one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolLimits {
    /// Connections that may be open at the same time.
    pub connections: u16,
    /// Idle or busy connections that are kept open.
    pub warm: u16,
    /// Silence after which a busy connection is given up.
    pub progress_timeout: Duration,
    /// Idle time after which a connection is probed.
    pub probe_interval: Duration,
    /// Idle time after which a connection beyond the warm ones is closed.
    pub idle_timeout: Duration,
}

/// How a request gets its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionStep {
    /// Use this open connection.
    Reuse(ConnectionKey),
    /// Open a connection under this key, then use it.
    Open(ConnectionKey),
    /// The lent connections are used up: wait for a release.
    Wait,
}

/// What the owner of a pool has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolEvent {
    /// Open a connection to keep it warm.
    Open(ConnectionKey),
    /// Send a keep-alive probe on an idle connection.
    Probe(ConnectionKey),
    /// Give up a connection that went silent: reset it, then report it closed.
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
    /// Start of the phase, or the last progress in it.
    since: BootTime,
    /// When a request last used it; probes do not count.
    used: BootTime,
}

/// Accounting of the lent connections of one backend server.
///
/// A connection counts from the decision to open it until the owner reports
/// that it is closed at the server's end too, or until its server's own
/// timeout has passed for certain.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    limits: PoolLimits,
    connections: SlotMap<ConnectionKey, Connection>,
    idle: Vec<ConnectionKey>,
    abandoned: usize,
    closing: usize,
}

impl ConnectionPool {
    /// Builds a pool without connections.
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

    /// Finds a connection for a request.
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

    /// Reports that a connection is open; one opened for a request is busy.
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

    /// Reports bytes on a busy connection.
    pub fn progress(&mut self, now: BootTime, key: ConnectionKey) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.since = now;
        }
    }

    /// Reports that a request or a probe ended with a reusable connection.
    pub fn release(&mut self, now: BootTime, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        if matches!(
            connection.phase,
            ConnectionPhase::Idle | ConnectionPhase::Abandoned { .. } | ConnectionPhase::Closing
        ) {
            return;
        }
        if connection.phase != ConnectionPhase::Probing {
            connection.used = now;
        }
        self.set_phase(now, key, ConnectionPhase::Idle);
        self.idle.push(key);
    }

    /// Gives up a connection whose end at the server may stay open until `until`.
    pub fn abandon(&mut self, now: BootTime, key: ConnectionKey, until: BootTime) {
        self.idle.retain(|idle| *idle != key);
        self.set_phase(now, key, ConnectionPhase::Abandoned { until });
    }

    /// Reports that a connection is closed for certain.
    pub fn closed(&mut self, key: ConnectionKey) {
        self.idle.retain(|idle| *idle != key);
        if let Some(connection) = self.connections.remove(key) {
            self.uncount(connection.phase);
        }
    }

    /// The next thing to do; call until `None`, at each wakeup.
    pub fn poll(&mut self, now: BootTime) -> Option<PoolEvent> {
        self.expire_abandoned(now);
        if let Some(event) = self.poll_timeouts(now) {
            return Some(event);
        }
        if self.live() < usize::from(self.limits.warm) {
            return self.open(now, true).map(PoolEvent::Open);
        }
        None
    }

    /// When [`Self::poll`] must be called even if nothing else happens.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<BootTime> {
        self.connections.values().filter_map(|connection| self.due(connection)).min()
    }

    /// Changes the limits; [`Self::poll`] closes idle connections over them at once.
    pub fn set_limits(&mut self, limits: PoolLimits) {
        self.limits = limits;
    }

    /// Connections that count against the lent ones.
    #[must_use]
    pub fn counted(&self) -> usize {
        self.connections.len()
    }

    /// Connections given up but not closed for certain.
    #[must_use]
    pub const fn abandoned(&self) -> usize {
        self.abandoned
    }

    /// Open connections that no request uses.
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
        Some(self.connections.insert(Connection { phase, since: now, used: now }))
    }

    fn set_phase(&mut self, now: BootTime, key: ConnectionKey, phase: ConnectionPhase) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        let old = std::mem::replace(&mut connection.phase, phase);
        connection.since = now;
        self.uncount(old);
        match phase {
            ConnectionPhase::Abandoned { .. } => self.abandoned += 1,
            ConnectionPhase::Closing => self.closing += 1,
            _ => {}
        }
    }

    const fn uncount(&mut self, phase: ConnectionPhase) {
        match phase {
            ConnectionPhase::Abandoned { .. } => self.abandoned -= 1,
            ConnectionPhase::Closing => self.closing -= 1,
            _ => {}
        }
    }

    /// When a connection needs attention.
    fn due(&self, connection: &Connection) -> Option<BootTime> {
        match connection.phase {
            ConnectionPhase::Opening { .. } | ConnectionPhase::Busy | ConnectionPhase::Probing => {
                Some(connection.since + self.limits.progress_timeout)
            }
            ConnectionPhase::Idle if self.over_limit() => Some(connection.since),
            ConnectionPhase::Idle if self.surplus() => {
                let probe = connection.since + self.limits.probe_interval;
                Some(probe.min(connection.used + self.limits.idle_timeout))
            }
            ConnectionPhase::Idle => Some(connection.since + self.limits.probe_interval),
            ConnectionPhase::Abandoned { until } => Some(until),
            ConnectionPhase::Closing => None,
        }
    }

    /// Whether more connections are open than are kept warm.
    fn surplus(&self) -> bool {
        self.live() > usize::from(self.limits.warm)
    }

    /// Whether more connections count than are lent, after the limit was lowered.
    fn over_limit(&self) -> bool {
        self.connections.len() - self.closing > usize::from(self.limits.connections)
    }

    /// Connections that are open or being opened and not given up.
    fn live(&self) -> usize {
        self.connections.len() - self.abandoned - self.closing
    }

    fn poll_timeouts(&mut self, now: BootTime) -> Option<PoolEvent> {
        let surplus = self.surplus();
        let over_limit = self.over_limit();
        let key = self
            .connections
            .iter()
            .find(|(_, connection)| self.due(connection).is_some_and(|due| due <= now))
            .map(|(key, _)| key)?;
        let connection = self.connections[key];
        match connection.phase {
            ConnectionPhase::Idle => {
                self.idle.retain(|idle| *idle != key);
                let long_idle = now.since(connection.used) >= self.limits.idle_timeout;
                if over_limit || (surplus && long_idle) {
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
