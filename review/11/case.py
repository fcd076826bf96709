"""A release replaces half of the model servers by ones with newer software, while a step runs whose items need no more
than a part of the servers. See claim.txt."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
from standins import Engine, Gateway, Store, batch, call, loopback, main, manifest, results, route, seconds, submit

ENGINES = 12
# The release: the share of the servers, how many at a time, and the time between. They serve for DRAIN_S after they have
# reported that they leave.
SHARE, AT_A_TIME, GAP_S, DRAIN_S, EARLY_S = 0.5, 2, 1.0, 2.2, 1.0
EVERY_S, TRAIN_S, TIME_LIMIT_S = 4, 0.5, 12
# An item may be at no server for this long in steady state, which begins STABLE_S after the last server has left.
AWAY_LIMIT_S, STABLE_S = 5, 3


async def case(record, is_troubled, gateways):
    net = loopback()
    store = Store((f"{net}.2", 8266))
    await store.start()
    lengths, finished, last_run = {}, set(), {}
    engines = {}

    def add(number, **more):
        engine = Engine(record, store, f"i-{number:02d}", (f"{net}.{10 + number}", 8080), "pool", "m", **more)
        engine.length_of = lambda id: lengths[id]
        engine.on_finish = lambda engine, id: finished.add(id)
        engines[engine.name] = engine
        return engine

    for number in range(ENGINES):
        await add(number).start()
    roll = route("/roll/", "rollout", "pool", **{"timeout-ms": 10000, "max-queue-s": 40.0, "run-target-ms": 7500, "single-version": False, "can-resume": True})
    store.write("config", "main", manifest(1, [roll], ["pool"]))
    for number in range(2):
        gateways.append(Gateway(record, f"front-{number}", f"{net}.{200 + number}", store))
        gateways[-1].start()
    for gateway in gateways:
        await gateway.wait_ready()

    def name(version):
        record.write("the trainer names version", version)
        store.write("versions", "m", {"model": "m", "version": version})

    async def step(number, length, limit_s):
        """Runs a step of two groups of four items. Returns the ids of items without a result when its time is up."""
        groups = {f"g{number}-{group}": [(f"s{number}g{group}i{item}", length) for item in range(4)] for group in range(2)}
        ids = [id for items in groups.values() for id, _ in items]
        lengths.update((id, length) for id in ids)
        id = f"b{number}"
        assert await submit(record, gateways, id, batch(number, "m", max(number - 1, 1), 2, groups))
        begin, listed = seconds(), {}
        while len(listed) < len(ids) and seconds() - begin < limit_s:
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
        assert not await step(number, 20, TIME_LIMIT_S)
        await asyncio.sleep(TRAIN_S)
        name(number + 1)
        if number == 1:
            await asyncio.sleep(max(0, start + EVERY_S - seconds()))

    left_at = []

    async def release():
        if not is_troubled:
            return
        for first in range(0, int(ENGINES * SHARE), AT_A_TIME):
            for number in range(first, first + AT_A_TIME):
                await add(100 + number, software="v2", version=3).start()
                engines[f"i-{number:02d}"].drain()

                async def leave(old):
                    await asyncio.sleep(DRAIN_S)
                    old.exit()
                    left_at.append(seconds())

                asyncio.create_task(leave(engines[f"i-{number:02d}"]))
            await asyncio.sleep(GAP_S)

    at_server, away_since = {}, {}

    async def watch():
        """Notes since when an unfinished item of the step has been at no server, and how full the servers are."""
        while True:
            alive = [engine for engine in engines.values() if engine.name in {n for k, n in store.objects if k == "servers"}]
            running = set().union(*(engine.running_ids for engine in alive)) if alive else set()
            for id in lengths:
                if id.startswith("s3") and id not in finished:
                    if id in running:
                        away_since.pop(id, None)
                    else:
                        away_since.setdefault(id, seconds())
            at_server["fill"] = sum(engine.runs for engine in alive) / max(1, sum(engine.slots for engine in alive))
            await asyncio.sleep(0.05)

    watcher = asyncio.create_task(watch())
    # The release begins EARLY_S before the third step.
    await asyncio.sleep(max(0, start + 2 * EVERY_S - EARLY_S - seconds()))
    released = asyncio.create_task(release())
    await asyncio.sleep(max(0, start + 2 * EVERY_S - seconds()))
    begin = seconds()
    await step(3, 160, TIME_LIMIT_S)
    at = begin + TIME_LIMIT_S
    watcher.cancel()
    await released
    steady_from = max(left_at, default=0) + STABLE_S
    away = {id: at - max(since, steady_from) for id, since in away_since.items()}
    lost = {id: time for id, time in away.items() if time >= AWAY_LIMIT_S}
    for id, time in sorted(lost.items()):
        record.write("LOST:", id, f"was at no server for {time:.1f} s of steady state when the time of its step ran out;", f"{100 * at_server['fill']:.0f}% of the slots were in use")
    return not (lost and at_server["fill"] < 0.5)


main(FOLDER, case)
