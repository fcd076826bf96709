"""A manifest splits the route of a trainer between two services whose servers have the trainer's model. See claim.txt."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
from standins import Engine, Gateway, Store, batch, call, loopback, main, manifest, results, route, seconds, submit

SERVERS = 6  # of each service
# The manifest is written this long before the third step.
EARLY_S = 1.0
EVERY_S, TRAIN_S, TIME_LIMIT_S = 4, 0.5, 12
# An item may be at no server for this long in steady state, which begins STABLE_S after the manifest.
AWAY_LIMIT_S, STABLE_S = 5, 3


async def case(record, is_troubled, gateways):
    net = loopback()
    store = Store((f"{net}.2", 8266))
    await store.start()
    finished, begun, engines = set(), set(), []
    for service in ("pool-a", "pool-b"):
        for _ in range(SERVERS):
            number = len(engines)
            engine = Engine(record, store, f"i-{number:02d}", (f"{net}.{10 + number}", 8080), service, "m")
            engine.length_of = lambda id: 20
            engine.on_run = lambda engine, id, after: begun.add(id)
            engine.on_finish = lambda engine, id: finished.add(id)
            await engine.start()
            engines.append(engine)
    more = {"timeout-ms": 10000, "max-queue-s": 40.0, "run-target-ms": 7500, "single-version": False, "can-resume": True}
    store.write("config", "main", manifest(1, [route("/roll/", "rollout", "pool-a", **more)], ["pool-a", "pool-b"]))
    for number in range(2):
        gateways.append(Gateway(record, f"front-{number}", f"{net}.{200 + number}", store))
        gateways[-1].start()
    for gateway in gateways:
        await gateway.wait_ready()

    def name(version):
        record.write("the trainer names version", version)
        store.write("versions", "m", {"model": "m", "version": version})

    async def step(number):
        """Runs a step of two groups of four items. Returns the ids of items without a result when its time is up."""
        groups = {f"g{number}-{group}": [(f"s{number}g{group}i{item}", 20) for item in range(4)] for group in range(2)}
        ids = [id for items in groups.values() for id, _ in items]
        id = f"b{number}"
        assert await submit(record, gateways, id, batch(number, "m", max(number - 1, 1), 2, groups))
        begin, listed = seconds(), {}
        while len(listed) < len(ids) and seconds() - begin < TIME_LIMIT_S:
            try:
                status, page = await results(gateways[number % 2], id, len(listed))
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                continue
            for result in (page or {}).get("results", []):
                listed[result["id"]] = result
                record.write("the trainer reads", result["id"], result["state"], "versions", result.get("versions"))
            await asyncio.sleep(0.3)
        await call(gateways[0].front, "DELETE", f"/-/lots/{id}")
        record.write("step", number, "ends after", f"{seconds() - begin:.1f} s with", len(listed), "of", len(ids), "results")
        return [id for id in ids if id not in listed]

    # A step each EVERY_S. Once it is complete, training takes TRAIN_S, then the next version is named.
    start = seconds()
    for number in (1, 2):
        assert not await step(number)
        await asyncio.sleep(TRAIN_S)
        name(number + 1)
        if number == 1:
            await asyncio.sleep(max(0, start + EVERY_S - seconds()))
    await asyncio.sleep(max(0, start + 2 * EVERY_S - EARLY_S - seconds()))
    changed_at = seconds()
    if is_troubled:
        split = [{"service": "pool-a", "weight": 50}, {"service": "pool-b", "weight": 50}]
        changed = route("/roll/", "rollout", "pool-a", **more)
        del changed["service"]
        record.write("the operator splits the route between pool-a and pool-b")
        store.write("config", "main", manifest(2, [{**changed, "traffic-split": split}], ["pool-a", "pool-b"]))
    await asyncio.sleep(max(0, start + 2 * EVERY_S - seconds()))
    begin, away_since, fill = seconds(), {}, 0

    async def watch():
        """Notes since when an unfinished item of the step has been at no server, and how full the servers are."""
        nonlocal fill
        while seconds() - begin < TIME_LIMIT_S:
            running = set().union(*(engine.running_ids for engine in engines))
            for id in (f"s3g{group}i{item}" for group in range(2) for item in range(4)):
                if id in finished or id in running:
                    away_since.pop(id, None)
                else:
                    away_since.setdefault(id, seconds())
            fill = sum(engine.runs for engine in engines) / sum(engine.slots for engine in engines)
            await asyncio.sleep(0.05)

    watcher = asyncio.create_task(watch())
    await step(3)
    await watcher
    at, steady_from = begin + TIME_LIMIT_S, changed_at + STABLE_S
    away = {id: at - max(since, steady_from) for id, since in away_since.items()}
    lost = {id: time for id, time in away.items() if time >= AWAY_LIMIT_S}
    others = sum(id.startswith("s3") for id in begun)
    for id, time in sorted(lost.items()):
        record.write("LOST:", id, f"was at no server for {time:.1f} s of steady state when the time of its step ran out;", f"{others} others had begun, {100 * fill:.0f}% of the slots were in use")
    return not (lost and others and fill < 0.5)


main(FOLDER, case)
