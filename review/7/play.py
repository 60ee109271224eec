"""Case 7: hundreds of changes of a configuration with 1,400 more routes take the memory of the core."""

import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import harness_2 as h  # noqa: E402

# big_config: count = 1400 (site ajuste-mx-grown).
MORE_ROUTES = 1400 if h.TROUBLE else 0
# "A day may be long and may contain hundreds of changes." The gap is that of config_storm (site ajuste-mx).
CHANGES = 280
GAP_S = 0.33
REST_S = 10.0
# The settings: limits.memory-mb of a core machine and of the smallest front machine (site ajuste-mx-grown).
MEMORY_MB = {"core": 256, "front": 360}
# Rule Fault: "on half of the core, processes end by themselves three times".
ENDS = 3


def configuration(version):
    """Two routes and those that big_config adds; each version changes the weights of the splits and the timeouts."""
    routes = [("status", "/status/", "safe", 2500, 600, "booking"), ("order", "/order/", "unsafe", 3000, 800, "booking")]
    for i in range(MORE_ROUTES):
        weight = (version + i) % 50
        split = [{"service": "booking", "weight": 50 + weight}, {"service": "billing", "weight": 50 - weight}]
        routes.append(("r-%06x" % i, "/p%06x/" % i, "safe", 2000 + (version * 7 + i) % 900, 600, split))
    return h.configuration(version, services=("booking", "billing"), routes=routes)


def case(record, started):
    system = h.Deployment(record, core=5, fronts=2)
    started.append(system)
    system.start_all()
    version = 1
    system.order("POST", "/Config.Put", configuration(version))
    system.wait_until_ready()
    platform = h.Platform(record, system, MEMORY_MB)
    acknowledged = version
    for version in range(2, CHANGES + 2):
        began = time.monotonic()
        node = version % len(system.core)
        answer = h.call(system.controls()[node], "POST", "/Config.Put", configuration(version))
        record("operator: sends r%d to %s -> %s" % (version, system.core[node][0], answer[0] if answer else "no answer"))
        if answer is not None and answer[0] == 200:
            acknowledged = version
        if version % 20 == 0:
            record("platform: memory in MB: " + json.dumps({n: round(platform.memory_mb(n)) for n in platform.ends}))
        time.sleep(max(0.0, GAP_S - (time.monotonic() - began)))
    record("operator: sends no more changes")
    time.sleep(REST_S)
    for name, ip, _ in system.core:
        answer = h.call((ip, h.CONTROL), "GET", "/Config.Get")
        record("operator: reads at %s -> %s" % (name, answer[0] if answer else "no answer"))
    platform.stop()
    record("acknowledged last: r%d of r%d; ends by machine: %s; highest memory in MB: %s" % (
        acknowledged, version, platform.ends, {n: round(m) for n, m in platform.highest.items()}))
    over = [name for name, _, _ in system.core if platform.ends[name] >= ENDS]
    if 2 * len(over) < len(system.core):
        return []
    return ["%s ended by itself %d times" % (name, platform.ends[name]) for name in over]


sys.exit(h.play(FOLDER, case))
