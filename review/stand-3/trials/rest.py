"""A server asks the machines for rest; then it is partitioned from the store for 5 s, and its entry lapses and is back."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
import stand  # noqa: E402

REST_S = 20
CUT_S = 5
SERVICE = "orders-app"


async def case(site, trouble):
    record = site.record
    await site.start_store()
    for number in range(3):
        await site.add_server(f"s{number}", SERVICE, work_s=0.1)
    await asyncio.sleep(0.1)
    routes = [stand.route("/order/", "unsafe", SERVICE), stand.route("/lookup/", "safe", SERVICE, attempts=2)]
    await site.store.operator("op/config", stand.config(1, routes, [{"name": SERVICE, "max_conns": 96}]))
    for number in range(3):
        site.add_gateway(f"front-{number}")
    await site.wait_ready()
    client = stand.Client(record, site.gateways)
    requests = [("GET", "/lookup/a"), ("POST", "/order/a")]
    load = asyncio.create_task(client.load(100, 28, requests))
    await asyncio.sleep(5)

    # In need for up to two seconds: it rejects what arrives, and wants nothing from these machines for 20 s.
    server = max(site.servers, key=lambda server: len(server.arrivals))
    asked = {}

    def reject(head):
        return 503, [("X-Endivespur-Not-Executed", "1"), ("Retry-After", str(REST_S))]

    record(f"{server.id} is in need and asks for {REST_S} s of rest")
    server.answer = reject
    end = stand.now() + 2
    while len(asked) < len(site.gateways) and stand.now() < end:
        await asyncio.sleep(0.02)
        for at, attempt, answer in server.arrivals:
            if answer:
                asked.setdefault(client.machines[attempt], at)
    server.answer = lambda head: None
    record(f"{server.id} is sound again; asked for rest: {asked}")
    if not asked:
        raise stand.CannotRun("no machine was asked for rest")
    if trouble:
        record(f"{server.id} is partitioned from the store")
        server.reaches_store = False
        await asyncio.sleep(CUT_S)
        record(f"{server.id} reaches the store again")
        server.reaches_store = True
    await load
    await client.settle()

    worst = 0
    for machine, at in asked.items():
        late = [arrival for arrival in server.arrivals
                if client.machines[arrival[1]] == machine and at + 0.5 < arrival[0] < at + REST_S]
        record(f"{machine} was asked at {at:.3f}; {len(late)} requests from 0.5 s later until {at + REST_S:.3f}")
        worst = max(worst, len(late))
    served = sum(1 for answer in client.answers if answer[3] == 200)
    record(f"served {served} of {len(client.answers)} requests")
    if served * 10 < len(client.answers) * 9:
        raise stand.CannotRun("under nine tenths of the requests were served")
    record(f"most requests of one machine in its rest: {worst}, allowed: 2")
    return worst <= 2


stand.run(os.path.join(FOLDER, "record.txt"), case)
