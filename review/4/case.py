"""A server that has left gets requests for longer than `drain-ms`, if a watch was cut off before.

Two gateways forward requests to three sound servers, some of which may not be repeated. The store cuts
off the gateways' waiting watches of the servers, once, and answers everything else. Four seconds later,
when the store has long been stable again, a server leaves without reporting `draining`: its entry is
removed, it goes on serving for `drain-ms` and a little longer, and then exits. Just before, another
server's entry changes.
"""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import *  # noqa: E402,F403

CALM_S = 4.0
DRAIN_S = 2.0
SERVES_ON_S = 2.8
END_S = 6.0
CLIENTS = 24
WORK_S = {"/find/thread": 0.025, "/file/thread": 0.2}


class App(Server):
    def __init__(self, world, number, arrivals):
        super().__init__(world, f"i-app-{number}", "app", slots=6)
        self.arrivals = arrivals
        self.writers = set()

    def exit(self):
        self.listener.close()
        for writer in self.writers:
            writer.transport.abort()
        self.record.line(self.instance, "exits")

    async def serve(self, request, writer, connection):
        identity = request.header(REQUEST_ID)
        self.arrivals.append((self.record.now(), identity, self.instance))
        self.record.line(self.instance, f"runs {identity}")
        self.writers.add(writer)
        self.running += 1
        await asyncio.sleep(WORK_S[request.path])
        self.running -= 1
        writer.write(response(200, b"found", [*self.headers(request), self.stamp(request)]))
        return True


async def case(world):
    arrivals, sent = [], {}
    servers = [App(world, number, arrivals) for number in (1, 2, 3)]
    for server in servers:
        await server.start()
    world.store.put("config", "main", manifest(1, [
        route("/find/", "idempotent", "app"), route("/file/", "non_idempotent", "app")]))
    await world.start_gateways(2)
    is_over, lost = False, []

    async def client(number):
        count = 0
        path = list(WORK_S)[number // 2 % 2]
        while not is_over:
            count += 1
            identity = f"r{number}-{count}"
            gateway = world.gateways[number % 2]
            sent[identity] = world.record.now()
            answer = await exchange(gateway.front, "POST", path,
                                    [(REQUEST_ID, identity), (DEADLINE_MS, 2000)], b"thread")
            if answer.status != 200:
                lost.append(identity)
            await asyncio.sleep(0.03)

    clients = [asyncio.ensure_future(client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(1.0)
    if world.trouble:
        for gateway in world.gateways:
            world.store.cut_watches(gateway.name, "servers")
        world.record.line("store", "cuts off the waiting watches of the servers")
    await asyncio.sleep(CALM_S)
    # The weights of another server change, as they do all day.
    servers[0].version = 2
    servers[0].register("ready")
    await asyncio.sleep(0.3)
    world.store.remove("servers", servers[2].instance)
    removed_at = world.record.now()
    world.record.line("store", f"the entry of {servers[2].instance} is removed")
    await asyncio.sleep(SERVES_ON_S)
    servers[2].exit()
    await asyncio.sleep(END_S - SERVES_ON_S)
    is_over = True
    await asyncio.gather(*clients)
    late = [identity for at, identity, instance in arrivals
            if instance == servers[2].instance and sent[identity] > removed_at + DRAIN_S]
    before = [identity for at, identity, instance in arrivals
              if instance == servers[2].instance and at < removed_at]
    if not before:
        raise CannotRun("the server that leaves had no requests")
    if late:
        last = max(at for at, identity, instance in arrivals if instance == servers[2].instance)
        return (f"{len(late)} requests reached a server later than {DRAIN_S:.0f} s after its entry was "
                f"removed, the last {last - removed_at:.2f} s after; {len(lost)} requests got no answer of a "
                f"server as it exited")
    return None


main(case)
