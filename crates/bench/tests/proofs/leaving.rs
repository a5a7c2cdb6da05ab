//! A draining backend server receives no new requests after three seconds.

use serde_json::json;

use crate::support::{ProofRun, pause};

/// Maximum time from the drain signal to the last new request.
const DRAIN_DEADLINE_MS: u64 = 3_000;

/// How the deployment learns that a backend server is draining.
#[derive(Clone, Copy, Debug)]
enum DrainSignal {
    /// The server refuses new requests, while its health endpoint reports healthy.
    Refusal,
    /// The platform lists its VM as leaving.
    VmList,
    /// A configuration change declares it as draining.
    Patch,
}

const DRAIN_SIGNALS: [DrainSignal; 3] =
    [DrainSignal::Refusal, DrainSignal::VmList, DrainSignal::Patch];

async fn send_drain_signal(run: &ProofRun, position: usize, signal: DrainSignal) {
    let deployment = &run.deployment;
    let server = &deployment.servers[position];
    match signal {
        DrainSignal::Refusal => {
            let faults = json!({"state": "draining", "misleading_health": true});
            server.set_faults(&deployment.client, &faults).await.unwrap();
        }
        DrainSignal::VmList => {
            let address = server.address;
            let vm =
                deployment.register_vm(&server.name, server.zone, "backend", "leaving", address);
            vm.await.unwrap();
        }
        DrainSignal::Patch => {
            let mut document = serde_json::to_value(deployment.config_document()).unwrap();
            let declared = &mut document["services"][&server.service]["servers"][&server.name];
            declared["state"] = json!("draining");
            deployment.submit_config(2, &document).await.unwrap();
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn servers_get_no_new_work_after_three_seconds() {
    for (position, signal) in DRAIN_SIGNALS.into_iter().enumerate() {
        println!("drain signal {signal:?}");
        let run = ProofRun::start(&format!("leaving-{signal:?}")).await;
        let lag = json!({"vm_lag_ms": 1_000});
        run.deployment.set_platform_faults(&lag).await.unwrap();
        let load = run.start_load(60.0, 5.0, 10);
        pause(2_000).await;
        send_drain_signal(&run, position, signal).await;
        // The VM list lags by one second; the time counts from when the signal is
        // visible.
        pause(DRAIN_DEADLINE_MS + 1_000).await;
        let server = &run.deployment.servers[position];
        let before = server.summary(&run.deployment.client).await.unwrap();
        let samples = load.await.unwrap();
        let after = server.summary(&run.deployment.client).await.unwrap();
        assert!(before.executed > 0, "{signal:?}: the server was never used");
        assert_eq!(after.executed, before.executed, "{signal:?}");
        assert_eq!(after.draining, before.draining, "{signal:?}");
        let (searches, _) = run.require_valid(&samples).await;
        assert_eq!(searches.answered, searches.sent, "{signal:?}");
    }
}
