//! Complete commands against an in-memory platform and in-memory nodes.

use std::sync::Arc;

use carobstep_client::{ClientError, CommandLine, ExitStatus, ReportPrinter, run_command};
use carobstep_store::{ObjectKind, VmRecord, VmRole, VmState};
use serde_json::{Value, json};

use crate::support::{
    CallFault::{self, AnswerLost, NoFault, NotSent, RequestLost},
    EXAMPLE, FakeNodes, FakePlatform, ScratchFile, status,
};

/// Arguments that are appended to every command line.
const PLATFORM_ARGS: [&str; 2] = ["--platform", "127.0.0.1:1"];

async fn run(
    platform: &FakePlatform,
    nodes: &Arc<FakeNodes>,
    args: &[&str],
) -> Result<String, ClientError> {
    let args: Vec<_> = args.iter().chain(&PLATFORM_ARGS).map(|arg| (*arg).to_owned()).collect();
    let CommandLine::Run { format, command, .. } = CommandLine::try_from(&args[..])? else {
        panic!("{args:?} is no command");
    };
    let mut out = Vec::new();
    let mut printer = ReportPrinter::new(format, &mut out);
    run_command(command, platform, nodes, &mut printer).await?;
    Ok(String::from_utf8(out).unwrap())
}

async fn run_without_nodes(platform: &FakePlatform, args: &[&str]) -> Result<String, ClientError> {
    run(platform, &Arc::default(), args).await
}

fn entry_vm(name: &str, state: VmState) -> VmRecord {
    VmRecord {
        name: name.to_owned(),
        zone: "perth-a".to_owned(),
        role: VmRole::Entry,
        state,
        address: "127.0.0.1:9".to_owned(),
    }
}

/// Returns a platform with three nodes: n1 responds, n2 does not, and n3 neither
/// responds nor is in the VM list.
fn fleet() -> (FakePlatform, Arc<FakeNodes>) {
    let platform = FakePlatform::with_example();
    platform.store(ObjectKind::Status, "n1", status("n1", "perth-a", 1));
    platform.store(ObjectKind::Status, "n2", status("n2", "perth-a", 2));
    platform.store(ObjectKind::Status, "n3", status("n3", "perth-b", 3));
    platform.add_vm(entry_vm("n1", VmState::Live));
    platform.add_vm(entry_vm("n2", VmState::Live));
    let nodes = FakeNodes::default();
    nodes.set_response(1, json!({"config_version": 1, "queued": 2, "shed": 0}));
    (platform, Arc::new(nodes))
}

const MERGE: &str = r#"{"services": {"orders": {"deadline_ms": 1500}}} // slower"#;

struct SubmitCase {
    name: &'static str,
    base: &'static str,
    text: &'static str,
    faults: &'static [CallFault],
    expected: Result<&'static str, (ExitStatus, &'static str)>,
}

const SUBMIT_CASES: &[SubmitCase] = &[
    SubmitCase { name: "accepted", base: "1", text: MERGE, faults: &[], expected: Ok("version 2") },
    SubmitCase {
        name: "response-lost",
        base: "1",
        text: MERGE,
        faults: &[NoFault, NoFault, AnswerLost],
        expected: Ok("the patch id was read back"),
    },
    SubmitCase {
        name: "stale",
        base: "7",
        text: MERGE,
        faults: &[],
        expected: Err((
            ExitStatus::Conflict,
            "the patch was built on version 7, version 1 is in force",
        )),
    },
    SubmitCase {
        name: "invalid",
        base: "1",
        text: r#"{"services": {"orders": {"servers": {"orders-a": {"slots": 0}}}}}"#,
        faults: &[],
        expected: Err((
            ExitStatus::Refused,
            "/services/orders/servers/orders-a/slots: 0 is outside 1 to 1024",
        )),
    },
    SubmitCase {
        name: "syntax",
        base: "1",
        text: "{\n,}",
        faults: &[],
        expected: Err((ExitStatus::Refused, "patch text: line 2 column 1")),
    },
    SubmitCase {
        name: "down",
        base: "1",
        text: MERGE,
        faults: &[NotSent; 9],
        expected: Err((ExitStatus::Unreachable, "nothing changed")),
    },
    SubmitCase {
        name: "unknown",
        base: "1",
        text: MERGE,
        faults: &[
            NoFault,
            NoFault,
            RequestLost,
            NotSent,
            NotSent,
            NotSent,
            NotSent,
            NotSent,
            NotSent,
            NotSent,
            NotSent,
        ],
        expected: Err((ExitStatus::Unknown, "submit it again with --id p1")),
    },
];

