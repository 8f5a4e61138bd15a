"""Stand-ins of the platform for the cases of this review: the store, workers, consumers, and the start of the project's own
router with the command and the settings template of the deploy file. Python's standard library only, loopback only."""

import base64
import http.server
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
PREFIX = "X-Dotterelcourse-"


class NotRun(Exception):
    """The case could not be run; it says nothing about the router."""


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the beginning of the case."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")
            self.file.flush()


def free_port():
    """A port that is free for TCP and UDP, below those that systems give to outgoing channels."""
    while True:
        port = random.randint(15_000, 30_000)
        try:
            with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagrams:
                stream.bind(("127.0.0.1", port))
                datagrams.bind(("127.0.0.1", port))
            return port
        except OSError:
            continue


class Store:
    """The platform's store as PROTOCOL.md describes it: kv-key, kv-range in pages, kv-watch with long polls."""

    PAGE = 500

    def __init__(self):
        self.items, self.history, self.revision = {}, [], 100
        self.changed = threading.Condition()
        self.is_down = False
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *arguments):
                pass

            def do_GET(self):
                store.answer(self)

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, request, address):
                pass  # a router that ends leaves its call

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, key, value):
        """Writes an item and returns when the store has acknowledged it."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        with self.changed:
            self.revision += 1
            item = {"key": key, "value": data, "revision": self.revision, "created": self.revision, "lease": 0}
            self.items[key] = item
            self.history.append(item)
            self.changed.notify_all()

    def delete(self, key):
        with self.changed:
            self.revision += 1
            self.items.pop(key, None)
            self.history.append({"key": key, "revision": self.revision, "deleted": True})
            self.changed.notify_all()

    def set_down(self, value):
        """Answers every call with 503, also those that wait, or answers again."""
        with self.changed:
            self.is_down = value
            self.changed.notify_all()

    def answer(self, handler):
        url = urllib.parse.urlsplit(handler.path)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        prefix, status = query.get("pathPrefix", ""), 200
        with self.changed:
            if url.path == "/kv-watch":
                after, end = int(query["afterRevision"]), time.monotonic() + int(query["waitMs"]) / 1000
                events = self.events(prefix, after)
                while not events and not self.is_down and time.monotonic() < end:
                    self.changed.wait(end - time.monotonic())
                    events = self.events(prefix, after)
                body = {"events": events, "currentRev": self.revision}
            elif url.path == "/kv-range":
                keys = sorted(key for key in self.items if key.startswith(prefix) and key > query.get("afterRevision", ""))
                body = {
                    "items": [self.items[key] for key in keys[: self.PAGE]],
                    "hasMore": len(keys) > self.PAGE,
                    "currentRev": self.revision,
                }
            elif url.path == "/kv-key" and query.get("key") in self.items:
                body = dict(self.items[query["key"]], currentRev=self.revision)
            else:
                status, body = 404, {"currentRev": self.revision}
            if self.is_down:
                status, body = 503, {}
        data = json.dumps(body).encode()
        try:
            handler.send_response(status)
            handler.send_header("Content-Type", "application/json")
            handler.send_header("Content-Length", str(len(data)))
            handler.send_header("Store-Era", "1")
            handler.end_headers()
            handler.wfile.write(data)
        except OSError:
            pass  # the caller has left

    def events(self, prefix, after):
        return [event for event in self.history if event["revision"] > after and event["key"].startswith(prefix)]


def read_head(stream):
    """Reads a start line and headers; returns None at the end of the channel."""
    line = stream.readline()
    if not line:
        return None
    headers = {}
    while True:
        field = stream.readline()
        if not field:
            return None
        if field in (b"\r\n", b"\n"):
            return line.decode("latin-1").strip(), headers
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


def read_body(stream, headers):
    """Reads a body with a length or in chunks; raises EOFError if it ends early."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int(stream.readline().split(b";")[0] or b"x", 16) if (stream.peek(1)) else None
            if size is None:
                raise EOFError("the channel ended between two chunks")
            data = stream.read(size)
            if len(data) < size:
                raise EOFError("the channel ended inside a chunk")
            stream.readline()
            if size == 0:
                return body
            body += data
    length = int(headers.get("content-length", "0"))
    body = stream.read(length)
    if len(body) < length:
        raise EOFError("the channel ended inside the body")
    return body


