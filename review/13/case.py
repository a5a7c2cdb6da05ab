"""A zone is partitioned from the others, and a tenant sends many times its usual at all machines.
The machines on both sides of the cut together run more of its requests than its quota."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-3"))
import tier  # noqa: E402

HOST = "fida40.example"
KEY = "bsp73yswk9dwif3882p5"
ZONES = ["luzon-a", "luzon-b", "luzon-c"]
NODES_PER_ZONE = 3
RATE, BURST = 30, 30
WINDOW_S, OVER, SLACK = 5.0, 0.1, 20
# The quota is 1.6 times what the tenant usually sends; it then sends 7.5 times its usual.
USUAL_PER_S = RATE / 1.6
HOT = 7.5
CALM_S, CUT_S, HOT_S, PAUSE_S = 8.0, 5.5, 6.5, 8.0
HOT_AFTER_S = [0.3, 0.3]


def configuration():
    fetch = {"name": "r-fetch", "host": HOST, "path_prefix": "/puse612/", "type": "idempotent",
             "timeout_ms": 2000, "goal_ms": 800, "priority": 2, "service": "kafi81c",
             "attempts": 2, "public": False}
    tenants = [{"name": "ralo620", "api_keys": [KEY], "priority": 1, "rate_per_s": RATE,
                "burst": BURST}]
    return {"version": 7, "routes": [fetch], "services": [tier.service("kafi81c")],
            "limits": tier.LIMITS, "tenants": tenants}


async def case(record, nodes):
    store = tier.Store()
    await store.start()
    await store.put("config", "main", configuration())
    backends = [tier.Backend(record, "kafi81c", zone, slots=4, work_s=0.02)
                for zone in ZONES for _ in range(3)]
    for backend in backends:
        await backend.start(store)

    cut_zone = None
    zone_of = {}

    def proxy_to(target, target_zone):
        def is_cut(source):
            return cut_zone is not None and (zone_of[source] == cut_zone) != (
                target_zone == cut_zone)
        return tier.Proxy(target, is_cut)

    # The paths between machines, and from a machine to the store, lead through proxies.
    proxies = {}
    for zone in ZONES:
        for number in range(NODES_PER_ZONE):
            ip = f"127.0.{ZONES.index(zone) + 1}.{number + 1}"
            zone_of[ip] = zone
            to_store = tier.Proxy(("127.0.0.1", store.port),
                                  lambda _, zone=zone: cut_zone == zone)
            await to_store.start()
            to_store.address = f"127.0.0.1:{to_store.port}"
            node = tier.Node(record, f"front-{zone}-{number + 1}", zone, to_store, ip=ip)
            nodes.append(node)
            proxies[f"{ip}:{node.peers}"] = proxy_to((ip, node.peers), zone)

    def through_proxy(kind, name, spec):
        proxy = proxies.get(spec.get("address")) if kind == "carobstep-nodes" else None
        return {**spec, "address": f"127.0.0.1:{proxy.port}"} if proxy else spec

    store.on_write = through_proxy
    for proxy in proxies.values():
        await proxy.start()
    for node in nodes:
        await node.start()
    for node in nodes:
        await node.wait_ready()

    per_s = USUAL_PER_S
    number = 0
    statuses = {}
    sent_at = {}

    async def send(number):
        node = nodes[number % len(nodes)]
        request_id = f"c0ffee{number:06x}"
        headers = [("Authorization", f"Token {KEY}")]
        request = tier.request_bytes("GET", f"/puse612/{number}", HOST, request_id, 2000, headers)
        sent_at[request_id] = record.now()
        record.line(f"client sends {request_id} to {node.name}")
        try:
            answer = await tier.call(node.address, request, 3)
            status = tier.status_of(answer) if answer else "closed"
        except (OSError, asyncio.TimeoutError, ConnectionError):
            status = "no answer"
        record.line(f"client gets {status} for {request_id}")
        statuses[status] = statuses.get(status, 0) + 1

    async def traffic():
        nonlocal number
        due = record.now()
        while True:
            asyncio.ensure_future(send(number))
            number += 1
            due += 1 / per_s
            await asyncio.sleep(max(0.0, due - record.now()))

    sending = asyncio.ensure_future(traffic())
    await asyncio.sleep(CALM_S)
    for round_number, hot_after in enumerate(HOT_AFTER_S):
        begun = record.now()
        if tier.TROUBLE:
            cut_zone = ZONES[round_number % len(ZONES)]
            record.line(f"{cut_zone} is partitioned from the others")
        await asyncio.sleep(hot_after)
        per_s = USUAL_PER_S * HOT
        record.line(f"the tenant sends {per_s:.0f} requests a second")
        await asyncio.sleep(begun + CUT_S - record.now())
        cut_zone = None
        record.line("the partition ends")
        await asyncio.sleep(begun + hot_after + HOT_S - record.now())
        per_s = USUAL_PER_S
        record.line(f"the tenant sends {per_s:.0f} requests a second")
        await asyncio.sleep(PAUSE_S)
    sending.cancel()
    await asyncio.sleep(2)

    # Each request counts once, from its sending to the first time that a backend ran it.
    ran_at = {}
    for backend in backends:
        for run in backend.runs:
            ran_at[run["id"]] = min(run["at"], ran_at.get(run["id"], run["at"]))
    spans = sorted((sent_at[one], at) for one, at in ran_at.items())
    allowed = (RATE * WINDOW_S + BURST) * (1 + OVER) + SLACK
    most, since = 0, 0.0
    for position, (start, _) in enumerate(spans):
        count = sum(1 for _, at in spans[position:] if at < start + WINDOW_S)
        if count > most:
            most, since = count, start
    record.line(f"answers: {statuses}")
    if len(spans) < 200:
        raise tier.CouldNotRun(f"only {len(spans)} requests ran")
    text = (f"{most} requests were sent and run in {WINDOW_S:.0f} s from {since:.2f} s; "
            f"allowed {allowed:.0f}")
    return (tier.BROKEN if most > allowed else tier.HELD), text


tier.run_case(case, __file__)
