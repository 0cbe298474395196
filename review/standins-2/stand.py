"""Stand-ins of the platform for the cases of the second review: the store, the
cloud, workers, links that can be cut, and clients, all on loopback. They
follow the protocol pages; where a page is silent they behave soundly."""
import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "egretjobd", "egretjobd")


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def free_ports(count):
    """First of @count ports in a row that are free."""
    while True:
        first = random.randrange(20000, 30000)
        socks = []
        try:
            for port in range(first, first + count):
                sock = socket.socket()
                socks.append(sock)
                sock.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
        finally:
            for sock in socks:
                sock.close()


TASKS = set()


def keep_task():
    """Keeps the current task from being dropped while it waits."""
    task = asyncio.current_task()
    TASKS.add(task)
    task.add_done_callback(TASKS.discard)


class HttpServer:
    """HTTP/1.1 with kept connections. handle(method, target, headers, body)
    returns (status, object or None), or None to give no answer."""

    def __init__(self, handle, port):
        self.handle = handle
        self.port = port
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, reuse_address=True)

    async def serve(self, reader, writer):
        keep_task()
        self.writers.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                method, target, _ = line.decode().split(" ", 2)
                headers = {}
                while True:
                    line = (await reader.readline()).decode().strip()
                    if not line:
                        break
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(
                    int(headers.get("content-length", "0")))
                result = await self.handle(method, target, headers, body)
                if result is None:
                    await asyncio.sleep(3600)
                status, answer = result
                data = b"" if answer is None else json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json"
                    f"\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def crash(self):
        """Stops listening and resets all connections, as a crash does."""
        self.server.close()
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                struct.pack("ii", 1, 0))
            writer.transport.abort()


