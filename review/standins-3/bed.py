"""Stand-ins of the platform for the third review: the store, runners and raw clients.

They follow ../given/kit/more/system/PROTOCOL.md and run in one asyncio loop on loopback addresses.
The gateways are separate processes, started with the command of deploy/system.toml.
"""
import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


def now():
    return time.monotonic()


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.start = now()

    def line(self, text):
        self.file.write(f"{now() - self.start:9.4f} {text}\n")


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body

    def get(self, name, default=None):
        for field, value in self.headers:
            if field.lower() == name.lower():
                return value
        return default


async def read_message(reader):
    """Reads the head and the body of one message; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name, value.strip()))
    fields = {name.lower(): value for name, value in headers}
    body = b""
    try:
        if "chunked" in fields.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                body += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    break
        elif "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


async def read_request(reader):
    message = await read_message(reader)
    if message is None:
        return None
    line, headers, body = message
    method, target, _ = line.split(" ", 2)
    return Request(method, target, headers, body)


def answer_bytes(status, body=b"", headers=(), reason="X"):
    head = f"HTTP/1.1 {status} {reason}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers)
    head += f"Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class Store:
    """The platform's store: items with revisions, leases, watches, conditional writes."""

    def __init__(self, ip="127.0.0.1"):
        self.ip, self.port = ip, free_port(ip)
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.next_lease, self.era = 100, 7000, 1
        self.changed = asyncio.Event()
        self.calls = 0
        self.intercept = None  # async (request, writer) -> True if it has dealt with the call
        self.floor = 0  # the history before it is gone
        self.on_write = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 22)
        self.task = asyncio.create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            for lease in [l for l, (end, _) in self.leases.items() if end < now()]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    def note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["create-revision"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "lease": lease,
                           "revision": self.revision, "create-revision": created}
        self.note(dict(self.items[key]))
        return self.revision

    def remove(self, key):
        if key not in self.items:
            return
        self.revision += 1
        del self.items[key]
        self.note({"key": key, "revision": self.revision, "deleted": True})

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                self.calls += 1
                if self.intercept and await self.intercept(request, writer):
                    continue
                status, body = await self.handle(request)
                writer.write(answer_bytes(status, json.dumps(body).encode(),
                                          [("Content-Type", "application/json"),
                                           ("Store-Era", self.era)]))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def handle(self, request):
        url = urllib.parse.urlsplit(request.target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        path = url.path
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            if not item:
                return 404, {"store-revision": self.revision}
            return 200, dict(item, **{"store-revision": self.revision})
        if path == "/v1/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query.get("path-prefix", "")) and
                          k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]], "truncated": len(keys) > 500,
                         "store-revision": self.revision}
        if path == "/v1/kv-watch":
            after = int(query["after"])
            if after < self.floor or after > self.revision:
                return 410, {}
            end = now() + int(query.get("wait-ms", 0)) / 1000
            while True:
                events = [e for e in self.history if e["revision"] > after and
                          e["key"].startswith(query.get("path-prefix", ""))]
                if events or now() >= end:
                    return 200, {"events": events, "store-revision": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.001, end - now()))
                except asyncio.TimeoutError:
                    pass
        if path == "/v1/kv-txn":
            return self.transaction(json.loads(request.body))
        if path == "/v1/kv-lease":
            ttl = max(1000, json.loads(request.body)["ttl-ms"])
            self.next_lease += 1
            self.leases[self.next_lease] = (now() + ttl / 1000, ttl)
            return 200, {"lease": self.next_lease, "ttl-ms": ttl}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (now() + ttl / 1000, ttl)
            return 200, {"ttl-ms": ttl}
        if path.startswith("/v1/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            self.end_lease(lease)
            return 200, {}
        return 404, {}

    def transaction(self, call):
        held = lambda key: self.items[key]["revision"] if key in self.items else 0
        if any(held(row["key"]) != row["revision"] for row in call.get("precondition", [])):
            return 412, {"items": [self.items[row["key"]] for row in call["precondition"]
                                   if row["key"] in self.items]}
        for row in call.get("set-keys", []):
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        for row in call.get("set-keys", []):
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
            if self.on_write:
                self.on_write(row["key"], base64.b64decode(row["value"]))
        for key in call.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Runner:
    """A runner. `behave`: async (runner, request, reader, writer) -> 'close' to end the connection,
    None to go on; by default it answers soundly."""

    def __init__(self, store, service, record, behave=None, ip="127.0.0.1", zone="regina", slots=6,
                 engine=None, name=None):
        self.store, self.service, self.record, self.behave = store, service, record, behave
        self.ip, self.port, self.zone, self.slots = ip, free_port(ip), zone, slots
        self.id = name or "i-%010x" % random.getrandbits(40)
        self.engine, self.sequence, self.beat, self.fence = engine, 0, 0, 0
        self.born = int(time.time() * 1000)
        self.state, self.runs, self.orders, self.arrivals = "ready", [], [], []
        self.models = dict(engine["held"]) if engine else {}
        self.beating = True
        self.server = None

    def entry(self):
        entry = {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
                 "version": "v1", "slots": self.slots, "state": self.state, "cold-remaining-ms": 0,
                 "born": self.born, "seq": self.beat}
        if self.engine:
            entry["stage"] = "colocated"
            entry["models"] = self.model_list()
        return entry

    def model_list(self):
        return [{"name": m, "version": 1, "adapters": a} for m, a in self.models.items()]

    def write_entry(self):
        self.beat += 1
        self.store.put("servers/" + self.id, json.dumps(self.entry()).encode())

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 23)
        self.write_entry()
        self.task = asyncio.create_task(self.heartbeat())

    async def heartbeat(self):
        while True:
            await asyncio.sleep(1.2)
            if self.beating:
                self.write_entry()

    def head_fields(self, request, seal=True):
        fields = [("Attempt-Id", request.get("Attempt-Id", "")), ("Instance-Id", self.id)]
        if seal:
            fields.append(("Server-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"))
        return fields

    def runs_it(self, request):
        self.runs.append(request.get("Attempt-Id"))
        self.record.line(f"runner={self.id} runs id={request.get('Attempt-Id')} {request.method} "
                         f"{request.target} body={len(request.body)}")

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                expected = request.get("Expect-Instance")
                if expected not in (None, self.id):
                    writer.write(answer_bytes(421, b"", [("Attempt-Id", request.get("Attempt-Id", "")),
                                                         ("Instance-Id", self.id)]))
                elif request.target.startswith("/v1/"):
                    await self.own_call(request, writer)
                else:
                    self.arrivals.append(request)
                    outcome = await (self.behave or sound)(self, request, reader, writer)
                    if outcome == "close":
                        break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def own_call(self, request, writer):
        if request.target == "/v1/report":
            body = {"stage": "colocated", "models": self.model_list(), "busy": False,
                    "seq": self.sequence, "born": self.born, "waiting": 0, "running": 0,
                    "kv-used": 0, "kv-total": 243171, "handles": 0}
            writer.write(answer_bytes(200, json.dumps(body).encode(),
                                      [("Content-Type", "application/json")]))
            return
        order = json.loads(request.body)
        status = 202
        if order["fence"] < self.fence:
            status = 412
        elif "precondition" in order and order["precondition"] != self.sequence:
            status = 409
        self.orders.append((now(), order, status))
        self.record.line(f"runner={self.id} order {json.dumps(order)} -> {status}")
        if status == 202:
            self.fence = order["fence"]
            self.sequence += 1
            if order["op-type"] == "load":
                if "adapter" in order:
                    self.models.setdefault(order["model"], []).append(order["adapter"])
                else:
                    self.models[order["model"]] = []
            elif "adapter" in order:
                self.models[order["model"]].remove(order["adapter"])
            else:
                self.models.pop(order["model"], None)
        writer.write(answer_bytes(status))


