//! Checks the guarantees of the gateway against what callers and backend servers
//! observed.
//!
//! Each violation starts with the name of the guarantee, such as `MIXED` or `TWICE`.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::{
    caller::{CallKind, CallRecord, crashing_path},
    cluster::{ATTEMPTS, FaultInterval, MIN_SHARE, NODES, SHARDS, TestCluster},
};
use crate::backend::{Arrival, header_value, per_request_record};

/// Maximum number of records in a search response.
const TOP_RECORDS: usize = 4;

/// Time without faults after which the guarantees that have a time limit apply again.
const STABILIZATION_TIME: Duration = Duration::from_secs(4);

/// Time after the store has acknowledged a drain during which the server may still
/// receive requests.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// Time by which a final response may exceed the deadline.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(500);

/// Allowed extra requests to a service for each request to it.
const RETRY_RATIO: f64 = 0.2;
/// Allowed extra requests to a service in addition to [`RETRY_RATIO`].
const RETRY_SLACK: f64 = 52.0;
/// Time window in which extra requests are counted.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Time within which all nodes must know of a limit.
const LIMIT_SETTLING_TIME: Duration = Duration::from_secs(2);
/// Allowed requests to a server that names a limit, relative to the limit.
const LIMIT_FACTOR: f64 = 1.5;
/// Allowed requests to a server that names a limit, beyond [`LIMIT_FACTOR`].
const LIMIT_SLACK: f64 = 5.0;

/// Number of crashes after which a node refuses a request.
const CRASHES_PER_NODE: usize = 3;

/// Requests that one server received.
struct ServerLog {
    id: String,
    service: String,
    arrivals: Vec<Arrival>,
}

/// Checks a run and returns the violations.
pub fn check_run(cluster: &TestCluster, calls: &[CallRecord]) -> Vec<String> {
    let logs: Vec<_> = cluster
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
    let mut violations = Vec::new();
    for call in calls {
        check_response(call, &mut violations);
    }
    check_arrivals(&logs, &by_id, &mut violations);
    check_budget(&logs, &by_id, &mut violations);
    check_drains(cluster, &logs, &by_id, &mut violations);
    check_limits(cluster, &logs, &mut violations);
    check_crashes(cluster, &logs, &mut violations);
    check_final_responses(cluster, calls, &mut violations);
    violations
}

fn request_id(arrival: &Arrival) -> String {
    header_value(&arrival.head, "x-carobstep-request-id").unwrap_or_default()
}

