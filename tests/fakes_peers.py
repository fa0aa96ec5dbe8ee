"""An in-memory network between the hosts of a test, with faults.

    network = FakeNetwork()
    peers = network.join(HostRef("h1", "vittoria", "127.0.0.1:1"), routes)
    network.cut("h1", "h2")      # messages from h1 to h2 are lost
    network.isolate({"h1"}, {"h2", "h3"})
    network.pause("h2")          # h2 neither sends nor receives answers
    network.crash("h3")          # connections to h3 are refused

Messages pass through the codec, so that only JSON gets across. An exception
of a handler that is not a `RefusalError` is kept in `network.failures`.
"""

import asyncio
import random
from collections import Counter, defaultdict
from collections.abc import Iterable

from reedhook.peer import HostRef, PeerClient, PeerError, PeerRoutes
from reedhook.request.refusal import RefusalError, RefusalReason, may_have_run, not_run
from reedhook.wire import Json, WireError, decode, encode

from .fakes_clock import LoopClock


class FakeNetwork:
    """Pass calls between the hosts that joined.

    :param delay: one-way delay in seconds between any two hosts.
    :ivar delays: one-way delay of single pairs, by sender and receiver.
    :ivar loss: fraction of messages lost, in each direction.
    :ivar calls: calls that reached a handler, by path.
    :ivar sent_bytes: bytes of request and answer bodies sent by each host.
    """

    def __init__(self, delay: float = 0.0005, seed: int = 0) -> None:
        self.delay = delay
        self.delays: dict[tuple[str, str], float] = {}
        self.loss = 0.0
        self.random = random.Random(seed)
        self.at: dict[str, FakePeers] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.paused: dict[str, asyncio.Event] = {}
        self.clocks: dict[str, LoopClock] = {}
        self.calls: Counter[str] = Counter()
        self.sent_bytes: defaultdict[str, int] = defaultdict(int)
        self.failures: list[Exception] = []

    def join(self, me: HostRef, routes: PeerRoutes) -> "FakePeers":
        """Attach a host; it replaces an earlier one at the same address."""
        peers = FakePeers(self, me, routes)
        self.at[me.address] = peers
        return peers

    def clock(self, host: str) -> LoopClock:
        """Return the clock of `host`, which `pause` stops."""
        return self.clocks.setdefault(host, LoopClock())

    def crash(self, host: str) -> None:
        """Detach `host`; connections to it are refused."""
        self.at = {
            address: peers
            for address, peers in self.at.items()
            if peers.me.host != host
        }

    def cut(self, sender: str, receiver: str) -> None:
        """Drop messages from `sender` to `receiver`."""
        self.cuts.add((sender, receiver))

    def mend(self, sender: str, receiver: str) -> None:
        """Undo `cut`."""
        self.cuts.discard((sender, receiver))

    def isolate(self, side: Iterable[str], other: Iterable[str]) -> None:
        """Cut all hosts of `side` from those of `other`, in both directions."""
        others = list(other)
        for one in side:
            for two in others:
                self.cut(one, two)
                self.cut(two, one)

    def heal(self) -> None:
        """Remove all cuts."""
        self.cuts.clear()

    def pause(self, host: str) -> None:
        """Pause `host`: calls to it hang, and its answers wait."""
        self.paused.setdefault(host, asyncio.Event())
        self.clock(host).pause()

    def resume(self, host: str) -> None:
        """Resume a paused host."""
        self.clock(host).resume()
        event = self.paused.pop(host, None)
        if event is not None:
            event.set()

    async def carry(self, sender: str, receiver: str, body: bytes) -> None:
        """Deliver one message, or wait forever if it is lost."""
        self.sent_bytes[sender] += len(body)
        await self.travel(sender, receiver, 0.0)

    async def travel(self, sender: str, receiver: str, queued: float) -> None:
        """Wait for the arrival of a message, or forever if it is lost.

        :param queued: seconds that the message waits at the sender.
        """
        delay = self.delays.get((sender, receiver), self.delay)
        await asyncio.sleep(queued + delay)
        lost = self.loss > 0.0 and self.random.random() < self.loss
        if lost or (sender, receiver) in self.cuts:
            await asyncio.Event().wait()
        await self.awake(receiver)

    async def awake(self, host: str) -> None:
        """Wait while `host` is paused."""
        while host in self.paused:
            await self.paused[host].wait()


class FakePeers(PeerClient):
    """Call other hosts of a `FakeNetwork`."""

    def __init__(self, network: FakeNetwork, me: HostRef, routes: PeerRoutes) -> None:
        self.network = network
        self.me = me
        self.routes = routes
        self.answering: set[asyncio.Task[bytes]] = set()

    async def call(self, peer: HostRef, path: str, body: Json, timeout: float) -> Json:
        there = self.network.at.get(peer.address)
        if there is None:
            await asyncio.sleep(self.network.delay)
            raise PeerError(f"{peer.host} refused the connection", sent=False)
        try:
            async with asyncio.timeout(timeout):
                answer = await self.exchange(there, path, encode(body))
        except TimeoutError:
            await self.network.awake(self.me.host)
            raise PeerError(f"{peer.host} did not answer", sent=True) from None
        message = decode(answer)
        if "refusal" in message:
            raise RefusalError.from_json(message["refusal"])
        received: Json = message["body"]
        return received

    async def exchange(self, there: "FakePeers", path: str, body: bytes) -> bytes:
        """Deliver the call and its answer; the handler outlives a caller's timeout."""
        caller, callee = self.me.host, there.me.host
        await self.network.awake(caller)
        await self.network.carry(caller, callee, body)
        task = asyncio.create_task(there.answer(path, body))
        there.answering.add(task)
        task.add_done_callback(there.answering.discard)
        answer = await asyncio.shield(task)
        await self.network.awake(callee)
        await self.network.carry(callee, caller, answer)
        return answer

    async def answer(self, path: str, body: bytes) -> bytes:
        """Run the handler of `path` as the server side does."""
        self.network.calls[path] += 1
        handler = self.routes.handlers.get(path)
        try:
            if handler is None:
                raise not_run(RefusalReason.BAD_REQUEST, f"no peer path {path}")
            return encode({"body": await handler(decode(body))})
        except RefusalError as refusal:
            return encode({"refusal": refusal.to_json()})
        except WireError as error:
            return encode(
                {"refusal": not_run(RefusalReason.BAD_REQUEST, str(error)).to_json()}
            )
        except Exception as error:
            self.network.failures.append(error)
            failed = may_have_run(RefusalReason.HOST_UNREACHABLE, "the handler failed")
            return encode({"refusal": failed.to_json()})

    async def close(self) -> None:
        for task in self.answering:
            task.cancel()
