"""A client lists `X-Carobstep-Tenant` in its `Connection` header. A backend must learn the tenant
that holds the client's key whatever the client sends."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-3"))
import tier  # noqa: E402

HOST = "fida40.example"
KEYS = {"ralo620": "bsp73yswk9dwif3882p5", "mifi118": "wbr9bc582dm2buc7takh"}
REQUESTS = 40


def configuration():
    fetch = {"name": "r-fetch", "host": HOST, "path_prefix": "/puse612/", "type": "idempotent",
             "timeout_ms": 2000, "goal_ms": 800, "priority": 2, "service": "kafi81c",
             "attempts": 2, "public": False}
    order = {**fetch, "name": "r-order", "path_prefix": "/loru77/", "type": "non_idempotent"}
    tenants = [{"name": name, "api_keys": [key], "priority": 1, "rate_per_s": 50, "burst": 50}
               for name, key in KEYS.items()]
    return {"version": 7, "routes": [fetch, order], "services": [tier.service("kafi81c")],
            "limits": tier.LIMITS, "tenants": tenants}


async def case(record, nodes):
    store = tier.Store()
    await store.start()
    await store.put("config", "main", configuration())
    zones = ["luzon-a", "luzon-b", "luzon-c"]
    backends = [tier.Backend(record, "kafi81c", zone) for zone in zones]
    for backend in backends:
        await backend.start(store)
    for zone in zones:
        nodes.append(tier.Node(record, f"front-{zone}-1", zone, store))
        await nodes[-1].start()
    for node in nodes:
        await node.wait_ready()
    await asyncio.sleep(2)

    # All that a client's attempt with this id may show to a backend.
    owners = {}
    served = 0
    for number in range(REQUESTS):
        name = list(KEYS)[number % 2]
        path = "/puse612/2f" if number % 4 < 2 else "/loru77/2f"
        method = "GET" if number % 4 < 2 else "POST"
        request_id = f"c0ffee{number:04x}"
        owners[request_id] = name
        connection = "keep-alive, X-Carobstep-Tenant" if tier.TROUBLE else "keep-alive"
        headers = [("Authorization", f"Token {KEYS[name]}"), ("Connection", connection)]
        body = b"" if method == "GET" else b"{}"
        request = tier.request_bytes(method, path, HOST, request_id, 2000, headers, body)
        node = nodes[number % len(nodes)]
        record.line(f"client sends {request_id} of tenant {name} to {node.name}, "
                    f"Connection: {connection}")
        answer = await tier.call(node.address, request, 5)
        status = tier.status_of(answer) if answer else None
        served += status == 200
        record.line(f"client gets {status} for {request_id}")

    wrong = 0
    for backend in backends:
        for run in backend.runs:
            tenants = [value for key, value in run["headers"] if key == "x-carobstep-tenant"]
            if tenants != [owners.get(run["id"])]:
                wrong += 1
                record.line(f"UNASKED: {backend.id} ran {run['id']} of tenant "
                            f"{owners.get(run['id'])} with tenants {tenants}")
    if served < REQUESTS / 2:
        raise tier.CouldNotRun(f"only {served} of {REQUESTS} requests were served")
    text = (f"{wrong} runs without the tenant that holds the client's key; {served} of {REQUESTS} "
            f"requests were served")
    return (tier.BROKEN if wrong else tier.HELD), text


tier.run_case(case, __file__)
