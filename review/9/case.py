"""DRAIN: a ping that the store carries out late brings a runner that has left back into use, though
it is older than those that came before."""

import asyncio
import json
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

LATE_S = 5.9  # how much later the store carries out the write: 1 to 6 s
LEAVES_S = 3.3  # when the runner leaves: the store has been without impairment for 3 s
SERVES_ON_S = 8.0  # drain-ms and some seconds
CONFIG = {
    "version": 7,
    "routes": [{"name": "r-status", "hostname": "desk.example", "path-prefix": "/status/",
                "kind": "idempotent", "timeout-ms": 1000, "target-latency-ms": 100, "priority": 1,
                "service": "order-desk", "max-attempts": 2}],
    "services": [{"name": "order-desk", "health-path": "/healthz", "max-conns": 110,
                  "protocol": "h1", "tls": False}],
    "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
               "idle-timeout-ms": 15000}}


async def case(record):
    net = fleet.free_net()
    platform = store.Store(record)
    await platform.start("127.0.%d.100" % net)
    system = fleet.Fleet(record, platform, 2, net)
    system.store_address = platform.server.address
    platform.put_json("op/config", CONFIG)
    runners = [runner.Runner(record, platform, "i-%d" % index, "order-desk", 6)
               for index in range(3)]
    for server in runners:
        await server.start("127.0.%d.101" % net)
    leaver = runners[2]
    key = "servers/" + leaver.identity
    tasks = []
    statuses = {}

    async def ask():
        number = 0
        while True:
            number += 1
            attempt = "%016x" % number
            answer = await web.call(
                system.gateways[number % 2].front,
                web.format_head("GET /status/7 HTTP/1.1", {
                    "Host": "desk.example", "Attempt-Id": attempt, "Deadline-Ms": "1000"}), 2)
            statuses[answer.status] = statuses.get(answer.status, 0) + 1
            record("%s: %s %s" % (attempt, answer.status, answer.error))
            await asyncio.sleep(0.02)

    async def carry_out_late(entry):
        await asyncio.sleep(LATE_S)
        platform.put_json(key, entry)
        record("the store carries out the ping with seq %d" % entry["seq"])
        # Nobody writes there any more: the entry ends after three ping intervals.
        await asyncio.sleep(3.6)
        platform.remove(key)
        record("the store removes the entry again")

    try:
        system.start()
        await system.wait_ready()
        tasks.append(asyncio.ensure_future(ask()))
        await asyncio.sleep(2)
        if fleet.trouble():
            # The store takes a ping, does not answer it, and carries it out later.
            leaver.pings += 1
            entry = dict(leaver.description(), seq=leaver.pings)
            tasks.append(asyncio.ensure_future(carry_out_late(entry)))
            record("the ping with seq %d gets no answer" % leaver.pings)
        await asyncio.sleep(LEAVES_S)
        leaver.pinger.cancel()
        last = json.loads(platform.value(key))["seq"]
        platform.remove(key)
        gone = time.monotonic()
        record("%s leaves; its last ping had seq %d; it serves on for %.1f s" % (
            leaver.identity, last, SERVES_ON_S))
        await asyncio.sleep(SERVES_ON_S)
        leaver.stop()
        record("%s ends" % leaver.identity)
        await asyncio.sleep(1)
        bound = gone + system.bounds["drain-ms"] / 1000
        late = [(attempt, at - gone) for attempt, at in leaver.runs if at > bound]
        for attempt, after in late:
            record("DRAIN: %s runs at %s %.2f s after the ack that it is gone" % (
                attempt, leaver.identity, after))
        record.say("answers %s; %d requests ran at %s, %d of them later than %d ms after the ack" % (
            statuses, len(leaver.runs), leaver.identity, len(late), system.bounds["drain-ms"]))
    finally:
        for task in tasks:
            task.cancel()
        system.stop()
        platform.stop()
        for server in runners:
            server.stop()
    return fleet.BROKEN if late else fleet.HELD


sys.exit(fleet.run(FOLDER, case))
