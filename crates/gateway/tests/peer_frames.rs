//! Messages between nodes of different versions, which serve together while machines are
//! replaced one after the other.
//!
//! `frames/first.txt` holds frames as the first version with this protocol encodes them, and
//! `frames/second.txt` those of the messages that were added next. Every later version must
//! decode them and encode the same messages in the same way.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use carobstep_gateway::peer_messages::{
    DelegatedOutcome, DelegatedParts, DelegatedRequest, DelegatedResponse, DelegatedVerdict,
    Extension, FollowRequest, ObservationsReply, ObservationsRequest, PeerReply, PeerRequest,
    QuotaReply, QuotaRequest, ShareRequest, ShortAccounts, StaleReply, StoreUpdate,
};
use carobstep_tier::{
    CrashEvidence, CrashRecord, CrashUpdate, DirectoryUpdate, LimitRecord, LimitUpdate, LinkReport,
    LinkUpdate, PeerEntry, PeerUpdate, QuotaAsk, RequestFingerprint, RequestRate, ServerEntry,
    ServerIncarnation, ServerObservation, ServerPhase, ShareAsk, ShareGrant, SharedSubject,
    StoreRevision, VersionedServer,
};
use carobstep_wire::{decode, encode};

const FIRST_VERSION: &str = include_str!("frames/first.txt");
const SECOND_VERSION: &str = include_str!("frames/second.txt");

/// Name of a message and its frame.
struct FrameCase {
    name: &'static str,
    frame: Bytes,
    /// The message as text, and the text of what the frame of the first version decodes to.
    decode_text: fn(&[u8]) -> Option<String>,
    text: String,
}

fn request(name: &'static str, message: &PeerRequest) -> FrameCase {
    let decode_text = |frame: &[u8]| Some(format!("{:?}", decode::<PeerRequest>(frame).ok()?));
    let frame = encode(message).expect("a frame");
    FrameCase { name, frame, decode_text, text: format!("{message:?}") }
}

fn reply(name: &'static str, message: &PeerReply) -> FrameCase {
    let decode_text = |frame: &[u8]| Some(format!("{:?}", decode::<PeerReply>(frame).ok()?));
    let frame = encode(message).expect("a frame");
    FrameCase { name, frame, decode_text, text: format!("{message:?}") }
}

fn name(text: &str) -> Arc<str> {
    Arc::from(text)
}

fn rate() -> RequestRate {
    RequestRate::try_from(12.5).expect("a rate")
}

