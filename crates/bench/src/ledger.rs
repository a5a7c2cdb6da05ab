//! Executions that the backend servers recorded, compared with what callers
//! were told.

use indexmap::IndexMap;
use serde::Serialize;

use crate::{
    answer::CallerView,
    deployment::Deployment,
    error::BenchError,
    load::{LoadSample, SampleKind},
};

/// Executions by idempotency key or request id, summed over the backend
/// servers of a service.
#[derive(Clone, Debug, Default)]
pub struct ExecutionLedger {
    executions: IndexMap<String, u64>,
}

/// Contradictions between executions and answers; all zero when none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LedgerFaults {
    /// Keys that were executed more than once.
    pub repeated: u64,
    /// Requests refused as not run that were executed.
    pub not_run_but_executed: u64,
    /// Requests answered as run that were not executed.
    pub ran_but_not_executed: u64,
}

impl FromIterator<(String, u64)> for ExecutionLedger {
    fn from_iter<T: IntoIterator<Item = (String, u64)>>(executions: T) -> Self {
        let mut ledger = Self::default();
        for (key, count) in executions {
            *ledger.executions.entry(key).or_default() += count;
        }
        ledger
    }
}

impl ExecutionLedger {
    /// Reads the executions of one service's backend servers.
    ///
    /// # Errors
    ///
    /// Fails when a backend server does not answer.
    pub async fn read(deployment: &Deployment, service: &str) -> Result<Self, BenchError> {
        let mut executions = Vec::new();
        for server in &deployment.servers {
            if server.service != service {
                continue;
            }
            executions.extend(server.report(&deployment.client).await?.executions);
        }
        Ok(executions.into_iter().collect())
    }

    /// Executions under one key.
    #[must_use]
    pub fn executions(&self, key: &str) -> u64 {
        self.executions.get(key).copied().unwrap_or(0)
    }

    /// Compares the executions with the callers' views of the orders.
    ///
    /// A key whose samples differ, as resends do, counts as run when any of
    /// them says so, and as not run when all of them say so.
    #[must_use]
    pub fn compare(&self, samples: &[LoadSample]) -> LedgerFaults {
        let mut views: IndexMap<&str, Vec<&CallerView>> = IndexMap::new();
        for sample in samples {
            let (SampleKind::Order, Some(key)) = (sample.kind, &sample.key) else { continue };
            let views = views.entry(key).or_default();
            views.push(&sample.view);
            views.extend(&sample.later);
        }
        let repeated = self.executions.values().filter(|count| **count > 1).count() as u64;
        let mut faults = LedgerFaults { repeated, ..LedgerFaults::default() };
        for (key, views) in views {
            let executed = self.executions(key) > 0;
            let ran = views.iter().any(|view| matches!(view, CallerView::Ran { .. }));
            let refused = views.iter().all(|view| matches!(view, CallerView::NotRun { .. }));
            faults.not_run_but_executed += u64::from(refused && executed);
            faults.ran_but_not_executed += u64::from(ran && !executed);
        }
        faults
    }
}
