//! Limits on what the client connections of one listener hold together.
//!
//! Answers clients that open many connections, send or read slowly, stop halfway, or send
//! many large requests at the same time. Every connection is charged a fixed number of
//! bytes, so that a client with a small request is never short of room; larger header
//! sections, bodies and unread answers share one number of bytes. When that or the number
//! of connections is exhausted, connections that have fallen behind [`MIN_PACE`] go first,
//! those that hold most for the longest time before others. A client over a slow link that
//! keeps the pace isn't among them, and neither is the one that connected last.

use std::time::Duration;

use carobstep_clock::BootTime;
use slotmap::{SlotMap, new_key_type};
use strum::{Display, IntoStaticStr};

use crate::model::CallerLimits;

/// Pace below which a client that sends or reads falls behind, in bytes per second.
pub const MIN_PACE: f64 = 16.0 * 1024.0;

/// Longest pause of a client that has kept the pace, such as a retransmission on a slow
/// link, before it counts as behind.
const MAX_LEAD: Duration = Duration::from_secs(1);

/// Time for which a connection must have been idle before it may end to make room.
const MIN_IDLE: Duration = Duration::from_millis(200);

/// Longest time for which a body waits for room before its request is refused.
pub const MAX_ROOM_WAIT: Duration = Duration::from_secs(1);

/// Maximum number of requests in progress that their clients sent before they had the
/// answer to their last one. Clients that wait for their answers aren't limited.
pub const MAX_SENT_AHEAD: usize = 4;

/// Memory of a connection with a small request, in bytes: buffers, state of the parser and
/// of the task, and [`FREE_BYTES`].
const CONNECTION_BYTES: usize = 16 * 1024;

/// Bytes of each connection that aren't taken from the shared number.
const FREE_BYTES: usize = 4 * 1024;

/// Share of the process's memory that clients may take.
const MEMORY_SHARE: f64 = 0.4;

/// Largest share of that for connections with small requests.
const CONNECTION_SHARE: f64 = 0.6;

/// Share of the descriptors that connections of callers may take; the rest is left for
/// servers, other nodes and the store.
const DESCRIPTOR_SHARE: f64 = 0.6;

/// Share of the process's memory that incomplete requests of other nodes may take.
const PEER_MEMORY_SHARE: f64 = 0.1;

/// Share of the descriptors that connections of other nodes may take.
const PEER_DESCRIPTOR_SHARE: f64 = 0.15;

/// Descriptors that aren't sockets.
const RESERVED_DESCRIPTORS: usize = 200;

/// Memory assumed for a process without a limit, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 256 * 1024 * 1024;

/// Descriptors assumed for a process without a limit.
const DEFAULT_DESCRIPTORS: usize = 4096;

/// Smallest number of connections, whatever the limits of the process.
const MIN_CONNECTIONS: usize = 16;

new_key_type! {
    /// Key of one client connection.
    pub struct CallerKey;
}

/// Limits of one listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerBounds {
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Maximum number of bytes that all connections share.
    pub max_bytes: usize,
}

impl CallerBounds {
    /// Returns the limits of the listener for callers in a process with limits on its memory
    /// in bytes and on its open descriptors.
    #[must_use]
    pub fn within(memory_bytes: Option<usize>, max_descriptors: Option<usize>) -> Self {
        let memory_bytes = memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES) as f64 * MEMORY_SHARE;
        let descriptors = max_descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        let sockets = descriptors.saturating_sub(RESERVED_DESCRIPTORS) as f64;
        let by_memory = memory_bytes * CONNECTION_SHARE / CONNECTION_BYTES as f64;
        let max_connections = (sockets * DESCRIPTOR_SHARE).min(by_memory) as usize;
        let max_connections = max_connections.max(MIN_CONNECTIONS);
        let max_bytes = (memory_bytes as usize).saturating_sub(max_connections * CONNECTION_BYTES);
        Self { max_connections, max_bytes }
    }

    /// Returns the limits of the listener for other nodes, with the same arguments.
    #[must_use]
    pub fn for_peers(memory_bytes: Option<usize>, max_descriptors: Option<usize>) -> Self {
        let memory_bytes = memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES) as f64;
        let descriptors = max_descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        let sockets = descriptors.saturating_sub(RESERVED_DESCRIPTORS) as f64;
        Self {
            max_connections: ((sockets * PEER_DESCRIPTOR_SHARE) as usize).max(MIN_CONNECTIONS),
            max_bytes: (memory_bytes * PEER_MEMORY_SHARE) as usize,
        }
    }
}

/// What a connection is used for at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerPhase {
    /// No request has begun.
    Idle,
    /// A header section is being received.
    Head,
    /// A body is being received.
    Body,
    /// A request is being executed.
    Working,
    /// An answer is being sent.
    Answer,
}

