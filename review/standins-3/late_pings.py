"""Two late pings of a runner that has left.

usage: late_pings.py FOLDER; writes FOLDER/record.txt. Exit: 1 rule broken, 0 held, 2 could not run.
TROUBLE=0: the store carries the two pings out at once.
"""
import asyncio
import json
import os
import sys
import tempfile

from bed import (Client, Gateway, Record, Runner, Store, answer_bytes, attempt_id, config, now, route,
                 service)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = 2.0
LATE_S = (5.9, 5.6)  # How late the store carries the two pings out; it may be 1 to 6 s.
SERVES_S = 9.0  # drain-ms and some seconds more.
ORDERS_AT_ONCE = 8  # Four at each gateway, more than there are other runners.
ORDERS_PER_S = 8.0


async def run_it(runner, request, _reader, writer):
    runner.runs_it(request)
    await asyncio.sleep(0.015)
    writer.write(answer_bytes(200, b"done " + request.get("Attempt-Id").encode(),
                              runner.head_fields(request)))


async def order(gateway, record, sent):
    request_id = attempt_id()
    client = Client(gateway)
    status = "none"
    try:
        await asyncio.wait_for(client.open(), 1)
        sent[request_id] = now()
        client.send("POST", "/puxa403/2f", [("Attempt-Id", request_id), ("Deadline-Ms", 1000)])
        answer = await client.answer(3)
        status = answer[0].split()[1] if answer else "closed"
    except (OSError, asyncio.TimeoutError):
        pass
    client.close()
    record.line(f"client order id={request_id} gateway={gateway.name} answer={status}")


async def write_late(store, record, runner, entry, delay):
    await asyncio.sleep(delay)
    store.put("servers/" + runner.id, entry)
    record.line(f"store carries out the ping of {runner.id} after {delay} s: {entry.decode()}")


async def lapse(store, record, runner):
    """The store removes an entry after three ping intervals without a ping."""
    await asyncio.sleep(max(LATE_S) + 1.2 + 3 * 1.2)
    store.remove("servers/" + runner.id)
    record.line(f"store removes the entry of {runner.id}: no ping for 3.6 s")


async def main(folder, work):
    record = Record(os.path.join(folder, "record.txt"))
    store = Store()
    await store.start()
    routes = [route("r-order", "/puxa403/", "gopu72b", "non_idempotent")]
    store.put("op/config", json.dumps(config(7, routes, [service("gopu72b")])).encode())
    runners = [Runner(store, "gopu72b", record, run_it) for _ in range(3)]
    for runner in runners:
        await runner.start()
        record.line(f"runner={runner.id} address={runner.port}")
    gateways = [Gateway(work, store, f"front-regina-{n}", f"127.0.0.{n}") for n in (1, 2)]
    for gateway in gateways:
        gateway.start()
    try:
        if not all([await gateway.wait_ready() for gateway in gateways]):
            record.line("a gateway did not become ready")
            return 2
        await asyncio.sleep(6)  # In touch for stable-window-ms.
        sent, orders, begin, left_at = {}, [], now(), None
        leaving, late = runners[0], []

        async def leave():
            # Its last two pings get no answer; it can't know what became of them. Then it leaves
            # without reporting `draining`: the store removes its entry.
            leaving.beating = False
            await asyncio.sleep(1.2)
            for delay in LATE_S:
                leaving.beat += 1
                entry = json.dumps(leaving.entry()).encode()
                record.line(f"runner={leaving.id} pings, seq={leaving.beat}, no answer")
                late.append(asyncio.create_task(
                    write_late(store, record, leaving, entry, delay if TROUBLE else 0)))
                await asyncio.sleep(1.2 if delay is LATE_S[0] else 0.6)
            store.remove("servers/" + leaving.id)
            record.line(f"store removes the entry of {leaving.id}: it leaves, and serves on for "
                        f"{SERVES_S} s")
            late.append(asyncio.create_task(lapse(store, record, leaving)))
            return now()

        departure = asyncio.create_task(leave())
        while now() < begin + 1.2 + 1.8 + SERVES_S:
            for _ in range(ORDERS_AT_ONCE):
                orders.append(asyncio.create_task(order(gateways[len(orders) % 2], record, sent)))
            await asyncio.sleep(ORDERS_AT_ONCE / ORDERS_PER_S)
        left_at = await departure
        leaving.server.close()
        record.line(f"runner={leaving.id} exits")
        await asyncio.gather(*orders)
        wrong = [i for i in leaving.runs if i in sent and sent[i] > left_at + DRAIN_S]
        died = any(gateway.process.poll() is not None for gateway in gateways)
        text = (f"orders={len(sent)} sent later than drain-ms after the runner's removal and run "
                f"there={len(wrong)}, up to "
                f"{max((sent[i] - left_at for i in wrong), default=0):.1f} s after it; died={died}; "
                f"{'BROKEN: DRAIN' if wrong else 'held'}")
        record.line(text)
        print(text)
        return 1 if wrong else 0
    finally:
        for gateway in gateways:
            gateway.stop()


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as temporary:
        try:
            # The loop isn't closed: the stand-ins' open connections end with this process.
            loop = asyncio.new_event_loop()
            code = loop.run_until_complete(main(sys.argv[1], temporary))
        except (OSError, RuntimeError) as problem:
            print(problem)
            code = 2
    sys.stdout.flush()
    os._exit(code)
