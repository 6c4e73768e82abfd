"""An instance drains while its service is not in the configuration, which is then rolled back."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
RECORD = os.path.join(FOLDER, "record.txt")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-3"))
import lab as stand  # noqa: E402

MACHINES = {"controls": 3, "entries": 2}
HOST = "kiosk.example"


def run(lab, trouble):
    record = lab.record
    open_locker = lambda service: stand.route("r-open", HOST, "/open/", service)
    lists = stand.route("r-list", HOST, "/list/", "depot-desk", kind="safe")
    both = [stand.service("kiosk-core"), stand.service("depot-desk")]
    first = stand.configuration(1, [open_locker("kiosk-core"), lists], both)
    if lab.order("replace", 0, first) != 200:
        raise stand.CannotRun("the first configuration was refused")
    kiosk = [stand.Instance(lab, f"k-{n}", "kiosk-core", lab.zones[n % 3]) for n in range(8)]
    depot = [stand.Instance(lab, f"d-{n}", "depot-desk", lab.zones[n % 3]) for n in range(6)]
    lab.wait_ready()
    time.sleep(2.5)
    clients = stand.Clients(lab, HOST, "/open/1", per_s=150)
    time.sleep(2.0)
    if trouble:
        # The route moves to the other service; the one that no route uses any more goes.
        second = stand.configuration(2, [open_locker("depot-desk"), lists], both[1:])
        if lab.order("replace", 1, second) != 200:
            raise stand.CannotRun("the second configuration was refused")
        time.sleep(stand.CONFIG_APPLY)
    leaving = kiosk[0]
    leaving.drain()
    end = time.monotonic() + 5
    while leaving.drain_acked is None:
        if time.monotonic() > end:
            raise stand.CannotRun("the draining was not acknowledged")
        time.sleep(0.01)
    acked = leaving.drain_acked
    # Later than `drain` after the acknowledgement, the operator takes the change back.
    time.sleep(stand.DRAIN + 1.0)
    if trouble:
        third = stand.configuration(3, [open_locker("kiosk-core"), lists], both)
        if lab.order("replace", 2, third) != 200:
            raise stand.CannotRun("the third configuration was refused")
    # The instance serves a little longer than `drain`, says that it leaves, and exits.
    time.sleep(0.4)
    leaving.leave()
    leaving.stop()
    time.sleep(2.0)
    clients.stop()
    late = [r for r in leaving.runs if r[0] > acked + stand.DRAIN]
    answers = {r[1]: r[2] for r in clients.results}
    lost = [r for r in late if answers.get(r[1]) != 200]
    for start, request_id, _ in late:
        record.line(f"BROKEN: {leaving.name} ran {request_id} {start - acked:.3f} s after the "
                    f"acknowledgement; the client got {answers.get(request_id)}")
    served = sum(1 for r in clients.results if r[2] == 200)
    print(f"{len(clients.results)} requests, {served} served; {len(late)} ran at the instance "
          f"later than {stand.DRAIN} s after it had the acknowledgement, {len(lost)} of them "
          "got no success")
    if served < len(clients.results) / 2:
        raise stand.CannotRun("less than half of the requests were served")
    return not late


stand.main(sys.modules[__name__], RECORD, TROUBLE)
