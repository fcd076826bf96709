"""Servers of a further service, with a model of its own, are added. Servers of another service are taken from the model that
they hold for one that they do not hold. See claim.txt."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
from standins import Engine, Gateway, Store, batch, call, loopback, main, manifest, results, route, seconds, submit

SERVERS, SLOTS = 6, 12  # of each of two services
# The servers of the third service are added one after the other.
ADDED, ADDED_AT_S, GAP_S = 3, 1.0, 2.0
GROUPS, EVENTS, LONG, INTERVAL_S = 9, 20, 181, 0.07
EVERY_S, TRAIN_S, TIME_LIMIT_S = 4, 0.5, 12
# An item may be at no server for this long in steady state, which begins STABLE_S after the last server was added.
AWAY_LIMIT_S, STABLE_S = 5, 3


async def case(record, is_troubled, gateways):
    net = loopback()
    store = Store((f"{net}.2", 8266))
    await store.start()
    finished, begun, lengths, engines = set(), set(), {}, {"a": [], "b": [], "c": []}

    async def add(pool):
        number = sum(map(len, engines.values()))
        engine = Engine(record, store, f"i-{number:02d}", (f"{net}.{10 + number}", 8080), f"pool-{pool}", f"model-{pool}", slots=SLOTS, interval=INTERVAL_S)
        engine.length_of = lambda id: lengths[id]
        engine.on_run = lambda engine, id, after: begun.add(id)
        engine.on_finish = lambda engine, id: finished.add(id)
        engines[pool].append(engine)
        await engine.start()

    for pool in "ab":
        for _ in range(SERVERS):
            await add(pool)
    more = {"timeout-ms": 10000, "max-queue-s": 40.0, "run-target-ms": 7500, "single-version": False, "can-resume": True}
    routes = [route("/roll/", "rollout", "pool-b", **more), route("/roll-a/", "rollout", "pool-a", **more), route("/roll-c/", "rollout", "pool-c", **more)]
    store.write("config", "main", manifest(1, routes, ["pool-a", "pool-b", "pool-c"]))
    for number in range(2):
        gateways.append(Gateway(record, f"front-{number}", f"{net}.{200 + number}", store))
        gateways[-1].start()
    for gateway in gateways:
        await gateway.wait_ready()

    def name(version):
        record.write("the trainer names version", version)
        store.write("versions", "model-b", {"model": "model-b", "version": version})

    def items_of(number):
        return [f"s{number}g{group}i{item}" for group in range(GROUPS) for item in range(4)]

    async def step(number, length):
        """Runs a step. Returns the ids of items without a result when its time is up."""
        ids = items_of(number)
        lengths.update((id, length) for id in ids)
        groups = {f"g{number}-{group}": [(id, length) for id in ids[4 * group : 4 * group + 4]] for group in range(GROUPS)}
        id = f"b{number}"
        assert await submit(record, gateways, id, batch(number, "model-b", max(number - 1, 1), GROUPS, groups))
        begin, listed = seconds(), set()
        while len(listed) < len(ids) and seconds() - begin < TIME_LIMIT_S:
            try:
                _, page = await results(gateways[number % 2], id, len(listed))
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                continue
            listed.update(result["id"] for result in (page or {}).get("results", []))
            await asyncio.sleep(0.3)
        await call(gateways[0].front, "DELETE", f"/-/lots/{id}")
        record.write("step", number, "ends after", f"{seconds() - begin:.1f} s with", len(listed), "of", len(ids), "results")
        return [id for id in ids if id not in listed]

    added_at = 0

    async def scale_out():
        nonlocal added_at
        await asyncio.sleep(ADDED_AT_S)
        for _ in range(ADDED if is_troubled else 0):
            record.write("a server of pool-c is added")
            await add("c")
            added_at = seconds()
            await asyncio.sleep(GAP_S)

    # A step each EVERY_S. Once it is complete, training takes TRAIN_S, then the next version is named.
    start = seconds()
    scaling = asyncio.create_task(scale_out())
    for number in (1, 2):
        assert not await step(number, EVENTS)
        await asyncio.sleep(TRAIN_S)
        name(number + 1)
        await asyncio.sleep(max(0, start + EVERY_S * number - seconds()))
    await scaling
    begin, away_since, fill, others = seconds(), {}, 0, 0

    async def watch():
        """Notes since when an unfinished item of the step has been at no server, and how full the service's servers are."""
        nonlocal fill, others
        while seconds() - begin < TIME_LIMIT_S:
            running = set().union(*(engine.running_ids for engine in engines["b"]))
            for id in items_of(3):
                if id in finished or id in running:
                    away_since.pop(id, None)
                else:
                    away_since.setdefault(id, seconds())
            fill = sum(engine.runs for engine in engines["b"]) / (SERVERS * SLOTS)
            others = sum(id in begun for id in items_of(3))
            await asyncio.sleep(0.05)

    watcher = asyncio.create_task(watch())
    await step(3, LONG)
    await watcher
    at, steady_from = begin + TIME_LIMIT_S, added_at + STABLE_S
    away = {id: at - max(since, steady_from) for id, since in away_since.items()}
    lost = {id: time for id, time in away.items() if time >= AWAY_LIMIT_S}
    for id, time in sorted(lost.items()):
        record.write("LOST:", id, f"was at no server for {time:.1f} s of steady state when the time of its step ran out;", f"{others} others had begun, {100 * fill:.0f}% of the slots of its service were in use")
    return not (lost and others and fill < 0.5)


main(FOLDER, case)
