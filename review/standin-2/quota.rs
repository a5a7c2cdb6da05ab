//! A client account sends many times its usual, and all processes are killed meanwhile.

mod common;

use std::{
    collections::HashMap,
    process::exit,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use common::{answer, exchange, has_trouble, lock, Machine, Record, Server, Store};

/// Limit of the account, in requests a second and at once.
const RATE: f64 = 18.0;
const BURST: f64 = 90.0;

/// Bounds of the deployment: `quota_window_s`, `quota_over` and `quota_slack`.
const WINDOW: Duration = Duration::from_secs(5);
const OVER: f64 = 0.1;
const SLACK: f64 = 20.0;

const BOUNDS: &str = "bounds.quota_window_s=5\nbounds.quota_over=0.1\nbounds.quota_slack=20\n";

/// Requests that the account sends in a second: 7.5 times its usual of `RATE` / 1.6.
const FLOOD: f64 = 84.0;

/// Time from the first request to the kill, and from the kill to the next start.
const KILL_AFTER: Duration = Duration::from_millis(1_650);
const RESTART_AFTER: Duration = Duration::from_millis(1_000);

/// Time for which the account sends that many.
const FLOOD_TIME: Duration = Duration::from_millis(6_500);

const KEY: &str = "bsp73yswk9dwif3882p5";

const SERVERS: usize = 8;

fn main() {
    let record = Record::create();
    let store = Store::start(Duration::from_secs(20));
    let runs: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let mut servers = Vec::new();
    let zones = ["z-a", "z-b", "z-c"];
    for number in 0..SERVERS {
        let (record, runs) = (record.clone(), runs.clone());
        let server = Server::start(
            &format!("i-grade-{number}"),
            Arc::new(move |arrival| {
                lock(&runs).push((arrival.id(), Instant::now()));
                let account = arrival.request.field("x-carobstep-tenant").unwrap_or("no one");
                record.line(&format!("{} runs {} of {account}", arrival.server.id, arrival.id()));
                let stamp = arrival.stamp();
                arrival.send(&answer("200 OK", &stamp, b"grades"))
            }),
        );
        store.put("servers", &server.id, &server.entry("grades", zones[number % 3], "ready"));
        servers.push(server);
    }
    store.put("config", "main", &configuration());
    let mut machines = Vec::new();
    for number in 0..6u8 {
        let zone = zones[usize::from(number) % 3];
        let mut machine = Machine::new(&format!("front-{number}"), zone, number + 1);
        machine.more = BOUNDS;
        machine.start(store.address);
        machines.push(machine);
    }
    if !machines.iter().all(|machine| machine.wait_ready(Duration::from_secs(15))) {
        record.say("could not run: a process is not ready");
        drop(machines);
        exit(2);
    }
    // Calm for longer than a window, so that the nodes know each other and nothing is used up.
    thread::sleep(Duration::from_secs(8));
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    let begun = Instant::now();
    for machine in &machines {
        let (to, name) = (machine.front(), machine.name.clone());
        let (record, stop, sent) = (record.clone(), stop.clone(), sent.clone());
        let interval = Duration::from_secs_f64(machines.len() as f64 / FLOOD);
        thread::spawn(move || {
            for number in 0.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let id = format!("{name}-{number}");
                lock(&sent).insert(id.clone(), Instant::now());
                let record = record.clone();
                thread::spawn(move || {
                    let reply = exchange(to, &request(&id), Duration::from_secs(2)).ok().flatten();
                    let status = reply.map_or(0, |reply| reply.status());
                    record.line(&format!("{id}: {status}"));
                });
                thread::sleep(interval);
            }
        });
    }
    if has_trouble() {
        thread::sleep(KILL_AFTER);
        for machine in &mut machines {
            machine.kill();
        }
        record.line("all processes are killed");
        thread::sleep(RESTART_AFTER);
        for machine in &mut machines {
            machine.start(store.address);
        }
        record.line("all processes are started");
    }
    thread::sleep(FLOOD_TIME.saturating_sub(begun.elapsed()));
    stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(2));
    drop(machines);
    let most = most_in_window(&lock(&sent), &lock(&runs));
    let allowed = (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + OVER) + SLACK;
    record.say(&format!(
        "at most {most} requests of the account were sent and run in {} s; {allowed:.0} are allowed",
        WINDOW.as_secs()
    ));
    if most == 0 {
        exit(2);
    }
    if most as f64 > allowed {
        record.say("broken: the limit of the account does not hold");
        exit(1);
    }
    record.say("held");
}

fn request(id: &str) -> Vec<u8> {
    format!(
        "GET /grades/{id} HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token {KEY}\r\n\
         X-Carobstep-Request-Id: {id}\r\nX-Carobstep-Deadline-Ms: 2000\r\n\r\n"
    )
    .into_bytes()
}

/// Returns the most requests that were both sent and run within one window.
fn most_in_window(sent: &HashMap<String, Instant>, runs: &[(String, Instant)]) -> usize {
    let ran: Vec<(Instant, Instant)> =
        runs.iter().filter_map(|(id, at)| Some((*sent.get(id)?, *at))).collect();
    let within = |from: Instant| {
        let until = from + WINDOW;
        ran.iter().filter(|(sent, at)| *sent >= from && *at < until).count()
    };
    ran.iter().map(|(sent, _)| within(*sent)).max().unwrap_or(0)
}

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-grades\",\"host\":\"h.example\",\
         \"path_prefix\":\"/grades/\",\"type\":\"idempotent\",\"timeout_ms\":2000,\
         \"goal_ms\":800,\"priority\":2,\"service\":\"grades\",\"attempts\":2}}],\
         \"services\":[{{\"name\":\"grades\",\"health_path\":\"/healthz\",\"max_conns\":440,\
         \"protocol\":\"h1\",\"tls\":false}}],\"tenants\":[{{\"name\":\"ralo620\",\
         \"api_keys\":[\"{KEY}\"],\"priority\":1,\"rate_per_s\":{RATE},\"burst\":{BURST}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}
