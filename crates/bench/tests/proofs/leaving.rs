//! A backend server that leaves gets no new work after three seconds.

use serde_json::json;

use crate::support::{ProofRun, pause};

/// Longest time from the first sign to the last new request.
const QUIET_AFTER_MS: u64 = 3_000;

/// How the deployment learns that a backend server leaves.
#[derive(Clone, Copy, Debug)]
enum LeaveSign {
    /// The server refuses new work while its health endpoint says healthy.
    Refusal,
    /// The platform lists its VM as leaving.
    VmList,
    /// An operator's patch declares it as draining.
    Patch,
}

const SIGNS: [LeaveSign; 3] = [LeaveSign::Refusal, LeaveSign::VmList, LeaveSign::Patch];

async fn give(run: &ProofRun, position: usize, sign: LeaveSign) {
    let deployment = &run.deployment;
    let server = &deployment.servers[position];
    match sign {
        LeaveSign::Refusal => {
            let faults = json!({"state": "draining", "misleading_health": true});
            server.faults(&deployment.client, &faults).await.unwrap();
        }
        LeaveSign::VmList => {
            let address = server.address;
            let vm = deployment.list_vm(&server.name, server.zone, "backend", "leaving", address);
            vm.await.unwrap();
        }
        LeaveSign::Patch => {
            let mut document = serde_json::to_value(deployment.document()).unwrap();
            let declared = &mut document["services"][&server.service]["servers"][&server.name];
            declared["state"] = json!("draining");
            deployment.submit(2, &document).await.unwrap();
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn servers_get_no_new_work_after_three_seconds() {
    for (position, sign) in SIGNS.into_iter().enumerate() {
        println!("sign {sign:?}");
        let run = ProofRun::start(&format!("leaving-{sign:?}")).await;
        let lag = json!({"vm_lag_ms": 1_000});
        run.deployment.platform_faults(&lag).await.unwrap();
        let load = run.load(60.0, 5.0, 10);
        pause(2_000).await;
        give(&run, position, sign).await;
        // The list lags by a second; the sign counts from when it can be seen.
        pause(QUIET_AFTER_MS + 1_000).await;
        let server = &run.deployment.servers[position];
        let before = server.summary(&run.deployment.client).await.unwrap();
        let samples = load.await.unwrap();
        let after = server.summary(&run.deployment.client).await.unwrap();
        assert!(before.executed > 0, "{sign:?}: the server was never used");
        assert_eq!(after.executed, before.executed, "{sign:?}");
        assert_eq!(after.draining, before.draining, "{sign:?}");
        let (searches, _) = run.require_sound(&samples).await;
        assert_eq!(searches.answered, searches.sent, "{sign:?}");
    }
}
