"""A control host loses its disk shortly after another one was replaced as
planned, by a successor that had been running for long."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common3"))
from bed import Bed, CannotRun, run_case  # noqa: E402

# Bounds of the small sites.
CATCH_UP_S = 4.0
RECOVERY_S = 12.0
CONTACT_S = 3.0


def case(bed, trouble):
    kept, hurt, removed, successor = bed.cores
    front = bed.fronts[0]
    bed.start_all(later=[successor])
    for name in ("w1", "w2", "w3"):
        bed.start_worker(name, slots=6, piece_ms=60)
    bed.put(bed.configuration([Bed.route("stock", "safe")], ["app"]))
    bed.await_serving(["/stock/x"])
    time.sleep(CATCH_UP_S)
    # The planned replacement: first the new machine, then the SIGTERM.
    bed.start(successor)
    time.sleep(2 * CATCH_UP_S)
    if bed.read_configuration(successor) != bed.version:
        raise CannotRun("the successor has not caught up")
    bed.terminate(removed)
    ended = time.monotonic()
    bed.put(bed.configuration([Bed.route("stock", "safe")], ["app"]))
    # The removed machine has been gone for longer than catch_up_s, too.
    time.sleep(ended + CATCH_UP_S + 0.3 - time.monotonic())
    if trouble:
        bed.lose_disk(hurt)
    running = [kept, hurt, successor]
    time.sleep(RECOVERY_S + CATCH_UP_S)
    # The operator reads back what was acknowledged, for well over contact_ms.
    versions, served, sent = [], 0, 0
    end = time.monotonic() + 5 * CONTACT_S
    while time.monotonic() < end:
        for ip in running:
            versions.append(bed.read_configuration(ip))
        sent += 1
        status = bed.request(front, "GET", "/stock/x", f"after-{sent}", 2000)[0]
        served += status == 200
        time.sleep(0.5)
    breaks = []
    if not any(version == bed.version for version in versions):
        breaks.append(f"LOST: configuration {bed.version} was acknowledged; "
                      f"none of {len(versions)} reads returned it")
    if served * 4 < sent:
        breaks.append(f"RECOVER: {served} of {sent} requests were served")
    change = bed.configuration([Bed.route("stock", "safe")], ["app"])
    try:
        bed.put(change, timeout_s=8)
    except CannotRun:
        breaks.append("a valid change is not acknowledged in 8 s")
    return breaks


run_case(FOLDER, case, fronts=1, cores=4)