async def sound(runner, request, reader, writer):
    runner.runs_it(request)
    await asyncio.sleep(0.01)
    body = b"done " + (request.get("Attempt-Id") or "").encode()
    writer.write(answer_bytes(200, body, runner.head_fields(request)))


class Gateway:
    """One gateway process, started as the platform does."""

    def __init__(self, folder, store, name, ip, **changes):
        self.folder, self.name, self.ip = folder, name, ip
        self.front, self.ready, self.control = free_port(ip), free_port(ip), free_port(ip)
        self.peer = free_port(ip)
        settings = {
            "node": name, "role": "gateway", "machine-class": "front", "serves": ["front"], "ip": ip,
            "zone": "regina", "region": "prairies",
            "zones": {"regina": "prairies", "saskatoon": "prairies", "red-deer": "prairies"},
            "listen": {"front": f"{ip}:{self.front}", "ready": f"{ip}:{self.ready}",
                       "control": f"{ip}:{self.control}"},
            "port-range": [self.peer, self.peer + 15], "seeds": [], "bootstrap": True,
            "in-fault-budget": False,
            "limits": {"cpu-share": 0.19, "cores": 1, "memory-mb": 260, "max-fds": 4100,
                       "link-mbps": 1000.0, "disk-mb": 0},
            "data-dir": None, "discovery": "platform", "entry": "vip", "heartbeat-ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream",
                          "engine", "platform"],
            "tolerate": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {"seed-lag-s": 3, "reuse-after-s": 2, "stable-window-ms": 3000, "ack-ms": 4000,
                       "catch-up-s": 4, "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200,
                       "config-apply-ms": 2000, "rollback-slack-ms": 250, "skew-max-ms": 5000,
                       "retry-budget-ratio": 0.2, "budget-window-s": 10, "retry-slack": 58,
                       "recovery-s": 12, "pass-ms": 120, "retry-after-s": 0,
                       "require-fencing": True, "lease-ms": 3000, "thaw-slack-ms": 300,
                       "ceiling-window-s": 5, "load-overshoot": 1.1},
            "platform": {"address": f"{store.ip}:{store.port}", "form": "kv", "writes-per-s": 400,
                         "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576,
                         "ttl-min-ms": 1000},
        }
        settings.update(changes)
        self.settings = os.path.join(folder, name + ".json")
        with open(self.settings, "w") as file:
            json.dump(settings, file)
        self.process = None

    def start(self):
        log = open(os.path.join(self.folder, self.name + ".log"), "a")
        self.process = subprocess.Popen(["target/shallot_gateway"], cwd=ROOT, stdout=log, stderr=log,
                                        env={"SHALLOTSPREAD_CONFIG": self.settings,
                                             "PATH": os.environ.get("PATH", "")})

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()

    async def wait_ready(self, limit=15):
        end = now() + limit
        while now() < end:
            try:
                reader, writer = await asyncio.open_connection(self.ip, self.ready)
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if b" 200 " in line:
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False


