"""A late removal by a process that has stopped takes away the registration of the next one."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standin"))
from lab import TROUBLE, Client, Lab, run_case  # noqa: E402

FOLDER = pathlib.Path(__file__).resolve().parent
CONTACT_S, LIMIT, SPAN_S = 4.0, 10.0, 4.0
LATE_S = 5.0


async def case(lab: Lab):
    is_limited = False
    first_named, passed_on, arrivals = {}, {}, {}
    node_of = {}

    def late_delete(kind, name):
        return LATE_S if TROUBLE and kind == "carobstep-nodes" else 0

    async def on_arrival(backend, first, headers):
        request_id = headers.get("x-carobstep-request-id")
        if request_id in node_of:
            arrivals.setdefault(backend.ident, []).append((lab.record.now(), node_of[request_id]))

    async def work(backend, first, headers, body, writer):
        request_id = headers["x-carobstep-request-id"]
        await asyncio.sleep(0.02)
        more = []
        if is_limited and backend.service == "orders-desk":
            more = [("Server-Limit", str(LIMIT))]
            first_named.setdefault(backend.ident, lab.record.now())
            passed_on.setdefault((backend.ident, node_of[request_id]), lab.record.now())
        return backend.stamped(request_id, more=more)

    lab.late_delete, lab.on_arrival, lab.work = late_delete, on_arrival, work
    lab.configuration([lab.route("fetch", "idempotent", "orders-desk"),
                       lab.route("view", "idempotent", "airline-portal")],
                      ["orders-desk", "airline-portal"])
    zones = ["perth-a", "perth-b", "perth-c"]
    for number in range(2):
        await lab.add_backend(f"i-o{number + 1}", "orders-desk", "perth-a", slots=8)
    for number in range(10):
        await lab.add_backend(f"i-p{number + 1}", "airline-portal", zones[number % 3])
    await lab.start_nodes(["perth-a", "perth-a", "perth-a", "perth-b", "perth-c", "perth-c"])

    async def restart(node):
        # The platform stops a process and starts it again once it has ended.
        node.signal(signal.SIGTERM)
        while node.process.poll() is None:
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.3)
        node.start()
        await node.wait_ready()

    restarts = []
    for node in lab.nodes[:3]:
        restarts.append(lab.spawn(restart(node)))
        await asyncio.sleep(1.3)
    await asyncio.gather(*restarts)
    restarted = lab.record.now()
    await asyncio.sleep(10)
    lab.record.write("registered nodes", names=sorted(lab.store.objects.get("carobstep-nodes", {})))

    async def caller(node, place):
        client, number = Client(lab, node), 0
        while True:
            number += 1
            request_id = f"{node.name}-{place}-{number}"
            node_of[request_id] = node.name
            status, headers, _ = await client.request("GET", f"/fetch/{place}-{number}", request_id, 2000)
            # A client honours Retry-After up to a third of the time that it has left.
            wait = float(headers.get("retry-after", 0.05))
            await asyncio.sleep(0.02 if status == 200 else min(wait, 0.6))

    for node in lab.nodes:
        for place in range(10):
            lab.spawn(caller(node, place))
    await asyncio.sleep(2)
    is_limited = True
    lab.record.write("limit", per_second=LIMIT)
    await asyncio.sleep(25)
    broken = []
    most = 1.5 * LIMIT * SPAN_S + 5
    for ident, seen in arrivals.items():
        counted = [at for at, node in seen if at > first_named[ident] + CONTACT_S
                   and at > passed_on.get((ident, node), 1e9) + 0.5]
        worst = max(sum(1 for other in counted if at <= other < at + SPAN_S) for at in counted)
        lab.record.write("arrivals", backend=ident, most_in_span=worst, allowed=most)
        if worst > most:
            broken.append(f"LIMIT: {ident} named {LIMIT} requests a second and got {worst} in {SPAN_S} s, "
                          f"more than {most}; the last restart ended {first_named[ident] - restarted:.0f} s before")
    return broken


run_case(FOLDER, case)
