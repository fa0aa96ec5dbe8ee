"""Calls to a store that take effect without an answer, at once or seconds later."""

import asyncio
import base64
from collections.abc import Callable
from random import Random
from typing import Final

import orjson
from aiohttp import web

EARLIEST: Final = 0.5
LATEST: Final = 6.0
"""Seconds by which a late call is delayed."""


class UnansweredCalls:
    """Choose the changing calls that get no answer, and when each one runs.

    :param share: probability that a call gets no answer.
    :param limit: how many calls are chosen at most.
    :param late: probability that a chosen call runs late and not at once.
    :param wanted: says whether to choose a call that writes these keys and values.
    :ivar chosen: number of calls chosen so far.
    :ivar any_chosen: set once a call was chosen.
    :ivar late_applied: set once a late call has changed the store.
    """

    def __init__(
        self,
        random: Random,
        share: float,
        limit: int,
        late: float,
        wanted: Callable[[dict[str, bytes]], bool] = lambda writes: True,
    ) -> None:
        self.random = random
        self.share = share
        self.limit = limit
        self.late = late
        self.wanted = wanted
        self.chosen = 0
        self.any_chosen = asyncio.Event()
        self.late_applied = asyncio.Event()

    async def choose(self, request: web.Request) -> float | None:
        """Return after how many seconds a call runs, or None to answer it."""
        if request.method == "GET" or self.chosen >= self.limit:
            return None
        # Reads the body before the caller disconnects; it is kept with the request.
        body = await request.read()
        writes = orjson.loads(body).get("writes", []) if body else []
        values = {row["key"]: base64.b64decode(row["value"]) for row in writes}
        if not self.wanted(values) or self.random.random() >= self.share:
            return None
        self.chosen += 1
        self.any_chosen.set()
        if self.random.random() >= self.late:
            return 0.0
        return self.random.uniform(EARLIEST, LATEST)
