"""An answer to an earlier attempt is taken for the answer to the present one.

A request that an instance has rejected is sent to it again with the same
Request-Id, on the same connection. If the second copy of the rejection arrives
late, it is taken for the answer to the second sending, which runs.
"""

import asyncio
import os
import random
import secrets
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))

from fleet import (CannotRun, Deployment, Instance, KEYS, Record, configuration, http,  # noqa: E402
                   order)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
INSTANCES = 4
GARBLED = 2  # of the four: a share of 0.5; the limit is 0.6
EXTRA_SHARE = 0.03  # of the answers of a garbled instance
GARBLE_SECONDS = 5.0
SHED_SHARE = 0.55  # of the requests, at all instances
SHED_SECONDS = 8.5
WINDOWS = 4
PER_SECOND = 100
PROMISES = (408, 421, 429, 503)


class FaultyInstance(Instance):
    """Sheds requests and sends second answers while it is told to."""

    garbled = False
    shedding_until = 0.0
    extra_until = 0.0

    def answered(self, connection, answer):
        now = time.monotonic()
        if self.garbled and now < self.extra_until and random.random() < EXTRA_SHARE:
            connection["second"] = answer

    def extra_before(self, connection):
        second = connection.pop("second", b"")
        if second:
            self.record(f"{self.name} sends a second answer: {second[:60]!r}")
        return second

    async def answer(self, method, path, headers, body):
        if time.monotonic() < self.shedding_until and random.random() < SHED_SHARE:
            request = headers.get("request-id", "")
            self.record(f"{self.name} rejects {request}")
            return (
                f"HTTP/1.1 429 Too Many Requests\r\nRequest-Id: {request}\r\n"
                f"Not-Executed: 1\r\nInstance-Load: {self.busy},{self.waiting},{self.slots}\r\n"
                "Content-Length: 0\r\n\r\n"
            ).encode()
        return await super().answer(method, path, headers, body)

    def on_run(self, request, key):
        self.record(f"{self.name} runs {request} key {key}")


async def run(record):
    deployment = Deployment(record, controls=3, entries=2)
    answers = {}
    instances = []
    try:
        deployment.launch_all()
        await asyncio.sleep(1.5)
        controls = deployment.control_addresses()
        routes = [["r-open", "desk.example", "/open/", "unsafe", "1200ms", "600ms", 1, "desk", 2,
                   None]]
        services = [["desk", "/health", 110, "h1", False, True, "3s", "heartbeat"]]
        status, _ = await order(record, controls, "configuration.replace", 0,
                                configuration(1, routes, services))
        if status != 200:
            raise CannotRun("the configuration was refused")
        for n in range(INSTANCES):
            instance = FaultyInstance(record, controls, f"i-{n:04x}", "desk", work=0.04)
            instance.garbled = n < GARBLED
            instances.append(instance)
            await instance.start()
        deadline = time.monotonic() + 20
        while sum(t - f + 1 for i in instances for f, t, _ in i.held) < KEYS:
            if time.monotonic() > deadline:
                raise CannotRun("the instances were not given all keys")
            await asyncio.sleep(0.1)
        await asyncio.sleep(2)

        async def attempt(number, key):
            request = secrets.token_hex(8)
            address = random.choice(deployment.entry_addresses())
            headers = {"Host": "desk.example", "Request-Id": request, "Shard-Key": key,
                       "Deadline-Milliseconds": 2500}
            record(f"client sends {request} order {number} key {key}")
            try:
                status, fields, _ = await http(address, "POST", "/open/x", headers, b"locker", 4)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                status, fields = repr(error), {}
            own = "server-signature" not in fields
            answers[request] = (status, own)
            record(f"client gets {request} order {number} {status} own {own}")
            return status, float(fields.get("retry-after", 0.2))

        async def client(number):
            key = random.randrange(KEYS)
            status, wait = await attempt(number, key)
            if status in PROMISES:  # one retry, as the site's clients do
                await asyncio.sleep(min(wait, 0.8))
                await attempt(number, key)

        began = time.monotonic()
        number = 0
        tasks = []
        for window in range(WINDOWS):
            start = time.monotonic() + 1.0
            while time.monotonic() < start + SHED_SECONDS + 1.0:
                now = time.monotonic()
                if TROUBLE and now >= start and instances[0].shedding_until < start:
                    record("the instances begin to shed and to send second answers")
                    for instance in instances:
                        instance.shedding_until = start + SHED_SECONDS
                        instance.extra_until = start + GARBLE_SECONDS
                number += 1
                tasks.append(asyncio.ensure_future(client(number)))
                await asyncio.sleep(max(0, began + number / PER_SECOND - time.monotonic()))
        await asyncio.gather(*tasks)
        await asyncio.sleep(2)
    finally:
        deployment.close()
    runs = {}
    for instance in instances:
        for _, request, *_ in instance.ran:
            runs[request] = runs.get(request, 0) + 1
    broken = [r for r, (status, own) in answers.items() if own and status in PROMISES and r in runs]
    twice = [r for r, count in runs.items() if count > 1]
    served = sum(1 for status, _ in answers.values() if status == 200)
    summary = (f"{len(answers)} attempts, {served} served, {len(broken)} promised as not run "
               f"though run, {len(twice)} run twice")
    for request in broken:
        record(f"BROKEN: {request} was answered {answers[request][0]} and has run")
    record(summary)
    print(summary)
    if served < len(answers) / 4:
        raise CannotRun("too little was served to judge")
    return 1 if broken or twice else 0


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    try:
        return asyncio.run(run(record))
    except CannotRun as error:
        record(f"cannot run: {error}")
        print(f"cannot run: {error}")
        return 2


sys.exit(main())