#[tokio::test(start_paused = true)]
async fn submit() {
    for case in SUBMIT_CASES {
        let platform = FakePlatform::with_example();
        platform.set_faults(case.faults);
        let file = ScratchFile::new(&format!("submit-{}.jsonc", case.name), case.text);
        let path = file.path();
        let args = ["submit", "--base", case.base, "--merge", path, "--id", "p1"];
        match (run_without_nodes(&platform, &args).await, case.expected) {
            (Ok(text), Ok(part)) => assert!(text.contains(part), "{}: {text}", case.name),
            (Err(error), Err((status, part))) => {
                assert_eq!(error.status(), status, "{}", case.name);
                assert!(error.to_string().contains(part), "{}: {error}", case.name);
                assert_eq!(platform.current_config().version.0, 1, "{}", case.name);
            }
            (found, _) => panic!("{}: {found:?}", case.name),
        }
    }
}

#[tokio::test(start_paused = true)]
async fn conflict_shows_both_versions() {
    let platform = FakePlatform::with_example();
    let file = ScratchFile::new("conflict.jsonc", MERGE);
    let path = file.path();
    let args = ["submit", "--base", "1", "--merge", path, "--author"];
    run_without_nodes(&platform, &[&args[..], &["ann"]].concat()).await.expect("the first patch");
    let error =
        run_without_nodes(&platform, &[&args[..], &["bob"]].concat()).await.expect_err("conflict");
    let text = error.to_string();
    assert!(text.contains("\nbase:     version 1 of 1970-01-01T00:00:00Z by ops"), "{text}");
    assert!(text.contains("\nin force: version 2 of "), "{text}");
    assert!(text.contains("\n~ /services/orders/deadline_ms: 2000 -> 1500"), "{text}");
    assert_eq!(error.to_value()["details"], json!({"base": 1, "in_force": 2}));
    assert_eq!(error.to_value()["exit_code"], 3);
}

