"""Overload control for service call graphs."""

from briardock.clock import Clock, ManualClock, SystemClock, make_random
from briardock.exceptions import BriardockError
from briardock.outcomes import Completed, NotRun, Outcome, Reason, Unknown

__all__ = [
    "BriardockError",
    "Clock",
    "Completed",
    "ManualClock",
    "NotRun",
    "Outcome",
    "Reason",
    "SystemClock",
    "Unknown",
    "make_random",
]
