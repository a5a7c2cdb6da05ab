//! State machine for the condition of a backend server, as seen by one entry node.

use std::sync::LazyLock;

use carobstep_chart::StateChart;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Condition of a backend server, which decides how much load it gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ServerCondition {
    /// New or recovered: its share of the load ramps up.
    Cold,
    /// Takes its full share of the load.
    Warm,
    /// Failing or far slower than its service's other servers: gets probes only.
    Ejected,
    /// Draining: gets no new requests.
    Leaving,
}

/// Event that changes the condition of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ConditionEvent {
    /// The ramp-up time has passed with enough answers.
    RampDone,
    /// The failure rate or the service time exceeded its limit.
    Tripped,
    /// Enough probes in a row were answered in time.
    ProbePassed,
    /// The server started to drain.
    Drained,
    /// The server accepts requests again.
    Restored,
}

/// State chart of [`ServerCondition`].
static CHART: LazyLock<StateChart<ServerCondition, ConditionEvent>> = LazyLock::new(|| {
    let text = include_str!("../../charts/condition.jsonc");
    StateChart::parse(text).expect("charts/condition.jsonc is a valid chart")
});

impl ServerCondition {
    /// Returns the condition of a server without observations.
    pub(super) fn initial() -> Self {
        CHART.initial()
    }

    /// Returns the condition after an event, unchanged if the chart ignores the event.
    pub(super) fn after(self, event: ConditionEvent) -> Self {
        CHART.next(self, event).unwrap_or(self)
    }
}
