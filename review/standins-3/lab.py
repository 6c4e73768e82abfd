"""Stand-ins for the scripts of this review: platform, operator, instances and clients.

They follow PROTOCOL and DEPLOY. The programs of the project are started with the commands of the
deploy file, each machine on a loopback address of its own. Only the standard library is used.
"""

import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import uuid

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "agateyoke-platform")
BEAT = 0.87
DRAIN = 2.0
CONFIG_APPLY = 2.0


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{self.now():9.3f} {text}\n")

    def close(self):
        with self.lock:
            self.file.close()


def read_head(file):
    """Reads a message head; returns the first line and the headers, or None at the end."""
    first = file.readline(65536)
    if not first:
        return None
    headers = {}
    while True:
        line = file.readline(65536)
        if line in (b"\r\n", b""):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return first.decode("latin-1").rstrip("\r\n"), headers


def read_body(file, headers):
    """Reads a body with a length or in chunks; None if it is incomplete."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            line = file.readline(1024)
            if not line.endswith(b"\r\n"):
                return None
            size = int(line.split(b";")[0], 16)
            if size == 0:
                while file.readline(65536) not in (b"\r\n", b""):
                    pass
                return body
            part = file.read(size)
            if len(part) < size or file.read(2) != b"\r\n":
                return None
            body += part
    length = int(headers.get("content-length", "0"))
    body = file.read(length) if length else b""
    return body if len(body) == length else None


def http_call(address, head, body=b"", timeout=1.0, record_sent=None):
    """One call on a new connection; (status, headers, body), or None without a whole answer."""
    try:
        with socket.create_connection(address, timeout=timeout) as sock:
            sock.settimeout(timeout)
            text = f"{head}\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            sock.sendall(text.encode() + body)
            if record_sent:
                record_sent()
            with sock.makefile("rb") as file:
                answer = read_head(file)
                if not answer or len(answer[0].split()) < 2:
                    return None
                content = read_body(file, answer[1])
                if content is None:
                    return None
                return int(answer[0].split()[1]), answer[1], content
    except (OSError, ValueError):
        return None


class Lab:
    """Machines of a small deployment; ends all their processes when closed."""

    def __init__(self, record, controls=3, entries=2, zones=("za", "zb", "zc")):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun(f"{PROGRAM} is missing: build the deploy file first")
        self.record = Record(record)
        self.temp = tempfile.mkdtemp(prefix="agateyoke-review-")
        self.processes = {}
        self.settings = {}
        self.instances = []
        self.broken = []        # (time, key, taker, other) against OWNER
        self.overlaps = []      # (time, taker, other, first key, last key) that both hold
        self.closing = False
        self.zones = zones
        base = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.ip = lambda number: f"{base}.{number}"
        self.ports = self._free_ports([self.ip(n) for n in range(1, controls + entries + 1)])
        self.controls = [f"control-{n}" for n in range(1, controls + 1)]
        self.entries = [f"entry-{n}" for n in range(1, entries + 1)]
        self.ips = {name: self.ip(n + 1) for n, name in enumerate(self.controls + self.entries)}
        self.base = base
        for name in self.controls + self.entries:
            self.start(name, bootstrap=True)

    def _free_ports(self, ips):
        ports = []
        while len(ports) < 4:
            port = random.randint(21000, 31000)
            try:
                for ip in ips:
                    with socket.socket() as probe:
                        probe.bind((ip, port))
            except OSError:
                continue
            if port not in ports:
                ports.append(port)
        return ports

    def address(self, name, kind):
        return (self.ips[name], self.ports[("peer", "control", "frontend", "readiness").index(kind)])

    def start(self, name, bootstrap=False):
        """Starts the process of a machine, as the deploy file says, with its settings file."""
        text = lambda kind: "%s:%d" % self.address(name, kind)
        number = int(name.split("-")[1]) - 1
        settings = {
            "vm": name,
            "zone": self.zones[number % len(self.zones)],
            "peer": text("peer"),
            "seeds": ["%s:%d" % self.address(c, "control") for c in self.controls[:3]],
        }
        if name in self.controls:
            role = "control"
            settings.update({
                "control": text("control"),
                "founding": bootstrap,
                "data": os.path.join(self.temp, "data-" + name),
                "lease": "10000ms",
                "tolerance": {"vms": 1, "zones": 1},
            })
        else:
            role = "entry"
            settings.update({
                "callers": text("frontend"),
                "ready": text("readiness"),
                "retries": {"ratio": 0.2, "window": "10s", "extra": 56},
                "grace": "6s",
                "drain": "2000ms",
                "evacuation": None,
            })
        path = os.path.join(self.temp, name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        log = open(os.path.join(self.temp, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(
            [PROGRAM, role], cwd=ROOT, env={"AGATEYOKE_CONFIG": path, "PATH": os.environ["PATH"]},
            stdout=log, stderr=log)
        log.close()
        self.record.line(f"start {name}")

    def signal(self, name, number):
        self.processes[name].send_signal(number)
        self.record.line(f"signal {signal.Signals(number).name} to {name}")

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def leader(self):
        """The control machine whose log last says that it leads, by its output."""
        newest = None
        for name in self.controls:
            if self.processes[name].poll() is not None:
                continue
            with open(os.path.join(self.temp, name + ".log"), "rb") as file:
                for line in file.read().decode("utf-8", "replace").splitlines():
                    if "log.leads" in line and "term " in line:
                        term = int(line.split("term ")[1].split()[0].strip('"'))
                        newest = max(newest or (0, ""), (term, name))
        return newest and newest[1]

    def taken(self, taker, rows, had, now):
        """Judges OWNER where an instance takes key ranges: no other instance may be at work on
        one of the keys, before its hold would have run out, or hold it for over half a second."""
        for other in self.instances:
            if other is taker or other.service != taker.service or other.ended.is_set():
                continue
            with other.lock:
                at_work = {k: other.work_end[k] for k in other.working}
                other_rows, other_end = list(other.rows), other.hold_until
            for key, end in at_work.items():
                if end > now and not had(key) and any(a <= key <= b for a, b, _ in rows):
                    self.broken.append((now, key, taker.name, other.name))
                    self.record.line(f"BROKEN: {taker.name} takes key {key} while {other.name} is "
                                     f"at work on it, whose hold would end {end - now:.3f} s later")
            if other_end <= now:
                continue
            for a, b, fence in rows:
                for c, d, other_fence in other_rows:
                    if a <= d and c <= b:
                        self.overlaps.append((now, taker, other, max(a, c), min(b, d)))
                        self.record.line(f"{taker.name} takes {max(a, c)} to {min(b, d)} (fence "
                                         f"{fence}) that {other.name} holds (fence {other_fence}) "
                                         f"for {other_end - now:.3f} s more")

    def order(self, call, base, body, timeout=20.0, patience=1.0):
        """Sends an operator's order until it has a clear answer; returns the status."""
        data = json.dumps(body, separators=(",", ":")).encode()
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            for name in random.sample(self.controls, len(self.controls)):
                head = (f"POST /rpc?call=configuration.{call} HTTP/1.1\r\nHost: control\r\n"
                        f"Base-Version: {base:08x}\r\nContent-Type: application/json")
                answer = http_call(self.address(name, "control"), head, data, patience)
                status = answer[0] if answer else None
                self.record.line(f"operator {call} base={base} version={body.get('version')} "
                                 f"at {name}: {status}")
                if status in (200, 400, 409, 412, 413, 422):
                    return status
            time.sleep(0.1)
        raise CannotRun("the operator's order got no clear answer")

    def wait_ready(self, timeout=20.0):
        """Waits until all entry machines answer 200 to the platform's question."""
        end = time.monotonic() + timeout
        for name in self.entries:
            while True:
                answer = http_call(self.address(name, "readiness"),
                                   "GET /readiness HTTP/1.1\r\nHost: x")
                if answer and answer[0] == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRun(f"{name} is not ready")
                time.sleep(0.1)

    def close(self):
        self.closing = True
        for instance in self.instances:
            instance.stop()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)


