"""A configuration grows key by key until one version jams the log of the
control hosts."""
import json
import os
import re
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common3"))
from bed import Bed, CannotRun, run_case  # noqa: E402

# Bounds of the small sites.
ACK_S = 4.0
# Size of a change, with its source, from which the keys are added singly, and
# how many at most; a key takes 52 bytes.
BEGIN_BYTES = 1_047_300
MOST_KEYS = 40


def with_keys(bed, count):
    """A configuration with `count` keys of 20 characters, as in PROTOCOL.md's
    example, of tenants that have up to 250 each."""
    configuration = bed.configuration([Bed.route("stock", "safe")], ["app"])
    for begin in range(0, count, 250):
        keys = [f"k{number:019d}"
                for number in range(begin, min(begin + 250, count))]
        configuration["tenants"].append({"name": f"tenant-{begin:05d}",
                                         "api_keys": keys, "priority": 1})
    return configuration


def encoded_bytes(bed):
    """Returns the size of the configuration in force as the logs tell it."""
    pattern = re.compile(rf"event=fleet_applied version={bed.version} "
                         r"bytes=(\d+)")
    for ip in bed.cores:
        with open(os.path.join(bed.folder, ip + ".log"),
                  errors="replace") as log:
            found = pattern.findall(log.read())
        if found:
            return int(found[-1])
    raise CannotRun("no log tells the size of the configuration")


def acknowledged(bed, configuration, within_s):
    """Sends a change to all control hosts in turn until it is acknowledged;
    returns the time that it took, or None."""
    body = json.dumps(configuration)
    begin = time.monotonic()
    while time.monotonic() < begin + within_s:
        for ip in bed.cores:
            answer = bed.call_control(ip, "PUT", "/v1/config", body)
            if answer and answer[0] == 200:
                taken = time.monotonic() - begin
                bed.record(f"version {configuration['version']}, {len(body)} "
                           f"bytes, acknowledged by {ip} after {taken:.2f} s")
                return taken
            if answer and answer[0] != 503:
                raise CannotRun(f"refused with {answer[0]}")
        time.sleep(0.2)
    bed.record(f"version {configuration['version']}, {len(body)} bytes, not "
               f"acknowledged in {within_s} s")
    return None


def case(bed, trouble):
    bed.start_all()
    bed.start_worker("w1", slots=6)
    bed.put(bed.configuration([Bed.route("stock", "safe")], ["app"]))
    bed.await_serving(["/stock/x"])
    count = 19_000
    configuration = with_keys(bed, count)
    if acknowledged(bed, configuration, 3 * ACK_S) is None:
        raise CannotRun("a change that is far smaller isn't acknowledged")
    time.sleep(2)
    size = encoded_bytes(bed) + len(json.dumps(configuration))
    count += (BEGIN_BYTES - size) // 52
    if not trouble:
        count -= 1000  # The same growth, 52 kB below.
    for _ in range(MOST_KEYS):
        if acknowledged(bed, with_keys(bed, count), 3 * ACK_S) is None:
            break
        count += 1
    # What the operator does then: back to a small configuration.
    small = bed.configuration([Bed.route("stock", "safe")], ["app"])
    if acknowledged(bed, small, 5 * ACK_S) is None:
        alive = all(bed.processes[ip].poll() is None for ip in bed.cores)
        return [f"Acks: a valid change of {len(json.dumps(small))} bytes has no "
                f"acknowledgement after {5 * ACK_S:.0f} s; all control hosts "
                f"run: {alive}"]
    return []


run_case(FOLDER, case, fronts=1, cores=3)
