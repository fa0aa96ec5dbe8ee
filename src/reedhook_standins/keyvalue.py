"""In-memory stand-in of the platform's HTTP key-value store."""

import asyncio
import base64
from typing import Any

import orjson
from aiohttp import web

from .unanswered import UnansweredCalls

NO_COPY = 409
HISTORY_GONE = 410
CONFLICT = 412

EPOCH_HEADER = "Store-Era"


class StoreCopy:
    """Hold the state of a store at one moment."""

    def __init__(self, store: "KeyValueStandIn", saved_at: float) -> None:
        self.saved_at = saved_at
        self.revision = store.revision
        self.items = dict(store.items)
        self.history = list(store.history)
        self.first = store.first
        self.leases = set(store.leases)
        self.granted = store.granted


class KeyValueStandIn:
    """Serve the store's calls on a port of its own, and calls that control it.

    ``POST /control/save`` keeps a copy of the state, and ``POST /control/restore`` with
    ``seconds_ago`` returns to the newest copy of at least that age.

    :ivar epoch: number of restores, which a header of all answers states.
    :ivar sends_epoch: whether the header is sent before the first restore too.
    :ivar copies: saved states, the oldest first.
    :ivar status: HTTP status returned to every call instead of running it, if not 0.
    :ivar silent: whether calls get no answer.
    :ivar unanswered: chooses calls that take effect without an answer, if any.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.epoch = 0
        self.sends_epoch = False
        self.copies: list[StoreCopy] = []
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.first = 0
        self.leases: set[int] = set()
        self.granted = 100
        self.status = 0
        self.silent = False
        self.unanswered: UnansweredCalls | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.changed = asyncio.Event()
        self.runner: web.AppRunner | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        app = web.Application(middlewares=[self.add_epoch, self.fail])
        app.router.add_post("/control/save", self.handle_save)
        app.router.add_post("/control/restore", self.handle_restore)
        app.router.add_get("/-/kv-key", self.key)
        app.router.add_get("/-/kv-range", self.range)
        app.router.add_get("/-/kv-watch", self.watch)
        app.router.add_post("/-/kv-txn", self.change)
        app.router.add_post("/-/kv-lease", self.lease)
        app.router.add_post("/-/kv-keep/{lease}", self.keep)
        app.router.add_delete("/-/kv-lease-end/{lease}", self.end)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        host, port = self.runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening."""
        for task in self.tasks:
            task.cancel()
        if self.runner is not None:
            await self.runner.cleanup()

    @web.middleware
    async def add_epoch(self, request: web.Request, handler: Any) -> web.StreamResponse:
        """State the epoch in which a request was answered."""
        response: web.StreamResponse = await handler(request)
        if self.epoch or self.sends_epoch:
            response.headers[EPOCH_HEADER] = str(self.epoch)
        return response

    @web.middleware
    async def fail(self, request: web.Request, handler: Any) -> web.StreamResponse:
        """Apply the injected faults to a request."""
        if self.silent:
            await asyncio.sleep(30.0)
        if self.status:
            return web.Response(status=self.status)
        calls = self.unanswered
        delay = None if calls is None else await calls.choose(request)
        if calls is not None and delay is not None:
            task = asyncio.create_task(self.run_later(calls, delay, request, handler))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(30.0)
            return web.Response(status=504)
        response: web.StreamResponse = await handler(request)
        return response

    async def run_later(
        self, calls: UnansweredCalls, delay: float, request: web.Request, handler: Any
    ) -> None:
        """Run a call after a delay, if its condition still holds then."""
        await asyncio.sleep(delay)
        response = await handler(request)
        if delay and response.status == 200:
            calls.late_applied.set()

    def write(self, key: str, value: bytes | None, lease: int = 0) -> int:
        """Change a key; None deletes it."""
        self.revision += 1
        item: dict[str, Any] = {"key": key, "revision": self.revision}
        if value is None:
            self.items.pop(key, None)
            item["tombstone"] = True
        else:
            item["value"] = base64.b64encode(value).decode()
            item["created"] = self.items.get(key, item).get("created", self.revision)
            item["lease"] = lease
            self.items[key] = item
        self.history.append(item)
        self.wake()
        return self.revision

    def wake(self) -> None:
        """Wake the pending watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    def save(self) -> None:
        """Keep a copy of the present state."""
        self.copies.append(StoreCopy(self, asyncio.get_running_loop().time()))

    def restore(self, seconds_ago: float) -> bool:
        """Return to the newest copy of at least `seconds_ago` ago.

        What was written or granted since is lost; its revisions and lease IDs are
        assigned again.

        :returns: False if there is no such copy.
        """
        limit = asyncio.get_running_loop().time() - seconds_ago
        copies = [copy for copy in self.copies if copy.saved_at <= limit]
        if not copies:
            return False
        copy = copies[-1]
        self.copies = copies
        self.revision, self.first = copy.revision, copy.first
        self.items, self.history = dict(copy.items), list(copy.history)
        self.leases, self.granted = set(copy.leases), copy.granted
        self.epoch += 1
        self.wake()
        return True

    async def handle_save(self, request: web.Request) -> web.Response:
        """Keep a copy."""
        self.save()
        return answer({"copies": len(self.copies)})

    async def handle_restore(self, request: web.Request) -> web.Response:
        """Return to a copy; 409 if none is that old."""
        body = orjson.loads(await request.read())
        if not self.restore(float(body["seconds_ago"])):
            return web.Response(status=NO_COPY)
        return answer({"epoch": self.epoch, "at": self.revision})

    def forget(self) -> None:
        """Drop the change history."""
        self.history.clear()
        self.first = self.revision

    def end_leases(self) -> None:
        """Expire all leases and delete the keys written under them."""
        for lease in list(self.leases):
            self.lapse(lease)

    def lapse(self, lease: int) -> None:
        """Expire one lease."""
        self.leases.discard(lease)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.write(key, None)

    async def key(self, request: web.Request) -> web.Response:
        """Return one item."""
        item = self.items.get(request.query["key"])
        if item is None:
            return web.Response(status=404)
        return answer({**item, "at": self.revision})

    async def range(self, request: web.Request) -> web.Response:
        """Return items in pages of two, so that tests cover paging."""
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        items = [self.items[key] for key in keys[:2]]
        return answer({"items": items, "truncated": len(keys) > 2, "at": self.revision})

    async def watch(self, request: web.Request) -> web.Response:
        """Return changes as soon as there are any."""
        after = int(request.query["after"])
        prefix = request.query["prefix"]
        wait = int(request.query["wait_ms"]) / 1000.0
        loop = asyncio.get_running_loop()
        until = loop.time() + wait
        while True:
            if not self.first <= after <= self.revision:
                return web.Response(status=HISTORY_GONE)
            events = [
                one
                for one in self.history
                if one["revision"] > after and one["key"].startswith(prefix)
            ]
            if events or loop.time() >= until:
                return answer({"events": events, "at": self.revision})
            try:
                async with asyncio.timeout_at(until):
                    await self.changed.wait()
            except TimeoutError:
                continue

    async def change(self, request: web.Request) -> web.Response:
        """Apply conditional writes atomically."""
        body = orjson.loads(await request.read())
        for row in body["expect"]:
            known = self.items.get(row["key"], {"revision": 0})
            if known["revision"] != row["revision"]:
                return answer({"items": []}, CONFLICT)
        for row in body["writes"]:
            if row["lease"] and row["lease"] not in self.leases:
                return web.Response(status=404)
            self.write(row["key"], base64.b64decode(row["value"]), row["lease"])
        return answer({"revision": self.revision})

    async def lease(self, request: web.Request) -> web.Response:
        """Grant a lease."""
        body = orjson.loads(await request.read())
        self.granted += 1
        lease = self.granted
        self.leases.add(lease)
        return answer({"lease": lease, "ttl_ms": body["ttl_ms"]})

    async def keep(self, request: web.Request) -> web.Response:
        """Renew a lease."""
        if int(request.match_info["lease"]) not in self.leases:
            return web.Response(status=404)
        return answer({"ttl_ms": 1000})

    async def end(self, request: web.Request) -> web.Response:
        """End a lease."""
        self.lapse(int(request.match_info["lease"]))
        return answer({})


def answer(message: dict[str, Any], status: int = 200) -> web.Response:
    """Return a message as a JSON response."""
    return web.Response(
        body=orjson.dumps(message), status=status, content_type="application/json"
    )
