//! Codec of peer messages: round trips and malformed input.

use bytes::Bytes;
use carobstep_config::{ServerName, ShardName};
use carobstep_wire::{
    MAX_FRAME_BYTES, PeerReply, PeerRequest, RefusalReason, RequestId, RequestOutcome, ShardReply,
    ShardRequest, ShardResult, WireErrorKind, decode, encode,
};
use proptest::prelude::*;

fn any_request() -> impl Strategy<Value = ShardRequest> {
    let name = "[a-z][a-z0-9-]{0,20}";
    (
        any::<(u128, u64, u64, u64)>(),
        name,
        proptest::option::of(name),
        proptest::option::of(any::<u64>()),
        any::<(bool, bool)>(),
        proptest::collection::vec(any::<u8>(), 0..512),
    )
        .prop_map(|(numbers, server, shard, snapshot, flags, body)| ShardRequest {
            id: RequestId(numbers.0),
            server: ServerName::try_from(server).unwrap(),
            shard: shard.map(|shard| ShardName::try_from(shard).unwrap()),
            snapshot,
            budget_us: numbers.1,
            idempotency_key: flags.0.then(|| "key-1".to_owned()),
            hedge: flags.1,
            customer: numbers.2,
            caller: numbers.3,
            body: Bytes::from(body),
        })
}

fn any_reply() -> impl Strategy<Value = ShardReply> {
    let result = prop_oneof![
        proptest::collection::vec(any::<u8>(), 0..512)
            .prop_map(|body| ShardResult::Body(Bytes::from(body))),
        any::<u64>().prop_map(|retry_after_ms| ShardResult::Refused {
            outcome: RequestOutcome::Unknown,
            reason: RefusalReason::ConnectionLost,
            retry_after_ms,
        }),
    ];
    (any::<u128>(), proptest::option::of(any::<u64>()), result, any::<(u16, u64)>()).prop_map(
        |(id, snapshot, result, (queue_length, service_us))| ShardReply {
            id: RequestId(id),
            shard: None,
            snapshot,
            result,
            queue_length,
            service_us,
        },
    )
}

proptest! {
    #[test]
    fn requests_survive_a_round_trip(request in any_request()) {
        let request = PeerRequest::Shard(request);
        let frame = encode(&request).unwrap();
        prop_assert_eq!(decode::<PeerRequest>(&frame).unwrap(), request);
    }

    #[test]
    fn replies_survive_a_round_trip(reply in any_reply()) {
        let reply = PeerReply::Shard(reply);
        let frame = encode(&reply).unwrap();
        prop_assert_eq!(decode::<PeerReply>(&frame).unwrap(), reply);
    }

    #[test]
    fn random_frames_never_panic(frame in proptest::collection::vec(any::<u8>(), 0..2048)) {
        let _ = decode::<PeerRequest>(&frame);
        let _ = decode::<PeerReply>(&frame);
    }

    #[test]
    fn truncated_frames_are_errors(request in any_request(), fraction in 0.0..1.0f64) {
        let frame = encode(&PeerRequest::Shard(request)).unwrap();
        let end = (frame.len() as f64 * fraction) as usize;
        prop_assert!(decode::<PeerRequest>(&frame[..end]).is_err());
    }

    #[test]
    fn frames_with_trailing_bytes_are_errors(request in any_request(), extra in 1..64usize) {
        let mut frame = encode(&PeerRequest::Shard(request)).unwrap().to_vec();
        frame.extend(std::iter::repeat_n(0, extra));
        prop_assert!(decode::<PeerRequest>(&frame).is_err());
    }
}

#[test]
fn oversized_messages_are_refused_before_they_are_sent() {
    let reply = PeerReply::Shard(ShardReply {
        id: RequestId(1),
        shard: None,
        snapshot: None,
        result: ShardResult::Body(Bytes::from(vec![0; MAX_FRAME_BYTES + 1])),
        queue_length: 0,
        service_us: 0,
    });
    assert_eq!(encode(&reply).unwrap_err().kind(), WireErrorKind::Codec);
}
