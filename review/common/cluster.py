"""Processes of the project, started with the commands of the deploy file.

Renders deploy/settings.yaml.in for each process and runs the program on
loopback addresses. Uses the standard library only.
"""
import asyncio
import json
import os
import re
import shutil
import signal
import socket
import tempfile
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

BOUNDS = {  # of the small sites
    "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
    "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "rollback_slack_ms": 250, "max_skew_ms": 5000, "fail_closed": True,
    "revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10,
    "budget_slack": 200, "recovery_s": 12, "pass_ms": 120,
    "retry_after_s": 0, "stall_ms": 2000, "require_fencing": True,
    "ttl_max_s": 5,
}


def text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(text(item) for item in value)
    return str(value)


def look_up(name, scopes):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                value = None
            if value is None:
                break
        if value is not None:
            return value
    return None


SECTION = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)
PLACE = re.compile(r"\{\{([^}]+)\}\}")


def render(template, scopes, last=True):
    """Renders a template as DEPLOY.md describes it."""
    def section(match):
        kind, name, body = match.groups()
        value = look_up(name, scopes)
        if kind == "^":
            return render(body, scopes) if value in (None, False, []) else ""
        if value in (None, False):
            return ""
        if isinstance(value, list):
            return "".join(render(body, scopes + [item], index == len(value) - 1)
                           for index, item in enumerate(value))
        return render(body, scopes + ([value] if isinstance(value, dict) else []))

    def place(match):
        name = match.group(1)
        if name == ",":
            return "" if last else ","
        return text(look_up(name, scopes))

    return PLACE.sub(place, SECTION.sub(section, template))


def free_ports(count):
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Cluster:
    """Control and entry machines: one process each."""

    def __init__(self, fronts=3, controls=3):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.folder = tempfile.mkdtemp(prefix="foxquay-review-")
        (self.front, self.ready, self.control, self.directory, self.first,
         self.second, self.metrics) = free_ports(7)
        self.controls = [f"127.11.{i + 1}.1" for i in range(controls)]
        self.fronts = [f"127.12.{i + 1}.1" for i in range(fronts)]
        self.processes = {}
        self.started = set()
        self.exits = []

    def settings(self, ip):
        is_front = ip in self.fronts
        number = int(ip.split(".")[2])
        listen = {"directory": f"{ip}:{self.directory}"}
        if is_front:
            listen.update(front=f"{ip}:{self.front}", ready=f"{ip}:{self.ready}")
        else:
            listen.update(control=f"{ip}:{self.control}")
        fields = {
            "node_name": f"{'front' if is_front else 'core'}-{number}",
            "ip": ip, "zone": f"zone-{(number - 1) % 3 + 1}", "region": "region-1",
            "listen": listen, "internal_ports": [self.first, self.second],
            "seeds": [f"{c}:{self.control}" for c in self.controls],
            "bootstrap": ip not in self.started, "heartbeat_ms": 1200,
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
        }
        if not is_front:
            fields["data_dir"] = os.path.join(self.folder, "data-" + ip)
        return fields

    def role(self, ip):
        return self.roles["entry" if ip in self.fronts else "control"]

    async def start(self, ip):
        role = self.role(ip)
        with open(os.path.join(ROOT, role["template"])) as file:
            template = file.read()
        settings = render(template, [self.settings(ip)])
        # Every process has the loopback interface, so the metrics port is free.
        settings = settings.replace(":9464", f":{self.metrics}")
        path = os.path.join(self.folder, ip + ".yaml")
        with open(path, "w") as file:
            file.write(settings)
        if ip not in self.fronts:
            os.makedirs(os.path.join(self.folder, "data-" + ip), exist_ok=True)
        self.started.add(ip)
        words = role["run"].split()
        with open(os.path.join(self.folder, ip + ".log"), "ab") as log:
            process = await asyncio.create_subprocess_exec(
                os.path.join(ROOT, words[0]), *words[1:], cwd=ROOT,
                env={"FOXQUAY_CONFIG": path, "PATH": "/usr/bin:/bin", "LANG": "C.UTF-8"},
                stdout=log, stderr=log)
        self.processes[ip] = process
        return process

    async def start_all(self):
        for ip in self.controls + self.fronts:
            await self.start(ip)

    def signal(self, ip, number):
        process = self.processes.get(ip)
        if process is not None and process.returncode is None:
            process.send_signal(number)

    async def kill(self, ip):
        self.signal(ip, signal.SIGKILL)
        await self.processes[ip].wait()

    def running(self, ip):
        return self.processes[ip].returncode is None

    async def stop_all(self):
        for ip in list(self.processes):
            self.signal(ip, signal.SIGCONT)
            self.signal(ip, signal.SIGKILL)
        for process in self.processes.values():
            await process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def control_addresses(self):
        return [f"{ip}:{self.control}" for ip in self.controls]

    def front_addresses(self):
        return [f"{ip}:{self.front}" for ip in self.fronts]


def pack(data):
    return json.dumps(data).encode()
