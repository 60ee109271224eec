"""Case 6: an endpoint that was out of reach leaves; its Leave is acknowledged, but a late heartbeat undoes it."""

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
    leaving = endpoints[0]
    if h.TROUBLE:
        leaving.beating = False
        record("endpoint %s: is out of reach of the control nodes" % leaving.id)
    time.sleep(OUT_OF_REACH_S)
    record("endpoint %s: is in reach" % leaving.id)
    leaving.beating = False
    # The last heartbeat before the Leave; it is late.
    late = leaving.announcement()
    left = leaving.leave()
    if left is None:
        raise h.CannotRun("the Leave was not acknowledged")
    time.sleep(LATE_S)
    leaving.announce(late)
    for thread in threads:
        thread.join()
    breaks = []
    bound = h.BOUNDS["drain-ms"] / 1000.0
    for ran, request in leaving.runs:
        if ran > left + bound and sent.get(request, 0.0) > left + bound:
            breaks.append("%s reached %s %.1f s after its Leave was acknowledged" % (request, leaving.id, ran - left))
    return breaks


sys.exit(h.play(FOLDER, case))
