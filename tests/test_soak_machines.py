"""What the soak counts as the delay of a target, apart from that of its node."""

import pytest

from soak_machines import Machine


@pytest.mark.parametrize(
    ("slow_probes", "expected_s"),
    [
        pytest.param([], 0.0, id="none"),
        pytest.param([(11.0, 11.5)], 0.5, id="within"),
        pytest.param([(9.0, 11.0)], 1.0, id="began before"),
        pytest.param([(13.0, 16.0)], 1.0, id="ended after"),
        pytest.param([(8.0, 10.0), (14.0, 16.0)], 0.0, id="outside"),
        pytest.param([(9.9, 11.9), (11.9, 13.9)], 3.9, id="longer than a probe"),
    ],
)
def test_delay_of_a_target_is_the_time_for_which_probes_were_slow(
    slow_probes: list[tuple[float, float]], expected_s: float
) -> None:
    """Guards against a delay that is bounded by the timeout of a probe, so that a
    longer stall of the machine counted as work for callers that had left.
    """
    machine = Machine("jobs-0", "jobs", "127.0.0.1", "", "", slow_probes=slow_probes)
    assert machine.target_delay_s(10.0, 14.0) == pytest.approx(expected_s)
