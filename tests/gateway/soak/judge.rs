//! Whether the promises held, from what callers and backend servers saw.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::{
    caller::{CallKind, CallRecord, PATIENCE},
    world::{ATTEMPTS, Disturbance, LEAST_SHARE, SHARDS, SoakWorld},
};
use crate::backend::{Arrival, field, personal_record};

/// Records of a search's answer.
const TOP: usize = 4;

/// Time without disturbance after which a node keeps the promises with a bound.
const CONTACT: Duration = Duration::from_secs(4);

/// Time after the store's acknowledgement in which a drained server may still
/// get requests.
const DRAIN: Duration = Duration::from_secs(3);

/// Lateness of a final answer that is borne.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// Extra requests to a service that are allowed per request to it, and beside them.
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 52.0;
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// What one server got.
struct ServerLog {
    id: String,
    service: String,
    arrivals: Vec<Arrival>,
}

pub fn judge(world: &SoakWorld, calls: &[CallRecord]) -> Vec<String> {
    let logs: Vec<_> = world
        .servers
        .iter()
        .map(|linked| ServerLog {
            id: linked.server.id.clone(),
            service: linked.service.clone(),
            arrivals: linked.server.arrivals(),
        })
        .collect();
    let by_id: IndexMap<&str, &CallRecord> =
        calls.iter().map(|call| (call.id.as_str(), call)).collect();
    let mut broken = Vec::new();
    for call in calls {
        check_answer(call, &mut broken);
    }
    check_arrivals(&logs, &by_id, &mut broken);
    check_budget(&logs, &by_id, &mut broken);
    check_drains(world, &logs, &by_id, &mut broken);
    check_ends(world, calls, &mut broken);
    broken
}

fn request_id(arrival: &Arrival) -> String {
    field(&arrival.head, "x-carobstep-request-id").unwrap_or_default()
}

/// MIXED: a success holds exactly what servers answered to this request.
fn check_answer(call: &CallRecord, broken: &mut Vec<String>) {
    let Ok(answer) = &call.answer else { return };
    if !answer.status.is_success() {
        return;
    }
    let text = |name: &str| answer.headers.get(name).and_then(|value| value.to_str().ok());
    let mut fail = |reason: String| broken.push(format!("MIXED: {}: {reason}", call.id));
    if call.kind != CallKind::Search {
        let stamp = text("x-carobstep-server-stamp").unwrap_or_default();
        if !stamp.ends_with(&format!("/single/{}", call.id)) {
            fail(format!("signature {stamp:?}"));
        }
        if answer.body != personal_record("single", &call.id) {
            fail(format!("body {:?}", answer.body));
        }
        return;
    }
    let mut services = IndexSet::new();
    let stamps = text("x-carobstep-part-stamps").unwrap_or_default();
    for stamp in stamps.split(", ") {
        let mut parts = stamp.split('/').skip(1);
        let service = parts.next().unwrap_or_default();
        if parts.next() != Some(&call.id) || !service.starts_with("shard-") {
            fail(format!("part {stamp:?}"));
        }
        if !services.insert(service) {
            fail(format!("two parts of {service}"));
        }
    }
    let missing: usize =
        text("x-carobstep-missing-parts").and_then(|text| text.parse().ok()).unwrap_or(0);
    if services.len() + missing != SHARDS {
        fail(format!("{} parts and {missing} missing", services.len()));
    }
    if (services.len() as f64) < LEAST_SHARE * SHARDS as f64 {
        fail(format!("only {} parts", services.len()));
    }
    let mut records: Vec<_> =
        services.iter().map(|service| personal_record(service, &call.id)).collect();
    records.sort_by(|one, other| other.cmp(one));
    records.truncate(TOP);
    if answer.body != records.concat() {
        fail(format!("records {:?}, {records:?} expected", answer.body));
    }
}

/// UNASKED, ROUTE, TWICE, REFUSED, and BUDGET of a single request.
fn check_arrivals(
    logs: &[ServerLog],
    by_id: &IndexMap<&str, &CallRecord>,
    broken: &mut Vec<String>,
) {
    let mut runs: IndexMap<String, usize> = IndexMap::new();
    let mut reached: IndexMap<(String, &str), IndexSet<&str>> = IndexMap::new();
    for log in logs {
        for arrival in log.arrivals.iter().filter(|arrival| arrival.ran) {
            let id = request_id(arrival);
            let Some(call) = by_id.get(id.as_str()) else {
                broken.push(format!("UNASKED: {} ran {id:?}", log.id));
                continue;
            };
            if arrival.head.split(' ').nth(1) != Some(&call.path) {
                broken.push(format!("UNASKED: {} ran {id} as {:?}", log.id, arrival.head));
            }
            let allowed = match call.kind {
                CallKind::Search => log.service.starts_with("shard-"),
                CallKind::Fetch | CallKind::Order => log.service == "single",
            };
            if !allowed {
                broken.push(format!("ROUTE: {} of {} ran {id}", log.id, log.service));
            }
            *runs.entry(id.clone()).or_default() += 1;
            reached.entry((id, &log.service)).or_default().insert(&log.id);
        }
    }
    for ((id, service), servers) in &reached {
        if servers.len() > ATTEMPTS {
            broken.push(format!("BUDGET: {id} ran on {servers:?} of {service}"));
        }
    }
    for call in by_id.values().filter(|call| call.kind == CallKind::Order) {
        let count = runs.get(&call.id).copied().unwrap_or(0);
        if count > 1 {
            broken.push(format!("TWICE: {} ran {count} times", call.id));
        }
        let status = call.answer.as_ref().map_or(0, |answer| answer.status.as_u16());
        if matches!(status, 408 | 421 | 429 | 503) && count > 0 {
            broken.push(format!("REFUSED: {} was answered {status} and ran", call.id));
        }
    }
}

