"""A small deployment on loopback, with stand-ins for the platform, the instances and the clients.

The programs are started as the deploy file says, each with settings in the form of the templates
in platform/settings. Every machine has a loopback address of its own and the same ports.
"""

import contextlib
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "agateyoke-platform")
LIMIT_S = 110.0

HELD, BROKEN, UNABLE = 0, 1, 2


class Unable(Exception):
    """The case could not run."""


class Record:
    """The file record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path, disrupted):
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")
        self.line("trouble", "on" if disrupted else "off")

    def line(self, kind, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.started:8.3f}  {kind:10} {text}\n")
            self.file.flush()


def call(address, method, path, headers=None, body=b"", timeout=1.0):
    """One request on a new connection; (status, headers, body), or None without an answer."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, answer.headers, answer.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def wait_until(what, poll, seconds=30.0, pause=0.02):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        value = poll()
        if value:
            return value
        time.sleep(pause)
    raise Unable(f"no {what} within {seconds} s")


class Machine:
    """One machine with one process of the deploy file."""

    def __init__(self, deployment, name, role, zone, ip, settings):
        self.deployment, self.name, self.role, self.zone, self.ip = deployment, name, role, zone, ip
        self.settings = settings
        self.process = None

    def address(self, port):
        return self.ip, self.deployment.ports[port]

    def start(self, bootstrap):
        if self.role == "control":
            self.settings["founding"] = bootstrap
        path = os.path.join(self.deployment.folder, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        log = open(os.path.join(self.deployment.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(
            [PROGRAM, self.role],
            cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "AGATEYOKE_CONFIG": path},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        self.deployment.record.line("start", f"{self.name} ({self.role}) at {self.ip}")

    def signal(self, number):
        self.deployment.record.line("signal", f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def log_text(self):
        path = os.path.join(self.deployment.folder, f"{self.name}.log")
        with open(path, encoding="utf-8", errors="replace") as file:
            return file.read()


class Deployment:
    """Control and entry machines in zones; ends all processes when left."""

    PORTS = ("peer", "control", "callers", "ready")

    def __init__(self, record, controls, entries, bounds=None):
        if not os.access(PROGRAM, os.X_OK):
            raise Unable(f"no program {os.path.relpath(PROGRAM, ROOT)}")
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        block = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        count = len(controls) + len(entries)
        self.instance_ip = f"{block}.{count + 1}"
        self.ports = dict(zip(self.PORTS, free_ports(block, count + 1, len(self.PORTS))))
        bounds = {"grace": "6s", "drain": "2000ms", "evacuation": "5000ms", **(bounds or {})}
        seeds = [f"{block}.{i + 1}:{self.ports['control']}" for i in range(min(3, len(controls)))]
        self.controls, self.entries = [], []
        for i, zone in enumerate(controls):
            ip = f"{block}.{i + 1}"
            name = f"core-{zone}-{i + 1}"
            settings = {
                "vm": name,
                "zone": zone,
                "peer": f"{ip}:{self.ports['peer']}",
                "control": f"{ip}:{self.ports['control']}",
                "seeds": seeds,
                "founding": True,
                "data": os.path.join(self.folder, f"data-{i + 1}"),
                "lease": "10000ms",
                "tolerance": {"vms": 1, "zones": 1},
            }
            self.controls.append(Machine(self, name, "control", zone, ip, settings))
        for i, zone in enumerate(entries):
            ip = f"{block}.{len(controls) + i + 1}"
            name = f"frontend-{zone}-{i + 1}"
            settings = {
                "vm": name,
                "zone": zone,
                "peer": f"{ip}:{self.ports['peer']}",
                "callers": f"{ip}:{self.ports['callers']}",
                "ready": f"{ip}:{self.ports['ready']}",
                "seeds": seeds,
                "retries": {"ratio": 0.2, "window": "10s", "extra": 56},
                **bounds,
            }
            self.entries.append(Machine(self, name, "entry", zone, ip, settings))

    def __enter__(self):
        for machine in self.controls + self.entries:
            machine.start(True)
        return self

    def __exit__(self, *_):
        for machine in self.controls + self.entries:
            if machine.process and machine.process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    machine.process.send_signal(signal.SIGCONT)
                    machine.process.kill()
                machine.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def order(self, name, headers=None, body=b"", first=None, timeout=1.0, seconds=30.0):
        """Sends an order of the operator to one daemon after the other until one acknowledges it."""
        machines = list(self.controls)
        if first is not None:
            machines = [first] + [m for m in machines if m is not first]
        pause, end = 0.05, time.monotonic() + seconds
        while time.monotonic() < end:
            for machine in machines:
                if machine.process.poll() is not None:
                    continue
                self.record.line("order", f"{name} to {machine.name}")
                answer = call(
                    machine.address("control"), "POST", f"/rpc?call={name}", headers, body, timeout
                )
                status = answer and answer[0]
                self.record.line("answer", f"{status} to {name} from {machine.name}")
                if status == 200:
                    return machine
                if status in (400, 409, 412, 413, 422):
                    raise Unable(f"{name} was refused: {answer[2]!r}")
            time.sleep(pause)
            pause = min(pause * 2, 0.4)
        raise Unable(f"{name} was not acknowledged")

    def configure(self, routes, services, version="00000003"):
        """Sends the first configuration."""
        route_columns = ["name", "host", "pathPrefix", "kind", "timeout", "targetLatency"]
        route_columns += ["priority", "service", "maxAttempts"]
        service_columns = ["name", "healthPath", "connectionLimit", "protocol", "tls", "sharded"]
        service_columns += ["warm", "grants"]
        body = {
            "version": version,
            "routes": {"columns": route_columns, "rows": routes},
            "services": {"columns": service_columns, "rows": services},
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeout": "3000ms",
                "idleTimeout": "15000ms",
            },
        }
        headers = {"Base-Version": "0", "Content-Type": "application/json"}
        self.order("configuration.replace", headers, json.dumps(body).encode())

    def wait_ready(self):
        for machine in self.entries:
            wait_until(
                f"readiness of {machine.name}",
                lambda m=machine: (call(m.address("ready"), "GET", "/readiness") or [0])[0] == 200,
            )


def free_ports(block, machines, count):
    """Ports that are free on the addresses of all machines."""
    ports = []
    while len(ports) < count:
        port = random.randint(20000, 32000)
        if port in ports:
            continue
        with contextlib.ExitStack() as stack:
            try:
                for i in range(machines):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        probe = stack.enter_context(socket.socket(socket.AF_INET, kind))
                        probe.bind((f"{block}.{i + 1}", port))
            except OSError:
                continue
        ports.append(port)
    return ports


def run(path, disrupted, case):
    """Runs `case(record)`, which returns whether the rule held; exits as the issue says.

    The record is written to the file `path`.
    """
    record = Record(path, disrupted)
    timer = threading.Timer(LIMIT_S, lambda: os.kill(os.getpid(), signal.SIGTERM))
    timer.daemon = True
    timer.start()

    def stop(*_):
        raise Unable("no time left")

    signal.signal(signal.SIGTERM, stop)
    try:
        held = case(record)
    except Unable as error:
        record.line("unable", str(error))
        print(f"could not run: {error}")
        sys.exit(UNABLE)
    except Exception as error:
        record.line("unable", f"{type(error).__name__}: {error}")
        traceback.print_exc()
        sys.exit(UNABLE)
    timer.cancel()
    record.line("result", "the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    sys.stdout.flush()
    os._exit(HELD if held else BROKEN)
