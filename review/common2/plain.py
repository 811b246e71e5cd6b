"""A small deployment with one plain service of three workers."""
import asyncio
import os
import random
import sys
import time

import cluster
import wire

KEY = 'k3xw0v9r2q'


class Scene:
    def __init__(self, folder, fronts=2):
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        path = os.path.join(folder, 'record.txt')
        open(path, 'w').close()
        self.file = open(path, 'a')
        self.begin = time.monotonic()
        self.cluster = cluster.Cluster(fronts)
        self.workers = []
        self.next_id = 0
        self.broken = []

    def record(self, text):
        self.file.write(f'{time.monotonic() - self.begin:8.3f} {text}\n')
        self.file.flush()

    def breaks(self, text):
        self.broken.append(text)
        self.record('BROKEN ' + text)

    async def start(self, routes, **options):
        """Starts everything, and returns once the service is served."""
        self.cluster.start_all()
        for index in range(3):
            ip = f'{self.cluster.net}.{51 + index}'
            worker = wire.Worker('yard-app', ip, 0, self.cluster.zones[index],
                                 self.cluster.controls(), self.record, **options)
            await worker.start()
            self.workers.append(worker)
        await wire.put_config(self.cluster.controls(), wire.make_config(
            1, ['yard-app'], routes, {'tenant-1': KEY}))
        path = f"{routes[0]['path_prefix']}warm"
        end = time.monotonic() + 30
        served = 0
        while served < 10:
            if time.monotonic() > end:
                raise RuntimeError('the service is not served')
            status = (await self.send(path, 'warm-up'))[0]
            served += status == 200
            await asyncio.sleep(0.1)

    async def send(self, path, note='', front=None, body=b'{}', timeout=4.0):
        """One attempt of a client; returns status, fields, body and its id."""
        self.next_id += 1
        request = f'{self.next_id:08x}{random.getrandbits(32):08x}'
        name = front or random.choice(self.cluster.fronts())
        self.record(f'{name} is sent {request} POST {path} {note}')
        try:
            status, fields, data = await wire.call(
                self.cluster.address(name, 'front'), 'POST', path, body, {
                    'Host': 'app.example', 'X-Request-Id': request,
                    'X-Deadline': '1500', 'Content-Type': 'application/json',
                    'Authorization': 'Bearer ' + KEY}, timeout)
        except (OSError, asyncio.IncompleteReadError) as error:
            status, fields, data = 0, {}, type(error).__name__.encode()
        except asyncio.TimeoutError:
            status, fields, data = -1, {}, b'no answer'
        self.record(f"client gets {status} for {request}, stamp "
                    f"{fields.get('x-response-stamp')}, {len(data)} bytes "
                    f'{data[:60]!r}')
        return status, fields, data, request


def main(run, folder, fronts=2):
    """Runs `run(scene)`; exits with 1 if a rule was broken, 0 if not, else 2."""
    scene = Scene(folder, fronts)
    code = 2
    try:
        asyncio.run(asyncio.wait_for(run(scene), 110))
        code = 1 if scene.broken else 0
    except Exception as error:  # pylint: disable=broad-except
        scene.record(f'the case could not run: {error!r}')
        print(f'the case could not run: {error!r}')
    finally:
        scene.cluster.stop()
        for name, status in scene.cluster.own_ends:
            scene.record(f'{name} had ended by itself with {status}')
        for line in scene.broken[:5]:
            print('BROKEN', line)
        print(f'{len(scene.broken)} breaks, exit {code}')
    sys.exit(code)
