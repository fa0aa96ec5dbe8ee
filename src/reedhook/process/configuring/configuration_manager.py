"""The configuration in force at this host, and how it reaches other hosts."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeAlias

import logbook

from ...clock import Clock
from ...metrics import Metrics
from ...peer import HostRef, PeerClient, PeerError, PeerRoutes
from ...request.refusal import RefusalError, RefusalReason, not_run
from ...version.catalog import Catalog
from ...version.document import ConfigurationDocuments
from ...version.errors import InvalidConfigurationError
from ...version.snapshot import ConfigurationSnapshot, SnapshotError
from ...version.validation import validate_documents
from ...wire import Json
from ..events.timeline import EventKind, Timeline
from ..worker import ThreadWorker, Worker
from .snapshot_exchange import (
    CONFIGURATION_PATH,
    PEER_TIMEOUT_SECONDS,
    SnapshotPull,
    head_answer,
    parts_answer,
)

ANNOUNCEMENT_FANOUT: Final = 3
ANNOUNCEMENT_ROUNDS: Final = 3
ANNOUNCEMENT_DELAY_SECONDS: Final = 0.3
KEPT_SOURCES: Final = 16
MIN_RETRY_SECONDS: Final = 0.1
MAX_RETRY_SECONDS: Final = 5.0
STARTUP_TIMEOUT_SECONDS: Final = 2.0
STARTUP_CALL_TIMEOUT_SECONDS: Final = 1.0
STARTUP_CANDIDATES_LIMIT: Final = 64
STARTUP_RETRY_SECONDS: Final = 0.1
START_PULLS: Final = 4

CatalogCallback: TypeAlias = Callable[[Catalog], None]
PeerChoice: TypeAlias = Callable[[int], list[HostRef]]

log = logbook.Logger("configuration")


class ConfigurationManager:
    """Keep the newest known edition in force; never move to a lower version.

    News come from heartbeats, from other hosts' announcements, from the relays
    that watch the store and from the editor. A host pulls an edition from a
    peer that has it, part by part, and passes the news on.

    :ivar snapshot: the edition in force; None before the first.
    :ivar catalog: what it says for this site; None before the first.
    :ivar in_force_since: wall-clock time in seconds; None before the first.
    :ivar ready: set once an edition is in force.
    """

    def __init__(
        self,
        me: HostRef,
        peers: PeerClient,
        some_peers: PeerChoice,
        clock: Clock,
        chooser: random.Random,
        timeline: Timeline,
        metrics: Metrics,
        worker: Worker | None = None,
    ) -> None:
        """Make a keeper with nothing in force.

        :param me: this host; its zone is the site whose overlay holds here.
        :param some_peers: gives up to so many live peers, chosen at random.
        """
        self.me = me
        self.peers = peers
        self.some_peers = some_peers
        self.clock = clock
        self.chooser = chooser
        self.timeline = timeline
        self.metrics = metrics
        self.worker = worker or ThreadWorker()
        self.snapshot: ConfigurationSnapshot | None = None
        self.catalog: Catalog | None = None
        self.in_force_since: float | None = None
        self.ready = asyncio.Event()
        self.callbacks: list[CatalogCallback] = []
        self.sources: dict[str, tuple[int, HostRef]] = {}
        self.newer_version_known = asyncio.Event()
        self.refused_version = 0
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def version(self) -> int:
        """Return the version in force; 0 before the first."""
        return 0 if self.snapshot is None else self.snapshot.version

    def parts(self) -> dict[str, bytes]:
        """Return the packed parts in force, by digest."""
        return {} if self.snapshot is None else self.snapshot.packed

    def status(self) -> Json:
        """Return what operators see of this host's configuration."""
        summary = {} if self.snapshot is None else self.snapshot.manifest.summary()
        return {
            **summary,
            "version": self.version,
            "site": self.me.zone,
            "in_force_since": self.in_force_since,
            "refused": self.refused_version or None,
        }

    def on_change(self, callback: CatalogCallback) -> None:
        """Call `callback` with the catalog in force, if any, and each later one."""
        self.callbacks.append(callback)
        if self.catalog is not None:
            self.run_callback(callback, self.catalog)

    def register(self, routes: PeerRoutes) -> None:
        """Answer the peer path ``config``."""
        routes.add(CONFIGURATION_PATH, self.handle_request)

    async def start(self) -> None:
        """Learn what some peers have, then follow the news."""
        await self.sync_from_peers()
        self.spawn(self.pull_forever())

    async def close(self) -> None:
        """Stop following the news."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def record_peer_version(self, version: int, peer: HostRef) -> None:
        """Take note that `peer` says it has `version`."""
        if not self.is_wanted(version):
            return
        self.sources.pop(peer.host, None)
        self.sources[peer.host] = (version, peer)
        while len(self.sources) > KEPT_SOURCES:
            del self.sources[next(iter(self.sources))]
        self.newer_version_known.set()

    def is_wanted(self, version: int) -> bool:
        """Say whether `version` is newer, and not one refused as invalid."""
        return version > max(self.version, self.refused_version)

    async def adopt(self, edition: ConfigurationSnapshot, source: str) -> bool:
        """Put `edition` in force if it is newer and valid.

        :param source: where it came from, for the time line.
        :returns: whether it came into force.
        """
        if edition.version <= self.version:
            return False
        try:
            documents = edition.documents()
            catalog = await self.worker.run(
                make_catalog, documents, edition.version, self.me.zone
            )
        except SnapshotError as error:
            self.record_dropped(edition.version, source, str(error))
            return False
        except InvalidConfigurationError as error:
            self.record_refused(edition.version, source, str(error.exceptions[0]))
            return False
        # Another edition may have come into force during the check.
        if edition.version <= self.version:
            return False
        self.put_in_force(edition, catalog, source)
        return True

    def put_in_force(
        self, edition: ConfigurationSnapshot, catalog: Catalog, source: str
    ) -> None:
        """Move to `edition`, tell the callbacks, announce it."""
        previous = self.version
        self.snapshot = edition
        self.catalog = catalog
        self.in_force_since = self.clock.wall()
        self.ready.set()
        self.timeline.record(
            EventKind.CONFIGURATION,
            f"version {edition.version}",
            version=edition.version,
            previous=previous,
            source=source,
            author=edition.manifest.author,
            edit_id=edition.manifest.edit_id,
        )
        self.metrics.gauge("configuration.version", edition.version)
        self.metrics.increment("configuration.changes")
        log.info(f"Version {edition.version} in force, from {source}.")
        for callback in self.callbacks:
            self.run_callback(callback, catalog)
        self.spawn(self.announce(edition.version))

    def run_callback(self, callback: CatalogCallback, catalog: Catalog) -> None:
        """Call `callback`; its failure must not keep others from the news."""
        try:
            callback(catalog)
        except Exception:
            log.exception("A callback failed.")

    def record_refused(self, version: int, source: str, reason: str) -> None:
        """Take note of an edition that this program does not find valid.

        Another release of the program accepted it; asking for it again would
        change nothing.
        """
        self.refused_version = max(self.refused_version, version)
        self.timeline.record(
            EventKind.CONFIGURATION,
            f"version {version}",
            version=version,
            source=source,
            refused=reason,
        )
        self.record_dropped(version, source, reason)

    def record_dropped(self, version: int, source: str, reason: str) -> None:
        """Take note that an edition was not put in force."""
        self.metrics.increment("configuration.dropped")
        log.warning(f"Version {version} from {source} dropped: {reason}.")

    async def announce(self, version: int) -> None:
        """Tell some peers which version is in force here, and some others later.

        One round of random peers leaves out a few hosts in a hundred, three
        rounds few in a fleet; heartbeats reach those.
        """
        for _ in range(ANNOUNCEMENT_ROUNDS):
            if self.version != version:
                return
            await asyncio.gather(*map(self.offer, self.some_peers(ANNOUNCEMENT_FANOUT)))
            await self.clock.sleep(
                ANNOUNCEMENT_DELAY_SECONDS * self.chooser.uniform(0.5, 1.5)
            )

    async def offer(self, peer: HostRef) -> None:
        """Tell one peer; learn from the answer if it has a newer version."""
        body = {"offer": self.version, "from": self.me.to_json()}
        await self.query_peer(peer, body, PEER_TIMEOUT_SECONDS)

    async def handle_request(self, body: Json) -> Json:
        """Answer the peer path ``config``.

        ``have`` asks for the head if it is newer, ``want`` for parts, and
        ``offer`` announces a version of the host ``from``.

        :raises Refusal: if the body has another form.
        """
        try:
            if "want" in body:
                return parts_answer(self.snapshot, [str(one) for one in body["want"]])
            if "offer" in body:
                sender = HostRef.from_json(body["from"])
                self.record_peer_version(int(body["offer"]), sender)
                return {"version": self.version}
            return head_answer(self.snapshot, int(body["have"]))
        except (KeyError, TypeError, ValueError) as error:
            raise not_run(
                RefusalReason.BAD_REQUEST, "not a question for config"
            ) from error

    async def sync_from_peers(self) -> None:
        """Ask some peers for their version and pull the newest.

        A host that restarts must not serve by an older edition than its peers
        do, so that it asks them before it reads the store.
        """
        deadline = self.clock.monotonic() + STARTUP_TIMEOUT_SECONDS
        while not await self.any_answers(self.first_peers()):
            if self.clock.monotonic() >= deadline:
                return
            await self.clock.sleep(STARTUP_RETRY_SECONDS)
        # Peers may be heard and yet not answer; the news is followed later on.
        for _ in range(START_PULLS):
            await self.pull_once()

    def first_peers(self) -> list[HostRef]:
        """Return peers of this zone and of others, any of which may be cut off."""
        known = self.some_peers(STARTUP_CANDIDATES_LIMIT)
        near = [peer for peer in known if peer.zone == self.me.zone]
        far = [peer for peer in known if peer.zone != self.me.zone]
        return near[:ANNOUNCEMENT_FANOUT] + far[:ANNOUNCEMENT_FANOUT]

    async def any_answers(self, peers: list[HostRef]) -> bool:
        """Ask `peers` for their versions; return whether one answered."""
        body = {"have": self.version}
        questions = [
            self.query_peer(peer, body, STARTUP_CALL_TIMEOUT_SECONDS) for peer in peers
        ]
        return any(await asyncio.gather(*questions))

    async def query_peer(self, peer: HostRef, body: Json, timeout: float) -> bool:
        """Send a question whose answer states the peer's version.

        :returns: whether an answer came; heartbeats carry the version too.
        """
        try:
            answer = await self.peers.call(peer, CONFIGURATION_PATH, body, timeout)
            self.record_peer_version(int(answer["version"]), peer)
        except (PeerError, RefusalError, KeyError, TypeError, ValueError):
            return False
        return True

    async def pull_forever(self) -> None:
        """Pull whenever a peer is known to have a newer version."""
        delay = MIN_RETRY_SECONDS
        while True:
            await self.newer_version_known.wait()
            if self.choose_source() is None:
                self.newer_version_known.clear()
                continue
            if await self.pull_once():
                delay = MIN_RETRY_SECONDS
                continue
            await self.clock.sleep(delay * self.chooser.uniform(0.5, 1.5))
            delay = min(delay * 2, MAX_RETRY_SECONDS)

    async def pull_once(self) -> bool:
        """Pull from one source; return whether a newer edition came into force.

        A source that gave nothing is forgotten until it is heard again.
        """
        source = self.choose_source()
        if source is None:
            return False
        try:
            edition = await SnapshotPull(self.peers, source, self.snapshot).run()
        except (PeerError, RefusalError, SnapshotError) as error:
            self.metrics.increment("configuration.pull_failed")
            log.info(f"Pull from {source.host} failed: {error}.")
            edition = None
        if edition is not None and await self.adopt(edition, source.host):
            return True
        self.sources.pop(source.host, None)
        return False

    def choose_source(self) -> HostRef | None:
        """Return a peer that has the newest version heard of, or None."""
        self.sources = {
            host: one for host, one in self.sources.items() if self.is_wanted(one[0])
        }
        if not self.sources:
            return None
        newest = max(version for version, _ in self.sources.values())
        best = [peer for version, peer in self.sources.values() if version == newest]
        return self.chooser.choice(best)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a task until it ends or the keeper is closed."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def make_catalog(documents: ConfigurationDocuments, version: int, site: str) -> Catalog:
    """Check an accepted edition for one site and return its catalog.

    :raises InvalidConfiguration: with every fault found.
    """
    return validate_documents(documents, only_site=site).catalog(version, site)
