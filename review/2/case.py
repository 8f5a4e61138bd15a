"""A machine is lost soon after the others were restarted in turn; the streams that it served can't be taken up again."""

import os
import pathlib
import random
import re
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from standins import *  # noqa: E402,F403

# Six engines of one software version with sabla-muscat's 64 slots, its routes, and its redemption-draft: 10.6 a second, resumable, two
# attempts, an objective of 800 ms, pauses of 200 ms, a time limit of 8 s, one retry. A consumer waits for four times the objective for
# the next event (PROTOCOL.md, Requests).
ENGINES, SLOTS, A_SECOND = 6, 64, 10.6
FIRST_EVENT_S, EVENTS, GAP_S = 0.3, 36, 0.12
TARGET_MS, GAP_TARGET_MS, TIMEOUT_MS, WAITS_S, RETRIES = 800, 200, 8000, 3.2, 1
# The machines have run for longer than twice the longest time limit of the routes (15 s) when the planned restarts begin.
MACHINES, RESTARTS_AT_S = 3, 33.0
# { kind = "roll_term", share = 1.0, gap_s = 2.0 }: two machines of three, one at a time. ROLL=0 leaves it out.
ROLLED, GAP_BETWEEN_S, GRACE_S = 2, 2.0, 8.0
ROLL = os.environ.get("ROLL", "1") != "0"
# { kind = "herd_kill", share = 0.55, for_s = 2.0 }: the third machine, when the others have been calm for longer than stableWindowMs (3 s).
LOST_AFTER_S, LOST_S, SENDS_ON_S = 5.0, 2.0, 5.0


