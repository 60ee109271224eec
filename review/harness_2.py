"""Stand-ins for the scripts of cases 6 to 10: a small deployment on loopback, endpoints, an operator and clients.

Everything runs on loopback addresses of one random 127.x.y.0 network and on the real clock. The processes of the
system are started with the command of deploy/system.toml; only the path of the settings file is the temporary one.
"""

import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ZONES = {"hakata": "fukuoka", "kokura": "fukuoka", "chuo-ku": "kumamoto", "yatsushiro": "kumamoto",
         "tenmonkan": "kagoshima", "kirishima": "kagoshima"}
# The bounds of the site kurohae-latch.
BOUNDS = {"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 4000, "ack-ms": 5000, "catch-up-s": 4, "drain-ms": 2500,
          "grace-s": 6, "loss-slack-ms": 200, "config-apply-ms": 2500, "downgrade-slack-ms": 250,
          "max-stretch-ms": 6000, "retry-budget-ratio": 0.2, "budget-window-s": 10, "retry-budget-slack": 60,
          "cold-overshoot-factor": 1.5, "cold-slack": 5, "evacuation-ms": 5000, "recovery-s": 15, "ttl_max_s": 5,
          "max-region-shift": 0.15}
HEARTBEAT_MS = 1500
HOST = "booking.example"
CONTROL, DIRECTORY, FRONT, READY, ENDPOINT = 8146, 8143, 8144, 8140, 8080
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case can't be played here; the script exits with 2."""


