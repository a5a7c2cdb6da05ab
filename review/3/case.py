"""One spoiled answer of a backend ends the process of the gateway."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standin"))
from lab import TROUBLE, Client, Lab, run_case  # noqa: E402

FOLDER = pathlib.Path(__file__).resolve().parent
SPOILED = "9999999999999999999"
MAX_LOST = 3


async def case(lab: Lab):
    spoiled = []

    async def work(backend, first, headers, body, writer):
        request_id = headers["x-carobstep-request-id"]
        if "/slow" in first:
            await asyncio.sleep(0.8)
            return backend.stamped(request_id)
        await asyncio.sleep(0.02)
        seconds = "15"
        if TROUBLE and "/spoil" in first and not spoiled:
            seconds = SPOILED
            spoiled.append(backend.ident)
            lab.record.write("spoiled", backend=backend.ident, answers=backend.answers)
        return backend.stamped(request_id, more=[("Keep-Alive", f"timeout={seconds}")])

    lab.work = work
    lab.configuration([lab.route("order", "non_idempotent", "orders-desk"),
                       lab.route("fetch", "idempotent", "airline-portal")],
                      ["orders-desk", "airline-portal"])
    for number, zone in enumerate(["perth-a", "perth-b", "perth-c"] * 2):
        await lab.add_backend(f"i-o{number + 1}", "orders-desk", zone)
        await lab.add_backend(f"i-p{number + 1}", "airline-portal", zone)
    await lab.start_nodes(["perth-a", "perth-b", "perth-c"])
    node = lab.nodes[0]
    clients = [Client(lab, node) for _ in range(9)]
    for number in range(60):
        await asyncio.gather(*(
            client.request("GET", f"/fetch/{number}", f"f{number}-{place}")
            for place, client in enumerate(clients[:2])))
    for place, client in enumerate(clients):
        await client.request("POST", "/order/first", f"w{place}", body=b'{"order":0}')
    orders = [asyncio.ensure_future(client.request(
        "POST", "/order/slow", f"o{place}", body=b'{"order":1}')) for place, client in enumerate(clients[1:])]
    await asyncio.sleep(0.3)
    await clients[0].request("GET", "/fetch/spoil", "f-spoil")
    answers = await asyncio.gather(*orders)
    await asyncio.sleep(0.5)
    exits = [(it.name, it.process.poll()) for it in lab.nodes if it.process.poll() is not None]
    lab.record.write("ended by itself", nodes=exits)
    lost = [f"o{place}" for place, (status, _, _) in enumerate(answers)
            if status == 0 and lab.runs.get(f"o{place}")]
    if len(lost) > MAX_LOST:
        return [f"LOST: {len(lost)} orders from kept connections, passed on to sound backends, got no answer: "
                f"{lost}; processes that ended by themselves: {exits}"]
    return []


run_case(FOLDER, case)
