"""Stand-ins for the cases of the review: store, backend servers, host API.

Small models of the platform as the users' pages describe it, on loopback
addresses and the real clock, and the daemons as processes. One event loop
runs all of them, so that record.txt has one order of events.
"""
import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "egretjobd", "egretjobd")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

BOUNDS = {
    "stable_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6,
    "config_ms": 2000, "evacuate_ms": 5000, "recovery_s": 12,
    "max_hold_ms": 6000, "stop_ms": 200, "gang_timeout_ms": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
    "status_s": 120, "far_factor": 3, "checkpoint_s": 1, "restore_ms": 250,
    "notice_ms": 4500, "move_s": 1.5, "maintenance_s": 2,
    "fencing_required": False, "lease_ms": 3000, "quota_overage": 0.1,
}
VALUE_BYTES = 1048576
MEMORY_MB = 260
CLIENT_HOST = "pule25.example"
KEY = "sjnbanfqasnmgkcuyj8p"


def now():
    return time.monotonic()


class Record:
    """record.txt: what was sent, answered and run, with seconds from start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = now()

    def __call__(self, text):
        line = "%8.3f %s" % (now() - self.start, text)
        self.file.write(line + "\n")
        self.file.flush()


# HTTP ---------------------------------------------------------------------

async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        parts = urllib.parse.urlsplit(target)
        self.path = parts.path
        self.query = {k: v[0] for k, v in urllib.parse.parse_qs(
            parts.query, keep_blank_values=True).items()}
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body or b"{}")


async def serve(host, port, handle):
    """handle(request) returns (status, object), or None to answer nothing."""

    async def connection(reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                answer = await handle(Request(method, target, headers, body))
                if answer is None:
                    await asyncio.sleep(3600)
                status, value = answer
                text = b"" if value is None else json.dumps(value).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port, limit=1 << 24)


async def call(address, method, path, body=None, headers=None, timeout=3.0):
    """One call on a new connection: (status, object), status 0: no answer."""
    host, port = address.split(":")

    async def run():
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 24)
        try:
            text = b"" if body is None else json.dumps(body).encode()
            lines = ["%s %s HTTP/1.1" % (method, path)]
            for name, value in dict({"Host": host}, **(headers or {})).items():
                lines.append("%s: %s" % (name, value))
            if body is not None:
                lines.append("Content-Type: application/json")
            lines.append("Content-Length: %d" % len(text))
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + text)
            await writer.drain()
            first, _, answer = await read_message(reader)
            try:
                value = json.loads(answer) if answer else None
            except ValueError:
                value = None
            return int(first.split(" ")[1]), value
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), timeout)
    except (asyncio.TimeoutError, ConnectionError, OSError,
            asyncio.IncompleteReadError):
        return 0, None


class Proxy:
    """A link that can be cut: while it is, no byte passes either way."""

    def __init__(self, target):
        self.target = target
        self.open = asyncio.Event()
        self.open.set()
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def cut(self):
        self.open.clear()

    def heal(self):
        self.open.set()

    async def pump(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    # The end passes a cut no more than bytes do.
                    await self.open.wait()
                    break
                while not self.open.is_set():
                    # Bytes held up by a cut are lost if their sender resets
                    # the connection meanwhile.
                    await asyncio.sleep(0.05)
                    if reader.at_eof():
                        return
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def connection(self, reader, writer):
        await self.open.wait()
        if reader.at_eof():
            writer.close()
            return
        host, port = self.target.split(":")
        try:
            up_reader, up_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.pump(reader, up_writer),
                             self.pump(up_reader, writer))


# The store ----------------------------------------------------------------

class Store:
    def __init__(self):
        self.items = {}
        self.revision = 1
        self.history = []
        self.leases = {}
        self.next_lease = 100
        self.changed = asyncio.Condition()
        self.refused_values = []
        # While it is down it answers 503, and leases run out.
        self.down = False

    def item(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": value, "revision": revision,
                "created": created, "lease": lease}

    def put(self, key, value, lease=0):
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.history.append(self.item(key))

    def delete(self, key):
        if key in self.items:
            del self.items[key]
            self.history.append({"key": key, "revision": self.revision,
                                 "deleted": True})

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def write(self, key, value):
        """A write of the operator or of a backend server."""
        self.revision += 1
        self.put(key, base64.b64encode(json.dumps(value).encode()).decode())
        await self.notify()

    async def remove(self, key):
        self.revision += 1
        self.delete(key)
        await self.notify()

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            for lease in [k for k, v in self.leases.items() if v[1] <= now()]:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, v in self.items.items() if v[3] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.delete(key)
            await self.notify()

    def handler(self, translate=None):
        """@translate() gives pairs of addresses: in what is read through this
        port, the second stands in place of the first."""
        async def handle(request):
            status, answer = await self.handle(request)
            if translate is not None:
                pairs = translate()
                for field in ("items", "events"):
                    if field in answer:
                        answer[field] = [self.translated(i, pairs)
                                         for i in answer[field]]
                answer = self.translated(answer, pairs)
            return status, answer
        return handle

    def translated(self, item, pairs):
        if "value" not in item:
            return item
        text = base64.b64decode(item["value"]).decode()
        for old, new in pairs:
            text = text.replace(old, new)
        return dict(item, value=base64.b64encode(text.encode()).decode())

    async def handle(self, request):
        path = request.path
        if self.down:
            return 503, {}
        if path == "/v1/kv-key":
            key = request.query["key"]
            if key not in self.items:
                return 404, {"as_of": self.revision}
            return 200, dict(self.item(key), as_of=self.revision)
        if path == "/v1/kv-range":
            return self.range(request)
        if path == "/v1/kv-watch":
            return await self.watch(request)
        if path == "/v1/kv-txn":
            return await self.txn(request.json())
        if path == "/v1/kv-lease":
            ttl = max(1000, request.json()["ttl_ms"])
            self.next_lease += 1
            self.leases[self.next_lease] = [ttl, now() + ttl / 1000]
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        if path.startswith("/v1/kv-keep/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if lease is None:
                return 404, {}
            lease[1] = now() + lease[0] / 1000
            return 200, {"ttl_ms": lease[0]}
        if path.startswith("/v1/kv-lease-end/"):
            await self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    def range(self, request):
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items, size = [], 0
        for key in keys:
            if items and (len(items) >= 500 or size > 1000000):
                break
            items.append(self.item(key))
            size += len(items[-1]["value"])
        return 200, {"items": items, "has_more": len(items) < len(keys),
                     "as_of": self.revision}

    async def watch(self, request):
        prefix, after = request.query["prefix"], int(request.query["after"])
        end = now() + int(request.query.get("wait_ms", 0)) / 1000
        while True:
            events = []
            for event in reversed(self.history):
                if event["revision"] <= after:
                    break
                if event["key"].startswith(prefix):
                    events.append(event)
            if events or now() >= end:
                return 200, {"events": events[::-1], "as_of": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - now())
                except asyncio.TimeoutError:
                    pass

    async def txn(self, body):
        expected, puts = body.get("expected", []), body.get("puts", [])
        deletes = body.get("deletes", [])
        if len(expected) + len(puts) + len(deletes) > 32:
            return 400, {}
        keys = [p["key"] for p in puts] + deletes
        if any(k.startswith(("op/", "servers/")) for k in keys):
            return 403, {}
        for put in puts:
            size = len(base64.b64decode(put["value"]))
            if size > VALUE_BYTES:
                self.refused_values.append((put["key"], size))
                return 400, {}
        if any((self.items[e["key"]][1] if e["key"] in self.items else 0)
               != e["revision"] for e in expected):
            return 412, {"items": [
                self.item(e["key"]) if e["key"] in self.items else
                {"key": e["key"], "value": "", "revision": 0, "created": 0,
                 "lease": 0} for e in expected]}
        if any(p.get("lease", 0) and p["lease"] not in self.leases for p in puts):
            return 404, {}
        self.revision += 1
        for put in puts:
            self.put(put["key"], put["value"], put.get("lease", 0))
        for key in deletes:
            self.delete(key)
        revision = self.revision
        await self.notify()
        return 200, {"revision": revision}

    def leader(self):
        """Name of the daemon that holds the leadership, or None."""
        if "eg/duty/scheduler" not in self.items:
            return None
        return json.loads(base64.b64decode(self.items["eg/duty/scheduler"][0]))["node"]


# Backend servers -----------------------------------------------------------

class Run:
    def __init__(self, task, run, saved):
        self.task, self.run, self.saved = task, run, saved
        self.began = now()
        self.resumed_ms = int(saved or "0", 16)
        self.stopping = False


class Worker:
    """A backend server that enforces its capacity."""

    def __init__(self, platform, index, service, room, rack="r1"):
        self.platform, self.index, self.service = platform, index, service
        self.machine = "m-%04d" % index
        self.room = room
        self.rack = rack
        self.life = 0
        self.reachable = asyncio.Event()
        self.reachable.set()
        self.begin_life()

    def begin_life(self):
        self.life += 1
        self.id = "i-%04d%04d" % (self.index, self.life)
        self.born = int(time.time() * 1000)
        self.clock_start = now()
        self.running, self.ended, self.old = {}, [], {}
        self.next_end, self.token, self.until, self.seen = 1, 0, 0, 0
        self.up = True
        self.change = asyncio.Event()
        self.seq = 0

    def clock(self):
        return 1000 + int((now() - self.clock_start) * 1000)

    def entry(self):
        self.seq += 1
        return {"service": self.service, "address": self.address, "zone": "zg-a",
                "version": "v1", "slots": 8, "state": "ready",
                "cold_remaining_ms": 0, "room": self.room,
                "labels": ["a", self.rack], "clock_ms": self.clock(),
                "seq": self.seq, "born": self.born, "machine": self.machine}

    async def start(self):
        self.server = await serve("127.0.0.1", 0, self.handle)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.tasks = [asyncio.ensure_future(self.beat()),
                      asyncio.ensure_future(self.advance())]
        return self

    async def beat(self):
        while True:
            if self.up and self.reachable.is_set():
                await self.platform.store.write("servers/" + self.id, self.entry())
            await asyncio.sleep(1.5)

    def end(self, run, how, saved=""):
        del self.running[run.task]
        self.old[run.task] = max(self.old.get(run.task, 0), run.run)
        self.ended.append([self.next_end, run.task, run.run, how, saved])
        self.next_end += 1
        self.platform.run_ended(self, run, how)
        self.change.set()
        self.change = asyncio.Event()

    async def advance(self):
        while True:
            await asyncio.sleep(0.01)
            if not self.up:
                continue
            if self.running and self.clock() > self.until:
                for run in list(self.running.values()):
                    self.end(run, "lapsed", run.saved)
            for run in list(self.running.values()):
                if self.running.get(run.task) is not run or run.stopping:
                    continue
                how = self.platform.outcome(self, run)
                if how is not None:
                    self.end(run, how, run.saved)

    async def crash(self, down_s):
        """Ends all that it runs; another life of its machine starts later."""
        self.up = False
        self.platform.record("worker %s crashes with %s" % (
            self.id, sorted(self.running) or "nothing"))
        for run in list(self.running.values()):
            self.platform.run_ended(self, run, "crash")
        self.running = {}
        old = self.id
        await asyncio.sleep(down_s)
        await self.platform.store.remove("servers/" + old)
        self.begin_life()
        self.platform.record("worker %s starts on the machine of %s" % (self.id, old))
        await self.platform.store.write("servers/" + self.id, self.entry())

    def used(self):
        total = {"cpu": 0, "mem_mb": 0}
        for run in self.running.values():
            step = self.platform.step_of(run.task)
            for field in total:
                total[field] += step.get(field, 0)
        return total

    async def handle(self, request):
        if not self.up or not self.reachable.is_set():
            return None
        life = self.life
        answer = await self.answer(request)
        if life != self.life or not self.up or not self.reachable.is_set():
            return None
        return answer

    async def answer(self, request):
        body = request.json()
        if request.headers.get("x-expect-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock()}
        if body.get("fencing_token", 0) < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.token = body.get("fencing_token", 0)
        if "until_ms" in body:
            most = self.clock() + BOUNDS["max_hold_ms"]
            self.until = max(self.until, min(body["until_ms"], most))
        if request.path == "/v1/run-start":
            return self.run_start(body)
        if request.path == "/v1/run-stop":
            return self.run_stop(body)
        if request.path == "/v1/hold":
            return await self.hold(body)
        if request.path == "/v1/pace":
            return 200, {"clock_ms": self.clock()}
        return 404, {}

    def refuse(self, reason):
        return 409, {"clock_ms": self.clock(), "reason": reason}

    def run_start(self, body):
        task, number = body["task"], body["run"]
        current = self.running.get(task)
        if current is not None and current.run == number:
            return 200, {"clock_ms": self.clock()}
        if number <= self.old.get(task, 0) or (current and current.run >= number):
            return self.refuse("old")
        if self.clock() > body["until_ms"]:
            return self.refuse("late")
        step, used = self.platform.step_of(task), self.used()
        if any(used[f] + step.get(f, 0) > self.room[f] for f in used):
            return self.refuse("room")
        run = Run(task, number, body.get("saved", ""))
        self.running[task] = run
        self.platform.run_started(self, run, body)
        return 200, {"clock_ms": self.clock()}

    def run_stop(self, body):
        task, number = body["task"], body["run"]
        run = self.running.get(task)
        self.platform.record("stop of %s run %d at %s" % (task, number, self.id))
        if run is not None and run.run <= number:
            run.stopping = True

            def stopped():
                if self.running.get(task) is run:
                    self.end(run, "stopped", run.saved)
            asyncio.get_event_loop().call_later(BOUNDS["stop_ms"] / 2000, stopped)
        self.old[task] = max(self.old.get(task, 0), number)
        return 200, {"clock_ms": self.clock()}

    async def hold(self, body):
        if body.get("seen_upto", 0) > self.seen:
            self.seen = body["seen_upto"]
            self.ended = [e for e in self.ended if e[0] > self.seen]
        if body.get("wait_ms") and not self.ended:
            try:
                await asyncio.wait_for(self.change.wait(), body["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, {
            "clock_ms": self.clock(), "born": self.born,
            "running": [[r.task, r.run, r.saved, self.platform.percent(r), 0]
                        for r in self.running.values()],
            "ended": self.ended[:500]}


# The platform with its daemons ------------------------------------------------

class Daemon:
    def __init__(self, platform, name, port, store_port, hosts_port):
        self.platform, self.name, self.process = platform, name, None
        self.front = "127.0.0.1:%d" % port
        self.ready = "127.0.0.1:%d" % (port + 1)
        self.peer = "127.0.0.1:%d" % (port + 2)
        settings = {
            "node_name": name, "role": "jobs", "machine_class": "front",
            "serves": ["front"], "ip": "127.0.0.1", "zone": "zg-a",
            "internal_ports": [port + 2, port + 5], "orders": "call",
            "listen": {"front": self.front, "ready": self.ready},
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": MEMORY_MB},
            "bounds": platform.bounds,
            "platform": {"address": "127.0.0.1:%d" % store_port, "form": "kv",
                         "writes_per_s": 400, "reads_per_s": 2000,
                         "history_s": 20, "value_bytes": VALUE_BYTES,
                         "min_ttl_ms": 1000},
            "cloud": {"address": "127.0.0.1:%d" % hosts_port, "rate_per_s": 64.0,
                      "duties": [], "duty_per_s": 64.0},
        }
        self.settings = os.path.join(platform.folder, name + ".json")
        with open(self.settings, "w", encoding="utf-8") as out:
            json.dump(settings, out)

    async def start(self):
        self.log = open(os.path.join(self.platform.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            DAEMON, cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ["PATH"], "EGRETGLADE_BOOT": self.settings})

    def signal(self, number):
        self.process.send_signal(number)


class Platform:
    """Starts everything; a case overrides outcome() and percent()."""

    def __init__(self, case_file, bounds=None):
        self.record = Record(os.path.dirname(os.path.abspath(case_file)))
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = self.temporary.name
        self.store = None
        self.workers, self.daemons, self.jobs = [], [], {}
        self.starts, self.ends, self.links = [], [], {}

    # Overridden by cases.
    def outcome(self, worker, run):
        """How a run ends now, or None while it goes on."""
        return None

    def percent(self, run):
        return 50

    def run_started(self, worker, run, body):
        self.starts.append((now(), worker, run, body))
        self.record("%s starts %s run %d saved '%s'" % (
            worker.id, run.task, run.run, run.saved))

    def run_ended(self, worker, run, how):
        self.ends.append((now(), worker, run, how))
        self.record("%s ends %s run %d: %s" % (worker.id, run.task, run.run, how))

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    async def hosts(self, request):
        if request.path == "/v1/machines":
            return 200, {"next_token": None, "machines": [
                {"machine": w.machine, "pool": w.service,
                 "state": "up" if w.up else "down", "zone": "zg-a",
                 "labels": ["a", w.rack], "room": w.room, "id": w.id}
                for w in self.workers]}
        # No case needs a move or an upkeep.
        return 409, {"reason": "busy"}

    def config(self, maximum=0, attempts=3):
        return {"version": 7, "routes": [
            {"name": "r-one", "host": CLIENT_HOST, "prefix": "/puxa400/",
             "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 600,
             "priority": 0, "service": "notices", "attempts": attempts,
             "stretch": 1.6, "public": False}],
            "services": [{"name": "notices", "health_path": "/health",
                          "max_conns": 64, "protocol": "h1", "tls": False,
                          "cold_start_s": 0.0, "cold_per_s": 0.0,
                          "enforces_capacity": True, "spare": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "cugo130", "api_keys": [KEY], "priority": 1,
                         "weight": 54, "maximum": {"cpu": maximum, "mem_mb": 0,
                                                   "gpu": 0}}]}

    async def start(self, n_daemons=3, n_workers=4, room=None, config=None,
                    racks=1, links=False):
        self.store = Store()
        self.store.changed = asyncio.Condition()
        self.background = [asyncio.ensure_future(self.store.expire())]
        room = room or {"cpu": 16000, "mem_mb": 65536, "gpu": 0}
        store = await serve("127.0.0.1", 0, self.store.handler())
        self.store_port = store.sockets[0].getsockname()[1]
        hosts = await serve("127.0.0.1", 0, self.hosts)
        self.hosts_port = hosts.sockets[0].getsockname()[1]
        for i in range(n_workers):
            worker = Worker(self, i, "notices", room, "r%d" % (i % racks + 1))
            self.workers.append(await worker.start())
        await self.store.write("op/config", config or self.config())
        ports = free_ports(n_daemons)
        for i in range(n_daemons):
            link_port = self.store_port
            if links:
                link_port = await self.own_link(i, ports)
            self.daemons.append(Daemon(self, "front-%d" % (i + 1), ports[i],
                                       link_port, self.hosts_port))
        for daemon in self.daemons:
            await daemon.start()
        for _ in range(200):
            await asyncio.sleep(0.1)
            states = [await call(d.ready, "GET", "/v1/readiness") for d in self.daemons]
            if all(s[0] == 200 for s in states) and self.store.leader():
                break
        else:
            raise RuntimeError("the daemons did not get ready")
        await asyncio.sleep(2)
        self.record("ready; leader is %s" % self.store.leader())

    async def own_link(self, index, ports):
        """Links of one daemon to the store and to the others, which can be cut.

        The others are reached through the links by address translation: what
        this daemon reads of their addresses names its own link to them."""
        links = {}
        for other, port in enumerate(ports):
            if other != index:
                address = "127.0.0.1:%d" % (port + 2)
                links[address] = await Proxy(address).start()

        def translate():
            return [(a, "127.0.0.1:%d" % p.port) for a, p in links.items()]
        server = await serve("127.0.0.1", 0, self.store.handler(translate))
        store = await Proxy("127.0.0.1:%d" % server.sockets[0].getsockname()[1]).start()
        self.links[index] = dict(links, store=store)
        return store.port

    def cut_off(self, daemon):
        """Partitions a daemon from the store and from all other daemons."""
        index = self.daemons.index(daemon)
        cut = list(self.links[index].values())
        cut += [l[daemon.peer] for i, l in self.links.items() if i != index]
        for link in cut:
            link.cut()
        return cut

    def leader(self):
        name = self.store.leader()
        return next((d for d in self.daemons if d.name == name), None)

    async def stop(self):
        for daemon in self.daemons:
            if daemon.process and daemon.process.returncode is None:
                daemon.process.kill()
                await daemon.process.wait()
        if os.environ.get("KEEP_LOGS"):
            os.system("cp %s/*.log %s" % (self.folder, os.environ["KEEP_LOGS"]))
        self.temporary.cleanup()

    async def request(self, daemon, method, job, body=None, timeout=3.0):
        if method == "POST":
            self.jobs[job] = body
        headers = {"Host": CLIENT_HOST, "X-Credential": KEY,
                   "X-Deadline-Ms": int(timeout * 1000)}
        status, value = await call(daemon.front, method, "/puxa400/" + job, body,
                                   headers, timeout)
        self.record("%s %s at %s: %s %s" % (method, job, daemon.name,
                                            status or "no answer", value or ""))
        return status, value


def free_ports(n):
    """First ports of @n blocks of 6 free ports."""
    firsts, port = [], random.randrange(10000, 30000)
    while len(firsts) < n:
        port += 7
        probes = []
        try:
            for p in range(port, port + 6):
                probe = socket.socket()
                probes.append(probe)
                probe.bind(("127.0.0.1", p))
            firsts.append(port)
        except OSError:
            pass
        finally:
            for probe in probes:
                probe.close()
    return firsts


def run_case(platform, case):
    """Runs case(platform), which returns whether the rule held; exits with 0,
    1 if it was broken, 2 if the case couldn't run."""
    async def main():
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            return await asyncio.wait_for(case(platform), 112)
        finally:
            await platform.stop()
    try:
        held = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:
        platform.record("could not run: %r" % error)
        print("could not run: %r" % error)
        sys.exit(2)
    platform.record("the rule %s" % ("held" if held else "was BROKEN"))
    print("the rule %s" % ("held" if held else "was BROKEN"))
    sys.exit(0 if held else 1)
