"""Requests with a part that crashes each runner that begins to answer them.

usage: crashing_runners.py FOLDER; writes FOLDER/record.txt. Exit: 1 rule broken, 0 held, 2 could not
run. TROUBLE=0: the part crashes no runner.

A runner is a process that listens, with a worker process for the model. The deadly part ends the
worker, and with it its connections. The listening process waits for its end and exits at once.
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
import time

from bed import HOST, Gateway, Record, Runner, Store, attempt_id, config, now, route, service

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
DEADLY = b"dead0001"
NOTICE_S = 0.0  # From the end of the worker until the listening process, which waits for it, exits.
DOWN_S = 6.0  # "the runner is back after some seconds"
TRAFFIC_S = 30.0
DEADLY_FOR_S = 22.0
PIECES = 10
RUNNERS = 12
REQUESTS_PER_S = 9.5  # reorder-note
DEADLY_SHARE = 0.05


def serve(connection, runner, deadly, log):
    """Answers requests on one connection until it ends."""
    data = b""
    while True:
        while b"\r\n\r\n" not in data:
            got = connection.recv(65536)
            if not got:
                return
            data += got
        head, data = data.split(b"\r\n\r\n", 1)
        fields = {}
        for line in head.split(b"\r\n")[1:]:
            name, _, value = line.partition(b":")
            fields[name.strip().lower()] = value.strip()
        request_id = fields.get(b"attempt-id", b"").decode()
        parts = fields.get(b"prompt-prefix", b"")
        log.put((time.monotonic(), "deadly" if DEADLY in parts else "sound", runner, request_id))
        if DEADLY in parts and deadly:
            log.put((time.monotonic(), "crash", runner, request_id))
            time.sleep(0.02)  # The log is written by a thread of its own.
            os.kill(os.getpid(), signal.SIGKILL)
        connection.sendall((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                            f"Attempt-Id: {request_id}\r\nServer-Seal: {SEAL}\r\n"
                            f"Transfer-Encoding: chunked\r\n\r\n").encode())
        for piece in range(1, PIECES + 1):
            event = b"id: %d\ndata: x\n\n" % piece
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(0.1)
        connection.sendall(b"0\r\n\r\n")


def worker(listener, runner, deadly, log):
    def run(connection):
        with connection:
            try:
                serve(connection, runner, deadly, log)
            except OSError:
                pass

    while True:
        threading.Thread(target=run, args=(listener.accept()[0],), daemon=True).start()


def runner_process(port, runner, deadly, log):
    """Listens; ends when its worker has ended."""
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    listener = socket.create_server(("127.0.0.1", port), backlog=256)
    at_work = multiprocessing.get_context("fork").Process(
        target=worker, args=(listener, runner, deadly, log), daemon=True)
    at_work.start()
    at_work.join()
    time.sleep(NOTICE_S)
    os._exit(1)


class CrashingRunner(Runner):
    """The entry of a runner process, which is started again `DOWN_S` after it has ended."""

    def launch(self, log):
        self.process = multiprocessing.get_context("fork").Process(
            target=runner_process, args=(self.port, self.id, TROUBLE, log))
        self.process.start()
        self.born = int(time.time() * 1000)
        self.beat = 0

    async def live(self, log):
        self.launch(log)
        self.write_entry()
        silent_since = last_ping = now()
        while True:
            await asyncio.sleep(0.02)
            if self.process.is_alive():
                silent_since = now()
                if now() - last_ping >= 1.2:
                    last_ping = now()
                    self.write_entry()
                continue
            if now() - last_ping >= 3.6:  # Three ping intervals of silence.
                self.store.remove("servers/" + self.id)
            if now() - silent_since >= DOWN_S:
                self.launch(log)
                last_ping = now()
                self.write_entry()


def one_request(address, deadly, log):
    request_id = attempt_id()
    parts = "aaaa0001:6300," + ("dead0001:40," if deadly else "") + attempt_id()[:8] + ":2890"
    outcome, pieces = "cut", 0
    try:
        with socket.create_connection(address, timeout=1) as connection:
            connection.sendall(f"POST /lohu930/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {request_id}"
                               f"\r\nModel-Name: m0\r\nToken-Usage: 9190,40\r\nPrompt-Prefix: {parts}"
                               f"\r\nDeadline-Ms: 15000\r\nContent-Length: 0\r\n\r\n".encode())
            connection.settimeout(6)
            data = b""
            while True:
                got = connection.recv(65536)
                data += got
                if not got or data.endswith(b"0\r\n\r\n") or data[9:12] not in (b"200", b""):
                    break
            pieces = data.count(b"data:")
            status = data[9:12].decode()
            if status == "200":
                outcome = "200" if pieces == PIECES else "200, broken off"
            elif status:
                outcome = status
    except OSError:
        pass
    log.put((time.monotonic(), f"client {'deadly' if deadly else 'sound'}", f"{address[0]}",
             f"{request_id} {outcome} pieces={pieces}"))


def clients(addresses, log):
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    draw = random.Random(53)
    begin = time.monotonic()
    while time.monotonic() < begin + TRAFFIC_S:
        time.sleep(draw.expovariate(REQUESTS_PER_S))
        deadly = draw.random() < DEADLY_SHARE and time.monotonic() < begin + DEADLY_FOR_S
        threading.Thread(target=one_request, daemon=True,
                         args=(draw.choice(addresses), deadly, log)).start()
    time.sleep(6)


async def main(folder, work, processes):
    record = Record(os.path.join(folder, "record.txt"))
    store = Store()
    await store.start()
    routes = [route("r-note", "/lohu930/", "zigo56a", "stream", 15000, 1500, 2, resumable=True,
                    **{"gap-aim-ms": 400})]
    store.put("op/config", json.dumps(config(7, routes, [service("zigo56a", 370)])).encode())
    log = multiprocessing.Queue()
    runners = [CrashingRunner(store, "zigo56a", record, slots=64) for _ in range(RUNNERS)]
    processes.extend(runners)
    tasks = [asyncio.create_task(runner.live(log)) for runner in runners]
    gateways = [Gateway(work, store, f"front-regina-{n}", f"127.0.0.{n}") for n in (1, 2)]
    for gateway in gateways:
        gateway.start()
    try:
        if not all([await gateway.wait_ready() for gateway in gateways]):
            record.line("a gateway did not become ready")
            return 2
        await asyncio.sleep(6)  # In touch for stable-window-ms.
        source = multiprocessing.get_context("fork").Process(
            target=clients, args=([(g.ip, g.front) for g in gateways], log), daemon=True)
        source.start()
        events = []
        end = now() + TRAFFIC_S + 5
        while now() < end:
            await asyncio.sleep(0.2)
            while not log.empty():
                events.append(log.get())
        source.kill()
        for at, kind, who, what in sorted(events):
            record.line(f"at={at - record.start:.4f} {kind} {who} {what}")
        crashes = sorted(at for at, kind, _, _ in events if kind == "crash")
        late = []
        if len(crashes) >= 5:
            late = [at for at, kind, _, _ in events if kind == "deadly" and at > crashes[4] + 3]
        sound = [what for _, kind, _, what in events if kind == "client sound"]
        lost = [what for what in sound if " 200 " not in what]
        cut = [what for what in sound if "broken off" in what or " cut " in what]
        died = any(gateway.process.poll() is not None for gateway in gateways)
        text = (f"crashes={len(crashes)}; requests with the deadly part that reached runners later "
                f"than 3 s after the fifth={len(late)} (3 are allowed); sound requests={len(sound)}, "
                f"of them not served={len(lost)}, cut={len(cut)}; died={died}; "
                f"{'BROKEN: BUDGET' if len(late) > 3 else 'held'}")
        record.line(text)
        print(text)
        return 1 if len(late) > 3 else 0
    finally:
        for task in tasks:
            task.cancel()
        for gateway in gateways:
            gateway.stop()


if __name__ == "__main__":
    started, code = [], 2
    os.setpgrp()
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
            signal.signal(signal.SIGTERM, signal.SIG_IGN)
            os.killpg(0, signal.SIGTERM)  # The runners, their workers and the clients.
    sys.stdout.flush()
    time.sleep(0.2)
    os._exit(code)
