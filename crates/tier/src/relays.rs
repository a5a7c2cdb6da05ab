//! Choice of the peers that call servers which this node doesn't reach.
//!
//! Answers the loss of this node's links to some or all servers while others still have
//! theirs, up to most of the nodes at once. Only a peer that has responded lately is chosen,
//! so that no request waits for one that is cut off as well; one that had no room for a
//! request is left out until it expects some.

use std::{sync::Arc, time::Duration};

use carobstep_clock::BootTime;

use crate::{
    link_reports::LinkReports,
    peers::{PeerEntry, PeerState, PeerTable, rendezvous_score},
};

/// Time since its last response for which a peer may be chosen.
const CONTACT_LIFETIME: Duration = Duration::from_millis(2_500);

/// Time since its last response after which a peer is called to find out whether it is there.
const CONTACT_CHECK_AGE: Duration = Duration::from_millis(1_000);

/// Number of peers of its zone, and of those of other zones, that a node without links keeps
/// in contact with.
const MAX_CONTACTS: usize = 3;

impl PeerTable {
    /// Returns what is known of the links of all nodes.
    #[must_use]
    pub const fn link_reports(&self) -> &LinkReports {
        &self.link_reports
    }

    /// Returns what is known of the links of all nodes, to be updated.
    pub const fn link_reports_mut(&mut self) -> &mut LinkReports {
        &mut self.link_reports
    }

    /// Records that a peer has no room for further requests of nodes without links.
    pub fn on_full(&mut self, now: BootTime, name: &str, retry_in: Duration) {
        if let Some(state) = self.peers.get_mut(name) {
            state.full_until = now + retry_in;
        }
    }

    /// Returns whether a peer reaches servers of a zone, as far as it is known.
    #[must_use]
    pub fn reaches(&self, name: &str, zone: &str) -> bool {
        self.link_reports.reaches(name, zone)
    }

    /// Returns the nearest peers that may call the servers of `zone` in place of this node,
    /// without those in `tried`: the nodes of that zone, else those of the local one, else
    /// others.
    #[must_use]
    pub fn relays_to(&self, now: BootTime, zone: &str, tried: &[Arc<str>]) -> Vec<&PeerEntry> {
        let own_zone = &*self.own().zone;
        let mut nearest = u8::MAX;
        let mut relays = Vec::new();
        for peer in self.relays(now, zone) {
            let peer_zone = &*peer.entry.zone;
            let distance = if peer_zone == zone { 0 } else { 1 + u8::from(peer_zone != own_zone) };
            if distance > nearest || now < peer.full_until || tried.contains(&peer.entry.name) {
                continue;
            }
            if distance < nearest {
                nearest = distance;
                relays.clear();
            }
            relays.push(&peer.entry);
        }
        relays
    }

    /// Returns when a peer that reaches servers of one of the zones has room again, if all
    /// such peers have none now.
    #[must_use]
    pub fn relay_room_due(&self, now: BootTime, zones: &[Arc<str>]) -> Option<BootTime> {
        let relays = zones.iter().flat_map(|zone| self.relays(now, zone));
        relays.map(|peer| peer.full_until.max(now)).min()
    }

    /// Returns the peers to call in order to find out whether they can stand in for this
    /// node, which has lost its links to the servers of `lost_zones` or to single servers.
    #[must_use]
    pub fn contacts_to_check(&self, now: BootTime, lost_zones: &[Arc<str>]) -> Vec<Arc<str>> {
        let mut contacts = Vec::new();
        for peer in self.live_peers().filter(|peer| peer.is_usable(now)) {
            let name = &peer.entry.name;
            let unreached = lost_zones.iter().filter(|zone| !self.reaches(name, zone)).count();
            if unreached > 0 && unreached == lost_zones.len() {
                continue;
            }
            let is_local = peer.entry.zone == self.own().zone;
            let score = rendezvous_score(&peer.entry, &self.own().name);
            contacts.push((unreached, is_local, score, peer));
        }
        contacts.sort_by(|one, other| one.0.cmp(&other.0).then_with(|| other.2.total_cmp(&one.2)));
        let (mut local, mut remote): (Vec<_>, Vec<_>) =
            contacts.into_iter().partition(|(_, is_local, _, _)| *is_local);
        local.truncate(MAX_CONTACTS);
        remote.truncate(MAX_CONTACTS);
        let contacts = local.into_iter().chain(remote).map(|(_, _, _, peer)| peer);
        let due = contacts.filter(|peer| now.since(peer.contact_at) >= CONTACT_CHECK_AGE);
        due.map(|peer| peer.entry.name.clone()).collect()
    }

    /// Makes the earlier responses of peers count no more, since what has cut this node off
    /// from servers may have cut it off from peers.
    pub fn forget_contacts(&mut self) {
        for peer in self.peers.values_mut() {
            peer.contact_at = BootTime::ZERO;
        }
    }

    /// Returns whether any registered peer may reach servers of a zone, whether it responds to
    /// this node or not.
    #[must_use]
    pub fn any_reaches(&self, zone: &str) -> bool {
        self.peers.keys().any(|peer| self.reaches(peer, zone))
    }

    fn relays(&self, now: BootTime, zone: &str) -> impl Iterator<Item = &PeerState> {
        self.live_peers().filter(move |peer| {
            peer.is_usable(now)
                && now.since(peer.contact_at) < CONTACT_LIFETIME
                && self.reaches(&peer.entry.name, zone)
        })
    }
}
