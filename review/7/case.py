"""REFUSED: an order is answered 503 although a runner has run it."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
sys.dont_write_bytecode = True

import fleet  # noqa: E402
import runner  # noqa: E402
import store  # noqa: E402
import web  # noqa: E402

REQUESTS = 600
RUNNERS = 7
# One of the seven runners (share 0.14) fails the third and the fifth of each five requests that it
# gets, so at any time at most 0.4 of them, for 6.5 s.
FAILING, FAILS_S = (3, 0), 6.5
CONFIG = {
    "version": 7,
    "routes": [{"name": "r-orders", "hostname": "desk.example", "path-prefix": "/orders/",
                "kind": "non_idempotent", "timeout-ms": 1000, "target-latency-ms": 100,
                "priority": 1, "service": "order-desk", "max-attempts": 1}],
    "services": [{"name": "order-desk", "health-path": "/healthz", "max-conns": 110,
                  "protocol": "h1", "tls": False}],
    "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
               "idle-timeout-ms": 15000}}


class GreyRunner(runner.Runner):
    """Runs each request, and fails part of them: it has placed the order, and then answers 503. The
    answer bears no Not-Executed, because the request has run."""

    placed = []  # the orders that the service has placed, by the client's order number

    def __init__(self, *arguments, failing):
        super().__init__(*arguments)
        self.failing = failing
        self.fails_until = 0

    async def run(self, request, writer):
        self.note_run(request)
        GreyRunner.placed.append(request.body.decode())
        await asyncio.sleep(0.015)
        if len(self.runs) % 5 in self.failing and time.monotonic() < self.fails_until:
            writer.write(web.format_answer(503, self.sealed(request), b"order desk: internal failure"))
        else:
            writer.write(web.format_answer(200, self.sealed(request), b"placed"))
        return True


async def case(record):
    net = fleet.free_net()
    platform = store.Store(record)
    await platform.start("127.0.%d.100" % net)
    system = fleet.Fleet(record, platform, 2, net)
    system.store_address = platform.server.address
    platform.put_json("op/config", CONFIG)
    failing = FAILING if fleet.trouble() else ()
    runners = [GreyRunner(record, platform, "i-%d" % index, "order-desk", 6,
                          failing=failing if index == 0 else ()) for index in range(RUNNERS)]
    for server in runners:
        await server.start("127.0.%d.101" % net)
    runs = {}
    broken = 0
    try:
        system.start()
        await system.wait_ready()
        runners[0].fails_until = time.monotonic() + FAILS_S
        for number in range(REQUESTS):
            order = "order %d" % number
            # As the pages say: repeated once, with a new id, only after a promise.
            for attempt in range(2):
                identity = "%08x%08x" % (number + 1, attempt)
                request = web.format_head(
                    "POST /orders/new HTTP/1.1",
                    {"Host": "desk.example", "Attempt-Id": identity, "Deadline-Ms": "1000",
                     "Content-Length": str(len(order))}) + order.encode()
                answer = await web.call(system.gateways[number % 2].front, request, 2)
                for server in runners:
                    runs.update(dict.fromkeys((run[0] for run in server.runs), server.identity))
                record("%s of %s: status %s, %s" % (identity, order, answer.status, answer.error or
                                                    answer.body.decode(errors="replace").strip()))
                if answer.status in (408, 421, 429, 503) and identity in runs:
                    broken += 1
                    record("REFUSED: %s is answered %d and has run at %s" % (
                        identity, answer.status, runs[identity]))
                if answer.status not in (408, 421, 429, 503):
                    break
        twice = sum(1 for number in range(REQUESTS)
                    if GreyRunner.placed.count("order %d" % number) > 1)
        record.say("%d requests for %d orders, %d of them at %s: %d were answered with a promise and "
                   "had run; %d orders were placed twice" % (
                       len(runs), REQUESTS, len(runners[0].runs), runners[0].identity, broken, twice))
    finally:
        system.stop()
        platform.stop()
        for server in runners:
            server.stop()
    return fleet.BROKEN if broken else fleet.HELD


sys.exit(fleet.run(FOLDER, case))
