//! The condition of a backend server, seen from one entry node.

use std::sync::LazyLock;

use carobstep_chart::StateChart;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Condition that decides how much load a server gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ServerCondition {
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

/// The chart of a server's condition.
static CHART: LazyLock<StateChart<ServerCondition, ConditionEvent>> = LazyLock::new(|| {
    let text = include_str!("../../charts/condition.jsonc");
    StateChart::parse(text).expect("charts/condition.jsonc is a valid chart")
});

impl ServerCondition {
    /// The condition of a server that nothing is known of.
    pub(super) fn initial() -> Self {
        CHART.initial()
    }

    /// The condition after an event; one that the chart ignores changes nothing.
    pub(super) fn after(self, event: ConditionEvent) -> Self {
        CHART.next(self, event).unwrap_or(self)
    }
}
