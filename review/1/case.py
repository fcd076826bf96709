"""A late second copy of a refusal makes a request that is not idempotent run twice.

Two gateways serve clients of a route for requests that may not be repeated. Its three servers are
sound and refuse requests while they are full. Three times, for five seconds, one of them sends 3 in
100 of its answers a second time, late: where the next answer on that connection is due. The copy bears
the id of the request that it answered.
"""

import asyncio
import os
import random
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import *  # noqa: E402,F403

SLOTS = 6
QUEUE = 4
WORK_S = (0.02, 0.06)
CLIENTS = 80
TROUBLE_S = ((2.0, 7.0), (10.0, 15.0), (18.0, 23.0))
END_S = 25.0
SHARE = 0.03


class App(Server):
    """Works on `SLOTS` requests at once and queues a few more; refuses the others."""

    def __init__(self, world, instance, runs):
        super().__init__(world, instance, "app", SLOTS)
        self.slot = asyncio.Semaphore(SLOTS)
        self.runs = runs
        self.garbles = lambda: False
        self.copies = 0

    async def serve(self, request, writer, connection):
        late = connection.pop("late", None)
        if late is not None:
            self.copies += 1
            self.record.line(self.instance, f"sends the late copy of the answer to {late[0]} "
                             f"({late[1]}) as {request.header(REQUEST_ID)} waits")
            writer.write(late[2])
        identity = request.header(REQUEST_ID)
        if self.running >= SLOTS + QUEUE:
            status, body = 503, b""
            headers = [*self.headers(request), (NOT_EXECUTED, "1")]
        else:
            self.running += 1
            try:
                async with self.slot:
                    self.runs.setdefault(identity, []).append(self.instance)
                    self.record.line(self.instance, f"runs {identity}")
                    await asyncio.sleep(random.uniform(*WORK_S))
            finally:
                self.running -= 1
            status, body = 200, b"done " + request.body
            headers = [*self.headers(request), self.stamp(request)]
        answer = response(status, body, headers)
        if self.garbles() and random.random() < SHARE:
            connection["late"] = (identity, status, answer)
        writer.write(answer)
        return True


async def case(world):
    runs, answers = {}, {}
    servers = [App(world, f"i-app-{number}", runs) for number in range(1, 4)]
    for server in servers:
        await server.start()
    world.store.put("config", "main",
                    manifest(1, [route("/book/", "non_idempotent", "app", timeout_ms=5000)]))
    await world.start_gateways(2)
    start = world.record.now()
    elapsed = lambda: world.record.now() - start
    if world.trouble:
        servers[0].garbles = lambda: any(begin <= elapsed() < end for begin, end in TROUBLE_S)

    async def client(number):
        count = 0
        while elapsed() < END_S:
            count += 1
            identity = f"r{number}-{count}"
            gateway = world.gateways[number % 2]
            answer = await exchange(gateway.front, "POST", "/book/seat",
                                    [(REQUEST_ID, identity), (DEADLINE_MS, 2000)], b"seat")
            answers[identity] = answer.status
            if answer.status != 200:
                world.record.line(gateway.name, f"answers {identity}: {answer.status} "
                                  f"{answer.problem}")
            wait = float(answer.headers.get("retry-after", "0"))
            await asyncio.sleep(max(wait, random.uniform(0.0, 0.1)))

    await asyncio.gather(*(client(number) for number in range(CLIENTS)))
    await asyncio.sleep(1.0)
    twice = {identity: where for identity, where in runs.items() if len(where) > 1}
    false_refusals = [identity for identity, status in answers.items()
                      if status in (408, 421, 429, 503) and identity in runs]
    for identity, where in twice.items():
        world.record.line("check", f"{identity} ran {len(where)} times: {', '.join(where)}")
    for identity in false_refusals:
        world.record.line("check", f"{identity} ran and was answered {answers[identity]}")
    statuses = sorted(set(map(str, answers.values())))
    counts = {status: sum(str(found) == status for found in answers.values())
              for status in statuses}
    world.record.line("check", f"{len(answers)} requests, answers {counts}, "
                      f"{servers[0].copies} late copies")
    if len(runs) < 100:
        raise CannotRun("too few requests ran")
    if twice:
        return (f"{len(twice)} requests ran more than once, "
                f"{len(false_refusals)} ran and were refused")
    return None


main(case)
