//! Tests the HTTP client of the platform against the stand-in, under each fault.

use std::time::Duration;

use carobstep_config::ZoneName;
use carobstep_standin::{PlatformFaultsPatch, PlatformSettings, PlatformStandin, SeedObject};
use carobstep_store::{
    HttpStore, ObjectCall, ObjectKind, ObjectReply, ObjectStore, ObjectVersion, StoreError,
    StoreErrorKind, StoredObject, VmRecord, VmRole, VmState, WatchEvent, WatchStream,
    WriteCondition,
};
use serde_json::{Value, json};
use tokio::time::sleep;

const KIND: ObjectKind = ObjectKind::Lease;
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

fn vm(name: &str, state: VmState) -> VmRecord {
    VmRecord {
        name: name.to_owned(),
        zone: "zone-a".to_owned(),
        role: VmRole::Entry,
        state,
        address: "127.0.0.1:1".to_owned(),
    }
}

async fn start() -> PlatformStandin {
    let seed = SeedObject { kind: KIND, name: "seed".to_owned(), value: json!({"n": 0}) };
    let settings = PlatformSettings {
        vms: vec![vm("n1", VmState::Live)],
        objects: vec![seed],
        watch_history: 4,
        ..PlatformSettings::default()
    };
    PlatformStandin::start(settings).await.unwrap()
}

fn client(platform: &PlatformStandin, zone: &str) -> HttpStore {
    HttpStore::builder(platform.address())
        .zone(ZoneName::try_from(zone).unwrap())
        .timeout(CALL_TIMEOUT)
        .build()
}

fn get(name: &str) -> ObjectCall {
    ObjectCall::Get { kind: KIND, name: name.to_owned() }
}

fn put(name: &str, condition: WriteCondition, n: u64) -> ObjectCall {
    ObjectCall::Put { kind: KIND, name: name.to_owned(), condition, value: json!({"n": n}) }
}

fn delete(name: &str, at: u64) -> ObjectCall {
    ObjectCall::Delete { kind: KIND, name: name.to_owned(), at: ObjectVersion(at) }
}

fn at(version: u64) -> WriteCondition {
    WriteCondition::At(ObjectVersion(version))
}

fn stored(name: &str, version: u64, n: u64) -> StoredObject {
    StoredObject { name: name.to_owned(), version: ObjectVersion(version), value: json!({"n": n}) }
}

fn event(name: &str, version: u64, n: Option<u64>) -> WatchEvent {
    let value: Option<Value> = n.map(|n| json!({"n": n}));
    WatchEvent { name: name.to_owned(), version: ObjectVersion(version), value }
}

/// Returns the error kind of a call that is expected to fail.
async fn error_kind(store: &HttpStore, call: ObjectCall) -> StoreErrorKind {
    store.call(call).await.unwrap_err().kind()
}

async fn next_event(watch: &mut WatchStream) -> Result<WatchEvent, StoreError> {
    watch.next().await.unwrap()
}

#[tokio::test]
async fn calls_respect_versions_and_conditions() {
    let platform = start().await;
    let store = client(&platform, "zone-a");
    let steps = [
        (get("seed"), ObjectReply::Found(stored("seed", 1, 0))),
        (get("a"), ObjectReply::Missing),
        (put("a", at(1), 1), ObjectReply::ConditionFailed),
        (put("a", WriteCondition::Absent, 1), ObjectReply::Written(ObjectVersion(2))),
        (put("a", WriteCondition::Absent, 2), ObjectReply::ConditionFailed),
        (put("a", at(2), 3), ObjectReply::Written(ObjectVersion(3))),
        (put("a", at(2), 4), ObjectReply::ConditionFailed),
        (get("a"), ObjectReply::Found(stored("a", 3, 3))),
        (
            ObjectCall::List { kind: KIND },
            ObjectReply::Listed {
                version: ObjectVersion(3),
                items: vec![stored("seed", 1, 0), stored("a", 3, 3)],
            },
        ),
        (delete("a", 2), ObjectReply::ConditionFailed),
        (delete("a", 3), ObjectReply::Deleted),
        (delete("a", 3), ObjectReply::ConditionFailed),
        (get("a"), ObjectReply::Missing),
        (put("a", WriteCondition::Absent, 5), ObjectReply::Written(ObjectVersion(5))),
        (ObjectCall::ListVms, ObjectReply::Vms(vec![vm("n1", VmState::Live)])),
    ];
    for (call, expected) in steps {
        assert_eq!(store.call(call.clone()).await, Ok(expected), "{call:?}");
    }
    let report = platform.report();
    assert_eq!(report.total, 15);
    assert_eq!(report.calls["get"]["lease"], 4);
    assert_eq!(report.calls["put"]["lease"], 6);
    assert_eq!(report.calls["delete"]["lease"], 3);
    assert_eq!(report.calls["list"]["lease"], 1);
    assert_eq!(report.calls["vms"]["vms"], 1);
    assert_eq!(report.conflicts, 5);
    assert_eq!(report.zones["zone-a"], 15);
}

