"""Starts a small deployment of plantainlatch on loopback addresses, with stand-ins of the users' endpoints, operator and
clients that follow the pages PROTOCOL.md and DEPLOY.md."""
import asyncio, contextlib, json, os, random, re, shutil, signal, socket, sys, tempfile, time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ROOT = os.environ.get("PLANTAINLATCH_ROOT", ROOT)
PROGRAM = os.path.join(ROOT, "target", "bin", "plantainlatch")
ZONES = {"zone-a": "region-1", "zone-b": "region-2", "zone-c": "region-3"}
BOUNDS = {"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 4000, "ack-ms": 5000, "catch-up-s": 4, "drain-ms": 2500,
          "grace-s": 6, "loss-slack-ms": 200, "config-apply-ms": 2500, "downgrade-slack-ms": 250,
          "max-stretch-ms": 6000, "retry-budget-ratio": 0.2, "budget-window-s": 10, "retry-budget-slack": 60,
          "cold-overshoot-factor": 1.5, "cold-slack": 5, "evacuation-ms": 5000, "recovery-s": 15, "ttl_max_s": 5,
          "max-region-shift": 0.15}


class Record:
    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()

    def __call__(self, *words):
        print("%8.3f" % (time.monotonic() - self.began), *words, file=self.file, flush=True)


def render(template, fields):
    """The part of the platform's template language that deploy/settings.yaml uses."""
    def look(name):
        value = fields
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        return match.group(2) if look(match.group(1)) else ""

    text = re.sub(r"\{\{#([\w.-]+)\}\}\n(.*?)\{\{/\1\}\}\n", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.-]+)\|json\}\}", lambda m: json.dumps(look(m.group(1))), text)


def free_network():
    """A loopback /24 whose addresses nobody listens on."""
    while True:
        prefix = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((prefix + ".1", 8146))
            return prefix


class Machine:
    def __init__(self, system, name, role, zone, ip):
        self.system, self.name, self.role, self.zone, self.ip = system, name, role, zone, ip
        self.folder = os.path.join(system.folder, name)
        os.makedirs(self.folder)
        self.process = None
        self.first = True

    def address(self, what):
        return self.ip, {"front": 8144, "ready": 8140, "control": 8146, "directory": 8147}[what]

    def text(self, what):
        return "%s:%d" % self.address(what)

    def fields(self):
        front = self.role == "entry"
        limits = {"cpu-share": 0.4, "cores": 1, "memory-mb": self.system.front_mb if front else 256, "max-fds": 4100,
                  "link-mbps": 1000.0, "disk-mb": 0 if front else 256}
        listen = {"front": self.text("front"), "ready": self.text("ready")} if front else {
            "control": self.text("control"), "directory": self.text("directory")}
        fields = {"node-name": self.name, "role": self.role, "machine-class": "front" if front else "core",
                  "ip": self.ip, "zone": self.zone, "region": ZONES[self.zone], "internal-ports": [7660, 7675],
                  "seeds": [m.text("control") for m in self.system.cores[:3]], "bootstrap": self.first,
                  "heartbeat-ms": 1500, "bounds": self.system.bounds, "zones": ZONES, "listen": listen,
                  "limits": limits, "fault-tolerance": {"machines": self.system.tolerated, "zones": 1, "regions": 1}}
        if not front:
            fields["data-dir"] = os.path.join(self.folder, "data")
        return fields

    async def start(self):
        settings = os.path.join(self.folder, "node.yaml")
        with open(os.path.join(ROOT, "deploy", "settings.yaml")) as template, open(settings, "w") as out:
            out.write(render(template.read(), self.fields()))
        if self.role != "entry":
            os.makedirs(os.path.join(self.folder, "data"), exist_ok=True)
        log = open(os.path.join(self.folder, "log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "platform", "--settings", settings, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            cwd=ROOT, env={"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "LANG": "C.UTF-8"})
        log.close()
        self.first = False
        self.system.record("start", self.name, self.ip, "pid", self.process.pid)

    def signal(self, number):
        self.system.record("signal", self.name, signal.Signals(number).name)
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    def alive(self):
        return self.process is not None and self.process.returncode is None

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()


