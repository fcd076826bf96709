"""Submissions within the limit on bodies arrive at twice their usual rate. All are accepted; the gateway that schedules
them holds all their bodies and exceeds its memory, and so does each that takes over. See claim.txt."""

import asyncio
import base64
import json
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
from standins import Engine, Gateway, Store, call, loopback, main, manifest, results, route, seconds, submit

MEMORY_MB, GATEWAYS, ENGINES = 110, 4, 6
TRAINERS, BURST_X, BURST_S = 3, 2, 44
ITEMS, ITEM_BYTES, EVENTS = 38, 384 << 10, 80
BEFORE_S, TIME_LIMIT_S, RESTART_S = 14, 12, 1
# The rule: this many own ends on this many machines.
ENDS, MACHINES = 3, 2


def private_mb(gateway):
    """The memory of a gateway's process, without that of its program's file."""
    try:
        with open(f"/proc/{gateway.process.pid}/status") as file:
            return next(int(line.split()[1]) for line in file if line.startswith("RssAnon")) / 1024
    except (OSError, StopIteration):
        return 0


async def case(record, is_troubled, gateways):
    net = loopback()
    store = Store((f"{net}.2", 8266))
    await store.start()
    for number in range(ENGINES):
        engine = Engine(record, store, f"i-{number:02d}", (f"{net}.{10 + number}", 8080), "pool", "m")
        engine.length_of = lambda id: EVENTS
        await engine.start()
    roll = route("/roll/", "rollout", "pool", **{"timeout-ms": 10000, "max-queue-s": 40.0, "run-target-ms": 7500, "single-version": False, "can-resume": True})
    store.write("config", "main", manifest(1, [roll], ["pool"], 33554432))
    for number in range(GATEWAYS):
        gateways.append(Gateway(record, f"front-{number}", f"{net}.{200 + number}", store, memory_mb=MEMORY_MB))
        gateways[-1].start()
    for gateway in gateways:
        await gateway.wait_ready()
    ends, peaks = {gateway.name: 0 for gateway in gateways}, {gateway.name: 0 for gateway in gateways}
    begin, is_over = seconds(), asyncio.Event()

    async def platform(gateway):
        """Kills a process that uses more than its memory, and starts it again, as DEPLOY.md says."""
        while not is_over.is_set():
            used = private_mb(gateway)
            peaks[gateway.name] = max(peaks[gateway.name], used)
            if used > MEMORY_MB:
                ends[gateway.name] += 1
                record.write(gateway.name, f"uses {used:.0f} MB of {MEMORY_MB} MB and is killed")
                gateway.signal(signal.SIGKILL)
                gateway.process.wait()
                await asyncio.sleep(RESTART_S)
                gateway.start()
            await asyncio.sleep(0.01)

    async def trainer(name, first_s, last_s):
        await asyncio.sleep(first_s)
        step = 0
        while seconds() - begin < last_s:
            step += 1
            id = f"{name}-{step}"
            body = base64.b64encode(os.urandom(ITEM_BYTES)).decode()
            items = [
                {
                    "id": f"{id}-{number}", "path": "/roll/item", "body": body, "tokens": 60 + EVENTS, "group": f"{id}-g{number // 4}",
                    "headers": {"X-Tamaracksail-Model": "m", "X-Tamaracksail-Token-Count": f"60,{EVENTS}", "X-Tamaracksail-Prompt-Prefix": "9c2e41:60"},
                }
                for number in range(ITEMS)
            ]
            text = json.dumps({"step": step, "model": "m", "min-version": 1, "target-groups": ITEMS // 4, "items": items}).encode()
            first = (step + int(name[-1])) % GATEWAYS
            fronts = gateways[first:] + gateways[:first]
            if not await submit(record, fronts, id, text):
                continue
            start, listed, turn = seconds(), 0, 0
            while listed < ITEMS and seconds() - start < TIME_LIMIT_S:
                turn += 1
                try:
                    _, page = await results(fronts[turn % GATEWAYS], id, listed)
                    listed += len((page or {}).get("results", []))
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    pass
                await asyncio.sleep(0.3)
            record.write("step", id, f"ends after {seconds() - start:.1f} s with {listed} of {ITEMS} results")
            for gateway in fronts:
                try:
                    if (await call(gateway.front, "DELETE", f"/-/lots/{id}", limit=3))[0] == 200:
                        break
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    pass
            await asyncio.sleep(0.5)

    last_s = BEFORE_S + BURST_S
    usual = [trainer(f"usual{number}", number, last_s) for number in range(TRAINERS)]
    more = TRAINERS * (BURST_X - 1) if is_troubled else 0
    burst = [trainer(f"burst{number}", BEFORE_S + number, last_s) for number in range(more)]
    watchers = [asyncio.create_task(platform(gateway)) for gateway in gateways]
    await asyncio.gather(*usual, *burst)
    is_over.set()
    await asyncio.gather(*watchers)
    for gateway in gateways:
        record.write(gateway.name, "was killed for its memory", ends[gateway.name], f"times; at most {peaks[gateway.name]:.0f} MB")
    return sum(count >= ENDS for count in ends.values()) < MACHINES


main(FOLDER, case)