fn cases() -> Vec<FrameCase> {
    let server = ServerIncarnation { id: name("i-1"), born_ms: Some(1_234) };
    let revision = StoreRevision { era: 1, number: 70_000 };
    let links = vec![LinkReport { node: name("n1"), version: 3, lost_zones: vec![name("z2")] }];
    let limits = vec![LimitRecord { server: server.clone(), version: 2, rate: Some(rate()) }];
    let crashes = vec![CrashRecord {
        request: RequestFingerprint::of(&[b"GET", b"/a"]),
        epoch: 1,
        crashes: vec![CrashEvidence::of(&server)],
        refuted: Vec::new(),
        probes: 1,
        age: Duration::from_millis(1_500),
    }];
    let delegated = DelegatedRequest {
        is_search: true,
        is_at_most_once: false,
        is_cautious: false,
        is_relay: true,
        is_first: true,
        priority: 2,
        shards: vec![vec![7, 4_000_000_000], Vec::new()],
        top: 20,
        attempts: 2,
        objective: Duration::from_millis(150),
        timeout: Duration::from_millis(600),
        answer_in: Duration::from_micros(120_500),
        deadline_in: Duration::from_millis(590),
        method: "GET".to_owned(),
        target: "/a/b?c=d".to_owned(),
        headers: vec![("host".to_owned(), Bytes::from_static(b"one.example"))],
        body: Bytes::from_static(b"body"),
        leaving: vec![server.clone()],
    };
    let follow = FollowRequest {
        life: 9,
        servers: 10,
        revision,
        nodes: revision,
        age: Duration::from_millis(20),
        version: 7,
        leaving: vec![server.clone()],
        links_known: 1,
        links: links.clone(),
        limits_known: 2,
        limits: limits.clone(),
        crashes_known: 3,
        crashes: crashes.clone(),
    };
    let quota = QuotaRequest {
        node: name("n1"),
        zones: vec![name("z1")],
        asks: vec![QuotaAsk { record: limits[0].clone(), zone: name("z1"), tokens: 4 }],
    };
    let parts = DelegatedParts {
        shards: vec![0, 3],
        stamps: vec![Bytes::from_static(b"s0"), Bytes::from_static(b"s3")],
        records: Bytes::from_static(b"0123456789abcdef"),
        unasked: vec![1],
        broken: vec![2],
        leaving: vec![server.clone()],
        links: links.clone(),
    };
    let response = DelegatedResponse {
        status: 200,
        headers: vec![("x-a".to_owned(), Bytes::from_static(b"b"))],
        length: 9,
        body: Bytes::from_static(b"first"),
    };
    let outcome = DelegatedOutcome {
        verdict: DelegatedVerdict::NotRun,
        response: Some(response),
        retry_in: Duration::from_millis(60),
        leaving: Vec::new(),
        links: links.clone(),
    };
    let entry = ServerEntry {
        id: name("i-1"),
        service: name("s1"),
        address: "10.0.0.1:8080".parse().expect("an address"),
        zone: name("z1"),
        slots: 2,
        phase: ServerPhase::Draining,
        cold_left: Duration::from_millis(2_500),
        born_ms: Some(1_234),
        report_number: 5,
    };
    let servers = vec![
        VersionedServer { revision, id: name("i-1"), entry: Some(entry) },
        VersionedServer { revision, id: name("i-2"), entry: None },
    ];
    let node = PeerEntry {
        name: name("n1"),
        zone: name("z1"),
        address: "10.0.0.2:7400".parse().expect("an address"),
        cpu_share: 0.12,
        link_mbps: 20.0,
    };
    let nodes = PeerUpdate {
        revision,
        whole: true,
        changed: vec![(revision, node)],
        removed: vec![(revision, name("n2"))],
    };
    let update = StoreUpdate {
        life: 9,
        age: Duration::from_millis(15),
        waited: Duration::from_millis(300),
        links: LinkUpdate { number: 1, reports: links.clone() },
        origin: Some(name("n1")),
        servers: DirectoryUpdate { number: 11, whole: false, revision, servers },
        nodes: Some(nodes),
        limits: LimitUpdate { number: 2, records: limits.clone() },
        crashes: CrashUpdate { number: 3, records: crashes.clone() },
        configuration_revision: revision,
        configuration: Some((70_000, "{}".to_owned())),
    };
    let stale = StaleReply {
        age: Duration::from_secs(3),
        leaving: vec![server],
        limits: limits.clone(),
        crashes: crashes.clone(),
        links: links.clone(),
    };
    let tokens = QuotaReply { tokens: vec![0, 300], records: limits };
    vec![
        request("delegated", &PeerRequest::Delegated(delegated)),
        request("follow", &PeerRequest::Follow(follow)),
        request("quota", &PeerRequest::Quota(quota)),
        request("crashes", &PeerRequest::Crashes(crashes)),
        request("contact", &PeerRequest::Contact(links.clone())),
        reply("parts", &PeerReply::Parts(parts)),
        reply("news", &PeerReply::News(Box::new(update))),
        reply("no_news", &PeerReply::NoNews(Box::new(stale))),
        reply("refused", &PeerReply::Refused),
        reply("quota_reply", &PeerReply::Quota(tokens)),
        reply("received", &PeerReply::Received),
        reply("full", &PeerReply::Full(Duration::from_millis(40))),
        reply("outcome", &PeerReply::Outcome(Box::new(outcome))),
        reply("more_body", &PeerReply::MoreBody(Bytes::from_static(b"rest"))),
        reply("contact_reply", &PeerReply::Contact(links)),
    ]
}

