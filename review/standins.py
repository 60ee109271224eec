"""Stand-ins for the cases under review/: a small deployment on loopback addresses with endpoints, an operator and
clients, as PROTOCOL.md and DEPLOY.md describe them.

Each machine has a loopback address of its own and the ports are the same on all machines. The programs are started
with the run command of deploy/system.toml and with settings written from deploy/settings.yaml. Only the path of the
settings file and the data folder lie in a temporary folder.
"""

import http.client
import json
import os
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
import uuid

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
REGIONS = {"hakata": "fukuoka", "kokura": "fukuoka", "chuo-ku": "kumamoto", "yatsushiro": "kumamoto",
           "tenmonkan": "kagoshima", "kirishima": "kagoshima"}
CORE_ZONES = ["hakata", "chuo-ku", "tenmonkan", "kokura", "yatsushiro"]
BOUNDS = {"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 4000, "ack-ms": 5000, "catch-up-s": 4, "drain-ms": 2500,
          "grace-s": 6, "loss-slack-ms": 200, "config-apply-ms": 2500, "downgrade-slack-ms": 250,
          "max-stretch-ms": 6000, "retry-budget-ratio": 0.2, "budget-window-s": 10, "retry-budget-slack": 60,
          "cold-overshoot-factor": 1.5, "cold-slack": 5, "evacuation-ms": 5000, "recovery-s": 15, "ttl_max_s": 5,
          "max-region-shift": 0.15}
HEARTBEAT_S = 1.5
CALL_TIMEOUT_S = 1.0

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


class NotRun(Exception):
    """The case could not be carried out, so it shows nothing."""


class Record:
    """Writes record.txt: one line for each event, with the seconds since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        with self.lock:
            self.file.write("%9.3f %s\n" % (self.now(), text))
            self.file.flush()


def render(template, values):
    """Fills in the part of the template language of DEPLOY.md that deploy/settings.yaml uses."""

    def lookup(name):
        value = values
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        return match.group(2) if lookup(match.group(1)) is not None else ""

    text = re.sub(r"{{#([\w.-]+)}}(.*?){{/\1}}", section, template, flags=re.S)
    return re.sub(r"{{([\w.-]+)\|json}}", lambda match: json.dumps(lookup(match.group(1))), text)


class Machine:
    """A machine of the system: its address, its settings and, while it runs, its process."""

    def __init__(self, deployment, name, zone, address, is_core):
        self.deployment = deployment
        self.name = name
        self.zone = zone
        self.address = address
        self.is_core = is_core
        self.process = None
        self.is_first_start = True
        self.settings_file = os.path.join(deployment.folder, name + ".yaml")
        self.log = os.path.join(deployment.folder, name + ".log")

    def at(self, port):
        return "%s:%d" % (self.address, self.deployment.ports[port])

    def start(self):
        deployment = self.deployment
        listen = {"control": self.at("control"), "directory": self.at("directory")} if self.is_core else {
            "front": self.at("front"), "ready": self.at("ready")}
        values = {"node-name": self.name, "ip": self.address, "zone": self.zone, "region": REGIONS[self.zone],
                  "zones": REGIONS, "internal-ports": [deployment.ports["internal"], deployment.ports["internal"] + 15],
                  "seeds": [core.at("control") for core in deployment.cores[:3]], "bootstrap": self.is_first_start,
                  "fault-tolerance": {"machines": 2}, "heartbeat-ms": int(HEARTBEAT_S * 1000), "bounds": BOUNDS,
                  "listen": listen}
        if self.is_core:
            values["data-dir"] = os.path.join(deployment.folder, "data-" + self.name)
        with open(os.path.join(ROOT, "deploy/settings.yaml"), encoding="utf-8") as template:
            text = render(template.read(), values)
        with open(self.settings_file, "w", encoding="utf-8") as file:
            file.write(text)
        role = "control" if self.is_core else "entry"
        words = deployment.roles[role]["run"].split()
        words = [self.settings_file if word == "/etc/plantainlatch/node.toml" else word for word in words]
        environment = {"PATH": os.environ["PATH"], "HOME": deployment.folder, "LANG": "C",
                       "PLANTAINLATCH_CONFIG": self.settings_file}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(words, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log,
                                            stderr=log)
        self.is_first_start = False

    def send_signal(self, number):
        self.deployment.record.write("signal %s to %s" % (signal.Signals(number).name, self.name))
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None


class Deployment:
    """The machines of the system."""

    def __init__(self, record, fronts, front_zones=None):
        program = os.path.join(ROOT, "target/bin/plantainlatch")
        if not os.path.exists(program):
            raise NotRun("the program is not built: " + program)
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.network = "127.%d.%d." % (random.randint(1, 250), random.randint(1, 250))
        self.ports = self.free_ports()
        self.next_address = 10
        self.cores = [self.add("core-" + zone, zone, True) for zone in CORE_ZONES]
        zones = front_zones or list(REGIONS)
        self.fronts = [self.add("front-%d" % i, zones[i % len(zones)], False) for i in range(fronts)]

    def free_ports(self):
        """Picks ports that nobody uses at the addresses of this deployment, which are new for each run."""
        base = random.randint(12, 30) * 1000
        return {"internal": base, "front": base + 100, "ready": base + 101, "control": base + 102,
                "directory": base + 103, "endpoint": base + 104}

    def take_address(self):
        self.next_address += 1
        return self.network + str(self.next_address)

    def add(self, name, zone, is_core):
        return Machine(self, name, zone, self.take_address(), is_core)

    def start(self):
        for machine in self.cores + self.fronts:
            machine.start()

    def wait_ready(self, timeout=20):
        limit = time.monotonic() + timeout
        for front in self.fronts:
            while not is_ready(front):
                if time.monotonic() > limit:
                    raise NotRun("%s does not get ready" % front.name)
                time.sleep(0.1)

    def stop(self):
        for machine in self.cores + self.fronts:
            if machine.is_running():
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def is_ready(front):
    try:
        return call(front.at("ready"), "GET", "/ready")[0] == 200
    except OSError:
        return False


def call(address, method, path, body=None, headers=None, timeout=CALL_TIMEOUT_S):
    """One HTTP call on a new connection, closed afterwards: status, headers and body. OSError if there is no answer."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    except http.client.HTTPException as error:
        raise OSError(str(error)) from error
    finally:
        connection.close()


