//! Links from this node to the backend servers, judged by what the servers answer.
//!
//! Answers network faults that concern this node only: to one server, to some, to an
//! availability zone or to all of them. A connection that is accepted shows nothing, since
//! hosts on the way accept connections that lead nowhere. A link without responses is
//! probed, and counts as lost once a probe gets no response either. The state of a link is
//! kept apart from that of the server, which other nodes may reach.

use std::{sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use indexmap::IndexMap;

/// Time without a response from a zone, while requests to it wait, after which some of its
/// servers are probed.
const ZONE_SILENCE: Duration = Duration::from_millis(150);

/// Time since its last response after which a zone is probed because another one is lost.
const RECENT_RESPONSE: Duration = Duration::from_millis(50);

/// Time without a response from a server, while requests to it wait, after which it is
/// probed; longer than the pauses of a sound server.
const SERVER_SILENCE: Duration = Duration::from_millis(500);

/// Multiple of the hedge delay up to which the silence of a server is usual.
const USUAL_SILENCE: f64 = 1.5;

/// Number of attempts without a response that could not be sent, or whose connection broke,
/// after which a server is probed.
const MAX_FAILURES: u32 = 2;

/// Least time between two probes of a server or two rounds of probes of a zone.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Greatest time between two probes of a lost server.
const MAX_SERVER_INTERVAL: Duration = Duration::from_millis(2_000);

/// Greatest time between two rounds of probes of a lost zone.
const MAX_ZONE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Number of rounds of probes of a lost zone after which the time between them doubles.
const ROUNDS_PER_INTERVAL: u32 = 4;

/// Time for which a zone must have been lost for the nodes to return to it one after the
/// other.
const MIN_SPREAD_LOSS: Duration = Duration::from_millis(2_000);

/// Time within which the nodes return to a zone, for each of them.
const RETURN_SPREAD_PER_NODE: Duration = Duration::from_millis(5);

/// Longest time within which the nodes return to a zone.
const MAX_RETURN_SPREAD: Duration = Duration::from_millis(1_500);

/// What a probe has shown of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The server responded.
    Answered,
    /// The server accepted a connection and did not respond in time. It may be lost or slow.
    Silent,
    /// No connection to the server could be opened or used.
    Unreachable,
}

/// Loss of a link that a probe has shown.
#[derive(Clone, Copy, Debug)]
struct LinkLoss {
    /// When the probe was sent.
    sent: BootTime,
    is_silent: bool,
}

/// Link to one server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerLink {
    last_response: BootTime,
    /// Time for which requests have waited since then, without those in flight.
    silent_for: Duration,
    /// Silence after which the server is probed.
    max_silence: Duration,
    /// Attempts since the last response that could not be sent or whose connection broke.
    failures: u32,
    loss: Option<LinkLoss>,
    /// When the probe in flight was sent.
    probed_at: Option<BootTime>,
    next_probe: BootTime,
    probe_interval: Duration,
}

impl ServerLink {
    pub(crate) const fn new() -> Self {
        Self {
            last_response: BootTime::ZERO,
            silent_for: Duration::ZERO,
            max_silence: SERVER_SILENCE,
            failures: 0,
            loss: None,
            probed_at: None,
            next_probe: BootTime::ZERO,
            probe_interval: MIN_PROBE_INTERVAL,
        }
    }

    /// Returns whether the server doesn't respond to this node.
    pub(crate) const fn is_lost(&self) -> bool {
        self.loss.is_some()
    }

