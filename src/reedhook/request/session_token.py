"""Session tokens: what a session has seen, carried by the caller itself.

A token is opaque to the caller. Its bytes are a format number, the length of
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
# The last character of a text may hold bits beyond the last byte. Only the
# text in which they are zero is taken, so that no altered bit goes unnoticed.
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
    """Carry for each group the position that the session must not miss.

    :param workspace: the workspace whose session it is.
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
        """Say whether this token demands at least what `other` demands."""
        return all(
            group in self.positions and self.positions[group] >= position
            for group, position in other.positions.items()
        )

    def advanced(self, group: str, position: Position) -> "SessionToken":
        """Return a token that also demands `position` of `group`.

        :raises Refusal: if the token would name too many groups.
        """
        known = self.positions.get(group)
        if known is not None and known >= position:
            return self
        positions = {**self.positions, group: position}
        if len(positions) > MAX_GROUPS:
            raise invalid_token_refusal("the token names too many groups")
        return SessionToken(self.workspace, self.service, positions)

    def merged(self, other: "SessionToken") -> "SessionToken":
        """Return a token that demands what either token demands.

        :raises Refusal: if the scopes differ, or for too many groups.
        """
        if (self.workspace, self.service) != (other.workspace, other.service):
            raise invalid_token_refusal("tokens of different scopes cannot be merged")
        merged = self
        for group, position in other.positions.items():
            merged = merged.advanced(group, position)
        return merged


class TokenCodec:
    """Write and read tokens with the secret that all hosts share.

    :param secrets: the first one signs; all verify, so that the secret can be
        replaced while tokens of the former one are in use.
    """

    __slots__ = ("keyed_macs",)

    def __init__(self, secrets: Sequence[bytes]) -> None:
        if not secrets:
            raise ValueError("a token secret is needed")
        self.keyed_macs = [hmac.new(secret, digestmod="sha256") for secret in secrets]

    def encode(self, token: SessionToken) -> str:
        """Return the text of `token`."""
        positions = {
            group: (position.term, position.index)
            for group, position in token.positions.items()
        }
        payload = orjson.dumps([token.workspace, token.service, positions])
        head = bytes([FORMAT_VERSION]) + len(payload).to_bytes(2, "big")
        signed = head + payload
        body = signed + token_mac(self.keyed_macs[0], signed)
        return encode_base64url(body)

    def decode(self, text: str, workspace: str, service: str) -> SessionToken:
        """Read a token of `workspace` for `service`.

        :raises Refusal: ``token_invalid``, with the cause as its detail.
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
        """Return the signed part of `body` once its form and code hold."""
        if not body:
            raise invalid_token_refusal("the token is empty")
        if body[0] > FORMAT_VERSION:
            raise invalid_token_refusal(
                "the token is of a newer format than this host reads"
            )
        if body[0] != FORMAT_VERSION:
            raise invalid_token_refusal("the token is malformed")
        size = HEADER_BYTES + int.from_bytes(body[1:HEADER_BYTES], "big") + MAC_BYTES
        if len(body) < max(size, HEADER_BYTES + MAC_BYTES):
            raise invalid_token_refusal("the token is cut short")
        if len(body) > size:
            raise invalid_token_refusal("the token is malformed: it is too long")
        signed, code = body[:-MAC_BYTES], body[-MAC_BYTES:]
        for keyed in self.keyed_macs:
            if hmac.compare_digest(token_mac(keyed, signed), code):
                return signed
        raise invalid_token_refusal("the token is forged or altered")


def token_mac(keyed_mac: hmac.HMAC, signed: bytes) -> bytes:
    """Return the truncated authentication code of `signed`.

    :param keyed_mac: holds the secret; a copy spares setting the key up again.
    """
    code = keyed_mac.copy()
    code.update(signed)
    return code.digest()[:MAC_BYTES]


def encode_base64url(body: bytes) -> str:
    """Return the one text of `body`."""
    return urlsafe_b64encode(body).rstrip(b"=").decode()


def decode_base64url(text: str) -> bytes:
    """Return the bytes of a token's text, which may be cut short."""
    if len(text) > MAX_TEXT_CHARACTERS:
        raise invalid_token_refusal("the token is too long")
    if TOKEN_PATTERN.fullmatch(text) is None:
        raise invalid_token_refusal("the token is malformed: not base64url")
    rest = len(text) % 4
    if rest == 1:
        text = text[:-1]
    return urlsafe_b64decode(text + PADDING[rest])


def invalid_token_refusal(detail: str) -> RefusalError:
    """Return the refusal of a token; nothing was run."""
    return not_run(RefusalReason.TOKEN_INVALID, detail)
