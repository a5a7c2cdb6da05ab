//! Compares the executions that backend servers recorded with the outcomes that
//! callers received.

use indexmap::IndexMap;
use serde::Serialize;

use crate::{
    answer::RequestOutcome,
    deployment::Deployment,
    error::BenchError,
    load::{LoadSample, SampleKind},
};

/// Number of executions by idempotency key or request id, summed over the
/// backend servers of a service.
#[derive(Clone, Debug, Default)]
pub struct ExecutionLedger {
    executions: IndexMap<String, u64>,
}

/// Numbers of contradictions between executions and the callers' outcomes; all
/// are zero when there are none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LedgerMismatches {
    /// Keys that were executed more than once.
    pub repeated: u64,
    /// Requests that were refused as not run although they were executed.
    pub not_run_but_executed: u64,
    /// Requests that were reported as run although they were not executed.
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
    /// Fails when a backend server does not respond.
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

    /// Returns the number of executions of one key.
    #[must_use]
    pub fn executions(&self, key: &str) -> u64 {
        self.executions.get(key).copied().unwrap_or(0)
    }

    /// Compares the executions with the outcomes of the orders.
    ///
    /// Retries can give one key several outcomes: the key counts as run when any
    /// of them says so, and as not run when all of them say so.
    #[must_use]
    pub fn compare(&self, samples: &[LoadSample]) -> LedgerMismatches {
        let mut outcomes: IndexMap<&str, Vec<&RequestOutcome>> = IndexMap::new();
        for sample in samples {
            let (SampleKind::Order, Some(key)) = (sample.kind, &sample.key) else { continue };
            let outcomes = outcomes.entry(key).or_default();
            outcomes.push(&sample.outcome);
            outcomes.extend(&sample.retry_outcome);
        }
        let repeated = self.executions.values().filter(|count| **count > 1).count() as u64;
        let mut mismatches = LedgerMismatches { repeated, ..LedgerMismatches::default() };
        for (key, outcomes) in outcomes {
            let executed = self.executions(key) > 0;
            let ran = outcomes.iter().any(|outcome| matches!(outcome, RequestOutcome::Ran { .. }));
            let refused =
                outcomes.iter().all(|outcome| matches!(outcome, RequestOutcome::NotRun { .. }));
            mismatches.not_run_but_executed += u64::from(refused && executed);
            mismatches.ran_but_not_executed += u64::from(ran && !executed);
        }
        mismatches
    }
}