    /// Returns whether no connection to the server can be used.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.loss.is_some_and(|loss| !loss.is_silent)
    }

    /// Returns whether a failed probe that was sent after `time` showed the loss.
    pub(crate) fn is_lost_since(&self, time: BootTime) -> bool {
        self.loss.is_some_and(|loss| loss.sent >= time)
    }

    /// Returns whether the link is worth a probe. `waiting_since` is the start of the wait
    /// of the requests in flight, if there are any.
    pub(crate) fn needs_probe(&self, now: BootTime, waiting_since: Option<BootTime>) -> bool {
        if self.probed_at.is_some() || now < self.next_probe {
            return false;
        }
        let waits = waiting_since.map_or(Duration::ZERO, |since| now.since(since));
        let is_silent = self.silent_for + waits >= self.max_silence;
        self.is_lost() || self.failures >= MAX_FAILURES || is_silent && !waits.is_zero()
    }

    pub(crate) const fn is_probed(&self) -> bool {
        self.probed_at.is_some()
    }

    pub(crate) fn on_sent(&mut self, hedge_delay: Duration) {
        self.max_silence = SERVER_SILENCE.max(hedge_delay.mul_f64(USUAL_SILENCE));
    }

    pub(crate) const fn on_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Records that the last request in flight ended without a response.
    pub(crate) fn on_silence(&mut self, waited: Duration) {
        self.silent_for += waited;
    }

    pub(crate) const fn on_probe_sent(&mut self, now: BootTime) {
        self.probed_at = Some(now);
    }

    /// Records a response; returns whether the link was lost.
    pub(crate) fn on_response(&mut self, now: BootTime) -> bool {
        let was_lost = self.is_lost();
        *self = Self { last_response: now, probed_at: self.probed_at, ..Self::new() };
        was_lost
    }

    /// Records that a probe got no response; returns whether that shows a loss.
    pub(crate) fn on_probe_failed(&mut self, now: BootTime, is_silent: bool) -> bool {
        let Some(sent) = self.probed_at.take() else { return false };
        if self.last_response >= sent {
            return false;
        }
        self.loss = Some(LinkLoss { sent, is_silent });
        self.next_probe = now + self.probe_interval;
        self.probe_interval = (self.probe_interval * 2).min(MAX_SERVER_INTERVAL);
        true
    }

    pub(crate) const fn on_probe_answered(&mut self) {
        self.probed_at = None;
    }
}

