#!/usr/bin/python3
"""Measures the cost of the control plane with real hosts on loopback; prints one JSON document.

Usage: bench/cluster/measure.py BUILD_FOLDER [--hosts 3,5,8,16,32,64] [--seconds 10]

For each number of hosts it starts that many foxquayd processes, three of them with a replica, and
samples processor time, resident memory and bytes sent to peers while no request runs. With 8 hosts
it also measures the time until a change is accepted and until it is in force, with all replicas and
with the leader killed, and the time until a new leader accepts a change.
"""

import argparse
import http.client
import json
import os
import pathlib
import shutil
import socket
import statistics
import subprocess
import sys
import tempfile
import time

DATA_CENTRES = ["welshpool", "osborne", "bassendean"]
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
REPLICAS = 3
START_SECONDS = 60


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


class Cluster:
    """Host processes on loopback; killed when the context ends."""

    def __init__(self, build, hosts):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="foxquay-bench-"))
        self.binary = pathlib.Path(build) / "src/foxquayd/foxquayd"
        ports = free_ports(4 * hosts)
        self.listeners = [ports[4 * host : 4 * host + 4] for host in range(hosts)]
        for name in ("key", "token"):
            path = self.folder / name
            path.write_text("0123456789abcdef\n")
            path.chmod(0o600)
        self.processes = []
        for host in range(hosts):
            self._write_settings(host, hosts)
            log = open(self.folder / f"{host}.log", "wb")
            self.processes.append(
                subprocess.Popen(
                    [self.binary, "--config", self.folder / f"{host}.yaml"], stderr=log
                )
            )

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()
        shutil.rmtree(self.folder)

    def _write_settings(self, host, hosts):
        def address(index, listener):
            return f'"127.0.0.1:{self.listeners[index][listener]}"'

        roles = "[entry, control]" if host < REPLICAS else "[entry]"
        lines = [
            f"host: {{id: h{host}, data_centre: {DATA_CENTRES[host % 3]}, region: perth, "
            f"roles: {roles}, data_folder: {self.folder}/data-{host}}}",
            f"listeners: {{caller: {address(host, 0)}, upstream: {address(host, 1)}, "
            f"admin: {address(host, 2)}, peer: {address(host, 3)}}}",
            "peers:",
        ]
        for other in range(hosts):
            if other == host:
                continue
            lines.append(
                f"  - {{id: h{other}, address: {address(other, 3)}, caller: {address(other, 0)}, "
                f"data_centre: {DATA_CENTRES[other % 3]}, region: perth, "
                f"control: {'true' if other < REPLICAS else 'false'}}}"
            )
        lines.append(
            f"security: {{cluster: bench, peer_key_file: {self.folder}/key, "
            f"operator_token_file: {self.folder}/token, upstream_networks: [127.0.0.0/8]}}"
        )
        (self.folder / f"{host}.yaml").write_text("\n".join(lines) + "\n")

    def admin(self, host, method, path, body=None):
        connection = http.client.HTTPConnection("127.0.0.1", self.listeners[host][2], timeout=15)
        try:
            connection.request(
                method,
                path,
                json.dumps(body) if body is not None else None,
                {"Authorization": "Bearer 0123456789abcdef"},
            )
            response = connection.getresponse()
            return response.status, json.loads(response.read())
        except OSError:
            return 0, {}
        finally:
            connection.close()

    def status(self, host):
        code, body = self.admin(host, "GET", "/admin/v1/status")
        return body if code == 200 else None

    def await_admitting(self):
        end = time.monotonic() + START_SECONDS
        waiting = set(range(len(self.processes)))
        while waiting:
            for host in list(waiting):
                status = self.status(host)
                if status and status["admitting"]:
                    waiting.discard(host)
            if time.monotonic() > end:
                sys.exit(f"hosts not admitting after {START_SECONDS} s: {sorted(waiting)}")
            time.sleep(0.05)

    def leader(self, host):
        status = self.status(host)
        name = status["leader"] if status else ""
        return int(name[1:]) if name else None

    def sample(self, host):
        pid = self.processes[host].pid
        fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
        ticks = int(fields[11]) + int(fields[12])
        memory = 0
        for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                memory = int(line.split()[1])
        status = self.status(host)
        return ticks / CLOCK_TICKS, memory, status["peer_bytes_sent"], status["peer_messages_sent"]


