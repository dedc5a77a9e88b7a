"""Tests of issuing, verifying and deriving keys."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from briardock.clock import ManualClock
from briardock.keys import ActionKey, child_key, make_key_issuer, parse_key
from briardock.outcomes import NotRun, Reason, Unknown

LIFETIME_MS = 1_000.0


@given(
    node_id=st.from_regex(r"[a-z0-9-]{1,12}(\.[a-z0-9-]{1,8})?", fullmatch=True),
    incarnation=st.integers(0, 2**60),
)
def test_issued_key_round_trips_through_its_text_form(
    node_id: str, incarnation: int
) -> None:
    issuer = make_key_issuer(node_id, incarnation, ManualClock(5.0), LIFETIME_MS)
    key = issuer.issue()
    assert parse_key(str(key)) == key
    assert issuer.verify(key) == key


@pytest.mark.parametrize(
    "text",
    ["", "x", "a.b.c.d.e", "n.1.2.3", "n.1.2.3.mac/child", "n.1.2.3." + "m" * 600],
)
def test_invalid_key_text_is_refused(text: str) -> None:
    parsed = parse_key(text)
    assert isinstance(parsed, NotRun)
    assert parsed.reason is Reason.BAD_KEY


def test_key_of_an_earlier_incarnation_is_unknown_not_refused() -> None:
    # Guards against "not run" for an action that the earlier process may have run.
    clock = ManualClock()
    old = make_key_issuer("n1", 1, clock, LIFETIME_MS)
    new = make_key_issuer("n1", 2, clock, LIFETIME_MS)
    assert new.verify(old.issue()) == Unknown(
        Reason.ISSUER_GONE, "the issuing process was replaced"
    )


@given(pause_ms=st.floats(0, 10_000))
def test_expired_key_never_verifies_after_a_pause(pause_ms: float) -> None:
    clock = ManualClock()
    issuer = make_key_issuer("n1", 1, clock, LIFETIME_MS)
    key = issuer.issue()
    clock.advance(pause_ms)
    verified = issuer.verify(key)
    if pause_ms >= LIFETIME_MS:
        assert isinstance(verified, Unknown)
        assert verified.reason is Reason.KEY_EXPIRED
    else:
        assert verified == key


def test_forged_sequence_number_is_refused() -> None:
    issuer = make_key_issuer("n1", 1, ManualClock(), LIFETIME_MS)
    key = issuer.issue()
    forged = ActionKey(key.node_id, key.incarnation, key.issued_ms, 99, key.mac)
    verified = issuer.verify(forged)
    assert isinstance(verified, NotRun)
    assert verified.reason is Reason.BAD_KEY


@pytest.mark.parametrize("label", ["", "a/b", "a b", "x" * 200, "é"])
def test_child_label_that_could_collide_is_refused(label: str) -> None:
    assert isinstance(child_key("root", "s.op", label), NotRun)


def test_same_label_of_two_operations_identifies_two_calls() -> None:
    assert child_key("root", "s.a", "k1") != child_key("root", "s.b", "k1")
