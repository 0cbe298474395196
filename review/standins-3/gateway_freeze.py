"""Three gateways, a fleet controller and the project's stand-ins on loopback.
One gateway is frozen (SIGSTOP) for some seconds and goes on (SIGCONT).

    python3 gateway_freeze.py BUILD hang|ids

hang: frozen for 2.5 s while one client connects. Afterwards a client submits
      tasks on a connection that was open before, and a health check opens a
      new one every 5 s. No answer may take over 3 s.
ids:  frozen for 12 s, so that the others fence it. Afterwards it is sent
      tasks; each attempt must be named after an incarnation of that gateway.

GATEWAY names another egretd. TROUBLE=0 leaves the freeze out. Exits with 1 if it fails, 0 if it holds, 2 if
it couldn't run.
"""

import collections
import concurrent.futures
import http.client
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time

HOST = "127.0.0.1"
HEALTH_CHECK_S = 5
HANG_S = 3
KEPT_TIMEOUT_S = 10
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONFIG = {
    "service_unit": "task",
    "data_centres": [{"name": "split-1", "region": "croatia"}],
    "pools": [{
        "name": "work", "min_available_hosts": 1,
        "min_available_per_dc_hosts": 0, "host_slots": 8,
        "host_connections": 64, "min_hosts": 1, "max_hosts": 12}],
    "queues": [{
        "name": "open", "pool": "work", "open_team": "public",
        "start_deadline_ms": 5000, "max_run_ms": 2000, "max_queued": 500,
        "max_body_bytes": 1048576}],
    "teams": [{"name": "public", "share_permille": 1000, "max_running": 10}],
}


def call(port, method, path, body=None, timeout_s=5):
    """Status and body, or None without a whole answer in time."""
    link = http.client.HTTPConnection(HOST, port, timeout=timeout_s)
    try:
        link.request(method, path, body)
        answer = link.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        link.close()


def ok(answer):
    return answer is not None and answer[0] == 200


def wait_for(condition, timeout_s=20):
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.1)
    raise RuntimeError("gave up waiting")


class Fleet:
    def __init__(self, build, folder):
        self.build = build
        self.folder = folder
        self.processes = []
        self.gateways = []
        self.ports = []

    def path(self, name):
        return os.path.join(self.folder, name)

    def start(self, name, program, *arguments):
        with open(self.path(name + ".log"), "wb") as log:
            process = subprocess.Popen(
                [os.path.join(self.build, program), *arguments],
                stdout=log, stderr=subprocess.STDOUT)
        self.processes.append(process)
        return process

    def log(self, name):
        with open(self.path(name + ".log"), "rb") as log:
            return log.read()

    def free_ports(self, n):
        text = subprocess.run(
            [os.path.join(self.build, "standins/standin-ports"), str(n)],
            check=True, capture_output=True).stdout
        return [int(port) for port in text.split()]

    def settings(self, name, http_port, peer_port):
        with open(self.path(name + ".json"), "w") as file:
            json.dump({
                "name": name, "dc": "split-1", "address": HOST,
                "http_port": http_port, "peer_port": peer_port,
                "store_url": f"http://{HOST}:{self.store_port}",
                "secret_file": self.path("secret"),
                "shutdown_ms": 10000}, file)
        return self.path(name + ".json")

    def begin(self):
        ports = self.free_ports(8)
        self.store_port, controller_port = ports[0], ports[1]
        with open(self.path("secret"), "w") as file:
            file.write("a secret of this test only")
        with open(self.path("config.json"), "w") as file:
            json.dump(CONFIG, file)
        self.start("store", "standins/standin-store",
                   f"--port={self.store_port}")
        self.start("backend", "standins/standin-backend", "--layout=work:8",
                   "--dcs=split-1", "--port-out=" + self.path("backend.port"))
        wait_for(lambda: os.path.exists(self.path("backend.port")) and
                 os.path.getsize(self.path("backend.port")) > 0)
        with open(self.path("backend.port")) as file:
            self.backend_port = int(file.read())
        wait_for(lambda: ok(call(self.store_port, "PUT", "/standin/faults",
                                 "{}")))
        hosts = call(self.backend_port, "GET", "/standin/hosts")
        wait_for(lambda: ok(call(self.store_port, "PUT", "/standin/hosts",
                                 hosts[1])))
        self.start("controller", "egretfleetd/egretfleetd",
                   self.settings("controller", controller_port, 0))
        for i in range(3):
            name = f"entry-{i}"
            self.ports.append(ports[2 + 2 * i])
            self.gateways.append(self.start(
                name, os.environ.get("GATEWAY", "egretd/egretd"),
                self.settings(name, ports[2 + 2 * i], ports[3 + 2 * i])))
        subprocess.run(
            [os.path.join(self.build, "egretctl/egretctl"),
             f"--store=http://{HOST}:{self.store_port}",
             "--secret-file=" + self.path("secret"), "apply",
             self.path("config.json"), "--wait"],
            check=True, capture_output=True, timeout=30)
        for port in self.ports:
            wait_for(lambda: ok(call(port, "GET", "/healthz")))
            wait_for(lambda: ok(self.submit(port, 1)))

    def submit(self, port, run_ms):
        return call(port, "POST", "/v1/queues/open/tasks",
                    f"run_ms={run_ms}", 10)

    def freeze(self, i, seconds, knock):
        """With @knock one client connects meanwhile, as a load balancer's
        health check does."""
        if not TROUBLE:
            time.sleep(seconds)
            return
        self.gateways[i].send_signal(signal.SIGSTOP)
        time.sleep(seconds - 0.5)
        if knock:
            self.knock = socket.create_connection((HOST, self.ports[i]), 5)
        time.sleep(0.5)
        self.gateways[i].send_signal(signal.SIGCONT)

    def end(self):
        for process in reversed(self.processes):
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()