class Operator:
    """Sends each order until it is acknowledged: one second for an answer, then another machine."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.record = deployment.record

    def order(self, method, path, body=None, first=None, limit_s=5.0):
        """Returns the time of the acknowledgement, or None without one. `first` is the first machine asked."""
        cores = list(self.deployment.cores)
        random.shuffle(cores)
        if first is not None:
            cores.remove(first)
            cores.insert(0, first)
        headers = {"Content-Type": "application/json"} if body is not None else {}
        limit = time.monotonic() + limit_s
        attempt = 0
        while time.monotonic() < limit:
            core = cores[attempt % len(cores)]
            try:
                status = call(core.at("control"), method, path, body, headers)[0]
            except OSError as error:
                status = type(error).__name__
            self.record.write("operator %s %s to %s: %s" % (method, path, core.name, status))
            if status == 200:
                return self.record.now()
            if isinstance(status, int) and 400 <= status < 500 and status not in (408, 429):
                return None
            attempt += 1
            time.sleep(min(0.05 * 2 ** attempt, 0.5))
        return None

    def put(self, configuration, first=None):
        acknowledged = self.order("POST", "/Config.Put", json.dumps(configuration), first, 15.0)
        if acknowledged is None:
            raise NotRun("the configuration is not acknowledged")
        return acknowledged


def make_configuration(version, services, routes):
    """`routes`: name, path prefix, kind, timeout, aim, service, sticky. All routes have the host court.example."""
    columns = ["name", "host", "path-prefix", "kind", "timeout-ms", "target-latency-ms", "priority", "service",
               "max-attempts", "sticky", "allowed-regions", "traffic-split"]
    rows = [[name, "court.example", prefix, kind, timeout, aim, 1, service, 2, sticky, [], None]
            for name, prefix, kind, timeout, aim, service, sticky in routes]
    service_columns = ["name", "health-path", "max-conns", "protocol", "tls", "cold-start-s", "cold-per-s"]
    service_rows = [[service, "/health", 360, "h1", False, 3.0, 5.5] for service in services]
    return {"version": "r%d" % version, "routes": {"columns": columns, "rows": rows},
            "services": {"columns": service_columns, "rows": service_rows},
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000}}


class Endpoint:
    """An endpoint: runs requests in its slots, heartbeats, and can crash, come back and leave."""

    def __init__(self, deployment, service, zone, slots=6, work_s=0.2, address=None, identity=None, poison="/poison"):
        self.deployment = deployment
        self.record = deployment.record
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.poison = poison
        self.host = address or deployment.take_address()
        self.port = deployment.ports["endpoint"]
        self.identity = identity or "i-" + uuid.uuid4().hex[:8]
        self.lock = threading.Lock()
        self.on_run = None
        self.is_up = False
        self.beats = True

    def start(self):
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.connections = set()
        self.is_up = True
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((self.host, self.port))
        self.listener.listen(128)
        self.record.write("endpoint %s of %s starts at %s in %s, born %d"
                          % (self.identity, self.service, self.host, self.zone, self.born))
        threading.Thread(target=self.accept, args=(self.listener, self.born), daemon=True).start()
        threading.Thread(target=self.heartbeat, args=(self.born,), daemon=True).start()

    def lives(self, born):
        return self.is_up and self.born == born

    def accept(self, listener, born):
        while self.lives(born):
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections.add(connection)
            threading.Thread(target=self.serve, args=(connection, born), daemon=True).start()

    def serve(self, connection, born):
        reader = connection.makefile("rb")
        try:
            while self.lives(born) and self.serve_one(connection, reader, born):
                pass
        except OSError:
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)
            connection.close()

    def serve_one(self, connection, reader, born):
        line = reader.readline()
        if not line:
            return False
        method, path, _ = line.decode("latin-1").split(" ", 2)
        headers = {}
        while True:
            field = reader.readline().decode("latin-1").strip()
            if not field:
                break
            name, value = field.split(":", 1)
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        body = reader.read(length)
        if len(body) < length:
            return False
        name = headers.get("x-request-id", "")
        echo = ["X-Request-Id: " + name, "X-Server-Load: %d,0,%d" % (self.running, self.slots)]
        expected = headers.get("x-expect-instance", self.identity)
        if path == "/health":
            self.answer(connection, 200, ["X-Instance-Id: " + self.identity], b"")
            return True
        if expected != self.identity:
            self.record.write("endpoint %s answers 421 to %s" % (self.identity, name))
            self.answer(connection, 421, echo + ["X-Instance-Id: " + self.identity, "X-Not-Run: 1"], b"")
            return True
        with self.lock:
            is_full = self.running >= self.slots
            self.running += 0 if is_full else 1
        if is_full:
            self.answer(connection, 503, echo + ["X-Not-Run: 1"], b"")
            return True
        self.record.write("endpoint %s in %s runs %s %s %s (%d bytes)"
                          % (self.identity, self.zone, name, method, path, len(body)))
        if self.on_run is not None:
            self.on_run(self, name, path)
        if path.endswith(self.poison):
            self.crash()
            return False
        time.sleep(self.work_s)
        with self.lock:
            self.running -= 1
        if not self.lives(born):
            return False
        self.answer(connection, 200, echo + ["X-Server-Stamp: %s.%d" % (self.identity, born)], b"done " + name.encode())
        return True

    def answer(self, connection, status, fields, body):
        if self.state == "draining":
            fields = fields + ["Server-Leaving: 1"]
        head = ["HTTP/1.1 %d Status" % status] + fields + ["Content-Length: %d" % len(body), "", ""]
        connection.sendall("\r\n".join(head).encode() + body)

    def crash(self):
        """Ends at once: all connections are reset and nothing is said any more."""
        self.record.write("endpoint %s crashes" % self.identity)
        self.is_up = False
        # Wakes the thread that accepts, which would keep the socket open.
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def announcement(self):
        self.sequence += 1
        return json.dumps({"address": "%s:%d" % (self.host, self.port), "born": self.born,
                           "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
                           "status": {"state": self.state, "sequence": self.sequence, "cold-left-ms": 0}})

    def beat(self, first=None):
        """One heartbeat: each machine has one second. Returns the time of the acknowledgement."""
        cores = list(self.deployment.cores)
        random.shuffle(cores)
        if first is not None:
            cores.remove(first)
            cores.insert(0, first)
        body = self.announcement()
        for core in cores:
            try:
                status = call(core.at("control"), "POST", "/Instances.Heartbeat/" + self.identity, body,
                              {"Content-Type": "application/json"})[0]
            except OSError:
                continue
            if status == 200:
                return self.record.now()
        return None

    def leave(self):
        """Says once that it leaves, and goes on to serve. Returns the time of the acknowledgement."""
        self.beats = False
        limit = time.monotonic() + 10
        cores = list(self.deployment.cores)
        random.shuffle(cores)
        attempt = 0
        while time.monotonic() < limit:
            core = cores[attempt % len(cores)]
            try:
                status = call(core.at("control"), "POST", "/Instances.Leave/" + self.identity)[0]
            except OSError as error:
                status = type(error).__name__
            self.record.write("endpoint %s leaves, to %s: %s" % (self.identity, core.name, status))
            if status == 200:
                return self.record.now()
            attempt += 1
            time.sleep(0.2)
        return None

    def heartbeat(self, born):
        while self.lives(born):
            if self.beats:
                self.beat()
            time.sleep(HEARTBEAT_S)


def request(front, path, method="GET", key=None, deadline_ms=4000, body=None, record=None, timeout=None):
    """A request of a client, with an id of its own: id, status and body; status 0 without an answer."""
    name = new_name()
    headers = {"Host": "court.example", "X-Request-Id": name, "X-Deadline-Ms": str(deadline_ms)}
    if key is not None:
        headers["X-Affinity-Key"] = key
    try:
        status, fields, content = call(front.at("front"), method, path, body, headers, timeout or deadline_ms / 1000)
    except OSError as error:
        status, fields, content = 0, {}, str(error).encode()
    if record is not None:
        record.write("client %s %s %s to %s: %d %s" % (name, method, path, front.name, status,
                                                       content[:60].decode("latin-1")))
    return name, status, fields, content


def new_name():
    return uuid.uuid4().hex[:16]


def connect(front):
    host, port = front.at("front").split(":")
    return http.client.HTTPConnection(host, int(port), timeout=5)


def send_on(connection, method, path, name, body, deadline_ms):
    """A request on a kept connection: the status, or 0 if there is no answer."""
    headers = {"Host": "court.example", "X-Request-Id": name, "X-Deadline-Ms": str(deadline_ms)}
    try:
        connection.request(method, path, body=body, headers=headers)
        answer = connection.getresponse()
        answer.read()
        return answer.status
    except (OSError, http.client.HTTPException):
        return 0


def run_case(folder, play):
    """Runs `play(record, trouble)`, which returns whether the rule held, and ends with the exit code of the case."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    def end(number, frame):
        raise NotRun("ended by a signal")

    signal.signal(signal.SIGTERM, end)
    signal.signal(signal.SIGINT, end)
    record.write("trouble: %s" % ("yes" if trouble else "no"))
    try:
        held = play(record, trouble)
        code = EXIT_HELD if held else EXIT_BROKEN
    except NotRun as error:
        record.write("the case could not run: %s" % error)
        code = EXIT_NOT_RUN
    record.write("verdict: %s" % {EXIT_HELD: "held", EXIT_BROKEN: "broken", EXIT_NOT_RUN: "not run"}[code])
    print({EXIT_HELD: "held", EXIT_BROKEN: "broken", EXIT_NOT_RUN: "not run"}[code], flush=True)
    os._exit(code)
