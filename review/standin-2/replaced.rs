//! A server of one service is replaced, and the new one has an identifier that nodes can't tell
//! from that of a server of another service.

mod common;

use std::{
    process::exit,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

use common::{answer, exchange, get, has_trouble, Machine, Record, Server, Store};

/// Identifier of a server of the first shard.
const SHARD_ID: &str = "i-ddefe50c";

/// Identifier of the new server of the desk, and the one that it has without the disruption.
const NEW_DESK_ID: &str = "i-bebf4198";
const OTHER_DESK_ID: &str = "i-bebf4199";

const SEARCHES: usize = 60;

fn main() {
    let record = Record::create();
    let store = Store::start(Duration::from_secs(20));
    let foreign = Arc::new(AtomicUsize::new(0));
    let start = |id: &str, service: &str| {
        let (record, foreign, service) = (record.clone(), foreign.clone(), service.to_owned());
        Server::start(
            id,
            Arc::new(move |arrival| {
                let target = arrival.request.target().to_owned();
                // A search is for the shards, everything else for the desk.
                let is_foreign = target.starts_with("/search/") != service.starts_with("shard");
                if is_foreign {
                    foreign.fetch_add(1, Ordering::Relaxed);
                }
                record.line(&format!(
                    "server {} of {service} runs {} {target}{}",
                    arrival.server.id,
                    arrival.id(),
                    if is_foreign { ": no configuration sends it there" } else { "" }
                ));
                let stamp = arrival.stamp();
                arrival.send(&answer("200 OK", &stamp, &[service.as_bytes()[0]; 32]))
            }),
        )
    };
    let shard_ids =
        [[SHARD_ID, "i-e8a40c93"], ["i-5be1207f", "i-90c6d2aa"], ["i-c3779e04", "i-f64b8d15"]];
    let mut servers = Vec::new();
    for (shard, ids) in shard_ids.iter().enumerate() {
        for id in ids {
            let service = format!("shard{shard}");
            let server = start(id, &service);
            store.put("servers", id, &server.entry(&service, "z-b", "ready"));
            servers.push(server);
        }
    }
    // Of the three servers of the desk, the first is replaced.
    let desk = ["i-2d40f1b6", "i-41c7e05d", "i-7b9a36f2"].map(|id| start(id, "desk"));
    for server in &desk {
        store.put("servers", &server.id, &server.entry("desk", "z-b", "ready"));
    }
    let [old, ..] = &desk;
    store.put("config", "main", CONFIGURATION);
    let mut machines =
        vec![Machine::new("front-b-1", "z-b", 1), Machine::new("front-a-1", "z-a", 2)];
    for machine in &mut machines {
        machine.start(store.address);
    }
    if !machines.iter().all(|machine| machine.wait_ready(Duration::from_secs(15))) {
        record.say("could not run: a process is not ready");
        drop(machines);
        exit(2);
    }
    thread::sleep(Duration::from_secs(4));
    let before = search_all(&record, &machines, "before");
    let ran_before = foreign.swap(0, Ordering::Relaxed);
    // The release: the new server starts first, the old one drains and leaves.
    let new = start(if has_trouble() { NEW_DESK_ID } else { OTHER_DESK_ID }, "desk");
    store.put("servers", &new.id, &new.entry("desk", "z-b", "ready"));
    record.line(&format!("server {} of desk registers", new.id));
    thread::sleep(Duration::from_secs(2));
    let draining = old.entry("desk", "z-b", "draining").replace("\"seq\":1", "\"seq\":2");
    store.put("servers", &old.id, &draining);
    thread::sleep(Duration::from_secs(3));
    store.delete("servers", &old.id);
    thread::sleep(Duration::from_secs(3));
    let after = search_all(&record, &machines, "after");
    let ran = foreign.load(Ordering::Relaxed);
    drop(machines);
    if before.0 == 0 || ran_before > 0 || before.1 > 0 {
        record.say(&format!("could not run: before the release, {before:?} and {ran_before}"));
        exit(2);
    }
    record.say(&format!(
        "after the release: {ran} searches run by the desk; {} of {} answers hold its signature",
        after.1, after.0
    ));
    if ran > 0 || after.1 > 0 {
        record.say("broken: a service runs requests that no configuration sends it");
        exit(1);
    }
    record.say("held");
}

/// Sends searches to each machine; returns the number of successes and of those with a
/// signature of a server that belongs to no shard.
fn search_all(record: &Record, machines: &[Machine], label: &str) -> (usize, usize) {
    let (mut successes, mut wrong) = (0, 0);
    for number in 0..SEARCHES {
        for machine in machines {
            let id = format!("{label}-{}-{number}", machine.name);
            let request = get("s.example", "/search/x", &id, 2_000);
            let reply = exchange(machine.front(), &request, Duration::from_secs(3)).ok().flatten();
            let Some(reply) = reply else { continue };
            let stamps = reply.field("x-carobstep-part-stamps").unwrap_or_default().to_owned();
            let is_wrong = [NEW_DESK_ID, OTHER_DESK_ID].iter().any(|id| stamps.contains(id));
            successes += usize::from(reply.status() == 200);
            wrong += usize::from(is_wrong);
            record.line(&format!(
                "{id}: {} with {stamps}{}",
                reply.status(),
                if is_wrong { ": a part of another service" } else { "" }
            ));
        }
        thread::sleep(Duration::from_millis(20));
    }
    (successes, wrong)
}

const CONFIGURATION: &str = "{\"version\":7,\"routes\":[{\"name\":\"r-search\",\
    \"host\":\"s.example\",\"path_prefix\":\"/search/\",\"type\":\"idempotent\",\
    \"timeout_ms\":2000,\"goal_ms\":200,\"priority\":1,\
    \"gather\":[\"shard0\",\"shard1\",\"shard2\"],\"attempts\":2,\"top_k\":20,\
    \"oldest_version\":0.6},{\"name\":\"r-desk\",\"host\":\"s.example\",\
    \"path_prefix\":\"/desk/\",\"type\":\"non_idempotent\",\"timeout_ms\":2000,\
    \"goal_ms\":200,\"priority\":2,\"service\":\"desk\",\"attempts\":2}],\"services\":[\
    {\"name\":\"shard0\",\"health_path\":\"/healthz\",\"max_conns\":25,\"protocol\":\"h1\",\"tls\":false},\
    {\"name\":\"shard1\",\"health_path\":\"/healthz\",\"max_conns\":25,\"protocol\":\"h1\",\"tls\":false},\
    {\"name\":\"shard2\",\"health_path\":\"/healthz\",\"max_conns\":25,\"protocol\":\"h1\",\"tls\":false},\
    {\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_conns\":96,\"protocol\":\"h1\",\"tls\":false}],\
    \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
    \"idle_timeout_ms\":15000}}";
