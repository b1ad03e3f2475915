"""Stand-in for the platform's store, as PROTOCOL.md describes it: items with revisions, leases,
watches and conditional writes. It is linearizable and loses nothing."""

import asyncio
import base64
import json
import time
import urllib.parse

from standins import http

ANSWER_TIME_S = 0.004
HISTORY_S = 20.0


class Store:
    def __init__(self, host, port, record):
        self.record = record
        self.server = http.Server(host, port, self._handle)
        self.own_servers = {}
        # Highest revision from which each gateway has continued its watch, with the time.
        self.continued = {}
        self.items = {}
        self.history = []
        self.leases = {}
        self.revision = 100
        self.last_lease = 7000
        self.changed = asyncio.Event()
        self.watching = set()

    @property
    def address(self):
        return f"{self.server.host}:{self.server.port}"

    async def start(self):
        await self.server.start()
        asyncio.ensure_future(self._expire())

    async def own_address(self, name, host, port):
        """An address of the store for one gateway alone, so that its calls can be told apart."""
        async def handle(request, writer):
            await self._handle(request, writer, name)
        self.own_servers[name] = http.Server(host, port, handle)
        await self.own_servers[name].start()
        return f"{host}:{port}"

    # What the operator and the runners write.
    def put(self, key, value, lease=0):
        self.revision += 1
        before = self.items.get(key)
        created = before["create-revision"] if before else self.revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                "create-revision": created, "lease": lease}
        self.items[key] = item
        self._note(item)
        return self.revision

    def put_json(self, key, value):
        return self.put(key, json.dumps(value).encode())

    def remove(self, key):
        if key not in self.items:
            return
        del self.items[key]
        self.revision += 1
        self._note({"key": key, "revision": self.revision, "deleted": True})

    def cut_watches(self):
        """Closes the connections of all waiting watches without an answer."""
        writers = list(self.watching)
        for writer in writers:
            writer.close()
        return len(writers)

    def _note(self, event):
        self.history.append((time.monotonic(), event))
        while self.history and time.monotonic() - self.history[0][0] > HISTORY_S:
            self.history.pop(0)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [l for l, (_, end) in self.leases.items() if now >= end]:
                self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def _handle(self, request, writer, name=None):
        await asyncio.sleep(ANSWER_TIME_S)
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = url.path.split("/")
        if url.path == "/v1/kv-watch":
            self.continued.setdefault(name, []).append((self.record.now(), int(query["after"])))
            status, body = await self._watch(query, writer)
        else:
            status, body = self._call(request, parts, query)
        headers = {"Content-Type": "application/json", "Store-Era": "1"}
        writer.write(http.format_answer(status, headers, json.dumps(body).encode()))
        await writer.drain()

    def _call(self, request, parts, query):
        call = parts[2]
        if call == "kv-key":
            item = self.items.get(query.get("key"))
            if item is None:
                return 404, {"store-revision": self.revision}
            return 200, dict(item, **{"store-revision": self.revision})
        if call == "kv-range":
            prefix, after = query.get("path-prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "truncated": len(keys) > 500, "store-revision": self.revision}
        if call == "kv-txn":
            return self._write(json.loads(request.body))
        if call == "kv-lease":
            ttl = min(max(json.loads(request.body)["ttl-ms"], 1000), 600_000)
            self.last_lease += 1
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.last_lease, "ttl-ms": ttl}
        if call == "kv-keep":
            lease = int(parts[3])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl-ms": ttl}
        if call == "kv-lease-end":
            lease = int(parts[3])
            if lease not in self.leases:
                return 404, {}
            self._end_lease(lease)
            return 200, {}
        return 404, {}

    def _write(self, body):
        conditions = body.get("precondition", [])
        for condition in conditions:
            item = self.items.get(condition["key"])
            if (item["revision"] if item else 0) != condition["revision"]:
                present = [self.items[c["key"]] for c in conditions if c["key"] in self.items]
                return 412, {"items": present}
        for entry in body.get("set-keys", []):
            if entry["key"].startswith(("op/", "servers/")):
                return 403, {}
            if entry.get("lease", 0) and entry["lease"] not in self.leases:
                return 404, {}
        for entry in body.get("set-keys", []):
            self.put(entry["key"], base64.b64decode(entry["value"]), entry.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    async def _watch(self, query, writer):
        prefix, after = query.get("path-prefix", ""), int(query["after"])
        end = time.monotonic() + int(query["wait-ms"]) / 1000
        if self.history and after < self.history[0][1]["revision"] - 1 and after < self.revision:
            return 410, {}
        self.watching.add(writer)
        try:
            while True:
                events = [e for _, e in self.history
                          if e["revision"] > after and e["key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "store-revision": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        finally:
            self.watching.discard(writer)