HOST = "ficu95.example"


def route(name, prefix, service, kind, timeout_ms=1000, target_ms=100, attempts=2, **more):
    entry = {"name": name, "hostname": HOST, "path-prefix": prefix, "kind": kind,
             "timeout-ms": timeout_ms, "target-latency-ms": target_ms, "priority": 2,
             "service": service, "max-attempts": attempts}
    entry.update(more)
    return entry


def config(version, routes, services, **limits):
    bounds = {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
              "idle-timeout-ms": 15000}
    bounds.update(limits)
    return {"version": version, "routes": routes, "services": services, "limits": bounds}


def service(name, max_conns=110):
    return {"name": name, "health-path": "/healthz", "max-conns": max_conns, "protocol": "h1",
            "tls": False}


def attempt_id():
    return "%016x" % random.getrandbits(64)


class Client:
    """A raw client connection."""

    def __init__(self, gateway):
        self.gateway = gateway

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.gateway.ip, self.gateway.front, limit=1 << 24)

    def send(self, method, path, headers=(), body=b"", length=True):
        head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in headers)
        if length and (body or method not in ("GET", "HEAD")):
            head += f"Content-Length: {len(body)}\r\n"
        self.writer.write(head.encode() + b"\r\n" + body)

    async def answer(self, limit=10):
        return await asyncio.wait_for(read_message(self.reader), limit)

    def close(self):
        self.writer.close()
