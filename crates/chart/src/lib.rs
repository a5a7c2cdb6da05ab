//! State charts that are defined in JSON with comments and interpreted as transition tables.
//!
//! A chart defines the initial state and, for each state, the events that
//! trigger a transition to another state. States and events are enums of the
//! caller that derive [`strum::EnumString`]. A name that is missing from its
//! enum is an error when the chart is parsed, so that at run time states and
//! events are small `Copy` values.
//!
//! ```
//! use carobstep_chart::StateChart;
//! use strum::EnumString;
//!
//! #[derive(Clone, Copy, Debug, PartialEq, EnumString)]
//! #[strum(serialize_all = "snake_case")]
//! enum Door {
//!     Open,
//!     Shut,
//! }
//!
//! #[derive(Clone, Copy, Debug, PartialEq, EnumString)]
//! #[strum(serialize_all = "snake_case")]
//! enum Act {
//!     Push,
//!     Pull,
//! }
//!
//! let text = r#"{
//!     // A door that swings one way.
//!     "initial": "shut",
//!     "states": {
//!         "shut": {"on": {"push": "open"}},
//!         "open": {"on": {"pull": "shut"}},
//!     },
//! }"#;
//! let chart = StateChart::<Door, Act>::parse(text).unwrap();
//! assert_eq!(chart.initial(), Door::Shut);
//! assert_eq!(chart.next(Door::Shut, Act::Push), Some(Door::Open));
//! assert_eq!(chart.next(Door::Shut, Act::Pull), None);
//! ```

mod document;
mod error;

pub use error::ChartError;

use std::str::FromStr;

use document::ChartDocument;
use error::ChartErrorKind;

/// A validated chart with states from the enum `S` and events from the enum `E`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateChart<S, E> {
    initial: S,
    transitions: Vec<Transition<S, E>>,
}

/// One transition of a chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Transition<S, E> {
    from: S,
    event: E,
    to: S,
}

impl<S, E> StateChart<S, E>
where
    S: Copy + PartialEq + FromStr,
    E: Copy + PartialEq + FromStr,
{
    /// Parses and validates a chart.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a chart, when a name is missing from the
    /// enums of states and events, when a target state is not declared, or
    /// when a state cannot be reached from the initial state.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let document = ChartDocument::parse(text)?;
        document.check_targets()?;
        document.check_reachable()?;
        let initial = parse_state(&document.initial)?;
        let mut transitions = Vec::new();
        for (name, state) in &document.states {
            let from = parse_state(name)?;
            for (event, target) in &state.on {
                let event = parse_event(event)?;
                transitions.push(Transition { from, event, to: parse_state(target)? });
            }
        }
        Ok(Self { initial, transitions })
    }

    /// Returns the initial state.
    #[must_use]
    pub const fn initial(&self) -> S {
        self.initial
    }

    /// Returns the state after `event` in state `from`, or `None` if `from` has no transition for
    /// `event`.
    #[must_use]
    pub fn next(&self, from: S, event: E) -> Option<S> {
        let mut transitions = self.transitions.iter();
        transitions
            .find(|transition| transition.from == from && transition.event == event)
            .map(|transition| transition.to)
    }
}

fn parse_state<S: FromStr>(name: &str) -> Result<S, ChartError> {
    name.parse().map_err(|_| ChartErrorKind::UnknownState(name.to_owned()).into())
}

fn parse_event<E: FromStr>(name: &str) -> Result<E, ChartError> {
    name.parse().map_err(|_| ChartErrorKind::UnknownEvent(name.to_owned()).into())
}
