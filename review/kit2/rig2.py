"""Stand-ins of the operators' platform for the cases of the second review; standard library only.

The store, the searchers and the callers run in one asyncio loop; the entries run as processes that
are started by the ``run`` command of ``deploy/system.toml``. All addresses are loopback addresses.
"""

import asyncio
import base64
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "desk.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2

SETTINGS = """
node_name = "{name}"
role = "entry"
machine_class = "frontend"
serves = ["frontend", "control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "region-a"
internal_port_range = [{peer}, {last}]
seeds = [{seeds}]
bootstrap = true
tolerance_member = false
discovery = "platform"
entry_mode = "vip"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"]
[listen_addrs]
frontend = "{ip}:{callers}"
readiness = "{ip}:{ready}"
control_plane = "{ip}:{control}"
[limits]
cpu_quota = 0.537
cpu_cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
stable_window_ms = 4000
ack_ms = 5000
catch_up_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
outer_ms = 12000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_budget_slack = 56
recovery_s = 12
[platform]
address = "{store}"
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


class Broken(Exception):
    """A message is not complete, or its connection has ended."""


class Head:
    """The start line and headers of a message.

    :param data: bytes up to the empty line.
    """

    def __init__(self, data):
        first, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
        self.first = first
        self.headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            self.headers[name.strip().lower()] = value.strip()


async def read_message(reader, has_body=True):
    """Read one message whose body has a length, is chunked, or ends with the connection.

    :param reader: the stream.
    :param has_body: whether a message without a length may have a body.
    :returns: the head and the body.
    :raises Broken: if the connection ends first.
    """
    try:
        head = Head(await reader.readuntil(b"\r\n\r\n"))
        if "content-length" in head.headers:
            return head, await reader.readexactly(int(head.headers["content-length"]))
        if head.headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                body += (await reader.readexactly(size + 2))[:size]
                if not size:
                    return head, body
        return head, b"" if not has_body else await reader.read()
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError) as error:
        raise Broken(repr(error)) from error


def encode(first, headers, body=b""):
    """Encode a message with a length.

    :param first: the start line.
    :param headers: pairs of name and value.
    :param body: the body.
    :returns: the bytes.
    """
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Store:
    """The platform's store, which is only read by the system."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 100
        self.era = 1
        self.first = 100
        self.changed = asyncio.Event()
        self.server = None
        self.address = ""

    async def listen(self):
        """Start."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def put(self, key, value):
        """Write an item.

        :param key: its key.
        :param value: its value, written as JSON.
        :returns: the time of the acknowledgement.
        """
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        created = self.items.get(key, {}).get("create_revision", self.revision)
        item = {"key": key, "value": text, "revision": self.revision}
        self.items[key] = {**item, "create_revision": created, "lease": 0}
        return self._event(self.items[key])

    def delete(self, key):
        """Delete an item.

        :param key: its key.
        :returns: the time of the acknowledgement.
        """
        self.revision += 1
        del self.items[key]
        return self._event({"key": key, "revision": self.revision, "tombstone": True})

    def _event(self, event):
        self.events.append(event)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return time.monotonic()

    async def _serve(self, reader, writer):
        try:
            while True:
                head, _ = await read_message(reader, has_body=False)
                url = urlsplit(head.first.split()[1])
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                await asyncio.sleep(0.004)
                status, page = await self._answer(url.path, query)
                body = json.dumps(page).encode()
                fields = (("Content-Type", "application/json"), ("Store-Era", self.era))
                writer.write(encode(f"HTTP/1.1 {status} X", fields, body))
                await writer.drain()
        except (Broken, OSError, asyncio.CancelledError):
            writer.transport.abort()

    async def _answer(self, path, query):
        if path == "/v1/kv-range":
            prefix, after = query.get("path_prefix", ""), unquote(query.get("after", ""))
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            items = [self.items[key] for key in keys[:500]]
            more = len(keys) > 500
            return 200, {"items": items, "has_more": more, "store_revision": self.revision}
        if path != "/v1/kv-watch":
            return 404, {}
        after, until = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1e3
        while True:
            if not self.first <= after <= self.revision:
                return 410, {}
            events = [one for one in self.events if one["revision"] > after]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass


class Searcher:
    """Answers each request with records, or a body, and a signature.

    :param rig: gets what it did.
    :param name: its id.
    :param service: its service.
    :param zone: its zone.
    :ivar work_s: gives how long a request works.
    :ivar body: gives the body of an answer.
    :ivar slots: how many requests it runs at a time.
    """

    def __init__(self, rig, name, service, zone, slots=4):
        self.rig, self.name, self.service, self.zone, self.slots = rig, name, service, zone, slots
        self.work_s = lambda request_id: 0.01
        self.body = lambda request_id: records(service, request_id)
        self.port = 0
        self.server = None
        self.ran = []
        self.writers = set()
        self.room = asyncio.Semaphore(slots)

    async def listen(self):
        """Start on a free port, or on the same one again."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=1 << 25)
        self.port = self.server.sockets[0].getsockname()[1]

    def crash(self):
        """End as a process that is killed: its connections are reset."""
        self.server.close()
        for writer in list(self.writers):
            linger = b"\1\0\0\0\0\0\0\0"
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    def entry(self, state="ready"):
        """Describe it as the store does.

        :param state: ``ready`` or ``draining``.
        :returns: the entry.
        """
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "capacity": self.slots,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": 1,
        }

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head, body = await read_message(reader, has_body=False)
                method, target, _ = head.first.split(" ")
                fields = head.headers
                request_id = fields.get("x-request-id", "")
                if fields.get("x-target-instance", self.name) != self.name:
                    writer.write(encode("HTTP/1.1 421 X", (("X-Request-Id", request_id),)))
                    continue
                if target == "/health":
                    writer.write(encode("HTTP/1.1 200 X", (("X-Instance-Id", self.name),)))
                    continue
                async with self.room:
                    self.rig.on_run(self, request_id, method, target, body)
                    await asyncio.sleep(self.work_s(request_id))
                seal = self.rig.seal(self.service, request_id)
                names = (("X-Request-Id", request_id), ("X-Response-Seal", seal))
                writer.write(encode("HTTP/1.1 200 OK", names, self.body(request_id)))
                await writer.drain()
        except (Broken, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


def records(service, request_id, count=6):
    """Make the records of a part.

    :param service: the service.
    :param request_id: the request.
    :param count: how many.
    :returns: records of 16 bytes, in no order.
    """
    texts = (f"{service}/{request_id}/{place}" for place in range(count))
    return b"".join(hashlib.md5(text.encode()).digest() for text in texts)


class Answer:
    """What a client got.

    :param status: the status; 0 if the connection ended without a complete answer.
    :param headers: the headers.
    :param body: the body.
    :param why: how the connection ended.
    """

    def __init__(self, status, headers=None, body=b"", why=""):
        self.status, self.headers, self.body, self.why = status, headers or {}, body, why


class Client:
    """A client with one connection, which it keeps as long as the entry does.

    :param rig: gets what was sent and answered.
    :param address: IP address and port.
    """

    def __init__(self, rig, address):
        self.rig, self.address = rig, address
        self.reader = self.writer = None

    async def ask(self, path, request_id, method="GET", body=b"", wait_s=5.0, headers=()):
        """Send a request and wait for its answer.

        :param path: path and query.
        :param request_id: its id.
        :param method: its method.
        :param body: its body.
        :param wait_s: the client's deadline.
        :param headers: further headers.
        :returns: the answer.
        """
        fields = [("Host", HOST), ("X-Request-Id", request_id)]
        fields += [("X-Deadline-Ms", int(wait_s * 1e3)), *headers]
        started = time.monotonic()
        answer = await self._ask(encode(f"{method} {path} HTTP/1.1", fields, body), wait_s)
        took_ms = round((time.monotonic() - started) * 1e3)
        self.rig.note(
            "answered",
            request_id,
            path,
            f"{len(body)} bytes",
            f"status={answer.status}",
            answer.why,
            f"{len(answer.body)} bytes",
            f"{took_ms} ms",
        )
        return answer

    async def _ask(self, data, wait_s):
        try:
            if self.writer is None or self.reader.at_eof():
                await self.close()
                opening = asyncio.open_connection(*self.address, limit=1 << 25)
                self.reader, self.writer = await asyncio.wait_for(opening, 1.0)
            self.writer.write(data)
            reading = read_message(self.reader)
            head, body = await asyncio.wait_for(reading, wait_s)
        except (Broken, OSError, asyncio.TimeoutError) as error:
            await self.close()
            return Answer(0, why=f"no answer: {error!r}")
        if head.headers.get("connection", "").lower() == "close":
            await self.close()
        return Answer(int(head.first.split()[1]), head.headers, body)

    async def close(self):
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
            self.reader = self.writer = None


class Entry:
    """One entry, as a process started by the deploy file's command.

    :param rig: the rig.
    :param number: its number, from 1.
    :param zone: its zone.
    """

    def __init__(self, rig, number, zone):
        self.rig, self.number, self.zone = rig, number, zone
        self.name = f"frontend-{zone}-{number}"
        self.ip = f"{rig.net}.{number}"
        self.address = (self.ip, rig.ports["callers"])
        self.settings = rig.folder / f"{self.name}.toml"
        self.log = rig.folder / f"{self.name}.log"
        self.popen = None

    def start(self):
        """Start the process."""
        ports = self.rig.ports
        seeds = ", ".join(f'"{self.rig.net}.{one}:{ports["control"]}"' for one in (1, 2, 3))
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=self.zone,
            seeds=seeds,
            store=self.rig.store.address,
            **ports,
        )
        self.settings.write_text(text)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "RHUBARBHINGE_NODE_FILE": str(self.settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(
                deploy["roles"]["entry"]["run"].split(" "),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.rig.note("started", self.name)

    async def is_ready(self):
        """Ask as the platform does whether it is ready.

        :returns: whether it answered 200.
        """
        try:
            opening = asyncio.open_connection(self.ip, self.rig.ports["ready"])
            reader, writer = await asyncio.wait_for(opening, 1.0)
            writer.write(encode("GET /v1/ready HTTP/1.1", (("Host", self.ip),)))
            head, _ = await asyncio.wait_for(read_message(reader), 1.0)
            writer.close()
        except (Broken, OSError, asyncio.TimeoutError):
            return False
        return head.first.split()[1] == "200"

    def signal(self, number):
        """Send a signal.

        :param number: the signal.
        """
        self.rig.note("signal", self.name, signal.Signals(number).name)
        self.popen.send_signal(number)

    def end(self):
        """Kill the process if it runs."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
        if self.popen is not None:
            self.popen.wait()


class Rig:
    """A deployment on loopback.

    :param case: the folder of the case, which gets ``record.txt``.
    """

    def __init__(self, case):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = (Path(case) / "record.txt").open("w")
        self.started = time.monotonic()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.rng = random.Random(54)
        draw = random.SystemRandom()
        self.net = f"127.{draw.randrange(20, 250)}.{draw.randrange(1, 250)}"
        first = draw.randrange(11_000, 28_000)
        self.ports = {
            "peer": first,
            "last": first + 15,
            "callers": first + 20,
            "ready": first + 24,
            "control": first + 22,
        }
        self.store = Store()
        self.searchers = {}
        self.entries = []
        self.runs = []

    def note(self, *words):
        """Write a line to the record.

        :param words: its words.
        """
        at = f"{time.monotonic() - self.started:8.3f}"
        print(at, *(str(word) for word in words if word != ""), file=self.record, flush=True)

    def seal(self, service, request_id):
        """Make the signature of an answer.

        :param service: the service.
        :param request_id: the request.
        :returns: the signature.
        """
        return f"{service}.{request_id}"

    def on_run(self, searcher, request_id, method, target, body):
        """Note that a searcher begins to work on a request."""
        self.runs.append((time.monotonic(), searcher.service, request_id, searcher.name))
        self.note("runs", request_id, method, target, f"{len(body)} bytes", "at", searcher.name)

    async def add_searcher(self, name, service, zone="hall-a", slots=4):
        """Start and publish a searcher.

        :returns: the searcher.
        """
        searcher = Searcher(self, name, service, zone, slots)
        await searcher.listen()
        self.searchers[name] = searcher
        self.store.put(f"servers/{name}", searcher.entry())
        return searcher

    def configure(self, version, routes, limits=None):
        """Publish a configuration.

        :param version: its version.
        :param routes: its routes, which need a name, a path prefix, and a target.
        :param limits: its limits.
        :returns: the time of the acknowledgement.
        """
        common = {
            "host": HOST,
            "route_type": "idempotent",
            "timeout_ms": 5_000,
            "target_latency_ms": 300,
            "priority": 1,
            "max_attempts": 2,
        }
        routes = [{**common, **route} for route in routes]
        names = {one["service"] for one in routes if "service" in one}
        names |= {name for one in routes for name in one.get("gather", ())}
        names |= {part["service"] for one in routes for part in one.get("traffic_split", ())}
        services = [
            {"name": name, "health_path": "/health", "max_connections": 26}
            for name in sorted(names)
        ]
        limits = {
            "max_header_bytes": 16_384,
            "max_body_bytes": 262_144,
            "header_timeout_ms": 5_000,
            "idle_timeout_ms": 60_000,
            **(limits or {}),
        }
        value = {"version": version, "routes": routes, "services": services, "limits": limits}
        acked = self.store.put("op/config", value)
        self.note("configuration", version, "acknowledged", json.dumps(limits))
        return acked

    async def start_entries(self, *zones):
        """Start entries, and wait until all are ready and know of each other.

        :param zones: a zone for each entry.
        """
        self.entries = [Entry(self, number, zone) for number, zone in enumerate(zones, 1)]
        for entry in self.entries:
            entry.start()
        for _ in range(100):
            if all([await entry.is_ready() for entry in self.entries]):
                break
            await asyncio.sleep(0.1)
        else:
            raise RuntimeError("an entry does not get ready")
        await asyncio.sleep(6.0)
        self.note("all entries are ready")

    def close(self):
        """End all processes and remove the folder."""
        for entry in self.entries:
            entry.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case, play):
    """Play a case and exit with its result.

    :param case: the folder of the case.
    :param play: a coroutine function that gets the rig and returns whether the rule held.
    """
    if not (ROOT / "target" / "deps").is_dir():
        print("the system is not built; run the build command of deploy/system.toml")
        sys.exit(NOT_RUN)

    async def playing():
        rig = Rig(case)
        try:
            await rig.store.listen()
            held = await asyncio.wait_for(play(rig), 110.0)
            rig.note("the rule held" if held else "THE RULE WAS BROKEN")
            return HELD if held else BROKEN
        except Exception as error:
            rig.note("the case could not run:", repr(error))
            print(f"the case could not run: {error!r}")
            return NOT_RUN
        finally:
            rig.close()

    sys.exit(asyncio.run(playing()))