class Record:
    """record.txt: one line for each thing that was sent, answered or run."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.lock = threading.Lock()
        path = os.environ.get("RECORD") or os.path.join(folder, "record.txt")
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (self.now(), text))
            self.file.flush()


def read_head(stream):
    """Reads a head up to the empty line; None if the connection ends before its first byte."""
    data = b""
    while not data.endswith(b"\r\n\r\n"):
        byte = stream.read(1)
        if not byte:
            if data:
                raise ConnectionError("the head is incomplete")
            return None
        data += byte
        if len(data) > 65536:
            raise ConnectionError("the head is too long")
    return data


def fields_of(head):
    """The header fields of a head that a stand-in reads leniently; names in lower case."""
    fields = {}
    for line in head.split(b"\r\n")[1:]:
        name, colon, value = line.partition(b":")
        if colon:
            fields[name.strip().lower().decode("latin-1")] = value.strip().decode("latin-1")
    return fields


def call(address, method, path, body=b"", timeout=1.0):
    """One call of an endpoint or the operator on its own connection; returns (status, body), or None without one."""
    try:
        with socket.create_connection(address, timeout=timeout) as sock:
            sock.settimeout(timeout)
            sock.sendall(("%s %s HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
                          "Content-Length: %d\r\nConnection: close\r\n\r\n" % (method, path, len(body))).encode() + body)
            stream = sock.makefile("rb")
            head = read_head(stream)
            if head is None:
                return None
            length = int(fields_of(head).get("content-length", "0"))
            return int(head.split(b" ")[1]), stream.read(length)
    except (OSError, ConnectionError, ValueError):
        return None


class Deployment:
    """The processes of the system: `core` machines with a disk in the first zones, and `fronts` entries."""

    def __init__(self, record, core=5, fronts=2):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="plantainlatch-review-")
        self.network = "127.%d.%d" % (random.randint(20, 220), random.randint(1, 250))
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        zones = list(ZONES)
        self.core = [("core-%d" % (i + 1), "%s.%d" % (self.network, 10 + i), zones[i % 5]) for i in range(core)]
        self.fronts = [("front-%d" % (i + 1), "%s.%d" % (self.network, 30 + i), zones[i % 6]) for i in range(fronts)]
        self.processes = {}
        self.unasked_ends = []

    def controls(self):
        return [(ip, CONTROL) for _, ip, _ in self.core]

    def write_settings(self, name, ip, zone, is_core, bootstrap):
        settings = {"machine": name, "address": ip, "failure_domain": zone, "region": ZONES[zone],
                    "failure_domains": ZONES, "internal_ports": [7660, 7675],
                    "seeds": ["%s:%d" % (node, CONTROL) for _, node, _ in self.core[:3]], "found_log": bootstrap,
                    "replicas_that_may_fail": (len(self.core) - 1) // 2, "renewal_milliseconds": HEARTBEAT_MS,
                    "bounds": BOUNDS}
        if is_core:
            settings["data_folder"] = os.path.join(self.folder, name)
            settings["control_address"] = "%s:%d" % (ip, CONTROL)
            settings["lookup_address"] = "%s:%d" % (ip, DIRECTORY)
        else:
            settings["caller_address"] = "%s:%d" % (ip, FRONT)
            settings["readiness_address"] = "%s:%d" % (ip, READY)
        path = os.path.join(self.folder, name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.writelines("%s: %s\n" % (key, json.dumps(value)) for key, value in settings.items())
        return path

    def start(self, machine, bootstrap=True):
        name, ip, zone = machine
        is_core = machine in self.core
        path = self.write_settings(name, ip, zone, is_core, bootstrap)
        words = shlex.split(self.roles["control" if is_core else "entry"]["run"])
        words[0] = os.path.join(ROOT, words[0])
        words[words.index("--settings") + 1] = path
        if not os.access(words[0], os.X_OK):
            raise CannotRun("the build of the deploy file is missing")
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        environment = dict(os.environ, PLANTAINLATCH_CONFIG=path)
        self.processes[name] = subprocess.Popen(words, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                                cwd=ROOT, env=environment)
        self.record("system: %s starts at %s in %s" % (name, ip, zone))

    def start_all(self):
        for machine in self.core + self.fronts:
            self.start(machine)

    def signal(self, name, number):
        self.processes[name].send_signal(number)
        self.record("system: %s gets %s" % (name, signal.Signals(number).name))

    def wait_until_ready(self, limit=20.0):
        end = time.monotonic() + limit
        for _, ip, _ in self.fronts:
            while True:
                answer = call((ip, READY), "GET", "/ready")
                if answer is not None and answer[0] == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRun("the system was not ready in time")
                time.sleep(0.1)

    def order(self, method, path, body=b"", limit=20.0, only=None):
        """An order of the operator: at one node after the other until a 2xx. Returns the time of the acknowledgement."""
        end = time.monotonic() + limit
        nodes = only or self.controls()
        turn = 0
        while time.monotonic() < end:
            answer = call(nodes[turn % len(nodes)], method, path, body)
            self.record("operator: %s %s at %s -> %s" % (method, path, nodes[turn % len(nodes)][0],
                                                         answer[0] if answer else "no answer"))
            if answer is not None and 200 <= answer[0] < 300:
                return time.monotonic()
            turn += 1
            time.sleep(0.1)
        raise CannotRun("an order of the operator was not acknowledged: " + path)

    def ended(self):
        return [name for name, process in self.processes.items() if process.poll() is not None]

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            self.record("logs are kept")
            sys.stderr.write("logs: %s\n" % self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Platform:
    """Does what DEPLOY.md says of processes: one with more memory than it has is killed, and started again.

    `memory_mb` holds limits.memory-mb of the settings for "core" and "front"."""

    RESTART_S = 0.5

    def __init__(self, record, system, memory_mb):
        self.record, self.system, self.limits = record, system, memory_mb
        self.ends = {name: 0 for name, _, _ in system.core + system.fronts}
        self.highest = dict(self.ends)
        self.watching = True
        self.thread = threading.Thread(target=self.watch, daemon=True)
        self.thread.start()

    def memory_mb(self, name):
        try:
            with open("/proc/%d/status" % self.system.processes[name].pid, encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024.0
        except OSError:
            pass
        return 0.0

    def watch(self):
        back_at = {}
        while self.watching:
            for machine in self.system.core + self.system.fronts:
                name = machine[0]
                if name in back_at:
                    if time.monotonic() >= back_at[name]:
                        del back_at[name]
                        self.system.start(machine, bootstrap=False)
                    continue
                used = self.memory_mb(name)
                self.highest[name] = max(self.highest[name], used)
                over = used > self.limits[name.split("-")[0]]
                if over or self.system.processes[name].poll() is not None:
                    self.system.processes[name].kill()
                    self.system.processes[name].wait()
                    self.ends[name] += 1
                    self.record("platform: %s ends with %.0f MB" % (name, used))
                    back_at[name] = time.monotonic() + self.RESTART_S
            time.sleep(0.02)

    def stop(self):
        self.watching = False
        self.thread.join()


def configuration(version, services=("booking",), routes=None):
    """The body of Config.Put. `routes` holds (name, prefix, kind, timeout-ms, target-latency-ms, service or split)."""
    routes = routes or [("status", "/status/", "safe", 2500, 600, "booking"),
                        ("order", "/order/", "unsafe", 3000, 800, "booking")]
    columns = ["name", "host", "path-prefix", "kind", "timeout-ms", "target-latency-ms", "priority", "service",
               "max-attempts", "sticky", "allowed-regions", "traffic-split"]
    rows = [[name, HOST, prefix, kind, timeout, target, 1, None if isinstance(part, list) else part, 2, False, [],
             part if isinstance(part, list) else None] for name, prefix, kind, timeout, target, part in routes]
    body = {"version": "r%d" % version, "routes": {"columns": columns, "rows": rows},
            "services": {"columns": ["name", "health-path", "max-conns", "protocol", "tls", "cold-start-s",
                                     "cold-per-s"],
                         "rows": [[name, "/health", 360, "h1", False, 3.0, 5.5] for name in services]},
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000}}
    return json.dumps(body).encode()


class Endpoint:
    """An endpoint of PROTOCOL.md: serves requests, sends heartbeats, drains and leaves."""

    def __init__(self, record, deployment, number, service="booking", zone="hakata", work_s=0.05, slots=6):
        self.record = record
        self.deployment = deployment
        self.id = "i-%08x" % random.getrandbits(32)
        self.address = ("%s.%d" % (deployment.network, 100 + number), ENDPOINT)
        # Where the heartbeats say that it is; another address than its own if it is behind a proxy.
        self.announced_address = self.address
        self.service, self.zone, self.work_s, self.slots = service, zone, work_s, slots
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.beating = True
        self.answers_leaving = False
        self.running = 0
        self.runs = []
        self.lock = threading.Lock()
        # spoil(endpoint, request id, head, body) may return other bytes instead of an answer.
        self.spoil = None
        self.listener = socket.create_server(self.address, backlog=256)
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def announcement(self, state=None, sequence=None):
        if sequence is None:
            with self.lock:
                self.sequence += 1
                sequence = self.sequence
        return json.dumps({"address": "%s:%d" % self.announced_address, "born": self.born,
                           "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
                           "status": {"state": state or self.state, "sequence": sequence, "cold-left-ms": 0}}).encode()

    def announce(self, body=None, nodes=None):
        """Sends a heartbeat to one node after the other until a 2xx; returns whether there was one, and when."""
        body = body or self.announcement()
        nodes = nodes or random.sample(self.deployment.controls(), len(self.deployment.controls()))
        for node in nodes:
            answer = call(node, "POST", "/Instances.Heartbeat/" + self.id, body)
            status = json.loads(body)["status"]
            self.record("endpoint %s: heartbeat %d %s at %s -> %s" % (self.id, status["sequence"], status["state"],
                                                                      node[0], answer[0] if answer else "no answer"))
            if answer is not None and 200 <= answer[0] < 300:
                return time.monotonic()
        return None

    def leave(self):
        """Sends Leave, which has no body, to one node after the other until a 2xx; returns when there was one."""
        for node in random.sample(self.deployment.controls(), len(self.deployment.controls())):
            answer = call(node, "POST", "/Instances.Leave/" + self.id)
            self.record("endpoint %s: Leave at %s -> %s" % (self.id, node[0], answer[0] if answer else "no answer"))
            if answer is not None and 200 <= answer[0] < 300:
                return time.monotonic()
        return None

    def beat(self):
        time.sleep(random.random() * 0.2)
        while True:
            if self.beating:
                self.announce()
            time.sleep(HEARTBEAT_MS / 1000.0)

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = sock.makefile("rb")
        try:
            while True:
                head = read_head(stream)
                if head is None:
                    return
                fields = fields_of(head)
                stream.read(int(fields.get("content-length", "0")))
                reply = self.answer(head.split(b"\r\n")[0].decode("latin-1"), fields)
                sock.sendall(reply)
        except (OSError, ConnectionError, ValueError):
            return
        finally:
            sock.close()

    def answer(self, line, fields):
        request = fields.get("x-request-id", "-")
        if line.startswith("GET /health"):
            return self.encode(200 if self.state == "ready" else 503, {"X-Instance-Id": self.id}, b"")
        if fields.get("x-expect-instance", self.id) != self.id:
            self.record("endpoint %s: %s gets 421" % (self.id, request))
            return self.encode(421, {"X-Instance-Id": self.id, "X-Request-Id": request, "X-Not-Run": "1"}, b"")
        with self.lock:
            if self.running >= self.slots + 3 * self.slots:
                return self.encode(503, {"X-Request-Id": request, "X-Not-Run": "1"}, b"")
            self.running += 1
            self.runs.append((time.monotonic(), request))
        self.record("endpoint %s: runs %s" % (self.id, request))
        time.sleep(self.work_s)
        with self.lock:
            self.running -= 1
        body = ("%s was done by %s for %s" % (line.split(" ")[1], self.id, request)).encode()
        head = {"X-Request-Id": request, "X-Server-Stamp": "stamp." + request}
        if self.answers_leaving:
            head["Server-Leaving"] = "1"
        if self.spoil is not None:
            spoiled = self.spoil(self, request, head, body)
            if spoiled is not None:
                return spoiled
        return self.encode(200, head, body)

    @staticmethod
    def encode(status, fields, body):
        head = "HTTP/1.1 %d Status\r\n" % status
        head += "".join("%s: %s\r\n" % item for item in fields.items())
        return head.encode("latin-1") + b"Content-Length: %d\r\n\r\n" % len(body) + body


def new_request_id():
    return "%016x" % random.getrandbits(64)


STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([1-5][0-9][0-9])( [^\x00-\x08\x0a-\x1f\x7f]*)?\Z")
FIELD_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*)\Z")


class Answer:
    """What a client got: `status` and `body`, or `wrong` with the reason why the bytes are no answer, or `lost`."""

    def __init__(self, status=None, fields=None, body=b"", wrong=None, lost=None):
        self.status, self.fields, self.body, self.wrong, self.lost = status, fields or {}, body, wrong, lost

    def __str__(self):
        return self.wrong or self.lost or str(self.status)


def read_answer(stream):
    """Reads one answer by the grammar of HTTP/1.1 (RFC 9112): nothing that it does not allow is repaired."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        byte = stream.read(1)
        if not byte:
            return Answer(lost="the connection ended")
        head += byte
    lines = head[:-4].split(b"\r\n")
    status = STATUS_LINE.match(lines[0])
    if not status:
        return Answer(wrong="no status line: %r" % lines[0])
    fields = {}
    for line in lines[1:]:
        field = FIELD_LINE.match(line)
        if not field:
            return Answer(wrong="no header field: %r" % line)
        fields[field[1].lower().decode()] = field[2].strip().decode("latin-1")
    try:
        length = int(fields.get("content-length", "0"))
    except ValueError:
        return Answer(wrong="no length: %r" % fields["content-length"])
    body = stream.read(length)
    if len(body) < length:
        return Answer(lost="the body is incomplete")
    return Answer(int(status[1]), fields, body)


