"""Starts gateways as the deploy file says, with stand-ins around them, and keeps the record."""

import asyncio
import json
import os
import pathlib
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

import web

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
# The port of the gateway's own metrics; `metrics` in the deploy file.
METRICS_PORT = 9464


class NotRun(Exception):
    """The case could not run."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of what was sent, answered and run, with seconds since the start of the script."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()

    def say(self, text):
        self(text)
        print(text, flush=True)


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def free_net():
    """A number N for addresses 127.0.N.x on which no other run of a case listens."""
    for net in [60 + (os.getpid() + step) % 180 for step in range(180)]:
        try:
            with socket.socket() as probe:
                probe.bind(("127.0.%d.1" % net, METRICS_PORT))
            return net
        except OSError:
            continue
    raise NotRun("no free loopback addresses")


# Bounds of the page's example of a settings file.
BOUNDS = {"seed-lag-s": 3, "reuse-after-s": 2, "stable-window-ms": 3000, "ack-ms": 4000,
          "catch-up-s": 4, "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200,
          "config-apply-ms": 2000, "rollback-slack-ms": 250, "skew-max-ms": 5000,
          "retry-budget-ratio": 0.2, "budget-window-s": 10, "retry-slack": 58, "recovery-s": 12,
          "pass-ms": 120, "retry-after-s": 0, "require-fencing": True, "lease-ms": 3000,
          "thaw-slack-ms": 300, "ceiling-window-s": 5, "load-overshoot": 1.1}
LIMITS = {"cpu-share": 0.19, "cores": 1, "memory-mb": 260, "max-fds": 4100, "link-mbps": 1000.0,
          "disk-mb": 0}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine",
             "platform"]


class Gateway:
    """One gateway process on its own loopback address."""

    def __init__(self, fleet, index):
        self.fleet = fleet
        self.name = "front-a-%d" % (index + 1)
        self.ip = "127.0.%d.%d" % (fleet.net, index + 1)
        ports = [free_port(self.ip) for _ in range(4)]
        self.front = "%s:%d" % (self.ip, ports[0])
        self.ready = "%s:%d" % (self.ip, ports[1])
        self.control = "%s:%d" % (self.ip, ports[2])
        self.peer_port = ports[3]
        self.process = None

    def settings(self):
        fleet = self.fleet
        return {"node": self.name, "role": "gateway", "machine-class": "front",
                "serves": ["front"], "ip": self.ip, "zone": "a", "region": "r",
                "zones": {"a": "r"},
                "listen": {"front": self.front, "ready": self.ready, "control": self.control},
                "port-range": [self.peer_port, self.peer_port + 15], "seeds": [],
                "bootstrap": True, "in-fault-budget": False,
                "limits": fleet.limits,
                "data-dir": None, "discovery": "platform", "entry": "vip", "heartbeat-ms": 1200,
                "contracts": fleet.contracts,
                "tolerate": {"machines": 1, "zones": 0, "regions": 0}, "bounds": fleet.bounds,
                "platform": {"address": fleet.store_address, "form": "kv",
                             "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20,
                             "value-bytes": 1048576, "ttl-min-ms": 1000}}

    def start(self):
        path = self.fleet.folder / (self.name + ".json")
        path.write_text(json.dumps(self.settings()))
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["SHALLOTSPREAD_CONFIG"] = str(path)
        log = open(self.fleet.folder / (self.name + ".log"), "ab")
        self.process = subprocess.Popen(self.fleet.command, cwd=ROOT, env=environment, stdout=log,
                                        stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.fleet.record("started %s" % self.name)

    def signal(self, number):
        self.fleet.record("%s to %s" % (signal.Signals(number).name, self.name))
        self.process.send_signal(number)

    def running(self):
        return self.process is not None and self.process.poll() is None


class Fleet:
    def __init__(self, record, store, gateways, net):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.command = shlex.split(deploy["roles"]["gateway"]["run"])
        if not (ROOT / self.command[0]).exists():
            raise NotRun("the build line of the deploy file has not been run")
        self.record = record
        self.store = store
        self.net = net
        self.bounds = dict(BOUNDS)
        self.contracts = CONTRACTS
        self.limits = dict(LIMITS)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-2-"))
        self.store_address = None
        self.gateways = [Gateway(self, index) for index in range(gateways)]

    def start(self):
        for gateway in self.gateways:
            gateway.start()

    async def wait_ready(self, limit=10):
        end = time.monotonic() + limit
        for gateway in self.gateways:
            while True:
                answer = await web.call(
                    gateway.ready, b"GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n", 1)
                if answer.status == 200:
                    break
                if time.monotonic() > end:
                    raise NotRun("%s did not become ready" % gateway.name)
                await asyncio.sleep(0.05)

    def stop(self):
        for gateway in self.gateways:
            if gateway.running():
                gateway.process.kill()
                gateway.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def run(folder, case):
    """Runs the coroutine function case(record) and returns the exit status."""
    record = Record(folder)
    # Ends the gateways also when the script is told to stop.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        status = asyncio.run(asyncio.wait_for(case(record), 115))
    except NotRun as error:
        record.say("could not run: %s" % error)
        return NOT_RUN
    except (asyncio.TimeoutError, OSError) as error:
        record.say("could not run: %s %s" % (type(error).__name__, error))
        return NOT_RUN
    record.say({HELD: "the rule held", BROKEN: "the rule was broken",
                NOT_RUN: "could not run"}[status])
    return status
