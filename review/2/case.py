"""A gateway that gets SIGTERM ends before the streams that it relays are complete.

Two gateways relay streams of 5.5 s from a sound server. One gateway gets SIGTERM half a second after
its streams began, as in a rolling restart. The streams end 5 s after the SIGTERM, well before the
last sixth of the 8 s that the process has.
"""

import asyncio
import os
import signal
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import *  # noqa: E402,F403

STREAMS = 6
EVENTS = 55
INTERVAL_S = 0.1
GRACE_S = 8.0


class Model(Server):
    async def serve(self, request, writer, connection):
        identity = request.header(REQUEST_ID)
        self.running += 1
        self.record.line(self.instance, f"runs {identity}")
        try:
            is_whole = await self.stream(request, writer, EVENTS, INTERVAL_S)
        except ConnectionError:
            is_whole = False
        finally:
            self.running -= 1
        end = "to its end" if is_whole else "until the connection was closed"
        self.record.line(self.instance, f"streamed {identity} {end}")
        return is_whole


async def case(world):
    servers = [Model(world, f"i-model-{number}", "pool", slots=12) for number in (1, 2)]
    for server in servers:
        await server.start()
    world.store.put("config", "main", manifest(1, [route("/chat/", "stream", "pool")]))
    await world.start_gateways(2)
    stopping = world.gateways[0]

    async def client(number):
        identity = f"s{number}"
        gateway = world.gateways[number % 2]
        answer = await exchange(gateway.front, "POST", "/chat/turn",
                                [(REQUEST_ID, identity), (DEADLINE_MS, 10000)], b"hello", 12.0)
        events = answer.body.count(b"\n\n")
        world.record.line(gateway.name, f"answered {identity}: {answer.status}, {events} of {EVENTS} "
                          f"events, complete: {answer.is_complete} {answer.problem}")
        is_served = answer.status == 200 and answer.is_complete and events == EVENTS
        return identity, gateway, is_served

    clients = [asyncio.ensure_future(client(number)) for number in range(2 * STREAMS)]
    await asyncio.sleep(0.5)
    if not world.trouble:
        results = await asyncio.gather(*clients)
    else:
        stopping.signal(signal.SIGTERM)
        start = world.record.now()
        while world.record.now() - start < GRACE_S and stopping.process.poll() is None:
            await asyncio.sleep(0.02)
        if stopping.process.poll() is None:
            stopping.signal(signal.SIGKILL)
        else:
            world.record.line(stopping.name, f"ended {world.record.now() - start:.2f} s after the "
                              f"SIGTERM, exit code {stopping.process.returncode}")
        results = await asyncio.gather(*clients)
    if not all(is_served for _, gateway, is_served in results if gateway is not stopping):
        raise CannotRun("a stream of the other gateway is not complete")
    cut = [identity for identity, _, is_served in results if not is_served]
    if cut:
        return f"{len(cut)} of {STREAMS} streams of the stopping gateway were cut: {', '.join(cut)}"
    return None


main(case)
