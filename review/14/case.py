"""A worker that is cut off crashes behind the cut and starts again under its
former id, while its answers, which end with their connection, are on their
way."""
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common3"))
from bed import Bed, CannotRun, run_case  # noqa: E402
from worker import make_body  # noqa: E402

CUT_S = 3.0


def case(bed, trouble):
    bed.start_all()
    outer, inner = bed.start_relay("w1")
    # Each answer is written in ten pieces over two seconds.
    options = {"slots": 6, "pieces": 10, "piece_ms": 200, "framing": "close"}
    bed.start_worker("w1", address=outer, listen=inner, **options)
    bed.start_worker("w2", **options)
    bed.start_worker("w3", **options)
    bed.put(bed.configuration([Bed.route("stock", "safe"),
                               Bed.route("book", "unsafe")], ["app"]))
    bed.await_serving(["/stock/x"])
    time.sleep(3)
    results, threads = {}, []
    for number in range(15):
        kind = "book" if number % 4 >= 2 else "stock"
        name = f"{kind}-{number}"

        def send(name=name, kind=kind):
            method = "POST" if kind == "book" else "GET"
            results[name] = bed.request(bed.fronts[0], method, f"/{kind}/x",
                                        name, body=b"lorry"
                                        if kind == "book" else b"")

        thread = threading.Thread(target=send)
        thread.start()
        threads.append(thread)
        time.sleep(0.02)
    time.sleep(0.5)
    running = {event["id"] for event in bed.worker_log()
               if event["worker"] == "w1" and event["event"] == "begun"}
    running -= {event["id"] for event in bed.worker_log()
                if event["event"] == "ended"}
    if not running:
        raise CannotRun("the worker runs no request")
    bed.record(f"w1 runs {sorted(running)}")
    if trouble:
        bed.command_relay("w1", "cut")
        time.sleep(0.2)
        bed.kill_workers(["w1"])
        time.sleep(1)
        # Its heartbeats do not get through the cut either.
        bed.start_worker("w1", address=outer, listen=inner,
                         quiet_s=CUT_S - 1.2, **options)
        time.sleep(CUT_S - 1.2)
        bed.command_relay("w1", "heal")
    for thread in threads:
        thread.join()
    breaks = []
    for name, (status, complete, body, _) in sorted(results.items()):
        if status // 100 != 2 or not complete:
            continue
        if body != make_body(name):
            breaks.append(f"{name}: success {status}, framed as complete, "
                          f"with {len(body)} of {len(make_body(name))} bytes")
    return breaks


run_case(FOLDER, case, fronts=1, cores=3)
