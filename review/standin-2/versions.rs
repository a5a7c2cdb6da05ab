//! Configurations of legal size in quick succession, while the machine that watches the store
//! for the others stands still.

mod common;

use std::{
    process::exit,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use common::{answer, exchange, get, has_trouble, Machine, Record, Server, Store};

/// Routes beside the one that moves, and the shards of each.
const MORE_ROUTES: usize = 1_592;
const SHARDS: usize = 20;

/// Versions in quick succession: a change each 0.06 s for 1.5 s.
const VERSIONS: usize = 25;
const VERSION_INTERVAL: Duration = Duration::from_millis(60);

/// Time for which the machine stands still, and a little longer; 4 s are allowed.
const FREEZE_TIME: Duration = Duration::from_millis(3_500);

/// `config_apply_ms`: time after its acknowledgement from which a version must be in force.
const APPLY_TIME: Duration = Duration::from_millis(3_000);

/// `contact_ms`: time after a disruption from which a machine is in touch.
const CONTACT_TIME: Duration = Duration::from_millis(4_000);

/// Time after the last version for which requests are sent.
const WATCH_TIME: Duration = Duration::from_secs(24);

fn main() {
    let record = Record::create();
    let store = Store::start(Duration::from_secs(20));
    let mut servers = Vec::new();
    for service in ["desk-old", "desk-new"] {
        let server = Server::start(
            &format!("i-{service}"),
            Arc::new(|arrival| {
                let (stamp, id) = (arrival.stamp(), arrival.server.id.clone());
                arrival.send(&answer("200 OK", &stamp, id.as_bytes()))
            }),
        );
        store.put("servers", &server.id, &server.entry(service, "z-a", "ready"));
        servers.push(server);
    }
    let first = configuration(10, "desk-old");
    record.say(&format!("a configuration has {} bytes; 1048576 are allowed", first.len()));
    store.put("config", "main", &first);
    let places = [("a-1", "z-a"), ("b-1", "z-b"), ("c-1", "z-c")];
    let mut machines = Vec::new();
    for (number, (name, zone)) in (1..).zip(places) {
        let mut machine = Machine::new(&format!("front-{name}"), zone, number);
        machine.start(store.address);
        machines.push(machine);
    }
    if !machines.iter().all(|machine| machine.wait_ready(Duration::from_secs(15))) {
        record.say("could not run: a process is not ready");
        drop(machines);
        exit(2);
    }
    thread::sleep(Duration::from_secs(6));
    let reader = reader_of(&record, &machines);
    let versions = versions();
    if has_trouble() {
        machines[reader].signal("STOP");
        record.line(&format!("{} stands still", machines[reader].name));
    }
    let frozen_at = Instant::now();
    for (version, content) in &versions {
        let revision = store.put("config", "main", content);
        record.line(&format!("version {version} acknowledged at revision {revision}"));
        thread::sleep(VERSION_INTERVAL);
    }
    record.line("the last version moves /desk/ to desk-new");
    let acknowledged = Instant::now();
    let (mut woken, mut late, mut checked, mut round) = (!has_trouble(), 0, 0, 0);
    while acknowledged.elapsed() < WATCH_TIME {
        if !woken && frozen_at.elapsed() >= FREEZE_TIME {
            machines[reader].signal("CONT");
            record.line(&format!("{} goes on", machines[reader].name));
            woken = true;
        }
        round += 1;
        for (number, machine) in machines.iter().enumerate() {
            let is_frozen = has_trouble() && number == reader;
            if is_frozen && frozen_at.elapsed() < FREEZE_TIME + CONTACT_TIME {
                continue;
            }
            let sent = acknowledged.elapsed();
            let request =
                get("desk.example", "/desk/x", &format!("{}-{round}", machine.name), 2_000);
            let reply = exchange(machine.front(), &request, Duration::from_secs(2)).ok().flatten();
            let text = reply.map_or_else(String::new, |reply| {
                format!("{} {}", reply.status(), String::from_utf8_lossy(&reply.body))
            });
            let is_late = sent > APPLY_TIME && text.ends_with("i-desk-old");
            checked += usize::from(sent > APPLY_TIME);
            late += usize::from(is_late);
            record.line(&format!(
                "{} {:.2} s after the last version: {text}{}",
                machine.name,
                sent.as_secs_f64(),
                if is_late { " (too late for this service)" } else { "" }
            ));
        }
        thread::sleep(Duration::from_millis(250));
    }
    for reply in store.watch_replies().iter().filter(|reply| reply.kind == "config") {
        record.line(&format!("the store replied to a watch: {reply:?}"));
    }
    drop(machines);
    record.say(&format!("{late} of {checked} requests sent over 3 s after it ran as before it"));
    if checked == 0 {
        exit(2);
    }
    // A request or two at the edge of the bound don't count.
    if late > 3 {
        record.say("broken: an accepted configuration is not in force");
        exit(1);
    }
    record.say("held");
}

/// Returns the position of the machine that reads the store for the others.
fn reader_of(record: &Record, machines: &[Machine]) -> usize {
    let calls = |machine: &Machine| machine.metric("carobstep_store_calls_total{end=\"answered\"}");
    let before: Vec<f64> = machines.iter().map(calls).collect();
    thread::sleep(Duration::from_secs(3));
    let mut reader = (0, 0.0);
    for (number, machine) in machines.iter().enumerate() {
        let made = calls(machine) - before[number];
        record.line(&format!("{} made {made} calls to the store in 3 s", machine.name));
        if made > reader.1 {
            reader = (number, made);
        }
    }
    reader.0
}

/// Returns the versions that come in quick succession; the last one moves a route.
fn versions() -> Vec<(usize, String)> {
    let version = |number: usize| {
        let service = if number == VERSIONS { "desk-new" } else { "desk-old" };
        (10 + 3 * number, configuration(10 + 3 * number, service))
    };
    (1..=VERSIONS).map(version).collect()
}

/// Returns a configuration that sends `/desk/` to a service.
fn configuration(version: usize, service: &str) -> String {
    let shards: Vec<String> = (0..SHARDS).map(|shard| format!("fitting-{shard:03}")).collect();
    let gather: Vec<String> = shards.iter().map(|name| format!("\"{name}\"")).collect();
    let gather = gather.join(",");
    let mut routes = vec![format!(
        "{{\"name\":\"r-desk\",\"host\":\"desk.example\",\"path_prefix\":\"/desk/\",\
         \"type\":\"idempotent\",\"timeout_ms\":2000,\"goal_ms\":200,\"priority\":2,\
         \"service\":\"{service}\",\"attempts\":2}}"
    )];
    for number in 0..MORE_ROUTES {
        routes.push(format!(
            "{{\"name\":\"r-history-{number:05}\",\"host\":\"shop-{number:05}.example\",\
             \"path_prefix\":\"/garment-history/{number:05}/\",\"type\":\"idempotent\",\
             \"timeout_ms\":2000,\"goal_ms\":200,\"priority\":1,\"gather\":[{gather}],\
             \"attempts\":2,\"top_k\":20,\"oldest_version\":0.89}}"
        ));
    }
    let names = ["desk-old", "desk-new"].into_iter().map(str::to_owned).chain(shards);
    let services: Vec<String> = names
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":96,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":\
         {{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}
