//! A crowd of clients that read their answers very slowly, beside ordinary clients that read
//! theirs as fast as their links of 4.8 Mbit/s allow.

mod common;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    process::exit,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use common::{answer, connect_narrow, get, has_trouble, Machine, Reader, Record, Server, Store};

/// Size of a large answer, in bytes.
const ANSWER_BYTES: usize = 3_000_000;

/// Clients of the crowd, and the time between the requests of two of them: the answers take
/// 800 of 1,000 Mbit/s on the machine's link.
const CROWD: usize = 600;
const CROWD_INTERVAL: Duration = Duration::from_millis(30);

/// A client of the crowd reads a byte each half second.
const SIP_PAUSE: Duration = Duration::from_millis(500);

/// Ordinary clients, and the bytes that each of them reads in a second.
const ORDINARY: usize = 10;
const ORDINARY_RATE: usize = 600_000;

/// Number of reads in a second.
const READS_PER_SECOND: usize = 20;

const DEADLINE_MS: u64 = 8_000;

const RUN_TIME: Duration = Duration::from_secs(40);

/// Requests that a machine may leave without an answer.
const ALLOWED: usize = 3;

#[derive(Default)]
struct Counts {
    answered: AtomicUsize,
    lost: AtomicUsize,
    refused: AtomicUsize,
}

fn main() {
    let record = Record::create();
    let store = Store::start(Duration::from_secs(20));
    let body = Arc::new(vec![9; ANSWER_BYTES]);
    let mut servers = Vec::new();
    for number in 0..4 {
        let body = body.clone();
        let server = Server::start(
            &format!("i-sheet-{number}"),
            Arc::new(move |arrival| {
                let is_small = arrival.request.target().ends_with("/small");
                let size = if is_small { 200 } else { ANSWER_BYTES };
                let stamp = arrival.stamp();
                arrival.send(&answer("200 OK", &stamp, &body[..size]))
            }),
        );
        store.put("servers", &server.id, &server.entry("sheets", "z-a", "ready"));
        servers.push(server);
    }
    store.put("config", "main", CONFIGURATION);
    let mut machine = Machine::new("front-a-1", "z-a", 1);
    machine.start(store.address);
    if !machine.wait_ready(Duration::from_secs(15)) {
        record.say("could not run: the process is not ready");
        drop(machine);
        exit(2);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let crowd = if has_trouble() { CROWD } else { 0 };
    for number in 0..crowd {
        let (to, stop) = (machine.front(), stop.clone());
        let client = move || {
            thread::sleep(CROWD_INTERVAL * number as u32);
            read_slowly(to, number, &stop);
        };
        if thread::Builder::new().stack_size(128 * 1024).spawn(client).is_err() {
            record.say("could not run: no further threads");
            drop(machine);
            exit(2);
        }
    }
    let counts = Arc::new(Counts::default());
    for number in 0..ORDINARY {
        let (to, record, stop, counts) =
            (machine.front(), record.clone(), stop.clone(), counts.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(500 * number as u64));
            fetch(to, number, &record, &stop, &counts);
        });
    }
    let started = Instant::now();
    let mut peak = 0;
    while started.elapsed() < RUN_TIME {
        thread::sleep(Duration::from_millis(500));
        peak = peak.max(machine.memory());
        record.line(&format!("the process holds {} MB", machine.memory() / 1_000_000));
        if let Some(status) = machine.ended() {
            record.say(&format!("the process ended: {status}"));
            break;
        }
    }
    stop.store(true, Ordering::Relaxed);
    let [answered, lost, refused] = [&counts.answered, &counts.lost, &counts.refused]
        .map(|count| count.load(Ordering::Relaxed));
    record.say(&format!(
        "ordinary clients: {answered} large answers whole, {lost} connections closed before the \
         end of the answer, {refused} requests refused; the process held {} MB at most",
        peak / 1_000_000
    ));
    drop(machine);
    if answered + lost == 0 {
        exit(2);
    }
    if lost > ALLOWED {
        record.say("broken: requests of ordinary clients were run and not answered");
        exit(1);
    }
    record.say("held");
}

