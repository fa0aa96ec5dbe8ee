"""Callers of a host that shuts down, on connections without sockets."""

import asyncio
from collections import deque
from typing import Any

from reedhook.platform.caller_listener import CallerProtocol
from reedhook.process.network.peer_server import PeerEndpoint, PeerServer
from reedhook.process.network.plain_server import PlainServer
from reedhook.process.session_host import SessionHost
from reedhook.process.session_process import SessionProcess
from reedhook_standins.promises import Sent

from .session_world import SessionWorld


class ConnectionEnded(Exception):
    """Report that the host has closed the connection."""


class Request:
    """One statement of a caller.

    :ivar error: the error in its answer; empty for success.
    :ivar state: the session's state in its answer; empty without a complete answer.
    """

    def __init__(self, text: str, sent_at: float) -> None:
        self.text = text
        self.sent_at = sent_at
        self.answered_at = 0.0
        self.error = ""
        self.state = ""


class LineCaller(asyncio.Transport):
    """Be the caller and the transport of one connection.

    :ivar requests: all statements sent.
    :ivar ended_at: when the host closed the connection.
    :ivar last_state: the session's state in the last answer.
    """

    def __init__(self, world: SessionWorld, host: SessionHost, number: int) -> None:
        super().__init__()
        self.world = world
        self.transaction = ""
        self.loop = asyncio.get_running_loop()
        self.number = number
        self.requests: list[Request] = []
        self.unanswered: deque[Request] = deque()
        self.lines: asyncio.Queue[str] = asyncio.Queue()
        self.ended_at: float | None = None
        self.last_state = ""
        self.protocol = CallerProtocol(host.caller_sessions)
        self.protocol.connection_made(self)

    def write(self, data: Any) -> None:
        for line in bytes(data).decode("latin-1").split("\r\n")[:-1]:
            self.lines.put_nowait(line)

    def is_closing(self) -> bool:
        return self.ended_at is not None

    def close(self) -> None:
        if self.ended_at is not None:
            return
        self.ended_at = self.loop.time()
        self.lines.put_nowait("")
        self.loop.call_soon(self.protocol.connection_lost, None)

    def pause_reading(self) -> None:
        """Callers of these tests send few statements ahead."""

    def resume_reading(self) -> None:
        """See `pause_reading`."""

    async def open(self, database: str) -> str:
        """Open the session; return the error if it is refused."""
        self.protocol.data_received(f"START {database} u{self.number}\r\n".encode())
        word, _, rest = (await self.next_line()).partition(" ")
        return rest if word == "ERROR" else ""

    async def ask(self, text: str) -> Request:
        """Send a statement and return it with its answer."""
        self.send(text)
        return await self.receive()

    def send(self, text: str) -> Request:
        """Send a statement.

        :raises ConnectionEnded: if the host has closed the connection.
        """
        if self.ended_at is not None:
            raise ConnectionEnded
        request = Request(text, self.loop.time())
        self.requests.append(request)
        self.unanswered.append(request)
        id = f"c{self.number}-{len(self.requests)}"
        if text == "BEGIN":
            self.transaction = id
        transaction = self.transaction if self.last_state == "T" else ""
        self.world.promises.sent[id] = Sent(text, transaction, {}, {})
        self.protocol.data_received(f"QUERY {id} {text}\r\n".encode())
        return request

    async def receive(self) -> Request:
        """Receive the answer to the oldest statement without one, and return both.

        :raises ConnectionEnded: if there is none.
        """
        error = ""
        while True:
            word, _, rest = (await self.next_line()).partition(" ")
            if word == "ERROR":
                error = rest
            if word == "READY":
                break
        request = self.unanswered.popleft()
        request.error = error
        request.state = self.last_state = rest[0]
        request.answered_at = self.loop.time()
        return request

    async def next_line(self) -> str:
        """Return the next line.

        :raises ConnectionEnded: after the last one.
        """
        line = await self.lines.get()
        if not line:
            raise ConnectionEnded
        return line


class StoppingProcess(SessionProcess):
    """Stop a host without servers, and end its connections as its process would.

    :ivar listening: whether connections of callers are accepted.
    """

    def __init__(self, host: SessionHost) -> None:
        endpoint = PeerEndpoint(host.routes, "", host.membership.timeline)
        unused = PlainServer("unused", endpoint.handle, "127.0.0.1:0", 0, 0.0, 0.0)
        peers = PeerServer(endpoint, "127.0.0.1:0")
        self.listening = True
        super().__init__(host, self.Listener(self), peers, unused, unused, 0.0)

    class Listener:
        """Take note of the end of listening."""

        def __init__(self, process: "StoppingProcess") -> None:
            self.process = process

        async def start(self) -> None:
            """Do nothing; tests open connections themselves."""

        def stop(self) -> None:
            """Stop accepting connections."""
            self.process.listening = False

    def reload(self) -> None:
        raise AssertionError("no settings are read")

    def stamp(self) -> float:
        return 0.0

    async def stop(self) -> None:
        """Stop the host; connections that are still open end with the process."""
        await super().stop()
        for connection in list(self.host.caller_sessions.connections):
            connection.close()
