"""A slow route is removed and added again under its name, to a fast service with a short timeout."""

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
# The time-out of requests of 2,500 ms work in the large deployment, and of 160 ms work in the small one.
SLOW = {"kind": "safe", "timeout": "12500ms", "target": "6000ms"}
FAST = {"kind": "safe", "timeout": "1000ms", "target": "500ms"}


def run(lab, trouble):
    record = lab.record
    both = [stand.service("kiosk-core"), stand.service("depot-desk")]
    look = stand.route("r-look", HOST, "/look/", "kiosk-core", **FAST)
    slow = stand.route("r-log", HOST, "/log/", "depot-desk", **SLOW)
    fast = stand.route("r-log" if trouble else "r-log-2", HOST, "/log/", "kiosk-core", **FAST)
    if lab.order("replace", 0, stand.configuration(1, [look, slow], both)) != 200:
        raise stand.CannotRun("the first configuration was refused")
    for n in range(6):
        stand.Instance(lab, f"k-{n}", "kiosk-core", lab.zones[n % 3], work=0.16)
        stand.Instance(lab, f"d-{n}", "depot-desk", lab.zones[n % 3], slots=12, work=2.6)
    lab.wait_ready()
    time.sleep(2.5)
    first = stand.Clients(lab, HOST, "/look/1", method="GET", per_s=20, deadline=2.0)
    logs = stand.Clients(lab, HOST, "/log/1", method="GET", per_s=10, deadline=25.0)
    time.sleep(8.0)
    logs.stop()
    if lab.order("replace", 1, stand.configuration(2, [look], both)) != 200:
        raise stand.CannotRun("the second configuration was refused")
    time.sleep(stand.CONFIG_APPLY)
    if lab.order("replace", 2, stand.configuration(3, [look, fast], both)) != 200:
        raise stand.CannotRun("the third configuration was refused")
    # Steady state: longer than `contactWindow` without any change.
    time.sleep(5.0)
    since = time.monotonic()
    later = stand.Clients(lab, HOST, "/log/1", method="GET", per_s=20, deadline=2.0)
    time.sleep(15.0)
    later.stop()
    first.stop()
    share = lambda results: sum(1 for r in results if r[2] == 200) / max(1, len(results))
    on_first = [r for r in first.results if r[0] >= since]
    served, served_later = share(on_first), share(later.results)
    refused = sum(1 for r in later.results if r[2] == 503)
    record.line(f"first route: {served:.3f} of {len(on_first)} served; route added later: "
                f"{served_later:.3f} of {len(later.results)} served, {refused} answered 503")
    print(f"route added later: {served_later:.3f} of {len(later.results)} requests served, {refused} "
          f"answered 503; first route: {served:.3f} of {len(on_first)}")
    if len(later.results) < 20 or served < 0.5:
        raise stand.CannotRun("too few requests, or the first route isn't served either")
    return served_later >= served / 4


stand.main(sys.modules[__name__], RECORD, TROUBLE)
