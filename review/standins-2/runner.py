"""Stand-ins for runners (PROTOCOL.md, "Runners", "Requests", "Model placement")."""

import asyncio
import json
import time

import web


class Runner:
    """A runner of a plain service. A subclass or `respond` decides how a request is run."""

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
            if not self.store.away:
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
    """A runner of models. It crashes, as the pages say, when it is ordered to load more than its
    memory or its adapter slots hold; on_crash(reason) is called then."""

    def __init__(self, record, store, identity, service, engine, holds, on_crash, slots=64,
                 require_fencing=True):
        super().__init__(record, store, identity, service, slots)
        self.engine = engine
        self.models = {model["name"]: model for model in engine["models"]}
        self.held = {name: set() for name in holds}
        self.coming = set()
        self.leaving = set()
        self.in_use = {}
        self.on_disk = set(self.models)
        self.sequence = 0
        self.busy = False
        self.fence = 0
        self.require_fencing = require_fencing
        self.on_crash = on_crash
        self.crashed = False
        self.orders = []
        self.first_event = 0.02
        self.event_gap = 0.05
        self.adapter_s = 0.008

    # What it holds.

    def listing(self):
        return [{"name": name, "version": 1, "adapters": sorted(adapters)}
                for name, adapters in sorted(self.held.items())]

    def copies(self):
        return {"in-memory": [], "on-disk": sorted(self.on_disk)}

    def description(self):
        return dict(super().description(), stage="colocated", models=self.listing(),
                    **{"at-hand": self.copies()})

    def adapters_counted(self):
        return sum(len(adapters) for adapters in self.held.values()) + len(self.coming)

    def used_mb(self):
        total = 0
        for name, adapters in self.held.items():
            model = self.models[name]
            total += model["weights-mb"] + len(adapters) * model["adapter-mb"]
        return total + sum(self.models[name]["adapter-mb"] for name, _ in self.coming)

    def crash(self, reason):
        self.crashed = True
        self.record.say("%s crashes: %s" % (self.identity, reason))
        self.stop()
        self.on_crash(reason)

    # Orders.

    def order(self, body):
        holder, fence = body.get("holder"), body.get("fence")
        if holder is None or fence is None:
            return 400
        if self.require_fencing and fence < self.fence:
            return 412
        self.fence = max(self.fence, fence)
        name, adapter = body.get("model"), body.get("adapter")
        loads = body.get("op-type") == "load"
        if name not in self.models or body.get("op-type") not in ("load", "unload"):
            return 400
        if "precondition" in body and body["precondition"] != self.sequence:
            return 409
        if self.busy:
            return 409
        if adapter is not None:
            return self.order_adapter(loads, name, adapter)
        return self.order_model(loads, name)

    def order_adapter(self, loads, name, adapter):
        if name not in self.held:
            return 400
        entry = (name, adapter)
        if loads:
            if entry in self.coming or adapter in self.held[name]:
                return 200
            self.sequence += 1
            if self.adapters_counted() + 1 > self.engine["adapter-slots"]:
                self.crash("ordered to load %s/%s while it holds %d adapters of %d: %s" % (
                    name, adapter, self.adapters_counted(), self.engine["adapter-slots"],
                    self.describe_adapters()))
                return 0
            if self.used_mb() + self.models[name]["adapter-mb"] > self.engine["weights-mb"]:
                self.crash("ordered to load %s/%s without memory" % entry)
                return 0
            self.coming.add(entry)
            asyncio.ensure_future(self.finish_adapter(entry))
            return 202
        if adapter not in self.held[name]:
            return 200
        self.sequence += 1
        if self.in_use.get(entry, 0) > 0:
            # An unload waits for its runs to finish.
            self.leaving.add(entry)
            return 202
        self.held[name].discard(adapter)
        return 200

    def describe_adapters(self):
        parts = []
        for name, adapters in sorted(self.held.items()):
            for adapter in sorted(adapters):
                used = self.in_use.get((name, adapter), 0)
                state = ", to be unloaded" if (name, adapter) in self.leaving else ""
                parts.append("%s/%s (%d runs%s)" % (name, adapter, used, state))
        return "; ".join(parts)

    async def finish_adapter(self, entry):
        await asyncio.sleep(self.adapter_s)
        self.coming.discard(entry)
        if entry[0] in self.held:
            self.held[entry[0]].add(entry[1])

    def order_model(self, loads, name):
        if loads == (name in self.held):
            return 200
        self.sequence += 1
        if loads:
            if self.used_mb() + self.models[name]["weights-mb"] > self.engine["weights-mb"]:
                self.crash("ordered to load %s with %d of %d MB in use" % (
                    name, self.used_mb(), self.engine["weights-mb"]))
                return 0
            self.busy = True
            asyncio.ensure_future(self.finish_load(name))
            return 202
        self.busy = True
        self.leaving.add((name, None))
        asyncio.ensure_future(self.finish_unload(name))
        return 202

    async def finish_load(self, name):
        model = self.models[name]
        await asyncio.sleep(model["disk-s"] if name in self.on_disk else model["load-s"])
        self.held[name] = set()
        self.on_disk.add(name)
        self.busy = False
        self.ping()

    async def finish_unload(self, name):
        while any(count > 0 for (used, _), count in self.in_use.items() if used == name):
            await asyncio.sleep(0.005)
        self.held.pop(name, None)
        self.leaving = {entry for entry in self.leaving if entry[0] != name}
        self.busy = False
        self.ping()

    # Requests.

    def more_in_report(self):
        return {}

    async def serve(self, request, writer):
        if self.crashed:
            web.reset(writer)
            return False
        if request.target == "/v1/report":
            report = {"stage": "colocated", "models": self.listing(), "busy": self.busy,
                      "seq": self.sequence, "waiting": 0, "running": self.running, "kv-used": 0,
                      "kv-total": self.engine["kv-capacity-tokens"], "handles": 0,
                      "born": self.born, "at-hand": self.copies(),
                      "coming": ["%s/%s@1" % entry for entry in sorted(self.coming)]}
            report.update(self.more_in_report())
            writer.write(web.format_answer(200, {"Content-Type": "application/json"},
                                           json.dumps(report).encode()))
            return True
        if request.target == "/v1/order":
            body = json.loads(request.body)
            before = self.sequence
            status = self.order(body)
            self.orders.append((time.monotonic(), body.get("holder"), body.get("fence"), status))
            self.record("%s gets order %s %s %s expecting %s (at %d) from %s fence %s: %s" % (
                self.identity, body.get("op-type"), body.get("model"), body.get("adapter", "-"),
                body.get("precondition"), before, body.get("holder"), body.get("fence"),
                status or "crash"))
            if self.crashed:
                web.reset(writer)
                return False
            writer.write(web.format_answer(status, {"Instance-Id": self.identity}))
            return True
        return await super().serve(request, writer)

    async def run(self, request, writer):
        name, _, adapter = request.headers.get("model-name", "").partition("/")
        if name not in self.held or (adapter and adapter not in self.held[name]):
            writer.write(self.rejection(request, 421))
            return True
        entry = (name, adapter or None)
        if entry in self.leaving or (name, None) in self.leaving:
            writer.write(self.rejection(request, 503))
            return True
        self.in_use[entry] = self.in_use.get(entry, 0) + 1
        try:
            attempt = self.note_run(request)
            return await self.stream(request, writer, attempt)
        finally:
            self.in_use[entry] -= 1
            if self.in_use[entry] == 0 and entry in self.leaving and entry[1]:
                self.leaving.discard(entry)
                self.held.get(name, set()).discard(adapter)

    async def stream(self, request, writer, attempt):
        head = dict(self.sealed(request), **{"Content-Type": "text/event-stream",
                                             "Transfer-Encoding": "chunked",
                                             "Weight-Versions": "1"})
        await asyncio.sleep(self.first_event)
        writer.write(web.format_head("HTTP/1.1 200 OK", head))
        events = int(request.headers.get("token-usage", "1,10").split(",")[1])
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, events + 1):
            text = ("id: %d\ndata: %s\n\n" % (number, attempt)).encode()
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
            await asyncio.sleep(self.event_gap)
        writer.write(b"0\r\n\r\n")
        return True
