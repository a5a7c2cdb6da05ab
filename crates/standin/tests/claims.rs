//! Tests resolved writes and idempotency claims against the platform stand-in, under faults.

use std::{sync::Arc, time::Duration};

use carobstep_config::{NodeName, ServiceName};
use carobstep_standin::{PlatformFaultsPatch, PlatformSettings, PlatformStandin};
use carobstep_store::{
    AttemptId, ClaimOutcome, ClaimRecord, ClaimRequest, ClaimResult, ClaimState, HttpStore,
    MarkedWrite, ObjectCall, ObjectKind, ObjectReply, ObjectStore, ObjectVersion, OwnerStatus,
    RecordedOutcome, ResolvedOutcome, WriteCondition, abandon_claim, acquire_claim, hex_digest,
    record_claim, resolve_write,
};
use serde_json::json;
use tokio::{task::JoinSet, time::Instant};

/// Timeout that is long enough for every call that can succeed.
const LONG_TIMEOUT: Duration = Duration::from_secs(30);
/// Short timeout for calls that can't succeed.
const SHORT_TIMEOUT: Duration = Duration::from_millis(600);

async fn start() -> (PlatformStandin, HttpStore) {
    let platform = PlatformStandin::start(PlatformSettings::default()).await.unwrap();
    let store = HttpStore::builder(platform.address()).timeout(Duration::from_secs(5)).build();
    (platform, store)
}

fn deadline_after(span: Duration) -> Instant {
    Instant::now() + span
}

fn request(number: u128, key: &str, body: &str) -> ClaimRequest {
    ClaimRequest {
        service: ServiceName::try_from("orders").unwrap(),
        key: key.to_owned(),
        body_digest: hex_digest(body.as_bytes()),
        node: NodeName::try_from("n1").unwrap(),
        incarnation: 1,
        attempt: AttemptId(number),
        time_ms: 1_000,
    }
}

fn stored_record(platform: &PlatformStandin, request: &ClaimRequest) -> Option<ClaimRecord> {
    let (_, value) = platform.object(ObjectKind::Claim, &request.object_name())?;
    Some(serde_json::from_value(value).unwrap())
}

fn owner_is_present(_: &ClaimRecord) -> OwnerStatus {
    OwnerStatus::Present
}

#[derive(Clone, Copy)]
enum ExistingObject {
    Absent,
    SameMarker,
    OtherMarker,
}

struct WriteCase {
    name: &'static str,
    lost_responses: u32,
    existing: ExistingObject,
    condition: WriteCondition,
    expected: ResolvedOutcome,
    calls: u64,
}

const WRITE_CASES: &[WriteCase] = &[
    write_case("no fault", 0, ExistingObject::Absent, WriteCondition::Absent, written(1), 1),
    write_case(
        "exists",
        0,
        ExistingObject::OtherMarker,
        WriteCondition::Absent,
        ResolvedOutcome::LostRace,
        1,
    ),
    // The object has the marker of this write, but an earlier write created it.
    write_case(
        "own",
        0,
        ExistingObject::SameMarker,
        WriteCondition::Absent,
        ResolvedOutcome::LostRace,
        1,
    ),
    write_case("response lost", 1, ExistingObject::Absent, WriteCondition::Absent, written(1), 2),
    write_case(
        "replaced",
        1,
        ExistingObject::OtherMarker,
        WriteCondition::At(ObjectVersion(1)),
        written(2),
        2,
    ),
];

const fn written(version: u64) -> ResolvedOutcome {
    ResolvedOutcome::Written(ObjectVersion(version))
}

const fn write_case(
    name: &'static str,
    lost_responses: u32,
    existing: ExistingObject,
    condition: WriteCondition,
    expected: ResolvedOutcome,
    calls: u64,
) -> WriteCase {
    WriteCase { name, lost_responses, existing, condition, expected, calls }
}

#[tokio::test]
async fn a_write_is_resolved_with_few_calls() {
    for case in WRITE_CASES {
        let (platform, store) = start().await;
        let write = |condition, marker: &str| MarkedWrite {
            kind: ObjectKind::Lease,
            name: "n1".to_owned(),
            condition,
            value: json!({"marker": marker}),
            markers: &["/marker"],
        };
        let earlier = match case.existing {
            ExistingObject::Absent => None,
            ExistingObject::SameMarker => Some(write(WriteCondition::Absent, "own")),
            ExistingObject::OtherMarker => Some(write(WriteCondition::Absent, "other")),
        };
        if let Some(earlier) = earlier {
            resolve_write(&store, &earlier, deadline_after(LONG_TIMEOUT)).await;
        }
        let calls_before = platform.report().total;
        let lose_answers = Some(case.lost_responses);
        platform.apply_faults(PlatformFaultsPatch { lose_answers, ..Default::default() });
        let own = write(case.condition, "own");
        let resolved = resolve_write(&store, &own, deadline_after(LONG_TIMEOUT)).await;
        assert_eq!(resolved.outcome, case.expected, "{}", case.name);
        assert_eq!(platform.report().total - calls_before, case.calls, "{}", case.name);
    }
}