/// Links to the servers of all availability zones.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneLinks {
    zones: IndexMap<Arc<str>, ZoneLink>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneLink {
    last_response: BootTime,
    /// When the zone's servers are probed if none responds.
    suspect_at: Option<BootTime>,
    state: ZoneState,
    next_round: BootTime,
    /// Number of rounds of probes since the zone was lost.
    rounds: u32,
    /// Number of servers probed so far, so that probes rotate over all of them.
    probed: usize,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ZoneState {
    #[default]
    Reached,
    Lost {
        since: BootTime,
    },
    /// Servers respond again; this node calls them from then on.
    Returning {
        until: BootTime,
    },
}

impl ZoneLinks {
    /// Records that a request is sent to a server of a zone.
    pub(crate) fn on_sent(&mut self, now: BootTime, zone: &Arc<str>, hedge_delay: Duration) {
        let silence = ZONE_SILENCE.max(hedge_delay.mul_f64(USUAL_SILENCE));
        self.entry(zone).suspect_at.get_or_insert(now + silence);
    }

    fn entry(&mut self, zone: &Arc<str>) -> &mut ZoneLink {
        if !self.zones.contains_key(zone) {
            self.zones.insert(zone.clone(), ZoneLink::default());
        }
        &mut self.zones[zone]
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (&Arc<str>, &mut ZoneLink)> {
        self.zones.iter_mut()
    }

    /// Returns whether a zone counts as lost.
    pub(crate) fn is_lost(&self, now: BootTime, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|link| link.is_lost(now))
    }

    /// Returns the zones that count as lost, sorted by name.
    pub(crate) fn lost(&self, now: BootTime) -> Vec<Arc<str>> {
        let lost = self.zones.iter().filter(|(_, link)| link.is_lost(now));
        let mut zones: Vec<_> = lost.map(|(zone, _)| zone.clone()).collect();
        zones.sort();
        zones
    }

    pub(crate) fn any_lost(&self, now: BootTime) -> bool {
        self.zones.values().any(|link| link.is_lost(now))
    }

    /// Returns when the next round of probes of a lost zone is due.
    pub(crate) fn next_round(&self, now: BootTime) -> Option<BootTime> {
        let lost = self.zones.values().filter(|link| link.is_lost(now));
        lost.map(|link| link.next_round).min()
    }

    /// Returns when the zone last responded.
    pub(crate) fn last_response(&self, zone: &str) -> BootTime {
        self.zones.get(zone).map_or(BootTime::ZERO, |link| link.last_response)
    }

    /// Records a response from a zone; returns whether the zone was lost. `random_fraction`
    /// returns a number from 0 to 1, and `nodes` is the number of nodes that may return.
    pub(crate) fn on_response(
        &mut self,
        now: BootTime,
        zone: &Arc<str>,
        nodes: u32,
        random_fraction: impl FnOnce() -> f64,
    ) -> bool {
        let link = self.entry(zone);
        link.last_response = now;
        link.suspect_at = None;
        let ZoneState::Lost { since } = link.state else { return false };
        let is_spread = now.since(since) >= MIN_SPREAD_LOSS;
        let spread = (RETURN_SPREAD_PER_NODE * nodes).min(MAX_RETURN_SPREAD);
        let until = now + spread.mul_f64(random_fraction());
        link.state = if is_spread { ZoneState::Returning { until } } else { ZoneState::Reached };
        link.rounds = 0;
        true
    }

    /// Records that too many servers of a zone don't respond. The other zones may be lost for
    /// the same reason and are probed at once, unless they have responded lately.
    pub(crate) fn on_lost(&mut self, now: BootTime, zone: &Arc<str>) {
        let link = self.entry(zone);
        if matches!(link.state, ZoneState::Lost { .. }) {
            return;
        }
        link.state = ZoneState::Lost { since: now };
        for link in self.zones.values_mut() {
            if now.since(link.last_response) >= RECENT_RESPONSE {
                link.suspect_at = Some(link.suspect_at.map_or(now, |at| at.min(now)));
            }
        }
    }

    /// Makes servers of a zone be probed at `time` unless one responds until then.
    pub(crate) fn suspect_at(&mut self, time: BootTime, zone: &Arc<str>) {
        let link = self.entry(zone);
        link.suspect_at = Some(link.suspect_at.map_or(time, |at| at.min(time)));
    }

    /// Makes the servers of a zone be probed at once, unless one has responded lately.
    pub(crate) fn suspect(&mut self, now: BootTime, zone: &Arc<str>) {
        let link = self.entry(zone);
        if now.since(link.last_response) >= MAX_ZONE_INTERVAL && now >= link.next_round {
            self.suspect_at(now, zone);
        }
    }

    /// Returns to a zone without a further delay.
    pub(crate) fn end_return(&mut self, zone: &str) -> bool {
        let link = self.zones.get_mut(zone);
        let link = link.filter(|link| matches!(link.state, ZoneState::Returning { .. }));
        let Some(link) = link else { return false };
        link.state = ZoneState::Reached;
        true
    }
}

impl ZoneLink {
    fn is_lost(&self, now: BootTime) -> bool {
        match self.state {
            ZoneState::Reached => false,
            ZoneState::Lost { .. } => true,
            ZoneState::Returning { until } => now < until,
        }
    }

    /// Ends a return that is due; returns whether there was one.
    pub(crate) fn finish_return(&mut self, now: BootTime) -> bool {
        let is_due = matches!(self.state, ZoneState::Returning { until } if now >= until);
        if is_due {
            self.state = ZoneState::Reached;
        }
        is_due
    }

    /// Starts a round of probes if one is due; returns the position at which the choice of
    /// servers starts.
    pub(crate) fn start_round(&mut self, now: BootTime, servers: usize) -> Option<usize> {
        let is_lost = matches!(self.state, ZoneState::Lost { .. });
        let is_suspect = self.suspect_at.is_some_and(|at| now >= at);
        if !(is_lost || is_suspect) || now < self.next_round {
            return None;
        }
        let doublings = (self.rounds / ROUNDS_PER_INTERVAL).min(8);
        let interval = MIN_PROBE_INTERVAL * 2u32.pow(doublings);
        self.next_round = now + interval.min(MAX_ZONE_INTERVAL);
        self.rounds += u32::from(is_lost);
        let start = self.probed;
        self.probed = self.probed.wrapping_add(servers);
        Some(start)
    }
}
