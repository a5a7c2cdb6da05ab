//! Stand-ins that the scripts of the review share: the platform's store, backend servers,
//! clients, and the processes of the project. They follow the users' pages and use only the
//! standard library.

#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    fs::{self, File},
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

/// Locks a mutex, also after a panic of another thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether the disruption of the case is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// What was sent, answered and run; `record.txt` in the folder of the case.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<File>>,
}

impl Record {
    pub fn create() -> Self {
        let path = std::env::var("RECORD").expect("RECORD names the file for the record");
        let file = File::create(path).expect("a file for the record");
        Self { started: Instant::now(), lines: Arc::new(Mutex::new(file)) }
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let _ = writeln!(lock(&self.lines), "{:8.3} {text}", self.seconds());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// A message of HTTP/1.1: its first line, its header fields and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The status of an answer; zero if it has none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads messages from a connection.
pub struct Reader {
    socket: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(socket: TcpStream) -> Self {
        Self { socket, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16384];
        let count = self.socket.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Reads the head of a message; `None` if the connection ends before it.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                break end;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields = fields.map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()));
        Ok(Some(Message { start, fields: fields.collect(), body: Vec::new() }))
    }

    /// Reads a whole message with a stated length or in chunks.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else { return Ok(None) };
        if message.field("transfer-encoding").is_some_and(|it| it.contains("chunked")) {
            message.body = self.chunks()?;
            return Ok(Some(message));
        }
        let length = message.field("content-length").and_then(|text| text.parse().ok());
        message.body = self.exact(length.unwrap_or(0))?;
        Ok(Some(message))
    }

    pub fn exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                    break end;
                }
                if self.fill()? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            };
            let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let text = String::from_utf8_lossy(&line);
            let size = usize::from_str_radix(text.trim(), 16).unwrap_or(0);
            body.extend(self.exact(size)?);
            self.exact(2)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
}

/// Builds an answer with a body of a stated length.
pub fn answer(status: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{fields}\r\n", body.len());
    [head.as_bytes(), body].concat()
}

// The store.

#[derive(Clone)]
struct StoredObject {
    rev: u64,
    created: u64,
    spec: String,
}

struct StoreEvent {
    rev: u64,
    at: Instant,
    kind: String,
    name: String,
    deleted: bool,
    spec: String,
}

/// A reply to a watch that has events.
#[derive(Clone, Debug)]
pub struct WatchReply {
    pub seconds: f64,
    pub kind: String,
    pub after: u64,
    pub events: usize,
    pub bytes: usize,
}

#[derive(Default)]
struct StoreState {
    rev: u64,
    objects: BTreeMap<(String, String), StoredObject>,
    events: Vec<StoreEvent>,
    /// Revision up to which the history is gone.
    forgotten: u64,
    watch_replies: Vec<WatchReply>,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
    history: Duration,
    started: Instant,
}