/// Why a connection has to end or a request was refused before it was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum CallerFault {
    /// The connection was idle for too long.
    IdleTimeout,
    /// The header section was not complete in time.
    SlowHead,
    /// The body fell too far behind the pace.
    SlowBody,
    /// The client did not read its answer.
    SlowReader,
    /// The connection was behind the pace, or idle, when others needed its room.
    Pressure,
    /// The header section is over the limit.
    HeadTooLarge,
    /// The body is over the limit.
    BodyTooLarge,
    /// There was no room for the request in time.
    NoRoom,
}

/// A connection that has to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerEviction {
    /// The connection.
    pub key: CallerKey,
    /// The reason.
    pub fault: CallerFault,
    /// What it was used for; a request whose body is being received can still be answered.
    pub phase: CallerPhase,
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    phase: CallerPhase,
    since: BootTime,
    /// Time up to which the client has kept the pace, if it sends nothing more.
    paced_until: BootTime,
    held_bytes: usize,
    is_evicted: bool,
}

impl Caller {
    /// Bytes that are taken from the shared number.
    const fn shared_bytes(&self) -> usize {
        self.held_bytes.saturating_sub(FREE_BYTES)
    }

    fn is_paced_by_client(&self) -> bool {
        matches!(self.phase, CallerPhase::Head | CallerPhase::Body | CallerPhase::Answer)
    }
}

/// The connections of one listener and what they hold.
#[derive(Debug)]
pub struct CallerBudget {
    bounds: CallerBounds,
    connections: SlotMap<CallerKey, Caller>,
    /// Number of connections that have not been evicted.
    open: usize,
    held_bytes: usize,
    evictions: Vec<CallerEviction>,
    /// Time before which no connection that holds shared bytes falls behind.
    next_behind: BootTime,
}

impl CallerBudget {
    /// Creates a budget without connections.
    #[must_use]
    pub fn new(bounds: CallerBounds) -> Self {
        Self {
            bounds,
            connections: SlotMap::with_key(),
            open: 0,
            held_bytes: 0,
            evictions: Vec::new(),
            next_behind: BootTime::ZERO,
        }
    }

    /// Number of connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Bytes that all connections hold together, beyond what each one may hold.
    #[must_use]
    pub const fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns the connections that have to end, each one once.
    pub fn take_evictions(&mut self) -> Vec<CallerEviction> {
        std::mem::take(&mut self.evictions)
    }

    /// Adds a connection; `None` if there are too many, none of which may be ended.
    pub fn connect(&mut self, now: BootTime) -> Option<CallerKey> {
        if self.open >= self.bounds.max_connections {
            let victim = self.find_behind(now, 0).or_else(|| self.find_idle(now))?;
            self.evict(victim, CallerFault::Pressure);
        }
        self.open += 1;
        Some(self.connections.insert(Caller {
            phase: CallerPhase::Idle,
            since: now,
            paced_until: now + MAX_LEAD,
            held_bytes: 0,
            is_evicted: false,
        }))
    }

    /// Removes a connection that has ended.
    pub fn disconnect(&mut self, key: CallerKey) {
        self.release(key);
        let Some(caller) = self.connections.remove(key) else { return };
        self.open -= usize::from(!caller.is_evicted);
    }

    /// Returns the phase of a connection.
    #[must_use]
    pub fn phase(&self, key: CallerKey) -> Option<CallerPhase> {
        self.connections.get(key).map(|caller| caller.phase)
    }

    /// Records that a connection is in another phase; an idle one holds no bytes.
    pub fn enter(&mut self, now: BootTime, key: CallerKey, phase: CallerPhase) {
        if phase == CallerPhase::Idle {
            self.release(key);
        }
        let Some(caller) = self.connections.get_mut(key) else { return };
        caller.phase = phase;
        caller.since = now;
        caller.paced_until = now + MAX_LEAD;
        self.next_behind = self.next_behind.min(caller.paced_until);
    }

    /// Records that a client has sent or read bytes.
    pub fn record_progress(&mut self, now: BootTime, key: CallerKey, bytes: usize) {
        let Some(caller) = self.connections.get_mut(key) else { return };
        let paid = Duration::from_secs_f64(bytes as f64 / MIN_PACE);
        caller.paced_until = (caller.paced_until + paid).min(now + MAX_LEAD);
    }

    /// Charges a connection with further bytes of its request; returns whether there is room.
    ///
    /// The client isn't behind while it waits for room.
    pub fn try_hold(&mut self, now: BootTime, key: CallerKey, bytes: usize) -> bool {
        let Some(caller) = self.connections.get(key).copied() else { return false };
        if caller.is_evicted {
            return false;
        }
        let held_bytes = caller.held_bytes + bytes;
        let added = held_bytes.saturating_sub(FREE_BYTES) - caller.shared_bytes();
        let has_room = added == 0 || self.make_room(now, key, added);
        let Some(caller) = self.connections.get_mut(key) else { return false };
        if !has_room {
            caller.paced_until = now + MAX_LEAD;
            return false;
        }
        caller.held_bytes = held_bytes;
        self.held_bytes += added;
        true
    }

