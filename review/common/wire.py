"""HTTP/1.1 clients and workers that follow PROTOCOL.md."""
import asyncio
import itertools
import json
import random
import sys
import time

NOW = time.monotonic


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


async def read_head(reader):
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def call(address, method, target, headers=None, body=b"", timeout=1.0):
    """Sends one request on a new connection; None if it got no whole answer."""
    ip, port = address.rsplit(":", 1)
    writer = None

    async def run():
        nonlocal writer
        reader, writer = await asyncio.open_connection(ip, int(port))
        head = f"{method} {target} HTTP/1.1\r\n"
        fields = {"Host": address, **(headers or {})}
        if body or method != "GET":
            fields["Content-Length"] = str(len(body))
        fields["Connection"] = "close"
        head += "".join(f"{k}: {v}\r\n" for k, v in fields.items())
        writer.write(head.encode("latin-1") + b"\r\n" + body)
        await writer.drain()
        line, got = await read_head(reader)
        return Answer(int(line.split()[1]), got, await read_body(reader, got))

    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError,
            asyncio.LimitOverrunError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Operator:
    """Sends configurations until a machine acknowledges them."""

    def __init__(self, controls):
        self.controls = controls

    async def put(self, config, patience=30):
        body = json.dumps(config).encode()
        end = NOW() + patience
        while NOW() < end:
            for address in random.sample(self.controls, len(self.controls)):
                answer = await call(address, "PUT", "/v1/config",
                                    {"Content-Type": "application/json"}, body)
                if answer is not None and answer.status == 200:
                    return NOW()
                if answer is not None and 400 <= answer.status < 500:
                    raise RuntimeError(f"refused: {answer.status} {answer.body!r}")
            await asyncio.sleep(0.2)
        raise RuntimeError("no acknowledgement of the configuration")


class Worker:
    """A worker of a plain service: sound unless a case overrides `handle`."""

    numbers = itertools.count(1)

    def __init__(self, record, controls, ip, service, work=0.06, slots=6, ident=None):
        self.record, self.controls = record, list(controls)
        self.ip, self.service, self.work, self.slots = ip, service, work, slots
        self.number = next(self.numbers)
        self.ident = ident or f"i-{random.getrandbits(40):010x}"
        self.state, self.seq, self.born = "ready", 0, int(time.time() * 1000)
        self.running, self.alive = 0, False
        self.node = random.randrange(len(self.controls))
        self.acks = []  # (time sent, time acknowledged, state, node)
        self.writers = set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.ip, port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.alive = True
        self.beating = asyncio.create_task(self.beat_all())

    async def stop(self):
        self.alive = False
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def announcement(self):
        self.seq += 1
        return {"service": self.service, "address": self.address, "zone": "zone-1",
                "version": "v1", "slots": self.slots, "state": self.state,
                "cold_left_ms": 0, "seq": self.seq, "born": self.born}

    async def beat(self):
        """One heartbeat: the next node is called if one doesn't acknowledge."""
        for _ in range(len(self.controls)):
            sent = NOW()
            state = self.state
            answer = await call(self.controls[self.node], "PUT",
                                f"/v1/instances/{self.ident}",
                                {"Content-Type": "application/json"},
                                json.dumps(self.announcement()).encode())
            if answer is not None and 200 <= answer.status < 300:
                self.acks.append((sent, NOW(), state, self.node))
                return True
            self.node = (self.node + 1) % len(self.controls)
        return False

    async def beat_all(self):
        while True:
            await self.beat()
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while self.alive:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                if not await self.handle(reader, writer, method, target, headers, body):
                    return
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reply(self, writer, status, headers, body):
        fields = {"Content-Length": str(len(body)), "Keep-Alive": "timeout=5", **headers}
        head = f"HTTP/1.1 {status} X\r\n"
        head += "".join(f"{k}: {v}\r\n" for k, v in fields.items())
        writer.write(head.encode() + b"\r\n" + body)

    def stamp(self, ident):
        return {"X-Request-Id": ident, "X-Response-Stamp": f"{self.ident}.{ident}"}

    async def handle(self, reader, writer, method, target, headers, body):
        """Answers one request; returns whether the connection stays open."""
        expected = headers.get("x-expect-instance")
        ident = headers.get("x-request-id", "")
        if expected is not None and expected != self.ident:
            self.reply(writer, 421, {"X-Not-Executed": "1", "X-Request-Id": ident}, b"")
            return True
        if target == "/health":
            self.reply(writer, 200 if self.state == "ready" else 503,
                       {"X-Instance-Id": self.ident}, b"")
            return True
        if target == "/v1/report":
            self.reply(writer, 200, {"Content-Type": "application/json"},
                       json.dumps({"stage": "both", "models": [], "busy": False, "seq": 0,
                                   "queued": 0, "running": self.running, "kv_used": 0,
                                   "kv_total": 0, "handles": 0}).encode())
            return True
        if self.running >= self.slots:
            self.reply(writer, 503, {"X-Not-Executed": "1", "X-Request-Id": ident}, b"")
            return True
        self.running += 1
        try:
            self.record.run(self, ident, method, target, body)
            await asyncio.sleep(self.work)
        finally:
            self.running -= 1
        self.reply(writer, 200, self.stamp(ident), self.answer(ident))
        return True

    @staticmethod
    def answer(ident):
        return (f"answer to {ident} " * 40)[:800].encode()


