"""Stand-ins of the platform's store, of workers and of consumers, and real router processes on loopback addresses.

Python's standard library only. Everything but the routers runs in one asyncio loop. The stand-ins speak what PROTOCOL.md
says; where the page is silent, they behave like sound ones.
"""
import asyncio
import base64
import itertools
import json
import logging
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HELD, BROKEN, NOT_RUN = 0, 1, 2


# Writes to channels that a stand-in has cut are no news.
logging.getLogger("asyncio").setLevel(logging.CRITICAL)


class CaseError(Exception):
    """The case could not run."""


def free_ports(count):
    """Free ports below those that the system gives to outgoing channels, which could take one before a router does."""
    ports = set()
    while len(ports) < count:
        port = random.randint(15_000, 32_000)
        try:
            with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            ports.add(port)
        except OSError:
            continue
    return list(ports)


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.begin = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers.setdefault(name.strip().lower(), []).append(value.strip())
    return first, headers


def value(headers, name, default=""):
    return headers.get(name.lower(), [default])[0]


async def read_body(reader, headers):
    if value(headers, "transfer-encoding").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(value(headers, "content-length", "0")))


class Store:
    """The platform's store: a revision counter, items, a history, waiting watches."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.history = []
        self.changed = asyncio.Event()
        self.waiting = set()
        self.delay_s = 0.004
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=512)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, key, item):
        self.revision += 1
        text = item if isinstance(item, bytes) else json.dumps(item).encode()
        created = self.items[key]["created"] if key in self.items else self.revision
        entry = {"key": key, "value": base64.b64encode(text).decode(), "revision": self.revision, "created": created,
                 "lease": 77 if key.startswith("servers/") else 0}
        self.items[key] = entry
        self.publish(entry)

    def delete(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self.publish({"key": key, "revision": self.revision, "deleted": True})

    def publish(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def cut_watches(self):
        """Cuts the watches that wait, as the page says may happen. Returns how many."""
        cut = len(self.waiting)
        for writer in list(self.waiting):
            writer.close()
        self.waiting.clear()
        return cut

    async def serve(self, reader, writer):
        try:
            first, _ = await read_head(reader)
            target = urllib.parse.urlsplit(first.split(" ")[1])
            query = {name: values[0] for name, values in urllib.parse.parse_qs(target.query, True).items()}
            await asyncio.sleep(self.delay_s)
            if target.path == "/kv-range":
                answer = self.range(query)
            elif target.path == "/kv-watch":
                answer = await self.watch(query, reader, writer)
            else:
                answer = None
            if answer is not None:
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
                             + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def range(self, query):
        keys = [key for key in sorted(self.items) if key.startswith(query.get("pathPrefix", ""))
                and key > query.get("afterRevision", "")]
        page, size = [], 0
        for key in keys:
            size += len(self.items[key]["value"])
            if page and (size > 1_400_000 or len(page) == 500):
                break
            page.append(self.items[key])
        return {"items": page, "hasMore": len(page) < len(keys), "currentRev": self.revision}

    async def watch(self, query, reader, writer):
        after, end = int(query["afterRevision"]), time.monotonic() + int(query["waitMs"]) / 1000
        self.waiting.add(writer)
        try:
            while True:
                events = [each for each in self.history if each["revision"] > after
                          and each["key"].startswith(query.get("pathPrefix", ""))]
                left = end - time.monotonic()
                if writer not in self.waiting:
                    return None
                if events or left <= 0:
                    return {"events": events, "currentRev": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        finally:
            self.waiting.discard(writer)


class Worker:
    """A worker. Runs each request that names it; `behave` answers it."""

    def __init__(self, name, service, behave, record, zone="zone-a", version="1", slots=64):
        self.name, self.service, self.behave, self.record = name, service, behave, record
        self.zone, self.version, self.slots = zone, version, slots
        self.born = int(time.time() * 1000)
        self.runs = []
        self.parts = {}
        self.list_s = 0.01
        self.full = False
        self.writers = set()
        self.server = None
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def entry(self, state="ready"):
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": self.version,
                "slots": self.slots, "state": state, "coldRemainingMs": 0, "sequence": 0, "born": self.born}

    def exit(self):
        """The process ends: its socket and all its channels close."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, path, _ = first.split(" ")
                identity = value(headers, "x-dotterelcourse-request-id")
                if path == "/report":
                    text = json.dumps({"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                                       "busy": False, "sequence": 0, "queued": 0, "running": 0, "kvUsed": 0,
                                       "kvTotal": 570000, "handles": 0}).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
                    continue
                if path == "/kv-list":
                    await asyncio.sleep(self.list_s)
                    text = json.dumps({"epoch": self.born, "nextToken": 1, "held": [
                        ["", part, tokens, "m"] for part, tokens in self.parts.items()]}).encode()
                    self.record(f"{self.name} lists {len(self.parts)} parts that it keeps")
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                                 % len(text) + text)
                    continue
                expected = value(headers, "x-dotterelcourse-expect-instance")
                if expected and expected != self.name:
                    writer.write(f"HTTP/1.1 421 Misdirected\r\nX-Dotterelcourse-Not-Executed: 1\r\n"
                                 f"X-Dotterelcourse-Request-Id: {identity}\r\nContent-Length: 0\r\n\r\n".encode())
                    continue
                if self.full:
                    self.record(f"{self.name} is full, {identity} is not run")
                    writer.write(f"HTTP/1.1 503 Full\r\nX-Dotterelcourse-Not-Executed: 1\r\n"
                                 f"X-Dotterelcourse-Request-Id: {identity}\r\nContent-Length: 0\r\n\r\n".encode())
                    continue
                for entry in filter(None, value(headers, "x-dotterelcourse-prompt-prefix").split(",")):
                    part, _, tokens = entry.partition(":")
                    self.parts[part] = int(tokens)
                run = {"id": identity, "method": method, "path": path, "headers": headers, "body": body,
                       "at": time.monotonic()}
                self.runs.append(run)
                self.record(f"run {identity} at {self.name}: {method} {path}, {len(body)} bytes"
                            + (f", Last-Event-Id {value(headers, 'last-event-id')}" if "last-event-id" in headers else ""))
                if not await self.behave(self, run, reader, writer):
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def answer_head(run, status="200 OK", more=""):
    return (f"HTTP/1.1 {status}\r\nX-Dotterelcourse-Request-Id: {run['id']}\r\n"
            f"X-Dotterelcourse-Response-Stamp: 3e1b.{run['id']}\r\n{more}").encode()


