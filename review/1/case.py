"""Runners answer long orders before they have read them, and read on a little later."""

import asyncio
import os
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import http, platform, runner, store  # noqa: E402

HERE = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The largest request of the site files.
LONG_BYTES = 110_000
# A link of an ordinary network: segments of 1,460 bytes and a small window.
SEGMENT_BYTES = 1_460
WINDOW_BYTES = 8_192
READS_ON_AFTER_S = 0.4
ROUNDS = 12


class EarlyServer:
    """Serves as a plain runner; answers a long request first and reads it afterwards."""

    def __init__(self, owner, host, port):
        self.owner = owner
        self.record = owner.record
        self.host = host
        self.port = port
        self.server = None

    async def start(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        listener.bind((self.host, self.port))
        self.server = await asyncio.start_server(self._serve, sock=listener, limit=65536)

    def stop(self):
        self.server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await http.read_head(reader)
                attempt = head.get("attempt-id")
                length = int(head.get("content-length", "0"))
                answer = {"Attempt-Id": attempt, "Instance-Id": self.owner.id,
                          "Server-Seal": f"{self.owner.id}.{attempt}"}
                early = TROUBLE and length == LONG_BYTES
                self.record.note("run", runner=self.owner.id, attempt=attempt, length=length,
                                 early=int(early))
                if early:
                    # The connection stays; the rest of the body is read later.
                    writer.write(http.format_answer(413, answer, b"too long\n"))
                    await writer.drain()
                    await asyncio.sleep(READS_ON_AFTER_S)
                await self._read_body(reader, attempt, length)
                if not early:
                    await asyncio.sleep(0.015)
                    writer.write(http.format_answer(200, answer, runner.plain_body(attempt)))
                    await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _read_body(self, reader, attempt, length):
        read = 0
        while read < length:
            data = await reader.read(min(65536, length - read))
            if not data:
                self.record.note("body-ended-early", attempt=attempt, read=read, of=length)
                raise ConnectionResetError
            read += len(data)
            other = data.replace(b"x", b"") if length == LONG_BYTES else b""
            if other:
                self.record.note("other-bytes", runner=self.owner.id, attempt=attempt,
                                 read=read, bytes=repr(other[:70]))


async def scenario(record, folder, started):
    addresses = platform.Addresses()
    host = addresses.host()
    shop = store.Store(host, addresses.port(host), record)
    await shop.start()
    shop.put_json("op/config", platform.config(
        1, [platform.route("orders", "desk", "non_idempotent", 2000, 200)],
        [platform.plain_service("desk")]))
    for number in range(3):
        host = addresses.host()
        one = runner.Runner(record, shop, "desk", f"i-{number + 1}", host, 0, "regina", slots=6)
        one.server = EarlyServer(one, host, addresses.port(host))
        await one.start(pings=30, up_for_s=60.0)
    gateways = [platform.Gateway(record, addresses, shop, name, "regina", folder)
                for name in ("front-1", "front-2")]
    for gateway in gateways:
        gateway.start()
        started.append(gateway)
        asyncio.ensure_future(gateway.watch(restart=True))
    balancer = platform.Balancer(record, gateways)
    asyncio.ensure_future(balancer.run())
    await asyncio.sleep(4.0)
    client = platform.Client(record)
    orders = []
    for number in range(ROUNDS):
        gateway = balancer.pick(number)
        for body in (b"x" * LONG_BYTES, b"napkins 200\n"):
            orders.append(await client.send(gateway, "POST", "/orders/place",
                                            {"Host": "desk.example"}, body, budget_s=2.0))
        await asyncio.sleep(0.2)
    await asyncio.sleep(1.0)
    other = record.of("other-bytes")
    unanswered = [o for o in orders if o.status not in (200, 413, 429, 503)]
    record.note("verdict", bodies_with_other_bytes=len(other), orders=len(orders),
                not_answered=len(unanswered))
    print(f"bodies in which a runner got other bytes: {len(other)} of {ROUNDS}; orders of "
          f"{len(orders)} that ended without the runner's answer: {len(unanswered)}")
    return 1 if other else 0


if __name__ == "__main__":
    platform.run_case(HERE, scenario)
