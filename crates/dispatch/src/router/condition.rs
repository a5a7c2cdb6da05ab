//! The condition of a backend server, seen from one entry node.

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Condition that decides how much load a server gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Condition {
    /// New or just back: its share grows.
    Cold,
    /// Takes its whole share.
    Warm,
    /// Failing or far slower than its peers: probes only.
    Ejected,
    /// Draining: nothing new.
    Leaving,
}

/// What changes a server's condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ConditionEvent {
    /// The ramp ended with enough answers.
    RampDone,
    /// Failures or slowness went over the limit.
    Tripped,
    /// A probe came back in good time.
    ProbePassed,
    /// The server drains.
    Drained,
    /// The server takes requests again.
    Restored,
}

impl Condition {
    /// The condition after an event.
    pub(super) const fn after(self, event: ConditionEvent) -> Self {
        match (self, event) {
            (_, ConditionEvent::Drained) => Self::Leaving,
            (Self::Leaving, ConditionEvent::Restored) => Self::Cold,
            (Self::Cold, ConditionEvent::RampDone) => Self::Warm,
            (Self::Cold | Self::Warm, ConditionEvent::Tripped) => Self::Ejected,
            (Self::Ejected, ConditionEvent::ProbePassed) => Self::Cold,
            _ => self,
        }
    }
}
