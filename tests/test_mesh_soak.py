"""Short soak runs under faults, including seeds that failed before."""

import pytest

from mesh_soak import run_seed

# Seed 7 detects a retry of a non-idempotent request if the code is changed to send one.
SHORT_SEEDS = (7,)
# Seeds that failed, each with the cause.
REGRESSION_SEEDS = (
    # SIGHUP ended a node that was still starting.
    15,
    # Two services kept passing a low admission threshold to each other, so that a fifth
    # of the requests was refused for more than 15 s after the last fault.
    102,
    # Beside other processes, at a load of 20 to 24, requests had no response for 3.7 to
    # 7.2 s, and seed 132 took more than 15 s to recover. All nodes and the soak itself
    # stalled at the same times for up to 10 s. Both passed at a load of 8.
    107,
    132,
)


@pytest.mark.parametrize("seed", SHORT_SEEDS + REGRESSION_SEEDS)
def test_guarantees_hold_under_faults(seed: int) -> None:
    """Faults overlap: processes are stopped, frozen and killed, and links fail."""
    assert not run_seed(seed)
