"""HTTP of clients, the operator and servers, as PROTOCOL.md tells it."""
import asyncio
import itertools
import json
import time

HEARTBEAT_S = 1.2


async def read_head(reader):
    """Returns the first line and the fields, names in lower case."""
    text = await reader.readuntil(b'\r\n\r\n')
    lines = text.decode('latin-1').split('\r\n')
    fields = {}
    for line in lines[1:]:
        if ':' in line:
            name, value = line.split(':', 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields, until_end=False):
    if 'chunked' in fields.get('transfer-encoding', ''):
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b'\r\n', b''):
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    if 'content-length' in fields:
        return await reader.readexactly(int(fields['content-length']))
    return await reader.read() if until_end else b''


async def call(address, method, path, body=b'', fields=None, timeout=2.0):
    """One request on a new connection; returns status, fields and body."""
    async def run():
        reader, writer = await asyncio.open_connection(*address)
        try:
            head = f'{method} {path} HTTP/1.1\r\n'
            given = {'Host': f'{address[0]}:{address[1]}', **(fields or {})}
            for name, value in given.items():
                head += f'{name}: {value}\r\n'
            if body or method != 'GET':
                head += f'Content-Length: {len(body)}\r\n'
            writer.write(head.encode() + b'\r\n' + body)
            await writer.drain()
            line, got = await read_head(reader)
            data = await read_body(reader, got, True)
            return int(line.split()[1]), got, data
        finally:
            writer.close()
    return await asyncio.wait_for(run(), timeout)


async def put_config(controls, config, seconds=30):
    """Sends a configuration until it is acknowledged, as the operator does."""
    body = json.dumps(config).encode()
    end = time.monotonic() + seconds
    for address in itertools.cycle(controls):
        if time.monotonic() > end:
            raise RuntimeError('the configuration was not acknowledged')
        try:
            status, _, answer = await call(
                address, 'PUT', '/v1/config', body,
                {'Content-Type': 'application/json'}, 1.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status = 0
        if status == 200:
            return
        if status in (400, 409, 412, 413, 422):
            raise RuntimeError(f'configuration refused: {answer}')
        await asyncio.sleep(0.2)


class Worker:
    """A plain server that follows PROTOCOL.md.

    `answer(worker, request)` may be replaced to make it faulty; it returns the
    bytes to write, or None for the sound answer.
    """
    counter = itertools.count(1)

    def __init__(self, service, ip, port, zone, controls, record,
                 work_s=0.06, slots=6):
        self.id = f'i-{next(Worker.counter):06x}'
        self.service, self.zone = service, zone
        self.address, self.controls = (ip, port), controls
        self.record, self.work_s, self.slots = record, work_s, slots
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.running = 0
        self.fault = lambda worker, request: None
        self.runs = {}
        self.arrivals = 0

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, *self.address, limit=1 << 20)
        self.address = self.server.sockets[0].getsockname()[:2]
        self.beating = asyncio.create_task(self.beat())

    async def beat(self):
        targets = itertools.cycle(self.controls)
        target = next(targets)
        while True:
            self.seq += 1
            body = json.dumps({
                'service': self.service, 'seq': self.seq, 'born': self.born,
                'address': f'{self.address[0]}:{self.address[1]}',
                'zone': self.zone, 'version': 'v1', 'slots': self.slots,
                'state': 'ready', 'cold_left_ms': 0}).encode()
            for _ in self.controls:
                try:
                    status, _, _ = await call(
                        target, 'PUT', f'/v1/instances/{self.id}', body,
                        {'Content-Type': 'application/json'}, 1.0)
                except (OSError, asyncio.TimeoutError,
                        asyncio.IncompleteReadError):
                    status = 0
                if status // 100 == 2:
                    break
                target = next(targets)
            await asyncio.sleep(HEARTBEAT_S)

    def stamp(self, request):
        return f"{self.id}.{request['id']}"

    def reply(self, request, status, body, extra=None, stamped=True):
        head = f'HTTP/1.1 {status} X\r\n'
        fields = {'Content-Type': 'application/json', 'X-Request-Id': request['id'],
                  'Keep-Alive': 'timeout=10', 'Content-Length': len(body)}
        if stamped:
            fields['X-Response-Stamp'] = self.stamp(request)
        fields.update(extra or {})
        for name, value in fields.items():
            head += f'{name}: {value}\r\n'
        return head.encode() + b'\r\n' + body

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                method, path, _ = line.split()
                body = await read_body(reader, fields)
                request = {'id': fields.get('x-request-id', ''), 'path': path,
                           'method': method, 'fields': fields, 'body': body}
                answer = await self.respond(request)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def respond(self, request):
        expected = request['fields'].get('x-expect-instance')
        if expected and expected != self.id:
            return self.reply(request, 421, b'', {'X-Not-Executed': '1'}, False)
        if request['path'] == '/health':
            return (f'HTTP/1.1 200 OK\r\nX-Instance-Id: {self.id}\r\n'
                    'Content-Length: 0\r\n\r\n').encode()
        if request['path'] == '/v1/report':
            body = json.dumps({'models': [], 'busy': False, 'seq': 0,
                               'queued': 0, 'running': self.running}).encode()
            return self.reply(request, 200, body)
        if not request['id']:
            return self.reply(request, 400, b'', {'X-Not-Executed': '1'}, False)
        self.arrivals += 1
        if self.running >= self.slots:
            return self.reply(request, 503, b'', {'X-Not-Executed': '1'}, False)
        self.running += 1
        self.runs[request['id']] = self.runs.get(request['id'], 0) + 1
        self.record(f"{self.id} runs {request['id']} {request['path']}")
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        faulty = self.fault(self, request)
        if faulty is not None:
            return faulty
        return self.reply(request, 200, self.body(request))

    def body(self, request):
        return json.dumps({'server': self.id, 'ran': request['id'],
                           'pad': 'x' * 700}).encode()


def make_config(version, services, routes, tenants):
    return {
        'version': version,
        'routes': routes,
        'services': [{'name': s, 'health_path': '/health',
                      'max_connections': 110, 'protocol': 'h1', 'tls': False}
                     for s in services],
        'limits': {'max_header_bytes': 16384, 'max_body_bytes': 4194304,
                   'header_timeout_ms': 3000, 'idle_timeout_ms': 15000},
        'tenants': [{'name': t, 'api_keys': [k], 'priority': 1}
                    for t, k in tenants.items()]}


def route(name, service, kind, timeout_ms=1500, attempts=2):
    return {'name': name, 'host': 'app.example', 'path_prefix': f'/{name}/',
            'kind': kind, 'timeout_ms': timeout_ms, 'target_latency_ms': 300,
            'priority': 1, 'service': service, 'max_attempts': attempts,
            'public': False}