/// BUDGET: extra requests to a service in any window.
fn check_budget(logs: &[ServerLog], by_id: &IndexMap<&str, &CallRecord>, broken: &mut Vec<String>) {
    let mut services: IndexMap<&str, Vec<(Instant, String)>> = IndexMap::new();
    for log in logs.iter().filter(|log| log.service != "stranger") {
        let arrivals = log.arrivals.iter().map(|arrival| (arrival.at, request_id(arrival)));
        services.entry(&log.service).or_default().extend(arrivals);
    }
    for (service, mut arrivals) in services {
        arrivals.sort();
        let mut seen = IndexSet::new();
        arrivals.retain(|(_, id)| !seen.insert(id.clone()));
        let sent: Vec<Instant> = by_id
            .values()
            .filter(|call| (call.kind == CallKind::Search) == (service != "single"))
            .map(|call| call.sent)
            .collect();
        let within = |from: Instant| {
            sent.iter().filter(|sent| (from..from + RETRY_WINDOW).contains(*sent)).count() as f64
        };
        for (position, (start, _)) in arrivals.iter().enumerate() {
            let end = *start + RETRY_WINDOW;
            let extra = arrivals[position..].iter().take_while(|(at, _)| *at < end).count();
            let earlier = |by| start.checked_sub(by).map_or(0.0, within);
            let requests = within(*start).max(earlier(RETRY_WINDOW / 2)).max(earlier(RETRY_WINDOW));
            let allowed = RETRY_RATIO * requests + RETRY_SLACK;
            if extra as f64 > allowed {
                broken.push(format!("BUDGET: {extra} extra to {service}, {allowed} allowed"));
                break;
            }
        }
    }
}

/// Whether a node was undisturbed for the whole contact time before a moment.
fn is_calm(disturbances: &[Disturbance], at: Instant) -> bool {
    disturbances.iter().all(|it| it.from > at || it.to + CONTACT < at)
}

/// DRAIN: a server that has drained for long gets nothing new while all is calm.
fn check_drains(
    world: &SoakWorld,
    logs: &[ServerLog],
    by_id: &IndexMap<&str, &CallRecord>,
    broken: &mut Vec<String>,
) {
    for drain in &world.drains {
        let Some(log) = logs.iter().find(|log| log.id == drain.server) else { continue };
        for arrival in &log.arrivals {
            let id = request_id(arrival);
            let Some(call) = by_id.get(id.as_str()) else { continue };
            let is_late = call.sent > drain.at + DRAIN;
            if is_late && arrival.ran && is_calm(&world.disturbances, arrival.at) {
                let after = arrival.at.duration_since(drain.at);
                broken.push(format!("DRAIN: {id} reached {} after {after:?}", drain.server));
            }
        }
    }
}

/// LOST and late answers: a node that runs gives every request its final answer.
fn check_ends(world: &SoakWorld, calls: &[CallRecord], broken: &mut Vec<String>) {
    let mut late = Vec::new();
    let mut unanswered = 0;
    for call in calls {
        let is_down = world.disturbances.iter().any(|it| {
            let meets = it.from <= call.ended && it.to + RECOVERED >= call.sent;
            it.is_down && meets && it.node.is_none_or(|node| node == call.node)
        });
        if is_down {
            continue;
        }
        if let Err(error) = &call.answer {
            broken.push(format!("LOST: {} at node {}: {error}", call.id, call.node));
        }
        if call.ended - call.sent >= PATIENCE {
            unanswered += 1;
            if call.ended - call.sent > PATIENCE + ANSWER_SLACK {
                late.push(call.id.as_str());
            }
        }
    }
    if late.len() >= 8 && late.len() * 2 > unanswered {
        broken.push(format!("CONFIG: no final answer in time: {late:?}"));
    }
}

/// Time after its restart in which a node may still refuse connections.
const RECOVERED: Duration = Duration::from_millis(1_500);
