"""An endpoint's leave is acknowledged after a kill of the core, and the endpoint goes on to get requests."""

import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins  # noqa: E402

DRAIN_S = standins.BOUNDS["drain-ms"] / 1000
CONTACT_S = standins.BOUNDS["contact-ms"] / 1000
# "All processes of the core may be killed at the same moment and be back within a second."
DOWN_S = 0.5
# The endpoint serves for drain-ms after the acknowledgement "and a little longer (at times many seconds)".
SERVES_S = 9.0


def play(record, trouble):
    deployment = standins.Deployment(record, 4, ["hakata", "kokura", "chuo-ku", "tenmonkan"])
    runs = []
    try:
        deployment.start()
        operator = standins.Operator(deployment)
        operator.put(standins.make_configuration(
            3, ["booking"], [("r-status", "/status/", "safe", 4000, 600, "booking", False)]))
        endpoints = [standins.Endpoint(deployment, "booking", zone) for zone in
                     ["hakata", "hakata", "kokura", "chuo-ku", "tenmonkan"]]
        for endpoint in endpoints:
            endpoint.on_run = lambda item, name, path: runs.append((record.now(), item.identity, name))
            endpoint.start()
        deployment.wait_ready()
        time.sleep(6)
        stop = threading.Event()

        def traffic(front):
            while not stop.is_set():
                standins.request(front, "/status/court", record=record)
                time.sleep(0.05)

        clients = [threading.Thread(target=traffic, args=(front,)) for front in deployment.fronts for _ in range(2)]
        for client in clients:
            client.start()
        time.sleep(2)
        back = record.now()
        if trouble:
            for core in deployment.cores:
                core.send_signal(signal.SIGKILL)
            for core in deployment.cores:
                core.process.wait()
            time.sleep(DOWN_S)
            for core in deployment.cores:
                core.start()
            back = record.now()
            record.write("all machines of the core are started again")
        time.sleep(0.2)
        leaving = endpoints[0]
        acknowledged = leaving.leave()
        if acknowledged is None:
            raise standins.NotRun("the leave is not acknowledged")
        begin = max(acknowledged + DRAIN_S, back + CONTACT_S)
        record.write("the leave of %s is acknowledged at %.3f; nothing may reach it from %.3f on"
                     % (leaving.identity, acknowledged, begin))
        while record.now() < acknowledged + SERVES_S:
            time.sleep(0.05)
        stop.set()
        for client in clients:
            client.join()
    finally:
        deployment.stop()
    late = [run for run in runs if run[0] > begin and run[1] == leaving.identity]
    elsewhere = [run for run in runs if run[0] > begin and run[1] != leaving.identity]
    if not elsewhere:
        raise standins.NotRun("no request ran at all")
    record.write("requests after the bound: %d at %s, %d elsewhere" % (len(late), leaving.identity, len(elsewhere)))
    return not late


standins.run_case(FOLDER, play)
