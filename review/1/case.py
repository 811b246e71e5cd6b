"""The keys of all tenants are taken away, one tenant after the other."""
import asyncio
import os

from cluster import Cluster
from wire import NOW, Client, Operator, Record, Worker, await_serving, config, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "desk.example"
TARGET = "/app/safe/stock"
REVOKE = 5.0  # revoke_ms
TENANTS = ("tenant-1", "tenant-2", "tenant-3")


def key_of(tenant):
    return "key-of-" + tenant


def with_tenants(version, tenants):
    content = config(version, HOST)
    content["tenants"] = [{"name": tenant, "api_keys": [key_of(tenant)], "priority": 1}
                          for tenant in tenants]
    return content


async def main():
    record = Record()
    cluster = Cluster()
    workers = []
    try:
        await cluster.start_all()
        controls = cluster.control_addresses()
        operator = Operator(controls)
        await operator.put(with_tenants(1, TENANTS))
        for number in range(3):
            worker = Worker(record, controls, f"127.13.{number + 1}.1", "app")
            await worker.start()
            workers.append(worker)
        fronts = cluster.front_addresses()
        client = Client(record, fronts, HOST)
        client_key = key_of(TENANTS[-1])

        class KeyedClient(Client):
            async def send(self, front, method, target, **more):
                more.setdefault("key", client_key)
                return await super().send(front, method, target, **more)

        if not await await_serving(KeyedClient(record, fronts, HOST), TARGET, fronts):
            record.note("the cluster does not serve")
            return 2
        revoked = {}  # key -> time of the acknowledgement
        removals = len(TENANTS) if TROUBLE else len(TENANTS) - 1
        sent = []  # (request, key, time sent)
        for removed in range(1, removals + 1):
            acked = await operator.put(with_tenants(1 + removed, TENANTS[removed:]))
            revoked[key_of(TENANTS[removed - 1])] = acked
            record.note(f"version {1 + removed} acknowledged; tenants left: "
                        f"{list(TENANTS[removed:])}")
            await asyncio.sleep(1.5)
        last = max(revoked.values())
        tasks = []

        async def ask(front, key):
            at = NOW()
            ident, _ = await client.send(front, "GET", TARGET, key=key)
            sent.append((ident, key, at))

        while NOW() < last + REVOKE + 3:
            for front in fronts:
                for key in [*revoked, "key-that-never-was"]:
                    tasks.append(asyncio.create_task(ask(front, key)))
            await asyncio.sleep(0.5)
        await asyncio.gather(*tasks)
        late = [(ident, key) for ident, key, at in sent
                if at > revoked.get(key, 0.0) + REVOKE]
        run = [(ident, key) for ident, key in late if ident in record.runs]
        for ident, key in run:
            record.note(f"{ident} with {key} was run later than revoke_ms after its key was "
                        "taken away, or with a key that no configuration held")
        keys = sorted({key for _, key in run})
        record.note(f"{len(late)} requests with a key that is in no configuration for over "
                    f"revoke_ms; {len(run)} of them ran ({', '.join(keys)})")
        print(record.lines[-1][1])
        if len(late) < 20:
            return 2
        return 1 if run else 0
    finally:
        for worker in workers:
            await worker.stop()
        await cluster.stop_all()
        record.write(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))


run_case(main)
