"""A machine of the core freezes with an order of the operator unread, and wakes after later orders.

Zone `b` is evacuated, taken back and evacuated again. The order that takes it back goes first to a
machine that is frozen (only with trouble); after a second without a response the operator sends it
to another machine, which acknowledges it. The second evacuation is acknowledged as well. Then the
frozen machine wakes.
"""

import os
import signal
import threading
import time

from deployment import Deployment, call, run, wait_until
from instance import Instance

# What was sent, answered and run.
RECORD = os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")

# Without the disruption, the rule has to hold.
DISRUPTED = os.environ.get("TROUBLE", "1") != "0"

ROUTES = [
    ["avail", "cars.example", "/avail/", "safe", "2000ms", "800ms", 2, "fleet-lookup", 2],
    ["notes", "cars.example", "/notes/", "safe", "5000ms", "4000ms", 2, "station-notes", 2],
]
SERVICES = [
    ["fleet-lookup", "/health", 560, "h1", False, None, None, None],
    ["station-notes", "/health", 560, "h1", False, True, "5000ms", "heartbeat"],
]

# Bounds `evacuation` and `contactWindow` of the site.
EVACUATION_S, TOUCH_S = 5.0, 3.0

# How long requests are watched after the bound.
WATCHED_S = 4.0

ZONE = "b"


class Clients:
    """Sends requests one after the other."""

    def __init__(self, record, entry, number):
        self.record, self.entry, self.number, self.stopped = record, entry, number, False
        threading.Thread(target=self.work, daemon=True).start()

    def work(self):
        sent = 0
        while not self.stopped:
            sent += 1
            request_id = f"{self.number:08x}{sent:08x}"
            headers = {
                "Host": "cars.example",
                "Request-Id": request_id,
                "Deadline-Milliseconds": "2000",
            }
            answer = call(self.entry.address("callers"), "GET", "/avail/1", headers, timeout=2.5)
            status = answer and answer[0]
            self.record.line("client", f"{request_id} by {self.entry.name} -> {status}")
            time.sleep(0.02)


def case(record):
    with Deployment(record, ["a", "b", "c"], ["a", "b"]) as deployment:
        deployment.configure(ROUTES, SERVICES)
        instances = [Instance(deployment, f"i-{z}", "fleet-lookup", z) for z in "ab"]
        # The responses to the heartbeats of an instance that holds keys name the leader.
        notes = Instance(deployment, "i-notes", "station-notes", "c", sharded=True)
        for instance in [*instances, notes]:
            instance.start_beats()
        evacuated = instances[1]
        deployment.wait_ready()
        clients = [Clients(record, entry, n) for n, entry in enumerate(deployment.entries)]
        for instance in instances:
            wait_until(f"requests at {instance.name}", lambda i=instance: runs_since(i, 0.0))
        wait_until("keys at i-notes", lambda: notes.key_count() == 65536)
        leader = next(m for m in deployment.controls if m.ip == notes.beat_at[0])
        record.line("leader", leader.name)
        frozen, working = [m for m in deployment.controls if m is not leader]

        start, finish = f"evacuation.start&of={ZONE}", f"evacuation.finish&of={ZONE}"
        deployment.order(start, first=working)
        time.sleep(3.0)
        if DISRUPTED:
            frozen.signal(signal.SIGSTOP)
            time.sleep(0.2)
        deployment.order(finish, first=frozen)
        time.sleep(1.0)
        deployment.order(start, first=working)
        acknowledged = time.monotonic()
        time.sleep(1.0)
        if DISRUPTED:
            frozen.signal(signal.SIGCONT)
        woken = time.monotonic()
        # All machines are in touch `contactWindow` after the machine woke.
        judged = max(acknowledged + EVACUATION_S, woken + TOUCH_S)
        time.sleep(judged + WATCHED_S - time.monotonic())
        for client in clients:
            client.stopped = True
        late = runs_since(evacuated, judged)
        record.line("judged", f"{late} requests reached zone {ZONE} from {judged - record.started:.3f} s on")
        others = runs_since(instances[0], judged)
        record.line("judged", f"{others} requests reached the other zone meanwhile")
        return late == 0


def runs_since(instance, since):
    with instance.lock:
        return sum(1 for run_at, *_ in instance.runs if run_at >= since)


run(RECORD, DISRUPTED, case)
