"""A version of the manifest adds a route while a batch is open. Items of the batch run at the new route's service.

The new route's prefix is longer than that of the batch's route and begins the paths of the items. The batch's route is
the same in both versions, and so is its service.
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-2"))

import standins as s  # noqa: E402

EVENTS = 8  # of an item, 0.2 s apart
ITEMS = 24
TIME_LIMIT = 20.0


async def play(world, trouble):
    await world.start(gateways=2, engines=3, slots=2, interval=0.2, lengths=lambda item: EVENTS)
    plain = []
    for number in range(2):
        server = s.Engine(f"i-app{number}", world.addresses.next(), world.store, world.record, service="app", slots=6,
                          interval=0.03)
        server.lengths = lambda request: 0
        await server.start()
        plain.append(server)
    await asyncio.sleep(2.5)
    items = [s.item(f"x-{number}", f"group-{number // 2}", hint=EVENTS, prefix="/batch/3/") for number in range(ITEMS)]
    if await s.submit(world, world.gateways[0], "b1", s.submission(1, ITEMS // 2, items)) != 202:
        raise RuntimeError("the batch was not accepted")
    begun = s.at()
    await asyncio.sleep(2)
    if trouble:
        manifest = s.routes(2)
        manifest["routes"].append({
            "name": "r-new", "hostname": s.HOST, "path-prefix": "/batch/3/", "kind": "idempotent", "timeout-ms": 5000,
            "slo-ms": 500, "priority": 1, "service": "app", "max-attempts": 2})
        world.store.put("config", "main", manifest)
        world.record("version 2 of the manifest is confirmed, which adds a route to app below the batch's")
    results, number = [], 0
    while len(results) < ITEMS and s.at() < begun + TIME_LIMIT:
        number += 1
        status, page = await s.read(world, world.gateways[number % 2], "b1", len(results), 500)
        results.extend(page.get("results", []) if status == 200 else [])
        await asyncio.sleep(0.2)
    wrong = [run for server in plain for run in server.runs if run[1].startswith("x-")]
    states = sorted({found["state"] for found in results})
    world.record(f"{len(results)} of {ITEMS} results, {states}; {len(wrong)} runs of items at app")
    if wrong:
        return [f"ROUTE: items ran {len(wrong)} times at servers of app, {len({run[1] for run in wrong})} of {ITEMS} items; their"
                f" batch's route has the service pool in each version; {len(results)} of {ITEMS} results after"
                f" {s.at() - begun:.0f} s"]
    if len(results) < ITEMS:
        return ["LOST: the batch was not completed"]
    return []


s.main(HERE, play)
