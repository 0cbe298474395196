"""Stand-in of the prepared platform for the cases of REPORT-3.md.

One process holds the platform's store, the host API and the workers, each on
an address of its own, and records all that it is told. It follows the pages
of the users' platform; where these are silent, it behaves like a sound server.
"""

import asyncio
import base64
import json
import os
import socket
import subprocess
import time
import urllib.parse

# An address of its own: the ports of connections that others make are taken
# from those of 127.0.0.1.
LOOPBACK = f"127.{10 + os.getpid() % 200}.{os.getpid() // 200 % 250}.1"


def now_ms():
    return int(time.monotonic() * 1000)


def unix_ms():
    return int(time.time() * 1000)


def free_port(host=LOOPBACK):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Record:
    """What was sent, answered and run, one line an event."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin_ms = now_ms()

    def add(self, event, **fields):
        at = now_ms() - self.begin_ms
        self.file.write(json.dumps({"at_ms": at, "event": event, **fields}) +
                        "\n")
        self.file.flush()

    def close(self):
        self.file.close()


async def read_message(reader):
    """First line, headers and body of a message; None at its end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        row = (await reader.readline()).decode("latin-1").strip()
        if not row:
            break
        name, _, value = row.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", 0))
    body = await reader.readexactly(size) if size else b""
    return line.decode("latin-1").strip(), headers, body


