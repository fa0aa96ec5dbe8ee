"""Signed handles of interactive transactions, which any host can decode."""

import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode
from typing import Final

import orjson

from ..peer import HostRef
from ..record import Record
from .refusal import RefusalError, RefusalReason, not_run

MAC_BYTES: Final = 16
MAX_TEXT_CHARACTERS: Final = 1024


class TransactionHandle(Record):
    """Identify a transaction and the host that holds its connection.

    :param workspace: the workspace that began it; no other may use the handle.
    :param member: the target on which it runs.
    :param transaction: its id at the home.
    """

    __slots__ = ("workspace", "group", "member", "host", "transaction")

    def __init__(
        self, workspace: str, group: str, member: str, host: HostRef, transaction: str
    ) -> None:
        self.workspace = workspace
        self.group = group
        self.member = member
        self.host = host
        self.transaction = transaction


class TransactionHandleCodec:
    """Encode and decode handles with the secrets that all hosts share.

    :param secrets: the first one signs; all verify.
    """

    __slots__ = ("secrets",)

    def __init__(self, secrets: tuple[bytes, ...]) -> None:
        self.secrets = secrets

    def encode(self, handle: TransactionHandle) -> str:
        """Return the text of `handle`."""
        payload = orjson.dumps(
            [handle.group, handle.member, handle.host.to_json(), handle.transaction]
        )
        body = handle_mac(self.secrets[0], handle.workspace, payload) + payload
        return urlsafe_b64encode(body).rstrip(b"=").decode()

    def decode(self, text: str, workspace: str) -> TransactionHandle:
        """Decode a handle that `workspace` presents.

        :raises RefusalError: ``unknown_transaction`` if the handle is malformed or
            belongs to another workspace.
        """
        body = decode_base64url(text)
        mac, payload = body[:MAC_BYTES], body[MAC_BYTES:]
        valid_macs = [handle_mac(secret, workspace, payload) for secret in self.secrets]
        if not any(hmac.compare_digest(one, mac) for one in valid_macs):
            raise unknown_transaction()
        group, member, host, transaction = orjson.loads(payload)
        return TransactionHandle(
            workspace, group, member, HostRef.from_json(host), transaction
        )


def handle_mac(secret: bytes, workspace: str, payload: bytes) -> bytes:
    """Return the truncated MAC of a handle of `workspace`."""
    owner = workspace.encode()
    size = len(owner).to_bytes(2, "big")
    signed = b"transaction" + size + owner + payload
    return hmac.digest(secret, signed, "sha256")[:MAC_BYTES]


def decode_base64url(text: str) -> bytes:
    """Return the bytes of a handle's text.

    :raises RefusalError: ``unknown_transaction`` if the text is malformed.
    """
    if len(text) > MAX_TEXT_CHARACTERS:
        raise unknown_transaction()
    try:
        encoded = text.encode("ascii")
        return urlsafe_b64decode(encoded + b"=" * (-len(encoded) % 4))
    except ValueError as error:
        raise unknown_transaction() from error


def unknown_transaction() -> RefusalError:
    """Return the refusal of a handle without a transaction of the workspace."""
    return not_run(RefusalReason.UNKNOWN_TRANSACTION, "the transaction is not known")
