"""A frozen machine of the core executes an old order to end an evacuation after it wakes."""

import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins  # noqa: E402

ZONE = "kokura"
# The site file freezes a machine of the core for up to 7.6 s.
FREEZE_S = 7.0
# Between the end of the first evacuation and the order for the second one.
PAUSE_S = 2.5
# evacuation-ms and, as a core machine was frozen, max-stretch-ms (RULES.md, "Outer").
BOUND_S = (standins.BOUNDS["evacuation-ms"] + standins.BOUNDS["max-stretch-ms"]) / 1000
# contact-ms after the freeze the core is stable again and all running machines are in touch.
CONTACT_S = standins.BOUNDS["contact-ms"] / 1000
WATCH_S = 8.0


def play(record, trouble):
    deployment = standins.Deployment(record, 4, ["hakata", "kokura", "chuo-ku", "tenmonkan"])
    runs = []
    try:
        deployment.start()
        operator = standins.Operator(deployment)
        operator.put(standins.make_configuration(
            3, ["booking"], [("r-status", "/status/", "safe", 4000, 600, "booking", False)]))
        endpoints = [standins.Endpoint(deployment, "booking", zone) for zone in
                     ["hakata", "kokura", "kokura", "chuo-ku", "tenmonkan"]]
        for endpoint in endpoints:
            endpoint.on_run = lambda item, name, path: runs.append((record.now(), item.zone, name))
            endpoint.start()
        deployment.wait_ready()
        time.sleep(5)
        stop = threading.Event()

        def traffic(front):
            while not stop.is_set():
                standins.request(front, "/status/court", record=record)
                time.sleep(0.1)

        clients = [threading.Thread(target=traffic, args=(front,)) for front in deployment.fronts]
        for client in clients:
            client.start()
        if operator.order("POST", "/Evacuations.Start/" + ZONE) is None:
            raise standins.NotRun("the first evacuation is not acknowledged")
        time.sleep(3)
        frozen = deployment.cores[4]
        froze = record.now()
        if trouble:
            frozen.send_signal(signal.SIGSTOP)
        ended = operator.order("POST", "/Evacuations.End/" + ZONE, first=frozen)
        time.sleep(PAUSE_S)
        others = [core for core in deployment.cores if core is not frozen]
        started = operator.order("POST", "/Evacuations.Start/" + ZONE, first=others[0])
        if ended is None or started is None:
            raise standins.NotRun("an order is not acknowledged")
        time.sleep(max(0.0, froze + FREEZE_S - record.now()))
        if trouble:
            frozen.send_signal(signal.SIGCONT)
        woke = record.now()
        begin = max(started + BOUND_S, woke + CONTACT_S)
        record.write("the second evacuation is acknowledged at %.3f; nothing may run in %s from %.3f on"
                     % (started, ZONE, begin))
        while record.now() < begin + WATCH_S:
            time.sleep(0.1)
        stop.set()
        for client in clients:
            client.join()
    finally:
        deployment.stop()
    late = [run for run in runs if run[0] > begin and run[1] == ZONE]
    elsewhere = [run for run in runs if run[0] > begin and run[1] != ZONE]
    if not elsewhere:
        raise standins.NotRun("no request ran at all")
    record.write("requests after the bound: %d in %s, %d elsewhere" % (len(late), ZONE, len(elsewhere)))
    return not late


standins.run_case(FOLDER, play)
