"""A proxy for TCP connections that can hold back all bytes, as a partition does."""

import asyncio

import web


class Proxy:
    def __init__(self, target):
        self.target = target
        self.open = asyncio.Event()
        self.open.set()
        self.writers = set()
        self.server = None
        self.address = None

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self.address

    def stop(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            web.reset(writer)

    def cut(self):
        """From now on no byte passes, and no connection ends, until heal()."""
        self.open.clear()

    def heal(self):
        self.open.set()

    async def pass_on(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self.open.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.open.wait()
            host, port = self.target.rsplit(":", 1)
            there_reader, there_writer = await asyncio.open_connection(host, int(port))
            self.writers.add(there_writer)
            await asyncio.gather(self.pass_on(reader, there_writer),
                                 self.pass_on(there_reader, writer))
            self.writers.discard(there_writer)
        except OSError:
            web.reset(writer)
        finally:
            self.writers.discard(writer)