impl Store {
    /// Starts a store that forgets its history after that time.
    pub fn start(history: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let address = listener.local_addr().expect("an address");
        let state = StoreState { rev: 100, forgotten: 100, ..StoreState::default() };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let store = Self { address, state, history, started: Instant::now() };
        let serving = store.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(socket));
            }
        });
        store
    }

    /// Writes an object; returns the revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut state = lock(&self.state.0);
        state.write(kind, name, spec);
        let rev = state.rev;
        drop(state);
        self.state.1.notify_all();
        rev
    }

    pub fn delete(&self, kind: &str, name: &str) {
        lock(&self.state.0).delete(kind, name);
        self.state.1.notify_all();
    }

    /// Returns the replies to watches that have events.
    pub fn watch_replies(&self) -> Vec<WatchReply> {
        lock(&self.state.0).watch_replies.clone()
    }

    fn serve(&self, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let Ok(mut writer) = socket.try_clone() else { return };
        let mut reader = Reader::new(socket);
        while let Ok(Some(request)) = reader.message() {
            let reply = self.reply(&request);
            if writer.write_all(&reply).is_err() {
                return;
            }
        }
    }

    fn reply(&self, request: &Message) -> Vec<u8> {
        let json = "Content-Type: application/json\r\n";
        let target = request.target().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|part| part.split_once('=')).collect();
        let mut parts = path.trim_start_matches("/objects/").splitn(2, '/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().map(str::to_owned);
        let mut state = lock(&self.state.0);
        state.forget(self.history);
        match (request.method(), name) {
            ("GET", None) if query.contains_key("watch") => {
                let after = query["watch"].parse().unwrap_or(0);
                let wait = query.get("wait_ms").and_then(|it| it.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    state.forget(self.history);
                    if after < state.forgotten {
                        return answer("410 Gone", json, b"{}");
                    }
                    let left = until.saturating_duration_since(Instant::now());
                    let events = state.events_after(&kind, after);
                    if !events.is_empty() || left.is_zero() {
                        let count = events.len();
                        let (events, rev) = (events.join(","), state.rev);
                        let body = format!("{{\"events\":[{events}],\"as_of\":{rev}}}");
                        if count > 0 {
                            state.watch_replies.push(WatchReply {
                                seconds: self.started.elapsed().as_secs_f64(),
                                kind,
                                after,
                                events: count,
                                bytes: body.len(),
                            });
                        }
                        return answer("200 OK", json, body.as_bytes());
                    }
                    let step = left.min(Duration::from_millis(200));
                    let waited = self.state.1.wait_timeout(state, step);
                    state = waited.unwrap_or_else(PoisonError::into_inner).0;
                }
            }
            ("GET", None) => {
                let after = query.get("after").copied().unwrap_or_default();
                let (mut items, mut more, mut bytes) = (Vec::new(), false, 0);
                for ((other, name), object) in &state.objects {
                    if *other != kind || !after.is_empty() && name.as_str() <= after {
                        continue;
                    }
                    // A page holds about 500 objects or 1 MB.
                    if items.len() >= 500 || bytes >= 1_000_000 {
                        more = true;
                        break;
                    }
                    let item = text_of(name, object.rev, object.created, &object.spec);
                    bytes += item.len();
                    items.push(item);
                }
                let (items, rev) = (items.join(","), state.rev);
                let body = format!("{{\"items\":[{items}],\"more\":{more},\"as_of\":{rev}}}");
                answer("200 OK", json, body.as_bytes())
            }
            ("GET", Some(name)) => match state.objects.get(&(kind, name.clone())) {
                Some(object) => {
                    let body = text_of(&name, object.rev, object.created, &object.spec);
                    answer("200 OK", json, body.as_bytes())
                }
                None => answer("404 Not Found", json, b"{}"),
            },
            ("POST", None) => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                let name = string_field(&text, "name").unwrap_or_default();
                let known = state.objects.get(&(kind.clone(), name.clone())).cloned();
                if let Some(object) = known {
                    let body = text_of(&name, object.rev, object.created, &object.spec);
                    return answer("409 Conflict", json, body.as_bytes());
                }
                state.write(&kind, &name, &object_field(&text, "spec"));
                let rev = state.rev;
                let body = text_of(&name, rev, rev, &object_field(&text, "spec"));
                drop(state);
                self.state.1.notify_all();
                answer("201 Created", json, body.as_bytes())
            }
            (method @ ("PUT" | "DELETE"), Some(name)) => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                let Some(object) = state.objects.get(&(kind.clone(), name.clone())).cloned() else {
                    return answer("404 Not Found", json, b"{}");
                };
                let wanted = query.get("rev").and_then(|it| it.parse::<u64>().ok());
                if wanted.is_some_and(|wanted| wanted != object.rev) {
                    let body = text_of(&name, object.rev, object.created, &object.spec);
                    return answer("409 Conflict", json, body.as_bytes());
                }
                let spec = if method == "PUT" {
                    let spec = object_field(&text, "spec");
                    state.write(&kind, &name, &spec);
                    spec
                } else {
                    state.delete(&kind, &name);
                    object.spec
                };
                let body = text_of(&name, state.rev, object.created, &spec);
                drop(state);
                self.state.1.notify_all();
                answer("200 OK", json, body.as_bytes())
            }
            _ => answer("404 Not Found", json, b"{}"),
        }
    }
}

