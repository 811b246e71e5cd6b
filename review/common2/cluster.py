"""Starts the project's programs as separate processes on loopback addresses.

The settings are rendered from deploy/settings.yaml.in, as the platform does.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

BOUNDS = {
    'seed_lag_s': 3, 'reuse_after_s': 2, 'contact_ms': 3000, 'ack_ms': 4000,
    'catch_up_s': 4, 'drain_ms': 2000, 'grace_s': 8, 'loss_slack_ms': 200,
    'config_apply_ms': 2000, 'rollback_slack_ms': 250, 'max_skew_ms': 5000,
    'fail_closed': True, 'revoke_ms': 5000, 'retry_budget_ratio': 0.2,
    'budget_window_s': 10, 'budget_slack': 200, 'recovery_s': 12,
    'pass_ms': 120, 'retry_after_s': 0, 'stall_ms': 2000,
    'require_fencing': True, 'ttl_max_s': 5}
HEARTBEAT_MS = 1200


def lookup(fields, scope, name):
    for table in ([scope] if isinstance(scope, dict) else []) + [fields]:
        value = table
        for part in name.split('.'):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list) and part.isdigit():
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = None
        if value is not None:
            return value
    return None


def render(template, fields, scope=None, last=True):
    """Renders the sections and values of a template, as DEPLOY.md tells."""
    def section(match):
        kind, name, body = match.group(1), match.group(2), match.group(3)
        value = lookup(fields, scope, name)
        if kind == '^':
            return '' if value else render(body, fields, scope)
        if not value:
            return ''
        if isinstance(value, list):
            return ''.join(render(body, fields, item, i + 1 == len(value))
                           for i, item in enumerate(value))
        return render(body, fields, value if isinstance(value, dict) else scope)

    text = re.sub(r'\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}', section, template,
                  flags=re.S)

    def value_of(match):
        name = match.group(1)
        if name == ',':
            return '' if last else ','
        value = scope if name == '.' else lookup(fields, scope, name)
        if value is None:
            return ''
        if isinstance(value, bool):
            return 'true' if value else 'false'
        return str(value)

    return re.sub(r'\{\{([\w.,]+)\}\}', value_of, text)


class Cluster:
    """Three core machines and some front machines in three zones."""

    def __init__(self, fronts=2):
        self.folder = tempfile.mkdtemp(prefix='foxquay-review-')
        with open(os.path.join(ROOT, 'deploy/system.toml'), 'rb') as file:
            self.deploy = tomllib.load(file)
        net = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        base = self.free_base(net)
        self.ports = {name: base + i for i, name in enumerate(
            ('front', 'ready', 'control', 'directory'))}
        self.internal = [base + 10, base + 25]
        self.zones = ['zone-a', 'zone-b', 'zone-c']
        self.machines = {}
        for i in range(3):
            self.add(f'core-{i + 1}', 'control', f'{net}.{i + 11}', i)
        for i in range(fronts):
            self.add(f'front-{i + 1}', 'entry', f'{net}.{i + 31}', i)
        self.net = net
        self.seeds = [f"{m['ip']}:{self.ports['control']}"
                      for m in self.machines.values() if m['role'] == 'control']
        self.processes = {}
        self.started = set()
        self.own_ends = []

    @staticmethod
    def free_base(net):
        for _ in range(200):
            base = random.randint(10000, 30000)
            try:
                for offset in list(range(4)) + [10, 11]:
                    with socket.socket() as probe:
                        probe.bind((f'{net}.11', base + offset))
                return base
            except OSError:
                continue
        raise RuntimeError('no free ports')

    def add(self, name, role, ip, index):
        self.machines[name] = {'role': role, 'ip': ip,
                               'zone': self.zones[index % 3]}

    def fields(self, name):
        machine = self.machines[name]
        serves = self.deploy['roles'][machine['role']]['serves']
        listen = {s: f"{machine['ip']}:{self.ports[s]}" for s in serves}
        if 'front' in serves:
            listen['ready'] = f"{machine['ip']}:{self.ports['ready']}"
        core = machine['role'] == 'control'
        fields = {
            'node_name': name, 'role': machine['role'], 'ip': machine['ip'],
            'zone': machine['zone'], 'region': 'region-1', 'listen': listen,
            'internal_ports': self.internal, 'seeds': self.seeds,
            'bootstrap': name not in self.started, 'counts_as_loss': core,
            'fault_tolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'heartbeat_ms': HEARTBEAT_MS, 'bounds': BOUNDS}
        if core:
            fields['data_dir'] = os.path.join(self.folder, name + '-data')
            os.makedirs(fields['data_dir'], exist_ok=True)
        return fields

    def start(self, name, env=None):
        role = self.deploy['roles'][self.machines[name]['role']]
        with open(os.path.join(ROOT, role['template'])) as file:
            text = render(file.read(), self.fields(name))
        path = os.path.join(self.folder, name + '.yaml')
        with open(path, 'w') as file:
            file.write(text)
        log = open(os.path.join(self.folder, name + '.log'), 'ab')
        self.processes[name] = subprocess.Popen(
            role['run'].split(), cwd=ROOT, stdout=log, stderr=log,
            env={'PATH': os.environ['PATH'], 'FOXQUAY_CONFIG': path})
        self.started.add(name)

    def start_all(self):
        for name in self.machines:
            self.start(name)

    def fronts(self):
        return [n for n, m in self.machines.items() if m['role'] == 'entry']

    def address(self, name, what):
        return (self.machines[name]['ip'], self.ports[what])

    def controls(self):
        return [self.address(n, 'control') for n, m in self.machines.items()
                if m['role'] == 'control']

    def stop(self):
        for name, process in self.processes.items():
            code = process.poll()
            if code is not None:
                self.own_ends.append((name, code))
                continue
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait()
        if not os.environ.get('KEEP'):
            shutil.rmtree(self.folder, ignore_errors=True)