def submit_kept(link):
    """Submits a task on an open connection; seconds to the answer, or
    KEPT_TIMEOUT_S without one."""
    begin = time.monotonic()
    try:
        link.request("POST", "/v1/queues/open/tasks", "run_ms=20")
        link.getresponse().read()
    except (OSError, http.client.HTTPException):
        link.close()
        return KEPT_TIMEOUT_S
    return time.monotonic() - begin


def play_hang(fleet):
    link = http.client.HTTPConnection(HOST, fleet.ports[1], timeout=KEPT_TIMEOUT_S)
    submit_kept(link)
    time.sleep(2)
    fleet.freeze(1, 2.5, True)
    time.sleep(2)
    waits = []
    check_at = end = time.monotonic()
    end += 30
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        while time.monotonic() < end:
            if time.monotonic() >= check_at:
                check_at += HEALTH_CHECK_S
                pool.submit(call, fleet.ports[1], "GET", "/healthz")
            waits.append(submit_kept(link))
            time.sleep(0.2)
    restarts = fleet.log("entry-1").count(b"listener-restarted")
    late = [round(wait, 1) for wait in waits if wait > HANG_S]
    print(f"entry-1: {restarts} listeners restarted, {len(waits)} tasks of"
          f" 20 ms, seconds of those over {HANG_S}: {late}"
          f" ({KEPT_TIMEOUT_S}: no answer)")
    return len(late) > 0


def play_ids(fleet):
    fleet.freeze(1, 12, False)
    time.sleep(3)
    # More at once than the team may run, so that entry-1 starts some itself.
    with concurrent.futures.ThreadPoolExecutor(30) as pool:
        answers = collections.Counter(pool.map(
            lambda i: (fleet.submit(fleet.ports[i % 3], 40) or ["none"])[0],
            range(1500)))
    summary = json.loads(
        call(fleet.backend_port, "GET", "/standin/summary")[1])
    log = fleet.log("entry-1")
    own = set(re.findall(rb"incarnation=(entry-1-\S+)", log))
    before, fenced, after = log.partition(b"event=fenced")
    names = re.findall(rb" attempt=(.*) request=", after)
    wrong = [name for name in names if name.rpartition(b"-")[0] not in own]
    print(f"entry-1: {len(names)} attempts since it was fenced, {len(wrong)}"
          f" of them not under its name, such as {wrong[:2]};"
          f" {summary['duplicates']} refused as duplicates; answers to callers"
          f" by status {dict(answers)}")
    if TROUBLE and not fenced:
        raise RuntimeError("it was not fenced")
    return len(wrong) > 0


def main():
    build, play = os.path.abspath(sys.argv[1]), sys.argv[2]
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(build, folder)
        try:
            fleet.begin()
            broken = {"hang": play_hang, "ids": play_ids}[play](fleet)
        except (OSError, RuntimeError, subprocess.SubprocessError) as error:
            print(f"could not run: {error!r}")
            return 2
        finally:
            fleet.end()
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
