"""Guard against deltas that restore a wrong document."""

import pytest
from hypothesis import given, strategies as st

from reedhook.version.delta import EMPTY_DIGEST, Delta, apply_delta, digest, make_delta
from reedhook.wire import WireError

DOCUMENTS = st.lists(
    st.sampled_from([b'{"a":1}', b',{"b":2}', b"}", b"\xff", b"\n", b"rest"]),
    max_size=12,
).map(b"".join)


@given(DOCUMENTS, DOCUMENTS)
def test_delta_restores_the_document(document: bytes, base: bytes) -> None:
    delta = Delta.from_json(make_delta(document, base).to_json())
    assert apply_delta(delta, base) == document


def routes(count: int, changed: int = -1) -> bytes:
    """Return a document of `count` objects, with the one at `changed` modified."""
    parts = [f'{{"r{n}":{int(n == changed)}}}' for n in range(count)]
    return ("[" + ",".join(parts) + "]").encode()


def test_small_change_of_a_long_document_has_a_short_delta() -> None:
    delta = make_delta(routes(1500, 700), routes(1500))
    assert len(delta.packed) < 200 < len(make_delta(routes(1500), b"").packed)


@pytest.mark.parametrize(
    "delta",
    [
        Delta(digest(b"other"), digest(b"x"), make_delta(b"x", b"").packed),
        Delta(EMPTY_DIGEST, digest(b"y"), make_delta(b"x", b"").packed),
        Delta(EMPTY_DIGEST, digest(b"x"), "no base64"),
        Delta(EMPTY_DIGEST, digest(b"x"), "AAAA"),
        Delta(EMPTY_DIGEST, digest(b"x"), make_delta(b"[[0,2]]", b"").packed[:-4]),
    ],
)
def test_delta_with_wrong_digest_or_content_is_refused(delta: Delta) -> None:
    with pytest.raises(WireError):
        apply_delta(delta, b"")


@pytest.mark.parametrize("value", [None, [], ["a", "b"], ["a", "b", 3], {"a": 1}])
def test_malformed_delta_is_refused(value: object) -> None:
    with pytest.raises(WireError):
        Delta.from_json(value)


def test_delta_for_another_base_is_refused() -> None:
    base = b"{}{}"
    delta = make_delta(b"{}{}{}", base)
    with pytest.raises(WireError):
        apply_delta(Delta(digest(b"{}"), delta.digest, delta.packed), b"{}")