def case(folder, record, routers):
    engines = {}

    def engine(worker, request):
        """A sound engine."""
        first = int(request.headers.get("last-event-id", "0") or "0") + 1
        record(f"{worker.name} runs {request.id} from event {first}")
        head = worker.head(request, 200, {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"})
        request.channel.sendall(head)
        time.sleep(FIRST_EVENT_S)
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: tokens\n\n".encode()
            request.channel.sendall(b"%x\r\n" % len(event) + event + b"\r\n")
            time.sleep(GAP_S)
        request.channel.sendall(b"0\r\n\r\n")

    store = Store()
    for number in range(1, ENGINES + 1):
        engines[f"w-{number}"] = Worker(f"w-{number}", "llm", record, engine, SLOTS)
    more = {"gapTargetMs": GAP_TARGET_MS, "sticky": True, "resumable": True}
    store.put(
        "op/config",
        configuration(
            7,
            [
                route("draft", "streaming", "llm", 2, TIMEOUT_MS, TARGET_MS, **more),
                route("digest", "streaming", "llm", 1, 15000, 2500, gapTargetMs=500, sticky=True),
                route("query", "streaming", "llm", 1, 15000, 500, gapTargetMs=120, sticky=True),
            ],
            [{"name": "llm", "healthPath": "/health", "maxConnections": 370, "engine": {"slots": SLOTS, "stride": 2}}],
        ),
    )
    for worker in engines.values():
        store.put(f"servers/{worker.name}", worker.entry())
    for number in range(1, MACHINES + 1):
        routers.append(Router(f"edge-{number}", store, folder, record, [f"127.0.0.1:{each.control}" for each in routers]))
    for router in routers:
        router.start()
    for router in routers:
        router.wait_ready()
    lost, others = routers[-1], routers[:-1]
    serving = set(routers)  # those whose addresses consumers are told
    streams, taken_up = {}, {}  # by id: the router, when it was sent, whether it began; of those taken up again: whether they went on

    def attempt(request_id, number, router, left_s, more):
        """One consumer attempt. Returns its events, the time in Retry-After, and how it ended."""
        headers = request_headers(request_id, int(left_s * 1000))
        headers[PREFIX + "Model"] = "m"
        headers[PREFIX + "Token-Usage"] = "9190,72"
        headers[PREFIX + "Prompt-Prefix"] = f"91bd{number % 4:04x}:2520,5c1e{number % 71:04x}:3780,{0xA0000000 + number:08x}:2890"
        headers.update(more)
        consumer, body, retry_after, end = None, b"", 0.0, "complete"
        try:
            consumer = Consumer(router.front, 1.0)
            consumer.socket.settimeout(WAITS_S)
            consumer.send("POST", "/draft/1", headers, b"statement" * 100)
            head = read_head(consumer.stream)
            if head is None:
                raise EOFError("the channel was closed without an answer")
            status = head[0].split(" ")[1]
            if status != "200":
                retry_after = float(head[1].get("retry-after", "0"))
                end = f"{status}, Retry-After {retry_after}"
            else:
                while True:  # chunk by chunk, as they arrive
                    line = consumer.stream.readline()
                    if not line:
                        raise EOFError("the channel ended")
                    size = int(line, 16)
                    body += consumer.stream.read(size)
                    consumer.stream.readline()
                    if size == 0:
                        break
        except TimeoutError:
            end = f"left after {WAITS_S} s without an event"
        except (OSError, EOFError, ValueError) as error:
            end = f"broken off, {error}"
        finally:
            if consumer is not None:
                consumer.close()
        return [int(number) for number in re.findall(r"id: (\d+)\ndata: tokens\n\n", body.decode())], retry_after, end

    def consume(number):
        sent, name = time.monotonic(), f"draft-{number:04d}"
        now = sorted(serving, key=lambda each: each.name)
        router = now[number % len(now)]
        events, retry_after, end = attempt(name, number, router, TIMEOUT_MS / 1000, {})
        record(f"{name} at {router.name}: {end}, {len(events)} events")
        streams[name] = (router, sent, bool(events))
        last = events[-1] if events else 0
        for tries in range(1, RETRIES + 2):
            left = TIMEOUT_MS / 1000 - (time.monotonic() - sent)
            pause = min(retry_after, left / 3)  # RULES.md: consumers honour it up to a third of the time that they have left
            if end == "complete" or not last or left - pause < 0.5 or taken_up.get(name):
                return
            time.sleep(pause)
            again, router = f"{name}-{tries}", random.choice(others)
            events, retry_after, end = attempt(
                again, number, router, left - pause, {"Resumes": name, "Last-Event-Id": str(last)}
            )
            taken_up[name] = bool(events)
            record(f"{again} takes it up at {router.name} after event {last}: {end}, {len(events)} events")

    is_over = threading.Event()
    threads = []

    def traffic():
        begin, number = time.monotonic(), 0
        while not is_over.is_set():
            time.sleep(max(0.0, begin + number / A_SECOND - time.monotonic()))
            threads.append(threading.Thread(target=consume, args=(number,), daemon=True))
            threads[-1].start()
            number += 1

    sender = threading.Thread(target=traffic, daemon=True)
    sender.start()
    time.sleep(RESTARTS_AT_S)
    if ROLL:
        for router in routers[:ROLLED]:
            serving.discard(router)
            router.process.send_signal(signal.SIGTERM)
            record(f"{router.name} gets SIGTERM")
            try:
                router.process.wait(GRACE_S)
            except subprocess.TimeoutExpired:
                router.kill()
            router.start().wait_ready()
            serving.add(router)
            time.sleep(GAP_BETWEEN_S)
    time.sleep(LOST_AFTER_S)
    began = time.monotonic()
    if TROUBLE:
        serving.discard(lost)
        lost.kill()
        record(f"{lost.name} is killed")
        time.sleep(LOST_S)
        lost.start()
    time.sleep(SENDS_ON_S)
    is_over.set()
    sender.join()
    for thread in threads:
        thread.join(15)

    new = [begins for router, sent, begins in streams.values() if router in others and sent > began]
    if not any(new):
        raise NotRun("no new stream began")
    for name in sorted(taken_up):
        if not taken_up[name]:
            record(f"DOES NOT GO ON: {name}")
    record(
        f"{len(streams)} streams; {len(taken_up)} were taken up again at {' and '.join(each.name for each in others)}, "
        f"{sum(taken_up.values())} of them went on; of {len(new)} new streams there since then {sum(new)} began"
    )
    # LOST: 12 or more streams were taken up again, and the share that went on is under half of the share of new streams that began.
    return len(taken_up) < 12 or sum(taken_up.values()) / len(taken_up) >= sum(new) / len(new) / 2


run(FOLDER, case)
