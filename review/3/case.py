"""Requests that wait in the router's queue are dropped without an answer when another one is refused on account of a backoff."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from standins import *  # noqa: E402,F403

# One engine of the old software and seven of the new one, 12 slots each.
OLD, NEW, SLOTS = "v1", "v2", 12
FIRST_EVENT_S, EVENTS, GAP_S = 0.4, 15, 0.1
# The route: an objective of 2.5 s for the first event, a timeout of 8 s. A consumer leaves a stream that has no event for four times
# the objective (PROTOCOL.md), or at its time limit of 15 s.
TARGET_MS, TIMEOUT_MS, LEAVES_S, LIMIT_MS = 2500, 8000, 10.0, 15000
# Requests a second: those with the hot part, 11 of 41 (share 0.27), and all others. All engines together can run 50 a second.
HOT_A_SECOND, OTHERS_A_SECOND, OTHER_PARTS, SEND_S = 11, 30, 40, 14.0
# { kind = "srv_crash", share = 0.25, for_s = 2.0 }: one engine of eight at a time, two in all.
DOWN_S = 2.0
# { kind = "srv_grey", how = "shed", share = 0.14, x = 0.45, for_s = 6.5 }: one engine of eight.
SHED_AFTER_S, SHED_S, SHED_OF_100, RETRY_AFTER_S = 4.0, 6.5, 45, 2


def case(folder, record, routers):
    lock = threading.Lock()
    engines, running, ran_at = {}, {}, {}
    shedding = {"until": 0.0, "asked": 0, "shed": 0}

    def engine(worker, request):
        """A sound engine, but for the requests that the old one sheds during the disruption. It says that it hasn't run them."""
        with lock:
            mine = running.setdefault(worker.name, set())
            sheds = worker.version == OLD and time.monotonic() < shedding["until"]
            if sheds:
                shedding["asked"] += 1
                sheds = shedding["asked"] * SHED_OF_100 // 100 > shedding["shed"]
                shedding["shed"] += sheds
            full = len(mine) >= worker.slots
            if not sheds and not full:
                mine.add(request.id)
                ran_at.setdefault(request.id, []).append(worker.name)
        if sheds or full:
            record(f"{worker.name} turns {request.id} away, 503 with Retry-After {RETRY_AFTER_S}")
            worker.reply(request, 503, b"", {PREFIX + "Not-Executed": "1", "Retry-After": RETRY_AFTER_S})
            return
        record(f"{worker.name} runs {request.id}")
        try:
            head = worker.head(request, 200, {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"})
            request.channel.sendall(head)
            time.sleep(FIRST_EVENT_S)
            for number in range(1, EVENTS + 1):
                event = f"id: {number}\ndata: tokens\n\n".encode()
                request.channel.sendall(b"%x\r\n" % len(event) + event + b"\r\n")
                time.sleep(GAP_S)
            request.channel.sendall(b"0\r\n\r\n")
        finally:
            with lock:
                mine.discard(request.id)

    store = Store()
    for name in ["old-1"] + [f"new-{i}" for i in range(1, 8)]:
        engines[name] = Worker(name, "llm", record, engine, SLOTS, OLD if name == "old-1" else NEW)
    more = {"gapTargetMs": 500, "sticky": True}
    store.put(
        "op/config",
        configuration(
            7,
            [route("digest", "streaming", "llm", 1, TIMEOUT_MS, TARGET_MS, **more)],
            [{"name": "llm", "healthPath": "/health", "maxConnections": 370, "engine": {"slots": SLOTS, "stride": 2}}],
        ),
    )
    for worker in engines.values():
        store.put(f"servers/{worker.name}", worker.entry())
    router = Router("edge-1", store, folder, record)
    routers.append(router)
    router.start().wait_ready()

    sent = {}  # by id: when it was sent, when its final answer came (None: not yet), how it ended

    def consume(request_id, part, number):
        headers = request_headers(request_id, LIMIT_MS)
        headers[PREFIX + "Model"] = "m"
        headers[PREFIX + "Token-Usage"] = "17020,120"
        headers[PREFIX + "Prompt-Prefix"] = f"{part}:13300,{0xB0000000 + number:08x}:3720"
        entry = [time.monotonic(), None, "nothing"]
        sent[request_id] = entry
        consumer = None
        try:
            consumer = Consumer(router.front, LEAVES_S)
            answer = consumer.call("POST", "/digest/1", headers, request_id.encode() * 100)
            entry[2] = str(answer.status)
            if answer.status == 503:
                entry[2] += ", Retry-After " + answer.headers.get("retry-after", "none")
        except TimeoutError:
            entry[2] = "nothing until its consumer left"
        except (OSError, EOFError, ValueError) as error:
            entry[2] = f"the channel ended, {error}"
        finally:
            if entry[2] != "nothing until its consumer left":
                entry[1] = time.monotonic()
            if consumer is not None:
                consumer.close()
        record(f"{request_id} after {time.monotonic() - entry[0]:.3f} s: {entry[2]}")

    def send(request_id, part, number):
        threading.Thread(target=consume, args=(request_id, part, number), daemon=True).start()

    def crash(name):
        """The engine ends and is back under its id after some seconds, with a new born."""
        record(f"{name} crashes while it runs {sorted(running.get(name, ()))}")
        old = engines[name]
        old.crash()

        def restart():
            time.sleep(DOWN_S)
            engines[name] = Worker(name, "llm", record, engine, SLOTS, old.version, old.port)
            store.put(f"servers/{name}", engines[name].entry())
            record(f"{name} is back")

        threading.Thread(target=restart, daemon=True).start()

    # Two engines of the new software crash one after the other, each as it begins a request with the part that will be hot. A part
    # whose engine is the old one is left alone, and another is taken.
    hot = None
    for candidate in range(4):
        hot = f"c0ffee{candidate:02x}"
        crashes = 0
        for number in (1, 2):
            request_id = f"first-{candidate}-{number}"
            send(request_id, hot, 1000 + 2 * candidate + number)
            time.sleep(0.3)
            at = ran_at.get(request_id, ["none"])[-1]
            if not at.startswith("new"):
                break
            if TROUBLE:
                crash(at)
                time.sleep(0.7)
            crashes += 1
        if crashes == 2:
            break
        time.sleep(3)
    else:
        raise NotRun("the requests went to the old engine")
    record(f"the hot part is {hot}")
    time.sleep(4)

    began = time.monotonic()
    if TROUBLE:
        threading.Timer(SHED_AFTER_S, lambda: shedding.update(until=time.monotonic() + SHED_S)).start()

    def traffic(name, a_second, parts):
        for number in range(int(SEND_S * a_second)):
            time.sleep(max(0.0, began + number / a_second - time.monotonic()))
            send(f"{name}-{number:03d}", parts[number % len(parts)], (1 if name == "hot" else 2) * 100_000 + number)

    threads = [
        threading.Thread(target=traffic, args=("hot", HOT_A_SECOND, [hot])),
        threading.Thread(target=traffic, args=("other", OTHERS_A_SECOND, [f"babe{i:04x}" for i in range(OTHER_PARTS)])),
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    time.sleep(LEAVES_S + 1)

    if not any(entry[2] == "200" for entry in sent.values()):
        raise NotRun("no request was served")
    late = [name for name, entry in sent.items() if entry[1] is None or entry[1] - entry[0] > TIMEOUT_MS / 1000]
    never = [name for name in late if sent[name][1] is None or sent[name][1] - sent[name][0] > TIMEOUT_MS / 1000 + 0.5]
    ran = [name for name in never if name in ran_at]
    for name in sorted(never):
        record(f"NOT ANSWERED: {name}, {'ran at ' + ran_at[name][-1] if name in ran_at else 'sent to no engine'}: {sent[name][2]}")
    answered = sum(entry[2] == "200" for entry in sent.values())
    refused = sum(entry[2].startswith("503") for entry in sent.values())
    record(
        f"{len(sent)} requests, {answered} served, {refused} refused with 503; the old engine shed {shedding['shed']} of {shedding['asked']}; "
        f"{len(late)} unanswered at their route's timeout, {len(never)} of them half a second later, {len(ran)} of these had run"
    )
    record(f"the router answers /ready: {router.is_ready()}")
    # CONFIG, both lines: more than half, and eight or more and over a quarter.
    return not (len(never) >= 8 and 2 * len(never) > len(late))


run(FOLDER, case)
