//! The raw form of a chart.

use indexmap::{IndexMap, IndexSet};
use jsonc_parser::parse_to_serde_value;
use serde::Deserialize;

use crate::error::{ChartError, ChartErrorKind};

/// A chart as its file writes it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ChartDocument {
    pub(crate) initial: String,
    pub(crate) states: IndexMap<String, StateDocument>,
}

/// One state of the file: target state by event.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct StateDocument {
    #[serde(default)]
    pub(crate) on: IndexMap<String, String>,
}

impl ChartDocument {
    pub(crate) fn parse(text: &str) -> Result<Self, ChartError> {
        parse_to_serde_value(text, &Default::default())
            .map_err(|error| ChartErrorKind::Malformed(error.to_string()).into())
    }

    /// Checks that every arrow, and the initial one, ends in a declared state.
    pub(crate) fn check_targets(&self) -> Result<(), ChartError> {
        let arrows = self.states.values().flat_map(|state| state.on.values());
        for target in arrows.chain([&self.initial]) {
            if !self.states.contains_key(target) {
                return Err(ChartErrorKind::UndeclaredTarget(target.clone()).into());
            }
        }
        Ok(())
    }

    /// Checks that a path of events leads to every state.
    pub(crate) fn check_reachable(&self) -> Result<(), ChartError> {
        let mut reached = IndexSet::from([self.initial.as_str()]);
        let mut position = 0;
        while let Some(name) = reached.get_index(position) {
            reached.extend(self.states[*name].on.values().map(String::as_str).collect::<Vec<_>>());
            position += 1;
        }
        for name in self.states.keys() {
            if !reached.contains(name.as_str()) {
                return Err(ChartErrorKind::Unreachable(name.clone()).into());
            }
        }
        Ok(())
    }
}
