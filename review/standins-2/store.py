"""A stand-in for the platform's store (PROTOCOL.md, "The platform's metadata store")."""

import asyncio
import base64
import json
import time
import urllib.parse

import web


class Store:
    """The operator and the runners write with put() and remove(); gateways come over HTTP."""

    def __init__(self, log):
        self.log = log
        self.revision = 1
        self.items = {}
        self.leases = {}
        self.last_lease = 100
        self.history = []
        self.changed = asyncio.Event()
        self.server = web.Server(self.handle)
        self.expiry = None

    async def start(self, ip):
        self.expiry = asyncio.ensure_future(self.expire())
        return await self.server.start(ip)

    def stop(self):
        if self.expiry is not None:
            self.expiry.cancel()
        self.server.stop()

    # Items and their history.

    def record(self, key, value):
        self.revision += 1
        self.history.append((self.revision, key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def put(self, key, value, lease=0):
        revision = self.record(key, value)
        created = self.items[key]["created"] if key in self.items else revision
        self.items[key] = {"value": value, "revision": revision, "created": created,
                           "lease": lease}
        return revision

    def put_json(self, key, value):
        return self.put(key, json.dumps(value).encode())

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.record(key, None)

    def value(self, key):
        return self.items[key]["value"] if key in self.items else None

    # Leases.

    async def expire(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            for lease in [lease for lease, state in self.leases.items() if state["until"] <= now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)
        return True

    # Calls.

    async def handle(self, request, writer):
        url = urllib.parse.urlsplit(request.target)
        query = {key: values[0] for key, values in urllib.parse.parse_qs(url.query).items()}
        status, body = await self.serve(request, url.path, query)
        writer.write(web.format_answer(
            status, {"Content-Type": "application/json", "Store-Era": "1"},
            json.dumps(body).encode()))
        return True

    async def serve(self, request, path, query):
        await asyncio.sleep(0.004)
        number = path.rsplit("/", 1)[-1]
        if path == "/v1/kv-range":
            return self.read_range(query)
        if path == "/v1/kv-key":
            key = query.get("key", "")
            if key not in self.items:
                return 404, {}
            return 200, dict(self.describe(key), **{"store-revision": self.revision})
        if path == "/v1/kv-watch":
            return await self.watch(query)
        if path == "/v1/kv-txn":
            return self.write(json.loads(request.body))
        if path == "/v1/kv-lease":
            ttl = max(1000, int(json.loads(request.body)["ttl-ms"]))
            self.last_lease += 1
            self.leases[self.last_lease] = {"ttl": ttl / 1000,
                                            "until": time.monotonic() + ttl / 1000}
            return 200, {"lease": self.last_lease, "ttl-ms": ttl}
        if path.startswith("/v1/kv-keep/"):
            lease = self.leases.get(int(number))
            if lease is None:
                return 404, {}
            lease["until"] = time.monotonic() + lease["ttl"]
            return 200, {"ttl-ms": int(lease["ttl"] * 1000)}
        if path.startswith("/v1/kv-lease-end/"):
            return (200, {}) if self.end_lease(int(number)) else (404, {})
        return 404, {}

    def describe(self, key):
        item = self.items[key]
        return {"key": key, "value": base64.b64encode(item["value"]).decode(),
                "revision": item["revision"], "create-revision": item["created"],
                "lease": item["lease"]}

    def read_range(self, query):
        keys = sorted(key for key in self.items
                      if key.startswith(query.get("path-prefix", "")) and
                      key > query.get("after", ""))
        page = [self.describe(key) for key in keys[:500]]
        return 200, {"items": page, "truncated": len(keys) > 500, "store-revision": self.revision}

    async def watch(self, query):
        prefix = query.get("path-prefix", "")
        after = int(query.get("after", "0"))
        until = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        if after > self.revision:
            return 410, {}
        while True:
            events = []
            for revision, key, value in self.history:
                if revision <= after or not key.startswith(prefix):
                    continue
                if value is None:
                    events.append({"key": key, "revision": revision, "deleted": True})
                else:
                    events.append({"key": key, "revision": revision,
                                   "value": base64.b64encode(value).decode()})
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store-revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def write(self, call):
        for row in call.get("precondition", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [self.describe(row["key"])] if item else []}
        for item in call.get("set-keys", []):
            if item.get("lease", 0) and item["lease"] not in self.leases:
                return 404, {}
        for item in call.get("set-keys", []):
            if item["key"].startswith(("op/", "servers/")):
                return 403, {}
        for item in call.get("set-keys", []):
            self.put(item["key"], base64.b64decode(item["value"]), item.get("lease", 0))
        for key in call.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}
