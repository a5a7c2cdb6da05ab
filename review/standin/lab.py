"""Stand-ins for a small deployment: the platform's store, backends and clients.

They follow the users' pages (PROTOCOL.md, DEPLOY.md). The gateway itself runs as separate
processes with the command of deploy/system.toml; every address is a loopback address.
"""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# A network of its own for each run, since the deploy file fixes the port of the metrics.
NET = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250 + 1}"


class Unable(Exception):
    """The case can't run."""


class Record:
    """What was sent, answered and run, one JSON object a line."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, what, **fields):
        line = {"at": round(self.now(), 3), "what": what, **fields}
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()


async def read_message(reader):
    """Reads a request or a response with a length; returns its first line, headers, body."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


def message(first, headers, body=b""):
    lines = [first, *(f"{name}: {value}" for name, value in headers), f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """The platform's store: objects by kind and name, lists, watches and conditions."""

    def __init__(self, lab):
        self.lab = lab
        self.rev = 100
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()
        self.servers = {}
        self.waiting = {}

    async def address_for(self, caller):
        """Returns an address of the store; a case sees there which node calls."""
        if caller not in self.servers:
            host = f"{NET}.{100 + len(self.servers)}"
            self.servers[caller] = await asyncio.start_server(
                lambda reader, writer: self.serve(caller, reader, writer), host, 0)
        return "%s:%d" % self.servers[caller].sockets[0].getsockname()

    def cut_watch(self, caller, kind):
        """Cuts off the watch of a node; returns how long it has been waiting, if it has."""
        started, writer = self.waiting.get((caller, kind), (None, None))
        if writer is None:
            return None
        waited = self.lab.record.now() - started
        self.lab.record.write("watch cut off", node=caller, kind=kind, waited=round(waited, 3))
        writer.transport.abort()
        return waited

    def change(self, kind, name, spec, deleted=False):
        """Writes an object; `spec` is a value, or the bytes that lie in the store."""
        raw = spec if isinstance(spec, bytes) else json.dumps(spec).encode()
        of_kind = self.objects.setdefault(kind, {})
        known = of_kind.get(name)
        if not deleted and known and known["raw"] == raw:
            return known
        self.rev += 1
        made = known["made"] if known else self.rev
        entry = {"name": name, "rev": self.rev, "made": made, "raw": raw}
        if deleted:
            of_kind.pop(name, None)
        else:
            of_kind[name] = entry
        self.events.append((self.rev, kind, entry, deleted))
        self.changed.set()
        self.changed = asyncio.Event()
        return entry

    def encode(self, entry):
        meta = {"name": entry["name"], "rev": entry["rev"], "created_rev": entry["made"],
                "finalizers": [], "deleting": False}
        return b'{"meta":' + json.dumps(meta).encode() + b',"spec":' + entry["raw"] + b',"status":null}'

    async def serve(self, caller, reader, writer):
        self.lab.tasks.add(asyncio.current_task())
        try:
            while True:
                first, _, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                key = (caller, target.split("/")[2].split("?")[0])
                if "watch=" in target:
                    self.waiting[key] = (self.lab.record.now(), writer)
                try:
                    status, reply = await self.answer(method, target, body)
                finally:
                    self.waiting.pop(key, None)
                headers = [("Content-Type", "application/json"), ("Store-Era", "0")]
                writer.write(message(f"HTTP/1.1 {status} X", headers, reply))
                await writer.drain()
                self.lab.on_store_answer(caller, method, target)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        await asyncio.sleep(0.004)
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        _, _, kind, *rest = url.path.split("/")
        name = urllib.parse.unquote(rest[0]) if rest else None
        of_kind = self.objects.setdefault(kind, {})
        if method == "GET" and name:
            entry = of_kind.get(name)
            return (200, self.encode(entry)) if entry else (404, b"{}")
        if method == "GET" and "watch" in query:
            after, wait = int(query["watch"]), int(query.get("wait_ms", 0)) / 1000
            until = time.monotonic() + wait
            while True:
                found = [it for it in self.events if it[0] > after and it[1] == kind]
                left = until - time.monotonic()
                if found or left <= 0:
                    break
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            events = [b'{"deleted":%s,"object":%s}' % (b"true" if gone else b"false", self.encode(entry))
                      for _, _, entry, gone in found]
            return 200, b'{"events":[' + b",".join(events) + b'],"as_of":%d}' % self.rev
        if method == "GET":
            names = sorted(it for it in of_kind if it > query.get("after", ""))
            items = [self.encode(of_kind[it]) for it in names[:500]]
            more = b"true" if len(names) > 500 else b"false"
            return 200, b'{"items":[' + b",".join(items) + b'],"more":%s,"as_of":%d}' % (more, self.rev)
        value = json.loads(body) if body else {}
        condition = query.get("rev") or value.get("meta", {}).get("rev")

        def holds():
            return name in of_kind and condition in (None, of_kind[name]["rev"], str(of_kind[name]["rev"]))

        if method == "DELETE":
            late = self.lab.late_delete(kind, name)
            if late:
                # Done later, if its condition still holds, and not answered; the connection
                # returns nothing further.
                self.lab.record.write("late write", call=f"{method} {kind}/{name}", after_s=late)
                await asyncio.sleep(late)
                if holds():
                    self.change(kind, name, b"null", deleted=True)
                    self.lab.record.write("late write done", call=f"{method} {kind}/{name}")
                await asyncio.Event().wait()
            if name not in of_kind:
                return 404, b"{}"
            if not holds():
                return 409, self.encode(of_kind[name])
            return 200, self.encode(self.change(kind, name, b"null", deleted=True))
        if method == "POST":
            name = value["meta"]["name"]
            if name in of_kind:
                return 409, self.encode(of_kind[name])
        elif name not in of_kind:
            return 404, b"{}"
        elif not holds():
            return 409, self.encode(of_kind[name])
        return 200, self.encode(self.change(kind, name, value.get("spec")))


class Backend:
    """A backend: `slots` requests at once, a short queue, refusals beyond it, a health check."""

    def __init__(self, lab, ident, service, zone, slots=2, queue=8):
        self.lab, self.ident, self.service, self.zone = lab, ident, service, zone
        self.slots, self.queue = slots, queue
        self.state, self.seq, self.told = "ready", 0, None
        self.born = int(time.time() * 1000)
        self.held, self.answers = 0, 0
        self.free = asyncio.Semaphore(slots)
        self.connections = set()
        self.server = None
        self.address = None
        self.is_listed = True

    async def start(self):
        host, port = self.address or (f"{NET}.2", 0)
        self.server = await asyncio.start_server(self.accept, host, port)
        self.address = self.server.sockets[0].getsockname()
        self.register()

    def register(self):
        self.seq += 1
        told = (self.address, self.state, self.born)
        if told == self.told and self.ident in self.lab.store.objects["servers"]:
            return  # The entry changes when more than `seq` does.
        self.told = told
        self.lab.store.change("servers", self.ident, {
            "service": self.service, "addr": "%s:%d" % self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "cold_left_ms": 0,
            "seq": self.seq, "born": self.born})

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            if self.server and self.is_listed:
                self.register()

    async def crash(self, back_after):
        """Ends with all connections; is back later as another incarnation, under the same id."""
        self.server.close()
        self.server = None
        for writer in list(self.connections):
            writer.transport.abort()
        self.held, self.free = 0, asyncio.Semaphore(self.slots)
        await asyncio.sleep(back_after)
        self.born, self.seq = int(time.time() * 1000), 0
        await self.start()

    async def accept(self, reader, writer):
        self.connections.add(writer)
        self.lab.tasks.add(asyncio.current_task())
        connection = {"late": None}
        try:
            while True:
                await self.serve_one(reader, writer, connection)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def refusal(self, request_id, more=()):
        headers = [("X-Carobstep-Not-Executed", "1"), *more]
        if request_id:
            headers.append(("X-Carobstep-Request-Id", request_id))
        return message("HTTP/1.1 503 Service Unavailable", headers)

    async def serve_one(self, reader, writer, connection):
        first, headers, body = await read_message(reader)
        request_id = headers.get("x-carobstep-request-id", "")
        is_health = first.startswith("GET /healthz ")
        if connection["late"]:
            # The additional answer arrives where the next one is expected.
            self.lab.record.write("additional answer", backend=self.ident, id=request_id)
            writer.write(connection["late"])
            connection["late"] = None
            await writer.drain()
        await self.lab.on_arrival(self, first, headers)
        expected = headers.get("x-carobstep-expect-instance")
        if expected not in (None, self.ident):
            writer.write(message("HTTP/1.1 421 Misdirected Request",
                                 [("X-Carobstep-Instance-Id", self.ident)]))
            return await writer.drain()
        if self.held >= self.slots + self.queue:
            self.lab.record.write("refused", backend=self.ident, id=request_id, health=is_health)
            answer = self.refusal(request_id)
            if self.lab.sends_late_copy(self, is_health):
                connection["late"] = answer
            writer.write(answer)
            return await writer.drain()
        self.held += 1
        free = self.free
        try:
            async with free:
                if is_health:
                    await asyncio.sleep(0.001)
                    answer = message("HTTP/1.1 200 OK", [("X-Carobstep-Instance-Id", self.ident)])
                else:
                    self.lab.run_of(self, request_id, first)
                    answer = await self.lab.work(self, first, headers, body, writer)
        finally:
            self.held = max(0, self.held - 1)
        if answer is None:
            return
        self.answers += 1
        writer.write(answer)
        await writer.drain()

    def stamped(self, request_id, status="200 OK", more=(), body=b"done"):
        headers = [("X-Carobstep-Request-Id", request_id),
                   ("X-Carobstep-Server-Stamp", f"stamp-{self.ident}-{request_id}"), *more]
        return message(f"HTTP/1.1 {status}", headers, body)


class Node:
    """One process of the gateway, with the command of the deploy file."""

    def __init__(self, lab, name, zone, number, store):
        self.lab, self.name, self.zone = lab, name, zone
        self.ip = f"{NET}.{10 + number}"
        self.process = None
        self.path = lab.dir / f"{name}.conf"
        self.path.write_text("\n".join([
            f"node={name}", "role=gateway", "class=front", "serves=front", f"ip={self.ip}",
            f"zone={zone}", "region=perth", f"listen.front={self.ip}:8104",
            f"listen.ready={self.ip}:8108", "port_range=7380,7395", "bootstrap=true",
            "limits.cpu_share=0.25", "limits.cores=1", "limits.memory_mb=260",
            "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
            "discovery=platform", "entry=vip", "heartbeat_ms=1200", "bounds.seed_lag_s=3",
            "bounds.reuse_after_s=2", "bounds.contact_ms=4000", "bounds.ack_ms=5000",
            "bounds.catch_up_s=4", "bounds.drain_ms=3000", "bounds.grace_s=6",
            "bounds.loss_slack_ms=200", "bounds.config_apply_ms=3000",
            "bounds.rollback_slack_ms=250", "bounds.max_stretch_ms=12000",
            "bounds.retry_ratio=0.2", "bounds.retry_window_s=10", "bounds.retry_slack=52",
            "bounds.recover_s=12", f"platform.addr={store}", "platform.form=objects",
            "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20",
            "platform.value_bytes=1048576", "platform.ttl_min_ms=1000", ""]))

    def start(self):
        command = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]["run"]
        program, *words = command.split()
        log = open(self.lab.dir / f"{self.name}.log", "ab")
        env = {"PATH": os.environ.get("PATH", ""), "CAROBSTEP_BOOT": str(self.path)}
        self.process = subprocess.Popen([str(ROOT / program), *words], cwd=ROOT, env=env,
                                        stdout=log, stderr=log)
        self.lab.record.write("node started", node=self.name)

    def signal(self, number):
        self.lab.record.write("signal", node=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def wait_ready(self, limit=15):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(self.ip, 8108)
                writer.write(message("GET /readyz HTTP/1.1", [("Host", self.ip)]))
                first, _, _ = await asyncio.wait_for(read_message(reader), 1)
                writer.close()
                if " 200 " in first + " ":
                    return
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise Unable(f"{self.name} is not ready")


class Client:
    """A caller's connection to a node, kept for several requests."""

    def __init__(self, lab, node):
        self.lab, self.node = lab, node
        self.reader = self.writer = None

    async def request(self, method, path, request_id, deadline_ms=8000, body=b""):
        """Sends one client attempt; returns its status, headers and body. Status 0 stands for
        a connection that ended without a complete answer."""
        record = self.lab.record
        record.write("sent", node=self.node.name, id=request_id, request=f"{method} {path}")
        status, headers, answer = 0, {}, b""
        try:
            if self.writer is None or self.writer.is_closing():
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(self.node.ip, 8104), 1)
            self.writer.write(message(f"{method} {path} HTTP/1.1", [
                ("Host", "shop.example"), ("X-Carobstep-Request-Id", request_id),
                ("X-Carobstep-Deadline-Ms", str(deadline_ms))], body))
            await self.writer.drain()
            first, headers, answer = await asyncio.wait_for(
                read_message(self.reader), deadline_ms / 1000 + 1)
            status = int(first.split(" ")[1])
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            record.write("no answer", node=self.node.name, id=request_id, error=type(error).__name__)
            self.close()
        else:
            record.write("answered", node=self.node.name, id=request_id, status=status,
                         retry_after=headers.get("retry-after"))
            if headers.get("connection", "").lower() == "close":
                self.close()
        return status, headers, answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class Lab:
    """A deployment, and the hooks in which a case says what its backends do."""

    def __init__(self, folder):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.dir = pathlib.Path(tempfile.mkdtemp(prefix="carobstep-review-"))
        self.tasks, self.backends, self.nodes, self.runs = set(), [], [], {}
        self.store = Store(self)

    # Hooks.
    async def on_arrival(self, backend, first, headers):
        """Called when a request has reached a backend."""

    def sends_late_copy(self, backend, is_health):
        """Whether the refusal that is sent now comes a second time, late."""
        return False

    def on_store_answer(self, caller, method, target):
        """Called when the store answers a node."""

    def late_delete(self, kind, name):
        """After how many seconds a removal is done whose answer is lost; 0 if it is not lost."""
        return 0

    async def work(self, backend, first, headers, body, writer):
        """Runs a request; returns its answer."""
        await asyncio.sleep(0.02)
        return backend.stamped(headers.get("x-carobstep-request-id", ""))

    def run_of(self, backend, request_id, first):
        self.runs.setdefault(request_id, []).append((round(self.record.now(), 3), backend.ident))
        self.record.write("run", backend=backend.ident, id=request_id, request=first)

    # Set-up.
    def configuration(self, routes, services, version=1):
        self.store.change("config", "main", {
            "version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/healthz", "max_conns": 96,
                          "protocol": "h1", "tls": False} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})

    def route(self, name, kind, service, attempts=2, timeout_ms=8000, goal_ms=800):
        return {"name": name, "host": "shop.example", "path_prefix": f"/{name}/", "type": kind,
                "timeout_ms": timeout_ms, "goal_ms": goal_ms, "priority": 2, "service": service,
                "attempts": attempts}

    async def add_backend(self, ident, service, zone, **options):
        backend = Backend(self, ident, service, zone, **options)
        await backend.start()
        self.spawn(backend.beat())
        self.backends.append(backend)
        return backend

    async def start_nodes(self, zones):
        if not (ROOT / "target/release/carobstepd").exists():
            raise Unable("the program is not built")
        for number, zone in enumerate(zones):
            name = f"front-{zone}-{number + 1}"
            node = Node(self, name, zone, number, await self.store.address_for(name))
            self.nodes.append(node)
            node.start()
        for node in self.nodes:
            await node.wait_ready()
        # Traffic starts 10 s after the machines do; the nodes know each other by then.
        await asyncio.sleep(4)

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        return task

    def stop(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.dir, keep, dirs_exist_ok=True)
        shutil.rmtree(self.dir, ignore_errors=True)


def run_case(folder, case):
    """Runs `case(lab)`, which returns what broke the rule, or an empty list; exits with 1 if
    it was broken, 0 if it held, and 2 if the case couldn't run."""

    async def play():
        lab = Lab(folder)
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            broken = await asyncio.wait_for(case(lab), 115)
            for line in broken:
                lab.record.write("broken", rule=line)
                print(line)
            lab.record.write("result", trouble=TROUBLE, broken=len(broken))
            return 1 if broken else 0
        except (Unable, OSError, asyncio.TimeoutError, asyncio.CancelledError) as error:
            lab.record.write("unable", error=repr(error))
            print(f"the case could not run: {error!r}")
            return 2
        finally:
            for task in lab.tasks:
                task.cancel()
            lab.stop()

    code = asyncio.run(play())
    sys.stdout.flush()
    os._exit(code)
