"""The rest of the platform: gateway processes, the balancer before them, and clients."""

import asyncio
import itertools
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from standins import http

BOUNDS = {"seed-lag-s": 3, "reuse-after-s": 2, "stable-window-ms": 3000, "ack-ms": 4000,
          "catch-up-s": 4, "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200,
          "config-apply-ms": 2000, "rollback-slack-ms": 250, "skew-max-ms": 5000,
          "retry-budget-ratio": 0.2, "budget-window-s": 10, "retry-slack": 58, "recovery-s": 12,
          "pass-ms": 120, "retry-after-s": 0, "require-fencing": True, "lease-ms": 3000,
          "thaw-slack-ms": 300, "ceiling-window-s": 5, "load-overshoot": 1.1}
LIMITS = {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
          "idle-timeout-ms": 15000}
RESTART_S = 0.5
LONGEST_S = 110


class Record:
    """Writes what happens to record.txt, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.events = []

    def now(self):
        return time.monotonic() - self.began

    def note(self, kind, **facts):
        at = self.now()
        self.events.append((at, kind, facts))
        text = " ".join(f"{name}={value}" for name, value in facts.items())
        self.file.write(f"{at:8.3f} {kind} {text}\n")
        return at

    def of(self, kind):
        return [(at, facts) for at, k, facts in self.events if k == kind]

    def close(self):
        self.file.close()


class Addresses:
    """Loopback addresses of this process alone, with free ports."""

    def __init__(self):
        pid = os.getpid()
        self.base = f"127.{64 + pid // 256 % 128}.{pid % 256}."
        self.hosts = itertools.count(1)

    def host(self):
        return self.base + str(next(self.hosts))

    def port(self, host):
        with socket.socket() as probe:
            probe.bind((host, 0))
            return probe.getsockname()[1]


class Gateway:
    """A gateway process with the command of the deploy file. It is started again when it ends by
    itself, as the platform does."""

    def __init__(self, record, addresses, store, name, zone, folder, store_address=None):
        self.record = record
        self.name = name
        self.zone = zone
        self.host = addresses.host()
        self.front = (self.host, addresses.port(self.host))
        self.ready = (self.host, addresses.port(self.host))
        first = addresses.port(self.host)
        self.settings = os.path.join(folder, name + ".json")
        self.log = os.path.join(folder, name + ".log")
        document = {
            "node": name, "role": "gateway", "machine-class": "front", "serves": ["front"],
            "ip": self.host, "zone": zone, "region": "prairies", "zones": {zone: "prairies"},
            "listen": {"front": "%s:%d" % self.front, "ready": "%s:%d" % self.ready},
            "port-range": [first, first + 15], "seeds": [], "bootstrap": True,
            "in-fault-budget": False,
            "limits": {"cpu-share": 0.19, "cores": 1, "memory-mb": 260, "max-fds": 4100,
                       "link-mbps": 1000.0, "disk-mb": 0},
            "data-dir": None, "discovery": "platform", "entry": "vip", "heartbeat-ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream",
                          "engine", "platform"],
            "tolerate": {"machines": 1, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "platform": {"address": store_address or store.address, "form": "kv", "writes-per-s": 400,
                         "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576,
                         "ttl-min-ms": 1000}}
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(document, file)
        self.process = None
        self.in_rotation = False
        self.misses = 0
        self.stopping = False
        self.ends = 0

    def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["SHALLOTSPREAD_CONFIG"] = self.settings
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(["target/shallot_gateway"], env=environment,
                                            stdout=log, stderr=log)
        self.stopping = False
        self.record.note("gateway-start", gateway=self.name, pid=self.process.pid)

    def terminate(self):
        self.stopping = True
        self.process.send_signal(signal.SIGTERM)
        return self.record.note("sigterm", gateway=self.name)

    async def watch(self, restart):
        """Starts the process again after it has ended."""
        while True:
            await asyncio.sleep(0.02)
            if self.process is None or self.process.poll() is None:
                continue
            code = self.process.returncode
            if not self.stopping:
                self.ends += 1
            self.record.note("gateway-end", gateway=self.name, code=code,
                             planned=int(self.stopping))
            self.process = None
            if restart:
                await asyncio.sleep(RESTART_S)
                self.start()

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Balancer:
    """The platform's entry: asks each gateway once a second whether it is ready, and takes it out
    after two misses. With fewer than half of the zone in rotation, all are used."""

    def __init__(self, record, gateways):
        self.record = record
        self.gateways = gateways

    async def run(self):
        while True:
            await asyncio.gather(*(self._ask(gateway) for gateway in self.gateways),
                                 asyncio.sleep(1.0))

    async def _ask(self, gateway):
        status = 0
        try:
            async with asyncio.timeout(0.8):
                reader, writer = await asyncio.open_connection(*gateway.ready)
                writer.write(http.format_request("GET", "/v1/readyz", {"Host": "gateway"}))
                status = (await http.read_message(reader)).status
                writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        gateway.misses = 0 if status == 200 else gateway.misses + 1
        before = gateway.in_rotation
        if status == 200:
            gateway.in_rotation = True
        elif gateway.misses >= 2:
            gateway.in_rotation = False
        if before != gateway.in_rotation:
            self.record.note("rotation", gateway=gateway.name, in_rotation=int(not before))

    def usable(self):
        ready = [g for g in self.gateways if g.in_rotation]
        return ready if 2 * len(ready) >= len(self.gateways) else list(self.gateways)

    def pick(self, number):
        usable = self.usable()
        return usable[number % len(usable)]


class Outcome:
    """What a client saw of one attempt."""

    def __init__(self, attempt, gateway):
        self.attempt = attempt
        self.gateway = gateway
        self.sent = False
        self.status = 0
        self.sealed = False
        self.complete = False
        self.body = b""
        self.error = ""
        self.took_s = 0.0
        self.first_line = ""


class Client:
    """Sends single attempts; the caller decides on repeats."""

    def __init__(self, record):
        self.record = record
        self.numbers = itertools.count(1)

    async def send(self, gateway, method, target, headers, body=b"", budget_s=1.0, connection=None):
        attempt = f"a{next(self.numbers):06d}"
        outcome = Outcome(attempt, gateway)
        began = time.monotonic()
        head = dict(headers, **{"Attempt-Id": attempt, "Deadline-Ms": str(int(budget_s * 1000))})
        own = connection is None
        writer = None
        try:
            async with asyncio.timeout(budget_s + 0.6):
                if own:
                    async with asyncio.timeout(1.0):
                        connection = await asyncio.open_connection(*gateway.front)
                reader, writer = connection
                writer.write(http.format_request(method, target, head, body))
                outcome.sent = True
                self.record.note("sent", attempt=attempt, gateway=gateway.name, target=target)
                answer = await http.read_head(reader)
                outcome.first_line = answer.first_line
                outcome.status = answer.status
                outcome.sealed = answer.get("server-seal") is not None
                if "chunked" in answer.get("transfer-encoding", ""):
                    async for chunk in http.read_chunks(reader):
                        outcome.body += chunk
                else:
                    outcome.body = await reader.readexactly(int(answer.get("content-length", "0")))
                outcome.complete = True
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            outcome.error = type(error).__name__
        finally:
            if own and writer is not None:
                writer.close()
        outcome.took_s = time.monotonic() - began
        self.record.note("answered", attempt=attempt, gateway=gateway.name, status=outcome.status,
                         complete=int(outcome.complete), bytes=len(outcome.body),
                         error=outcome.error or "-")
        return outcome


def route(name, service, kind, timeout_ms, target_ms, **more):
    fields = {"name": name, "hostname": "desk.example", "path-prefix": f"/{name}/", "kind": kind,
              "timeout-ms": timeout_ms, "target-latency-ms": target_ms, "priority": 1,
              "service": service, "max-attempts": 1}
    fields.update({key.replace("_", "-"): value for key, value in more.items()})
    return fields


def config(version, routes, services):
    return {"version": version, "routes": routes, "services": services, "limits": LIMITS}


def plain_service(name):
    return {"name": name, "health-path": "/healthz", "max-conns": 110, "protocol": "h1",
            "tls": False}


def engine_service(name, models, weights_mb):
    specs = [{"name": model, "weights-mb": spec["mb"], "load-s": spec["load_s"],
              "disk-s": spec["disk_s"], "warm-s": spec["disk_s"], "adapters": 0, "adapter-mb": 12.0}
             for model, spec in models.items()]
    return {"name": name, "health-path": "/healthz", "max-conns": 370, "protocol": "h1",
            "tls": False,
            "engine": {"slots": 64, "kv-capacity-tokens": 243171, "weights-mb": weights_mb,
                       "adapter-slots": 8, "loads-per-s": 2.1, "models": specs}}


def run_case(folder, scenario):
    """Runs `scenario(record, scratch, started)` and ends the process with its exit code: 1 if the
    rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    started = []
    scratch = tempfile.mkdtemp()

    def finish(code):
        for gateway in started:
            gateway.kill()
        record.note("exit", code=code)
        record.close()
        logs = os.environ.get("KEEP_LOGS")
        for gateway in started if logs else []:
            shutil.move(gateway.log, os.path.join(logs, gateway.name + ".log"))
        shutil.rmtree(scratch)
        sys.stdout.flush()
        # Ends at once: the stand-ins' connections need no orderly end.
        os._exit(code)

    async def bounded():
        try:
            async with asyncio.timeout(LONGEST_S):
                code = await scenario(record, scratch, started)
        except Exception as error:  # The case could not run.
            record.note("failed-to-run", error=repr(error))
            print("the case could not run:", repr(error))
            code = 2
        finish(code)

    signal.signal(signal.SIGTERM, lambda *_: finish(2))
    asyncio.run(bounded())
