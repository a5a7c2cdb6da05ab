//! Many searches with bodies of legal size at once, at machines whose zones have no servers.
//! They leave the searches to the only machine in the servers' zone.

mod common;

use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpStream},
    process::exit,
    sync::{Arc, Condvar, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use common::{
    answer, exchange, get, has_trouble, lock, post, Machine, Reader, Record, Server, Store,
};

/// Memory of each machine, in bytes: `limits.memory_mb` of its settings.
const MEMORY_BYTES: usize = 260_000_000;

/// Size of a body: `max_body_bytes` of the configuration.
const BODY_BYTES: usize = 262_144;

/// Size of a body without the disruption.
const SMALL_BODY_BYTES: usize = 200;

/// Clients at each of the machines in zones without servers.
const CLIENTS: usize = 240;

/// Time between the first requests of two clients of a machine. The bodies take 123 Mbit/s on
/// the link of each, and 617 Mbit/s on that of the machine beside the servers, of 1,000 each.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(17);

/// Time that a client waits, and the route's timeout.
const DEADLINE_MS: u64 = 8_000;

/// Shards of the index, and the time that a server works on a request, in two slots.
const SHARDS: usize = 30;
const WORK_TIME: Duration = Duration::from_millis(28);

const RUN_TIME: Duration = Duration::from_secs(20);

fn main() {
    let record = Record::create();
    let store = Store::start(Duration::from_secs(20));
    let mut servers = Vec::new();
    for shard in 0..SHARDS {
        let slots = Arc::new((Mutex::new(2usize), Condvar::new()));
        let server = Server::start(
            &format!("i-shard-{shard}"),
            Arc::new(move |arrival| {
                {
                    let mut free = lock(&slots.0);
                    while *free == 0 {
                        free = slots.1.wait(free).unwrap_or_else(PoisonError::into_inner);
                    }
                    *free -= 1;
                }
                thread::sleep(WORK_TIME);
                *lock(&slots.0) += 1;
                slots.1.notify_one();
                let stamp = arrival.stamp();
                arrival.send(&answer("200 OK", &stamp, &[7; 400]))
            }),
        );
        store.put("servers", &server.id, &server.entry(&format!("shard{shard}"), "z-b", "ready"));
        servers.push(server);
    }
    store.put("config", "main", &configuration());
    let places = [
        ("b-1", "z-b"),
        ("a-1", "z-a"),
        ("a-2", "z-a"),
        ("a-3", "z-a"),
        ("c-1", "z-c"),
        ("c-2", "z-c"),
    ];
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
    thread::sleep(Duration::from_secs(3));
    for machine in &machines {
        let request = get("s.example", "/s/x", &format!("first-{}", machine.name), DEADLINE_MS);
        let reply = exchange(machine.front(), &request, Duration::from_secs(9));
        let status = reply.ok().flatten().map_or(0, |reply| reply.status());
        record.line(&format!("a search at {}: {status}", machine.name));
        if status != 200 {
            record.say("could not run: no search is served");
            drop(machines);
            exit(2);
        }
    }
    let body_bytes = if has_trouble() { BODY_BYTES } else { SMALL_BODY_BYTES };
    let statuses = Arc::new(Mutex::new(BTreeMap::new()));
    let end = Instant::now() + RUN_TIME;
    for machine in &machines[1..] {
        for number in 0..CLIENTS {
            let (to, name) = (machine.front(), format!("{}-{number}", machine.name));
            let statuses = statuses.clone();
            let client = move || {
                thread::sleep(ARRIVAL_INTERVAL * number as u32);
                search(to, &name, body_bytes, end, &statuses);
            };
            if thread::Builder::new().stack_size(256 * 1024).spawn(client).is_err() {
                record.say("could not run: no further threads");
                drop(machines);
                exit(2);
            }
        }
    }
    let mut over = None;
    while Instant::now() < end && over.is_none() {
        thread::sleep(Duration::from_millis(250));
        let used: Vec<usize> = machines.iter().map(|machine| machine.memory()).collect();
        let text: Vec<String> = used.iter().map(|bytes| format!("{}", bytes / 1_000_000)).collect();
        record.line(&format!(
            "resident MB, first the machine beside the servers: {}; answers by status: {:?}",
            text.join(" "),
            lock(&statuses)
        ));
        for (machine, bytes) in machines.iter_mut().zip(used) {
            if let Some(status) = machine.ended() {
                over = Some(format!("the process on {} ended: {status}", machine.name));
            } else if bytes > MEMORY_BYTES {
                over = Some(format!(
                    "the process on {} holds {} MB of {} MB and would be killed",
                    machine.name,
                    bytes / 1_000_000,
                    MEMORY_BYTES / 1_000_000
                ));
            }
        }
    }
    drop(machines);
    match over {
        Some(text) => {
            record.say(&format!("broken: {text}"));
            exit(1);
        }
        None => record.say("held: each process stayed within the memory of its machine"),
    }
}

fn configuration() -> String {
    let names: Vec<String> = (0..SHARDS).map(|shard| format!("shard{shard}")).collect();
    let gather: Vec<String> = names.iter().map(|name| format!("\"{name}\"")).collect();
    let service = |name: &String| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":26,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    let services: Vec<String> = names.iter().map(service).collect();
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-s\",\"host\":\"s.example\",\
         \"path_prefix\":\"/s/\",\"type\":\"idempotent\",\"timeout_ms\":{DEADLINE_MS},\
         \"goal_ms\":40,\"priority\":1,\"gather\":[{}],\"attempts\":2,\"top_k\":20,\
         \"oldest_version\":0.75}}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":{BODY_BYTES},\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        gather.join(","),
        services.join(",")
    )
}

/// Searches again and again on one connection, each time after the answer to the last search.
fn search(
    to: SocketAddr,
    name: &str,
    body_bytes: usize,
    end: Instant,
    statuses: &Mutex<BTreeMap<u16, usize>>,
) {
    let body = vec![b'q'; body_bytes];
    let mut connection: Option<(TcpStream, Reader)> = None;
    let mut round = 0;
    while Instant::now() < end {
        let (mut socket, mut reader) = match connection.take() {
            Some(connection) => connection,
            None => {
                let Ok(socket) = TcpStream::connect(to) else { return };
                let _ = socket.set_read_timeout(Some(Duration::from_secs(10)));
                let Ok(other) = socket.try_clone() else { return };
                (socket, Reader::new(other))
            }
        };
        round += 1;
        let request = post("s.example", "/s/x", &format!("{name}-{round}"), DEADLINE_MS, &body);
        let sent = socket.write_all(&request).is_ok();
        let reply = if sent { reader.message().ok().flatten() } else { None };
        *lock(statuses).entry(reply.as_ref().map_or(0, |it| it.status())).or_default() += 1;
        let Some(reply) = reply else { continue };
        if reply.status() != 200 {
            let wait = reply.field("retry-after").and_then(|it| it.parse::<f64>().ok());
            thread::sleep(Duration::from_secs_f64(wait.unwrap_or(0.1).clamp(0.1, 2.0)));
        }
        if !reply.field("connection").is_some_and(|it| it.contains("close")) {
            connection = Some((socket, reader));
        }
    }
}