class Instance:
    """An instance of a service: heartbeats, key ranges, health, requests, departure."""

    def __init__(self, lab, name, service, zone, sharded=False, slots=6, work=0.2, ip=None):
        self.lab, self.name, self.service, self.zone = lab, name, service, zone
        self.sharded, self.slots, self.work = sharded, slots, work
        self.born = int(time.time() * 1000)
        self.lock = threading.Lock()
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.runs = []          # (start, request id, key)
        self.drain_acked = None
        self.ended = threading.Event()
        self.beat_now = threading.Event()
        self.rows = []          # [from, to, fence] that are held until hold_until
        self.lingering = []     # rows that are left out, but still worked on
        self.work_end = {}      # key -> end of the hold under which work on it began
        self.hold_until = 0.0
        self.freed = []
        self.working = {}       # key -> number of requests at work
        self.connections = set()
        self.partitioned = False
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((ip or f"{lab.base}.{100 + len(lab.instances) % 100}", 0))
        self.listener.listen(256)
        self.address = self.listener.getsockname()
        lab.instances.append(self)
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    # Heartbeats.

    def _report(self, now):
        """Ranges that are held or still worked on; ranges whose work has ended are freed."""
        for row in list(self.lingering):
            if not any(row[0] <= k <= row[1] for k in self.working):
                self.lingering.remove(row)
                self.freed.append([row[0], row[1], uuid.uuid4().hex[:16]])
        rows = list(self.lingering)
        if now < self.hold_until:
            rows += self.rows
        else:
            # An expired range is not reported as freed, but while it is worked on as held.
            rows += [r for r in self.rows if any(r[0] <= k <= r[1] for k in self.working)]
        return sorted(rows)

    def _body(self):
        with self.lock:
            self.sequence += 1
            body = {
                "service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state,
                "warmupRemaining": "0ms", "sequence": self.sequence, "born": self.born,
            }
            if self.sharded:
                body["holds"] = self._report(time.monotonic())
                body["freed"] = list(self.freed)
            return json.dumps(body).encode()

    def _beat(self):
        # The operator's list of machines that serve control.
        targets = [self.lab.address(c, "control") for c in self.lab.controls]
        random.shuffle(targets)
        preferred = None
        # Instances start at different moments, and their intervals are approximate.
        self.ended.wait(random.uniform(0, BEAT))
        while not self.ended.is_set():
            started = time.monotonic()
            acked, again = False, False
            if not self.partitioned:
                order = ([preferred] if preferred else []) + targets
                for target in order:
                    state = self.state
                    sent = time.monotonic()
                    head = (f"POST /rpc?call=instances.heartbeat&of={self.name} HTTP/1.1\r\n"
                            "Host: control\r\nContent-Type: application/json")
                    answer = http_call(target, head, self._body(), 1.0)
                    if self.ended.is_set() or self.partitioned:
                        break
                    if answer and 200 <= answer[0] < 300 and len(answer[2]) <= 4096:
                        acked = True
                        again = self._take(answer[2], sent)
                        if state == "draining" and self.drain_acked is None:
                            self.drain_acked = time.monotonic()
                            self.lab.record.line(f"{self.name} draining acknowledged by "
                                                 "%s:%d" % target)
                        next_address = json.loads(answer[2] or b"{}").get("heartbeatAddress")
                        if next_address:
                            ip, port = next_address.rsplit(":", 1)
                            preferred = (ip, int(port))
                        break
                    preferred = None
                if not acked:
                    targets.append(targets.pop(0))
            pause = 0.1 if again else BEAT * random.uniform(0.95, 1.05) - (time.monotonic() - started)
            self.beat_now.wait(max(pause, 0.05))
            self.beat_now.clear()

    def _take(self, body, sent):
        """Takes the key ranges of an answer; true if some are left out."""
        answer = json.loads(body or b"{}")
        if not self.sharded or "holds" not in answer:
            return False
        now = time.monotonic()
        with self.lock:
            self.freed = []
            hold = float(answer["hold_time"].removesuffix("ms")) / 1000
            new = sorted([r[0], r[1], r[2]] for r in answer["holds"])
            old = self.rows if now < self.hold_until else []
            left = []
            for first, last, fence in old:
                at = first
                for c, d, _ in new:
                    if d < at or c > last:
                        continue
                    if c > at:
                        left.append([at, c - 1, fence])
                    at = d + 1
                if at <= last:
                    left.append([at, last, fence])
            for row in left:
                if any(row[0] <= k <= row[1] for k in self.working):
                    self.lingering.append(row)
                else:
                    self.freed.append([row[0], row[1], uuid.uuid4().hex[:16]])
            had = lambda k: any(a <= k <= b for a, b, _ in old)
            self.rows, self.hold_until = new, sent + hold
            for key in self.working:
                if any(a <= key <= b for a, b, _ in new):
                    self.work_end[key] = self.hold_until
        self.lab.taken(self, new, had, now)
        return bool(left)

    def holds_key(self, key):
        now = time.monotonic()
        return now < self.hold_until and any(a <= key <= b for a, b, _ in self.rows)

    # Requests.

    def _accept(self):
        while not self.ended.is_set():
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.connections.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with sock, sock.makefile("rb") as file:
                while not self.ended.is_set():
                    head = read_head(file)
                    if not head:
                        return
                    body = read_body(file, head[1])
                    if body is None or self.ended.is_set():
                        return
                    if not self._answer(sock, head[0], head[1], body):
                        return
        except (OSError, ValueError):
            pass
        finally:
            self.connections.discard(sock)

    def send(self, sock, status, request_id, extra="", body=b""):
        text = (f"HTTP/1.1 {status} X\r\nRequest-Id: {request_id}\r\n{extra}"
                f"Keep-Alive: timeout=10\r\nContent-Length: {len(body)}\r\n\r\n")
        sock.sendall(text.encode() + body)

    def _answer(self, sock, line, headers, body):
        method, path, _ = line.split(" ", 2)
        request_id = headers.get("request-id", "")
        if path == "/health":
            ready = self.state == "ready"
            self.send(sock, 200 if ready else 503, request_id, f"Instance-Id: {self.name}\r\n")
            return True
        if headers.get("expected-instance", self.name) != self.name:
            self.send(sock, 421, request_id, "Not-Executed: 1\r\n")
            return True
        key = int(headers["shard-key"]) if "shard-key" in headers else None
        if self.sharded and (key is None or not self.holds_key(key)):
            self.send(sock, 421, request_id, "Not-Executed: 1\r\n")
            return True
        with self.lock:
            if self.running >= self.slots:
                full = True
            else:
                full = False
                self.running += 1
                self.runs.append((time.monotonic(), request_id, key))
                self.working[key] = self.working.get(key, 0) + 1
                if self.sharded:
                    self.work_end[key] = self.hold_until
        if full:
            self.send(sock, 503, request_id, "Not-Executed: 1\r\n"
                      f"Instance-Load: {self.running},0,{self.slots}\r\n")
            return True
        self.lab.record.line(f"{self.name} runs {request_id} {method} {path}")
        done = time.monotonic() + self.work
        outlasted = False
        while time.monotonic() < done and not outlasted:
            time.sleep(max(0.0, min(0.02, done - time.monotonic())))
            outlasted = self.sharded and time.monotonic() > self.work_end[key]
        with self.lock:
            self.running -= 1
            self.working[key] -= 1
            if not self.working[key]:
                del self.working[key]
        if self.ended.is_set():
            return False
        # Work that outlasts its lease ends with 500.
        self.send(sock, 500 if outlasted else 200, request_id,
                  f"Server-Signature: {self.name}.{request_id}\r\n"
                  f"Instance-Load: {self.running},0,{self.slots}\r\n", request_id.encode())
        return True

    # Departure.

    def drain(self):
        """Reports draining; the time of the acknowledgement stands in drain_acked."""
        self.lab.record.line(f"{self.name} is to be emptied: reports draining")
        self.state = "draining"
        self.beat_now.set()

    def leave(self):
        head = f"POST /rpc?call=instances.leave&of={self.name} HTTP/1.1\r\nHost: control"
        body = json.dumps({"born": self.born}).encode()
        for name in self.lab.controls:
            answer = http_call(self.lab.address(name, "control"), head, body)
            if answer and answer[0] == 200:
                self.lab.record.line(f"{self.name} leaves, acknowledged")
                return

    def stop(self):
        """Ends the instance: its connections close."""
        self.ended.set()
        self.beat_now.set()
        try:
            self.listener.close()
        except OSError:
            pass
        for sock in list(self.connections):
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Clients:
    """Clients that send requests of one kind at a rate, each on a new connection."""

    def __init__(self, lab, host, path, method="POST", per_s=100, deadline=2.5, key=None):
        self.lab, self.host, self.path, self.method = lab, host, path, method
        self.deadline, self.key = deadline, key
        self.results = []       # (sent, request id, status or None, entry, answered)
        self.lock = threading.Lock()
        self.ended = threading.Event()
        self.threads = []
        self.pause = 1.0 / per_s
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        due = time.monotonic()
        while not self.ended.is_set():
            due += self.pause
            time.sleep(max(0.0, due - time.monotonic()))
            thread = threading.Thread(target=self._one, daemon=True)
            thread.start()
            self.threads.append(thread)

    def _one(self):
        entry = random.choice(self.lab.entries)
        request_id = uuid.uuid4().hex[:16]
        key = f"Shard-Key: {self.key()}\r\n" if self.key else ""
        head = (f"{self.method} {self.path} HTTP/1.1\r\nHost: {self.host}\r\n"
                f"Request-Id: {request_id}\r\n{key}"
                f"Deadline-Milliseconds: {int(self.deadline * 1000)}")
        sent = time.monotonic()
        answer = http_call(self.lab.address(entry, "frontend"), head, b"x" * 20,
                           self.deadline + 0.5)
        status = answer[0] if answer else None
        self.lab.record.line(f"client {request_id} at {entry}: {status} after "
                             f"{time.monotonic() - sent:.3f} s")
        with self.lock:
            self.results.append((sent, request_id, status, entry, time.monotonic()))

    def stop(self):
        self.ended.set()
        for thread in self.threads:
            thread.join(self.deadline + 2)


