"""Two of a zone's three gateways are stopped as planned while orders come in."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import platform, runner, store  # noqa: E402

HERE = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORK_S = 0.015
ORDERS_PER_S = 90
ROUNDS = 9
ROUND_S = 10.0
BUDGET_S = 1.0


async def scenario(record, folder, started):
    addresses = platform.Addresses()
    host = addresses.host()
    shop = store.Store(host, addresses.port(host), record)
    await shop.start()
    shop.put_json("op/config", platform.config(
        1, [platform.route("orders", "desk", "non_idempotent", 1000, 100)],
        [platform.plain_service("desk")]))
    for number in range(3):
        host = addresses.host()
        one = runner.Runner(record, shop, "desk", f"i-{number + 1}", host, addresses.port(host),
                            "regina", slots=6, work_s=WORK_S)
        await one.start(pings=30, up_for_s=60.0)
    gateways = [platform.Gateway(record, addresses, shop, name, "regina", folder)
                for name in ("front-1", "front-2", "front-3")]
    for gateway in gateways:
        gateway.start()
        started.append(gateway)
        asyncio.ensure_future(gateway.watch(restart=True))
    balancer = platform.Balancer(record, gateways)
    asyncio.ensure_future(balancer.run())
    await asyncio.sleep(4.0)
    client = platform.Client(record)
    outcomes = []

    async def order(number):
        outcomes.append(await client.send(balancer.pick(number), "POST", "/orders/place",
                                          {"Host": "desk.example"}, b"napkins 200\n",
                                          budget_s=BUDGET_S))

    async def traffic():
        number = 0
        while True:
            number += 1
            asyncio.ensure_future(order(number))
            await asyncio.sleep(1 / ORDERS_PER_S)

    orders = asyncio.ensure_future(traffic())
    for number in range(ROUNDS):
        # Longer than stable-window-ms since the last round.
        await asyncio.sleep(ROUND_S - 4.0)
        if TROUBLE:
            gateways[number % 3].terminate()
            gateways[(number + 1) % 3].terminate()
        await asyncio.sleep(4.0)
    orders.cancel()
    await asyncio.sleep(2.0)
    # An order that a runner has begun was read whole and passed on. No runner breaks off here.
    run = {facts["attempt"] for _, facts in record.of("run")}
    lost = [o for o in outcomes if o.attempt in run and not o.complete and
            o.took_s < 0.7 * BUDGET_S]
    stops = len(record.of("sigterm"))
    record.note("verdict", orders=len(outcomes), stops=stops, lost=len(lost),
                attempts=",".join(o.attempt for o in lost))
    print(f"orders that ran and whose connection ended without an answer: {len(lost)} of "
          f"{len(outcomes)}; planned stops: {stops}")
    return 1 if lost else 0


if __name__ == "__main__":
    platform.run_case(HERE, scenario)
