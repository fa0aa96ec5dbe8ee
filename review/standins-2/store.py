"""Stand-in of the platform: its metadata store and its promotion call, over HTTP."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, unquote, urlsplit


class HttpServer:
    """A minimal HTTP/1.1 server on a free loopback port."""

    def __init__(self):
        self.server = None
        self.address = ""
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def stop(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, found, value = line.partition(":")
                    if found:
                        headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                raw = await reader.readexactly(length) if length else b""
                parts = urlsplit(target)
                query = {
                    name: values[0] for name, values in parse_qs(parts.query).items()
                }
                answer = await self.handle(
                    method, unquote(parts.path), query, headers, raw
                )
                if answer is None:
                    # The answer is lost; the connection returns nothing further.
                    await asyncio.sleep(3600)
                status, message = answer
                body = b"" if message is None else json.dumps(message).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode() + body
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(HttpServer):
    """The key-value store: loses nothing that it has acknowledged."""

    LATENCY = 0.004

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.granted = 100
        self.changed = asyncio.Event()

    def write(self, key, value, lease=0):
        """Change a key; None deletes it."""
        self.revision += 1
        item = {"key": key, "revision": self.revision}
        if value is None:
            self.items.pop(key, None)
            item["tombstone"] = True
        else:
            item["value"] = base64.b64encode(value).decode()
            item["created"] = self.items.get(key, item).get("created", self.revision)
            item["lease"] = lease
            self.items[key] = item
        self.history.append(item)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def value(self, key):
        """Return the JSON value of a key, or None."""
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    def expire(self):
        now = asyncio.get_running_loop().time()
        for lease, (ttl, until) in list(self.leases.items()):
            if until <= now:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.write(key, None)

    async def handle(self, method, path, query, headers, raw):
        await asyncio.sleep(self.LATENCY)
        self.expire()
        now = asyncio.get_running_loop().time()
        body = json.loads(raw) if raw else {}
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"at": self.revision}
            return 200, {**item, "at": self.revision}
        if path == "/-/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {
                "items": [self.items[key] for key in keys[:500]],
                "truncated": len(keys) > 500,
                "at": self.revision,
            }
        if path == "/-/kv-watch":
            return await self.watch(query)
        if path == "/-/kv-txn":
            return self.change(body)
        if path == "/-/kv-lease":
            self.granted += 1
            ttl = body["ttl_ms"] / 1000.0
            self.leases[self.granted] = (ttl, now + ttl)
            return 200, {"lease": self.granted, "ttl_ms": body["ttl_ms"]}
        if path.startswith("/-/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, now + ttl)
            return 200, {"ttl_ms": int(ttl * 1000)}
        if path.startswith("/-/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            self.end_lease(lease)
            return 200, {}
        return 404, {}

    async def watch(self, query):
        after, prefix = int(query["after"]), query.get("prefix", "")
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query["wait_ms"]) / 1000.0
        while True:
            events = [
                one
                for one in self.history
                if one["revision"] > after and one["key"].startswith(prefix)
            ]
            if events or loop.time() >= until:
                return 200, {"events": events, "at": self.revision}
            changed = self.changed
            try:
                async with asyncio.timeout_at(until):
                    await changed.wait()
            except TimeoutError:
                pass

    def change(self, body):
        for row in body.get("expect", []):
            known = self.items.get(row["key"], {"revision": 0})
            if known["revision"] != row["revision"]:
                items = [
                    self.items[one["key"]]
                    for one in body["expect"]
                    if one["key"] in self.items
                ]
                return 412, {"items": items, "at": self.revision}
        for row in body.get("writes", []):
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
        for row in body.get("writes", []):
            self.write(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in body.get("deletes", []):
            self.write(key, None)
        return 200, {"revision": self.revision}


class Cloud(HttpServer):
    """The platform's promotion call; it does not check the fence."""

    def __init__(self, group, record):
        super().__init__()
        self.group = group
        self.record = record

    async def handle(self, method, path, query, headers, raw):
        await asyncio.sleep(Store.LATENCY)
        if method != "POST" or path != "/promotion":
            return 404, {}
        body = json.loads(raw)
        status = self.group.order(body["service"], body["id"])
        self.record(
            "promotion",
            service=body["service"],
            id=body["id"],
            holder=headers.get("duty-holder"),
            token=headers.get("fencing-token"),
            status=status,
        )
        return status, {}
