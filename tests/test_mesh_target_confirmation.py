"""Decisions about targets that a restarted node has not confirmed."""

import pytest

from briardock.mesh.target_confirmation import AnnouncedPeriod
from mesh_fakes import announcement

Received = tuple[str, int, int, float]


@pytest.mark.parametrize(
    ("received", "expected_s"),
    [
        pytest.param([("i-1", 1_000, 1, 10.0)], 0.0, id="first"),
        pytest.param(
            [("i-1", 1_000, 1, 10.0), ("i-1", 1_000, 5, 16.0)], 6.0, id="goes-on"
        ),
        pytest.param(
            [("i-1", 1_000, 1, 10.0), ("i-1", 1_000, 1, 16.0)], 0.0, id="same-again"
        ),
        pytest.param(
            [("i-1", 1_000, 4, 10.0), ("i-1", 1_000, 3, 16.0)], 0.0, id="earlier-one"
        ),
        pytest.param(
            [("i-1", 1_000, 1, 10.0), ("i-2", 2_000, 1, 16.0)], 0.0, id="successor"
        ),
        pytest.param(
            [("i-1", 1_000, 1, 10.0), ("i-1", 2_000, 9, 16.0)], 0.0, id="started-again"
        ),
        pytest.param(
            [
                ("i-2", 2_000, 1, 10.0),
                ("i-1", 1_000, 9, 12.0),
                ("i-2", 2_000, 2, 14.0),
            ],
            4.0,
            id="late-one-of-the-predecessor-between",
        ),
    ],
)
def test_time_for_which_a_target_announces_itself(
    received: list[Received], expected_s: float
) -> None:
    """A few late announcements must not look like a target that goes on (DRAIN)."""
    period = AnnouncedPeriod()
    announced_s = -1.0
    for target_id, born_ms, sequence, now in received:
        late = announcement(target_id=target_id, born_ms=born_ms, sequence=sequence)
        announced_s = period.record(late, now)
    assert announced_s == expected_s
