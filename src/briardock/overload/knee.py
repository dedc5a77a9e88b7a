"""Occupancy of a target from which it runs all its requests more slowly.

Load pattern: targets that slow down when nearly full while others have room
(``tests/test_overload_completion.py``).
"""

# Ranges of occupancy for which the stretch of run times is learned, the weight of the
# newest run in each, and the runs from which a range counts.
OCCUPANCY_RANGES = 10
STRETCH_WEIGHT = 0.05
MIN_STRETCH_RUNS = 10
# Runs after which the knee is determined again.
ROOM_REFRESH_RUNS = 16
# Ratio to the stretch at low occupancy from which a target is past its knee, and the
# smallest share of slots that is used nevertheless.
KNEE_RATIO = 1.4
MIN_ROOM_SHARE = 0.5


class KneeMeter:
    """Occupancy from which a target runs all its requests more slowly."""

    def __init__(self) -> None:
        # Share of the slots up to which run times are as usual.
        self.room_share = 1.0
        self._stretch = [1.0] * (OCCUPANCY_RANGES + 1)
        self._runs = [0] * (OCCUPANCY_RANGES + 1)
        self._unseen = 0

    def record_run(self, occupancy: float, stretch: float) -> None:
        """Record a run that has ended.

        :param occupancy: share of the slots that were busy
        :param stretch: its run time divided by the expected work
        """
        index = min(OCCUPANCY_RANGES, int(occupancy * OCCUPANCY_RANGES))
        runs = self._runs[index] = self._runs[index] + 1
        weight = STRETCH_WEIGHT if runs * STRETCH_WEIGHT > 1.0 else 1.0 / runs
        self._stretch[index] += weight * (stretch - self._stretch[index])
        self._unseen += 1
        if self._unseen >= ROOM_REFRESH_RUNS:
            self._unseen = 0
            self.room_share = self._find_knee()

    def _find_knee(self) -> float:
        lower: list[float] = []
        for index, runs in enumerate(self._runs):
            if runs < MIN_STRETCH_RUNS:
                continue
            if lower and self._stretch[index] > KNEE_RATIO * sum(lower) / len(lower):
                return max(MIN_ROOM_SHARE, index / OCCUPANCY_RANGES)
            lower.append(self._stretch[index])
        return 1.0
