"""Kept channels to one address, a channel for each exchange in progress."""

import ssl
from collections.abc import Mapping
from typing import Final

from ..clock import Clock
from .channel import POST, Channel, ChannelResponse, open_channel

MAX_IDLE_CHANNELS: Final = 16
"""Channels that are kept for later exchanges with one address."""


class IdleChannel:
    """Keep a channel that no exchange uses.

    :ivar since: monotonic time in seconds of its last use.
    """

    __slots__ = ("channel", "since")

    def __init__(self, channel: Channel, since: float) -> None:
        self.channel = channel
        self.since = since


class ChannelPool:
    """Hold the channels to one address; each exchange has one for itself.

    :param address: ``IP:port``.
    :param headers: stand in each request.
    :ivar idle: channels that no exchange uses, the last used at the end.
    :ivar in_use: channels of the exchanges that wait for an answer.
    :ivar retired: whether no further exchange may use these channels.
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
        """Send a request once and return the answer; see `Channel.exchange`.

        :raises ChannelClosed: if nothing was sent.
        :raises ChannelBroken: if no whole answer came.
        """
        deadline = clock.monotonic() + timeout
        channel = self.claim_idle() or await self.open(timeout)
        left = deadline - clock.monotonic()
        self.in_use.add(channel)
        try:
            answer = await channel.exchange(
                path, body, left, limit, method, progress_timeout
            )
        finally:
            self.in_use.discard(channel)
        self.used = clock.monotonic()
        self.keep(channel)
        return answer

    def claim_idle(self) -> Channel | None:
        """Return the channel last used that is still open, if there is one."""
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
        """Keep a channel for the next exchange, unless there are enough."""
        if self.retired or channel.closed or len(self.idle) >= MAX_IDLE_CHANNELS:
            channel.close()
            return
        self.idle.append(IdleChannel(channel, self.used))

    def close_unused(self, before: float) -> None:
        """Close the channels that were last used before that time."""
        while self.idle and self.idle[0].since < before:
            self.idle.pop(0).channel.close()

    def retire(self) -> None:
        """Close idle channels now and the others after their exchanges."""
        self.retired = True
        self.drop_idle()

    def drop_idle(self) -> None:
        """Close what no exchange uses: the next one opens a channel."""
        while self.idle:
            self.idle.pop().channel.close()

    def abort_exchanges(self) -> None:
        """Let the exchanges in progress end without an answer."""
        for channel in list(self.in_use):
            channel.close()