def columns(rows):
    """Encodes items as column names and rows."""
    names = sorted({name for row in rows for name in row})
    return {"columns": names, "rows": [[row.get(n) for n in names] for row in rows]}


LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms",
          "idleTimeout": "15000ms"}


def route(name, host, prefix, service, kind="unsafe", timeout="2500ms", target="600ms",
          priority=1, attempts=2):
    return {"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeout": timeout,
            "targetLatency": target, "priority": priority, "service": service,
            "maxAttempts": attempts, "trafficSplit": None}


def service(name, sharded=None):
    return {"name": name, "healthPath": "/health", "connectionLimit": 110, "protocol": "h1",
            "tls": False, "sharded": sharded, "warm": "3s" if sharded else None,
            "grants": "heartbeat" if sharded else None}


def configuration(version, routes, services):
    return {"version": f"{version:08x}", "routes": columns(routes), "services": columns(services),
            "limits": LIMITS}


def main(case, record, trouble):
    """Runs a case, which returns true if the rule held, and writes what was sent, answered and run to
    the file `record`. Exits with 0, 1 or 2."""
    lab = None

    def stop(_number, _frame):
        raise CannotRun("the script was stopped")

    signal.signal(signal.SIGTERM, stop)
    try:
        lab = Lab(record, **case.MACHINES)
        held = case.run(lab, trouble)
        code = 0 if held else 1
    except CannotRun as error:
        print("could not run:", error, file=sys.stderr)
        code = 2
    except Exception as error:  # A fault of the script says nothing about the rule.
        print("the script failed:", repr(error), file=sys.stderr)
        code = 2
    finally:
        if lab:
            lab.close()
    try:
        print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
        sys.stdout.flush()
    except OSError:  # Nobody reads the output.
        pass
    os._exit(code)
