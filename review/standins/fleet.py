"""Stand-ins for the cases: a small deployment, instances, an operator, clients.

All of it runs on loopback addresses, in one process, with the standard library
only. Instances follow PROTOCOL ("Instances", "Service discovery", "Keys that
instances hold"); the daemons are the project's own, started with the commands
of the deploy file.
"""

import asyncio
import json
import os
import random
import secrets
import signal
import socket
import subprocess
import tempfile
import time

REPO = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(REPO, "target", "release", "agateyoke-platform")
KEYS = 65536


class CannotRun(Exception):
    """The case could not be run; the script ends with 2."""


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:9.3f} {text}\n")
        self.file.flush()


def free_ports(ips, count):
    """Ports that are free on all addresses."""
    found = []
    while len(found) < count:
        port = random.randrange(20000, 32000)
        sockets = []
        try:
            for ip in ips:
                s = socket.socket()
                sockets.append(s)
                s.bind((ip, port))
            if port not in found:
                found.append(port)
        except OSError:
            pass
        finally:
            for s in sockets:
                s.close()
    return found


class Deployment:
    """Control and entry VMs, each with a loopback address of its own."""

    def __init__(self, record, controls=3, entries=2, extra=56, log_level="info"):
        self.record = record
        self.directory = tempfile.TemporaryDirectory(prefix="agateyoke-review-")
        self.control_ips = [f"127.0.1.{n + 1}" for n in range(controls)]
        self.entry_ips = [f"127.0.2.{n + 1}" for n in range(entries)]
        ips = self.control_ips + self.entry_ips
        self.peer, self.control, self.callers, self.ready = free_ports(ips, 4)
        self.extra = extra
        self.log_level = log_level
        self.processes = {}
        self.started = set()

    def control_addresses(self):
        return [f"{ip}:{self.control}" for ip in self.control_ips]

    def entry_addresses(self):
        return [f"{ip}:{self.callers}" for ip in self.entry_ips]

    def launch(self, ip):
        """Starts the daemon of a VM, as the deploy file does."""
        is_control = ip in self.control_ips
        name = "vm-" + ip.replace(".", "-")
        settings = {
            "vm": name,
            "zone": "z-1",
            "peer": f"{ip}:{self.peer}",
            "seeds": [f"{i}:{self.control}" for i in self.control_ips[:3]],
        }
        if is_control:
            settings |= {
                "control": f"{ip}:{self.control}",
                "founding": ip not in self.started,
                "data": os.path.join(self.directory.name, name),
                "lease": "10000ms",
            }
        else:
            settings |= {
                "callers": f"{ip}:{self.callers}",
                "ready": f"{ip}:{self.ready}",
                "retries": {"ratio": 0.2, "window": "10s", "extra": self.extra},
                "grace": "6s",
            }
        self.started.add(ip)
        path = os.path.join(self.directory.name, name + ".json")
        with open(path, "w") as file:
            json.dump(settings, file)
        log = open(os.path.join(self.directory.name, name + ".log"), "a")
        role = "control" if is_control else "entry"
        self.processes[ip] = subprocess.Popen(
            [PROGRAM, role],
            cwd=REPO,
            env={"AGATEYOKE_CONFIG": path, "PATH": os.environ.get("PATH", "")},
            stdout=log,
            stderr=log,
        )
        self.record(f"start {role} {ip}")

    def launch_all(self):
        if not os.path.exists(PROGRAM):
            raise CannotRun("the build of the deploy file has not been run")
        for ip in self.control_ips + self.entry_ips:
            self.launch(ip)

    def signal(self, ip, number):
        self.record(f"signal {signal.Signals(number).name} {ip}")
        self.processes[ip].send_signal(number)

    def log_of(self, ip):
        name = "vm-" + ip.replace(".", "-")
        with open(os.path.join(self.directory.name, name + ".log")) as file:
            return file.read()

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.directory.cleanup()


