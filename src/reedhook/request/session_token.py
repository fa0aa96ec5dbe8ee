"""Session tokens: the positions that a session has seen, carried by the caller.

A token is opaque to the caller. Its bytes are a format version, the length of
the payload, the payload, and a truncated HMAC-SHA256 over all of these.
"""

import hmac
import re
from base64 import urlsafe_b64decode, urlsafe_b64encode
from collections.abc import Sequence
from string import ascii_lowercase, ascii_uppercase, digits
from typing import Final

import orjson

from ..record import Record
from .position import Position
from .refusal import RefusalError, RefusalReason, not_run

FORMAT_VERSION: Final = 1
HEADER_BYTES: Final = 3
MAC_BYTES: Final = 16
TOKEN_PATTERN: Final = re.compile("[A-Za-z0-9_-]*")
PADDING: Final = ("", "", "==", "=")
# The last base64 character may have unused bits. Only texts in which these bits are
# zero are valid, so that every altered bit is detected.
BASE64URL_ALPHABET: Final = ascii_uppercase + ascii_lowercase + digits + "-_"
VALID_LAST_CHARACTERS: Final = (
    BASE64URL_ALPHABET,
    "",
    BASE64URL_ALPHABET[::16],
    BASE64URL_ALPHABET[::4],
)
MAX_GROUPS: Final = 256
MAX_TEXT_CHARACTERS: Final = 24_576


class SessionToken(Record):
    """Carry the positions that reads of a session must reflect.

    :param workspace: the workspace of the session.
    :param service: the service that the groups belong to.
    :param positions: the positions by group.
    """

    __slots__ = ("workspace", "service", "positions")

    def __init__(
        self, workspace: str, service: str, positions: dict[str, Position] | None = None
    ) -> None:
        self.workspace = workspace
        self.service = service
        self.positions = positions or {}

    def covers(self, other: "SessionToken") -> bool:
        """Return whether each position of `other` is covered by this token."""
        return all(
            group in self.positions and self.positions[group] >= position
            for group, position in other.positions.items()
        )

    def advanced(self, group: str, position: Position) -> "SessionToken":
        """Return a token that also covers `position` of `group`.

        :raises RefusalError: if the token would contain too many groups.
        """
        known = self.positions.get(group)
        if known is not None and known >= position:
            return self
        positions = {**self.positions, group: position}
        if len(positions) > MAX_GROUPS:
            raise invalid_token_refusal("the token contains too many groups")
        return SessionToken(self.workspace, self.service, positions)

    def merged(self, other: "SessionToken") -> "SessionToken":
        """Return a token that covers the positions of both tokens.

        :raises RefusalError: if the workspace or service differs, or the token would
            contain too many groups.
        """
        if (self.workspace, self.service) != (other.workspace, other.service):
            raise invalid_token_refusal("tokens of different scopes cannot be merged")
        merged = self
        for group, position in other.positions.items():
            merged = merged.advanced(group, position)
        return merged


class TokenCodec:
    """Encode and decode tokens with the secrets that all hosts share.

    :param secrets: the first one signs; all verify, so that the secret can be
        rotated while tokens of the former one are in use.
    :raises ValueError: if there is no secret.
    """

    __slots__ = ("keyed_macs",)

    def __init__(self, secrets: Sequence[bytes]) -> None:
        if not secrets:
            raise ValueError("at least one token secret is required")
        self.keyed_macs = [hmac.new(secret, digestmod="sha256") for secret in secrets]

    def encode(self, token: SessionToken) -> str:
        """Return the text of `token`."""
        positions = {
            group: (position.term, position.index)
            for group, position in token.positions.items()
        }
        payload = orjson.dumps([token.workspace, token.service, positions])
        header = bytes([FORMAT_VERSION]) + len(payload).to_bytes(2, "big")
        signed = header + payload
        body = signed + token_mac(self.keyed_macs[0], signed)
        return encode_base64url(body)

    def decode(self, text: str, workspace: str, service: str) -> SessionToken:
        """Decode a token of `workspace` for `service`.

        :raises RefusalError: ``token_invalid``, with the cause as its detail.
        """
        signed = self.verified(decode_base64url(text))
        if text[-1] not in VALID_LAST_CHARACTERS[len(text) % 4]:
            raise invalid_token_refusal("the token is malformed: not base64url")
        owner, scope, positions = orjson.loads(signed[HEADER_BYTES:])
        if owner != workspace:
            raise invalid_token_refusal("the token belongs to another workspace")
        if scope != service:
            raise invalid_token_refusal("the token is for another service")
        return SessionToken(
            owner,
            scope,
            {group: Position(*pair) for group, pair in positions.items()},
        )

    def verified(self, body: bytes) -> bytes:
        """Return the signed part of `body` after checking its format and MAC.

        :raises RefusalError: ``token_invalid``.
        """
        if not body:
            raise invalid_token_refusal("the token is empty")
        if body[0] > FORMAT_VERSION:
            raise invalid_token_refusal(
                "the token has a newer format than this host supports"
            )
        if body[0] != FORMAT_VERSION:
            raise invalid_token_refusal("the token is malformed")
        size = HEADER_BYTES + int.from_bytes(body[1:HEADER_BYTES], "big") + MAC_BYTES
        if len(body) < max(size, HEADER_BYTES + MAC_BYTES):
            raise invalid_token_refusal("the token is cut short")
        if len(body) > size:
            raise invalid_token_refusal("the token is malformed: it is too long")
        signed, mac = body[:-MAC_BYTES], body[-MAC_BYTES:]
        for keyed in self.keyed_macs:
            if hmac.compare_digest(token_mac(keyed, signed), mac):
                return signed
        raise invalid_token_refusal("the token is forged or altered")


def token_mac(keyed_mac: hmac.HMAC, signed: bytes) -> bytes:
    """Return the truncated MAC of `signed`.

    :param keyed_mac: an HMAC keyed with the secret; copying it avoids repeating the
        key setup.
    """
    mac = keyed_mac.copy()
    mac.update(signed)
    return mac.digest()[:MAC_BYTES]


def encode_base64url(body: bytes) -> str:
    """Return the unpadded base64url text of `body`."""
    return urlsafe_b64encode(body).rstrip(b"=").decode()


def decode_base64url(text: str) -> bytes:
    """Return the bytes of a token's text, which may be truncated.

    :raises RefusalError: ``token_invalid`` if the text is not base64url.
    """
    if len(text) > MAX_TEXT_CHARACTERS:
        raise invalid_token_refusal("the token is too long")
    if TOKEN_PATTERN.fullmatch(text) is None:
        raise invalid_token_refusal("the token is malformed: not base64url")
    remainder = len(text) % 4
    if remainder == 1:
        text = text[:-1]
    return urlsafe_b64decode(text + PADDING[remainder])


def invalid_token_refusal(detail: str) -> RefusalError:
    """Return the refusal of an invalid token."""
    return not_run(RefusalReason.TOKEN_INVALID, detail)