async def read_message(reader, head_request=False, is_answer=True):
    """Reads one HTTP/1.1 message strictly; returns its first line, its fields and its body. None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ValueError("the head is cut: %r" % error.partial[:80])
        return None
    lines = head.decode("latin-1")[:-4].split("\r\n")
    fields = []
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if not colon or not name or name != name.strip():
            raise ValueError("not a field: %r" % line)
        fields.append((name.lower(), value.strip()))
    values = dict(fields)
    body = b""
    status = lines[0].split(" ")[1] if is_answer else ""
    if head_request or (is_answer and (status in ("204", "304") or status.startswith("1"))):
        pass
    elif "transfer-encoding" in values:
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                while (await reader.readuntil(b"\r\n")) != b"\r\n":
                    pass
                break
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    elif "content-length" in values:
        body = await reader.readexactly(int(values["content-length"]))
    elif is_answer:
        body = await reader.read(-1)
    return lines[0], fields, body


def frame(first, fields, body=b""):
    lines = [first] + ["%s: %s" % item for item in fields]
    if not any(n.lower() in ("content-length", "transfer-encoding") for n, _ in fields):
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(address, method, path, fields=(), body=b"", timeout=1.0, local=None):
    """One exchange on a new connection, from the address `local` if it is given; returns status, fields, body. Raises
    OSError, ValueError or TimeoutError."""
    async def exchange():
        reader, writer = await asyncio.open_connection(
            *address, limit=1 << 26, local_addr=(local, 0) if local else None)
        try:
            sent = list(fields)
            if not any(name.lower() == "host" for name, _ in sent):
                sent.insert(0, ("Host", "%s:%d" % address))
            writer.write(frame("%s %s HTTP/1.1" % (method, path), sent, body))
            await writer.drain()
            got = await read_message(reader, method == "HEAD")
            if got is None:
                raise ConnectionResetError("closed without an answer")
            return int(got[0].split(" ")[1]), dict(got[1]), got[2]
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)


class System:
    def __init__(self, record, cores=3, fronts=2, tolerated=1, front_mb=260):
        self.record, self.tolerated, self.front_mb = record, tolerated, front_mb
        self.bounds = dict(BOUNDS)
        self.folder = tempfile.mkdtemp(prefix="plantainlatch-review-")
        self.network = free_network()
        names = list(ZONES)
        self.cores, self.fronts, self.endpoints = [], [], []
        self.cores = [Machine(self, "core-%d" % i, "control", names[i % 3], "%s.%d" % (self.network, 10 + i))
                      for i in range(cores)]
        self.fronts = [Machine(self, "front-%d" % i, "entry", names[i % 3], "%s.%d" % (self.network, 100 + i))
                       for i in range(fronts)]

    def machines(self):
        return self.cores + self.fronts

    async def start(self):
        for machine in self.machines():
            await machine.start()

    async def order(self, method, path, body=b"", limit=10.0, first=None, quiet=False):
        """An order of the operator or an endpoint: sent again to other nodes until there is a clear answer."""
        end = time.monotonic() + limit
        wait = 0.05
        while time.monotonic() < end:
            nodes = [first] if first is not None else []
            nodes += [m for m in self.cores if m is not first]
            for node in nodes:
                try:
                    status, fields, answer = await call(node.address("control"), method, path,
                                                        [("Content-Type", "application/json")], body)
                except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    status, answer = None, b""
                if not quiet:
                    self.record("order", method, path, "at", node.name, "->", status)
                if status is not None and (status < 300 or status in (400, 409, 412, 413, 422)):
                    return status, answer, node
                await asyncio.sleep(wait)
            wait = min(1.0, wait * 2)
        return None, b"", None

    async def ready(self, limit=15.0):
        end = time.monotonic() + limit
        waiting = list(self.fronts)
        while waiting and time.monotonic() < end:
            front = waiting[0]
            try:
                status, _, _ = await call(front.address("ready"), "GET", "/ready")
            except (OSError, ValueError, asyncio.TimeoutError):
                status = None
            if status == 200:
                waiting.pop(0)
            else:
                await asyncio.sleep(0.05)
        return not waiting

    async def close(self):
        for endpoint in self.endpoints:
            await endpoint.end()
        for machine in self.machines():
            if machine.alive():
                with contextlib.suppress(ProcessLookupError):
                    machine.process.kill()
                await machine.process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Endpoint:
    """A sound endpoint: rejects what it can't run, runs `slots` at a time, and answers with its stamp."""
    def __init__(self, system, name, service, zone, ip, port=8080, slots=8, work=0.05):
        self.system, self.name, self.service, self.zone = system, name, service, zone
        self.ip, self.port, self.slots, self.work = ip, port, slots, work
        self.state, self.sequence, self.leaving = "ready", 0, False
        self.born = int(time.time() * 1000)
        self.first_name, self.starts = name, 1
        self.runs, self.raw, self.connections = [], [], set()
        self.server = self.beats = None
        self.answer = None
        self.acked = asyncio.Event()
        system.endpoints.append(self)

    async def begin(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 26)
        self.beats = asyncio.create_task(self.beat())

    async def end(self):
        if self.beats:
            self.beats.cancel()
        if self.server:
            self.server.close()
            self.server = None

    def crash(self):
        """Ends at once, as by SIGKILL: its port closes and all its connections end."""
        self.system.record("crash", self.name)
        self.beats.cancel()
        self.server.close()
        self.server = None
        for writer in list(self.connections):
            writer.transport.abort()

    async def restart(self):
        """Starts a new incarnation at the same address, under a new id."""
        self.starts += 1
        self.name = "%s-%d" % (self.first_name, self.starts)
        self.born, self.sequence, self.state = int(time.time() * 1000), 0, "ready"
        await self.begin()

    def body(self):
        self.sequence += 1
        return json.dumps({"address": "%s:%d" % (self.ip, self.port), "born": self.born,
                           "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
                           "status": {"state": self.state, "sequence": self.sequence, "cold-left-ms": 0}}).encode()

    async def tell(self, limit=10.0, first=None):
        status, _, _ = await self.system.order("POST", "/Instances.Heartbeat/" + self.name, self.body(), limit, first,
                                               quiet=self.state == "ready")
        return status

    async def beat(self):
        while True:
            if await self.tell() == 200:
                self.acked.set()
            await asyncio.sleep(1.5)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                got = await read_message(reader, is_answer=False)
                if got is None:
                    break
                line, fields, body = got
                values = dict(fields)
                ident = values.get("x-request-id", "")
                self.raw.append((line, fields, body))
                if values.get("x-expect-instance", self.name) != self.name:
                    writer.write(frame("HTTP/1.1 421 Misdirected", [("X-Request-Id", ident), ("X-Not-Run", "1")]))
                    continue
                method = line.split(" ")[0]
                self.runs.append((time.monotonic(), ident, line, body))
                self.system.record("run", self.name, ident, line, len(body))
                if self.answer is not None:
                    keep = await self.answer(self, reader, writer, line, values, body)
                    if keep is False:
                        break
                    continue
                await asyncio.sleep(self.work)
                extra = [("Server-Leaving", "1")] if self.leaving else []
                writer.write(frame("HTTP/1.1 200 OK", [("X-Request-Id", ident), ("X-Server-Stamp", self.stamp(ident))]
                                   + extra, b"" if method == "HEAD" else b"ran " + ident.encode()))
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError) as error:
            self.system.record("endpoint", self.name, "connection ends:", repr(error))
        except asyncio.CancelledError:
            pass  # The case has ended.
        finally:
            self.connections.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    def stamp(self, ident):
        return "%s.%s" % (self.name, ident)


