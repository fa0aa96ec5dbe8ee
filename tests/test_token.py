"""Session tokens: merging, and that nothing altered ever decodes."""

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


def refused(text: str, workspace: str = "gate", service: str = "feedlog-db") -> str:
    """Return why `text` is refused; fail if it is not."""
    with pytest.raises(RefusalError) as caught:
        CODEC.decode(text, workspace, service)
    assert caught.value.reason is RefusalReason.TOKEN_INVALID
    assert caught.value.verdict is Verdict.NOT_RUN
    return caught.value.detail


@given(tokens)
def test_a_token_reads_back(token: SessionToken) -> None:
    assert CODEC.decode(CODEC.encode(token), "gate", "feedlog-db") == token


@given(tokens, tokens)
def test_merging_commutes_and_demands_both(a: SessionToken, b: SessionToken) -> None:
    merged = a.merged(b)
    assert merged == b.merged(a)
    assert merged.covers(a) and merged.covers(b)
    assert merged.merged(a) == merged
    for group, position in merged.positions.items():
        assert position in (a.positions.get(group), b.positions.get(group))


@given(tokens, tokens, tokens)
def test_merging_is_monotone(a: SessionToken, b: SessionToken, c: SessionToken) -> None:
    if a.covers(b):
        assert a.merged(c).covers(b.merged(c))


@given(tokens, st.data())
def test_a_flipped_bit_never_decodes(token: SessionToken, data: st.DataObject) -> None:
    text = CODEC.encode(token)
    at = data.draw(st.integers(0, len(text) - 1))
    bit = data.draw(st.integers(0, 7))
    altered = text[:at] + chr(ord(text[at]) ^ (1 << bit)) + text[at + 1 :]
    refused(altered)


@pytest.mark.parametrize("group", ["g", "g1", "g12"])
def test_each_bit_of_a_token_counts(group: str) -> None:
    text = CODEC.encode(SessionToken("gate", "feedlog-db", {group: Position(1, 2)}))
    for at, character in enumerate(text):
        for bit in range(8):
            altered = chr(ord(character) ^ (1 << bit))
            refused(text[:at] + altered + text[at + 1 :])


@given(tokens, st.data())
def test_a_token_cut_anywhere_never_decodes(
    token: SessionToken, data: st.DataObject
) -> None:
    text = CODEC.encode(token)
    refused(text[: data.draw(st.integers(0, len(text) - 1))])


@given(st.text(max_size=80))
def test_no_text_breaks_the_reader(text: str) -> None:
    refused(text)


def test_each_error_says_what_is_wrong() -> None:
    text = CODEC.encode(SessionToken("gate", "feedlog-db", {"g1": Position(1, 2)}))
    assert "cut short" in refused(text[:-4])
    assert "another workspace" in refused(text, workspace="desk")
    assert "another service" in refused(text, service="dispatch-core")
    assert "not base64url" in refused("?" + text[1:])
    assert "too long" in refused(text + text)
    foreign = TokenCodec([b"another secret"])
    assert "forged" in refused(foreign.encode(SessionToken("gate", "feedlog-db")))
    assert FORMAT_VERSION == 1
    newer = "Ag" + text[2:]
    assert decode_base64url(newer)[0] == 2
    assert "newer format" in refused(newer)


def test_a_token_of_the_former_secret_still_reads() -> None:
    token = SessionToken("gate", "feedlog-db", {"g1": Position(1, 2)})
    former = TokenCodec([b"old"]).encode(token)
    both = TokenCodec([b"new", b"old"])
    assert both.decode(former, "gate", "feedlog-db") == token
    with pytest.raises(RefusalError):
        TokenCodec([b"new"]).decode(former, "gate", "feedlog-db")


def test_a_token_does_not_grow_without_bound() -> None:
    token = SessionToken("gate", "feedlog-db")
    for at in range(MAX_GROUPS):
        token = token.advanced(f"g{at}", Position(1, 1))
    with pytest.raises(RefusalError):
        token.advanced("one more", Position(1, 1))