/// Fetches a large answer and reads it a byte each half second, again and again.
fn read_slowly(to: SocketAddr, number: usize, stop: &AtomicBool) {
    let mut round = 0;
    while !stop.load(Ordering::Relaxed) {
        round += 1;
        let begun = Instant::now();
        if let Ok(mut socket) = connect_narrow(to, 4 * 1024) {
            let id = format!("crowd-{number}-{round}");
            let _ = socket.set_read_timeout(Some(Duration::from_secs(4)));
            let _ = socket.write_all(&get("lib.example", "/sheet/large", &id, DEADLINE_MS));
            while let Ok(1) = socket.read(&mut [0]) {
                thread::sleep(SIP_PAUSE);
                if stop.load(Ordering::Relaxed) {
                    return;
                }
            }
        }
        let cycle = CROWD_INTERVAL * CROWD as u32;
        thread::sleep(cycle.saturating_sub(begun.elapsed()));
    }
}

/// Fetches a small and then a large answer on the same connection, again and again.
fn fetch(to: SocketAddr, number: usize, record: &Record, stop: &AtomicBool, counts: &Counts) {
    let mut round = 0;
    while !stop.load(Ordering::Relaxed) {
        round += 1;
        let Ok(socket) = connect_narrow(to, 64 * 1024) else { continue };
        let _ = socket.set_read_timeout(Some(Duration::from_secs(9)));
        let Ok(other) = socket.try_clone() else { continue };
        let mut reader = Reader::new(other);
        let id = format!("ordinary-{number}-{round}");
        let small = get("lib.example", "/sheet/small", &format!("{id}-small"), DEADLINE_MS);
        let kept = (&socket).write_all(&small).is_ok()
            && matches!(reader.message(), Ok(Some(ref reply)) if reply.status() == 200);
        if !kept {
            counts.refused.fetch_add(1, Ordering::Relaxed);
            record.line(&format!("{id}: refused before the large request"));
            thread::sleep(Duration::from_millis(200));
            continue;
        }
        let sent = Instant::now();
        let (status, bytes) = read_large(&socket, &mut reader, &id);
        let text = format!(
            "{id}: status {status}, {bytes} of {ANSWER_BYTES} bytes in {:.2} s",
            sent.elapsed().as_secs_f64()
        );
        // Only answers of a server count: a refusal or a failure is one as well.
        if status != 200 && status != 0 {
            counts.refused.fetch_add(1, Ordering::Relaxed);
            record.line(&text);
            thread::sleep(Duration::from_millis(200));
        } else if bytes == ANSWER_BYTES {
            counts.answered.fetch_add(1, Ordering::Relaxed);
            record.line(&text);
        } else if !stop.load(Ordering::Relaxed) {
            counts.lost.fetch_add(1, Ordering::Relaxed);
            record.line(&format!("{text}; the connection was closed"));
        }
    }
}

/// Sends the large request; returns the status, zero if there is none, and the bytes read.
fn read_large(socket: &TcpStream, reader: &mut Reader, id: &str) -> (u16, usize) {
    let mut socket = socket;
    if socket.write_all(&get("lib.example", "/sheet/large", id, DEADLINE_MS)).is_err() {
        return (0, 0);
    }
    let Ok(Some(head)) = reader.head() else { return (0, 0) };
    let mut bytes = 0;
    while head.status() == 200 && bytes < ANSWER_BYTES {
        let begun = Instant::now();
        let count = (ORDINARY_RATE / READS_PER_SECOND).min(ANSWER_BYTES - bytes);
        if reader.exact(count).is_err() {
            break;
        }
        bytes += count;
        let interval = Duration::from_secs(1) / READS_PER_SECOND as u32;
        thread::sleep(interval.saturating_sub(begun.elapsed()));
    }
    (head.status(), bytes)
}

const CONFIGURATION: &str = "{\"version\":7,\"routes\":[{\"name\":\"r-sheet\",\
    \"host\":\"lib.example\",\"path_prefix\":\"/sheet/\",\"type\":\"idempotent\",\
    \"timeout_ms\":8000,\"goal_ms\":800,\"priority\":2,\"service\":\"sheets\",\"attempts\":2}],\
    \"services\":[{\"name\":\"sheets\",\"health_path\":\"/healthz\",\"max_conns\":96,\
    \"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\
    \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
