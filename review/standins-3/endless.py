"""Runners whose answers have no end, beside sound runners and sound requests at one gateway.

usage: endless.py FOLDER; writes FOLDER/record.txt. Exit: 1 rule broken, 0 held, 2 could not run.
TROUBLE=0: the same runners answer soundly.
"""
import asyncio
import json
import multiprocessing
import os
import random
import signal
import socket
import sys
import tempfile
import threading

from bed import (HOST, Client, Gateway, Record, Runner, Store, answer_bytes, attempt_id, config, now,
                 route, service)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
TRAFFIC_S = 24.0
# One of the six fronts of prairiefold-hq gets a sixth of its streams: (path, requests a second,
# patience of the client without a piece: the longest of 2 s, four objectives, eight pauses).
STREAMS = [("/lohu930/", 1.24, 3.2), ("/pufi791/", 0.54, 10.0), ("/note55/", 1.59, 6.0)]
# The share of a faulty runner's answers that have no end.
ENDLESS_SHARE = 0.45
ORDERS_PER_S = 4.0
PIECES = 10


def stream_head(request_id, runner):
    return (f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {request_id}\r\n"
            f"Server-Seal: {SEAL}\r\nInstance-Id: {runner}\r\n\r\n").encode()


def serve_stream(connection, runner, endless, log):
    """One request a connection: the answer has no length and ends with the connection."""
    head = b""
    while b"\r\n\r\n" not in head:
        data = connection.recv(65536)
        if not data:
            return
        head += data
    fields = [line.split(b":", 1) for line in head.split(b"\r\n") if b":" in line]
    request_id = [v.strip() for k, v in fields if k.lower() == b"attempt-id"][0].decode()
    endless = endless and random.random() < ENDLESS_SHARE
    log.put(f"runner={runner} runs id={request_id} {'endless' if endless else 'sound'}")
    connection.sendall(stream_head(request_id, runner))
    if not endless:
        for piece in range(1, PIECES + 1):
            connection.sendall(b"id: %d\ndata: %s\n\n" % (piece, request_id.encode()))
            threading.Event().wait(0.05)
        return
    sent = 0
    try:
        while True:
            connection.sendall(b"\r\n" * 32768)
            sent += 65536
    except OSError:
        log.put(f"runner={runner} cut by its caller id={request_id} after {sent} bytes")


def stream_runner(port, runner, endless, log):
    listener = socket.create_server(("127.0.0.1", port), backlog=256)

    def serve(connection):
        with connection:
            try:
                serve_stream(connection, runner, endless, log)
            except (OSError, IndexError):
                pass

    while True:
        threading.Thread(target=serve, args=(listener.accept()[0],), daemon=True).start()


def one_stream(address, path, patience, log):
    request_id = attempt_id()
    begin = last = now()
    pieces = bytes_read = 0
    end = "complete"
    try:
        with socket.create_connection(address, timeout=1) as connection:
            connection.sendall(f"POST {path}2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {request_id}\r\n"
                               f"Deadline-Ms: 15000\r\nContent-Length: 0\r\n\r\n".encode())
            tail = b""
            while True:
                connection.settimeout(max(0.01, patience - (now() - last)))
                data = connection.recv(1 << 20)
                bytes_read += len(data)
                found = (tail + data).count(b"data:")
                tail = data[-4:]
                if found:
                    pieces, last = pieces + found, now()
                if not data or (tail + data).endswith(b"0\r\n\r\n"):
                    end = "complete" if pieces == PIECES else "broken off"
                    break
                if now() - last > patience:
                    end = "left without a piece"
                    break
    except socket.timeout:
        end = "left without a piece"
    except OSError as error:
        end = f"broken off ({error})"
    log.put(f"client stream id={request_id} {path} {end} pieces={pieces} bytes={bytes_read} "
            f"after={now() - begin:.3f}")


def stream_clients(address, seed, share, log):
    draw = random.Random(seed)
    end = now() + TRAFFIC_S
    rate = share * sum(r for _, r, _ in STREAMS)
    while now() < end:
        threading.Event().wait(draw.expovariate(rate))
        path, _, patience = draw.choices(STREAMS, [r for _, r, _ in STREAMS])[0]
        threading.Thread(target=one_stream, args=(address, path, patience, log), daemon=True).start()
    threading.Event().wait(11)


async def sound_order(runner, request, _reader, writer):
    runner.runs_it(request)
    await asyncio.sleep(0.015)
    writer.write(answer_bytes(200, b"placed " + request.get("Attempt-Id").encode(),
                              runner.head_fields(request)))