    /// Charges a connection with an answer, for which there has to be room.
    pub fn hold_answer(&mut self, now: BootTime, key: CallerKey, bytes: usize) {
        let Some(caller) = self.connections.get_mut(key) else { return };
        if caller.is_evicted {
            return;
        }
        let before = caller.shared_bytes();
        caller.held_bytes += bytes;
        let added = caller.shared_bytes() - before;
        self.held_bytes += added;
        if added > 0 {
            self.make_room(now, key, 0);
        }
    }

    /// Releases all bytes of a connection.
    fn release(&mut self, key: CallerKey) {
        let Some(caller) = self.connections.get_mut(key) else { return };
        self.held_bytes -= caller.shared_bytes();
        caller.held_bytes = 0;
    }

    /// Ends connections that are too slow or idle for too long under `limits`.
    pub fn expire(&mut self, now: BootTime, limits: &CallerLimits) {
        let body_time = Duration::from_secs_f64(limits.body_bytes as f64 / MIN_PACE);
        let mut expired = Vec::new();
        for (key, caller) in &self.connections {
            if caller.is_evicted {
                continue;
            }
            let elapsed = now.since(caller.since);
            let is_behind = now.since(caller.paced_until) >= limits.header_timeout;
            let fault = match caller.phase {
                CallerPhase::Idle if elapsed >= limits.idle_timeout => CallerFault::IdleTimeout,
                CallerPhase::Head if elapsed >= limits.header_timeout => CallerFault::SlowHead,
                CallerPhase::Body if is_behind || elapsed >= limits.header_timeout + body_time => {
                    CallerFault::SlowBody
                }
                CallerPhase::Answer if is_behind => CallerFault::SlowReader,
                _ => continue,
            };
            expired.push((key, fault));
        }
        for (key, fault) in expired {
            self.evict(key, fault);
        }
    }

    /// Ends connections that are behind until `bytes` more fit; returns whether they do.
    fn make_room(&mut self, now: BootTime, requester: CallerKey, bytes: usize) -> bool {
        while self.held_bytes + bytes > self.bounds.max_bytes {
            if now < self.next_behind {
                return false;
            }
            let victim = self.find_behind(now, 1).filter(|victim| *victim != requester);
            let Some(victim) = victim else {
                self.next_behind = self.first_behind(now);
                return false;
            };
            self.evict(victim, CallerFault::Pressure);
        }
        true
    }

    /// Returns the connection that is behind and has the greatest product of the bytes that
    /// it holds and its lag, among those that hold at least `min_shared` shared bytes.
    fn find_behind(&self, now: BootTime, min_shared: usize) -> Option<CallerKey> {
        let lag = |caller: &Caller| now.since(caller.paced_until);
        self.connections
            .iter()
            .filter(|(_, caller)| {
                !caller.is_evicted
                    && caller.is_paced_by_client()
                    && caller.shared_bytes() >= min_shared
                    && now > caller.paced_until
            })
            .max_by_key(|(_, caller)| {
                let weight = (CONNECTION_BYTES + caller.shared_bytes()) as u128;
                weight * lag(caller).as_micros()
            })
            .map(|(key, _)| key)
    }

    /// Returns the earliest time at which a connection that holds shared bytes may be behind.
    fn first_behind(&self, now: BootTime) -> BootTime {
        let holders = self.connections.values().filter(|caller| {
            !caller.is_evicted && caller.is_paced_by_client() && caller.shared_bytes() > 0
        });
        let first = holders.map(|caller| caller.paced_until).min();
        first.unwrap_or(now + MAX_LEAD).max(now)
    }

    /// Returns the connection that has been idle for the longest time, beyond [`MIN_IDLE`].
    fn find_idle(&self, now: BootTime) -> Option<CallerKey> {
        self.connections
            .iter()
            .filter(|(_, caller)| {
                !caller.is_evicted
                    && caller.phase == CallerPhase::Idle
                    && now.since(caller.since) > MIN_IDLE
            })
            .min_by_key(|(_, caller)| caller.since)
            .map(|(key, _)| key)
    }

    fn evict(&mut self, key: CallerKey, fault: CallerFault) {
        self.release(key);
        let Some(caller) = self.connections.get_mut(key) else { return };
        caller.is_evicted = true;
        self.open -= 1;
        self.evictions.push(CallerEviction { key, fault, phase: caller.phase });
    }
}
