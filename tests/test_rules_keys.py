"""Tests of key forgery, record expiry and the limit on saved retries."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from briardock.actions import Finished, Started, make_action_table
from briardock.budget import make_budget, make_retry_ratio
from briardock.clock import ManualClock
from briardock.keys import make_key_issuer
from briardock.outcomes import Completed, NotRun, Reason


@given(st.integers(-100, 100).filter(bool))
def test_issue_time_cannot_be_forged(shift_ms: int) -> None:
    # Guards against a key that is valid longer than the record of its run.
    issuer = make_key_issuer("n1", 1, ManualClock(500.0), 1_000.0)
    key = issuer.issue()
    verified = issuer.verify(replace(key, issued_ms=key.issued_ms + shift_ms))
    assert isinstance(verified, NotRun)
    assert verified.reason is Reason.BAD_KEY


def test_keys_issued_in_one_millisecond_differ() -> None:
    issuer = make_key_issuer("n1", 1, ManualClock(), 1_000.0)
    assert len({str(issuer.issue()) for _ in range(100)}) == 100


@given(st.floats(0.0, 999.9))
def test_record_lasts_as_long_as_its_key(age_ms: float) -> None:
    # Guards against a second run when the record expires before the key.
    clock = ManualClock()
    table = make_action_table(clock, max_records=1)
    begun = table.begin("k", "d", make_budget(0), 1_000.0)
    assert isinstance(begun, Started)
    table.finish(begun.action, Completed(200))
    clock.advance(age_ms)
    table.expire()
    assert table.begin("k", "d", make_budget(0), 1_000.0) == Finished(Completed(200))


@given(st.integers(1, 20), st.integers(0, 2_000))
def test_saved_retries_are_bounded(burst: int, first_attempts: int) -> None:
    # Guards against a retry storm after a long idle period.
    ratio = make_retry_ratio(0.5, float(burst))
    for _ in range(first_attempts):
        ratio.record_first_attempt()
    assert sum(ratio.allow_retry() for _ in range(100)) == burst
