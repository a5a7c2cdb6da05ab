//! Route lookup, split routes and merging of records.

use std::{sync::Arc, time::Duration};

use carobstep_tier::{
    Configuration, GatherConfig, RECORD_BYTES, RetryPolicy, RouteConfig, RouteTable, RouteTarget,
    WeightedRoundRobin, WeightedService, merge_records,
};

fn route(name: &str, host: &str, prefix: &str) -> Arc<RouteConfig> {
    Arc::new(RouteConfig {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        retry: RetryPolicy::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        priority: 1,
        attempts: 2,
        target: RouteTarget::Service("service".into()),
        is_public: false,
    })
}

struct RouteCase {
    host: &'static str,
    path: &'static str,
    route: Option<&'static str>,
}

#[test]
fn a_request_matches_the_longest_prefix_of_its_host() {
    let routes = vec![
        route("short", "one.example", "/a/"),
        route("long", "one.example", "/a/b/"),
        route("other", "two.example", "/a/"),
    ];
    let configuration = Configuration { routes, ..Configuration::default() };
    let table = RouteTable::from(&configuration);
    let cases = [
        RouteCase { host: "one.example", path: "/a/x", route: Some("short") },
        RouteCase { host: "one.example", path: "/a/b/x", route: Some("long") },
        RouteCase { host: "one.example:8080", path: "/a/b", route: Some("short") },
        RouteCase { host: "ONE.example", path: "/a/", route: Some("short") },
        RouteCase { host: "two.example", path: "/a/b/", route: Some("other") },
        RouteCase { host: "one.example", path: "/ab", route: None },
        RouteCase { host: "three.example", path: "/a/", route: None },
    ];
    for case in cases {
        let found = table.find(case.host, case.path).map(|route| route.name.as_ref());
        assert_eq!(found, case.route, "{} {}", case.host, case.path);
    }
}

#[test]
fn services_of_a_split_route_get_their_share_over_any_run() {
    let weighted = |service: &str, weight| WeightedService { service: service.into(), weight };
    let services = [weighted("one", 0.7), weighted("two", 0.2), weighted("three", 0.1)];
    let mut round_robin = WeightedRoundRobin::default();
    let mut counts = [0.0f64; 3];
    for number in 1..=1_000 {
        counts[round_robin.next(&"route".into(), &services)] += 1.0;
        for (count, service) in counts.iter().zip(&services) {
            let deviation = count - service.weight * f64::from(number);
            assert!(
                deviation.abs() <= 1.0,
                "{}: deviation of {deviation} after {number}",
                service.service
            );
        }
    }
}

struct MinShardsCase {
    shards: usize,
    share: f64,
    min_shards: usize,
}

#[test]
fn the_minimum_share_is_rounded_up_but_not_by_rounding_errors() {
    let cases = [
        MinShardsCase { shards: 20, share: 0.89, min_shards: 18 },
        MinShardsCase { shards: 20, share: 0.75, min_shards: 15 },
        MinShardsCase { shards: 90, share: 0.95, min_shards: 86 },
        MinShardsCase { shards: 20, share: 0.95, min_shards: 19 },
        MinShardsCase { shards: 3, share: 0.0, min_shards: 1 },
        MinShardsCase { shards: 3, share: 1.0, min_shards: 3 },
    ];
    for case in cases {
        let shards = vec![Arc::from("shard"); case.shards];
        let config = GatherConfig { shards, max_records: 1, min_share: case.share };
        assert_eq!(config.min_shards(), case.min_shards, "{} of {}", case.share, case.shards);
    }
}

#[test]
fn merging_keeps_the_greatest_records_of_all_parts() {
    let record = |byte: u8| [byte; RECORD_BYTES];
    let one = [record(1), record(9), record(5)].concat();
    // Duplicates are kept; trailing bytes shorter than a record are ignored.
    let mut two = [record(9), record(7)].concat();
    two.extend_from_slice(&[255; RECORD_BYTES - 1]);
    let merged = merge_records([&one[..], &two[..]], 3);
    assert_eq!(merged, [record(9), record(9), record(7)].concat());
    // Merging merged parts gives the same result as merging all parts at once.
    let first = merge_records([&one[..]], 3);
    assert_eq!(merge_records([&first[..], &two[..]], 3), merged);
    assert!(merge_records([], 3).is_empty());
}
