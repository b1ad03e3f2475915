"""Stand-in for a runner, as PROTOCOL.md describes it: a model engine or a plain service."""

import asyncio
import json
import time

from standins import http

HEARTBEAT_S = 1.2
SILENT_PINGS = 3


class Runner:
    """One runner address. start() begins a new lifetime, under the same id unless told otherwise.

    models: name -> {"mb", "load_s", "disk_s"}; None for a plain service.
    """

    def __init__(self, record, store, service, run_id, host, port, zone, slots=64, models=None,
                 holds=(), work_s=0.02, event_gap_s=0.1):
        self.record = record
        self.store = store
        self.service = service
        self.id = run_id
        self.zone = zone
        self.slots = slots
        self.models = models
        self.work_s = work_s
        self.event_gap_s = event_gap_s
        self.server = http.Server(host, port, self._handle)
        self.holds = set(holds)
        self.on_disk = set(holds)
        self.alive = False
        self.leaving = False
        self.listed = False
        self.running = 0
        self.lifetime = 0

    @property
    def address(self):
        return f"{self.server.host}:{self.server.port}"

    async def start(self, pings=0, up_for_s=0.0, first_ping_s=0.0):
        """Starts a lifetime that has already lasted `up_for_s` and made `pings` pings."""
        await self.server.start()
        self.lifetime += 1
        self.alive = True
        self.leaving = False
        self.born = int((time.time() - up_for_s) * 1000)
        self.pings = pings
        self.seq = 0
        self.fence = 0
        self.busy = False
        self.on_order = asyncio.Event()
        self.written = None
        self.record.note("runner-start", runner=self.id, born=self.born, holds=sorted(self.holds))
        asyncio.ensure_future(self._ping(self.lifetime, first_ping_s))

    def crash(self):
        """The process is gone, as after SIGKILL; what it held is lost, its disk stays."""
        self.record.note("runner-crash", runner=self.id, running=self.running)
        self._end()
        asyncio.ensure_future(self._lapse(self.lifetime))

    def exit(self):
        """The end of a planned leave."""
        self.record.note("runner-exit", runner=self.id, running=self.running)
        self._end()
        self._unlist()

    def _end(self):
        self.alive = False
        self.running = 0
        self.holds = set()
        self.server.stop()

    async def _lapse(self, lifetime):
        await asyncio.sleep(HEARTBEAT_S * SILENT_PINGS)
        if self.lifetime == lifetime and not self.alive:
            self._unlist()

    def _unlist(self):
        if self.listed:
            self.store.remove("servers/" + self.id)
            self.record.note("store-removed", runner=self.id)
        self.listed = False

    def drain(self):
        """Reports draining; the store's answer is the ack. Returns its time."""
        self.leaving = True
        self._write()
        return self.record.note("ack-draining", runner=self.id, ping=self.pings)

    def leave_unannounced(self):
        """The entry is removed without a draining report. Returns the time of the ack."""
        self.leaving = True
        self.store.remove("servers/" + self.id)
        self.listed = False
        return self.record.note("ack-removed", runner=self.id)

    def _state(self):
        state = {"stage": "colocated", "born": self.born}
        if self.models is not None:
            state["models"] = [{"name": m, "version": 1, "adapters": []}
                               for m in sorted(self.holds)]
            state["at-hand"] = {"in-memory": [], "on-disk": sorted(self.on_disk)}
        return state

    def _write(self):
        entry = self._state()
        entry.update({"service": self.service, "address": self.address, "zone": self.zone,
                      "version": "v1", "slots": self.slots, "cold-remaining-ms": 0,
                      "state": "draining" if self.leaving else "ready"})
        # The entry changes when more than seq changes.
        if entry == self.written:
            return
        self.written = entry
        self.listed = True
        self.store.put_json("servers/" + self.id, dict(entry, seq=self.pings))
        self.record.note("store-entry", runner=self.id, state=entry["state"], born=self.born,
                         seq=self.pings)

    async def _ping(self, lifetime, first_ping_s):
        await asyncio.sleep(first_ping_s)
        while self.alive and self.lifetime == lifetime:
            self.pings += 1
            if not self.leaving:
                self._write()
            await asyncio.sleep(HEARTBEAT_S)

    async def _handle(self, request, writer):
        lifetime = self.lifetime
        expected = request.get("expect-instance")
        headers = {"Instance-Id": self.id}
        if request.get("attempt-id"):
            headers["Attempt-Id"] = request.get("attempt-id")
        if self.leaving:
            headers["Server-Leaving"] = "1"
        if expected and expected != self.id:
            return self._answer(writer, 421, dict(headers, **{"Not-Executed": "1"}))
        if request.target == "/v1/report":
            state = dict(self._state(), busy=self.busy, seq=self.seq, running=self.running,
                         waiting=0, handles=0)
            return self._answer(writer, 200, dict(headers, **{"Content-Type": "application/json"}),
                                json.dumps(state).encode())
        if request.target == "/v1/order":
            return self._answer(writer, self._order(json.loads(request.body)), headers)
        return await self._call(request, writer, headers, lifetime)

    def _answer(self, writer, status, headers, body=b""):
        writer.write(http.format_answer(status, headers, body))

    def _order(self, order):
        if "holder" not in order or "fence" not in order:
            return 400
        if order["fence"] < self.fence:
            return 412
        self.fence = order["fence"]
        model = order["model"]
        load = order["op-type"] == "load"
        if order.get("adapter") or model not in self.models:
            return 400
        if (model in self.holds) == load:
            return 200
        if self.busy or order.get("precondition", self.seq) != self.seq:
            return 409
        self.seq += 1
        self.busy = True
        self.record.note("order", runner=self.id, op=order["op-type"], model=model,
                         holder=order["holder"], fence=order["fence"])
        asyncio.ensure_future(self._carry_out(load, model, self.lifetime))
        self.on_order.set()
        return 202

    async def _carry_out(self, load, model, lifetime):
        if load:
            spec = self.models[model]
            await asyncio.sleep(spec["disk_s"] if model in self.on_disk else spec["load_s"])
        if self.lifetime != lifetime or not self.alive:
            return
        if load:
            self.holds.add(model)
            self.on_disk.add(model)
            used = sum(self.models[m]["mb"] for m in self.holds)
            self.record.note("loaded", runner=self.id, model=model, used_mb=used)
        else:
            self.holds.discard(model)
        self.busy = False
        if not self.leaving:
            self._write()

    async def _call(self, request, writer, headers, lifetime):
        attempt = request.get("attempt-id")
        if not attempt:
            return self._answer(writer, 400, dict(headers, **{"Not-Executed": "1"}))
        if self.models is not None:
            model = request.get("model-name", "").split("/")[0]
            if model not in self.holds:
                return self._answer(writer, 421, dict(headers, **{"Not-Executed": "1"}))
        if self.running >= self.slots:
            return self._answer(writer, 503, dict(headers, **{"Not-Executed": "1"}))
        self.record.note("run", runner=self.id, attempt=attempt, leaving=int(self.leaving))
        self.running += 1
        headers["Server-Seal"] = f"{self.id}.{attempt}"
        headers["Instance-Load"] = f"{self.running},0,{self.slots}"
        try:
            if self.models is None:
                await asyncio.sleep(self.work_s)
                self._answer(writer, 200, headers, plain_body(attempt))
            else:
                await self._stream(request, writer, headers, attempt)
        finally:
            if self.lifetime == lifetime and self.alive:
                self.running -= 1
        self.record.note("ran", runner=self.id, attempt=attempt)

    async def _stream(self, request, writer, headers, attempt):
        count = int(request.get("token-usage", "0,10").split(",")[1])
        first = int(request.get("last-event-id", "0")) + 1
        await asyncio.sleep(self.work_s)
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                 "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(first, count + 1):
            event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if number < count:
                await asyncio.sleep(self.event_gap_s)
        writer.write(b"0\r\n\r\n")


def plain_body(attempt):
    return f"done {attempt}\n".encode()
