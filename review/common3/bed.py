"""Starts the project's program as separate processes on loopback addresses,
with the command and the settings of the deploy file, and worker stand-ins.
"""
import http.client
import json
import os
import random
import resource
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
HOST = "review.example"
KEY = "key-of-the-tenant"
CANNOT_RUN = 2
TIME_LIMIT_S = 112


class CannotRun(Exception):
    pass


def free_port(ips):
    """Returns a port that is free at all the given addresses."""
    for _ in range(200):
        port = random.randint(20000, 31000)
        sockets = []
        try:
            for ip in ips:
                probe = socket.socket()
                sockets.append(probe)
                probe.bind((ip, port))
            return port
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
    raise CannotRun("no free port")


def command_of_deploy_file(role):
    """Returns the words of a role's `run` in deploy/system.toml."""
    section = None
    with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as file:
        for line in file:
            line = line.strip()
            if line.startswith("["):
                section = line.strip("[]")
            elif section == "roles." + role and line.startswith("run"):
                return shlex.split(line.split("=", 1)[1].strip().strip('"'))
    raise CannotRun("no command for role " + role)


class Bed:
    """A small deployment. `fronts` and `cores` are numbers of machines; the
    processes of fronts get `front_mib` of memory, if it is not 0."""

    def __init__(self, folder, fronts=2, cores=3, front_mib=0):
        self.front_mib = front_mib
        self.record_path = os.path.join(folder, "record.txt")
        self.record_file = open(self.record_path, "w", encoding="utf-8",
                                buffering=1)
        self.lock = threading.Lock()
        self.begin = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="foxquay-review-")
        base = f"127.{random.randint(40, 99)}"
        self.cores = [f"{base}.1.{n + 1}" for n in range(cores)]
        self.fronts = [f"{base}.2.{n + 1}" for n in range(fronts)]
        self.worker_net = f"{base}.3."
        every = self.cores + self.fronts
        self.ports = {}
        for name in ("control", "directory", "front", "ready", "peer",
                     "partner", "metrics"):
            self.ports[name] = self.unused_port(every)
        self.processes = {}
        self.workers = {}
        self.bootstrapped = set()
        self.version = 0

    def unused_port(self, ips):
        port = free_port(ips)
        while port in self.ports.values():
            port = free_port(ips)
        return port

    def record(self, text):
        with self.lock:
            at = time.monotonic() - self.begin
            self.record_file.write(f"{at:8.3f} {text}\n")

    # The project's processes.

    def settings(self, ip):
        """Returns the template of the deploy file, filled in for a machine."""
        front = ip in self.fronts
        ports = self.ports
        everywhere = self.cores + self.fronts
        zone = "zone-" + "abc"[everywhere.index(ip) % 3]
        boot = "false" if ip in self.bootstrapped else "true"
        lines = ["host:", f'  id: "{ip}"', f'  data_centre: "{zone}"',
                 '  region: "region"',
                 f"  roles: [{'entry' if front else 'control'}]"]
        if not front:
            lines.append(f'  data_folder: "{self.folder}/{ip}-data"')
        unused = f"{ip}:{ports['partner']}"
        lines += [
            "listeners:",
            f'  caller: "{ip}:{ports["front"]}"' if front
            else f'  caller: "{unused}"',
            f'  upstream: "{unused}"' if front
            else f'  upstream: "{ip}:{ports["control"]}"',
            '  admin: "127.0.0.1:1"',
            f'  peer: "{ip}:{ports["peer"]}"',
            f'  metrics: "{ip}:{ports["metrics"]}"']
        if front:
            lines += [f'  partner: "{unused}"',
                      f'  ready: "{ip}:{ports["ready"]}"']
        else:
            lines.append(f'  directory: "{ip}:{ports["directory"]}"')
        seeds = ", ".join(f'"{core}:{ports["control"]}"'
                          for core in self.cores[:3])
        lines += ["join:", f"  seeds: [{seeds}]", "  tolerated_losses: 1",
                  f"  bootstrap: {boot}",
                  "security:", "  cluster: foxquay", "  open: true",
                  "  upstream_networks: [0.0.0.0/0]",
                  "limits:", "  upstream_silence: 6s",
                  "  upstream_heartbeat: 1200ms", "  grace: 8s",
                  "  revocation: 5000ms", "  change_in_force: 2000ms",
                  "budget:", "  ratio: 0.2", "  window: 10s", "  slack: 200"]
        return "\n".join(lines) + "\n"

    def start(self, ip):
        path = os.path.join(self.folder, ip + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(ip))
        self.bootstrapped.add(ip)
        role = "entry" if ip in self.fronts else "control"
        words = command_of_deploy_file(role)
        words[0] = os.path.join(ROOT, words[0])
        if not os.path.exists(words[0]):
            raise CannotRun(words[0] + " is not built")
        log = open(os.path.join(self.folder, ip + ".log"), "a")
        limit = self.front_mib << 20 if ip in self.fronts else 0

        def limit_memory():
            if limit > 0:
                resource.setrlimit(resource.RLIMIT_DATA, (limit, limit))

        self.processes[ip] = subprocess.Popen(
            words, cwd=ROOT, stdout=log, stderr=log, preexec_fn=limit_memory,
            env={"PATH": os.environ.get("PATH", ""), "FOXQUAY_CONFIG": path})
        self.record(f"start {role} {ip}")

    def start_all(self, later=()):
        """Starts all machines but those that are added later."""
        self.bootstrapped.update(later)
        for ip in self.cores + self.fronts:
            if ip not in later:
                self.start(ip)

    def terminate(self, ip):
        """Stops a process in order; it is not started again."""
        self.signal(ip, signal.SIGTERM)
        status = self.processes[ip].wait(timeout=8)
        self.record(f"{ip} has ended with status {status}")

    def lose_disk(self, ip):
        """Kills a process, removes its data folder and starts it again at its
        address, as after the loss of its disk."""
        self.kill(ip)
        shutil.rmtree(f"{self.folder}/{ip}-data")
        self.record(f"{ip} has lost its disk")
        time.sleep(0.3)
        self.start(ip)

    def signal(self, ip, number):
        self.record(f"signal {signal.Signals(number).name} {ip}")
        self.processes[ip].send_signal(number)

    def kill(self, ip):
        self.signal(ip, signal.SIGKILL)
        self.processes[ip].wait()

    # Workers.

    def start_worker(self, name, service="app", address=None, identity=None,
                     **options):
        identity = identity or name
        if address is None:
            ip = self.worker_net + str(len(self.workers) + 1)
            address = f"{ip}:{free_port([ip])}"
        control = ",".join(f"{ip}:{self.ports['control']}" for ip in self.cores)
        words = [sys.executable, os.path.join(HERE, "worker.py"),
                 "--id", identity, "--address", address, "--service", service,
                 "--zone", "zone-" + "abc"[len(self.workers) % 3],
                 "--control", control,
                 "--log", os.path.join(self.folder, "workers.log")]
        for key, value in options.items():
            words += ["--" + key.replace("_", "-"), str(value)]
        log = open(os.path.join(self.folder, "worker-errors.log"), "a")
        process = subprocess.Popen(words, stdout=log, stderr=log)
        self.workers[name] = {"process": process, "address": address,
                              "options": options, "service": service}
        self.record(f"start worker {name} id {identity} at {address}")

    def kill_workers(self, names):
        """Crashes workers at the same moment."""
        self.record(f"crash (SIGKILL) of workers {' '.join(names)}")
        processes = [self.workers[name]["process"] for name in names]
        for process in processes:
            process.send_signal(signal.SIGKILL)
        for process in processes:
            process.wait()

    def worker_log(self):
        path = os.path.join(self.folder, "workers.log")
        if not os.path.exists(path):
            return []
        with open(path, encoding="utf-8") as file:
            return [json.loads(line) for line in file if line.endswith("\n")]

    # The operator.

    def configuration(self, routes, services):
        self.version += 1
        return {"version": self.version, "routes": routes,
                "services": [{"name": name, "health_path": "/health",
                              "max_connections": 110, "protocol": "h1",
                              "tls": False} for name in services],
                "limits": {"max_header_bytes": 16384,
                           "max_body_bytes": 4194304,
                           "header_timeout_ms": 3000,
                           "idle_timeout_ms": 15000},
                "tenants": [{"name": "tenant", "api_keys": [KEY],
                             "priority": 1}]}

    @staticmethod
    def route(name, kind, service="app", **more):
        route = {"name": name, "host": HOST, "path_prefix": f"/{name}/",
                 "kind": kind, "timeout_ms": 20000, "target_latency_ms": 300,
                 "priority": 1, "service": service, "max_attempts": 2,
                 "public": False, "sticky": False, "resumable": False,
                 "target_gap_ms": 200}
        route.update(more)
        return route

    def call_control(self, ip, method, path, body=None, timeout=1.0):
        """Returns status and body, or None if there was no response."""
        try:
            link = http.client.HTTPConnection(ip, self.ports["control"],
                                              timeout=timeout)
            link.request(method, path, body,
                         {"Content-Type": "application/json"} if body else {})
            response = link.getresponse()
            content = response.read()
            link.close()
            return response.status, content
        except (OSError, http.client.HTTPException):
            return None

    def read_configuration(self, ip):
        """Returns the version that a control host answers, or None."""
        answer = self.call_control(ip, "GET", "/v1/config", timeout=2.0)
        self.record(f"read of the configuration at {ip}: "
                    + ("no response" if answer is None else str(answer[0])))
        if answer is None or answer[0] != 200:
            return None
        return json.loads(answer[1])["version"]

    def put(self, configuration, timeout_s=20):
        body = json.dumps(configuration)
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            for ip in self.cores:
                answer = self.call_control(ip, "PUT", "/v1/config", body)
                if answer and answer[0] == 200:
                    self.record(f"configuration {configuration['version']} "
                                f"acknowledged by {ip}")
                    return ip
            time.sleep(0.2)
        raise CannotRun("the configuration was not acknowledged")

    # Clients.

    def request(self, front, method, path, request_id, deadline_ms=8000,
                body=b"", key=KEY, timeout=15.0, more=()):
        """Sends one request on a new connection and reads the answer as a
        sound client does. Returns (status, complete, body, fields)."""
        lines = [f"{method} {path} HTTP/1.1", "Host: " + HOST,
                 "X-Request-Id: " + request_id,
                 f"X-Deadline: {deadline_ms}", "Authorization: Bearer " + key]
        lines += more
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        try:
            link = socket.create_connection((front, self.ports["front"]), 1)
        except OSError as error:
            self.record(f"{request_id} no connection: {error}")
            return 0, False, b"", {}
        link.settimeout(timeout)
        self.record(f"{request_id} sent to {front}: {lines[0]}")
        try:
            link.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            response = http.client.HTTPResponse(link, method=method)
            response.begin()
            fields = {name.lower(): value
                      for name, value in response.getheaders()}
            try:
                content = response.read()
                complete = True
            except http.client.IncompleteRead as error:
                content, complete = error.partial, False
            result = response.status, complete, content, fields
        except (OSError, http.client.HTTPException) as error:
            self.record(f"{request_id} ended without an answer: {error!r}")
            return 0, False, b"", {}
        finally:
            link.close()
        self.record(f"{request_id} answered {result[0]} "
                    f"{'complete' if complete else 'BROKEN OFF'}, "
                    f"{len(content)} bytes, framed by "
                    + ("length" if "content-length" in fields else "chunks"))
        return result

    def peak_kib(self, ip):
        """Returns the peak of a process's resident memory."""
        with open(f"/proc/{self.processes[ip].pid}/status") as file:
            for line in file:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1])
        return 0

    def await_serving(self, paths, timeout_s=30):
        """Waits until each front serves a request on each path."""
        end = time.monotonic() + timeout_s
        count = 0
        for front in self.fronts:
            for path in paths:
                while True:
                    count += 1
                    status = self.request(front, "GET", path,
                                          f"warm-{count}", 5000)[0]
                    if status == 200:
                        break
                    if time.monotonic() > end:
                        raise CannotRun("the deployment does not serve")
                    time.sleep(0.3)

    def close(self):
        for ip, process in self.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for worker in self.workers.values():
            if worker["process"].poll() is None:
                worker["process"].send_signal(signal.SIGCONT)
                worker["process"].kill()
                worker["process"].wait()
        for event in self.worker_log():
            self.record("worker log: " + json.dumps(event))
        self.record_file.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Interrupted(BaseException):
    """The time limit or SIGTERM; no handler of a case catches it."""


def interrupt(number, frame):
    raise Interrupted(signal.Signals(number).name)


def run_case(folder, case, **options):
    """Runs case(bed, trouble) -> list of breaks; exits as the issue says."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    status = CANNOT_RUN
    bed = None
    signal.signal(signal.SIGALRM, interrupt)
    signal.signal(signal.SIGTERM, interrupt)
    signal.alarm(TIME_LIMIT_S)
    try:
        bed = Bed(folder, **options)
        breaks = case(bed, trouble)
        for text in breaks:
            bed.record("RULE BROKEN: " + text)
            print("RULE BROKEN:", text)
        bed.record(f"exit {1 if breaks else 0}, trouble {trouble}")
        status = 1 if breaks else 0
    except CannotRun as reason:
        print("could not run:", reason)
    except (Exception, Interrupted):
        # An exit code of 1 is kept for a broken rule.
        traceback.print_exc()
    finally:
        signal.alarm(0)
        if bed is not None:
            if status == CANNOT_RUN:
                bed.record("could not run")
            try:
                bed.close()
            except Exception:
                traceback.print_exc()
                status = CANNOT_RUN
    sys.exit(status)
