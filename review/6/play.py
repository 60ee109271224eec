"""Case 6: endpoints that were out of reach leave; this is acknowledged, but late heartbeats undo it."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import harness_2 as h  # noqa: E402

# node_cut, how = servers: the endpoint is out of reach of the control nodes. The site file has up to 10 s.
OUT_OF_REACH_S = 8.0
# "A heartbeat may arrive seconds late."
LATE_S = 0.5
# It goes on serving for drain-ms "and a little longer (at times many seconds)".
SERVES_S = 7.0


def case(record, started):
    system = h.Deployment(record, core=5, fronts=4)
    started.append(system)
    system.start_all()
    system.order("POST", "/Config.Put", h.configuration(1))
    endpoints = [h.Endpoint(record, system, i, zone=zone) for i, zone in
                 enumerate(["hakata", "kokura"] * 4)]
    system.wait_until_ready()
    time.sleep(3.0)
    sent = {}
    lock = threading.Lock()
    stop_at = time.monotonic() + 2.0 + OUT_OF_REACH_S + LATE_S + SERVES_S

    def run_client(front, method, path, body):
        client = h.Client(record, (front[1], h.FRONT))
        while time.monotonic() < stop_at:
            request = h.new_request_id()
            with lock:
                sent[request] = time.monotonic()
            client.send(method, path, body, request=request)
            time.sleep(0.2)
        client.close()

    kinds = [("GET", "/status/1", b""), ("POST", "/order/1", b"lamp")]
    threads = [threading.Thread(target=run_client, args=(system.fronts[i % 4], *kinds[i // 4 % 2])) for i in range(16)]
    for thread in threads:
        thread.start()
    time.sleep(2.0)
    # One endpoint leaves as those that never report draining; another one drains.
    leaving, draining = endpoints[0], endpoints[1]
    while draining.running > 0:
        time.sleep(0.001)
    late_ready = draining.announcement(state="ready")
    draining.state = "draining"
    draining.answers_leaving = True
    drained = draining.announce()
    if h.TROUBLE:
        leaving.beating = draining.beating = False
        record("endpoints %s and %s: are out of reach of the control nodes" % (leaving.id, draining.id))
    time.sleep(OUT_OF_REACH_S)
    record("endpoints %s and %s: are in reach" % (leaving.id, draining.id))
    # The last heartbeat before the Leave; it is late, as is the one before the draining.
    leaving.beating = False
    late = leaving.announcement()
    left = leaving.leave()
    if left is None or drained is None:
        raise h.CannotRun("the Leave or the draining was not acknowledged")
    time.sleep(LATE_S)
    leaving.announce(late)
    draining.announce(late_ready)
    time.sleep(h.HEARTBEAT_MS / 2000.0)
    draining.beating = True
    for thread in threads:
        thread.join()
    breaks = []
    bound = h.BOUNDS["drain-ms"] / 1000.0
    for endpoint, acknowledged, what in ((leaving, left, "Leave"), (draining, drained, "draining")):
        for ran, request in endpoint.runs:
            if ran > acknowledged + bound and sent.get(request, 0.0) > acknowledged + bound:
                breaks.append("%s reached %s %.1f s after its %s was acknowledged" % (request, endpoint.id,
                                                                                     ran - acknowledged, what))
    return breaks


sys.exit(h.play(FOLDER, case))
