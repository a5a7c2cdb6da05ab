//! Sizes of the searched zones and the rules that a search leaves out.

use std::time::Duration;

use carobstep_control::LeaseTiming;
use strum::{Display, EnumIter};

/// Length of a fence, in ticks.
pub const FENCE: u64 = 1;
/// Most that clocks drift apart, in ticks.
pub const DRIFT: u64 = 1;

/// A rule that is left out or broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Mutant {
    /// The witnesses are not told that the lease is closed.
    CloseNoticeLeftOut,
    /// The grants move as soon as the witnesses are told.
    FenceLeftOut,
    /// A started node vouches before it has read the platform.
    LeaseReadLeftOut,
    /// The holder checks its lease when it acts, not at each dispatch.
    DispatchCheckLeftOut,
    /// Half of the witnesses are told instead of more than half.
    HalfNotified,
    /// The witnesses are told before the lease is closed.
    NotifiedBeforeClose,
    /// After a renewal with a lost answer only the old witnesses count.
    OldWitnessesOnly,
    /// Waits are as long as the holder's, without a margin for drift.
    DriftLeftOut,
    /// The term counts from the answer of the renewal.
    TermFromAnswer,
    /// An answer of a witness lasts from its arrival.
    VouchFromAnswer,
    /// A renewal with a lost answer counts as done.
    LostAnswerTrusted,
    /// The lease is closed whatever its version.
    CloseUnconditional,
    /// The lease is closed before it lapsed.
    LapseLeftOut,
    /// A new version of the lease does not restart the lapse.
    LapseNotRestarted,
    /// Requests of the previous holder are not waited for.
    DeadlineLeftOut,
    /// A grant is released while requests still run.
    ReleasedBeforeIdle,
    /// The holder dispatches again after a release with a lost answer.
    ResumedAfterRelease,
    /// The next incarnation is opened before the last one is dropped.
    ReopenedBeforeDrop,
    /// A VM list that never showed the holder is believed.
    UnseenListTrusted,
}

/// What one search explores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModelConfig {
    /// Nodes of the zone; node 0 is the holder.
    pub nodes: u8,
    /// Nodes that try to take over, from node 1 on.
    pub takers: u8,
    /// Renewals that the holder sends.
    pub renewals: u8,
    /// Restarts of witnesses.
    pub restarts: u8,
    /// Ticks that the holder's clock misses.
    pub missed_ticks: u8,
    /// Length of a term, in ticks.
    pub term: u64,
    /// Longest time that a request runs, in ticks; zero leaves requests of the
    /// previous holder and the wait for them out.
    pub deadline: u64,
    /// Whether answers of witnesses travel on their own.
    pub slow_answers: bool,
    /// Whether takers hear of renewals by gossip before they read the lease.
    pub gossip_reports: bool,
    /// Whether the holder may release its grant.
    pub releases: bool,
    /// Whether the holder may crash, come back and be gone from the VM list.
    pub holder_ends: bool,
    /// The rule that is left out.
    pub mutant: Option<Mutant>,
}

impl ModelConfig {
    /// Whether `mutant` is the rule that is left out.
    pub fn omits(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    /// Timing of the holder.
    pub fn holder_timing(&self) -> LeaseTiming {
        timing(self.term, DRIFT, FENCE)
    }

    /// Timing of a taker.
    pub fn taker_timing(&self) -> LeaseTiming {
        match self.mutant {
            Some(Mutant::FenceLeftOut) => timing(self.term + DRIFT, 0, 0),
            Some(Mutant::DriftLeftOut) => timing(self.term, 0, FENCE),
            Some(Mutant::LapseLeftOut) => timing(0, 0, FENCE + DRIFT),
            _ => timing(self.term, DRIFT, FENCE),
        }
    }

    /// How long a taker waits for requests of the previous holder.
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
