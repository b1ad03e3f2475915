"""Another writer leaves an entry without all its fields in the list of runners.

usage: foreign_entry.py FOLDER; writes FOLDER/record.txt. Exit: 1 rule broken, 0 held, 2 could not
run. TROUBLE=0: without the other writer.
"""
import asyncio
import json
import os
import sys
import tempfile

from bed import (Client, Gateway, Record, Runner, Store, answer_bytes, attempt_id, config, now, route,
                 service)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TRAFFIC_S = 20.0
# Five print orders at once, 8 a second: with three runners at the desk, each has one.
ORDERS_AT_ONCE = 5
ORDERS_PER_S = 8.0
WRITES = 8


async def run_it(runner, request, _reader, writer):
    runner.runs_it(request)
    await asyncio.sleep(0.015)
    writer.write(answer_bytes(200, b"done " + request.get("Attempt-Id").encode(),
                              runner.head_fields(request)))


def foreign_entry(runner, service_name):
    """The runner's entry as another writer spells it: `version` is missing, the service another."""
    entry = runner.entry()
    entry["service"] = service_name
    del entry["version"]
    return entry


async def order(gateway, record, sent):
    request_id = attempt_id()
    client = Client(gateway)
    status = "none"
    try:
        await asyncio.wait_for(client.open(), 1)
        sent.append(request_id)
        client.send("POST", "/puxa403/2f", [("Attempt-Id", request_id), ("Deadline-Ms", 1000)])
        answer = await client.answer(3)
        status = answer[0].split()[1] if answer else "closed"
    except (OSError, asyncio.TimeoutError):
        pass
    client.close()
    record.line(f"client order id={request_id} answer={status}")


async def main(folder, work):
    record = Record(os.path.join(folder, "record.txt"))
    store = Store()
    await store.start()
    # The only route leads to the order desk, in the only configuration.
    routes = [route("r-order", "/puxa403/", "gopu72b", "non_idempotent")]
    store.put("op/config", json.dumps(config(7, routes, [service("gopu72b"),
                                                         service("zigo56a", 370)])).encode())
    desk = [Runner(store, "gopu72b", record, run_it) for _ in range(3)]
    writers = [Runner(store, "zigo56a", record, run_it, slots=64) for _ in range(2)]
    for runner in desk + writers:
        await runner.start()
        record.line(f"runner={runner.id} service={runner.service} address={runner.port}")
    gateway = Gateway(work, store, "front-regina-1", "127.0.0.1")
    gateway.start()
    try:
        if not await gateway.wait_ready():
            record.line("the gateway did not become ready")
            return 2
        await asyncio.sleep(4)  # In touch for stable-window-ms.
        sent, orders, begin, writes = [], [], now(), 0
        while now() < begin + TRAFFIC_S:
            for _ in range(ORDERS_AT_ONCE):
                orders.append(asyncio.create_task(order(gateway, record, sent)))
            if TROUBLE and writes < WRITES and now() - begin > 2 * (writes + 1):
                entry = foreign_entry(writers[0], "gopu72b")
                store.put("servers/" + writers[0].id, json.dumps(entry).encode())
                record.line(f"another writer writes servers/{writers[0].id} {json.dumps(entry)}")
                writes += 1
            await asyncio.sleep(ORDERS_AT_ONCE / ORDERS_PER_S)
        await asyncio.gather(*orders)
        wrong = [i for runner in writers for i in runner.runs if i in sent]
        died = gateway.process.poll() is not None
        text = (f"orders={len(sent)} run by the order desk={sum(len(r.runs) for r in desk)} run by "
                f"the other service={len(wrong)}; died={died}; "
                f"{'BROKEN: ROUTE' if wrong else 'held'}")
        record.line(text)
        print(text)
        return 1 if wrong else 0
    finally:
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