#[tokio::test]
async fn a_write_with_a_lost_response_takes_effect() {
    let platform = start().await;
    let store = client(&platform, "zone-a");
    platform.apply_faults(PlatformFaultsPatch { lose_answers: Some(2), ..Default::default() });
    assert_eq!(
        error_kind(&store, put("a", WriteCondition::Absent, 1)).await,
        StoreErrorKind::AnswerLost
    );
    assert_eq!(store.call(get("a")).await, Ok(ObjectReply::Found(stored("a", 2, 1))));
    assert_eq!(error_kind(&store, delete("a", 2)).await, StoreErrorKind::AnswerLost);
    assert_eq!(store.call(get("a")).await, Ok(ObjectReply::Missing));
    let written = store.call(put("a", WriteCondition::Absent, 2)).await;
    assert_eq!(written, Ok(ObjectReply::Written(ObjectVersion(4))));
}

#[tokio::test]
async fn a_delayed_write_takes_effect_only_if_its_condition_still_holds() {
    let platform = start().await;
    let store = client(&platform, "zone-a");
    platform
        .apply_faults(PlatformFaultsPatch { delay_writes_ms: Some(1_500), ..Default::default() });
    assert_eq!(error_kind(&store, put("seed", at(1), 7)).await, StoreErrorKind::AnswerLost);
    assert_eq!(
        error_kind(&store, put("b", WriteCondition::Absent, 8)).await,
        StoreErrorKind::AnswerLost
    );
    platform.apply_faults(PlatformFaultsPatch { delay_writes_ms: Some(0), ..Default::default() });
    assert_eq!(store.call(get("seed")).await, Ok(ObjectReply::Found(stored("seed", 1, 0))));
    let overtaking = store.call(put("seed", at(1), 9)).await;
    assert_eq!(overtaking, Ok(ObjectReply::Written(ObjectVersion(2))));
    assert_eq!(store.call(get("b")).await, Ok(ObjectReply::Missing));
    while platform.report().conflicts == 0 || platform.object(KIND, "b").is_none() {
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(store.call(get("seed")).await, Ok(ObjectReply::Found(stored("seed", 2, 9))));
    assert_eq!(store.call(get("b")).await, Ok(ObjectReply::Found(stored("b", 3, 8))));
}

#[tokio::test]
async fn stale_reads_do_not_affect_write_conditions() {
    let platform = start().await;
    let store = client(&platform, "zone-a");
    platform.apply_faults(PlatformFaultsPatch { stale_reads: Some(true), ..Default::default() });
    let written = store.call(put("seed", at(1), 5)).await;
    assert_eq!(written, Ok(ObjectReply::Written(ObjectVersion(2))));
    assert_eq!(store.call(get("seed")).await, Ok(ObjectReply::Found(stored("seed", 1, 0))));
    assert_eq!(store.call(put("seed", at(1), 6)).await, Ok(ObjectReply::ConditionFailed));
    platform.apply_faults(PlatformFaultsPatch { stale_reads: Some(false), ..Default::default() });
    assert_eq!(store.call(get("seed")).await, Ok(ObjectReply::Found(stored("seed", 2, 5))));
}

#[tokio::test]
async fn watches_and_calls_fail_until_an_outage_ends() {
    let platform = start().await;
    let store = client(&platform, "zone-a");
    let mut watch = store.watch(KIND, ObjectVersion(1)).await.unwrap();
    store.call(get("seed")).await.unwrap();
    platform.apply_faults(PlatformFaultsPatch { down: Some(true), ..Default::default() });
    assert_eq!(next_event(&mut watch).await.unwrap_err().kind(), StoreErrorKind::AnswerLost);
    assert_eq!(watch.next().await, None);
    for _ in 0..3 {
        // Whether any byte was sent depends on which side detects the dropped connection first.
        let kind = error_kind(&store, put("seed", at(1), 1)).await;
        assert!(matches!(kind, StoreErrorKind::AnswerLost | StoreErrorKind::NotSent), "{kind}");
    }
    platform.apply_faults(PlatformFaultsPatch { down: Some(false), ..Default::default() });
    assert_eq!(store.call(get("seed")).await, Ok(ObjectReply::Found(stored("seed", 1, 0))));
}

#[tokio::test]
async fn a_silent_platform_is_detected() {
    let platform = start().await;
    let store = client(&platform, "zone-a");
    let mut watch = store.watch(KIND, ObjectVersion(1)).await.unwrap();
    platform.apply_faults(PlatformFaultsPatch { silent: Some(true), ..Default::default() });
    assert_eq!(error_kind(&store, get("seed")).await, StoreErrorKind::AnswerLost);
    let error = next_event(&mut watch).await.unwrap_err();
    assert!(error.to_string().contains("no data for"), "{error}");
    platform.apply_faults(PlatformFaultsPatch { silent: Some(false), ..Default::default() });
    assert_eq!(store.call(get("seed")).await, Ok(ObjectReply::Found(stored("seed", 1, 0))));
}

#[tokio::test]
async fn a_slow_platform_responds_after_its_delay_or_times_out() {
    let platform = start().await;
    let store = client(&platform, "zone-a");
    platform.apply_faults(PlatformFaultsPatch { delay_ms: Some(50), ..Default::default() });
    assert_eq!(store.call(get("seed")).await, Ok(ObjectReply::Found(stored("seed", 1, 0))));
    platform.apply_faults(PlatformFaultsPatch { delay_ms: Some(60_000), ..Default::default() });
    assert_eq!(error_kind(&store, get("seed")).await, StoreErrorKind::AnswerLost);
}

#[tokio::test]
async fn only_a_cut_zone_loses_its_connections() {
    let platform = start().await;
    let connected = client(&platform, "zone-a");
    let partitioned = client(&platform, "zone-b");
    let mut connected_watch = connected.watch(KIND, ObjectVersion(1)).await.unwrap();
    let mut partitioned_watch = partitioned.watch(KIND, ObjectVersion(1)).await.unwrap();
    let zones = Some(vec!["zone-b".to_owned()]);
    platform.apply_faults(PlatformFaultsPatch { cut_zones: zones, ..Default::default() });
    assert!(next_event(&mut partitioned_watch).await.is_err());
    assert!(partitioned.call(get("seed")).await.is_err());
    let written = connected.call(put("seed", at(1), 3)).await;
    assert_eq!(written, Ok(ObjectReply::Written(ObjectVersion(2))));
    assert_eq!(next_event(&mut connected_watch).await, Ok(event("seed", 2, Some(3))));
    let zones = Some(Vec::new());
    platform.apply_faults(PlatformFaultsPatch { cut_zones: zones, ..Default::default() });
    assert_eq!(partitioned.call(get("seed")).await, Ok(ObjectReply::Found(stored("seed", 2, 3))));
}

#[tokio::test]
async fn only_a_silent_zone_gets_no_responses() {
    let platform = start().await;
    let connected = client(&platform, "zone-a");
    let partitioned = client(&platform, "zone-b");
    let mut connected_watch = connected.watch(KIND, ObjectVersion(1)).await.unwrap();
    let mut partitioned_watch = partitioned.watch(KIND, ObjectVersion(1)).await.unwrap();
    let zones = Some(vec!["zone-b".to_owned()]);
    platform.apply_faults(PlatformFaultsPatch { silent_zones: zones, ..Default::default() });
    connected.call(put("seed", at(1), 3)).await.unwrap();
    assert_eq!(next_event(&mut connected_watch).await, Ok(event("seed", 2, Some(3))));
    assert_eq!(error_kind(&partitioned, put("seed", at(2), 4)).await, StoreErrorKind::AnswerLost);
    let error = next_event(&mut partitioned_watch).await.unwrap_err();
    assert!(error.to_string().contains("no data for"), "{error}");
    assert_eq!(connected.call(get("seed")).await, Ok(ObjectReply::Found(stored("seed", 2, 3))));
}

#[tokio::test]
async fn watches_deliver_each_change_of_their_kind_once() {
    let platform = start().await;
    let store = client(&platform, "zone-a");
    let mut watch = store.watch(KIND, ObjectVersion(0)).await.unwrap();
    store.call(put("a", WriteCondition::Absent, 1)).await.unwrap();
    let other = ObjectCall::Put {
        kind: ObjectKind::Grant,
        name: "g".to_owned(),
        condition: WriteCondition::Absent,
        value: json!(null),
    };
    store.call(other).await.unwrap();
    store.call(delete("a", 2)).await.unwrap();
    let expected = [event("seed", 1, Some(0)), event("a", 2, Some(1)), event("a", 4, None)];
    for event in expected {
        assert_eq!(next_event(&mut watch).await, Ok(event));
    }
    assert_eq!(platform.report().calls["watch"]["lease"], 1);
    assert_eq!(platform.report().open_watches, 1);
}

#[tokio::test]
async fn changes_during_a_short_silence_are_delivered_after_it() {
    let platform = start().await;
    let writer = client(&platform, "zone-a");
    let mut watch = client(&platform, "zone-b").watch(KIND, ObjectVersion(1)).await.unwrap();
    let zones = Some(vec!["zone-b".to_owned()]);
    platform.apply_faults(PlatformFaultsPatch { silent_zones: zones, ..Default::default() });
    writer.call(put("seed", at(1), 3)).await.unwrap();
    let zones = Some(Vec::new());
    platform.apply_faults(PlatformFaultsPatch { silent_zones: zones, ..Default::default() });
    assert_eq!(next_event(&mut watch).await, Ok(event("seed", 2, Some(3))));
}

#[tokio::test]
async fn a_watch_without_changes_outlives_the_silence_timeout() {
    let platform = start().await;
    let store = client(&platform, "zone-a");
    let mut watch = store.watch(KIND, ObjectVersion(1)).await.unwrap();
    sleep(Duration::from_millis(4_000)).await;
    store.call(put("a", WriteCondition::Absent, 1)).await.unwrap();
    assert_eq!(next_event(&mut watch).await, Ok(event("a", 2, Some(1))));
}

#[tokio::test]
async fn a_watch_from_an_evicted_version_is_rejected() {
    let platform = start().await;
    let store = client(&platform, "zone-a");
    for version in 1..=6 {
        store.call(put("seed", at(version), version)).await.unwrap();
    }
    let error = store.watch(KIND, ObjectVersion(2)).await.unwrap_err();
    assert_eq!(error.kind(), StoreErrorKind::VersionGone);
    let mut watch = store.watch(KIND, ObjectVersion(3)).await.unwrap();
    assert_eq!(next_event(&mut watch).await, Ok(event("seed", 4, Some(3))));
}

#[tokio::test]
async fn the_vm_list_lags_by_the_configured_time() {
    let platform = start().await;
    let store = client(&platform, "zone-a");
    platform.apply_faults(PlatformFaultsPatch { vm_lag_ms: Some(60_000), ..Default::default() });
    platform.put_vm(vm("n1", VmState::Leaving));
    platform.put_vm(vm("n2", VmState::Live));
    let old = vec![vm("n1", VmState::Live)];
    assert_eq!(store.call(ObjectCall::ListVms).await, Ok(ObjectReply::Vms(old)));
    platform.apply_faults(PlatformFaultsPatch { vm_lag_ms: Some(0), ..Default::default() });
    let new = vec![vm("n1", VmState::Leaving), vm("n2", VmState::Live)];
    assert_eq!(store.call(ObjectCall::ListVms).await, Ok(ObjectReply::Vms(new)));
    platform.remove_vm("n1");
    let rest = vec![vm("n2", VmState::Live)];
    assert_eq!(store.call(ObjectCall::ListVms).await, Ok(ObjectReply::Vms(rest)));
}

#[tokio::test]
async fn one_of_concurrent_conditional_writes_succeeds() {
    let platform = start().await;
    let mut writers = tokio::task::JoinSet::new();
    for n in 0..16 {
        let store = client(&platform, "zone-a");
        writers.spawn(async move { store.call(put("seed", at(1), n)).await.unwrap() });
    }
    let replies = writers.join_all().await;
    let succeeded =
        replies.iter().filter(|reply| **reply == ObjectReply::Written(ObjectVersion(2)));
    assert_eq!(succeeded.count(), 1, "{replies:?}");
}