/// Messages that the second version added.
fn second_cases() -> Vec<FrameCase> {
    let server = ServerIncarnation { id: name("i-1"), born_ms: Some(1_234) };
    let subjects = [
        SharedSubject::Server(server.clone()),
        SharedSubject::ColdServer(server),
        SharedSubject::Account(name("account")),
        SharedSubject::ExtraRequests(name("s1")),
    ];
    let ask = |subject| ShareAsk { subject, tokens: 3, used: 300, recent: 70_000 };
    let share = ShareRequest { node: name("n1"), asks: subjects.map(ask).to_vec() };
    let grant = ShareGrant { tokens: 3, level: 750, is_known: true };
    let observation = ServerObservation {
        server: 4_000_000_000u32,
        attempts: 35,
        turned_away: 10,
        lost: 300,
        silent: 0,
    };
    let reports = ObservationsRequest {
        node: name("n1"),
        reports: vec![observation],
        failing: Some(vec![observation]),
    };
    let failing = ObservationsReply { failing: vec![observation] };
    let accounts = ShortAccounts { node: name("n1"), accounts: vec![name("account")] };
    let extension = Extension { kind: 1, content: Bytes::from_static(b"content") };
    let follow = PeerRequest::FollowExtended(Default::default(), vec![extension]);
    vec![
        request("share", &PeerRequest::Share(share)),
        request("observations", &PeerRequest::Observations(reports)),
        request("follow_extended", &follow),
        request("short_accounts", &PeerRequest::ShortAccounts(accounts)),
        reply("share_reply", &PeerReply::Share(vec![grant])),
        reply("observations_reply", &PeerReply::Observations(failing)),
        reply("support", &PeerReply::Support(vec![true, false])),
    ]
}

fn to_hex(frame: &[u8]) -> String {
    frame.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).expect("digits"));
    digits.map(|pair| u8::from_str_radix(pair, 16).expect("a byte")).collect()
}

#[test]
fn messages_are_those_of_the_first_version() {
    check_frames(FIRST_VERSION, cases());
}

#[test]
fn later_messages_are_those_of_the_second_version() {
    check_frames(SECOND_VERSION, second_cases());
}

fn check_frames(known: &str, cases: Vec<FrameCase>) {
    let mut known = known.lines();
    for case in cases {
        let line = known.next().expect("a recorded frame");
        let (name, hex) = line.split_once(' ').expect("a name and a frame");
        assert_eq!(name, case.name);
        assert_eq!(to_hex(&case.frame), hex, "{name} is encoded as before");
        let text = (case.decode_text)(&from_hex(hex));
        assert_eq!(text.as_ref(), Some(&case.text), "{name} is decoded as before");
    }
    assert_eq!(known.next(), None);
}

/// A node of the first version refuses variants that it doesn't know by the number at the
/// start of the frame, so new ones must have numbers beyond its own.
#[test]
fn new_messages_are_unknown_to_the_first_version() {
    const FIRST_REQUESTS: u8 = 5;
    const FIRST_REPLIES: u8 = 10;
    let share = PeerRequest::Share(Default::default());
    let observations = PeerRequest::Observations(Default::default());
    let accounts = PeerRequest::ShortAccounts(Default::default());
    let follow = PeerRequest::FollowExtended(Default::default(), Vec::new());
    let named = PeerRequest::NamedObservations(Default::default());
    for message in [share, observations, accounts, follow, named] {
        let frame = encode(&message).expect("a frame");
        assert!(frame[0] >= FIRST_REQUESTS, "{message:?}");
    }
    for message in [PeerReply::Share(Vec::new()), PeerReply::Support(Vec::new())] {
        let frame = encode(&message).expect("a frame");
        assert!(frame[0] >= FIRST_REPLIES, "{message:?}");
    }
}

/// The same for the second version.
#[test]
fn new_messages_are_unknown_to_the_second_version() {
    const SECOND_REQUESTS: u8 = 9;
    const SECOND_REPLIES: u8 = 14;
    let named = PeerRequest::NamedObservations(Default::default());
    let frame = encode(&named).expect("a frame");
    assert!(frame[0] >= SECOND_REQUESTS, "{named:?}");
    let named = PeerReply::NamedObservations(Default::default());
    let frame = encode(&named).expect("a frame");
    assert!(frame[0] >= SECOND_REPLIES, "{named:?}");
}
