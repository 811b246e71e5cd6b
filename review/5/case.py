"""A prompt part crashes each worker that runs it, in the middle of its stream."""
import asyncio
import os
import random

from cluster import Cluster
from model import ModelWorker, model_config
from wire import NOW, Operator, Record, call, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "desk.example"
CONTACT = 3.0  # contact_ms
POISON = "5a3e0bad"
CRASH_AFTER = 0.1  # of running: two events
DOWN = 3.0  # a worker that crashed is back after some seconds
WORKERS = 12
WATCH = 30.0


class CrashingWorker(ModelWorker):
    """Ends when it has run a stream with the poisonous part for a while."""

    on_crash = None

    def progress(self, headers, begun):
        poisonous = POISON in headers.get("x-prompt-prefix", "")
        if TROUBLE and poisonous and self.alive and NOW() - begun >= CRASH_AFTER:
            self.on_crash(self)


class Fleet:
    def __init__(self, record, controls):
        self.record, self.controls = record, controls
        self.workers, self.crashes, self.tasks, self.ended = {}, [], [], False

    async def start(self, number, port=0):
        worker = CrashingWorker(self.record, self.controls, f"127.13.{number + 1}.1")
        worker.on_crash = lambda it, n=number: self.crash(n, it)
        await worker.start(port)
        self.workers[number] = worker

    def crash(self, number, worker):
        self.crashes.append(NOW())
        self.record.note(f"worker {worker.ident} crashes")
        worker.alive = False
        self.tasks.append(asyncio.create_task(self.restart(number, worker)))

    async def restart(self, number, worker):
        await worker.stop()
        await asyncio.sleep(DOWN)
        if not self.ended:
            await self.start(number, worker.port)

    async def stop(self):
        self.ended = True
        for task in self.tasks:
            task.cancel()
        for worker in self.workers.values():
            await worker.stop()


async def send(record, front, part):
    ident = f"{random.getrandbits(64):016x}"
    headers = {"Host": HOST, "X-Request-Id": ident, "X-Deadline": "20000",
               "Authorization": "Bearer key-1", "X-Model": "m", "X-Token-Count": "150,48",
               "X-Prompt-Prefix": f"0a11ce:40,{part}:100,{ident}:10"}
    record.sent[ident] = (NOW(), front, part)
    record.note(f"sent {ident} with part {part} to {front}")
    answer = await call(front, "POST", "/model/draft", headers, b"", 20)
    status = answer.status if answer else 0
    record.answers[ident] = (NOW(), status)
    record.note(f"answered {ident} with {status or 'a connection that ended'}")
    return status


async def main():
    record = Record()
    cluster = Cluster()
    fleet = None
    try:
        await cluster.start_all()
        controls, fronts = cluster.control_addresses(), cluster.front_addresses()
        await Operator(controls).put(model_config(1, HOST))
        fleet = Fleet(record, controls)
        for number in range(WORKERS):
            await fleet.start(number)
        end = NOW() + 40
        for front in fronts:
            while await send(record, front, "50da") != 200:
                if NOW() > end:
                    record.note("the cluster does not serve")
                    return 2
                await asyncio.sleep(0.3)
        await asyncio.sleep(4)
        begin = NOW()
        tasks, number = [], 0
        while NOW() < begin + WATCH:
            part = POISON if number % 4 == 0 else f"50da{number % 8}"
            tasks.append(asyncio.create_task(send(record, fronts[number % 3], part)))
            number += 1
            await asyncio.sleep(0.25)
        bound = fleet.crashes[4] + CONTACT if len(fleet.crashes) >= 5 else None
        late = [ident for ident, sent in record.sent.items()
                if sent[2] == POISON and bound and sent[0] > bound]
        reached = [ident for ident in late if ident in record.runs]
        sound = [ident for ident, sent in record.sent.items()
                 if sent[2] != POISON and begin < sent[0] < begin + WATCH - 4]
        served = [ident for ident in sound
                  if record.answers.get(ident, (0, 0))[1] == 200]
        record.note(f"{len(fleet.crashes)} crashes; of {len(late)} requests with the part, sent "
                    f"later than contact_ms after the fifth, {len(reached)} reached workers; "
                    f"{len(served)} of {len(sound)} sound requests served")
        print(record.lines[-1][1])
        for task in tasks:
            task.cancel()
        if TROUBLE and bound is None:
            return 2
        return 1 if len(reached) > 3 else 0
    finally:
        if fleet is not None:
            await fleet.stop()
        await cluster.stop_all()
        record.write(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))


run_case(main)