#[tokio::test]
async fn show_diff_and_history() {
    let platform = FakePlatform::with_example();
    let file = ScratchFile::new("versions.jsonc", r#"{"indexes": {"garments": null}}"#);
    let path = file.path();
    let submit = ["submit", "--base", "1", "--merge", path, "--id", "p2", "--author", "ann"];
    run_without_nodes(&platform, &submit).await.expect("the patch");

    let shown = run_without_nodes(&platform, &["show"]).await.unwrap();
    assert!(shown.starts_with("// version 2 of "), "{shown}");
    let shown = run_without_nodes(&platform, &["show", "--at", "1", "--json"]).await.unwrap();
    let shown: Value = serde_json::from_str(&shown).unwrap();
    assert_eq!(shown["document"]["indexes"], json!({"garments": {"deadline_ms": 170}}));
    let missing =
        run_without_nodes(&platform, &["show", "--at", "9"]).await.expect_err("no version 9");
    assert_eq!(missing.status(), ExitStatus::NotFound);
    assert_eq!(missing.to_string(), "version 9 does not exist; version 2 is in force");

    let diff = run_without_nodes(&platform, &["diff", "1", "2"]).await.unwrap();
    assert!(diff.ends_with("- /indexes/garments: {\"deadline_ms\":170}\n"), "{diff}");
    let diff = run_without_nodes(&platform, &["diff", "2", "2"]).await.unwrap();
    assert!(diff.ends_with("no difference\n"), "{diff}");

    let history = run_without_nodes(&platform, &["history", "--json"]).await.unwrap();
    let history: Value = serde_json::from_str(&history).unwrap();
    assert_eq!(history[0]["patch_id"], "p2");
    assert_eq!(history[1]["patch_id"], "first");
    let history = run_without_nodes(&platform, &["history", "--count", "1"]).await.unwrap();
    assert_eq!(history.lines().count(), 2, "{history}");
}

#[tokio::test]
async fn nodes_shows_presence_and_version() {
    let (platform, nodes) = fleet();
    let text = run(&platform, &nodes, &["nodes"]).await.unwrap();
    let expected = "\
NODE  ZONE     STATE      CONFIG  OPERATORS    NOTE
n1    perth-a  answering  1       127.0.0.1:1  -
n2    perth-a  silent     -       127.0.0.1:2  silent
n3    perth-b  gone       -       127.0.0.1:3  silent
";
    assert_eq!(text, expected);
}

#[tokio::test]
async fn zones_grants_servers_and_counters() {
    let (platform, nodes) = fleet();
    let grant = |state| json!({"holder": "n1", "incarnation": 4, "epoch": 9, "state": state});
    platform.store(ObjectKind::Grant, "orders-a", grant("held"));
    platform.store(ObjectKind::Grant, "orders-b", grant("released"));
    let zones = run(&platform, &nodes, &["zones"]).await.unwrap();
    let expected = "\
ZONE     NODES  ANSWERING  SERVERS  SLOTS  CONNECTIONS
perth-a  2      1          2        4      125
perth-b  0      0          2        4      125
";
    assert_eq!(zones, expected);
    let grants = run(&platform, &nodes, &["grants"]).await.unwrap();
    let expected = "\
SERVER    HOLDER  STATE     EPOCH  INCARNATION
orders-a  n1      held      9      4
orders-b  n1      released  9      4
";
    assert_eq!(grants, expected);
    let servers = run(&platform, &nodes, &["servers", "--json"]).await.unwrap();
    let servers: Value = serde_json::from_str(&servers).unwrap();
    assert_eq!(servers[2]["server"], "orders-a");
    assert_eq!(servers[2]["holder"], "n1");
    assert_eq!(servers[3]["holder"], Value::Null);
    assert_eq!(servers[3]["state"], "draining");
    let counters = run(&platform, &nodes, &["counters"]).await.unwrap();
    assert!(counters.contains("\nqueued          2\n"), "{counters}");
    assert!(counters.ends_with("\n1 nodes answered; no answer from n2, n3\n"), "{counters}");
    let error = run(&platform, &nodes, &["counters", "--node", "n9"]).await.expect_err("no n9");
    assert_eq!(error.status(), ExitStatus::NotFound);
}

#[tokio::test(start_paused = true)]
async fn follow_waits_for_every_live_node() {
    let (platform, nodes) = fleet();
    let args = ["follow", "--timeout", "3", "--json"];
    let error = run(&platform, &nodes, &args).await.expect_err("n2 is silent");
    assert_eq!(error.status(), ExitStatus::Timeout);
    assert_eq!(error.to_string(), "version 1 is in force on 1 of 2 nodes after 3 s");
    assert_eq!(nodes.query_count(1), 1, "a node that has the version is not queried again");
    assert!(nodes.query_count(2) > 3);

    nodes.set_response(2, json!({"config_version": 1}));
    let text = run(&platform, &nodes, &args).await.unwrap();
    let last: Value = serde_json::from_str(text.lines().last().unwrap()).unwrap();
    assert_eq!((&last["done"], &last["reached"]), (&json!(true), &json!(2)));

    let args = ["follow", "--at", "2", "--timeout", "1"];
    let error = run(&platform, &nodes, &args).await.expect_err("no node has version 2");
    assert_eq!(error.to_string(), "version 2 is in force on 0 of 2 nodes after 1 s");
}

#[tokio::test]
async fn init_does_not_restart_version_numbers() {
    let file = ScratchFile::new("again.jsonc", EXAMPLE);
    let platform = FakePlatform::default();
    let stored = serde_json::to_value(FakePlatform::with_example().current_config()).unwrap();
    platform.store(ObjectKind::History, "1", stored);
    let error =
        run_without_nodes(&platform, &["init", file.path()]).await.expect_err("it has a history");
    assert_eq!(error.status(), ExitStatus::Conflict);
    assert_eq!(platform.call_count(), 1);
}

#[tokio::test(start_paused = true)]
async fn init_stores_once() {
    let file = ScratchFile::new("init.jsonc", EXAMPLE);
    let path = file.path();
    for fault in [NoFault, AnswerLost, RequestLost, NotSent] {
        let platform = FakePlatform::default();
        platform.set_faults(&[NoFault, fault]);
        run_without_nodes(&platform, &["init", path, "--id", "i1"]).await.expect("stored");
        assert_eq!(platform.current_config().patch_id, "i1");
        assert_eq!(platform.history_record(1), Some(platform.current_config()));
        let error = run_without_nodes(&platform, &["init", path]).await.expect_err("it exists");
        assert_eq!(error.status(), ExitStatus::Conflict);
    }
}

#[tokio::test(start_paused = true)]
async fn prune_keeps_the_newest() {
    let platform = FakePlatform::with_example();
    let mut record = platform.current_config();
    for _ in 0..149 {
        record.version = record.version.next();
        platform.commit(&record);
    }
    let prune = ["prune", "--keep", "120"];
    // Pruning is interrupted at the fifth removal; the next run continues there.
    let mut faults = vec![NoFault; 1 + 8 + 4 * 2];
    faults.extend([AnswerLost, NotSent, NotSent, NotSent, NotSent, NotSent]);
    faults.extend([NotSent; 3]);
    platform.set_faults(&faults);
    let error = run_without_nodes(&platform, &prune).await.expect_err("the platform is down");
    assert_eq!(error.status(), ExitStatus::Unreachable);
    platform.set_faults(&[]);
    let report = run_without_nodes(&platform, &prune).await.unwrap();
    assert!(report.ends_with("; versions 31 to 150 are left\n"), "{report}");
    assert_eq!(platform.history_record(30), None);
    assert!((31..=150).all(|version| platform.history_record(version).is_some()));
    let report = run_without_nodes(&platform, &prune).await.unwrap();
    assert_eq!(report, "removed 0 versions; versions 31 to 150 are left\n");
}

struct PublishCase {
    name: &'static str,
    text: &'static str,
    expected: Result<&'static str, (ExitStatus, &'static str)>,
}

