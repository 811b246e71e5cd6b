"""The control process that acknowledged a worker's DELETE is killed."""
import asyncio
import json
import os

from cluster import Cluster
from wire import NOW, Client, Operator, Record, Worker, await_serving, call, config, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "desk.example"
TARGET = "/app/safe/stock"
DRAIN = 2.0  # drain_ms
BACK = 0.5  # a killed process is back after
SERVES = 14.0  # how long the worker serves after it has left
INTERVAL = 1.0  # between two requests at one entry machine


class SilentProxy:
    """Takes bytes and passes none on."""

    async def start(self):
        self.server = await asyncio.start_server(self.take, "127.14.0.1", 0)
        self.address = "127.14.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def take(self, reader, writer):
        await reader.read()
        writer.close()

    def stop(self):
        self.server.close()


class LeavingWorker(Worker):
    """Sends DELETE first, and goes on serving for a while."""

    leaving = False

    def stamp(self, ident):
        left = {"Server-Leaving": "1"} if self.leaving else {}
        return {**super().stamp(ident), **left}

    async def put(self, address):
        return await call(address, "PUT", f"/v1/instances/{self.ident}",
                          {"Content-Type": "application/json"},
                          json.dumps(self.announcement()).encode())

    async def leave(self, lossy_path):
        """One more heartbeat, the next node if it isn't acknowledged, and DELETE."""
        self.beating.cancel()
        await self.put(self.controls[self.node])
        await asyncio.sleep(1.2)
        if await self.put(lossy_path) is None:
            self.record.note("a heartbeat was not acknowledged within a second")
            self.node = (self.node + 1) % 3
            await self.put(self.controls[self.node])
        await asyncio.sleep(0.6)
        self.leaving = True
        answer = await call(self.controls[self.node], "DELETE",
                            f"/v1/instances/{self.ident}")
        self.record.note(f"DELETE of {self.ident} answered with "
                         f"{answer.status if answer else 'nothing'}")
        return NOW() if answer is not None and answer.status == 200 else None


async def main():
    record = Record()
    cluster = Cluster()
    workers, proxy = [], None
    try:
        await cluster.start_all()
        controls, fronts = cluster.control_addresses(), cluster.front_addresses()
        await Operator(controls).put(config(1, HOST))
        leaver = LeavingWorker(record, controls, "127.13.1.1", "app")
        workers = [leaver, Worker(record, controls, "127.13.2.1", "app"),
                   Worker(record, controls, "127.13.3.1", "app")]
        for worker in workers:
            await worker.start()
        client = Client(record, fronts, HOST)
        if not await await_serving(client, TARGET, fronts):
            record.note("the cluster does not serve")
            return 2
        await asyncio.sleep(5)
        tasks = []

        async def ask(front):
            while True:
                await asyncio.sleep(INTERVAL)
                await client.send(front, "GET", TARGET)

        for front in fronts:
            tasks.append(asyncio.create_task(ask(front)))
        await asyncio.sleep(3)
        proxy = SilentProxy()
        await proxy.start()
        acked = await leaver.leave(proxy.address)
        if acked is None:
            return 2
        await asyncio.sleep(0.5)
        if TROUBLE:
            machine = cluster.controls[leaver.node]
            record.note(f"the process of {machine} is killed")
            await cluster.kill(machine)
            await asyncio.sleep(BACK)
            await cluster.start(machine)
            record.note(f"the process of {machine} is started")
        await asyncio.sleep(SERVES)
        for task in tasks:
            task.cancel()
        late = []
        for ident, runs in record.runs.items():
            sent = record.sent.get(ident)
            late += [(ident, at) for at, worker in runs
                     if worker == leaver.ident and at > acked + DRAIN
                     and sent and sent[0] > acked + DRAIN]
        for ident, at in late:
            record.note(f"{ident} ran at {leaver.ident} {at - acked:.1f} s after its DELETE "
                        "was acknowledged")
        record.note(f"{len(late)} requests reached the worker later than drain_ms after the "
                    "acknowledgement that it is gone"
                    + (f", from {late[0][1] - acked:.1f} to {late[-1][1] - acked:.1f} s"
                       if late else ""))
        print(record.lines[-1][1])
        return 1 if late else 0
    finally:
        if proxy is not None:
            proxy.stop()
        for worker in workers:
            await worker.stop()
        await cluster.stop_all()
        record.write(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))


run_case(main)
