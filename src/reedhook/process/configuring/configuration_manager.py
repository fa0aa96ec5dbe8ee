"""Active configuration of this host and its distribution between hosts."""

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
    """Activate the newest known snapshot; never return to an earlier version.

    A host learns of new versions from heartbeats, announcements of peers, the relay
    that watches the store, and the editor. It pulls the missing parts from a peer
    that has the version, activates it and announces it to other peers.

    :ivar snapshot: the active snapshot; None before the first.
    :ivar catalog: the active configuration of this site; None before the first.
    :ivar in_force_since: wall-clock time of activation in seconds; None before the
        first.
    :ivar ready: set once a snapshot is active.
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
        """Initialize the manager without an active snapshot.

        :param me: this host; its zone selects the overlay.
        :param some_peers: returns up to the given number of random live peers.
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
        """Return the active version; 0 before the first."""
        return 0 if self.snapshot is None else self.snapshot.version

    def parts(self) -> dict[str, bytes]:
        """Return the compressed parts of the active snapshot by digest."""
        return {} if self.snapshot is None else self.snapshot.packed

    def status(self) -> Json:
        """Return the configuration status that is shown to operators."""
        summary = {} if self.snapshot is None else self.snapshot.manifest.summary()
        return {
            **summary,
            "version": self.version,
            "site": self.me.zone,
            "in_force_since": self.in_force_since,
            "refused": self.refused_version or None,
        }

    def on_change(self, callback: CatalogCallback) -> None:
        """Call `callback` with the active catalog, if any, and each later one."""
        self.callbacks.append(callback)
        if self.catalog is not None:
            self.run_callback(callback, self.catalog)

    def register(self, routes: PeerRoutes) -> None:
        """Register the handler of the peer path ``config``."""
        routes.add(CONFIGURATION_PATH, self.handle_request)

    async def start(self) -> None:
        """Synchronize with some peers, then start pulling newer versions."""
        await self.sync_from_peers()
        self.spawn(self.pull_forever())

    async def close(self) -> None:
        """Cancel all tasks."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def record_peer_version(self, version: int, peer: HostRef) -> None:
        """Record `peer` as a source of `version` if that version is wanted."""
        if not self.is_wanted(version):
            return
        self.sources.pop(peer.host, None)
        self.sources[peer.host] = (version, peer)
        while len(self.sources) > KEPT_SOURCES:
            del self.sources[next(iter(self.sources))]
        self.newer_version_known.set()

    def is_wanted(self, version: int) -> bool:
        """Return whether `version` is newer than any active or refused version."""
        return version > max(self.version, self.refused_version)

    async def adopt(self, edition: ConfigurationSnapshot, source: str) -> bool:
        """Activate a snapshot if it is newer and valid.

        :param source: where the snapshot came from, for the timeline.
        :returns: whether it was activated.
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
        # Another snapshot may have been activated during validation.
        if edition.version <= self.version:
            return False
        self.put_in_force(edition, catalog, source)
        return True

    def put_in_force(
        self, edition: ConfigurationSnapshot, catalog: Catalog, source: str
    ) -> None:
        """Activate a snapshot, run the callbacks and announce it to peers."""
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
        log.info(f"Version {edition.version} activated, from {source}.")
        for callback in self.callbacks:
            self.run_callback(callback, catalog)
        self.spawn(self.announce(edition.version))

    def run_callback(self, callback: CatalogCallback, catalog: Catalog) -> None:
        """Call `callback`; log an exception so that other callbacks still run."""
        try:
            callback(catalog)
        except Exception:
            log.exception("Callback for a configuration change failed.")

    def record_refused(self, version: int, source: str, reason: str) -> None:
        """Record a version that fails validation here, so it is not pulled again.

        Another release of the program may have accepted it.
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
        """Record that a version was not activated."""
        self.metrics.increment("configuration.dropped")
        log.warning(f"Version {version} from {source} not activated: {reason}.")

    async def announce(self, version: int) -> None:
        """Announce the active version to random peers in several rounds.

        Hosts that are missed learn the version from heartbeats.
        """
        for _ in range(ANNOUNCEMENT_ROUNDS):
            if self.version != version:
                return
            await asyncio.gather(*map(self.offer, self.some_peers(ANNOUNCEMENT_FANOUT)))
            await self.clock.sleep(
                ANNOUNCEMENT_DELAY_SECONDS * self.chooser.uniform(0.5, 1.5)
            )

    async def offer(self, peer: HostRef) -> None:
        """Announce the active version to a peer; record the version it returns."""
        body = {"offer": self.version, "from": self.me.to_json()}
        await self.query_peer(peer, body, PEER_TIMEOUT_SECONDS)

    async def handle_request(self, body: Json) -> Json:
        """Handle a request on the peer path ``config``.

        ``have`` requests the manifest if it is newer, ``want`` requests parts, and
        ``offer`` announces a version of the host ``from``.

        :raises RefusalError: if the body is malformed.
        """
        try:
            if "want" in body:
                return parts_answer(
                    self.snapshot, [str(digest) for digest in body["want"]]
                )
            if "offer" in body:
                sender = HostRef.from_json(body["from"])
                self.record_peer_version(int(body["offer"]), sender)
                return {"version": self.version}
            return head_answer(self.snapshot, int(body["have"]))
        except (KeyError, TypeError, ValueError) as error:
            raise not_run(
                RefusalReason.BAD_REQUEST, "malformed request on the path config"
            ) from error

    async def sync_from_peers(self) -> None:
        """Query some peers for their versions and pull the newest.

        A restarted host must not serve an older version than its peers, and reads of
        the store may be stale, so it queries peers first.
        """
        deadline = self.clock.monotonic() + STARTUP_TIMEOUT_SECONDS
        while not await self.any_answers(self.first_peers()):
            if self.clock.monotonic() >= deadline:
                return
            await self.clock.sleep(STARTUP_RETRY_SECONDS)
        # Pulls may fail; `pull_forever` retries them later.
        for _ in range(START_PULLS):
            await self.pull_once()

    def first_peers(self) -> list[HostRef]:
        """Return peers of this zone and of others, since either may be partitioned."""
        known = self.some_peers(STARTUP_CANDIDATES_LIMIT)
        near = [peer for peer in known if peer.zone == self.me.zone]
        far = [peer for peer in known if peer.zone != self.me.zone]
        return near[:ANNOUNCEMENT_FANOUT] + far[:ANNOUNCEMENT_FANOUT]

    async def any_answers(self, peers: list[HostRef]) -> bool:
        """Query the versions of `peers`; return whether any responded."""
        body = {"have": self.version}
        queries = [
            self.query_peer(peer, body, STARTUP_CALL_TIMEOUT_SECONDS) for peer in peers
        ]
        return any(await asyncio.gather(*queries))

    async def query_peer(self, peer: HostRef, body: Json, timeout: float) -> bool:
        """Send a request and record the version in the response.

        :returns: whether a valid response arrived.
        """
        try:
            answer = await self.peers.call(peer, CONFIGURATION_PATH, body, timeout)
            self.record_peer_version(int(answer["version"]), peer)
        except (PeerError, RefusalError, KeyError, TypeError, ValueError):
            return False
        return True

    async def pull_forever(self) -> None:
        """Pull newer versions with backoff until cancelled."""
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
        """Pull from one source; return whether a newer snapshot was activated.

        A failed source is dropped until it reports a newer version again.
        """
        source = self.choose_source()
        if source is None:
            return False
        try:
            snapshot = await SnapshotPull(self.peers, source, self.snapshot).run()
        except (PeerError, RefusalError, SnapshotError) as error:
            self.metrics.increment("configuration.pull_failed")
            log.info(f"Pulling the configuration from {source.host} failed: {error}.")
            snapshot = None
        if snapshot is not None and await self.adopt(snapshot, source.host):
            return True
        self.sources.pop(source.host, None)
        return False

    def choose_source(self) -> HostRef | None:
        """Return a random peer with the newest known version, or None."""
        self.sources = {
            host: source
            for host, source in self.sources.items()
            if self.is_wanted(source[0])
        }
        if not self.sources:
            return None
        newest = max(version for version, _ in self.sources.values())
        best = [peer for version, peer in self.sources.values() if version == newest]
        return self.chooser.choice(best)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Start a task that is cancelled by `close`."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def make_catalog(documents: ConfigurationDocuments, version: int, site: str) -> Catalog:
    """Validate an accepted version for one site and return its catalog.

    :raises InvalidConfigurationError: with all errors found.
    """
    return validate_documents(documents, only_site=site).catalog(version, site)
