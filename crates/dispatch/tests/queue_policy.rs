//! Deadline order compared with first-in first-out, on a simulated clock with fixed seeds.
//!
//! `cargo test -p carobstep-dispatch --test queue_policy -- --nocapture` prints the figures.

mod support;

use std::time::Duration;

use support::{
    millis, quantile,
    queue_run::{Policy, QueueFigures, QueueRun, run},
};

/// Minimum goodput under overload, as a share of the goodput at capacity.
const MIN_GOODPUT: f64 = 0.9;

/// Minimum share of the returning callers that are served.
const MIN_SERVED_SHARE: f64 = 0.9;

/// Maximum time from the offer to the refusal, at the 99th percentile.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(5);

/// Maximum p99 of the other customers during a flood, as a multiple of that without it.
const MAX_FLOOD_FACTOR: f64 = 1.2;

const BASE: QueueRun = QueueRun {
    policy: Policy::Deadline,
    slots: 2,
    service_time: Duration::from_millis(10),
    time_limit: Duration::from_millis(170),
    loads: &[1.0],
    return_share: 0.0,
    seconds: 12,
    seed: 1,
};

struct ServerCase {
    slots: u16,
    service_ms: u64,
    time_limit_ms: u64,
}

const SERVERS: &[ServerCase] = &[
    ServerCase { slots: 2, service_ms: 10, time_limit_ms: 170 },
    ServerCase { slots: 4, service_ms: 10, time_limit_ms: 170 },
    ServerCase { slots: 4, service_ms: 2, time_limit_ms: 170 },
    ServerCase { slots: 2, service_ms: 10, time_limit_ms: 40 },
];

struct LoadCase {
    loads: &'static [f64],
    return_share: f64,
}

const LOADS: &[LoadCase] = &[
    LoadCase { loads: &[0.7], return_share: 0.0 },
    LoadCase { loads: &[1.0], return_share: 0.0 },
    LoadCase { loads: &[1.5], return_share: 0.0 },
    LoadCase { loads: &[3.0], return_share: 0.0 },
    LoadCase { loads: &[1.5], return_share: 1.0 },
    LoadCase { loads: &[3.0], return_share: 0.5 },
    LoadCase { loads: &[3.0], return_share: 1.0 },
];

fn config(server: &ServerCase, load: &LoadCase, policy: Policy) -> QueueRun {
    QueueRun {
        policy,
        slots: server.slots,
        service_time: Duration::from_millis(server.service_ms),
        time_limit: Duration::from_millis(server.time_limit_ms),
        loads: load.loads,
        return_share: load.return_share,
        ..BASE
    }
}

fn print(config: &QueueRun, figures: &mut QueueFigures) {
    println!(
        "{:?}, {} slots of {:?}, time limit {:?}, load {:?}, {} return: goodput {:.0}/s, p99 {:.1} ms, \
         {} refused in {:.2} ms, {}/{} returned callers served, {} late",
        config.policy,
        config.slots,
        config.service_time,
        config.time_limit,
        config.loads,
        config.return_share,
        figures.goodput,
        millis(quantile(&mut figures.latencies[0], 0.99)),
        figures.refusals.len(),
        millis(quantile(&mut figures.refusals, 0.99)),
        figures.returned_served,
        figures.returned,
        figures.late_replies,
    );
}

#[test]
fn overload_keeps_goodput_and_booked_retry_times() {
    for server in SERVERS {
        let at_capacity = run(config(server, &LOADS[1], Policy::Deadline)).goodput;
        for load in LOADS {
            let config = config(server, load, Policy::Deadline);
            let mut figures = run(config);
            print(&config, &mut figures);
            if load.loads[0] > 1.0 {
                assert!(figures.goodput >= at_capacity * MIN_GOODPUT, "goodput at {config:?}");
            }
            let refusal_time = quantile(&mut figures.refusals, 0.99);
            assert!(refusal_time < MAX_REFUSAL_TIME, "{refusal_time:?} at {config:?}");
            let served_share = figures.returned_served as f64 / figures.returned.max(1) as f64;
            assert!(
                figures.returned == 0 || served_share >= MIN_SERVED_SHARE,
                "served {served_share} at {config:?}"
            );
            assert!(load.return_share == 0.0 || figures.returned > 100, "{config:?}");
        }
    }
}