class Client:
    """A client that keeps one connection open for many requests."""

    def __init__(self, record, address):
        self.record, self.address, self.sock, self.stream = record, address, None, None

    def close(self):
        if self.sock is not None:
            self.sock.close()
        self.sock = self.stream = None

    def send(self, method, path, body=b"", deadline_ms=3000, request=None):
        request = request or new_request_id()
        head = "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n" % (
            method, path, HOST, request, deadline_ms)
        if body or method != "GET":
            head += "Content-Length: %d\r\n" % len(body)
        self.record("client: sends %s %s %s to %s" % (request, method, path, self.address[0]))
        try:
            if self.sock is None:
                self.sock = socket.create_connection(self.address, timeout=1.0)
                self.stream = self.sock.makefile("rb")
            self.sock.settimeout(deadline_ms / 1000.0)
            self.sock.sendall(head.encode() + b"\r\n" + body)
            answer = read_answer(self.stream)
        except OSError as error:
            answer = Answer(lost=str(error))
        if answer.status is None or answer.fields.get("connection", "").lower() == "close":
            self.close()
        self.record("client: %s is answered %s" % (request, answer))
        return request, answer


def play(folder, case):
    """Runs `case(record, deployments)`, ends all processes, and returns the exit code: 1 if it returns breaks."""
    # A script that is ended from outside ends its processes, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(folder)
    started = []
    try:
        breaks = case(record, started)
        for line in breaks:
            record("BROKEN: " + line)
        record("the rule was broken %d times" % len(breaks) if breaks else "the rule held")
        for line in breaks[:5]:
            print("broken:", line)
        print("the rule was broken %d times" % len(breaks) if breaks else "the rule held")
        return 1 if breaks else 0
    except Exception as error:  # noqa: BLE001  Only a broken rule may end a script with 1.
        record("can't run: %r" % error)
        print("can't run: %r" % error)
        return 2
    finally:
        for deployment in started:
            deployment.stop()