async def read_head(reader):
    """First line and headers (lower-case names); None at the end of the stream."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_end=False):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read(-1) if until_end else b""


async def http(address, method, path, headers, body=b"", timeout=1.0):
    """One request on a new connection: (status, headers, body, bytes received)."""
    ip, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            fields = {"Host": address, "Content-Length": len(body), "Connection": "close"}
            fields |= headers
            head = f"{method} {path} HTTP/1.1\r\n"
            head += "".join(f"{k}: {v}\r\n" for k, v in fields.items()) + "\r\n"
            writer.write(head.encode() + body)
            await writer.drain()
            answer = await read_head(reader)
            if answer is None:
                raise ConnectionError("closed without an answer")
            line, answer_headers = answer
            status = int(line.split(" ")[1])
            return status, answer_headers, await read_body(reader, answer_headers, True)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


class Instance:
    """A server: takes keys from the answers to its heartbeats and runs requests."""

    def __init__(self, record, controls, name, service, work=0.02, slots=6, sharded=True):
        self.record = record
        self.controls = controls
        self.name = name
        self.service = service
        self.work = work
        self.slots = slots
        self.sharded = sharded
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.held = []  # [from, to, fence], released once no work is left on them
        self.leaving = []  # the same, left out of the lease, work still going on
        self.freed = []
        self.expires = 0.0
        self.seen = [0] * KEYS
        self.running = {}  # key -> number of requests at work
        self.busy = 0
        self.waiting = 0
        self.next_beat = None
        self.up = False
        self.beat_sizes = []
        self.beats_failed = 0
        self.last_ack = None
        self.ran = []
        self.rows_held = 0
        self.tasks = []

    async def start(self):
        self.slot = asyncio.Semaphore(self.slots)
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.up = True
        self.tasks.append(asyncio.ensure_future(self.beat_forever()))
        self.record(f"instance {self.name} of {self.service} at {self.address}")

    def crash(self):
        """As SIGKILL on its machine: it says nothing more and its connections are reset."""
        self.record(f"crash of {self.name}")
        self.up = False
        self.server.close()
        for task in self.tasks:
            task.cancel()

    # Keys

    def expire(self):
        if (self.held or self.leaving) and time.monotonic() >= self.expires:
            self.record(f"{self.name}: its hold ran out")
            self.held, self.leaving = [], []

    def holds_key(self, key):
        self.expire()
        return any(f <= key <= t for f, t, _ in self.held)

    def finish_leaving(self):
        kept = []
        for f, t, fence in self.leaving:
            if any(f <= k <= t for k in self.running):
                kept.append([f, t, fence])
            else:
                self.freed.append([f, t, secrets.token_hex(8)])
        self.leaving = kept

    def take(self, rows, sent, hold_ms):
        """Holds what a lease names and lets go of all else."""
        new = []
        for f, t, fence, _handover in rows:
            if max(self.seen[f : t + 1]) > fence:
                self.record(f"{self.name}: row [{f},{t},{fence}] has an old fence")
                continue
            self.seen[f : t + 1] = [fence] * (t + 1 - f)
            new.append([f, t, fence])
        for f, t, fence in self.held:
            for a, b in without((f, t), [(r[0], r[1]) for r in new]):
                self.leaving.append([a, b, fence])
        self.held = new
        self.expires = sent + hold_ms / 1000
        self.finish_leaving()

    # Heartbeats

    def beat_body(self):
        self.sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": "z-1",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmupRemaining": "0ms",
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.sharded:
            self.expire()
            self.finish_leaving()
            body["holds"] = self.held + self.leaving
            body["freed"] = self.freed
        return body

    async def beat(self):
        """One heartbeat; true if it was acknowledged."""
        address = self.next_beat or random.choice(self.controls)
        body = self.beat_body()
        sent_freed = len(body.get("freed", []))
        sent = time.monotonic()
        path = f"/rpc?call=instances.heartbeat&of={self.name}"
        headers = {"Content-Type": "application/json"}
        try:
            status, _, answer = await http(address, "POST", path, headers, json.dumps(body).encode())
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            status, answer = None, b""
        acknowledged = status is not None and 200 <= status < 300 and len(answer) <= 4096
        self.beat_sizes.append(len(answer))
        if not acknowledged:
            self.beats_failed += 1
            self.record(f"{self.name}: beat to {address} failed: {status}, {len(answer)} bytes")
            self.next_beat = None
            return False
        self.last_ack = time.monotonic()
        self.freed = self.freed[sent_freed:]
        lease = json.loads(answer)
        self.next_beat = lease.get("heartbeatAddress") or self.next_beat
        if "holds" in lease:
            hold_ms = float(lease["hold_time"].removesuffix("ms"))
            self.rows_held = len(lease["holds"])
            self.take(lease["holds"], sent, hold_ms)
        return True

    async def beat_forever(self):
        await asyncio.sleep(random.random() * 0.5)
        while self.up:
            began = time.monotonic()
            acknowledged = await self.beat()
            pause = 0.870 - (time.monotonic() - began)
            if not acknowledged:
                pause = 0.05
            elif self.leaving or self.freed:
                pause = 0.1
            await asyncio.sleep(max(pause, 0.02))

    # Requests

    async def serve(self, reader, writer):
        connection = {}
        try:
            while self.up:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                method, path, _ = line.split(" ")
                body = await read_body(reader, headers)
                writer.write(self.extra_before(connection))
                answer = await self.answer(method, path, headers, body)
                if answer is None or not self.up:
                    writer.transport.abort()
                    return
                writer.write(answer)
                self.answered(connection, answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    def extra_before(self, connection):
        """Bytes that a faulty instance sends once a request has come in."""
        return b""

    def answered(self, connection, answer):
        """Called after each answer on a connection."""

    async def answer(self, method, path, headers, body):
        request = headers.get("request-id", "")
        key = int(headers["shard-key"]) if "shard-key" in headers else None

        def reply(status, extra, content=b""):
            text = f"HTTP/1.1 {status}\r\nRequest-Id: {request}\r\n{extra}"
            text += f"Instance-Load: {self.busy},{self.waiting},{self.slots}\r\n"
            return (text + f"Content-Length: {len(content)}\r\n\r\n").encode() + content

        if headers.get("expected-instance", self.name) != self.name:
            return reply("421 Misdirected Request", "Not-Executed: 1\r\n")
        if self.sharded and (key is None or not self.holds_key(key)):
            return reply("421 Misdirected Request", "Not-Executed: 1\r\n")
        if self.waiting >= 24:
            return reply("503 Service Unavailable", "Not-Executed: 1\r\n")
        self.waiting += 1
        await self.slot.acquire()
        self.waiting -= 1
        try:
            if self.sharded and not self.holds_key(key):
                return reply("421 Misdirected Request", "Not-Executed: 1\r\n")
            self.busy += 1
            self.running[key] = self.running.get(key, 0) + 1
            self.ran.append((time.monotonic(), request, method, path, key, body))
            self.on_run(request, key)
            await asyncio.sleep(self.work)
            self.busy -= 1
            self.running[key] -= 1
            if not self.running[key]:
                del self.running[key]
            content = f"{self.name} {request}".encode()
            return reply("200 OK", f"Server-Signature: {self.name}.{request}\r\n", content)
        finally:
            self.slot.release()

    def on_run(self, request, key):
        pass


def without(row, others):
    """The parts of a row that none of the others covers."""
    parts = [row]
    for f, t in others:
        rest = []
        for a, b in parts:
            if t < a or b < f:
                rest.append((a, b))
                continue
            if a < f:
                rest.append((a, f - 1))
            if t < b:
                rest.append((t + 1, b))
        parts = rest
    return parts


def configuration(version, routes, services):
    """Body of a whole configuration."""
    return {
        "version": f"{version:08x}",
        "routes": {
            "columns": ["name", "host", "pathPrefix", "kind", "timeout", "targetLatency",
                        "priority", "service", "maxAttempts", "trafficSplit"],
            "rows": routes,
        },
        "services": {
            "columns": ["name", "healthPath", "connectionLimit", "protocol", "tls", "sharded",
                        "warm", "grants"],
            "rows": services,
        },
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                   "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
    }


async def order(record, controls, call, base, body, tries=40):
    """An operator's order, sent again unchanged until it gets a clear answer."""
    data = json.dumps(body).encode() if not isinstance(body, bytes) else body
    for n in range(tries):
        address = controls[n % len(controls)]
        headers = {"Base-Version": f"{base:08x}" if base else "0",
                   "Content-Type": "application/json"}
        try:
            status, _, answer = await http(address, "POST", f"/rpc?call={call}", headers, data)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            status, answer = None, repr(error).encode()
        record(f"operator {call} base {base} to {address}: {status} {answer[:100]!r}")
        if status is not None and status < 500 and status not in (408, 429):
            return status, answer
        await asyncio.sleep(0.2 + 0.05 * n)
    raise CannotRun(f"no clear answer to {call}")
