"""A removal that the watching node has put off is lost when that node stops."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standin"))
from lab import TROUBLE, Client, Lab, Unable, run_case  # noqa: E402

FOLDER = pathlib.Path(__file__).resolve().parent
CONTACT_S, DRAIN_S = 4.0, 3.0


async def case(lab: Lab):
    watched = {}

    def on_store_answer(caller, method, target):
        if method == "GET" and target.startswith("/objects/servers?watch="):
            watched[caller] = lab.record.now()

    lab.on_store_answer = on_store_answer
    lab.configuration([lab.route("fetch", "idempotent", "orders-desk")], ["orders-desk"])
    for number, zone in enumerate(["perth-a", "perth-b", "perth-c"]):
        await lab.add_backend(f"i-{number + 1}", "orders-desk", zone)
    await lab.start_nodes(["perth-a", "perth-a", "perth-b", "perth-b", "perth-c", "perth-c"])
    sent = {}

    async def callers(node):
        client, number = Client(lab, node), 0
        while True:
            number += 1
            request_id = f"{node.name}-{number}"
            sent[request_id] = (lab.record.now(), node.name)
            await client.request("GET", f"/fetch/{number}", request_id, 2000)
            await asyncio.sleep(0.05)

    for node in lab.nodes:
        lab.spawn(callers(node))
    await asyncio.sleep(5)
    recent = {name: at for name, at in watched.items() if lab.record.now() - at < 1.5}
    lab.record.write("nodes that watch the store", nodes=sorted(recent))
    if not recent:
        raise Unable("no node watches the store")
    root = next(node for node in lab.nodes if node.name == max(recent, key=recent.get))
    if TROUBLE:
        # The store cuts off one watch that has been waiting for a while.
        while lab.store.waiting.get((root.name, "servers"), (1e9,))[0] > lab.record.now() - 0.4:
            await asyncio.sleep(0.01)
        lab.store.cut_watch(root.name, "servers")
        cut_at = lab.record.now()
        while watched[root.name] <= cut_at:
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.3)
    # The backend leaves without a report, and goes on serving for many seconds.
    leaving = next(it for it in lab.backends if it.zone != root.zone)
    leaving.is_listed = False
    lab.store.change("servers", leaving.ident, b"null", deleted=True)
    acknowledged = lab.record.now()
    lab.record.write("entry removed", backend=leaving.ident)
    await asyncio.sleep(0.3)
    # Planned work: the node is stopped and started again.
    root.signal(signal.SIGTERM)
    while root.process.poll() is None:
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.5)
    root.start()
    await root.wait_ready()
    await asyncio.sleep(12)
    late = [(request_id, at) for request_id, runs in lab.runs.items() for at, ident in runs
            if ident == leaving.ident and request_id in sent and sent[request_id][1] != root.name
            and sent[request_id][0] > acknowledged + DRAIN_S]
    if late:
        return [f"DRAIN: {len(late)} requests, sent later than {DRAIN_S} s after the store had removed "
                f"{leaving.ident}, reached it from machines in touch; the first and the last: {late[0]}, {late[-1]}"]
    return []


run_case(FOLDER, case)
