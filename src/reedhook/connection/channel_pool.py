"""Pool of channels to one address; each exchange uses one channel exclusively."""

import ssl
from collections.abc import Mapping
from typing import Final

from ..clock import Clock
from .channel import POST, Channel, ChannelResponse, open_channel

MAX_IDLE_CHANNELS: Final = 16
"""Idle channels kept per address."""


class IdleChannel:
    """Hold an idle channel.

    :ivar since: monotonic time in seconds of its last use.
    """

    __slots__ = ("channel", "since")

    def __init__(self, channel: Channel, since: float) -> None:
        self.channel = channel
        self.since = since


class ChannelPool:
    """Pool the channels to one address; each exchange uses one exclusively.

    :param address: ``IP:port``.
    :param headers: sent with each request.
    :ivar idle: idle channels, the most recently used last.
    :ivar in_use: channels of exchanges in progress.
    :ivar retired: whether channels are closed after use instead of kept.
    :ivar used: monotonic time in seconds of the last exchange.
    """

    __slots__ = ("address", "headers", "context", "idle", "in_use", "retired", "used")

    def __init__(
        self,
        address: str,
        headers: Mapping[str, str],
        context: ssl.SSLContext | None = None,
    ) -> None:
        self.address = address
        self.headers = headers
        self.context = context
        self.idle: list[IdleChannel] = []
        self.in_use: set[Channel] = set()
        self.retired = False
        self.used = 0.0

    async def exchange(
        self,
        path: str,
        body: bytes,
        timeout: float,
        clock: Clock,
        limit: int | None = None,
        method: str = POST,
        progress_timeout: float = 0.0,
    ) -> ChannelResponse:
        """Send a request once and return the response; see `Channel.exchange`.

        :raises ChannelClosedError: if nothing was sent.
        :raises ResponseIncompleteError: if no complete response arrived.
        """
        deadline = clock.monotonic() + timeout
        channel = self.claim_idle() or await self.open(timeout)
        remaining = deadline - clock.monotonic()
        self.in_use.add(channel)
        try:
            response = await channel.exchange(
                path, body, remaining, limit, method, progress_timeout
            )
        finally:
            self.in_use.discard(channel)
        self.used = clock.monotonic()
        self.keep(channel)
        return response

    def claim_idle(self) -> Channel | None:
        """Take the most recently used open channel, or return None."""
        while self.idle:
            channel = self.idle.pop().channel
            if not channel.closed:
                return channel
            channel.close()
        return None

    async def open(self, timeout: float) -> Channel:
        """Open a channel."""
        return await open_channel(self.address, timeout, self.headers, self.context)

    def keep(self, channel: Channel) -> None:
        """Keep a channel for later exchanges, or close it if the pool is full."""
        if self.retired or channel.closed or len(self.idle) >= MAX_IDLE_CHANNELS:
            channel.close()
            return
        self.idle.append(IdleChannel(channel, self.used))

    def close_unused(self, before: float) -> None:
        """Close idle channels that were last used before the given time."""
        while self.idle and self.idle[0].since < before:
            self.idle.pop(0).channel.close()

    def retire(self) -> None:
        """Close idle channels now and the others after their exchanges."""
        self.retired = True
        self.drop_idle()

    def drop_idle(self) -> None:
        """Close all idle channels."""
        while self.idle:
            self.idle.pop().channel.close()

    def abort_exchanges(self) -> None:
        """Abort the exchanges in progress."""
        for channel in list(self.in_use):
            channel.close()
