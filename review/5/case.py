"""The store cuts waiting watches; meanwhile a runner leaves without a draining report."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import platform, runner, store  # noqa: E402

HERE = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = platform.BOUNDS["drain-ms"] / 1000
CUTS = 5
CUT_EVERY_S = 2.0
ORDER_EVERY_S = 3.2
WORK_S = 0.06


async def scenario(record, folder, started):
    addresses = platform.Addresses()
    host = addresses.host()
    shop = store.Store(host, addresses.port(host), record)
    await shop.start()
    shop.put_json("op/config", platform.config(
        1, [platform.route("orders", "desk", "non_idempotent", 1000, 100)],
        [platform.plain_service("desk")]))
    runners = []
    for number in range(3):
        host = addresses.host()
        runners.append(runner.Runner(record, shop, "desk", f"i-{number + 1}", host,
                                     addresses.port(host), "regina", slots=6, work_s=WORK_S))
        await runners[-1].start(pings=30, up_for_s=60.0)
    gateways = []
    for name in ("front-1", "front-2"):
        host = addresses.host()
        own = await shop.own_address(name, host, addresses.port(host))
        gateways.append(platform.Gateway(record, addresses, shop, name, "regina", folder, own))
    for gateway in gateways:
        gateway.start()
        started.append(gateway)
        asyncio.ensure_future(gateway.watch(restart=True))
    balancer = platform.Balancer(record, gateways)
    asyncio.ensure_future(balancer.run())
    await asyncio.sleep(5.0)
    client = platform.Client(record)
    outcomes = []

    async def order(gateway):
        outcomes.append(await client.send(gateway, "POST", "/orders/place",
                                          {"Host": "desk.example"}, b"napkins 200\n", budget_s=1.0))

    async def orders():
        """One order in a while at each gateway, as for a rarely used service."""
        for _ in range(5):
            await asyncio.gather(*(order(gateway) for gateway in gateways),
                                 asyncio.sleep(ORDER_EVERY_S))

    async def cuts():
        for _ in range(CUTS):
            record.note("watches-cut", count=shop.cut_watches())
            await asyncio.sleep(CUT_EVERY_S)

    work = asyncio.ensure_future(orders())
    await asyncio.sleep(2 * ORDER_EVERY_S - 0.8)
    if TROUBLE:
        asyncio.ensure_future(cuts())
    await asyncio.sleep(1.0)
    # The runner that took the last order is taken away.
    leaver = next(r for r in runners if r.id == record.of("run")[-1][1]["runner"])
    acked = leaver.leave_unannounced()
    removed = shop.revision
    # "They continue serving for the same time": drain-ms and a little longer.
    await asyncio.sleep(acked + DRAIN_S + 1.05 - record.now())
    leaver.exit()
    await work
    await asyncio.sleep(1.0)
    # A gateway has acknowledged the removal at the latest when it asks for what follows it.
    bound = {}
    for gateway in gateways:
        own = min(at for at, after in shop.continued[gateway.name] if after >= removed)
        bound[gateway.name] = max(acked, own) + DRAIN_S
        record.note("gateway-acknowledged", gateway=gateway.name, at=f"{own:.3f}")
    sent = {o.attempt: o for o in outcomes}
    late = [facts["attempt"] for at, facts in record.of("run")
            if facts["runner"] == leaver.id and at > bound[sent[facts["attempt"]].gateway.name]]
    lost = [attempt for attempt in late if sent[attempt].status != 200]
    record.note("verdict", store_ack=f"{acked:.3f}", late_requests=len(late), lost=len(lost),
                orders=len(outcomes))
    print(f"orders at the removed runner later than drain-ms after the gateway acknowledged its "
          f"removal: {len(late)} of {len(outcomes)}; lost with it: {len(lost)}")
    return 1 if late else 0


if __name__ == "__main__":
    platform.run_case(HERE, scenario)
