"""Equal requests of many clients, a crash of some endpoints, and the final fault. See claim.txt."""
import asyncio, os, sys, time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from harness_3 import *

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FINAL = TROUBLE or os.environ.get("FINAL") == "1"  # FINAL=1 TROUBLE=0: the final fault without the crash
ENDPOINTS = 27        # 9 in each zone, with 6 slots each
CRASHED = 4           # srv_crash: a share of 0.15 of a service's servers
WORK_S = 0.88         # the work of court-status on the users' sheet
RATE = 134            # requests a second, as on that sheet
CLIENTS = 30          # each with an address of its own
DEADLINE_MS = 4000
PATH = "/status/courts"


class Clients:
    """Front desks that poll the state of a court. Each request has its own id; a refused one comes back once."""
    def __init__(self, system):
        self.system, self.record, self.sent, self.tasks = system, system.record, [], set()
        self.number = 0

    async def attempt(self, client, path, left_ms):
        self.number += 1
        ident = "q%06d" % self.number
        front = self.system.fronts[self.number % len(self.system.fronts)]
        at = time.monotonic()
        self.record("sent", ident, "GET", path, "by", client, "to", front.name)
        try:
            status, fields, _ = await call(front.address("front"), "GET", path, [
                ("Host", "shop.example"), ("X-Request-Id", ident), ("X-Deadline-Ms", "%d" % left_ms)],
                timeout=left_ms / 1000, local=client)
        except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            status, fields = type(error).__name__, {}
        self.record("answered", ident, status, fields.get("x-plantainlatch-reason", ""), fields.get("retry-after", ""))
        self.sent.append((at, status == 200 and "x-server-stamp" in fields))
        return status, fields

    async def request(self, client, path):
        end = time.monotonic() + DEADLINE_MS / 1000
        status, fields = await self.attempt(client, path, DEADLINE_MS)
        if status == 200:
            return
        left = end - time.monotonic()
        wait = float(fields.get("retry-after", 0.1))
        await asyncio.sleep(max(0, min(wait, left / 3)))
        left = end - time.monotonic()
        if left > 0.1:
            await self.attempt(client, path, left * 1000)

    async def run(self):
        count = 0
        while True:
            client = "%s.%d" % (self.system.network, 20 + count % CLIENTS)
            task = asyncio.create_task(self.request(client, PATH))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            count += 1
            await asyncio.sleep(1 / RATE)

    def served(self, begin, end):
        judged = [ok for at, ok in self.sent if begin <= at < end]
        return len(judged), (sum(judged) / len(judged) if judged else 0.0)


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    system = System(record, cores=3, fronts=2)
    traffic = None
    try:
        await system.start()
        routes = [route("court-status", "/status/", "safe", "booking", timeout=DEADLINE_MS, aim=600, attempts=3)]
        status, _, _ = await system.order("POST", "/Config.Put", configuration(1, routes, ["booking"]), limit=15)
        zones = list(ZONES)
        for i in range(ENDPOINTS):
            endpoint = Endpoint(system, "e-%02d" % i, "booking", zones[i % 3], "%s.%d" % (system.network, 150 + i),
                                slots=6, work=WORK_S)
            await endpoint.begin()
        await asyncio.wait_for(asyncio.gather(*[e.acked.wait() for e in system.endpoints]), 15)
        if status != 200 or not await system.ready():
            print("the deployment did not start")
            return 2
        await asyncio.sleep(1)
        clients = Clients(system)
        traffic = asyncio.create_task(clients.run())
        began = time.monotonic()
        await asyncio.sleep(12)
        if TROUBLE:
            crashed = system.endpoints[:CRASHED]
            for endpoint in crashed:
                endpoint.crash()
        await asyncio.sleep(4)
        if TROUBLE:
            for endpoint in crashed:
                await endpoint.restart()
        await asyncio.sleep(1)
        status, _, _ = await system.order("POST", "/Config.Put", configuration(2, routes, ["booking"]))
        fault = time.monotonic()
        if FINAL:
            for machine in system.machines():
                machine.signal(signal.SIGKILL)
            for machine in system.machines():
                await machine.process.wait()
            await asyncio.sleep(0.7)
            for machine in system.machines():
                await machine.start()
        back = time.monotonic()
        recovery = system.bounds["recovery-s"]
        await asyncio.sleep(recovery + 12)
        traffic.cancel()
        await asyncio.sleep(DEADLINE_MS / 1000 + 0.2)
        before, share_before = clients.served(began, fault)
        after, share_after = clients.served(back + recovery, back + recovery + 12)
        result = "before the final fault %d requests, %.3f served; later than recovery-s after it %d, %.3f served" % (
            before, share_before, after, share_after)
        record(result)
        print(result)
        if share_before < 0.25 or after < 100 or not all(m.alive() for m in system.machines()):
            print("the case could not run")
            return 2
        return 1 if share_after < 0.25 else 0
    finally:
        if traffic:
            traffic.cancel()
        await system.close()


run_case(main)
