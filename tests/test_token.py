"""Session tokens: lost positions in a merge, or altered tokens that decode."""

import pytest
from hypothesis import given, strategies as st

from reedhook.request.position import Position
from reedhook.request.refusal import RefusalError, RefusalReason
from reedhook.request.session_token import (
    FORMAT_VERSION,
    MAX_GROUPS,
    SessionToken,
    TokenCodec,
    decode_base64url,
)
from reedhook.request.verdict import Verdict

CODEC = TokenCodec([b"a secret of the cluster"])

positions = st.builds(Position, st.integers(0, 9), st.integers(0, 2**40))
tokens = st.builds(
    SessionToken,
    st.just("gate"),
    st.just("feedlog-db"),
    st.dictionaries(st.sampled_from(["g1", "g2", "g3"]), positions),
)


def decode_refused(
    text: str, workspace: str = "gate", service: str = "feedlog-db"
) -> str:
    """Return the detail of the refusal of `text`; fail if it decodes."""
    with pytest.raises(RefusalError) as caught:
        CODEC.decode(text, workspace, service)
    assert caught.value.reason is RefusalReason.TOKEN_INVALID
    assert caught.value.verdict is Verdict.NOT_RUN
    return caught.value.detail


@given(tokens)
def test_token_round_trips(token: SessionToken) -> None:
    assert CODEC.decode(CODEC.encode(token), "gate", "feedlog-db") == token


@given(tokens, tokens)
def test_merge_is_commutative_and_covers_both(a: SessionToken, b: SessionToken) -> None:
    merged = a.merged(b)
    assert merged == b.merged(a)
    assert merged.covers(a) and merged.covers(b)
    assert merged.merged(a) == merged
    for group, position in merged.positions.items():
        assert position in (a.positions.get(group), b.positions.get(group))


@given(tokens, tokens, tokens)
def test_merge_is_monotone(a: SessionToken, b: SessionToken, c: SessionToken) -> None:
    if a.covers(b):
        assert a.merged(c).covers(b.merged(c))


@given(tokens, st.data())
def test_token_with_flipped_bit_is_refused(
    token: SessionToken, data: st.DataObject
) -> None:
    text = CODEC.encode(token)
    index = data.draw(st.integers(0, len(text) - 1))
    bit = data.draw(st.integers(0, 7))
    altered = text[:index] + chr(ord(text[index]) ^ (1 << bit)) + text[index + 1 :]
    decode_refused(altered)


@pytest.mark.parametrize("group", ["g", "g1", "g12"])
def test_each_flipped_bit_is_refused(group: str) -> None:
    text = CODEC.encode(SessionToken("gate", "feedlog-db", {group: Position(1, 2)}))
    for index, character in enumerate(text):
        for bit in range(8):
            altered = chr(ord(character) ^ (1 << bit))
            decode_refused(text[:index] + altered + text[index + 1 :])


@given(tokens, st.data())
def test_truncated_token_is_refused(token: SessionToken, data: st.DataObject) -> None:
    text = CODEC.encode(token)
    decode_refused(text[: data.draw(st.integers(0, len(text) - 1))])


@given(st.text(max_size=80))
def test_arbitrary_text_is_refused(text: str) -> None:
    decode_refused(text)


def test_refusal_detail_states_cause() -> None:
    text = CODEC.encode(SessionToken("gate", "feedlog-db", {"g1": Position(1, 2)}))
    assert "cut short" in decode_refused(text[:-4])
    assert "another workspace" in decode_refused(text, workspace="desk")
    assert "another service" in decode_refused(text, service="dispatch-core")
    assert "not base64url" in decode_refused("?" + text[1:])
    assert "too long" in decode_refused(text + text)
    foreign = TokenCodec([b"another secret"])
    assert "forged" in decode_refused(
        foreign.encode(SessionToken("gate", "feedlog-db"))
    )
    assert FORMAT_VERSION == 1
    newer = "Ag" + text[2:]
    assert decode_base64url(newer)[0] == 2
    assert "newer format" in decode_refused(newer)


def test_token_of_rotated_secret_is_accepted() -> None:
    token = SessionToken("gate", "feedlog-db", {"g1": Position(1, 2)})
    former = TokenCodec([b"old"]).encode(token)
    both = TokenCodec([b"new", b"old"])
    assert both.decode(former, "gate", "feedlog-db") == token
    with pytest.raises(RefusalError):
        TokenCodec([b"new"]).decode(former, "gate", "feedlog-db")


def test_number_of_groups_in_token_is_limited() -> None:
    token = SessionToken("gate", "feedlog-db")
    for index in range(MAX_GROUPS):
        token = token.advanced(f"g{index}", Position(1, 1))
    with pytest.raises(RefusalError):
        token.advanced("one more", Position(1, 1))
