"""Stand-ins for runners (PROTOCOL.md, "Runners", "Requests", "Model placement")."""

import asyncio
import json
import time

import web


class Runner:
    """A runner of a plain service. A subclass decides how a request is run."""

    def __init__(self, record, store, identity, service, slots=8, zone="a"):
        self.record = record
        self.store = store
        self.identity = identity
        self.service = service
        self.slots = slots
        self.zone = zone
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.pings = 0
        self.running = 0
        self.runs = []
        self.pinger = None
        self.server = web.Server(self.handle)
        self.address = None

    async def start(self, ip):
        self.address = await self.server.start(ip)
        self.ping()
        self.pinger = asyncio.ensure_future(self.keep_pinging())

    def stop(self):
        if self.pinger is not None:
            self.pinger.cancel()
        self.server.stop()

    async def keep_pinging(self):
        while True:
            await asyncio.sleep(1.2)
            self.ping()

    def description(self):
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state,
                "cold-remaining-ms": 0, "born": self.born}

    def ping(self):
        self.pings += 1
        self.store.put_json("servers/" + self.identity,
                            dict(self.description(), seq=self.pings))

    def load(self):
        return "%d,0,%d" % (self.running, self.slots)

    def sealed(self, request):
        return {"Attempt-Id": request.headers.get("attempt-id", ""),
                "Server-Seal": "seal." + self.identity,
                "Instance-Id": self.identity, "Instance-Load": self.load()}

    def rejection(self, request, status):
        return web.format_answer(status, {"Attempt-Id": request.headers.get("attempt-id", ""),
                                          "Not-Executed": "1", "Instance-Id": self.identity,
                                          "Instance-Load": self.load()})

    async def handle(self, request, writer):
        if request.headers.get("expect-instance", self.identity) != self.identity:
            writer.write(self.rejection(request, 421))
            return True
        return await self.serve(request, writer)

    async def serve(self, request, writer):
        if self.running >= self.slots:
            writer.write(self.rejection(request, 503))
            return True
        self.running += 1
        try:
            return await self.run(request, writer)
        finally:
            self.running -= 1

    def note_run(self, request):
        attempt = request.headers.get("attempt-id", "")
        self.runs.append((attempt, time.monotonic()))
        self.record("%s runs %s %s" % (self.identity, request.target, attempt))
        return attempt

    async def run(self, request, writer):
        self.note_run(request)
        await asyncio.sleep(0.015)
        writer.write(web.format_answer(200, self.sealed(request), b"done"))
        return True


class ModelRunner(Runner):
    """A runner of models without adapters. It ends, as the pages say, when it is ordered to load
    more than its memory holds."""

    def __init__(self, record, store, identity, service, engine, holds, slots=64):
        super().__init__(record, store, identity, service, slots)
        self.engine = engine
        self.models = {model["name"]: model for model in engine["models"]}
        self.held = set(holds)
        self.unloading = None
        self.in_use = {}
        self.sequence = 0
        self.busy = False
        self.fence = 0
        self.ended = False
        self.first_event = 0.02
        self.event_gap = 0.05

    def listing(self):
        return [{"name": name, "version": 1, "adapters": []} for name in sorted(self.held)]

    def copies(self):
        return {"in-memory": [], "on-disk": sorted(self.models)}

    def description(self):
        return dict(super().description(), stage="colocated", models=self.listing(),
                    **{"at-hand": self.copies()})

    # Orders.

    def order(self, body):
        """Returns the status of the answer; 0 if the runner has ended."""
        name = body.get("model")
        if body.get("holder") is None or body.get("fence") is None or "adapter" in body:
            return 400
        if name not in self.models or body.get("op-type") not in ("load", "unload"):
            return 400
        if body["fence"] < self.fence:
            return 412
        self.fence = body["fence"]
        if self.busy or body.get("precondition", self.sequence) != self.sequence:
            return 409
        loads = body["op-type"] == "load"
        if loads == (name in self.held):
            return 200
        self.sequence += 1
        used = sum(self.models[held]["weights-mb"] for held in self.held)
        if loads and used + self.models[name]["weights-mb"] > self.engine["weights-mb"]:
            self.record.say("%s ends: ordered to load %s with %d MB in use" % (
                self.identity, name, used))
            self.ended = True
            self.stop()
            return 0
        self.busy = True
        asyncio.ensure_future(self.load_model(name) if loads else self.unload_model(name))
        return 202

    async def load_model(self, name):
        await asyncio.sleep(self.models[name]["disk-s"])
        self.held.add(name)
        self.busy = False
        self.ping()

    async def unload_model(self, name):
        self.unloading = name
        while self.in_use.get(name, 0) > 0:
            await asyncio.sleep(0.005)
        self.held.discard(name)
        self.unloading = None
        self.busy = False
        self.ping()

    # Requests.

    def report(self):
        return {"stage": "colocated", "models": self.listing(), "busy": self.busy,
                "seq": self.sequence, "waiting": 0, "running": self.running, "kv-used": 0,
                "kv-total": self.engine["kv-capacity-tokens"], "handles": 0, "born": self.born,
                "at-hand": self.copies()}

    async def serve(self, request, writer):
        if request.target == "/v1/report":
            writer.write(web.format_answer(200, {"Content-Type": "application/json"},
                                           json.dumps(self.report()).encode()))
            return True
        if request.target == "/v1/order":
            body = json.loads(request.body)
            status = self.order(body)
            self.record("%s gets the order %s: %d" % (self.identity, body, status))
            if self.ended:
                web.reset(writer)
                return False
            writer.write(web.format_answer(status, {"Instance-Id": self.identity}))
            return True
        return await super().serve(request, writer)

    async def run(self, request, writer):
        name = request.headers.get("model-name", "")
        if name not in self.held:
            writer.write(self.rejection(request, 421))
            return True
        if name == self.unloading:
            writer.write(self.rejection(request, 503))
            return True
        self.in_use[name] = self.in_use.get(name, 0) + 1
        try:
            return await self.stream(request, writer, self.note_run(request))
        finally:
            self.in_use[name] -= 1

    async def stream(self, request, writer, attempt):
        """Sends the events after Last-Event-Id."""
        writer.write(web.format_head("HTTP/1.1 200 OK", dict(self.sealed(request), **{
            "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked",
            "Weight-Versions": "1"})))
        await asyncio.sleep(self.first_event)
        events = int(request.headers.get("token-usage", "1,10").split(",")[1])
        for number in range(int(request.headers.get("last-event-id", "0")) + 1, events + 1):
            await asyncio.sleep(self.gap())
            text = ("id: %d\ndata: %s\n\n" % (number, attempt)).encode()
            if not writer.transport.is_closing():
                writer.write(b"%x\r\n%s\r\n" % (len(text), text))
        if not writer.transport.is_closing():
            writer.write(b"0\r\n\r\n")
        return True

    def gap(self):
        """Time to the next event."""
        return self.event_gap
