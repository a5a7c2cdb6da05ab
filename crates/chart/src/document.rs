//! A chart as deserialized from its file, before its names are resolved.

use indexmap::{IndexMap, IndexSet};
use jsonc_parser::parse_to_serde_value;
use serde::Deserialize;

use crate::error::{ChartError, ChartErrorKind};

/// A chart as written in its file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ChartDocument {
    pub(crate) initial: String,
    pub(crate) states: IndexMap<String, StateDocument>,
}

/// One state of the file, with its target state for each event.
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

    /// Checks that the initial state and the target of every transition are declared.
    pub(crate) fn check_targets(&self) -> Result<(), ChartError> {
        let targets = self.states.values().flat_map(|state| state.on.values());
        for target in targets.chain([&self.initial]) {
            if !self.states.contains_key(target) {
                return Err(ChartErrorKind::UndeclaredTarget(target.clone()).into());
            }
        }
        Ok(())
    }

    /// Checks that every state can be reached from the initial state.
    pub(crate) fn check_reachable(&self) -> Result<(), ChartError> {
        let mut reached = IndexSet::from([self.initial.as_str()]);
        let mut next_idx = 0;
        while let Some(name) = reached.get_index(next_idx) {
            reached.extend(self.states[*name].on.values().map(String::as_str).collect::<Vec<_>>());
            next_idx += 1;
        }
        for name in self.states.keys() {
            if !reached.contains(name.as_str()) {
                return Err(ChartErrorKind::Unreachable(name.clone()).into());
            }
        }
        Ok(())
    }
}
