"""A gateway does not learn of a new manifest, since the store once did not answer it for 0.6 s.

Three gateways forward idempotent requests. The operator moves a route to another service and adds a
route. As this is written, the store begins to be silent towards one gateway for 0.6 s: calls that are
due in that time, also the answer to a watch that waits, bring nothing, and nothing more comes on their
connections. New connections and all later calls are served. Seconds later, when the store has long
been stable again, clients send requests on both routes to all gateways.
"""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import *  # noqa: E402,F403

SILENT_S = 0.6
STABLE_S = 3.2
CONFIG_S = 2.0
ASK_UNTIL_S = 20.0


class App(Server):
    runs = {}

    async def serve(self, request, writer, connection):
        identity = request.header(REQUEST_ID)
        App.runs[identity] = self.service
        self.record.line(self.instance, f"of {self.service} runs {identity} at {request.path}")
        await asyncio.sleep(0.025)
        writer.write(response(200, b"found", [*self.headers(request), self.stamp(request)]))
        return True


async def ask(world, gateway, identity, path):
    answer = await exchange(gateway.front, "POST", path,
                            [(REQUEST_ID, identity), (DEADLINE_MS, 2000)], b"thread")
    world.record.line(gateway.name, f"answers {identity} at {path}: {answer.status}")
    return answer.status


async def case(world):
    servers = [App(world, f"i-app-{number}", "app") for number in (1, 2, 3)]
    servers += [App(world, f"i-next-{number}", "app-next") for number in (1, 2, 3)]
    for server in servers:
        await server.start()
    # The second route keeps the new service known to all versions.
    routes = [route("/find/", "idempotent", "app"), route("/next/", "idempotent", "app-next")]
    world.store.put("config", "main", manifest(1, routes))
    await world.start_gateways(3)
    for gateway in world.gateways:
        if await ask(world, gateway, f"first-{gateway.name}", "/find/thread") != 200:
            raise CannotRun("the first requests are not served")

    lonely = world.gateways[0].name
    probed = asyncio.Event()
    silent = [False]

    def refuse(gateway, kind, request):
        if gateway != lonely:
            return None
        if "stale-ok" in request.query:
            probed.set()
        if silent[0]:
            world.record.line("store", f"is silent to {lonely}: {request.method} {request.target}")
            return SILENCE
        return None

    world.store.refuse = refuse
    # The gateway probes the store once a second; the silence lies between two probes.
    await asyncio.wait_for(probed.wait(), 5.0)
    await asyncio.sleep(0.1)
    silent[0] = world.trouble
    routes[0]["service"] = "app-next"
    routes.append(route("/search/", "idempotent", "app"))
    world.store.put("config", "main", manifest(2, routes))
    confirmed_at = world.record.now()
    world.record.line("operator", "version 2 is confirmed: /find/ goes to app-next, and /search/ is new")
    await asyncio.sleep(SILENT_S)
    silent[0] = False
    world.record.line("store", "answers all calls again")
    await asyncio.sleep(STABLE_S)
    refused, old, count = [], [], 0
    while world.record.now() < confirmed_at + ASK_UNTIL_S:
        count += 1
        for gateway in world.gateways:
            age = world.record.now() - confirmed_at
            if await ask(world, gateway, f"n{count}-{gateway.name}", "/search/thread") == 404:
                refused.append(age)
            identity = f"f{count}-{gateway.name}"
            await ask(world, gateway, identity, "/find/thread")
            if App.runs.get(identity) == "app":
                old.append(age)
        await asyncio.sleep(0.5)
    refused = [age for age in refused if age > CONFIG_S]
    old = [age for age in old if age > CONFIG_S]
    if refused or old:
        return (f"{len(old)} requests were run by the old service, and {len(refused)} were refused with "
                f"404, the last ones sent {max(refused + old):.1f} s after the confirmation")
    return None


main(case)
