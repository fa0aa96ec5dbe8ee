"""Limits of what the servers of a host accept."""

from ...record import Record


class ServerLimits(Record):
    """Limit what a host accepts from a connection.

    :param body_bytes: maximum size of a caller's or peer's request body.
    :param admin_body_bytes: maximum size of an operator's request body.
    :param header_bytes: maximum size of one header line.
    :param keepalive_s: idle time in seconds after which a connection is closed.
    :param shutdown_s: time limit of a graceful shutdown, in seconds; the process
        exits with an error if it is exceeded.
    """

    __slots__ = (
        "body_bytes",
        "admin_body_bytes",
        "header_bytes",
        "keepalive_s",
        "shutdown_s",
    )

    def __init__(
        self,
        body_bytes: int = 1048576,
        admin_body_bytes: int = 16777216,
        header_bytes: int = 8190,
        keepalive_s: int = 75,
        shutdown_s: int = 30,
    ) -> None:
        self.body_bytes = body_bytes
        self.admin_body_bytes = admin_body_bytes
        self.header_bytes = header_bytes
        self.keepalive_s = keepalive_s
        self.shutdown_s = shutdown_s
