"""All routers are killed; consumers take their streams up again, while workers of two software versions keep the prompts."""
import asyncio
import os
import re
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins2"))
from fleet import (BROKEN, HELD, Worker, answer_head, chunk, configuration, new_id, play, prompt_of, read_head,
                   request_bytes, route, service, value)

EVENTS = 14
STREAMS = 12


async def behave(worker, run, reader, writer):
    first = int(value(run["headers"], "last-event-id", "0")) + 1
    last = 2 if run["path"].endswith("/short") else EVENTS
    writer.write(answer_head(run, more="Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
    await asyncio.sleep(0.1)
    for number in range(first, last + 1):
        writer.write(chunk(f"id: {number}\ndata: piece {number} of version {worker.version}\n\n".encode()))
        await writer.drain()
        await asyncio.sleep(0.1)
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True


async def receive(router, identity, path, number, more, pieces):
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", router.clients)
        writer.write(request_bytes(identity, "POST", path, b"{}", 8000, prompt_of(number), more))
        first, headers = await read_head(reader)
        if " 200 " not in first + " ":
            writer.close()
            return first
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                writer.close()
                return True
            pieces += [(int(n), v.decode()) for n, v in re.findall(rb"piece (\d+) of version (\d+)", part)]
    except (OSError, asyncio.IncompleteReadError) as error:
        return type(error).__name__


async def stream(routers, number, record):
    pieces = []
    identity = first = new_id()
    router = routers[number % 3]
    record(f"sent {identity} to {router.name}, session {number}")
    end = await receive(router, identity, "/draft/long", number, (), pieces)
    tries = 0
    while end is not True and tries < 6 and pieces:
        tries += 1
        await asyncio.sleep(1.0)
        identity = new_id()
        more = [f"Resumes: {first}", f"Last-Event-Id: {pieces[-1][0]}"]
        router = routers[(number + tries) % 3]
        record(f"sent {identity} to {router.name}, {', '.join(more)}, after {end}")
        end = await receive(router, identity, "/draft/long", number, more, pieces)
    record(f"answered {first}: end {end}, pieces {' '.join(f'{n}v{v}' for n, v in pieces)}")
    return {version for _, version in pieces}


async def case(fleet, record, trouble):
    old, new = Worker("i-0", "llm", behave, record), Worker("i-1", "llm", behave, record, zone="zone-b", version="2")
    await fleet.start(configuration(1, [route("draft", "/draft/", "streaming", "llm", 8000, 2, True)],
                                    [service("llm", True)]), [old])
    await asyncio.gather(*(receive(fleet.routers[n % 3], new_id(), "/draft/short", n, (), []) for n in range(STREAMS)))
    await new.start()
    fleet.store.put(f"servers/{new.name}", new.entry())
    record("a worker of version 2 joins")
    await asyncio.sleep(1)
    old.full = True
    streams = [asyncio.create_task(stream(fleet.routers, n, record)) for n in range(STREAMS)]
    await asyncio.sleep(0.8)
    old.full = False
    if trouble:
        new.list_s = 0.5
        record("SIGKILL to all routers")
        for router in fleet.routers:
            router.signal(signal.SIGKILL)
        await asyncio.gather(*(router.process.wait() for router in fleet.routers))
        await asyncio.gather(*(router.start() for router in fleet.routers))
    versions = await asyncio.gather(*streams)
    joined = sum(len(each) > 1 for each in versions)
    record(f"{joined} of {STREAMS} streams hold events of two versions")
    return BROKEN if joined > 2 else HELD


play(os.path.dirname(os.path.abspath(__file__)), case)
