"""A heartbeat from before a grant arrives late, at a leader that has just been elected.

Instance `i-x` joins seven others and is granted keys. Its first heartbeat, in which it holds nothing,
is held up on its way. `i-x` then leaves in the abrupt way: it says so first and goes on serving. The
leader is killed (only with trouble), the next one takes over, and the late heartbeat arrives.
"""

import json
import os
import socket
import time

from deployment import Deployment, Unable, run, wait_until
from instance import Instance, overlap

# What was sent, answered and run.
RECORD = os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")

# Without the disruption, the rule has to hold.
DISRUPTED = os.environ.get("TROUBLE", "1") != "0"

# The route of the page large/LATER.md with the aim of 6 s.
ROUTES = [
    ["logs", "desk.example", "/logs/", "safe", "12000ms", "6000ms", 2, "depot-desk", 2],
]
SERVICES = [["depot-desk", "/health", 110, "h1", False, True, "3000ms", "heartbeat"]]

# Longest time in which two instances may hold a key (rule OWNER).
BOUND_S = 0.5

# Instances beside the one that joins and leaves.
OTHERS = 7


def case(record):
    with Deployment(record, ["a", "b", "c"], ["a"]) as deployment:
        deployment.configure(ROUTES, SERVICES)
        others_in_service = [
            Instance(deployment, f"i-{n}", "depot-desk", "abc"[n % 3], sharded=True)
            for n in range(OTHERS)
        ]
        for instance in others_in_service:
            instance.start_beats()
        wait_until("keys", lambda: sum(i.key_count() for i in others_in_service) == 65536)
        beating = others_in_service[0]
        leader = next(m for m in deployment.controls if m.ip == beating.beat_at[0])
        others = [m for m in deployment.controls if m is not leader]
        record.line("leader", leader.name)

        # The first heartbeat of x is on its way to one of the others for some seconds.
        x = Instance(deployment, "i-x", "depot-desk", "b", sharded=True)
        held_up = HeldUp(record, x, others[0])
        time.sleep(1.0)
        x.start_beats()
        wait_until("keys at i-x", lambda: x.key_count() > 2000)
        sequence = x.sequence
        wait_until("one more heartbeat of i-x", lambda: x.sequence > sequence)
        time.sleep(0.1)
        x.beating = False
        if not x.leave(leader.address("control")):
            raise Unable("the leave was not acknowledged")
        time.sleep(0.3)
        if DISRUPTED:
            leader.kill()
            wait_until("heartbeats at a new leader", lambda: follows_other(beating, leader))
        else:
            time.sleep(2.0)
        held_up.deliver()
        wait_until("end of the lease of i-x", lambda: x.key_count() == 0)
        time.sleep(0.5)
        longest = 0.0
        for other in others_in_service:
            seconds, keys = overlap(x, other)
            if keys:
                first, last, fence, other_fence = keys
                record.line(
                    "overlap",
                    f"{seconds:.3f} s: keys {first} to {last} at i-x with fence {fence} and at "
                    f"{other.name} with fence {other_fence}",
                )
            longest = max(longest, seconds)
        record.line("judged", f"two instances held the same key for {longest:.3f} s at most")
        return longest <= BOUND_S


def follows_other(instance, leader):
    return instance.beat_at and instance.beat_at[0] != leader.ip


class HeldUp:
    """A heartbeat whose connection opens at once and whose bytes arrive late, as behind a proxy that
    delays them; the sender has given up after a second and reads no response."""

    def __init__(self, record, instance, machine):
        self.record, self.machine, self.since = record, machine, time.monotonic()
        beat = instance.beat_body()
        body = json.dumps(beat).encode()
        self.what = f"{instance.name} beat {beat['sequence']} holds {beat['holds']}"
        head = f"POST /rpc?call=instances.heartbeat&of={instance.name} HTTP/1.1\r\n"
        head += f"Host: {machine.ip}\r\nContent-Type: application/json\r\n"
        self.bytes = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        self.connection = socket.create_connection(machine.address("control"), timeout=2.0)
        record.line("late", f"{self.what} is held up on its way to {machine.name}")

    def deliver(self):
        age = time.monotonic() - self.since
        self.connection.sendall(self.bytes)
        self.connection.shutdown(socket.SHUT_WR)
        answer = self.connection.recv(64).split(b"\r\n")[0].decode()
        self.connection.close()
        text = f"{self.what} arrives at {self.machine.name} after {age:.2f} s"
        self.record.line("late", f"{text}; the unread response is {answer!r}")


run(RECORD, DISRUPTED, case)