impl StoreState {
    fn write(&mut self, kind: &str, name: &str, spec: &str) {
        let key = (kind.to_owned(), name.to_owned());
        // A write that changes nothing is no event.
        if self.objects.get(&key).is_some_and(|object| object.spec == spec) {
            return;
        }
        self.rev += 1;
        let rev = self.rev;
        let created = self.objects.get(&key).map_or(rev, |object| object.created);
        self.objects.insert(key, StoredObject { rev, created, spec: spec.to_owned() });
        self.add_event(kind, name, false, spec.to_owned());
    }

    fn delete(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = self.objects.remove(&key) else { return };
        self.rev += 1;
        self.add_event(kind, name, true, object.spec);
    }

    fn add_event(&mut self, kind: &str, name: &str, deleted: bool, spec: String) {
        let (kind, name) = (kind.to_owned(), name.to_owned());
        self.events.push(StoreEvent {
            rev: self.rev,
            at: Instant::now(),
            kind,
            name,
            deleted,
            spec,
        });
    }

    fn forget(&mut self, history: Duration) {
        while self.events.first().is_some_and(|event| event.at.elapsed() > history) {
            self.forgotten = self.events.remove(0).rev;
        }
    }

    fn events_after(&self, kind: &str, after: u64) -> Vec<String> {
        let events = self.events.iter().filter(|event| event.kind == kind && event.rev > after);
        let text = |event: &StoreEvent| {
            let object = text_of(&event.name, event.rev, event.rev, &event.spec);
            format!("{{\"deleted\":{},\"object\":{object}}}", event.deleted)
        };
        events.map(text).collect()
    }
}

fn text_of(name: &str, rev: u64, created: u64, spec: &str) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"rev\":{rev},\"created_rev\":{created},\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

/// Returns the first string field of that name.
pub fn string_field(text: &str, name: &str) -> Option<String> {
    let rest = text.split_once(&format!("\"{name}\""))?.1;
    let rest = rest.split_once('"')?.1;
    Some(rest.split_once('"')?.0.to_owned())
}

/// Returns the text of the first field of that name that is an object.
fn object_field(text: &str, name: &str) -> String {
    let Some((_, rest)) = text.split_once(&format!("\"{name}\"")) else { return "null".into() };
    let Some(start) = rest.find('{') else { return "null".into() };
    let (mut depth, mut is_string, mut is_escaped) = (0, false, false);
    for (position, byte) in rest.bytes().enumerate().skip(start) {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if is_string => is_escaped = true,
            b'"' => is_string = !is_string,
            b'{' if !is_string => depth += 1,
            b'}' if !is_string => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return rest[start..=position].to_owned();
        }
    }
    "null".into()
}

// Backend servers.

/// A request at a server and the connection that it came on.
pub struct Arrival<'server> {
    pub server: &'server Server,
    pub request: Message,
    pub socket: &'server mut TcpStream,
    /// Number of requests on this connection before this one.
    pub position: usize,
}

/// What a server does with a request that it doesn't turn away; returns whether it keeps the
/// connection.
pub type Behaviour = Arc<dyn Fn(&mut Arrival<'_>) -> bool + Send + Sync>;

/// A backend server.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    behaviour: Behaviour,
}