/// MIXED: a successful response contains exactly the results that servers returned for
/// this request.
fn check_response(call: &CallRecord, violations: &mut Vec<String>) {
    let Ok(response) = &call.response else { return };
    if !response.status.is_success() {
        return;
    }
    let text = |name: &str| response.headers.get(name).and_then(|value| value.to_str().ok());
    let mut fail = |reason: String| violations.push(format!("MIXED: {}: {reason}", call.id));
    if !call.kind.is_search() {
        let stamp = text("x-carobstep-server-stamp").unwrap_or_default();
        if !stamp.ends_with(&format!("/single/{}", call.id)) {
            fail(format!("stamp {stamp:?}"));
        }
        if response.body != per_request_record("single", &call.id) {
            fail(format!("body {:?}", response.body));
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
    if (services.len() as f64) < MIN_SHARE * SHARDS as f64 {
        fail(format!("only {} parts", services.len()));
    }
    let mut records: Vec<_> =
        services.iter().map(|service| per_request_record(service, &call.id)).collect();
    records.sort_by(|one, other| other.cmp(one));
    records.truncate(TOP_RECORDS);
    if response.body != records.concat() {
        fail(format!("records {:?}, {records:?} expected", response.body));
    }
}

/// Checks the executions of each request: UNASKED, a request that no caller sent;
/// ROUTE, a server of the wrong service; BUDGET, more servers than the allowed attempts;
/// TWICE, an order executed twice; REFUSED, an order executed although it was refused.
fn check_arrivals(
    logs: &[ServerLog],
    by_id: &IndexMap<&str, &CallRecord>,
    violations: &mut Vec<String>,
) {
    let mut executions: IndexMap<String, usize> = IndexMap::new();
    let mut executed_by: IndexMap<(String, &str), IndexSet<&str>> = IndexMap::new();
    for log in logs {
        for arrival in log.arrivals.iter().filter(|arrival| arrival.executed) {
            let id = request_id(arrival);
            let Some(call) = by_id.get(id.as_str()) else {
                violations.push(format!("UNASKED: {} executed {id:?}", log.id));
                continue;
            };
            if arrival.head.split(' ').nth(1) != Some(&call.path) {
                violations.push(format!("UNASKED: {} executed {id} as {:?}", log.id, arrival.head));
            }
            let allowed = match call.kind {
                CallKind::Search | CallKind::Crashing { .. } => log.service.starts_with("shard-"),
                CallKind::Fetch | CallKind::Order | CallKind::LongOrder { .. } => {
                    log.service == "single"
                }
            };
            if !allowed {
                violations.push(format!("ROUTE: {} of {} executed {id}", log.id, log.service));
            }
            *executions.entry(id.clone()).or_default() += 1;
            executed_by.entry((id, &log.service)).or_default().insert(&log.id);
        }
    }
    for ((id, service), servers) in &executed_by {
        if servers.len() > ATTEMPTS {
            violations.push(format!("BUDGET: {id} was executed by {servers:?} of {service}"));
        }
    }
    for call in by_id.values().filter(|call| call.kind.is_order()) {
        let count = executions.get(&call.id).copied().unwrap_or(0);
        if count > 1 {
            violations.push(format!("TWICE: {} was executed {count} times", call.id));
        }
        let status = call.response.as_ref().map_or(0, |response| response.status.as_u16());
        if matches!(status, 408 | 421 | 429 | 503) && count > 0 {
            violations.push(format!("REFUSED: {} was answered {status} and executed", call.id));
        }
    }
}

/// BUDGET: the extra requests to a service stay within the retry budget in any window.
fn check_budget(
    logs: &[ServerLog],
    by_id: &IndexMap<&str, &CallRecord>,
    violations: &mut Vec<String>,
) {
    let mut services: IndexMap<&str, Vec<(Instant, String)>> = IndexMap::new();
    for log in logs.iter().filter(|log| log.service != "unrelated") {
        let arrivals = log.arrivals.iter().map(|arrival| (arrival.at, request_id(arrival)));
        services.entry(&log.service).or_default().extend(arrivals);
    }
    for (service, mut arrivals) in services {
        arrivals.sort();
        let mut seen = IndexSet::new();
        arrivals.retain(|(_, id)| !seen.insert(id.clone()));
        let sent: Vec<Instant> = by_id
            .values()
            .filter(|call| call.kind.is_search() == (service != "single"))
            .map(|call| call.sent)
            .collect();
        let requests_within = |from: Instant| {
            sent.iter().filter(|sent| (from..from + RETRY_WINDOW).contains(*sent)).count() as f64
        };
        for (position, (start, _)) in arrivals.iter().enumerate() {
            let end = *start + RETRY_WINDOW;
            let extra = arrivals[position..].iter().take_while(|(at, _)| *at < end).count();
            let earlier = |by| start.checked_sub(by).map_or(0.0, requests_within);
            let requests =
                requests_within(*start).max(earlier(RETRY_WINDOW / 2)).max(earlier(RETRY_WINDOW));
            let allowed = RETRY_RATIO * requests + RETRY_SLACK;
            if extra as f64 > allowed {
                violations.push(format!("BUDGET: {extra} extra to {service}, {allowed} allowed"));
                break;
            }
        }
    }
}

/// Whether no fault interval overlaps the [`STABILIZATION_TIME`] before a point in time.
fn is_fault_free(fault_intervals: &[FaultInterval], at: Instant) -> bool {
    fault_intervals.iter().all(|it| it.from > at || it.to + STABILIZATION_TIME < at)
}

/// DRAIN: a server that has been draining for longer than [`DRAIN_TIME`] receives no new
/// requests, unless there are faults.
fn check_drains(
    cluster: &TestCluster,
    logs: &[ServerLog],
    by_id: &IndexMap<&str, &CallRecord>,
    violations: &mut Vec<String>,
) {
    for drain in &cluster.drains {
        let Some(log) = logs.iter().find(|log| log.id == drain.server) else { continue };
        for arrival in &log.arrivals {
            let id = request_id(arrival);
            let Some(call) = by_id.get(id.as_str()) else { continue };
            let is_late = call.sent > drain.at + DRAIN_TIME;
            if is_late && arrival.executed && is_fault_free(&cluster.fault_intervals, arrival.at) {
                let after = arrival.at.duration_since(drain.at);
                violations.push(format!("DRAIN: {id} reached {} after {after:?}", drain.server));
            }
        }
    }
}

/// LIMIT: once the nodes have had time to learn of it, a server gets no more requests
/// than the limit that it names allows.
fn check_limits(cluster: &TestCluster, logs: &[ServerLog], violations: &mut Vec<String>) {
    for limit in &cluster.limits {
        let Some(log) = logs.iter().find(|log| log.id == limit.server) else { continue };
        let from = limit.from + LIMIT_SETTLING_TIME;
        let Some(span) = limit.to.checked_duration_since(from) else { continue };
        let count = log.arrivals.iter().filter(|it| (from..limit.to).contains(&it.at)).count();
        let allowed = limit.per_second * LIMIT_FACTOR * span.as_secs_f64() + LIMIT_SLACK;
        if count as f64 > allowed {
            violations.push(format!(
                "LIMIT: {} got {count} requests in {span:?}, {allowed:.0} allowed",
                limit.server
            ));
        }
    }
}

/// CRASH: a request that crashes every server is refused by each node once three servers
/// crashed under it there, even if the nodes cannot reach each other.
fn check_crashes(cluster: &TestCluster, logs: &[ServerLog], violations: &mut Vec<String>) {
    for crash in &cluster.crashes {
        let target = format!(" {} ", crashing_path(crash.round));
        let arrivals = logs.iter().flat_map(|log| &log.arrivals);
        let sent: IndexSet<_> =
            arrivals.filter(|arrival| arrival.head.contains(&target)).map(request_id).collect();
        // A node that restarts may know nothing.
        let overlaps = |it: &FaultInterval| it.from <= crash.to && it.to >= crash.from;
        let down = cluster.fault_intervals.iter().filter(|it| it.is_down && overlaps(it));
        let restarts = down.count();
        let allowed = CRASHES_PER_NODE * (NODES + restarts);
        if sent.len() > allowed {
            violations.push(format!(
                "CRASH: request {} was sent {} times, {allowed} allowed",
                crash.round,
                sent.len()
            ));
        }
    }
}

/// LOST: a running node sends the final response to every request. CONFIG: it sends
/// the response in time.
fn check_final_responses(
    cluster: &TestCluster,
    calls: &[CallRecord],
    violations: &mut Vec<String>,
) {
    let mut late = Vec::new();
    let mut past_deadline = 0;
    for call in calls {
        let is_down = cluster.fault_intervals.iter().any(|it| {
            let overlaps = it.from <= call.ended && it.to + RESTART_TIME >= call.sent;
            it.is_down && overlaps && it.node.is_none_or(|node| node == call.node)
        });
        if is_down {
            continue;
        }
        if let Err(error) = &call.response {
            violations.push(format!("LOST: {} at node {}: {error}", call.id, call.node));
        }
        if call.ended - call.sent >= call.kind.deadline() {
            past_deadline += 1;
            if call.ended - call.sent > call.kind.deadline() + DEADLINE_TOLERANCE {
                late.push(call.id.as_str());
            }
        }
    }
    if late.len() >= 8 && late.len() * 2 > past_deadline {
        violations.push(format!("CONFIG: no final response in time: {late:?}"));
    }
}

/// LOST: beside planned work alone, no request that reached a server ends without a response.
pub fn check_planned_work(cluster: &TestCluster, calls: &[CallRecord]) -> Vec<String> {
    let arrivals = cluster.servers.iter().flat_map(|linked| linked.server.arrivals());
    let executed: IndexSet<String> =
        arrivals.filter(|arrival| arrival.executed).map(|it| request_id(&it)).collect();
    let mut violations = Vec::new();
    for call in calls.iter().filter(|call| executed.contains(&call.id)) {
        if let Err(error) = &call.response {
            let took = call.ended - call.sent;
            violations.push(format!(
                "LOST: {} ({:?}) at node {} was cut after {took:?}: {error}",
                call.id, call.kind, call.node
            ));
        }
    }
    violations
}

/// Time after its restart during which a node may still refuse connections.
const RESTART_TIME: Duration = Duration::from_millis(1_500);
