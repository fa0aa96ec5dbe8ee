"""Protocol of calls between hosts.

A call is ``POST /peer/<path>``. Its JSON body is an envelope with the sender's id,
its timeline stamp and the call's body. The response carries a stamp and either a
body or a refusal. The credential that all hosts share is sent as a header.
"""

from typing import Final

CREDENTIAL: Final = "X-Peer"
PREFIX: Final = "/peer/"
MAX_PEER_BODY_BYTES: Final = 4 * 1024 * 1024
CLIENT_KEEPALIVE_SECONDS: Final = 15.0
# Must exceed `CLIENT_KEEPALIVE_SECONDS`: no call may use a connection being closed.
SERVER_KEEPALIVE_SECONDS: Final = 75.0
