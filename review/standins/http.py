"""Small HTTP/1.1 server and client on asyncio streams, for the stand-ins of the review cases."""

import asyncio


class Message:
    """A request or an answer."""

    def __init__(self, first_line, headers, body=b""):
        self.first_line = first_line
        self.headers = headers
        self.body = body

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)

    @property
    def method(self):
        return self.first_line.split(" ")[0]

    @property
    def target(self):
        return self.first_line.split(" ")[1]

    @property
    def status(self):
        return int(self.first_line.split(" ")[1])


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_chunks(reader):
    """Yields the chunks of a chunked body; ends at the last chunk."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_message(reader):
    message = await read_head(reader)
    if "chunked" in message.get("transfer-encoding", ""):
        async for chunk in read_chunks(reader):
            message.body += chunk
    elif message.get("content-length"):
        message.body = await reader.readexactly(int(message.get("content-length")))
    return message


def format_answer(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} Answer"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def format_request(method, target, headers, body=b""):
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Serves connections with `handle(request, writer)`; one request at a time on each."""

    def __init__(self, host, port, handle):
        self.host = host
        self.port = port
        self.handle = handle
        self.writers = set()
        self.tasks = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 20, backlog=1024)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                gone = asyncio.ensure_future(_wait_for_end(reader))
                work = asyncio.ensure_future(self.handle(request, writer))
                try:
                    # Work is dropped when the connection closes.
                    await asyncio.wait({gone, work}, return_when=asyncio.FIRST_COMPLETED)
                finally:
                    gone.cancel()
                if not work.done():
                    work.cancel()
                    await asyncio.gather(work, return_exceptions=True)
                    break
                if work.result() is False:
                    break
                # Lets the cancelled wait give the reader back.
                await asyncio.gather(gone, return_exceptions=True)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError,
                asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    def stop(self):
        """Stops as a killed process does: nothing listens, all connections end."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()


async def _wait_for_end(reader):
    # Peers send the next request only after the answer, so data ends only with the connection.
    while not reader.at_eof():
        await asyncio.sleep(0.01)
