//! Signs that backend servers leave.

use std::time::Duration;

use carobstep_clock::BootTime;
use carobstep_config::ServerName;
use carobstep_wire::ServerSign;
use indexmap::IndexMap;

/// Newest sign of each backend server.
#[derive(Clone, Debug, Default)]
pub(crate) struct SignTable {
    entries: IndexMap<ServerName, SignEntry>,
}

#[derive(Clone, Debug)]
struct SignEntry {
    sign: ServerSign,
    changed_at: BootTime,
    confirmed_at: BootTime,
}

impl SignTable {
    /// Whether the server takes no new requests.
    pub(crate) fn is_leaving(&self, server: &ServerName) -> bool {
        self.entries.get(server).is_some_and(|entry| entry.sign.leaving)
    }

    /// Takes in an own observation; returns whether the state changed.
    ///
    /// A sign that the server leaves counts at once. One that it does not is
    /// only believed after `hold` without a sign that it does, because lists
    /// and health reports lag.
    pub(crate) fn observe(
        &mut self,
        now: BootTime,
        server: &ServerName,
        leaving: bool,
        hold: Duration,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(server) else {
            if leaving {
                self.insert(now, server, 1, leaving);
            }
            return leaving;
        };
        if leaving && entry.sign.leaving {
            entry.confirmed_at = now;
        }
        if leaving == entry.sign.leaving || (!leaving && now < entry.confirmed_at + hold) {
            return false;
        }
        let sequence = entry.sign.sequence + 1;
        self.insert(now, server, sequence, leaving);
        true
    }

    /// A newer configuration declares that the server takes requests again.
    pub(crate) fn clear(&mut self, now: BootTime, server: &ServerName) {
        if let Some(entry) = self.entries.get(server)
            && entry.sign.leaving
        {
            let sequence = entry.sign.sequence + 1;
            self.insert(now, server, sequence, false);
        }
    }

    fn insert(&mut self, now: BootTime, server: &ServerName, sequence: u64, leaving: bool) {
        let sign = ServerSign { server: server.clone(), sequence, leaving };
        let entry = SignEntry { sign, changed_at: now, confirmed_at: now };
        self.entries.insert(server.clone(), entry);
    }

    /// Takes in a peer's sign; returns whether the state changed.
    ///
    /// The higher sequence wins; of two with the same, the one that leaves.
    pub(crate) fn merge(&mut self, now: BootTime, sign: ServerSign) -> bool {
        if let Some(entry) = self.entries.get(&sign.server)
            && (entry.sign.sequence, entry.sign.leaving) >= (sign.sequence, sign.leaving)
        {
            return false;
        }
        let changed = self.is_leaving(&sign.server) != sign.leaving;
        let server = sign.server.clone();
        self.entries.insert(server, SignEntry { sign, changed_at: now, confirmed_at: now });
        changed
    }

    pub(crate) fn leaving(&self) -> impl Iterator<Item = &ServerName> {
        self.entries.values().filter(|entry| entry.sign.leaving).map(|entry| &entry.sign.server)
    }

    /// Every sign.
    pub(crate) fn all(&self) -> Vec<ServerSign> {
        self.entries.values().map(|entry| entry.sign.clone()).collect()
    }

    /// Signs that changed within `age`.
    pub(crate) fn changed_within(&self, now: BootTime, age: Duration) -> Vec<ServerSign> {
        let changed = self.entries.values().filter(|entry| now < entry.changed_at + age);
        changed.map(|entry| entry.sign.clone()).collect()
    }
}
