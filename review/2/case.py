"""A worker restarts under its id with other software while the store is down; broken streams go on at workers of the old one."""

import pathlib
import re
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from standins import *  # noqa: E402,F403

# Four engines with sabla-muscat's 64 slots, and its redemption-draft: 10.6 a second, 26 events, resumable, two attempts.
ENGINES, SLOTS, A_SECOND, SEND_S = 4, 64, 10.6, 18.0
FIRST_EVENT_S, EVENTS, GAP_S = 0.15, 26, 0.055
TARGET_MS, GAP_TARGET_MS, TIMEOUT_MS = 800, 200, 8000
# { kind = "platform_down", how = "busy", for_s = 8.0 }
DOWN_AT_S, DOWN_S = 8.0, 8.0
# { kind = "srv_crash", share = 0.25, for_s = 2.0 }, twice: one engine of four, down for half a second.
CRASHES_AT_S, CRASH_S, CRASHING = (8.1, 15.7), 0.5, 1
# The software of the engine that crashes, by its starts.
VERSIONS = ("v1", "v2", "v2")


def case(folder, record, routers):
    engines, counts = {}, {}

    def engine(worker, request):
        """A sound engine. Each event says which software has written it."""
        first = int(request.headers.get("last-event-id", "0") or "0") + 1
        counts[worker.name] = counts.get(worker.name, 0) + 1
        record(f"{worker.name} of {worker.version} runs {request.id} from event {first}")
        head = worker.head(request, 200, {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"})
        request.channel.sendall(head)
        time.sleep(FIRST_EVENT_S)
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {worker.version}\n\n".encode()
            request.channel.sendall(b"%x\r\n" % len(event) + event + b"\r\n")
            time.sleep(GAP_S)
        request.channel.sendall(b"0\r\n\r\n")

    store = Store()
    for number in range(1, ENGINES + 1):
        name = f"w-{number}"
        engines[name] = Worker(name, "llm", record, engine, SLOTS, VERSIONS[0])
    more = {"gapTargetMs": GAP_TARGET_MS, "sticky": True, "resumable": True}
    store.put(
        "op/config",
        configuration(
            7,
            [route("draft", "streaming", "llm", 2, TIMEOUT_MS, TARGET_MS, **more)],
            [{"name": "llm", "healthPath": "/health", "maxConnections": 370, "engine": {"slots": SLOTS, "stride": 2}}],
        ),
    )
    for worker in engines.values():
        store.put(f"servers/{worker.name}", worker.entry())
    router = Router("edge-1", store, folder, record)
    routers.append(router)
    router.start().wait_ready()

    results = {}  # by id: how it ended, the events' (id, software)

    def consume(request_id, number):
        headers = request_headers(request_id, TIMEOUT_MS)
        headers[PREFIX + "Model"] = "m"
        headers[PREFIX + "Token-Usage"] = "9190,52"
        headers[PREFIX + "Prompt-Prefix"] = f"91bd{number % 4:04x}:2520,5c1e{number % 71:04x}:3780,{0xA0000000 + number:08x}:2890"
        consumer, body, end = None, b"", "complete"
        try:
            consumer = Consumer(router.front, 8.0)
            consumer.send("POST", "/draft/1", headers, request_id.encode() * 100)
            head = read_head(consumer.stream)
            if head is None:
                raise EOFError("the channel was closed without an answer")
            if " 200 " not in head[0] + " ":
                end = head[0].split(" ")[1]
            else:
                while True:  # chunk by chunk, as they arrive
                    size = int(consumer.stream.readline().strip() or b"x", 16)
                    body += consumer.stream.read(size)
                    consumer.stream.readline()
                    if size == 0:
                        break
        except (OSError, EOFError, ValueError) as error:
            end = f"broken off, {error}"
        finally:
            if consumer is not None:
                consumer.close()
        events = [(int(number), software) for number, software in re.findall(r"id: (\d+)\ndata: (\w+)\n\n", body.decode())]
        results[request_id] = (end, events)
        shown = [f"{software}: {[n for n, s in events if s == software][0]} to {[n for n, s in events if s == software][-1]}" for software in dict.fromkeys(s for _, s in events)]
        record(f"{request_id} {end}, events of {', '.join(shown) or 'none'}")

    def crash(name, start):
        """An engine ends, and is back under its id after 2 s, with a new born. It can't tell the store while that is down."""
        old = engines[name]
        record(f"{name} crashes")
        old.crash()
        time.sleep(CRASH_S)
        engines[name] = Worker(name, "llm", record, engine, SLOTS, VERSIONS[start], old.port)
        record(f"{name} is back with the software {VERSIONS[start]}")
        while store.is_down:
            time.sleep(0.05)
        store.put(f"servers/{name}", engines[name].entry())
        record(f"{name} has told the store")

    began = time.monotonic()

    def at(seconds, action):
        timer = threading.Timer(max(0.0, began + seconds - time.monotonic()), action)
        timer.daemon = True
        timer.start()

    chosen = []

    def crash_all(start):
        """The engine that has run most so far, the same one both times."""
        chosen[:] = chosen or sorted(counts, key=counts.get)[-CRASHING:]
        for name in chosen:
            threading.Thread(target=crash, args=(name, start), daemon=True).start()

    def set_down(value):
        store.set_down(value)
        record("the store is " + ("down" if value else "back"))

    if TROUBLE:
        at(DOWN_AT_S, lambda: set_down(True))
        at(DOWN_AT_S + DOWN_S, lambda: set_down(False))
        for start, seconds in enumerate(CRASHES_AT_S, 1):
            at(seconds, lambda start=start: crash_all(start))
    threads = []
    for number in range(int(SEND_S * A_SECOND)):
        time.sleep(max(0.0, began + number / A_SECOND - time.monotonic()))
        threads.append(threading.Thread(target=consume, args=(f"draft-{number:03d}", number), daemon=True))
        threads[-1].start()
    for thread in threads:
        thread.join(15)

    complete = [name for name, (end, events) in results.items() if end == "complete"]
    if not complete:
        raise NotRun("no stream was complete")
    mixed = sorted(name for name, (_, events) in results.items() if len({software for _, software in events}) > 1)
    gaps = sorted(name for name in results if [n for n, _ in results[name][1]] != list(range(1, len(results[name][1]) + 1)))
    for name in mixed:
        record(f"TWO VERSIONS IN ONE ANSWER: {name}, {results[name][0]}")
    record(f"{len(results)} streams, {len(complete)} complete; {len(mixed)} hold events of two software versions; {len(gaps)} have gaps or repeats")
    return len(mixed) <= 2 and not gaps


run(FOLDER, case)