impl Server {
    pub fn start(id: &str, behaviour: Behaviour) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a server");
        let address = listener.local_addr().expect("an address");
        let server = Self { id: id.to_owned(), address, behaviour };
        let serving = server.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let server = serving.clone();
                thread::spawn(move || server.serve(socket));
            }
        });
        server
    }

    fn serve(&self, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let Ok(mut writer) = socket.try_clone() else { return };
        let mut reader = Reader::new(socket);
        let mut position = 0;
        while let Ok(Some(request)) = reader.message() {
            let instance = format!("X-Carobstep-Instance-Id: {}\r\n", self.id);
            if request.target() == "/healthz" {
                if writer.write_all(&answer("200 OK", &instance, b"ok")).is_err() {
                    return;
                }
                continue;
            }
            let expected = request.field("x-carobstep-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                if writer.write_all(&answer("421 Misdirected Request", &instance, b"")).is_err() {
                    return;
                }
                continue;
            }
            let mut arrival = Arrival { server: self, request, socket: &mut writer, position };
            if !(self.behaviour)(&mut arrival) {
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
            position += 1;
        }
    }

    /// The text of its entry in the store.
    pub fn entry(&self, service: &str, zone: &str, state: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"addr\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":2,\"state\":\"{state}\",\"cold_left_ms\":0,\"seq\":1,\
             \"born\":1700000000000}}",
            self.address
        )
    }
}

impl Arrival<'_> {
    pub fn id(&self) -> String {
        self.request.field("x-carobstep-request-id").unwrap_or_default().to_owned()
    }

    /// The header fields that every answer of the server has.
    pub fn stamp(&self) -> String {
        let (server, id) = (&self.server.id, self.id());
        format!("X-Carobstep-Request-Id: {id}\r\nX-Carobstep-Server-Stamp: {server}.{id}\r\n")
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.socket.write_all(bytes).is_ok()
    }
}

// Processes of the project.

/// The settings of one machine; each has a loopback address of its own.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub ip: String,
    /// Further lines of the settings file.
    pub more: &'static str,
    dir: PathBuf,
    child: Option<Child>,
}

/// Returns a loopback address that other runs at the same time hardly use.
pub fn loopback(number: u8) -> String {
    let process = std::process::id();
    format!("127.{}.{}.{}", 16 + process / 250 % 200, 1 + process % 250, number)
}

impl Machine {
    pub fn new(name: &str, zone: &str, number: u8) -> Self {
        let dir = std::env::temp_dir().join(format!("review-2-{}-{name}", std::process::id()));
        fs::create_dir_all(&dir).expect("a folder");
        let (name, zone) = (name.to_owned(), zone.to_owned());
        Self { name, zone, ip: loopback(number), more: "", dir, child: None }
    }