class Store:
    """The platform's store."""

    def __init__(self, record):
        self.record = record
        self.port = free_port()
        self.revision = 7
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 77000
        self.changed = asyncio.Event()
        self.http = HttpServer(self.handle, self.port)

    async def start(self):
        await self.http.start()
        self.task = asyncio.create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [k for k, v in self.leases.items() if v[1] < now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return
        keys = [k for k, v in self.items.items() if v["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.delete(key)
            self.notify()

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append({"key": key, "revision": self.revision,
                                 "deleted": True})

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put_item(self, key, value, lease=0):
        before = self.items.get(key)
        item = {"key": key, "value": value, "revision": self.revision,
                "created": before["created"] if before else self.revision,
                "lease": lease}
        self.items[key] = item
        self.history.append(item)

    def put(self, key, document):
        """Writes as the operator or a worker does."""
        self.revision += 1
        text = document if isinstance(document, bytes) else json.dumps(
            document).encode()
        self.put_item(key, base64.b64encode(text).decode())
        self.notify()

    def remove(self, key):
        self.revision += 1
        self.delete(key)
        self.notify()

    def text(self, key):
        item = self.items.get(key)
        return None if item is None else base64.b64decode(
            item["value"]).decode()

    def leader(self):
        """Name of the process that leads, or None."""
        text = self.text("eg/duty/scheduler")
        return None if text is None else json.loads(text)["node"]

    async def handle(self, method, target, headers, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        path = url.path
        data = json.loads(body) if body else {}
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"as_of": self.revision}
            return 200, dict(item, as_of=self.revision)
        if path == "/v1/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["prefix"]) and
                          k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "has_more": len(keys) > 500, "as_of": self.revision}
        if path == "/v1/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]),
                                    int(query["wait_ms"]))
        if path == "/v1/kv-txn":
            return self.txn(data)
        if path == "/v1/kv-lease":
            self.next_lease += 1
            ttl_ms = max(1000, min(600000, int(data["ttl_ms"])))
            self.leases[self.next_lease] = [
                ttl_ms, time.monotonic() + ttl_ms / 1000]
            return 200, {"lease": self.next_lease, "ttl_ms": ttl_ms}
        last = path.rsplit("/", 1)[-1]
        if path.startswith("/v1/kv-keep/"):
            lease = self.leases.get(int(last))
            if lease is None:
                return 404, None
            lease[1] = time.monotonic() + lease[0] / 1000
            return 200, {"ttl_ms": lease[0]}
        if path.startswith("/v1/kv-lease-end/"):
            known = int(last) in self.leases
            self.end_lease(int(last))
            return (200 if known else 404), {}
        return 404, None

    async def watch(self, prefix, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            events = [e for e in self.history
                      if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def txn(self, data):
        expected = data.get("expected", [])
        rows = [self.items.get(e["key"], {"key": e["key"], "revision": 0})
                for e in expected]
        if any(r["revision"] != e["revision"]
               for r, e in zip(rows, expected)):
            return 412, {"items": rows}
        for put in data.get("puts", []):
            lease = put.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, None
        for put in data.get("puts", []):
            if put["key"].startswith(("op/", "servers/")):
                return 403, None
        self.revision += 1
        for put in data.get("puts", []):
            self.put_item(put["key"], put["value"], put.get("lease", 0))
        for key in data.get("deletes", []):
            self.delete(key)
        self.notify()
        return 200, {"revision": self.revision}


class Worker:
    """One machine with its current worker. work(task, spec) returns
    (seconds, how) for each start; how is done or failed; seconds None: it
    goes on until it is stopped."""

    def __init__(self, platform, machine, pool, cpu=16000, mem_mb=65536,
                 labels=("a", "r1-1"), stop_ms=200, max_hold_ms=6000):
        self.platform = platform
        self.record = platform.record
        self.machine = machine
        self.pool = pool
        self.room = {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}
        self.labels = list(labels)
        self.stop_ms = stop_ms
        self.max_hold_ms = max_hold_ms
        self.port = free_port()
        self.state = "up"
        self.http = None
        self.lives = 0
        self.id = None

    def clock_ms(self):
        return int((time.monotonic() - self.clock_begin) * 1000) + 100000

    async def start(self):
        self.lives += 1
        self.id = f"i-{self.machine}-{self.lives}-{random.randrange(1 << 24):06x}"
        self.born = int(time.time() * 1000)
        self.clock_begin = time.monotonic()
        self.token = 0
        self.until = 0
        self.running = {}
        self.highest = {}
        self.ended = []
        self.number = 0
        self.seq = 0
        self.change = asyncio.Event()
        self.http = HttpServer(self.handle, self.port)
        await self.http.start()
        self.up = True
        self.beat()
        self.task = asyncio.create_task(self.tick())
        self.record(f"worker {self.machine} is up as {self.id}")

    def entry(self):
        return {"service": self.pool, "address": f"127.0.0.1:{self.port}",
                "zone": "dc-a", "version": "v1", "slots": 8, "state": "ready",
                "cold_remaining_ms": 0, "room": self.room,
                "labels": self.labels, "clock_ms": self.clock_ms(),
                "machine": self.machine, "born": self.born, "seq": self.seq}

    def beat(self):
        self.seq += 1
        self.platform.store.put(f"servers/{self.id}", self.entry())

    def down(self):
        """It crashes: runs end without a word, connections are reset."""
        self.record(f"worker {self.machine} ({self.id}) crashes with "
                    f"{sorted(f'{t} run {r[0]}' for t, r in self.running.items())}")
        self.up = False
        self.task.cancel()
        self.running = {}
        self.http.crash()
        old = self.id
        asyncio.get_running_loop().call_later(
            4.5, lambda: self.platform.store.remove(f"servers/{old}"))

    async def tick(self):
        beat = time.monotonic()
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            if now - beat > 1.5:
                beat = now
                self.beat()
            if self.running and self.clock_ms() > self.until:
                for task in list(self.running):
                    self.end(task, "lapsed")
            for task, run in list(self.running.items()):
                if run[4] is not None and now >= run[4]:
                    self.end(task, "stopped")
                elif run[2] is not None and now >= run[1] + run[2]:
                    self.end(task, run[3])

    def end(self, task, how):
        run = self.running.pop(task)
        members = self.members(task, run[0])
        self.finish(task, run[0], how)
        for other in members:
            number = self.running.pop(other)[0]
            self.finish(other, number, "done" if how == "done" else "broken")

    def members(self, task, number):
        """Other members of its gang on this worker; see Gangs for those on
        other workers."""
        return []

    def finish(self, task, number, how):
        self.highest[task] = max(self.highest.get(task, 0), number)
        self.number += 1
        self.ended.append([self.number, task, number, how, ""])
        self.record(f"worker {self.machine} ends {task} run {number}: {how}")
        self.platform.on_end(self, task, number, how)
        self.change.set()
        self.change = asyncio.Event()

    def used(self):
        cpu = mem = 0
        for task in self.running:
            step = self.platform.step_of(task)
            cpu += 0 if step.get("fills") else step.get("cpu", 0)
            mem += step.get("mem_mb", 0)
        return cpu, mem

    def grant(self, until):
        if until:
            self.until = max(self.until, min(until, self.clock_ms() +
                                             self.max_hold_ms))

    async def handle(self, method, target, headers, body):
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock_ms()}
        if target == "/health":
            return 200, None
        data = json.loads(body)
        token = data.get("fencing_token", 0)
        refusal = {"clock_ms": self.clock_ms(), "born": self.born}
        if token < self.token:
            return 409, dict(refusal, reason="fence")
        self.token = token
        if target == "/v1/run-start":
            return self.on_start(data, refusal)
        if target == "/v1/run-stop":
            task, run = data["task"], data["run"]
            self.highest[task] = max(self.highest.get(task, 0), run)
            at = self.running.get(task)
            if at is not None and at[0] <= run and at[4] is None:
                at[4] = time.monotonic() + self.stop_ms / 2000
                self.record(f"worker {self.machine} is to stop {task} run {run}")
            return 200, refusal
        if target == "/v1/pace":
            return 200, refusal
        if target == "/v1/hold":
            return await self.on_hold(data)
        return 404, None

    def on_start(self, data, refusal):
        task, run = data["task"], data["run"]
        at = self.running.get(task)
        if at is not None and at[0] == run:
            return 200, refusal
        if data["until_ms"] <= self.clock_ms():
            return 409, dict(refusal, reason="late")
        self.grant(data["until_ms"])
        answer = self.platform.ticket_refusal(self, data)
        if answer is None and run <= self.highest.get(task, 0) or at is not None:
            answer = "old"
        elif answer is None:
            step = self.platform.step_of(task)
            cpu, mem = self.used()
            if (cpu + step.get("cpu", 0) > self.room["cpu"] or
                    mem + step.get("mem_mb", 0) > self.room["mem_mb"]):
                answer = "room"
        if answer:
            self.record(f"worker {self.machine} refuses {task} run {run}: "
                        f"{answer}")
            self.platform.on_refused(self, task, run, answer)
            return 409, dict(refusal, reason=answer)
        seconds, how = self.platform.work(self, task, run)
        self.running[task] = [run, time.monotonic(), seconds, how, None]
        self.record(f"worker {self.machine} starts {task} run {run}")
        self.platform.on_start(self, task, run)
        return 200, refusal

    async def on_hold(self, data):
        self.grant(data.get("until_ms", 0))
        seen = data.get("seen_upto", 0)
        self.ended = [e for e in self.ended if e[0] > seen]
        wait = min(data.get("wait_ms", 0), 2000) / 1000
        if wait and not self.ended:
            try:
                await asyncio.wait_for(self.change.wait(), wait)
            except asyncio.TimeoutError:
                pass
        running = []
        for task, run in self.running.items():
            if run[4] is not None:
                continue
            share = 100 if run[2] is None else int(
                100 * (time.monotonic() - run[1]) / run[2])
            running.append([task, run[0], "", min(share, 100), 1000])
        return 200, {"clock_ms": self.clock_ms(), "born": self.born,
                     "running": running, "ended": self.ended[:500]}


class Cloud:
    """The platform's interface for machines; fences are not checked."""

    def __init__(self, platform, move_s=1.5, maintenance_s=2.0):
        self.platform = platform
        self.record = platform.record
        self.port = free_port()
        self.move_s = move_s
        self.maintenance_s = maintenance_s
        self.orders = []
        self.done_waves = set()
        self.http = HttpServer(self.handle, self.port)

    async def start(self):
        await self.http.start()

    async def handle(self, method, target, headers, body):
        url = urlsplit(target)
        if url.path == "/v1/machines":
            return 200, {"machines": [
                {"machine": w.machine, "pool": w.pool, "state": w.state,
                 "zone": "dc-a", "labels": w.labels, "room": w.room,
                 "id": w.id} for w in self.platform.workers],
                "next_token": None}
        data = json.loads(body)
        worker = next((w for w in self.platform.workers
                       if w.machine == data.get("machine")), None)
        if worker is None:
            return 400, None
        kind = url.path.rsplit("-", 1)[-1]
        token = int(headers.get("x-fencing-token", "0"))
        holder = headers.get("x-duty-holder", "")
        self.record(f"cloud gets {kind} of {worker.machine} from {holder}, "
                    f"fence {token}")
        self.orders.append((time.monotonic(), worker.machine, holder, token,
                            kind))
        if kind == "upkeep":
            done = (worker.machine, data["wave"]) in self.done_waves
        else:
            done = worker.pool == data["pool"]
        if done:
            return 200, {}
        if worker.state != "up":
            return 409, {"reason": "busy"}
        if kind == "upkeep":
            self.done_waves.add((worker.machine, data["wave"]))
        asyncio.create_task(self.away(worker, kind, data))
        return 200, {}

    async def away(self, worker, kind, data):
        worker.state = "upkeep" if kind == "upkeep" else "moving"
        worker.down()
        if kind == "move":
            worker.pool = data["pool"]
        await asyncio.sleep(
            self.maintenance_s if kind == "upkeep" else self.move_s)
        await worker.start()
        worker.state = "up"


class Advice:
    """The service that says which workers may run a step: here all of them.
    It handles one call at a time and takes decide_ms and period_ms for each
    worker named; a ticket is valid for valid_ms."""

    def __init__(self, platform, decide_ms, period_ms, valid_ms):
        self.platform = platform
        self.record = platform.record
        self.port = free_port()
        self.decide_ms = decide_ms
        self.period_ms = period_ms
        self.valid_ms = valid_ms
        self.turn = asyncio.Lock()
        self.waiting = 0
        self.calls = 0
        self.tickets = {}
        self.http = HttpServer(self.handle, self.port)

    async def start(self):
        await self.http.start()

    async def handle(self, method, target, headers, body):
        data = json.loads(body)
        if self.waiting >= 32:
            return 429, None
        self.waiting += 1
        try:
            async with self.turn:
                await asyncio.sleep((self.decide_ms + self.period_ms *
                                     len(data["workers"])) / 1000)
        finally:
            self.waiting -= 1
        self.calls += 1
        self.record(f"advice on {data['step']} for {len(data['workers'])} "
                    "workers")
        good = []
        for worker in data["workers"]:
            ticket = f"{random.randrange(1 << 32):08x}"
            self.tickets[data["step"], worker, ticket] = (
                time.monotonic() + self.valid_ms / 1000)
            good.append([worker, ticket])
        return 200, {"good": good, "valid_ms": self.valid_ms}

    def refusal(self, worker, data):
        step = data["task"].rsplit(".", 1)[0]
        until = self.tickets.get((step, worker.id, data.get("ticket")), 0)
        return None if time.monotonic() < until else "ticket"


class Link:
    """A link to one address. While it is cut, what either side sends waits,
    and new connections get no answer. What waits is lost if its sender resets
    the connection; after a plain close it arrives once the cut is over, as
    with TCP."""

    def __init__(self, to_port):
        self.to_port = to_port
        self.port = free_port()
        self.open = asyncio.Event()
        self.open.set()
        self.held = 0

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port)

    def cut(self):
        self.open.clear()

    def heal(self):
        self.open.set()

    async def serve(self, reader, writer):
        keep_task()
        # A SYN that meets a cut is lost: such a connection carries nothing.
        if not self.open.is_set():
            await self.dead(reader, writer)
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(
                "127.0.0.1", self.to_port)
        except OSError:
            writer.transport.abort()
            return
        try:
            await asyncio.gather(self.pump(reader, up_writer),
                                 self.pump(up_reader, writer))
        except asyncio.CancelledError:
            pass

    async def dead(self, reader, writer):
        try:
            while await reader.read(65536):
                pass
        except (ConnectionError, asyncio.CancelledError):
            pass
        writer.close()

    async def pump(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                if not self.open.is_set():
                    self.held += len(data)
                await self.open.wait()
                # A reset by the sender discards what has waited.
                error = reader.exception()
                if error is not None:
                    raise error
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except (ConnectionError, OSError):
            writer.transport.abort()


class Daemon:
    """One job daemon, started with the command of the deploy file."""

    def __init__(self, platform, name, store_port, cloud_port, bounds,
                 advice_port=None):
        self.platform = platform
        self.name = name
        first = free_ports(8)
        self.front = first
        settings = {
            "node_name": name, "role": "jobs", "machine_class": "front",
            "serves": ["front"], "ip": "127.0.0.1", "zone": "dc-a",
            "region": "region-a", "zones": {"dc-a": "region-a"},
            "listen": {"front": f"127.0.0.1:{first}",
                       "ready": f"127.0.0.1:{first + 1}"},
            "internal_ports": [first + 2, first + 7], "seeds": [],
            "bootstrap": True, "orders": "call", "heartbeat_ms": 1500,
            "discovery": "platform", "entry": "vip",
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260,
                       "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": bounds,
            "platform": {"address": f"127.0.0.1:{store_port}", "form": "kv",
                         "writes_per_s": 400, "reads_per_s": 2000,
                         "history_s": 20, "value_bytes": 1048576,
                         "min_ttl_ms": 1000},
            "cloud": {"address": f"127.0.0.1:{cloud_port}",
                      "rate_per_s": 64.0, "duties": [], "duty_per_s": 64.0},
        }
        if advice_port is not None:
            settings["advice"] = f"127.0.0.1:{advice_port}"
        self.file = os.path.join(platform.folder, name + ".json")
        with open(self.file, "w", encoding="utf-8") as out:
            json.dump(settings, out)
        self.process = None

    def start(self):
        log = open(os.path.join(self.platform.folder, self.name + ".log"),
                   "ab")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        env["EGRETGLADE_BOOT"] = self.file
        self.process = subprocess.Popen(
            [DAEMON], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log,
            stderr=log)
        log.close()
        self.platform.record(f"daemon {self.name} is started")

    def signal(self, number):
        self.platform.record(f"daemon {self.name} gets "
                             f"{signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stable_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
    "config_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
    "quota_overage": 0.1, "evacuate_ms": 5000, "recovery_s": 12,
    "max_hold_ms": 6000, "stop_ms": 200, "gang_timeout_ms": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
    "status_s": 120, "far_factor": 3, "checkpoint_s": 1, "restore_ms": 250,
    "notice_ms": 4500, "move_s": 1.5, "maintenance_s": 2,
    "fencing_required": False, "lease_ms": 3000, "thaw_slack_ms": 300,
    "pace_ms": 100, "harm_ms": 4000,
}


class Platform:
    """The whole stand-in: store, cloud, workers, daemons, clients."""

    def __init__(self, case_folder):
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="egret-review-")
        self.workers = []
        self.daemons = []
        self.jobs = {}
        self.times = {}
        self.store = Store(self.record)
        self.cloud = Cloud(self)

    async def start(self, config):
        await self.store.start()
        await self.cloud.start()
        self.store.put("op/config", config)

    async def add_worker(self, *args, **kwargs):
        worker = Worker(self, *args, **kwargs)
        self.workers.append(worker)
        await worker.start()
        return worker

    def add_daemon(self, name, store_port=None, cloud_port=None,
                   advice_port=None):
        daemon = Daemon(self, name, store_port or self.store.port,
                        cloud_port or self.cloud.port, BOUNDS, advice_port)
        self.daemons.append(daemon)
        return daemon

    # What a case may replace.
    def work(self, worker, task, run):
        return self.times.get(task.split(".")[0], (0.5, "done"))

    def on_start(self, worker, task, run):
        pass

    def on_end(self, worker, task, run, how):
        pass

    def on_refused(self, worker, task, run, why):
        pass

    def ticket_refusal(self, worker, data):
        return None

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    async def call(self, daemon, method, path, body=None, timeout=3.0,
                   key="key-one"):
        """One call of a client; 0: no answer."""
        headers = f"X-Credential: {key}\r\n"
        data = b"" if body is None else json.dumps(body).encode()

        async def go():
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", daemon.front)
            try:
                writer.write(
                    f"{method} {path} HTTP/1.1\r\nHost: jobs.example\r\n"
                    f"{headers}Content-Type: application/json\r\n"
                    f"X-Deadline-Ms: {int(timeout * 1000)}\r\n"
                    f"Content-Length: {len(data)}\r\nConnection: close"
                    "\r\n\r\n".encode() + data)
                text = await reader.read()
            finally:
                writer.close()
            head, _, rest = text.partition(b"\r\n\r\n")
            return int(head.split(b" ")[1]), rest
        try:
            status, rest = await asyncio.wait_for(go(), timeout)
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            status, rest = 0, b""
        answer = None
        try:
            answer = json.loads(rest) if rest else None
        except ValueError:
            pass
        self.record(f"client {method} {path} at {daemon.name}: {status} "
                    f"{'' if answer is None else json.dumps(answer)}")
        return status, answer

    async def submit(self, daemon, queue, job_id, steps, key="key-one"):
        """Submits until it is accepted; retries go to any daemon."""
        body = {"spec": "work " + job_id, "steps": steps}
        self.jobs[job_id] = body
        for attempt in range(40):
            status, _ = await self.call(daemon, "POST",
                                        f"/{queue}/{job_id}", body, key=key)
            if status // 100 == 2:
                return True
            await asyncio.sleep(0.25)
            alive = [d for d in self.daemons if d.process.poll() is None]
            daemon = alive[attempt % len(alive)]
        return False

    async def ready(self):
        """Waits until each daemon is ready and one leads."""
        for _ in range(200):
            if self.store.leader() and await self.all_ready():
                await asyncio.sleep(0.5)
                return True
            await asyncio.sleep(0.1)
        return False

    async def all_ready(self):
        for daemon in self.daemons:
            try:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", daemon.front + 1)
                writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: a\r\n"
                             b"Connection: close\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
            except (OSError, asyncio.TimeoutError):
                return False
            if b" 200 " not in line:
                return False
        return True

    def lead(self):
        name = self.store.leader()
        return next((d for d in self.daemons if d.name == name), None)

    def end(self):
        for daemon in self.daemons:
            daemon.end()
        for name in os.listdir(self.folder):
            if os.environ.get("KEEP_LOGS"):
                os.rename(os.path.join(self.folder, name),
                          os.path.join(os.environ["KEEP_LOGS"], name))
            else:
                os.unlink(os.path.join(self.folder, name))
        os.rmdir(self.folder)


def config(services, routes, version=1, tenants=None):
    return {
        "version": version,
        "routes": [{"name": name, "host": "jobs.example",
                    "prefix": f"/{name}/", "service": service,
                    "kind": "unsafe", "timeout_ms": 3000,
                    "target_latency_ms": 600, "priority": 0, "attempts": 4,
                    "stretch": 1.6, "public": False}
                   for name, service in routes],
        "services": [{"name": name, "health_path": "/health",
                      "enforces_capacity": True, "spare": False}
                     for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": tenants or [
            {"name": "one", "api_keys": ["key-one"], "weight": 40,
             "maximum": {"cpu": 0, "mem_mb": 0, "gpu": 0}}],
    }


def run(case_folder, case, limit_s=110):
    """Runs a case: 0 the rule held, 1 it was broken, 2 it couldn't run."""
    async def go():
        platform = Platform(case_folder)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(
                number, task.cancel)
        try:
            code = await asyncio.wait_for(
                case(platform, os.environ.get("TROUBLE", "1") != "0"),
                limit_s)
        except (Exception, asyncio.CancelledError) as error:
            platform.record(f"the case couldn't run: {error!r}")
            code = 2
        finally:
            platform.end()
        platform.record({0: "the rule held", 1: "the rule was broken",
                         2: "the case couldn't run"}[code])
        return code
    if not os.path.exists(DAEMON):
        print("target/egretjobd/egretjobd is missing", file=sys.stderr)
        sys.exit(2)
    code = asyncio.run(go())
    sys.stdout.flush()
    os._exit(code)
