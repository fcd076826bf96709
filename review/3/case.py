"""The scheduling gateway aborts all items of a batch on a route that it does not know yet.

Three gateways serve batches. For half a second the store turns the scheduling gateway away: it answers
its calls with 503, cuts off its watches when there is something to report, and serves all others. As
this begins, the operator adds a route for batches. A trainer submits a batch on the new route at
another gateway, which has the new manifest in force and accepts it. The items are sound, and the
trainer reads their results. This is played four times, as the lease may move.
"""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import *  # noqa: E402,F403

REFUSED_S = 0.5
STEPS = 4
ITEMS = 8
EVENTS = 10


class Model(Server):
    async def serve(self, request, writer, connection):
        identity = request.header(REQUEST_ID)
        self.running += 1
        self.record.line(self.instance, f"runs {identity} at {request.path}")
        try:
            is_whole = await self.stream(request, writer, EVENTS, 0.02)
        finally:
            self.running -= 1
        self.record.line(self.instance, f"ends {identity}")
        return is_whole


async def submit(world, gateway, batch, path, count):
    ids = [f"{batch}-{number}" for number in range(count)]
    answer = await exchange(gateway.front, "POST", path + batch,
                            [(REQUEST_ID, batch), (DEADLINE_MS, 12000)], submission(ids, path, 1))
    world.record.line(gateway.name, f"answers batch {batch} on {path}: {answer.status}")
    return answer.status, ids


async def read(world, gateway, batch, count, limit):
    """Reads the results of a batch about twice a second until there are `count`."""
    results = []
    end = world.record.now() + limit
    while len(results) < count and world.record.now() < end:
        answer = await exchange(gateway.front, "GET", f"/-/lots/{batch}?after={len(results)}",
                                [(WAIT_MS, 500)], limit=2.5)
        for result in answer.json().get("results", []) if answer.status == 200 else []:
            results.append(result)
            world.record.line(gateway.name, f"lists {result['id']}: {result['state']}")
    return results


def turn_away(world, name):
    """Makes the store refuse the calls of a gateway for a while."""
    until = world.record.now() + REFUSED_S

    def refuse(gateway, kind, request):
        if gateway != name or world.record.now() >= until:
            return None
        world.record.line("store", f"turns {name} away: {request.method} {request.target}")
        return 503

    world.store.refuse = refuse


async def case(world):
    servers = [Model(world, f"i-model-{number}", "pool", slots=12) for number in (1, 2, 3)]
    for server in servers:
        await server.start()
    routes = [route("/step/", "rollout", "pool"), route("/find/", "idempotent", "pool")]
    world.store.put("config", "main", manifest(1, routes))
    await world.start_gateways(3)
    status, ids = await submit(world, world.gateways[0], "b1", "/step/", ITEMS)
    if status != 202 or len(await read(world, world.gateways[0], "b1", ITEMS, 10.0)) < ITEMS:
        raise CannotRun("the first batch does not run")
    version = 1
    for number in range(1, STEPS + 1):
        holder = world.store.spec("leases", "scheduling")["holder"]
        other = next(gateway for gateway in world.gateways if gateway.name != holder)
        world.record.line("store", f"{holder} schedules")
        if world.trouble:
            turn_away(world, holder)
        version += 1
        routes.append(route(f"/step-{number}/", "rollout", "pool"))
        world.store.put("config", "main", manifest(version, routes))
        world.record.line("operator", f"version {version} is confirmed: it adds /step-{number}/")
        await asyncio.sleep(0.25)
        status, ids = await submit(world, other, f"n{number}", f"/step-{number}/", ITEMS)
        if status != 202:
            raise CannotRun("a batch on a new route was not accepted")
        await asyncio.sleep(2.0)
    aborted = []
    for number in range(1, STEPS + 1):
        results = await read(world, other, f"n{number}", ITEMS, 12.0)
        if len(results) < ITEMS:
            raise CannotRun("the results are not listed")
        aborted += [result["id"] for result in results if result["state"] == "aborted"]
    if aborted:
        return (f"{len(aborted)} of {STEPS * ITEMS} items are listed as aborted, though no server has "
                f"had them: {', '.join(aborted)}")
    return None


main(case)