class Request:
    """A request as a worker has read it."""

    def __init__(self, line, headers, body, channel):
        self.method, self.target = line.split(" ")[:2]
        self.headers, self.body, self.channel = headers, body, channel
        self.id = headers.get(PREFIX.lower() + "request-id", "")


class Worker:
    """A worker on a socket of its own. The behaviour answers each request; the worker serves one request at a time on a
    channel and keeps the channel, like a sound worker, unless the behaviour returns False."""

    def __init__(self, name, service, record, behaviour, slots=6, version="v1", port=0):
        self.name, self.service, self.record, self.behaviour = name, service, record, behaviour
        self.slots, self.version = slots, version
        self.born, self.sequence = int(time.time() * 1000), 1
        self.channels = set()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port or free_port()))
        self.listener.listen(256)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def entry(self, state="ready"):
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "zone-a",
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    def accept(self):
        while True:
            try:
                channel, _ = self.listener.accept()
            except OSError:
                return
            channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.channels.add(channel)
            threading.Thread(target=self.serve, args=(channel,), daemon=True).start()

    def serve(self, channel):
        stream = channel.makefile("rb")
        try:
            while True:
                head = read_head(stream)
                if head is None:
                    return
                request = Request(head[0], head[1], read_body(stream, head[1]), channel)
                expected = request.headers.get(PREFIX.lower() + "expect-instance", self.name)
                if expected != self.name:
                    self.reply(request, 421, b"", {PREFIX + "Not-Executed": "1"})
                elif self.behaviour(self, request) is False:
                    return
        except (OSError, EOFError, ValueError):
            pass
        finally:
            self.channels.discard(channel)
            channel.close()

    def head(self, request, status, headers):
        lines = [f"HTTP/1.1 {status} Status", f"{PREFIX}Request-Id: {request.id}", f"{PREFIX}Response-Stamp: stamp.{self.name}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def reply(self, request, status, body, headers=None):
        fields = dict(headers or {})
        fields["Content-Length"] = len(body)
        request.channel.sendall(self.head(request, status, fields) + body)

    def crash(self):
        """Ends like a process that crashes: its port is closed and all its channels are reset."""
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        for channel in list(self.channels):
            try:
                channel.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
                channel.shutdown(socket.SHUT_RD)  # wakes the thread that reads, which would keep the channel open
                os.close(channel.detach())
            except OSError:
                pass


def route(name, kind, service, attempts, timeout_ms=5000, target_ms=100, **more):
    return dict(
        {
            "name": name,
            "host": "a.example",
            "pathPrefix": f"/{name}/",
            "kind": kind,
            "timeoutMs": timeout_ms,
            "targetLatencyMs": target_ms,
            "priority": 0,
            "service": service,
            "maxAttempts": attempts,
            "anonymous": False,
            "resumable": False,
        },
        **more,
    )


def configuration(version, routes, services):
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "school", "apiKeys": ["key-of-school"], "priority": 1}],
    }


def render(template, fields):
    """Fills in the settings template as DEPLOY.md tells: values, and sections that are shown if there is a value."""

    def value(path):
        found = fields
        for part in path.split("."):
            try:
                found = found[int(part)] if isinstance(found, list) else found.get(part, "")
            except (IndexError, AttributeError):
                return ""
        return ",".join(map(str, found)) if isinstance(found, list) else found

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", lambda m: m.group(2) if value(m.group(1)) else "", template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(value(m.group(1))), text)