async def order(gateway, record, results):
    request_id = attempt_id()
    client = Client(gateway)
    begin = now()
    try:
        await asyncio.wait_for(client.open(), 1)
    except (OSError, asyncio.TimeoutError):
        record.line(f"client order id={request_id} no connection")
        return
    client.send("POST", "/puxa403/2f", [("Attempt-Id", request_id), ("Deadline-Ms", 1000)])
    status = "none"
    try:
        answer = await client.answer(10)
        status = answer[0].split()[1] if answer else "closed"
    except asyncio.TimeoutError:
        pass
    took = now() - begin
    client.close()
    results.append((took, status))
    record.line(f"client order id={request_id} answer={status} after={took:.3f}")


async def ready_checks(gateway, record, misses, end):
    while now() < end:
        begin = now()
        try:
            reader, writer = await asyncio.open_connection(gateway.ip, gateway.ready)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            fine = b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            fine = False
        record.line(f"readyz {'200' if fine else 'no answer within 1 s'}")
        if not fine:
            misses.append(now())
        await asyncio.sleep(max(0, 1 - (now() - begin)))


async def main(folder, work, processes):
    record = Record(os.path.join(folder, "record.txt"))
    store = Store()
    await store.start()
    routes = [route("r-order", "/puxa403/", "gopu72b", "non_idempotent"),
              route("r-draft", "/lohu930/", "zigo56a", "stream", 5000, 800, 2, resumable=True,
                    **{"gap-aim-ms": 400}),
              route("r-premium", "/pufi791/", "zigo56a", "stream", 15000, 2500, 1, resumable=False,
                    **{"gap-aim-ms": 400}),
              route("r-note", "/note55/", "zigo56a", "stream", 15000, 1500, 2, resumable=True,
                    **{"gap-aim-ms": 400})]
    store.put("op/config", json.dumps(config(7, routes, [service("gopu72b"),
                                                         service("zigo56a", 370)])).encode())
    log = multiprocessing.Queue()
    for _ in range(3):
        await Runner(store, "gopu72b", record, sound_order).start()
    for number in range(5):
        runner = Runner(store, "zigo56a", record, slots=64)
        faulty = TROUBLE and number < 2  # a share of 0.4
        processes.append(multiprocessing.Process(target=stream_runner, daemon=True,
                                                 args=(runner.port, runner.id, faulty, log)))
        processes[-1].start()
        runner.write_entry()
        runner.task = asyncio.create_task(runner.heartbeat())
    gateway = Gateway(work, store, "front-regina-1", "127.0.0.1")
    gateway.start()
    try:
        if not await gateway.wait_ready():
            record.line("the gateway did not become ready")
            return 2
        await asyncio.sleep(4)  # In touch for stable-window-ms.
        for number in range(6):
            processes.append(multiprocessing.Process(
                target=stream_clients, daemon=True,
                args=((gateway.ip, gateway.front), number, 1 / 6, log)))
            processes[-1].start()
        results, misses, orders, begin = [], [], [], now()
        checks = asyncio.create_task(ready_checks(gateway, record, misses, begin + TRAFFIC_S))
        while now() < begin + TRAFFIC_S:
            orders.append(asyncio.create_task(order(gateway, record, results)))
            await asyncio.sleep(1 / ORDERS_PER_S)
        await checks
        await asyncio.gather(*orders)
        await asyncio.sleep(1)
        while not log.empty():
            record.line(log.get())
        late = [took for took, _ in results if took > 1.0]
        missing = [took for took in late if took > 1.5]
        pairs = sum(1 for a, b in zip(misses, misses[1:]) if b - a < 2.5)
        died = gateway.process.poll() is not None
        with open(f"/proc/{gateway.process.pid}/stat") as stat:
            ticks = stat.read().rsplit(")", 1)[1].split()
        cpu = (int(ticks[11]) + int(ticks[12])) / os.sysconf("SC_CLK_TCK")
        broken = died or (len(late) >= 8 and 2 * len(missing) > len(late))
        text = (f"orders={len(results)} unanswered at timeout-ms={len(late)} and half a second "
                f"later={len(missing)} slowest={max((t for t, _ in results), default=0):.3f} s; "
                f"readyz misses={len(misses)} two in a row={pairs}; died={died}; "
                f"processor time of the gateway={cpu:.1f} s; "
                f"{'BROKEN: CONFIG' if broken else 'held'}")
        record.line(text)
        print(text)
        return 1 if broken else 0
    finally:
        gateway.stop()


if __name__ == "__main__":
    started, code = [], 2
    # A run that takes too long is ended by SIGTERM; its processes end with it.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    with tempfile.TemporaryDirectory() as temporary:
        try:
            # The loop isn't closed: the stand-ins' open connections end with this process.
            loop = asyncio.new_event_loop()
            code = loop.run_until_complete(main(sys.argv[1], temporary, started))
        except (OSError, RuntimeError) as problem:
            print(problem)
        finally:
            for process in started:
                process.kill()
    sys.stdout.flush()
    os._exit(code)
