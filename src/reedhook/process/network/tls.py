"""TLS contexts made from the settings, and reloaded while connections last."""

import os
import ssl
from collections.abc import Iterable
from pathlib import Path
from typing import Final, TypeAlias

import logbook

from ...clock import Clock
from ..settings import TlsSettings

RELOAD_INTERVAL: Final = 10.0

FileVersions: TypeAlias = tuple[tuple[int, int], ...]

log = logbook.Logger("tls")


class TlsContexts:
    """Hold the contexts of a host.

    Changed files are loaded into the same contexts: new connections use them,
    open ones go on as they are.

    :ivar callers: for the listeners of callers and operators, who show no
        certificate.
    :ivar peers: for the listener of other hosts, who must show one.
    :ivar client: for connections to other hosts.
    """

    def __init__(self, settings: TlsSettings) -> None:
        """Load all files.

        :raises OSError: if a file cannot be read.
        :raises ssl.SSLError: if a file does not hold what it should.
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

        They are tried on a spare context first, so that a certificate without
        its key leaves the contexts as they were.

        :raises OSError: if a file cannot be read.
        :raises ssl.SSLError: if a file does not hold what it should.
        """
        marks = marks_of(self.files())
        self.load_into([client_context()])
        self.load_into([self.callers, self.peers, self.client])
        self.file_versions = marks

    def load_into(self, contexts: Iterable[ssl.SSLContext]) -> None:
        """Load all files into `contexts`."""
        for context in contexts:
            context.load_cert_chain(self.settings.cert, self.settings.key)
            context.load_verify_locations(self.settings.ca)

    def files(self) -> list[Path]:
        """Return the files in use."""
        return [self.settings.cert, self.settings.key, self.settings.ca]

    def reload(self) -> bool:
        """Load the files if they have changed; return whether that worked."""
        try:
            if marks_of(self.files()) == self.file_versions:
                return False
            self.load()
        except (OSError, ssl.SSLError) as error:
            log.error("The certificate files stay as they were: {}.", error)
            return False
        log.info("The certificate files were loaded again.")
        return True

    async def watch_files(self, clock: Clock) -> None:
        """Reload whenever the files change, until cancelled."""
        while True:
            await clock.sleep(RELOAD_INTERVAL)
            self.reload()


def server_context() -> ssl.SSLContext:
    """Return an empty context for a listener."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    return context


def client_context() -> ssl.SSLContext:
    """Return an empty context that checks the certificate and its IP number."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    return context


def marks_of(files: Iterable[Path]) -> FileVersions:
    """Return what tells one content of the files from another."""
    found = [os.stat(file) for file in files]
    return tuple((one.st_mtime_ns, one.st_ino) for one in found)
