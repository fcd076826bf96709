"""A gateway gets SIGTERM while streams run through it. One stream pauses for a moment at its server.

All servers are full: each runs two streams and has two in its queue. The server of one stream preempts it, and sends
nothing for 1.3 s in the middle of it.
"""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-2"))

import standins as s  # noqa: E402

EVENTS = 12  # of a stream, 0.2 s apart
PAUSE = 1.3
PAUSED_AT = 6
LIMIT_MS = 10000
SLOTS, QUEUE, SERVERS = 2, 2, 3
STREAMS = SERVERS * (SLOTS + QUEUE)  # all servers are full


async def stream(world, gateway, request):
    """Requests a stream and reads it to its end. Returns the status, the events and whether it is complete."""
    reader, writer = await asyncio.open_connection(gateway.ip, 8263)
    try:
        writer.write((
            f"POST /stream/{request} HTTP/1.1\r\nHost: {s.HOST}\r\nContent-Length: 0\r\n"
            f"X-Tamaracksail-Request-Id: {request}\r\nX-Tamaracksail-Deadline-Ms: {LIMIT_MS}\r\n"
            f"X-Tamaracksail-Model: {s.MODEL}\r\nX-Tamaracksail-Token-Count: 16,{EVENTS}\r\n\r\n").encode())
        world.record(f"client sends {request} to {gateway.name}")
        head = await s.read_head(reader)
        if head is None:
            return 0, [], False
        status, body, is_complete = int(head[0].split()[1]), b"", False
        try:
            while status == 200:
                size = int(await reader.readuntil(b"\r\n"), 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    is_complete = True
                    break
                body += chunk[:-2]
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        events = [line[4:] for line in body.decode().split("\n") if line.startswith("id: ")]
        return status, events, is_complete
    finally:
        writer.close()


async def play(world, trouble):
    await world.start(gateways=2, engines=SERVERS, slots=SLOTS, interval=0.2, lengths=lambda request: EVENTS)
    for engine in world.engines:
        engine.queue = QUEUE
        engine.pause = lambda request, number: PAUSE if trouble and (request, number) == ("s-0", PAUSED_AT) else 0.0
    gateway = world.gateways[0]
    await asyncio.sleep(3.5)
    tasks = []
    for number in range(STREAMS):
        tasks.append(asyncio.ensure_future(stream(world, gateway, f"s-{number}")))
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.5)
    if sum(len(engine.running) + engine.waiting for engine in world.engines) != STREAMS:
        raise RuntimeError("not all streams run or wait")
    if trouble:
        gateway.signal(signal.SIGTERM)
    problems = []
    for number, task in enumerate(tasks):
        status, events, is_complete = await task
        world.record(f"client got of s-{number}: status {status}, {len(events)} events, complete {is_complete}")
        if not is_complete or len(events) != EVENTS:
            problems.append(
                f"LOST: s-{number} was passed on to a server, and its connection ended after {len(events)} of"
                f" {EVENTS} events; its server had not broken off")
    return problems


s.main(HERE, play)