class HttpServer:
    """Calls handle(method, path, query, headers, body) for each request; it
    returns the status and an object, or None to leave the request open."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.port = 0
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, port)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{LOOPBACK}:{self.port}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                first, headers, body = message
                method, target, _ = first.split(" ")
                url = urllib.parse.urlsplit(target)
                query = {k: v[0] for k, v in urllib.parse.parse_qs(
                    url.query, keep_blank_values=True).items()}
                answer = await self.handle(method, url.path, query, headers,
                                           body)
                if answer is None:
                    await asyncio.sleep(3600)
                    break
                status, value = answer
                text = b"" if value is None else json.dumps(value).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: "
                             f"application/json\r\nContent-Length: {len(text)}"
                             "\r\n\r\n".encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset(self):
        """Resets all connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    def stop(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset()


async def request(address, method, path, body=None, headers=None,
                  timeout_s=3.0):
    """Status and object of the answer; (0, None) if there was none."""

    async def call():
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            text = b"" if body is None else (
                body if isinstance(body, bytes) else json.dumps(body).encode())
            rows = {"Host": "x", "Content-Length": str(len(text)),
                    "Connection": "close", **(headers or {})}
            head = "".join(f"{k}: {v}\r\n" for k, v in rows.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() +
                         text)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return 0, None
            first, answer_headers, raw = message
            if "content-length" not in answer_headers:
                raw = await reader.read()
            try:
                value = json.loads(raw) if raw else None
            except ValueError:
                value = None
            return int(first.split(" ")[1]), value
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(call(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            IndexError, ValueError):
        return 0, None


class Store:
    """The platform's store: keys, transactions, leases and watches."""

    def __init__(self):
        self.http = HttpServer(self.handle)
        self.items = {}
        self.history = []
        self.revision = 10
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        # What is done to a call before it is served: may return an answer,
        # or "silent" to leave it open.
        self.fault = None

    async def start(self):
        await self.http.start()
        asyncio.get_running_loop().create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            for lease in [k for k, v in self.leases.items()
                          if v["end_ms"] <= now_ms()]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        gone = [k for k, v in self.items.items() if v["lease"] == lease]
        if gone:
            self.revision += 1
            for key in gone:
                self.drop(key)
            self.notify()

    def drop(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append({"key": key, "revision": self.revision,
                                 "deleted": True})

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, key, text, lease=0):
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key,
                "value": base64.b64encode(text).decode(),
                "revision": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self.history.append(item)

    def put(self, key, value):
        """A write of the operator or of a worker."""
        self.revision += 1
        self.write(key, json.dumps(value).encode())
        self.notify()
        return self.revision

    def delete(self, key):
        self.revision += 1
        self.drop(key)
        self.notify()

    def get(self, key):
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    async def handle(self, method, path, query, headers, body):
        if self.fault is not None:
            answer = self.fault(method, path, query, body)
            if answer == "silent":
                return None
            if answer is not None:
                return answer
        value = json.loads(body) if body else {}
        await asyncio.sleep(0.002)
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"as_of": self.revision}
            return 200, {**item, "as_of": self.revision}
        if path == "/v1/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["prefix"]) and
                          k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "has_more": len(keys) > 500, "as_of": self.revision}
        if path == "/v1/kv-watch":
            return await self.watch(query)
        if path == "/v1/kv-txn":
            return self.commit(value)
        if path == "/v1/kv-lease":
            lease = self.next_lease
            self.next_lease += 1
            self.leases[lease] = {"ttl_ms": value["ttl_ms"],
                                  "end_ms": now_ms() + value["ttl_ms"]}
            return 200, {"lease": lease, "ttl_ms": value["ttl_ms"]}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/v1/kv-keep/"):
            self.leases[lease]["end_ms"] = (now_ms() +
                                            self.leases[lease]["ttl_ms"])
            return 200, {"ttl_ms": self.leases[lease]["ttl_ms"]}
        self.end_lease(lease)
        return 200, {}

    async def watch(self, query):
        end_ms = now_ms() + int(query.get("wait_ms", 0))
        after = int(query["after"])
        while True:
            events = []
            for event in reversed(self.history):
                if event["revision"] <= after:
                    break
                if event["key"].startswith(query["prefix"]):
                    events.append(event)
            if events or now_ms() >= end_ms:
                return 200, {"events": events[::-1], "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       (end_ms - now_ms()) / 1000)
            except asyncio.TimeoutError:
                pass

    def commit(self, value):
        expected = value.get("expected", [])
        if any(self.items.get(row["key"], {}).get("revision", 0) !=
               row.get("revision", 0) for row in expected):
            return 412, {"items": [
                self.items.get(row["key"], {"key": row["key"], "revision": 0})
                for row in expected]}
        puts = value.get("puts", [])
        if any(row.get("lease", 0) not in self.leases
               for row in puts if row.get("lease", 0)):
            return 404, {}
        self.revision += 1
        for row in puts:
            self.write(row["key"], base64.b64decode(row.get("value", "")),
                       row.get("lease", 0))
        for key in value.get("deletes", []):
            self.drop(key)
        self.notify()
        return 200, {"revision": self.revision}


class Tasks:
    """What the tasks of the submissions need and how they behave."""

    def __init__(self, record):
        self.record = record
        self.jobs = {}
        # (task, run) of each start, with the worker and the times.
        self.starts = []
        self.ends = []
        self.gangs = {}
        # Jobs of queues with advice, checkpoints by task or gang, and starts
        # with a checkpoint that isn't theirs.
        self.advised = set()
        self.saved = {}
        self.foreign = []

    def add(self, job_id, body, behave=None):
        """behave(task, run) -> (duration_ms, how) or None for the estimate."""
        self.jobs[job_id] = (body, behave)

    def step_of(self, task):
        job_id, _, step, _ = task.split(".")
        body, _ = self.jobs[job_id]
        return body["steps"][int(step)]

    def plan(self, task, run):
        job_id = task.split(".")[0]
        _, behave = self.jobs[job_id]
        planned = behave(task, run) if behave is not None else None
        return planned or (self.step_of(task).get("estimate_ms", 200), "done")


class Worker:
    """A worker: runs tasks under a lease, guards its room if told so."""

    STARTUP_MS = 300

    def __init__(self, platform, worker_id, machine, service, zone="z-a",
                 cpu=16000, mem_mb=65536, gpu=0, labels=("a", "r1"),
                 guards=True):
        self.platform = platform
        self.id = worker_id
        self.machine = machine
        self.service = service
        self.zone = zone
        self.room = {"cpu": cpu, "mem_mb": mem_mb, "gpu": gpu}
        self.labels = list(labels)
        self.guards = guards
        self.state = "ready"
        self.seq = 0
        self.up = False
        self.http = None
        # A cut: requests are read and not answered, nothing is carried out.
        self.cut = False
        # What becomes of an order: fault(path, body) -> None or "drop", or
        # ("late", seconds).
        self.fault = None

    def say(self, event, **fields):
        self.platform.record.add(event, worker=self.id, **fields)

    async def start(self):
        self.born = unix_ms()
        self.begin_ms = now_ms()
        self.runs = {}
        self.ended = []
        self.next_end = 1
        self.tombs = {}
        self.token = 0
        self.until_ms = 0
        # When its lease was last seen to be over.
        self.lapsed_ms = 0
        self.done = asyncio.Event()
        self.state = "ready"
        self.up = True
        self.http = HttpServer(self.handle)
        await self.http.start()
        self.say("worker_up", born=self.born, address=self.http.address)
        self.heartbeat()
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.beat()),
                      loop.create_task(self.work())]

    def clock(self):
        return now_ms() - self.begin_ms + 1000

    def heartbeat(self):
        self.seq += 1
        if self.platform.store.fault is None or not self.platform.beats_fail:
            self.platform.store.put(f"servers/{self.id}", {
                "service": self.service, "address": self.http.address,
                "zone": self.zone, "version": "v1", "slots": 8,
                "state": self.state, "room": self.room,
                "labels": self.labels, "clock_ms": self.clock(),
                "seq": self.seq, "machine": self.machine, "born": self.born})

    async def beat(self):
        while self.up:
            await asyncio.sleep(1.5)
            if self.up and not self.cut:
                self.heartbeat()

    def drain(self):
        self.state = "draining"
        self.say("worker_draining")
        self.heartbeat()

    def crash(self, forget=True):
        """Ends at once; its entry goes after three heartbeats of silence."""
        self.up = False
        self.say("worker_crashed", runs=[f"{t}#{r['run']}"
                                         for t, r in self.runs.items()])
        for task in self.tasks:
            task.cancel()
        for task, run in list(self.runs.items()):
            self.platform.tasks.ends.append(
                {"task": task, "run": run["run"], "worker": self.id,
                 "how": "crashed", "at_ms": now_ms()})
            self.break_gang(task, run)
        self.runs = {}
        self.http.stop()
        if forget:
            key, seq = f"servers/{self.id}", self.seq

            def remove():
                if not self.up and self.seq == seq:
                    self.platform.store.delete(key)
            asyncio.get_running_loop().call_later(4.5, remove)

    async def work(self):
        while self.up:
            await asyncio.sleep(0.01)
            self.advance()

    def used(self):
        total = {"cpu": 0, "mem_mb": 0, "gpu": 0}
        for task in self.runs:
            step = self.platform.tasks.step_of(task)
            for name in total:
                if not (name == "cpu" and step.get("fills")):
                    total[name] += step.get(name, 0)
        return total

    def end(self, task, how):
        run = self.runs.pop(task, None)
        if run is None:
            return
        self.tombs[task] = max(self.tombs.get(task, 0), run["run"])
        if how == "stopped":
            self.save(task, run)
        self.ended.append([self.next_end, task, run["run"], how,
                           run["saved"]])
        self.next_end += 1
        self.platform.tasks.ends.append(
            {"task": task, "run": run["run"], "worker": self.id, "how": how,
             "at_ms": now_ms(), "number": self.next_end - 1,
             "born": self.born, "noted": False})
        self.say("ended", task=task, run=run["run"], how=how)
        self.done.set()
        self.done = asyncio.Event()
        if how != "done":
            self.break_gang(task, run)

    def gang_key(self, task, run):
        return task.rsplit(".", 1)[0], run["run"]

    def break_gang(self, task, run):
        if not self.platform.tasks.step_of(task).get("gang"):
            return
        key = self.gang_key(task, run)
        for other_worker, other in self.platform.tasks.gangs.pop(key, []):
            if other != task:
                other_worker.end(other, "broken")

    def advance(self):
        if self.clock() > self.until_ms:
            self.lapsed_ms = now_ms()
        if self.runs and self.clock() > self.until_ms:
            for task in list(self.runs):
                self.end(task, "lapsed")
        for task, run in list(self.runs.items()):
            if task not in self.runs:
                continue
            step = self.platform.tasks.step_of(task)
            if run["stop_ms"] and now_ms() >= run["stop_ms"]:
                self.end(task, "stopped")
                continue
            if step.get("gang"):
                members = self.platform.tasks.gangs.get(
                    self.gang_key(task, run), [])
                if len(members) < step["count"]:
                    if now_ms() - run["at_ms"] > self.platform.gang_ms:
                        self.end(task, "alone")
                    continue
                run["work_from"] = max(
                    w.runs[t]["at_ms"] for w, t in members if t in w.runs)
            age = now_ms() - run["work_from"]
            if step.get("long_running"):
                run["percent"] = min(100, age * 100 // self.STARTUP_MS)
                if run["how"] != "done" and age >= run["duration_ms"]:
                    self.end(task, run["how"])
                continue
            run["percent"] = min(99, age * 100 // max(run["duration_ms"], 1))
            if age - run.get("saved_age", 0) >= 200:
                run["saved_age"] = age
                self.save(task, run)
            if age >= run["duration_ms"]:
                if step.get("gang") and run["how"] == "done":
                    for w, t in list(self.platform.tasks.gangs.get(
                            self.gang_key(task, run), [])):
                        w.end(t, "done")
                else:
                    self.end(task, run["how"])

    async def handle(self, method, path, query, headers, body):
        if path == "/health":
            return 200, None
        value = json.loads(body) if body else {}
        if self.cut:
            return None
        fault = self.fault(path, value) if self.fault is not None else None
        if fault == "drop":
            self.say("order_dropped", path=path, body=value)
            return None
        if isinstance(fault, tuple) and fault[0] == "late":
            async def later():
                await asyncio.sleep(fault[1])
                if self.up:
                    self.say("order_late", path=path, body=value)
                    await self.serve(path, headers, value)
            asyncio.get_running_loop().create_task(later())
            return None
        if isinstance(fault, tuple) and fault[0] == "status":
            return fault[1], {"clock_ms": self.clock()}
        return await self.serve(path, headers, value)

    async def serve(self, path, headers, value):
        expected = headers.get("x-expect-instance")
        if expected is not None and expected != self.id:
            return 421, {"clock_ms": self.clock(), "born": self.born}
        token = value.get("fencing_token", 0)
        if token < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence",
                         "born": self.born}
        self.token = token
        if path == "/v1/run-start":
            return self.start_run(value)
        if path == "/v1/run-stop":
            return self.stop_run(value)
        if path == "/v1/pace":
            return 200, {"clock_ms": self.clock()}
        if path == "/v1/hold":
            return await self.hold(value)
        return 404, None

    def lease(self, value):
        self.advance()
        until = value.get("until_ms", 0)
        limit = self.clock() + self.platform.max_hold_ms
        self.until_ms = max(self.until_ms, min(until, limit))

    def refuse(self, reason):
        return 409, {"clock_ms": self.clock(), "reason": reason,
                     "born": self.born}

    def start_run(self, value):
        task, number = value["task"], value["run"]
        if task.split(".")[0] not in self.platform.tasks.jobs:
            self.say("start_unasked", task=task, run=number)
            return 400, {"clock_ms": self.clock()}
        if task in self.runs and self.runs[task]["run"] == number:
            self.lease(value)
            return 200, {"clock_ms": self.clock(), "born": self.born}
        if number <= self.tombs.get(task, 0) or task in self.runs:
            self.lease(value)
            return self.refuse("old")
        if value.get("until_ms", 0) <= self.clock():
            return self.refuse("late")
        self.lease(value)
        step = self.platform.tasks.step_of(task)
        used = self.used()
        over = any(used[k] + (0 if k == "cpu" and step.get("fills")
                              else step.get(k, 0)) > self.room[k]
                   for k in used)
        if over and self.guards:
            return self.refuse("room")
        if (job_id := task.split(".")[0]) in self.platform.tasks.advised and (
                not self.platform.ticket_valid(task, self,
                                               value.get("ticket"))):
            return self.refuse("ticket")
        saved = value.get("saved", "")
        if saved and saved not in self.platform.tasks.saved.get(
                self.saved_key(task), ()):
            self.say("start_foreign_saved", task=task, run=number, saved=saved,
                     job=job_id)
            self.platform.tasks.foreign.append(task)
        duration_ms, how = self.platform.tasks.plan(task, number)
        run = {"run": number, "at_ms": now_ms(), "work_from": now_ms(),
               "percent": 0, "duration_ms": duration_ms, "how": how,
               "stop_ms": 0, "saved": ""}
        self.runs[task] = run
        if step.get("gang"):
            self.platform.tasks.gangs.setdefault(
                self.gang_key(task, run), []).append((self, task))
        self.platform.tasks.starts.append(
            {"task": task, "run": number, "worker": self.id,
             "at_ms": now_ms(), "over": over, "w": self,
             "born": self.born})
        self.say("started", task=task, run=number,
                 token=value["fencing_token"], spec=value.get("spec"))
        return 200, {"clock_ms": self.clock(), "born": self.born}

    def saved_key(self, task):
        gang = self.platform.tasks.step_of(task).get("gang")
        return task.rsplit(".", 1)[0] if gang else task

    def save(self, task, run):
        """A checkpoint, where the step has them."""
        if not self.platform.tasks.step_of(task).get("checkpointing"):
            return
        run["saved"] = f"{task}-{run['run']}-{run['percent']}"
        self.platform.tasks.saved.setdefault(
            self.saved_key(task), set()).add(run["saved"])

    def stop_run(self, value):
        task, number = value["task"], value["run"]
        self.say("stop", task=task, run=number)
        run = self.runs.get(task)
        if run is not None and run["run"] == number:
            run["stop_ms"] = run["stop_ms"] or now_ms() + 50
        else:
            self.tombs[task] = max(self.tombs.get(task, 0), number)
        return 200, {"clock_ms": self.clock(), "born": self.born}

    async def hold(self, value):
        self.lease(value)
        seen = value.get("seen_upto", 0)
        if seen:
            kept = [row for row in self.ended if row[0] > seen]
            if len(kept) < len(self.ended):
                self.say("seen", upto=seen)
                for end in self.platform.tasks.ends:
                    # An end isn't taken note of if the lease has lapsed since.
                    if (end["worker"] == self.id and
                            end.get("born") == self.born and
                            end["number"] <= seen):
                        end["noted"] = (end["noted"] or
                                        end["at_ms"] > self.lapsed_ms)
            self.ended = kept
        self.advance()
        end_ms = now_ms() + min(value.get("wait_ms", 0), 2000)
        while not self.ended and now_ms() < end_ms and self.up:
            try:
                await asyncio.wait_for(self.done.wait(),
                                       (end_ms - now_ms()) / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[t, r["run"], r["saved"], r["percent"], 0]
                   for t, r in self.runs.items() if not r["stop_ms"]]
        return 200, {"clock_ms": self.clock(), "running": running,
                     "ended": self.ended[:500], "born": self.born}


class Platform:
    """Store, host API, workers and daemons of one deployment."""

    def __init__(self, folder, record, binary):
        self.folder = folder
        self.record = record
        self.binary = binary
        self.store = Store()
        self.tasks = Tasks(record)
        self.cloud = HttpServer(self.on_cloud)
        self.workers = {}
        self.machines = {}
        self.daemons = {}
        self.beats_fail = False
        self.max_hold_ms = 10000
        self.gang_ms = 3000
        self.maintenance_s = 2.0
        self.move_s = 1.5
        self.orders = []
        self.waves = {}
        self.cloud_fault = None
        self.advice = HttpServer(self.on_advice)
        self.with_advice = False
        self.bounds = {
            "stop_ms": 900, "move_s": 1.5, "maintenance_s": 2, "grace_s": 6,
            "max_hold_ms": 10000, "config_ms": 2000, "lease_ms": 3000,
            "cancel_ms": 3000, "status_s": 120}

    async def start(self):
        await self.store.start()
        await self.cloud.start()
        await self.advice.start()

    async def on_advice(self, method, path, query, headers, body):
        value = json.loads(body)
        if "workers" not in value:
            return 400, None
        await asyncio.sleep(0.05 + 0.01 * len(value["workers"]))
        return 200, {"good": [
            [w, self.ticket(value["step"], w)] for w in value["workers"]
            if self.advised(value["step"], w)], "valid_ms": 3000}

    def advised(self, step, worker_id):
        """Whether the policy lets the worker run the step."""
        return True

    def ticket(self, step, worker_id):
        worker = self.workers.get(worker_id)
        born = 0 if worker is None else worker.born
        return f"{step}/{worker_id}/{born}/{now_ms() + 3000}"

    def ticket_valid(self, task, worker, ticket):
        parts = (ticket or "").split("/")
        return (len(parts) == 4 and parts[0] == task.rsplit(".", 1)[0] and
                parts[1] == worker.id and parts[2] == str(worker.born) and
                int(parts[3]) >= now_ms())

    async def on_cloud(self, method, path, query, headers, body):
        if self.cloud_fault is not None:
            answer = self.cloud_fault(method, path, body)
            if answer == "silent":
                return None
            if answer is not None:
                return answer
        if path == "/v1/machines":
            rows = []
            for name, machine in self.machines.items():
                worker = machine["worker"]
                row = {"machine": name, "pool": machine["pool"],
                       "state": machine["state"], "zone": worker.zone,
                       "labels": worker.labels, "room": worker.room}
                if machine["state"] == "up":
                    row["id"] = worker.id
                rows.append(row)
            return 200, {"machines": rows, "next_token": None}
        value = json.loads(body)
        order = {"path": path, "at_ms": now_ms(), **value,
                 "holder": headers.get("x-duty-holder"),
                 "fence": headers.get("x-fencing-token")}
        self.orders.append(order)
        self.record.add("order", **{k: v for k, v in order.items()
                                    if k != "at_ms"})
        machine = self.machines.get(value["machine"])
        if machine is None:
            return 400, {}
        if path == "/v1/machine-upkeep":
            kept = machine.setdefault("waves", set())
            if value["wave"] in kept:
                return 200, {}
            if machine["state"] != "up":
                return 409, {"reason": "busy"}
            kept.add(value["wave"])
            self.bring_back(value["machine"], machine, "upkeep",
                            machine["pool"], self.maintenance_s)
            return 200, {}
        if machine["pool"] == value["pool"]:
            return 200, {}
        if machine["state"] != "up":
            return 409, {"reason": "busy"}
        self.bring_back(value["machine"], machine, "moving", value["pool"],
                        self.move_s)
        return 200, {}

    def bring_back(self, name, machine, state, pool, after_s):
        old = machine["worker"]
        old.crash()
        machine["state"] = state
        machine["pool"] = pool

        async def later():
            await asyncio.sleep(after_s)
            worker = Worker(self, f"{old.id}x", name, pool, old.zone,
                            old.room["cpu"], old.room["mem_mb"],
                            old.room["gpu"], old.labels, old.guards)
            self.workers[worker.id] = worker
            machine["worker"] = worker
            await worker.start()
            machine["state"] = "up"
        asyncio.get_running_loop().create_task(later())

    async def add_worker(self, worker_id, service, **options):
        machine = f"m-{worker_id}"
        worker = Worker(self, worker_id, machine, service, **options)
        self.workers[worker_id] = worker
        self.machines[machine] = {"pool": service, "state": "up",
                                  "worker": worker}
        await worker.start()
        return worker

    def configure(self, version, routes, services, tenants):
        """routes: (name, service, options); services: (name, options);
        tenants: (name, key, maximum)."""
        self.store.put("op/config", {
            "version": version,
            "routes": [{"name": name, "host": "x", "prefix": f"/{name}/",
                        "kind": "unsafe", "timeout_ms": 3000,
                        "target_latency_ms": 600, "priority": 0,
                        "service": service, "attempts": 3, "stretch": 2.0,
                        "public": False, **options}
                       for name, service, options in routes],
            "services": [{"name": name, "health_path": "/health",
                          "max_conns": 64, "enforces_capacity": True,
                          "spare": False, **options}
                         for name, options in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": name, "api_keys": [key], "weight": 1,
                         "maximum": maximum}
                        for name, key, maximum in tenants]})

    def start_daemon(self, name, zone="z-a", advice=False, store=None):
        ports = self.daemons.get(name, {}).get("ports")
        if ports is None:
            first = free_port()
            while True:
                try:
                    with socket.socket() as a, socket.socket() as b:
                        a.bind((LOOPBACK, first))
                        b.bind((LOOPBACK, first + 1))
                    break
                except (OSError, OverflowError):
                    first = free_port()
            ports = {"peer": first, "front": free_port(),
                     "ready": free_port()}
        settings = {
            "scheduling": {"account_shares": True, "queue_priorities": True,
                           "reservations": True},
            "node_name": name, "zone": zone, "ip": LOOPBACK,
            "internal_ports": [ports["peer"], ports["peer"] + 15],
            "listen": {"front": f"{LOOPBACK}:{ports['front']}",
                       "ready": f"{LOOPBACK}:{ports['ready']}"},
            "orders": "call",
            "limits": {"cpu_share": 0.5, "cores": 1, "memory_mb": 260},
            "bounds": self.bounds,
            "platform": {"address": store or self.store.http.address,
                         "form": "kv", "value_bytes": 1048576,
                         "min_ttl_ms": 1000},
            "cloud": {"address": self.cloud.address, "rate_per_s": 64.0,
                      "duty_per_s": 64.0}}
        if advice:
            settings["advice"] = self.advice.address
        path = os.path.join(self.folder, f"{name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        process = subprocess.Popen(
            [self.binary], env={**os.environ, "EGRETGLADE_BOOT": path},
            stdout=log, stderr=subprocess.STDOUT)
        log.close()
        self.daemons[name] = {"process": process, "ports": ports}
        self.record.add("daemon_start", name=name)
        return process

    def front(self, name):
        return f"{LOOPBACK}:{self.daemons[name]['ports']['front']}"

    def alive(self):
        return [n for n, d in self.daemons.items()
                if d["process"].poll() is None]

    async def ready(self, timeout_s=20):
        end = time.monotonic() + timeout_s
        for name in list(self.daemons):
            address = f"{LOOPBACK}:{self.daemons[name]['ports']['ready']}"
            while time.monotonic() < end:
                status, _ = await request(address, "GET", "/v1/readiness")
                if status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                return False
        return True

    def leader(self):
        """Name of the daemon that leads, from its record in the store."""
        value = self.store.get("eg/duty/scheduler")
        return None if value is None else json.loads(value)["node"]

    async def send(self, daemon, method, queue, job_id="", body=None,
                   key="key-1", timeout_s=3.0):
        status, value = await request(
            self.front(daemon), method, f"/{queue}/{job_id}", body,
            {"Host": "x", "X-Credential": key, "X-Deadline-Ms": "3000"},
            timeout_s)
        self.record.add("call", daemon=daemon, method=method, queue=queue,
                        job=job_id, status=status, answer=value)
        return status, value

    async def submit(self, queue, job_id, body, behave=None, daemon=None,
                     key="key-1", tries=20):
        """Sends a submission until it is accepted or refused for good."""
        self.tasks.add(job_id, body, behave)
        names = [daemon] if daemon else self.alive()
        for attempt in range(tries):
            status, _ = await self.send(names[attempt % len(names)], "POST",
                                        queue, job_id, body, key)
            if status in (200, 400, 410, 413):
                return status
            await asyncio.sleep(0.3)
        return 0

    async def state(self, queue, job_id, daemon=None, key="key-1"):
        names = [daemon] if daemon else self.alive()
        for name in names:
            status, value = await self.send(name, "GET", queue, job_id,
                                            key=key)
            if status == 200:
                return value["state"]
            if status == 410:
                return "410"
        return None

    def stop(self):
        for daemon in self.daemons.values():
            if daemon["process"].poll() is None:
                daemon["process"].kill()
            daemon["process"].wait()
        self.store.http.stop()
        self.cloud.stop()
        self.advice.stop()
        for worker in self.workers.values():
            if worker.up:
                worker.up = False
                worker.http.stop()