def configuration(version, routes, services, tenants=None):
    columns = ["name", "host", "path-prefix", "kind", "timeout-ms", "target-latency-ms", "priority", "service",
               "max-attempts", "sticky", "allowed-regions", "traffic-split"]
    rows = [[r.get(c) for c in columns] for r in routes]
    content = {"version": "r%d" % version, "routes": {"columns": columns, "rows": rows},
               "services": {"columns": ["name", "health-path", "max-conns", "protocol", "tls", "cold-start-s",
                                        "cold-per-s"],
                            "rows": [[s, "/health", 390, "h1", False, 3.0, 2.7] for s in services]},
               "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000,
                          "idle-timeout-ms": 15000}}
    if tenants is not None:
        content["tenants"] = {"columns": ["name", "api-keys", "priority", "rate-per-s", "burst"], "rows": tenants}
    return json.dumps(content).encode()


def route(name, prefix, kind, service, host="shop.example", timeout=4000, aim=800, attempts=3, priority=0):
    return {"name": name, "host": host, "path-prefix": prefix, "kind": kind, "timeout-ms": timeout,
            "target-latency-ms": aim, "priority": priority, "service": service, "max-attempts": attempts,
            "sticky": False, "allowed-regions": []}


def run_case(main):
    """Runs the case and exits with its result; 2 if it fails or is told to stop, after its processes have ended."""
    async def guarded():
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        task = asyncio.ensure_future(main())
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await task
        except (Exception, asyncio.CancelledError) as error:
            print("the case could not run:", repr(error))
            return 2
    sys.exit(asyncio.run(guarded()))