    /// Starts the program with the command of the deploy file.
    pub fn start(&mut self, store: SocketAddr) {
        let Self { name, zone, ip, more, dir, .. } = self;
        let text = format!(
            "node={name}\nrole=gateway\nclass=front\nserves=front\nip={ip}\nzone={zone}\n\
             region=r\nlisten.front={ip}:8104\nlisten.ready={ip}:8108\nport_range=7380,7395\n\
             bootstrap=true\nloss_counts=false\nlimits.cpu_share=0.25\nlimits.cores=1\n\
             limits.memory_mb=260\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\n\
             limits.disk_mb=0\ndiscovery=platform\nentry=vip\nheartbeat_ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,scatter,platform\n\
             tolerate.machines=2\ntolerate.zones=1\ntolerate.regions=0\n\
             bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.contact_ms=4000\n\
             bounds.ack_ms=5000\nbounds.catch_up_s=4\nbounds.drain_ms=3000\nbounds.grace_s=6\n\
             bounds.loss_slack_ms=200\nbounds.config_apply_ms=3000\n\
             bounds.rollback_slack_ms=250\nbounds.max_stretch_ms=12000\n\
             bounds.retry_ratio=0.2\nbounds.retry_window_s=10\nbounds.retry_slack=52\n\
             bounds.recover_s=12\nplatform.addr={store}\nplatform.form=objects\n\
             platform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.history_s=20\n\
             platform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n{more}"
        );
        fs::write(dir.join("settings.conf"), text).expect("a settings file");
        let log = File::options().create(true).append(true).open(dir.join("log")).expect("a log");
        let child = Command::new("target/release/carobstepd")
            .args(["gateway", "--metrics", "9464"])
            .env("CAROBSTEP_BOOT", dir.join("settings.conf"))
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().expect("a log")))
            .stderr(Stdio::from(log))
            .spawn();
        let child = child.expect("target/release/carobstepd starts");
        // The script ends these processes if this one is ended.
        if let Some(list) = std::env::var_os("PIDS") {
            let list = File::options().create(true).append(true).open(list);
            let _ = list.and_then(|mut list| writeln!(list, "{}", child.id()));
        }
        self.child = Some(child);
    }

    pub fn front(&self) -> SocketAddr {
        format!("{}:8104", self.ip).parse().expect("an address")
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Whether the load balancer's question is answered with 200.
    pub fn is_ready(&self) -> bool {
        let address: SocketAddr = format!("{}:8108", self.ip).parse().expect("an address");
        let request = "GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        matches!(exchange(address, request.as_bytes(), Duration::from_secs(1)),
            Ok(Some(reply)) if reply.status() == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        let _ = Command::new("kill").args([&format!("-{name}"), &pid]).status();
    }

    /// Returns the exit status as text if the process has ended.
    pub fn ended(&mut self) -> Option<String> {
        let child = self.child.as_mut()?;
        child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Resident memory of the process, in bytes.
    pub fn memory(&self) -> usize {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
        let word = line.split_whitespace().nth(1).unwrap_or("0");
        word.parse::<usize>().unwrap_or(0) * 1024
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns what the process has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(self.dir.join("log")).unwrap_or_default()
    }

    /// Returns the first metric that begins with `name`; -1 if there is none.
    pub fn metric(&self, name: &str) -> f64 {
        let address: SocketAddr = format!("{}:9464", self.ip).parse().expect("an address");
        let request = "GET /metrics HTTP/1.1\r\nHost: metrics\r\nConnection: close\r\n\r\n";
        let reply = exchange(address, request.as_bytes(), Duration::from_secs(2));
        let Ok(Some(reply)) = reply else { return -1.0 };
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        let line = text.lines().find(|line| line.starts_with(name)).unwrap_or_default();
        line.rsplit(' ').next().and_then(|word| word.parse().ok()).unwrap_or(-1.0)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

// Clients.

/// Sends a request on a new connection and reads the answer; `None` if the connection ends
/// without one.
pub fn exchange(to: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Option<Message>> {
    let socket = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    socket.set_read_timeout(Some(limit))?;
    socket.set_nodelay(true)?;
    (&socket).write_all(request)?;
    Reader::new(socket).message()
}

/// Builds a request without a body.
pub fn get(host: &str, path: &str, id: &str, deadline_ms: u64) -> Vec<u8> {
    format!(
        "GET {path} HTTP/1.1\r\nHost: {host}\r\nX-Carobstep-Request-Id: {id}\r\n\
         X-Carobstep-Deadline-Ms: {deadline_ms}\r\n\r\n"
    )
    .into_bytes()
}

/// Builds a request with a body.
pub fn post(host: &str, path: &str, id: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {host}\r\nX-Carobstep-Request-Id: {id}\r\n\
         X-Carobstep-Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Opens a connection as over a network, not over the loopback device: with packets of 1,460
/// bytes and a receive buffer of that size.
pub fn connect_narrow(to: SocketAddr, buffer_bytes: i32) -> io::Result<TcpStream> {
    use std::os::fd::{FromRawFd, OwnedFd};
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOCK_CLOEXEC: i32 = 0o2_000_000;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    extern "C" {
        fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, size: u32) -> i32;
        fn connect(fd: i32, address: *const u8, size: u32) -> i32;
    }
    let SocketAddr::V4(to) = to else { return Err(io::ErrorKind::Unsupported.into()) };
    let mut address = [0u8; 16];
    address[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    address[2..4].copy_from_slice(&to.port().to_be_bytes());
    address[4..8].copy_from_slice(&to.ip().octets());
    // SAFETY: the calls get valid pointers and lengths, and the descriptor is owned once.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let owned = OwnedFd::from_raw_fd(fd);
        let segment = 1460i32;
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, 4);
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, 4);
        if connect(fd, address.as_ptr(), 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(TcpStream::from(owned))
    }
}
