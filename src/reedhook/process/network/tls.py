"""TLS contexts from the settings, reloaded without closing connections."""

import os
import ssl
from collections.abc import Iterable
from pathlib import Path
from typing import Final, TypeAlias

import logbook

from ...clock import Clock
from ..settings import TlsSettings

RELOAD_INTERVAL_SECONDS: Final = 10.0

FileVersions: TypeAlias = tuple[tuple[int, int], ...]

log = logbook.Logger("tls")


class TlsContexts:
    """Hold the TLS contexts of a host.

    Changed files are loaded into the same contexts: new connections use them,
    open connections are not affected.

    :ivar callers: for the servers of callers and operators, without client
        certificates.
    :ivar peers: for the server of other hosts, with mandatory client certificates.
    :ivar client: for connections to other hosts.
    """

    def __init__(self, settings: TlsSettings) -> None:
        """Load all files.

        :raises OSError: if a file cannot be read.
        :raises ssl.SSLError: if a file is invalid.
        """
        self.settings = settings
        self.callers = server_context()
        self.peers = server_context()
        self.peers.verify_mode = ssl.CERT_REQUIRED
        self.client = client_context()
        self.file_versions: FileVersions = ()
        self.load()

    def load(self) -> None:
        """Load all files into the contexts.

        They are loaded into a temporary context first, so that an invalid file
        leaves the contexts unchanged.

        :raises OSError: if a file cannot be read.
        :raises ssl.SSLError: if a file is invalid.
        """
        versions = marks_of(self.files())
        self.load_into([client_context()])
        self.load_into([self.callers, self.peers, self.client])
        self.file_versions = versions

    def load_into(self, contexts: Iterable[ssl.SSLContext]) -> None:
        """Load all files into `contexts`."""
        for context in contexts:
            context.load_cert_chain(self.settings.cert, self.settings.key)
            context.load_verify_locations(self.settings.ca)

    def files(self) -> list[Path]:
        """Return the files in use."""
        return [self.settings.cert, self.settings.key, self.settings.ca]

    def reload(self) -> bool:
        """Load the files if they have changed; return whether they were loaded."""
        try:
            if marks_of(self.files()) == self.file_versions:
                return False
            self.load()
        except (OSError, ssl.SSLError) as error:
            log.error(
                "Reloading the TLS files failed; the previous ones stay in use: {}.",
                error,
            )
            return False
        log.info("The TLS files were reloaded.")
        return True

    async def watch_files(self, clock: Clock) -> None:
        """Poll the files and reload them after a change, until cancelled."""
        while True:
            await clock.sleep(RELOAD_INTERVAL_SECONDS)
            self.reload()


def server_context() -> ssl.SSLContext:
    """Return a context without certificates for a server."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    return context


def client_context() -> ssl.SSLContext:
    """Return a client context that verifies the server's certificate and address."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    return context


def marks_of(files: Iterable[Path]) -> FileVersions:
    """Return the modification times and inodes of the files."""
    stats = [os.stat(file) for file in files]
    return tuple((stat.st_mtime_ns, stat.st_ino) for stat in stats)
