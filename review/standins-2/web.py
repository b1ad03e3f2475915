"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the second review."""

import asyncio
import socket
import struct

MAX_LINE = 1 << 20


class Message:
    """A request or an answer; header names are in lower case."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def method(self):
        return self.first[0]

    @property
    def target(self):
        return self.first[1]

    @property
    def status(self):
        return int(self.first[1])


async def read_head(reader):
    """Returns (words of the first line, headers), or None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    first = line.decode("latin-1").rstrip("\r\n").split(" ", 2)
    headers = {}
    while True:
        line = await reader.readline()
        if not line:
            raise ConnectionError("the connection ended in a head")
        text = line.decode("latin-1").rstrip("\r\n")
        if not text:
            return first, headers
        name, _, value = text.partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_chunk(reader):
    """Returns the next chunk of a chunked body; empty at its end."""
    line = await reader.readline()
    if not line:
        raise ConnectionError("the connection ended in a body")
    size = int(line.split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            data = await read_chunk(reader)
            if not data:
                return body
            body += data
    return await reader.readexactly(int(headers.get("content-length", "0")))


def format_head(first, headers):
    lines = [first] + ["%s: %s" % item for item in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def format_answer(status, headers, body=b""):
    headers = dict(headers)
    headers["Content-Length"] = str(len(body))
    return format_head("HTTP/1.1 %d Answer" % status, headers) + body


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """Calls handle(request, writer) for each request of a connection, one after the other.

    The handler writes the whole answer. If it returns False, the connection is closed. A handler is
    cancelled when its peer closes the connection."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

    async def start(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port, limit=MAX_LINE)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = "%s:%d" % (host, port)
        return self.address

    def stop(self):
        if self.server is not None:
            self.server.close()
        self.server = None
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                request = Message(head[0], head[1], await read_body(reader, head[1]))
                # Requests come one at a time, so the next byte can only be the end.
                work = asyncio.ensure_future(self.handle(request, writer))
                end = asyncio.ensure_future(wait_for_end(reader, writer))
                await asyncio.wait({work, end}, return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    work.cancel()
                    return
                end.cancel()
                if work.result() is False:
                    return
        except (asyncio.CancelledError, ConnectionError, asyncio.IncompleteReadError, ValueError,
                OSError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()


async def wait_for_end(reader, writer):
    """Returns when the peer has closed the connection and everything it sent was read."""
    while not (reader.at_eof() or reader.exception() or writer.transport.is_closing()):
        await asyncio.sleep(0.05)


class Answer:
    """What a client got: `status` is None if there was no whole head, `whole` tells whether the
    answer was complete."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.whole = False
        self.error = ""


async def call(address, request, timeout, answer=None):
    """Sends a request on a new connection and reads the answer."""
    answer = answer or Answer()
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port), limit=MAX_LINE)
            writer.write(request)
            head = await read_head(reader)
            if head is None:
                answer.error = "closed without an answer"
                return answer
            answer.status = int(head[0][1])
            answer.headers = head[1]
            if "chunked" in head[1].get("transfer-encoding", ""):
                while True:
                    data = await read_chunk(reader)
                    if not data:
                        break
                    answer.body += data
            else:
                answer.body = await read_body(reader, head[1])
            answer.whole = True
    except (ConnectionError, asyncio.IncompleteReadError, OSError, ValueError, TimeoutError) as error:
        answer.error = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return answer
