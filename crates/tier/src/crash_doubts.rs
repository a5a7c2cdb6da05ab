//! Doubts whether a server has crashed when its connection breaks.
//!
//! Answers links that break at this node only, which look like crashes of many servers at
//! once. Evidence for a crash is held back until another server of the same zone has
//! responded, and is dropped if the links to the zone turn out to be lost.

use std::{sync::Arc, time::Duration};

use carobstep_clock::BootTime;

use crate::{
    crashes::CrashEvidence,
    fingerprint::RequestFingerprint,
    fleet::{ServerFleet, ServerKey},
    model::ServerIncarnation,
};

/// Time after which evidence is used if nothing has shown whether the links are lost.
const MAX_DOUBT: Duration = Duration::from_millis(1_500);

/// Maximum number of pieces of evidence in doubt; further ones are used at once.
const MAX_DOUBTS: usize = 4096;

/// Least time from the opening of a connection to the crash of its server, for a response on
/// the connection to refute the crash.
const MIN_CONNECTION_AGE: Duration = Duration::from_millis(200);

/// A connection that broke before the server responded to a request.
#[derive(Clone, Debug)]
struct CrashDoubt {
    request: RequestFingerprint,
    server: ServerKey,
    zone: Arc<str>,
    evidence: CrashEvidence,
    broken_at: BootTime,
}

/// Evidence for crashes that is held back.
#[derive(Clone, Debug, Default)]
pub struct CrashDoubts {
    doubts: Vec<CrashDoubt>,
}

impl CrashDoubts {
    /// Records that the connection to a server broke before it responded to a request, and
    /// makes other servers of its zone be probed. Returns the evidence if it is to be used at
    /// once.
    pub fn record(
        &mut self,
        now: BootTime,
        request: RequestFingerprint,
        server: ServerKey,
        fleet: &mut ServerFleet,
    ) -> Option<CrashEvidence> {
        let entry = fleet.endpoint(server)?.entry;
        let evidence = CrashEvidence::of(&ServerIncarnation::from(&entry));
        fleet.accuse(now, server);
        let is_accused = |key| key == server || self.doubts.iter().any(|doubt| doubt.server == key);
        if self.doubts.len() >= MAX_DOUBTS || !fleet.has_witness(now, &entry.zone, is_accused) {
            return Some(evidence);
        }
        fleet.probe_zone(now, &entry.zone);
        let zone = entry.zone;
        self.doubts.push(CrashDoubt { request, server, zone, evidence, broken_at: now });
        None
    }

    /// Returns whether a connection broke under a request lately.
    #[must_use]
    pub fn is_suspected(&self, request: RequestFingerprint) -> bool {
        self.doubts.iter().any(|doubt| doubt.request == request)
    }

    /// Returns whether no evidence is held back.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.doubts.is_empty()
    }

    /// Returns the evidence that is to be used, and forgets the doubts that are resolved.
    pub fn resolve(
        &mut self,
        now: BootTime,
        fleet: &ServerFleet,
    ) -> Vec<(RequestFingerprint, CrashEvidence)> {
        let mut confirmed = Vec::new();
        self.doubts.retain(|doubt| {
            if fleet.is_zone_lost(now, &doubt.zone) || fleet.is_exonerated(doubt.server) {
                return false;
            }
            let is_witnessed = fleet.has_responded_since(doubt.broken_at, &doubt.zone);
            if !is_witnessed && now.since(doubt.broken_at) < MAX_DOUBT {
                return true;
            }
            confirmed.push((doubt.request, doubt.evidence));
            false
        });
        confirmed
    }
}

impl ServerFleet {
    /// Records that a server may have crashed at `crashed_at`.
    pub fn accuse(&mut self, crashed_at: BootTime, key: ServerKey) {
        if let Some(server) = self.server_mut(key) {
            server.accused_since.get_or_insert(crashed_at);
        }
    }

    /// Records that servers may have crashed until `now`, according to other nodes.
    pub fn accuse_by_evidence(
        &mut self,
        now: BootTime,
        evidence: impl Iterator<Item = CrashEvidence>,
    ) {
        let evidence: Vec<CrashEvidence> = evidence.collect();
        if evidence.is_empty() {
            return;
        }
        for server in self.servers_mut() {
            if evidence.contains(&CrashEvidence::of(&ServerIncarnation::from(&server.entry))) {
                server.accused_since.get_or_insert(now);
            }
        }
    }

    /// Returns whether a server has shown that it has not crashed.
    #[must_use]
    pub fn is_exonerated(&self, key: ServerKey) -> bool {
        self.server(key).is_some_and(|server| server.accused_since.is_none())
    }

    /// Records a response on a connection that was opened at `opened`. Returns the server if
    /// that shows that it has not crashed.
    pub fn exonerate(&mut self, opened: BootTime, key: ServerKey) -> Option<ServerIncarnation> {
        let server = self.server_mut(key)?;
        let accused_since = server.accused_since?;
        // A server that has started again responds on new connections only.
        if opened + MIN_CONNECTION_AGE > accused_since {
            return None;
        }
        server.accused_since = None;
        Some(ServerIncarnation::from(&server.entry))
    }
}