class Router:
    """A router process, started with the command of the deploy file."""

    def __init__(self, name, store, folder, record, seeds=None):
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["router"]
        ports = [free_port() for _ in range(5)]
        self.name, self.record = name, record
        self.front, self.ready, self.control, self.directory, relays = ports
        fields = {
            "nodeName": name,
            "ip": "127.0.0.1",
            "zone": "zone-a",
            "region": "region",
            "internalPorts": [relays, relays + 15],
            "seeds": (seeds or []) + [f"127.0.0.1:{self.control}"],
            "listen": {
                "front": f"127.0.0.1:{self.front}",
                "ready": f"127.0.0.1:{self.ready}",
                "control": f"127.0.0.1:{self.control}",
                "directory": f"127.0.0.1:{self.directory}",
            },
            "limits": {"cpuShare": 0.75, "cores": 1, "memoryMb": 430},
            "platform": {"address": store.address},
            "bounds": {
                "drainMs": 2000,
                "graceS": 8,
                "configApplyMs": 2000,
                "retryBudgetRatio": 0.2,
                "budgetWindowS": 10,
                "budgetExtra": 56,
            },
        }
        self.settings = pathlib.Path(folder) / f"{name}.ini"
        self.settings.write_text(render((ROOT / role["template"]).read_text(), fields))
        self.command = role["run"].split(" ")
        self.log_path = pathlib.Path(folder) / f"{name}.log"
        self.process = None

    def start(self):
        if not (ROOT / "target/dotterelcourse-platform/dotterelcourse-platform.jar").exists():
            raise NotRun("the build of the deploy file has not been run")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "JAVA_HOME", "LANG") if name in os.environ}
        environment["DOTTERELCOURSE_BOOT"] = str(self.settings)
        self.process = subprocess.Popen(
            self.command, cwd=ROOT, env=environment, stdout=open(self.log_path, "ab"), stderr=subprocess.STDOUT
        )
        self.record(f"router {self.name} started")
        return self

    def wait_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise NotRun(f"router {self.name} ended with {self.process.returncode}: {self.log()[-2000:]}")
            if self.is_ready():
                self.record(f"router {self.name} is ready")
                return self
            time.sleep(0.05)
        raise NotRun(f"router {self.name} is not ready after {seconds} s: {self.log()[-2000:]}")

    def is_ready(self, timeout=1.0):
        """What the platform asks each edge machine once a second."""
        try:
            return Consumer(self.ready, timeout).call("GET", "/ready", {}).status == 200
        except (OSError, EOFError, ValueError):
            return False

    def log(self):
        return self.log_path.read_text(errors="replace")

    def memory_mb(self):
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found.group(1)) // 1024 if found else 0

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


class Consumer:
    """A consumer's channel to a router, kept for several requests."""

    def __init__(self, port, timeout=10.0):
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=timeout)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.stream = self.socket.makefile("rb")

    def send(self, method, target, headers, body=b""):
        fields = {"Host": "a.example", **headers}
        if body or method == "POST":
            fields["Content-Length"] = len(body)
        lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields.items()]
        self.socket.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    def receive(self):
        head = read_head(self.stream)
        if head is None:
            raise EOFError("the channel was closed without an answer")
        status = int(head[0].split(" ")[1])
        return Answer(status, head[1], read_body(self.stream, head[1]))

    def call(self, method, target, headers, body=b""):
        self.send(method, target, headers, body)
        return self.receive()

    def close(self):
        self.stream.close()
        self.socket.close()


def request_headers(request_id, deadline_ms=4000, **more):
    headers = {PREFIX + "Request-Id": request_id, PREFIX + "Deadline-Ms": deadline_ms, PREFIX + "Key": "key-of-school"}
    headers.update({name.replace("_", "-"): value for name, value in more.items()})
    return headers


def run(folder, case):
    """Runs a case: case(folder, record, routers) returns whether the rule held. Ends all processes that it has started."""
    record, routers, status = Record(folder), [], NOT_RUN
    temporary = tempfile.mkdtemp(prefix="review-")

    def stop(*_):
        raise NotRun("stopped")

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGALRM, stop)
    signal.alarm(115)
    try:
        record(f"TROUBLE={1 if TROUBLE else 0}")
        status = HELD if case(pathlib.Path(temporary), record, routers) else BROKEN
        record("the rule held" if status == HELD else "THE RULE WAS BROKEN")
    except Exception as error:
        record(f"the case could not run: {error!r}")
    finally:
        signal.alarm(0)
        for router in routers:
            router.kill()
        shutil.rmtree(temporary, ignore_errors=True)
    print((pathlib.Path(folder) / "record.txt").read_text(), end="")
    sys.stdout.flush()
    os._exit(status)
