"""Clients that ask with HEAD on kept connections, while an owner of keys has crashed."""

import os
import random
import socket
import sys
import threading
import time
import uuid

FOLDER = os.path.dirname(os.path.abspath(__file__))
RECORD = os.path.join(FOLDER, "record.txt")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-3"))
import lab as stand  # noqa: E402

MACHINES = {"controls": 3, "entries": 2}
HOST = "depot.example"


class Asker(threading.Thread):
    """Sends HEAD requests one after the other on a kept connection, and judges what comes back."""

    def __init__(self, lab, entry):
        super().__init__(daemon=True)
        self.lab, self.entry = lab, entry
        self.ended = threading.Event()
        self.statuses = {}
        self.wrong = []

    def run(self):
        while not self.ended.is_set():
            try:
                with socket.create_connection(self.lab.address(self.entry, "frontend"), 2) as sock:
                    sock.settimeout(7)
                    with sock.makefile("rb") as file:
                        while not self.ended.is_set() and self.ask(sock, file):
                            time.sleep(random.uniform(0.02, 0.06))
            except OSError as error:
                self.lab.record.line(f"connection to {self.entry}: {error!r}")

    def ask(self, sock, file):
        request_id = uuid.uuid4().hex[:16]
        head = (f"HEAD /list/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
                f"Shard-Key: {random.randrange(65536)}\r\nDeadline-Milliseconds: 5000\r\n\r\n")
        sock.sendall(head.encode())
        # An answer to HEAD has no body, whatever length it names: the next answer follows its head.
        answer = stand.read_head(file)
        if not answer:
            return False
        line, headers = answer
        self.lab.record.line(f"client {request_id} at {self.entry}: {line!r}")
        if not line.startswith("HTTP/1.1 "):
            self.wrong.append((request_id, line))
            self.lab.record.line(f"BROKEN: {request_id} is answered with bytes that are no answer: "
                                 f"{line!r}")
            return False
        status = int(line.split()[1])
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if headers.get("request-id", request_id) != request_id:
            self.wrong.append((request_id, f"answer to {headers['request-id']}"))
            self.lab.record.line(f"BROKEN: {request_id} gets the answer to {headers['request-id']}")
            return False
        return headers.get("connection", "").lower() != "close"


class Depot(stand.Instance):
    """An instance whose answers to HEAD have the length of the body, but no body."""

    def send(self, sock, status, request_id, extra="", body=b""):
        text = (f"HTTP/1.1 {status} X\r\nRequest-Id: {request_id}\r\n{extra}"
                f"Keep-Alive: timeout=10\r\nContent-Length: {len(body)}\r\n\r\n")
        sock.sendall(text.encode())


def run(lab, trouble):
    lists = stand.route("r-list", HOST, "/list/", "depot-desk", kind="safe", timeout="2500ms",
                        target="1200ms")
    services = [stand.service("depot-desk", sharded=True)]
    if lab.order("replace", 0, stand.configuration(1, [lists], services)) != 200:
        raise stand.CannotRun("the configuration was refused")
    depot = [Depot(lab, f"d-{n}", "depot-desk", lab.zones[n % 3], sharded=True, slots=12, work=0.1)
             for n in range(8)]
    lab.wait_ready()
    end = time.monotonic() + 20
    while sum(r[1] - r[0] + 1 for d in depot for r in d.rows) < 65536:
        if time.monotonic() > end:
            raise stand.CannotRun("the keys have no owners")
        time.sleep(0.1)
    time.sleep(2.0)
    askers = [Asker(lab, lab.entries[n % 2]) for n in range(16)]
    for asker in askers:
        asker.start()
    time.sleep(5.0)
    if trouble:
        lab.record.line(f"{depot[0].name} crashes")
        depot[0].stop()
    time.sleep(10.0)
    for asker in askers:
        asker.ended.set()
    for asker in askers:
        asker.join(8)
    statuses = {}
    for asker in askers:
        for status, count in asker.statuses.items():
            statuses[status] = statuses.get(status, 0) + count
    wrong = [w for asker in askers for w in asker.wrong]
    print(f"answers by status: {statuses}; {len(wrong)} requests got bytes that are no answer")
    for request_id, line in wrong[:3]:
        print(f"  {request_id}: {line!r}")
    if statuses.get(200, 0) < 100:
        raise stand.CannotRun("hardly any request was served")
    return not wrong


stand.main(sys.modules[__name__], RECORD, TROUBLE)
