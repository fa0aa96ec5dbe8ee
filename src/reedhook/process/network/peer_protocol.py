"""What both ends of a call between hosts agree on.

A call is ``POST /peer/<path>``. The body is an envelope: the sender's id, its
time-line stamp and the body proper. The answer carries a stamp and either a
body or a refusal. The credential that all hosts share is a header.
"""

from typing import Final

CREDENTIAL: Final = "X-Peer"
PREFIX: Final = "/peer/"
MAX_PEER_BODY_BYTES: Final = 4 * 1024 * 1024
CLIENT_KEEPALIVE: Final = 15.0
# Longer than at the client, so that no call meets a closing connection.
SERVER_KEEPALIVE: Final = 75.0
