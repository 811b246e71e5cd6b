"""A sound server of streams as a process of its own.

Its answers have neither a length nor chunks and end with their connection, as
the pages allow. Arguments: service, IP, zone, record file, controls as IP:PORT.
"""
import asyncio
import sys
import time

import wire

EVENTS = 75
PAUSE_S = 0.03


def event(body, number):
    return f'id: {number}\ndata: {body}-{number}\n\n'.encode()


class StreamWorker(wire.Worker):
    async def serve(self, reader, writer):
        try:
            line, fields = await wire.read_head(reader)
            method, path, _ = line.split()
            body = await wire.read_body(reader, fields)
            request = {'id': fields.get('x-request-id', ''), 'path': path,
                       'method': method, 'fields': fields, 'body': body}
            sound = fields.get('x-expect-instance', self.id) == self.id
            if not sound or not path.startswith('/stream/'):
                writer.write(await self.respond(request))
                await writer.drain()
                return
            first = int(fields.get('last-event-id', '0')) + 1
            self.record(f"{self.id} runs {request['id']} from event {first}")
            writer.write((
                'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
                f"X-Request-Id: {request['id']}\r\n"
                f'X-Response-Stamp: {self.stamp(request)}\r\n'
                'Connection: close\r\n\r\n').encode())
            for number in range(first, EVENTS + 1):
                await asyncio.sleep(PAUSE_S)
                writer.write(event(body.decode(), number))
                await writer.drain()
            self.record(f"{self.id} has ended {request['id']}")
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def main():
    service, ip, zone, record_file = sys.argv[1:5]
    controls = [(a.rsplit(':', 1)[0], int(a.rsplit(':', 1)[1]))
                for a in sys.argv[5:]]

    def record(text):
        with open(record_file, 'a') as file:
            file.write(f'{time.strftime("%H:%M:%S")} {text}\n')

    worker = StreamWorker(service, ip, 0, zone, controls, record, slots=192)
    worker.id = f'i-{int(time.time() * 1000) % 10 ** 9:09d}'
    await worker.start()
    record(f'{worker.id} starts at {worker.address}')
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(main())