#[tokio::test]
async fn a_write_is_unknown_or_not_written_when_the_platform_is_unavailable() {
    let write = MarkedWrite {
        kind: ObjectKind::Lease,
        name: "n1".to_owned(),
        condition: WriteCondition::Absent,
        value: json!({"marker": 1}),
        markers: &["/marker"],
    };
    let (platform, store) = start().await;
    let silent = PlatformFaultsPatch { silent: Some(true), ..Default::default() };
    platform.apply_faults(silent);
    let resolved = resolve_write(&store, &write, deadline_after(SHORT_TIMEOUT)).await;
    assert_eq!(resolved.outcome, ResolvedOutcome::StillUnknown);
    drop(platform);
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let store = HttpStore::builder(closed).build();
    let resolved = resolve_write(&store, &write, deadline_after(SHORT_TIMEOUT)).await;
    assert_eq!(resolved.outcome, ResolvedOutcome::NotWritten);
    assert!(resolved.error.is_some());
}

#[tokio::test]
async fn a_delayed_duplicate_cannot_undo_a_resolved_write() {
    let (platform, store) = start().await;
    let late = PlatformFaultsPatch { delay_writes_ms: Some(1_500), ..Default::default() };
    platform.apply_faults(late);
    let request = request(1, "k", "b");
    let call = ObjectCall::Put {
        kind: ObjectKind::Claim,
        name: request.object_name(),
        condition: WriteCondition::Absent,
        value: json!(request.create_write().record),
    };
    store.call(call).await.unwrap_err();
    platform.apply_faults(PlatformFaultsPatch { delay_writes_ms: Some(0), ..Default::default() });
    let result =
        acquire_claim(&store, &request, owner_is_present, deadline_after(LONG_TIMEOUT)).await;
    assert_eq!(result, ClaimResult::Acquired(ObjectVersion(1)));
    let ran = ClaimOutcome::Ran;
    let result =
        record_claim(&store, &request, ObjectVersion(1), ran, None, deadline_after(LONG_TIMEOUT))
            .await;
    assert_eq!(result, ClaimResult::Recorded);
    while platform.report().conflicts == 0 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(stored_record(&platform, &request).unwrap().state, ClaimState::Done(ran));
}

#[tokio::test]
async fn an_order_takes_two_calls_and_its_resend_gets_the_recorded_response() {
    let (platform, store) = start().await;
    let first = request(1, "k", "b");
    let result =
        acquire_claim(&store, &first, owner_is_present, deadline_after(LONG_TIMEOUT)).await;
    let ClaimResult::Acquired(version) = result else { panic!("{result:?}") };
    let answer = Some("{\"order\":7}".to_owned());
    let ran = ClaimOutcome::Ran;
    record_claim(&store, &first, version, ran, answer.clone(), deadline_after(LONG_TIMEOUT)).await;
    assert_eq!(platform.report().total, 2);
    let resend = request(2, "k", "b");
    let result =
        acquire_claim(&store, &resend, owner_is_present, deadline_after(LONG_TIMEOUT)).await;
    assert_eq!(result, ClaimResult::Replay(RecordedOutcome { outcome: ran, answer }));
    assert_eq!(platform.report().total, 4);
}

struct ResendCase {
    name: &'static str,
    /// Outcome that the first attempt recorded, if any.
    recorded: Option<ClaimOutcome>,
    body: &'static str,
    owner_status: OwnerStatus,
    expected: ClaimResult,
}

const RESEND_CASES: &[ResendCase] = &[
    resend("open", None, "b", OwnerStatus::Present, ClaimResult::InProgress),
    resend("owner gone", None, "b", OwnerStatus::Unavailable, replay(UNKNOWN)),
    resend("abandoned by this node", None, "b", OwnerStatus::Abandoned, acquired(2)),
    resend("other body", None, "c", OwnerStatus::Unavailable, ClaimResult::Mismatch),
    resend("ran", Some(RAN), "b", OwnerStatus::Present, replay(RAN)),
    resend("ran, other body", Some(RAN), "c", OwnerStatus::Present, ClaimResult::Mismatch),
    resend("unknown", Some(UNKNOWN), "b", OwnerStatus::Unavailable, replay(UNKNOWN)),
    resend("not run", Some(ClaimOutcome::NotRun), "b", OwnerStatus::Present, acquired(3)),
];

const RAN: ClaimOutcome = ClaimOutcome::Ran;
const UNKNOWN: ClaimOutcome = ClaimOutcome::Unknown;

const fn resend(
    name: &'static str,
    recorded: Option<ClaimOutcome>,
    body: &'static str,
    owner_status: OwnerStatus,
    expected: ClaimResult,
) -> ResendCase {
    ResendCase { name, recorded, body, owner_status, expected }
}

const fn acquired(version: u64) -> ClaimResult {
    ClaimResult::Acquired(ObjectVersion(version))
}