def idle_costs(build, hosts, seconds):
    """Returns the mean cost of an entry host, a follower and the leader while no request runs."""
    with Cluster(build, hosts) as cluster:
        cluster.await_admitting()
        time.sleep(2)
        leader = cluster.leader(0)
        before = [cluster.sample(host) for host in range(hosts)]
        started = time.monotonic()
        time.sleep(seconds)
        after = [cluster.sample(host) for host in range(hosts)]
        elapsed = time.monotonic() - started
    roles = {"leader": [leader]}
    roles["follower"] = [host for host in range(REPLICAS) if host != leader]
    roles["entry"] = list(range(REPLICAS, hosts))
    costs = {}
    for role, members in roles.items():
        if not members:
            continue

        def mean(select):
            return statistics.fmean(select(before[h], after[h]) for h in members)

        costs[role] = {
            "core_percent": round(mean(lambda b, a: (a[0] - b[0]) / elapsed * 100), 3),
            "resident_kb": round(mean(lambda b, a: a[1])),
            "bytes_per_second": round(mean(lambda b, a: (a[2] - b[2]) / elapsed)),
            "messages_per_second": round(mean(lambda b, a: (a[3] - b[3]) / elapsed), 1),
        }
    return costs


def quantiles(values):
    ordered = sorted(values)
    pick = lambda share: ordered[min(len(ordered) - 1, int(share * len(ordered)))]
    return {"p50_ms": round(pick(0.5), 1), "p99_ms": round(pick(0.99), 1), "count": len(ordered)}


def change_times(cluster, host, revision, count):
    accepted, in_force = [], []
    for number in range(count):
        body = {"value": 1000 + number, "author": "bench", "expected_revision": revision + number,
                "change_id": f"c-{revision}-{number}"}
        started = time.monotonic()
        if number % 2 == 0:
            code, _ = cluster.admin(host, "PUT", "/admin/v1/defaults/entry.ttl", body)
            accepted.append((time.monotonic() - started) * 1000)
        else:
            code, answer = cluster.admin(
                host, "PUT", "/admin/v1/defaults/entry.ttl?wait=in-force", body)
            in_force.append((time.monotonic() - started) * 1000)
            if not answer.get("in_force"):
                sys.exit(f"change accepted but not in force: {answer}")
        if code != 200:
            sys.exit(f"change not accepted: expected status 200, got {code}")
    return {"accepted": quantiles(accepted), "in_force": quantiles(in_force)}


def change_costs(build, hosts, count):
    with Cluster(build, hosts) as cluster:
        cluster.await_admitting()
        result = {"all_replicas": change_times(cluster, hosts - 1, 0, count)}
        leader = cluster.leader(hosts - 1)
        survivor = next(host for host in range(REPLICAS) if host != leader)
        cluster.processes[leader].kill()
        started = time.monotonic()
        while True:
            code, _ = cluster.admin(
                survivor, "PUT", "/admin/v1/defaults/entry.ttl",
                {"value": 1000, "author": "bench", "expected_revision": count,
                 "change_id": "failover"})
            if code == 200:
                break
            if time.monotonic() > started + START_SECONDS:
                sys.exit(f"no new leader accepted a change within {START_SECONDS} s: status {code}")
        result["failover_ms"] = round((time.monotonic() - started) * 1000)
        result["leader_killed"] = change_times(cluster, hosts - 1, count + 1, count)
    return result


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("--hosts", default="3,5,8,16,32,64")
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--changes", type=int, default=200)
    arguments = parser.parse_args()
    result = {"idle": {}}
    for hosts in [int(word) for word in arguments.hosts.split(",")]:
        result["idle"][hosts] = idle_costs(arguments.build, hosts, arguments.seconds)
        print(f"# {hosts} hosts done", file=sys.stderr)
    result["changes_with_8_hosts"] = change_costs(arguments.build, 8, arguments.changes)
    print(json.dumps(result, indent=2))


if __name__ == "__main__":
    main()
