"""Workers that hold layers of a model and answer with streams of events."""
import asyncio
import json

from wire import NOW, Worker, config

LAYERS = 4
LAYER_MB = 1000.0
KIND = "card"


def model_config(version, host, apps=("app",)):
    """A configuration with a streaming route besides those of the plain services."""
    content = config(version, host, apps)
    content["services"].append({
        "name": "model", "health_path": "/health", "max_connections": 1000,
        "protocol": "h1", "tls": False,
        "engine": {"slots": 64, "kv_capacity_tokens": 100000, "kv_token_bytes": 8000,
                   "link_mbps": 10000.0, "stride": 1,
                   "models": [{"name": "m", "pace": 1.0, "load_s": 1.0, "warm_s": 0.0}],
                   "step_ms": 1.0, "per_seq_ms": 0.01, "context_per_k": 0.01,
                   "read_per_s": 100000.0, "pairs_per_m": 0.1, "chunk": 512,
                   "report_lag_ms": 100.0, "loads_per_s": 0.0, "loads_at_once": 4,
                   "delays": [], "usual": {"prompt": 100, "answer": 24},
                   "layers": LAYERS, "layer_mb": LAYER_MB, "activation_bytes": 1000,
                   "pipe_mbps": 10000.0,
                   "kinds": [{"name": KIND, "size_mb": LAYER_MB * LAYERS + 2000,
                              "pace": 1.0, "read_factor": 1.0}]}})
    content["routes"].append({
        "name": "r-model", "host": host, "path_prefix": "/model/", "kind": "streaming",
        "timeout_ms": 20000, "target_latency_ms": 500, "priority": 1, "service": "model",
        "max_attempts": 2, "public": False, "sticky": True, "resumable": True,
        "target_gap_ms": 200})
    return content


class ModelWorker(Worker):
    """A sound worker: takes orders, reports, and streams `events` events."""

    events = 24
    gap = 0.05

    def __init__(self, record, controls, ip, ident=None):
        super().__init__(record, controls, ip, "model", slots=64, ident=ident)
        self.layers, self.orders, self.fence, self.busy = None, 0, 0, False

    def held(self):
        if self.layers is None:
            return {}
        return {"layers": {"from": self.layers[0], "to": self.layers[1], "version": 1}}

    def announcement(self):
        return {**super().announcement(), "stage": "both", "kind": KIND,
                "models": [{"name": "m", "version": 1, "adapters": []}], **self.held()}

    async def load(self, layers):
        self.busy = True
        await asyncio.sleep((layers[1] - layers[0]) / LAYERS)
        self.layers, self.busy = layers, False

    def order(self, body):
        order = json.loads(body)
        if order.get("fence", 0) < self.fence:
            return 412
        self.fence = max(self.fence, order.get("fence", 0))
        layers = (order["from"], order["to"])
        if layers == self.layers:
            return 200
        if self.busy or order.get("expected", self.orders) != self.orders:
            return 409
        self.orders += 1
        self.loading = asyncio.create_task(self.load(layers))
        return 202

    async def handle(self, reader, writer, method, target, headers, body):
        ident = headers.get("x-request-id", "")
        expected = headers.get("x-expect-instance")
        if expected is not None and expected != self.ident:
            self.reply(writer, 421, {"X-Not-Executed": "1", "X-Request-Id": ident}, b"")
            return True
        if target == "/v1/report":
            self.reply(writer, 200, {"Content-Type": "application/json"}, json.dumps({
                "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": self.busy, "seq": self.orders, "queued": 0, "running": self.running,
                "kv_used": 0, "kv_total": 100000, "handles": 0, "kind": KIND,
                **self.held()}).encode())
            return True
        if target == "/v1/order":
            self.reply(writer, self.order(body), {}, b"")
            return True
        if target == "/health":
            return await super().handle(reader, writer, method, target, headers, body)
        whole = self.layers == (0, LAYERS)
        path = headers.get("x-hop-count", "")
        alone = path in ("", f"{self.address}=0-{LAYERS}")
        if not whole or not alone:
            # These stand-ins hold whole models; a part is never theirs to run.
            self.reply(writer, 421, {"X-Not-Executed": "1", "X-Request-Id": ident,
                                     "At-Server": self.address}, b"")
            return True
        self.running += 1
        try:
            return await self.stream(writer, ident, target, headers)
        finally:
            self.running -= 1

    async def stream(self, writer, ident, target, headers):
        self.record.run(self, ident, "POST", target, b"")
        fields = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked",
                  "Keep-Alive": "timeout=5", **self.stamp(ident)}
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(
            f"{k}: {v}\r\n" for k, v in fields.items()) + "\r\n").encode())
        first = int(headers.get("last-event-id", "0")) + 1
        begun = NOW()
        for number in range(first, self.events + 1):
            self.progress(headers, begun)
            if not self.alive:
                return False
            event = f"id: {number}\ndata: token {number} of {ident}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.gap)
        writer.write(b"0\r\n\r\n")
        return True

    def progress(self, headers, begun):
        """Called before each event; a case may crash the worker here."""
