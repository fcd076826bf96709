"""A trainer ends a large batch right after its acceptance, while the gateway that schedules loads it and its open connections to
the store are silent; another client reads the batch. See claim.txt."""

import asyncio
import base64
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
from standins import Engine, Gateway, Store, batch, call, loopback, main, manifest, results, route, seconds, submit

ENGINES, SLOTS, EVENTS = 2, 4, 30
ITEMS, ITEM_BYTES = int(os.environ.get("ITEMS", "44")), 384 << 10
# After the acceptance: when the trainer ends the batch, and when another client reads it.
END_S, READ_S = 0.18, 0.2
CANCEL_S, STABLE_S, LENGTH_S = 3, 3, 16


async def case(record, is_troubled, gateways):
    net = loopback()
    store = Store((f"{net}.2", 8266))
    await store.start()
    runs = []
    for number in range(ENGINES):
        engine = Engine(record, store, f"i-{number:02d}", (f"{net}.{10 + number}", 8080), "pool", "m", slots=SLOTS)
        engine.length_of = lambda id: EVENTS
        engine.on_run = lambda engine, id, after: runs.append((seconds(), id))
        await engine.start()
    roll = route("/roll/", "rollout", "pool", **{"timeout-ms": 10000, "max-queue-s": 40.0, "run-target-ms": 7500, "single-version": False, "can-resume": True})
    store.write("config", "main", manifest(1, [roll], ["pool"]))
    for number in range(2):
        gateways.append(Gateway(record, f"front-{number}", f"{net}.{200 + number}", store))
        gateways[-1].start()
        await gateways[-1].wait_ready()
    holder, other = gateways

    # The first gateway schedules, and both know it.
    small = batch(0, "m", 1, 1, {"g0": [("first", EVENTS)]})
    assert await submit(record, [holder], "b0", small)
    for gateway in (holder, other, holder, other):
        status, page = await results(gateway, "b0")
        record.write("read of b0 at", gateway.name, status, page and page["total"])
    await call(other.front, "DELETE", "/-/lots/b0")
    await asyncio.sleep(0.2)

    silent_at = 0
    if is_troubled:
        silent_at = seconds()
        record.write("the open connections to the store go silent")
        for connection in store.connections:
            connection["is_silent"] = True
    body = base64.b64encode(os.urandom(ITEM_BYTES)).decode()
    items = [
        {
            "id": f"b1i{number:02d}", "path": "/roll/item", "body": body, "tokens": 60 + EVENTS, "group": f"g{number // 4}",
            "headers": {"X-Tamaracksail-Model": "m", "X-Tamaracksail-Token-Count": f"60,{EVENTS}", "X-Tamaracksail-Prompt-Prefix": "9c2e41:60"},
        }
        for number in range(ITEMS)
    ]
    text = json.dumps({"step": 1, "model": "m", "min-version": 1, "target-groups": ITEMS // 4, "items": items}).encode()
    assert await submit(record, [other], "b1", text)
    accepted_at, ended_at = seconds(), None

    async def end():
        nonlocal ended_at
        await asyncio.sleep(END_S)
        status = (await call(other.front, "DELETE", "/-/lots/b1"))[0]
        ended_at = seconds()
        record.write("the trainer ends b1 at", other.name, "answer", status)

    async def read():
        await asyncio.sleep(READ_S)
        try:
            status, page = await results(holder, "b1")
            record.write("another client reads b1 at", holder.name, status, page and page["total"])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            record.write("another client reads b1 at", holder.name, type(error).__name__)

    await asyncio.gather(end(), read())
    await asyncio.sleep(max(0, accepted_at + LENGTH_S - seconds()))
    limit = max(ended_at + CANCEL_S, silent_at + STABLE_S)
    late = [(at, id) for at, id in runs if id.startswith("b1") and at > limit]
    for at, id in late:
        record.write("UNASKED:", id, f"ran {at - ended_at:.1f} s after the end of its batch was confirmed")
    return not late


main(FOLDER, case)
