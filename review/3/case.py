"""A model runner crashes in the middle of a load, is back under its id, and is taken away later."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import platform, runner, store  # noqa: E402

HERE = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = platform.BOUNDS["drain-ms"] / 1000
CRASHES_AFTER_S = 5.0
DOWN_S = 2.0
# Time from the start of the process to its first ping; less than a ping interval.
FIRST_PING_S = 0.6
# "It continues serving for drain-ms after the store has accepted that report and a little longer
# (at times many seconds), and then exits."
SERVES_ON_S = 5.0
RUNNERS = 7
IN_USE = [f"m{number}" for number in range(3 * (RUNNERS - 1))]
IDLE = ["m90", "m91"]
RARE = "m99"
MODELS = {name: {"mb": 72700.0, "load_s": 6.0, "disk_s": 0.84} for name in IN_USE + IDLE + [RARE]}


async def premium(client, gateway, events):
    headers = {"Host": "desk.example", "Model-Name": RARE, "Token-Usage": f"600,{events}",
               "Prompt-Prefix": "5c1e07a2:400,91bd3f06:200"}
    return await client.send(gateway, "POST", "/premium/p", headers, b"x" * 400, budget_s=15.0)


async def steady(balancer, client):
    """Notes for the models in use, one a second for each."""
    number = 0
    while True:
        for model in IN_USE:
            headers = {"Host": "desk.example", "Model-Name": model, "Token-Usage": "300,3",
                       "Prompt-Prefix": f"77aa01:200,{number:x}:100"}
            asyncio.ensure_future(client.send(balancer.pick(number), "POST", "/note/n", headers,
                                              b"x" * 200, budget_s=10.0))
            number += 1
            await asyncio.sleep(1.0 / len(IN_USE))


async def scenario(record, folder, started):
    addresses = platform.Addresses()
    host = addresses.host()
    shop = store.Store(host, addresses.port(host), record)
    await shop.start()
    shop.put_json("op/config", platform.config(
        1, [platform.route("premium", "writer", "stream", 15000, 2500, resumable=False, sticky=True,
                           gap_aim_ms=400),
            platform.route("note", "writer", "stream", 15000, 1500, resumable=True, sticky=True,
                           gap_aim_ms=400, max_attempts=2)],
        [platform.engine_service("writer", MODELS, 220000.0)]))
    runners = []
    for number in range(RUNNERS):
        host = addresses.host()
        holds = IDLE if number == 0 else IN_USE[3 * number - 3:3 * number]
        runners.append(runner.Runner(record, shop, "writer", f"i-{number + 1}", host,
                                     addresses.port(host), "regina", models=MODELS, holds=holds))
    # They have been up for two minutes; their entries last changed 90 s after their start.
    for one in runners:
        await one.start(pings=75, up_for_s=120.0)
    leaver = runners[0]
    gateways = [platform.Gateway(record, addresses, shop, name, "regina", folder)
                for name in ("front-1", "front-2")]
    for gateway in gateways:
        gateway.start()
        started.append(gateway)
        asyncio.ensure_future(gateway.watch(restart=True))
    balancer = platform.Balancer(record, gateways)
    asyncio.ensure_future(balancer.run())
    client = platform.Client(record)
    asyncio.ensure_future(steady(balancer, client))

    # The leader loads the model that no runner has a copy of: only i-1 has room.
    await asyncio.wait_for(leaver.on_order.wait(), 20)
    if TROUBLE:
        await asyncio.sleep(CRASHES_AFTER_S)
        leaver.crash()
        await asyncio.sleep(DOWN_S)
        await leaver.start(first_ping_s=FIRST_PING_S)
    while RARE not in leaver.holds:
        await asyncio.sleep(0.1)
        if record.now() > 50:
            raise RuntimeError("the rare model was not loaded at the runner")
    await asyncio.sleep(4.0)
    first = await asyncio.gather(*(premium(client, gateway, 3) for gateway in gateways))
    if not all(outcome.complete and outcome.status == 200 for outcome in first):
        raise RuntimeError("the rare model is not served")
    # Longer than stable-window-ms without any disruption: all machines are in touch.
    await asyncio.sleep(4.0)

    acked = leaver.drain()
    await asyncio.sleep(DRAIN_S + 1.5)
    last = [asyncio.ensure_future(premium(client, gateway, 50)) for gateway in gateways]
    await asyncio.sleep(acked + DRAIN_S + SERVES_ON_S - record.now())
    leaver.exit()
    outcomes = await asyncio.gather(*last)
    late = [(at, facts) for at, facts in record.of("run")
            if facts["runner"] == leaver.id and at > acked + DRAIN_S]
    cut = [o for o in outcomes if o.status == 200 and not o.complete]
    record.note("verdict", acked=f"{acked:.3f}", bound=f"{acked + DRAIN_S:.3f}",
                late_requests=len(late), cut_streams=len(cut))
    print(f"requests at the leaving runner later than drain-ms after the ack: {len(late)}; "
          f"premium streams cut off by its exit: {len(cut)}")
    return 1 if late else 0


if __name__ == "__main__":
    platform.run_case(HERE, scenario)
