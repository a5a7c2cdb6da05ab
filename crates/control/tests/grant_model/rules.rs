//! Configuration of the model and the rules that a search can leave out.

use std::time::Duration;

use carobstep_control::LeaseTiming;
use strum::{Display, EnumIter};

/// Fence time, in ticks.
pub const FENCE: u64 = 1;
/// Maximum drift between clocks, in ticks.
pub const DRIFT: u64 = 1;

/// A rule of the protocol that a search leaves out or breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Mutant {
    /// The witnesses are not notified that the lease is closed.
    CloseNoticeLeftOut,
    /// The grants move as soon as the witnesses are notified.
    FenceLeftOut,
    /// A restarted node vouches before it has read the leases.
    LeaseReadLeftOut,
    /// The holder checks its lease at its own steps instead of at each dispatch.
    DispatchCheckLeftOut,
    /// Half of the witnesses are notified instead of more than half.
    HalfNotified,
    /// The witnesses are notified before the lease is closed.
    NotifiedBeforeClose,
    /// After a renewal with a lost reply, only the old witnesses count.
    OldWitnessesOnly,
    /// Claimants wait without a margin for clock drift.
    DriftLeftOut,
    /// The term counts from the reply to the renewal instead of its request.
    TermFromReply,
    /// A vouch counts from its arrival instead of its request.
    VouchFromReply,
    /// A renewal with a lost reply counts as confirmed.
    LostReplyTrusted,
    /// The close does not depend on the version of the lease.
    CloseUnconditional,
    /// The lease is closed before it has expired.
    ExpiryLeftOut,
    /// A new version of the lease does not restart the wait for its expiry.
    ExpiryNotRestarted,
    /// The claimant does not wait for requests of the previous holder.
    DeadlineLeftOut,
    /// The grant is released while requests still run.
    ReleasedBeforeIdle,
    /// The holder dispatches again after a release with a lost reply.
    ResumedAfterRelease,
    /// The next incarnation is opened before the grant of the last one is dropped.
    ReopenedBeforeDrop,
    /// A VM list without the holder is trusted although no list has shown it.
    UnseenListTrusted,
}

/// Size of the model and the events that one search explores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModelConfig {
    /// Number of nodes of the zone, of which node 0 is the holder.
    pub nodes: u8,
    /// Number of claimants, numbered from node 1.
    pub claimants: u8,
    /// Maximum number of renewals that the holder sends.
    pub renewals: u8,
    /// Maximum number of restarts of witnesses.
    pub restarts: u8,
    /// Maximum number of ticks that the holder's clock misses.
    pub missed_ticks: u8,
    /// Term of the lease, in ticks.
    pub term: u64,
    /// Maximum duration of a request, in ticks. Zero excludes requests of the
    /// previous holder and the wait for them from the model.
    pub deadline: u64,
    /// Whether replies of witnesses arrive in a later step than they are sent.
    pub slow_replies: bool,
    /// Whether gossip reports renewals to claimants before they read the lease.
    pub gossip_reports: bool,
    /// Whether the holder may release its grant.
    pub releases: bool,
    /// Whether the holder may crash, restart and disappear from the VM list.
    pub holder_ends: bool,
    /// The rule that is left out.
    pub mutant: Option<Mutant>,
}

impl ModelConfig {
    /// Whether the search leaves out the rule `mutant`.
    pub fn omits(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    /// Returns the timing of the holder.
    pub fn holder_timing(&self) -> LeaseTiming {
        timing(self.term, DRIFT, FENCE)
    }

    /// Returns the timing of a claimant.
    pub fn claimant_timing(&self) -> LeaseTiming {
        match self.mutant {
            Some(Mutant::FenceLeftOut) => timing(self.term + DRIFT, 0, 0),
            Some(Mutant::DriftLeftOut) => timing(self.term, 0, FENCE),
            Some(Mutant::ExpiryLeftOut) => timing(0, 0, FENCE + DRIFT),
            _ => timing(self.term, DRIFT, FENCE),
        }
    }

    /// Returns how long a claimant waits for requests of the previous holder, in
    /// ticks.
    pub fn drain(&self) -> u64 {
        match self.mutant {
            Some(Mutant::DeadlineLeftOut) => 0,
            Some(Mutant::DriftLeftOut) => self.deadline,
            _ if self.deadline == 0 => 0,
            _ => self.deadline + DRIFT,
        }
    }
}

fn timing(term: u64, drift: u64, fence: u64) -> LeaseTiming {
    LeaseTiming {
        term: Duration::from_millis(term),
        renew: Duration::from_millis(1),
        drift: Duration::from_millis(drift),
        fence: Duration::from_millis(fence),
    }
}