const PUBLISH_CASES: &[PublishCase] = &[
    PublishCase {
        name: "accepted",
        text: r#"{"index": "garments", "snapshots": [
            {"number": 7, "shards": {"s0": "fitting-room-01"}}]}"#,
        expected: Ok("published: index garments, newest snapshot 7\n"),
    },
    PublishCase {
        name: "older",
        text: r#"{"index": "garments", "snapshots": [
            {"number": 4, "shards": {"s0": "fitting-room-01"}}]}"#,
        expected: Err((
            ExitStatus::Conflict,
            "newest snapshot 4 is older than the published 5; nothing changed",
        )),
    },
    PublishCase {
        name: "unknown-service",
        text: r#"{"index": "garments", "snapshots": [{"number": 7, "shards": {"s0": "x"}}]}"#,
        expected: Err((
            ExitStatus::Refused,
            "manifest refused, nothing changed: shard s0 of index garments names service \"x\", which does not exist in configuration 1",
        )),
    },
    PublishCase {
        name: "other-index",
        text: r#"{"index": "plans", "snapshots": []}"#,
        expected: Err((
            ExitStatus::Refused,
            "manifest refused, nothing changed: it belongs to index plans, not to \"garments\"",
        )),
    },
];

#[tokio::test(start_paused = true)]
async fn publish() {
    let published = json!({"index": "garments", "snapshots": [
        {"number": 5, "shards": {"s0": "fitting-room-01"}}]});
    for case in PUBLISH_CASES {
        let platform = FakePlatform::with_example();
        platform.store(ObjectKind::Manifest, "garments", published.clone());
        platform.set_faults(&[NoFault, NoFault, AnswerLost]);
        let file = ScratchFile::new(&format!("publish-{}.jsonc", case.name), case.text);
        let args = ["publish", "garments", file.path()];
        let found = run_without_nodes(&platform, &args).await;
        let found = found.map_err(|error| (error.status(), error.to_string()));
        let expected = case.expected.map(str::to_owned);
        let expected = expected.map_err(|(status, message)| (status, message.to_owned()));
        assert_eq!(found, expected, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn reads_fail_while_platform_is_down() {
    for args in [&["show"][..], &["nodes"], &["grants"], &["follow"], &["counters"]] {
        let platform = FakePlatform::with_example();
        platform.set_faults(&[NotSent]);
        let error = run_without_nodes(&platform, args).await.expect_err("the platform is down");
        assert_eq!(error.status(), ExitStatus::Unreachable, "{args:?}");
    }
}