class Record:
    """What was sent, answered and run."""

    def __init__(self):
        self.start = NOW()
        self.lines = []
        self.sent, self.answers, self.runs = {}, {}, {}

    def note(self, line):
        self.lines.append((NOW() - self.start, line))

    def run(self, worker, ident, method, target, body):
        self.runs.setdefault(ident, []).append((NOW(), worker.ident))
        self.note(f"run {ident} at {worker.ident} ({worker.service})")

    def write(self, path):
        with open(path, "w") as file:
            for at, line in sorted(self.lines, key=lambda item: item[0]):
                file.write(f"{at:8.3f} {line}\n")


class Client:
    """Sends requests on new connections."""

    def __init__(self, record, fronts, host):
        self.record, self.fronts, self.host = record, fronts, host

    async def send(self, front, method, target, deadline=1.5, body=b"", key="key-1"):
        ident = f"{random.getrandbits(64):016x}"
        headers = {"Host": self.host, "X-Request-Id": ident,
                   "X-Deadline": str(int(deadline * 1000)),
                   "Authorization": f"Bearer {key}"}
        self.record.sent[ident] = (NOW(), front, method, target)
        self.record.note(f"sent {ident} {method} {target} to {front}")
        answer = await call(front, method, target, headers, body, deadline)
        status = answer.status if answer else 0
        self.record.answers[ident] = (NOW(), status)
        self.record.note(f"answered {ident} with {status or 'nothing'}")
        return ident, answer


def config(version, host, apps=("app",), keys=("key-1",)):
    routes = []
    for app in apps:
        for kind in ("safe", "unsafe"):
            routes.append({"name": f"r-{app}-{kind}", "host": host,
                           "path_prefix": f"/{app}/{kind}/", "kind": kind,
                           "timeout_ms": 1500, "target_latency_ms": 300, "priority": 1,
                           "service": app, "max_attempts": 2, "public": False})
    return {"version": version, "routes": routes,
            "services": [{"name": app, "health_path": "/health", "max_connections": 110,
                          "protocol": "h1", "tls": False} for app in apps],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "tenant-1", "api_keys": list(keys), "priority": 1}]}


async def await_serving(client, target, fronts, patience=30):
    """Waits until every entry machine serves; returns whether they do."""
    end = NOW() + patience
    left = list(fronts)
    while left and NOW() < end:
        _, answer = await client.send(left[0], "GET", target)
        if answer is not None and answer.status == 200:
            left.pop(0)
        else:
            await asyncio.sleep(0.1)
    return not left


def run_case(main):
    """Exits with the result of `main`, or with 2 if it fails to run."""
    try:
        code = asyncio.run(main())
    except Exception as error:  # noqa: BLE001
        print("the case couldn't run:", repr(error))
        code = 2
    sys.exit(code)
