//! A deployment's platform and backend servers start, and the initial state in
//! the platform parses as the validated types that nodes use.

use std::path::{Path, PathBuf};

use carobstep_bench::{
    Deployment, DeploymentOptions, HttpCall, ScenarioName, ScenarioPlan, ServerReport,
};
use carobstep_config::{
    ConfigDocument, ConfigTopology, ConfigVersion, IndexManifest, ManifestDocument, ServerState,
};
use serde_json::json;

async fn start(name: &str, scenario: ScenarioName) -> Deployment {
    let bin_dir = Path::new(env!("CARGO_BIN_EXE_carobstep-bench")).parent().unwrap();
    let run_dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let options = DeploymentOptions::new(bin_dir, &run_dir);
    Deployment::start_without_nodes(ScenarioPlan::from(scenario), options).await.unwrap()
}

async fn read(deployment: &Deployment, path: &str) -> serde_json::Value {
    deployment.client.call_json(deployment.platform, &HttpCall::get(path)).await.unwrap()
}

#[tokio::test]
async fn initial_configurations_and_manifests_are_valid() {
    for scenario in [ScenarioName::Demo, ScenarioName::Perth, ScenarioName::Ireland] {
        let deployment = start(&format!("seed-{scenario}"), scenario).await;
        let record = read(&deployment, "/objects/config/current").await;
        let document: ConfigDocument = serde_json::from_value(record["document"].clone()).unwrap();
        let topology = ConfigTopology::try_from((ConfigVersion(1), &document)).unwrap();
        assert_eq!(topology.servers().count(), deployment.servers.len());
        assert!(topology.servers().all(|(_, server)| server.state == ServerState::Active));
        let path = format!("/objects/manifest/{}", deployment.plan.index);
        let manifest: ManifestDocument =
            serde_json::from_value(read(&deployment, &path).await).unwrap();
        let manifest = IndexManifest::try_from((&topology, &manifest)).unwrap();
        assert_eq!(manifest.newest().shards.len(), deployment.plan.searched_services().count());
        let vms = read(&deployment, "/vms").await;
        let listed = vms["vms"].as_array().unwrap().len();
        assert_eq!(listed, deployment.servers.len() + deployment.nodes.len());
    }
}

#[tokio::test]
async fn a_submission_must_follow_the_version_in_force() {
    let deployment = start("submit", ScenarioName::Demo).await;
    let document = serde_json::to_value(deployment.config_document()).unwrap();
    assert!(deployment.submit_config(3, &document).await.is_err());
    deployment.submit_config(2, &document).await.unwrap();
    assert!(deployment.submit_config(2, &document).await.is_err());
    assert_eq!(read(&deployment, "/objects/config/current").await["version"], 2);
    assert_eq!(read(&deployment, "/objects/history/2").await["version"], 2);
}

#[tokio::test]
async fn reports_contain_the_executions_of_a_backend_server() {
    let deployment = start("report", ScenarioName::Demo).await;
    let server = &deployment.servers[0];
    let call = HttpCall::post("/query", &json!({"payload": 1}))
        .header("x-request-id", "0123456789abcdef0123456789abcdef")
        .header("idempotency-key", "key-1");
    let response = deployment.client.call_json(server.address, &call).await.unwrap();
    assert_eq!(response["echo"], json!({"payload": 1}));
    let report = server.report(&deployment.client).await.unwrap();
    assert_eq!((report.executed, report.executions["key-1"]), (1, 1));
    let summary = server.summary(&deployment.client).await.unwrap();
    assert_eq!(ServerReport { executions: summary.executions.clone(), ..report }, summary);
}
