import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), 'common2'))
import plain  # noqa: E402
import wire  # noqa: E402

# The site file has `garble` with share 0.6 of the servers and 0.03 of their
# answers. Here: one of three servers, one of 34 of its answers.


async def run(scene):
    book = wire.route('book', 'yard-app', 'unsafe')
    await scene.start([book], work_s=0.02)
    spoilt = {}

    def spoil(worker, request):
        # One of 33 answers, evenly, so that the dose is never exceeded.
        worker.ran = getattr(worker, 'ran', 0) + 1
        if worker.ran % 34 != 20:
            return None
        spoilt[request['id']] = worker.id
        scene.record(f"{worker.id} spoils its answer to {request['id']}")
        page = b'<html><body>It works!</body></html>'
        return (b'HTTP/1.1 200 OK\r\nContent-Type: text/html\r\n'
                b'Content-Length: %d\r\n\r\n' % len(page)) + page

    if scene.trouble:
        scene.workers[0].fault = spoil
    sent = 0
    for step in range(400):
        status, fields, data, request = await scene.send(f'/book/{step}')
        sent += 1
        if status // 100 != 2:
            continue
        if 'x-response-stamp' not in fields:
            scene.breaks(f'MIXED: client got {status} without a stamp for '
                         f'{request}, body {data[:40]!r}')
        elif request.encode() not in data:
            scene.breaks(f'MIXED: client got a foreign body for {request}')
    scene.record(f'{sent} requests, {len(spoilt)} answers spoilt')
    print(f'{sent} requests, {len(spoilt)} answers spoilt')


plain.main(run, HERE)