const fn replay(outcome: ClaimOutcome) -> ClaimResult {
    ClaimResult::Replay(RecordedOutcome { outcome, answer: None })
}

#[tokio::test]
async fn a_resend_depends_on_the_state_of_the_first_attempt() {
    for case in RESEND_CASES {
        let (_platform, store) = start().await;
        let first = request(1, "k", "b");
        acquire_claim(&store, &first, owner_is_present, deadline_after(LONG_TIMEOUT)).await;
        if let Some(outcome) = case.recorded {
            let version = ObjectVersion(1);
            record_claim(&store, &first, version, outcome, None, deadline_after(LONG_TIMEOUT))
                .await;
        }
        let resend = request(2, "k", case.body);
        let result =
            acquire_claim(&store, &resend, |_| case.owner_status, deadline_after(LONG_TIMEOUT))
                .await;
        assert_eq!(result, case.expected, "{}", case.name);
    }
}

#[tokio::test]
async fn the_owner_replaces_an_unknown_outcome_with_the_actual_one() {
    let (platform, store) = start().await;
    let first = request(1, "k", "b");
    acquire_claim(&store, &first, owner_is_present, deadline_after(LONG_TIMEOUT)).await;
    let other = request(2, "k", "b");
    acquire_claim(&store, &other, |_| OwnerStatus::Unavailable, deadline_after(LONG_TIMEOUT)).await;
    let ran = ClaimOutcome::Ran;
    let result =
        record_claim(&store, &first, ObjectVersion(1), ran, None, deadline_after(LONG_TIMEOUT))
            .await;
    assert_eq!(result, ClaimResult::Recorded);
    assert_eq!(stored_record(&platform, &first).unwrap().state, ClaimState::Done(ran));
}

#[tokio::test]
async fn an_abandoned_claim_can_be_acquired_by_another_attempt() {
    let (platform, store) = start().await;
    let first = request(1, "k", "b");
    let silent = PlatformFaultsPatch { silent: Some(true), ..Default::default() };
    platform.apply_faults(silent);
    let result =
        acquire_claim(&store, &first, owner_is_present, deadline_after(SHORT_TIMEOUT)).await;
    assert_eq!(result, ClaimResult::Uncertain);
    platform.apply_faults(PlatformFaultsPatch { silent: Some(false), ..Default::default() });
    let result = abandon_claim(&store, &first, deadline_after(LONG_TIMEOUT)).await;
    assert_eq!(result, ClaimResult::NotOwner, "the claim was never created");
    acquire_claim(&store, &first, owner_is_present, deadline_after(LONG_TIMEOUT)).await;
    assert_eq!(
        abandon_claim(&store, &first, deadline_after(LONG_TIMEOUT)).await,
        ClaimResult::Recorded
    );
    let other = request(2, "k", "b");
    let result =
        acquire_claim(&store, &other, owner_is_present, deadline_after(LONG_TIMEOUT)).await;
    assert!(matches!(result, ClaimResult::Acquired(_)), "{result:?}");
    assert_eq!(
        abandon_claim(&store, &first, deadline_after(LONG_TIMEOUT)).await,
        ClaimResult::NotOwner
    );
}

#[tokio::test]
async fn one_of_concurrent_attempts_owns_a_claim_while_responses_are_lost() {
    let (platform, store) = start().await;
    let store = Arc::new(store);
    let mut owners = 0;
    for round in 0..10 {
        let lost = PlatformFaultsPatch { lose_answers: Some(2), ..Default::default() };
        platform.apply_faults(lost);
        let mut attempts = JoinSet::new();
        for number in 0..8 {
            let store = Arc::clone(&store);
            let request = request(round * 8 + number, &format!("k{round}"), "b");
            attempts.spawn(async move {
                acquire_claim(
                    store.as_ref(),
                    &request,
                    owner_is_present,
                    deadline_after(LONG_TIMEOUT),
                )
                .await
            });
        }
        let results = attempts.join_all().await;
        let acquired =
            results.iter().filter(|result| matches!(result, ClaimResult::Acquired(_))).count();
        assert_eq!(acquired, 1, "{results:?}");
        owners += acquired;
    }
    assert_eq!(owners, 10);
}

#[tokio::test]
async fn an_object_that_is_not_a_claim_is_not_modified() {
    let (platform, store) = start().await;
    let request = request(1, "k", "b");
    let call = ObjectCall::Put {
        kind: ObjectKind::Claim,
        name: request.object_name(),
        condition: WriteCondition::Absent,
        value: json!({"hats": 3}),
    };
    assert_eq!(store.call(call).await, Ok(ObjectReply::Written(ObjectVersion(1))));
    let result =
        acquire_claim(&store, &request, owner_is_present, deadline_after(LONG_TIMEOUT)).await;
    assert_eq!(result, ClaimResult::Malformed);
    let object = platform.object(ObjectKind::Claim, &request.object_name());
    assert_eq!(object, Some((ObjectVersion(1), json!({"hats": 3}))));
}
