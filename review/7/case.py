import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), 'common2'))
import plain  # noqa: E402
import wire  # noqa: E402


async def run(scene):
    book = wire.route('book', 'yard-app', 'unsafe')
    await scene.start([book], work_s=0.02)
    failed = {}

    def fail(worker, request):
        # Two answers of five; its health check stays good.
        worker.ran = getattr(worker, 'ran', 0) + 1
        if worker.ran % 5 not in (1, 3):
            return None
        status = 503 if worker.ran % 5 == 1 else 429
        failed[request['id']] = status
        scene.record(f"{worker.id} has run {request['id']} and answers {status} "
                     'without X-Not-Executed')
        return worker.reply(request, status, b'{"error": "failed"}')

    if scene.trouble:
        scene.workers[0].fault = fail
    statuses = {}
    for step in range(150):
        status, fields, data, request = await scene.send(f'/book/{step}')
        statuses[status] = statuses.get(status, 0) + 1
        ran = sum(w.runs.get(request, 0) for w in scene.workers)
        if ran > 1:
            scene.breaks(f'TWICE: {request} ran {ran} times')
        if status in (408, 421, 429, 503) and ran:
            scene.breaks(f'REFUSED: {request} was answered {status} and has run')
    scene.record(f'statuses {statuses}, {len(failed)} failures')
    print(f'statuses {statuses}, {len(failed)} failures')


plain.main(run, HERE)