#[test]
fn fifo_loses_goodput_where_deadline_order_sustains_it() {
    for server in SERVERS {
        for load in &LOADS[..4] {
            let fifo = config(server, load, Policy::Fifo);
            let mut fifo_figures = run(fifo);
            print(&fifo, &mut fifo_figures);
            let lifo = config(server, load, Policy::Lifo);
            print(&lifo, &mut run(lifo));
            let figures = run(config(server, load, Policy::Deadline));
            if load.loads[0] < 1.5 {
                continue;
            }
            assert!(figures.goodput > fifo_figures.goodput * 2.0, "{} {fifo:?}", figures.goodput);
        }
    }
}

struct FloodCase {
    server: ServerCase,
    other_loads: &'static [f64],
    flood_loads: &'static [f64],
}

const FLOODS: &[FloodCase] = &[
    FloodCase {
        server: ServerCase { slots: 2, service_ms: 10, time_limit_ms: 170 },
        other_loads: &[0.2, 0.2, 0.2],
        flood_loads: &[0.2, 0.2, 0.2, 3.0],
    },
    FloodCase {
        server: ServerCase { slots: 4, service_ms: 10, time_limit_ms: 170 },
        other_loads: &[0.1, 0.1, 0.1, 0.1],
        flood_loads: &[0.1, 0.1, 0.1, 0.1, 3.0],
    },
    FloodCase {
        server: ServerCase { slots: 4, service_ms: 2, time_limit_ms: 170 },
        other_loads: &[0.2, 0.2, 0.2],
        flood_loads: &[0.2, 0.2, 0.2, 3.0],
    },
];

/// Cases that are only printed, since they may exceed [`MAX_FLOOD_FACTOR`].
///
/// Running requests are not interrupted. If the other customers use little of a
/// server with two slots, their wait for a slot therefore shows in their p99.
/// Reserving a slot for them would cost a third of the server's goodput.
const NEAR_IDLE_FLOODS: &[FloodCase] = &[
    FloodCase {
        server: ServerCase { slots: 2, service_ms: 10, time_limit_ms: 170 },
        other_loads: &[0.1, 0.1, 0.1, 0.1],
        flood_loads: &[0.1, 0.1, 0.1, 0.1, 3.0],
    },
    FloodCase {
        server: ServerCase { slots: 2, service_ms: 10, time_limit_ms: 40 },
        other_loads: &[0.1, 0.1],
        flood_loads: &[0.1, 0.1, 3.0],
    },
];

/// Returns the p99 of the other customers during the flood as a multiple of that without it.
fn flood_factor(case: &FloodCase) -> f64 {
    let other_latencies = |loads| {
        let load = LoadCase { loads, return_share: 0.0 };
        let config = config(&case.server, &load, Policy::Deadline);
        let mut figures = run(QueueRun { seconds: 60, ..config });
        figures.latencies.truncate(case.other_loads.len());
        figures.latencies.concat()
    };
    let mut before = other_latencies(case.other_loads);
    let mut during = other_latencies(case.flood_loads);
    let p99_before = quantile(&mut before, 0.99);
    let p99_during = quantile(&mut during, 0.99);
    let factor = p99_during.div_duration_f64(p99_before);
    println!(
        "{} slots of {} ms, time limit {} ms, {:?}: others' p99 {:.1} ms, during the flood {:.1} ms ({factor:.2}x), served {} and {}",
        case.server.slots,
        case.server.service_ms,
        case.server.time_limit_ms,
        case.flood_loads,
        millis(p99_before),
        millis(p99_during),
        before.len(),
        during.len(),
    );
    factor
}

#[test]
fn flooding_customer_does_not_slow_down_the_others() {
    for case in FLOODS {
        let factor = flood_factor(case);
        assert!(factor <= MAX_FLOOD_FACTOR, "{factor} at {:?}", case.flood_loads);
    }
    for case in NEAR_IDLE_FLOODS {
        flood_factor(case);
    }
}