async def answer_plainly(worker, run, reader, writer, body=b"done"):
    writer.write(answer_head(run, more=f"Content-Length: {len(body)}\r\n\r\n") + body)
    await writer.drain()
    return True


def chunk(data):
    return b"%x\r\n" % len(data) + data + b"\r\n"


class Router:
    """One router process, started with the command of the deploy file."""

    def __init__(self, number, folder, ports, store, seeds, bounds):
        self.name = f"edge-{number}"
        self.folder = folder
        self.clients, self.ready, self.directory, self.peers, self.relays = ports
        self.settings = os.path.join(folder, f"{self.name}.ini")
        self.process = None
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(f"""[daemon]
name = {self.name}
data-centre = zone-{'abc'[number % 3]}
region = muscat
grace-seconds = {bounds['graceS']}
capacity-share = 0.75
capacity-cores = 1

[listen]
clients = 127.0.0.1:{self.clients}
readiness = 127.0.0.1:{self.ready}
addresses = 127.0.0.1:{self.directory}
peers = 127.0.0.1:{self.peers}
relays = 127.0.0.1:{self.relays}

[platform]
store = 127.0.0.1:{store.port}
configuration-milliseconds = {bounds['configApplyMs']}
leaving-milliseconds = {bounds['drainMs']}
seeds = {seeds}

[repeats]
ratio = 0.2
extra = 56
window-seconds = 10
""")

    async def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["router"]["run"].split()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "JAVA_HOME", "LANG") if name in os.environ}
        environment["DOTTERELCOURSE_BOOT"] = self.settings
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, env=environment, stdout=log, stderr=log)

    async def until_ready(self, within_s=40):
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            if self.process.returncode is not None:
                raise CaseError(f"{self.name} ended with {self.process.returncode}")
            try:
                status, _, _ = await asyncio.wait_for(self.get(self.ready, "/ready"), 1)
                if status == 200:
                    return
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CaseError(f"{self.name} is not ready within {within_s} s")

    async def get(self, port, path):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n\r\n".encode())
            first, headers = await read_head(reader)
            return int(first.split(" ")[1]), headers, await reader.read()
        finally:
            writer.close()

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


BOUNDS = {"graceS": 8, "configApplyMs": 2000, "drainMs": 2000, "lossSlackMs": 200, "stableWindowMs": 3000}

