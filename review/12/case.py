"""A service with keys leaves the configuration, the leader restarts, and the service comes back."""

import os
import random
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
RECORD = os.path.join(FOLDER, "record.txt")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-3"))
import lab as stand  # noqa: E402

MACHINES = {"controls": 3, "entries": 2}
HOST = "kiosk.example"
# Requests of a route of the large deployment: aim 6,000 ms, work 2,500 ms, deadline 25,000 ms.
SLOW = {"kind": "safe", "timeout": "12500ms", "target": "6000ms"}
BACK_AFTER = 3.9


def run(lab, trouble):
    record = lab.record
    logs = lambda service: stand.route("r-log", HOST, "/log/", service, **SLOW)
    look = stand.route("r-look", HOST, "/look/", "kiosk-core", kind="safe")
    both = [stand.service("kiosk-core"), stand.service("depot-desk", sharded=True)]
    if lab.order("replace", 0, stand.configuration(1, [logs("depot-desk"), look], both)) != 200:
        raise stand.CannotRun("the first configuration was refused")
    for n in range(6):
        stand.Instance(lab, f"k-{n}", "kiosk-core", lab.zones[n % 3], slots=24)
    depot = [stand.Instance(lab, f"d-{n}", "depot-desk", lab.zones[n % 3], sharded=True,
                            slots=12, work=2.5) for n in range(6)]
    lab.wait_ready()
    end = time.monotonic() + 20
    while sum(r[1] - r[0] + 1 for d in depot for r in d.rows) < 65536:
        if time.monotonic() > end:
            raise stand.CannotRun("the keys have no owners")
        time.sleep(0.1)
    time.sleep(2.0)
    key = lambda: random.randrange(65536)
    clients = stand.Clients(lab, HOST, "/log/1", method="GET", per_s=25, deadline=25.0, key=key)
    time.sleep(3.0)
    leader = lab.leader()
    removed = time.monotonic()
    if trouble:
        second = stand.configuration(2, [logs("kiosk-core"), look], both[:1])
        if lab.order("replace", 1, second) != 200:
            raise stand.CannotRun("the second configuration was refused")
        # Planned work: the control machine that leads is stopped and started again.
        lab.signal(leader, signal.SIGTERM)
        lab.processes[leader].wait(timeout=6)
        lab.start(leader)
    time.sleep(max(0.0, removed + BACK_AFTER - time.monotonic()))
    if trouble:
        third = stand.configuration(3, [logs("depot-desk"), look], both)
        if lab.order("replace", 2, third) != 200:
            raise stand.CannotRun("the third configuration was refused")
    time.sleep(4.0)
    if trouble and lab.leader() == leader:
        raise stand.CannotRun("the leader did not change")
    clients.ended.set()
    served = sum(1 for d in depot for _ in d.runs)
    print(f"{served} requests ran at instances with keys; {len(lab.broken)} times an instance took "
          f"a key on which another was at work under its hold")
    for at, number, taker, other in lab.broken[:5]:
        print(f"  key {number}: taken by {taker} {at - removed:.3f} s after the change, "
              f"at work at {other}")
    if served < 50:
        raise stand.CannotRun("hardly any request was served")
    return not lab.broken


stand.main(sys.modules[__name__], RECORD, TROUBLE)