ENGINE = {"slots": 64, "kvCapacity": 574298, "kvTokenBytes": 35136, "linkMbps": 740000.0, "moves": True, "backups": True,
          "stride": 2, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": [{"name": "m"}]}


def route(name, prefix, kind, service, timeout_ms, attempts=1, resumable=False, target_ms=800, gap_ms=500, priority=1):
    made = {"name": name, "host": HOST, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout_ms,
            "targetLatencyMs": target_ms, "priority": priority, "service": service, "maxAttempts": attempts,
            "anonymous": False, "sticky": kind == "streaming", "resumable": resumable}
    if kind == "streaming":
        made["gapTargetMs"] = gap_ms
    return made


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}]}


def service(name, engine=False):
    made = {"name": name, "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": False}
    if engine:
        made["engine"] = ENGINE
    return made


class Fleet:
    """A store, workers and routers for one case."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review2-")
        self.store = Store(record)
        self.workers = []
        self.routers = []

    async def start(self, config, workers, routers=3):
        await self.store.start()
        self.store.put("op/config", config)
        for worker in workers:
            await worker.start()
            self.store.put(f"servers/{worker.name}", worker.entry())
        self.workers = workers
        ports = [free_ports(5) for _ in range(routers)]
        seeds = ",".join(f"127.0.0.1:{each[3]}" for each in ports[:3])
        self.routers = [Router(number, self.folder, ports[number], self.store, seeds, BOUNDS)
                        for number in range(routers)]
        await asyncio.gather(*(each.start() for each in self.routers))
        await asyncio.gather(*(each.until_ready() for each in self.routers))
        await asyncio.sleep(5)
        self.record(f"{routers} routers are ready")

    async def end(self):
        for router in self.routers:
            router.signal(signal.SIGCONT)
            router.signal(signal.SIGKILL)
        for router in self.routers:
            if router.process is not None:
                await router.process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


IDS = itertools.count(1)


def new_id():
    return f"{os.getpid():x}{next(IDS):08x}"


def prompt_of(number):
    """Parts that no other request shares."""
    return f"5c1e{number:04x}:800,91bd{number:04x}:410,e440{number:04x}:250"


def request_bytes(identity, method, path, body=b"", deadline_ms=8000, prompt=None, more=()):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Dotterelcourse-Request-Id: {identity}",
             f"X-Dotterelcourse-Deadline-Ms: {deadline_ms}", f"X-Dotterelcourse-Key: {KEY}"]
    if prompt:
        lines += ["X-Dotterelcourse-Model: m", "X-Dotterelcourse-Token-Usage: 1460,80",
                  f"X-Dotterelcourse-Prompt-Prefix: {prompt}"]
    lines += list(more)
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Consumer:
    """A consumer with one channel to a router."""

    def __init__(self, router):
        self.router = router
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.router.clients)
        return self

    async def call(self, identity, method, path, body=b"", deadline_ms=8000, prompt=None, more=()):
        """Returns status, headers, body and whether the answer is complete; status 0 if the channel ends before a head."""
        self.writer.write(request_bytes(identity, method, path, body, deadline_ms, prompt, more))
        try:
            first, headers = await read_head(self.reader)
        except (OSError, asyncio.IncompleteReadError):
            return 0, {}, b"", False
        got = b""
        try:
            if value(headers, "transfer-encoding").lower() == "chunked":
                while True:
                    size = int((await self.reader.readuntil(b"\r\n")).strip(), 16)
                    part = await self.reader.readexactly(size + 2)
                    if size == 0:
                        break
                    got += part[:-2]
            else:
                got = await self.reader.readexactly(int(value(headers, "content-length", "0")))
            return int(first.split(" ")[1]), headers, got, True
        except (OSError, asyncio.IncompleteReadError):
            return int(first.split(" ")[1]), headers, got, False

    def close(self):
        if self.writer is not None:
            self.writer.close()


def play(folder, case):
    """Runs a case: an async function of a fleet, the record and whether there is trouble, that returns HELD or BROKEN."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        fleet = Fleet(record)
        try:
            return await asyncio.wait_for(case(fleet, record, trouble), 110)
        finally:
            await fleet.end()

    try:
        result = asyncio.run(run())
    except (CaseError, OSError, asyncio.TimeoutError) as error:
        record(f"the case could not run: {error!r}")
        result = NOT_RUN
    record({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[result])
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[result])
    sys.exit(result)
