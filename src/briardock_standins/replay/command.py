"""Command ``briardock-load replay``."""

import json
from pathlib import Path

import msgspec

from briardock.exceptions import SettingsError
from briardock_standins.replay.pattern import read_pattern
from briardock_standins.replay.report import ReplayReport
from briardock_standins.replay.simulation import Simulation

OUTCOMES = ("in_time", "late", "refused", "failed", "left")


def replay(
    pattern: Path,
    *,
    period_s: float = 2.0,
    seed: int = -1,
    plot: Path | None = None,
) -> None:
    """Replay a load pattern in simulated time and print the results as JSON.

    :param pattern: INI file with the pattern
    :param period_s: length of the periods of the report
    :param seed: seed of all random numbers, instead of that of the pattern
    :param plot: file for a plot of the results, SVG or PNG by its suffix
    """
    if period_s <= 0:
        raise SettingsError(
            f"--period-s is {period_s}", "give a number of seconds above 0"
        )
    read = read_pattern(pattern)
    if seed >= 0:
        general = msgspec.structs.replace(read.general, seed=seed)
        read = msgspec.structs.replace(read, general=general)
    report = Simulation(read).run()
    total_s = sum(report.spent_s.values())
    result = {
        "description": read.general.description,
        "seed": read.general.seed,
        "routes": {route: report.counts(route) for route in sorted(read.routes)},
        "handed_on": report.handed_on,
        "wasted_share": round(sum(report.wasted_s.values()) / max(total_s, 1e-9), 4),
        "periods": report.by_period(period_s),
    }
    print(json.dumps(result))
    if plot is not None:
        draw(report, period_s, plot)


def draw(report: ReplayReport, period_s: float, path: Path) -> None:
    """Draw the outcomes of each route over time.

    :param report: results of a replay
    :param period_s: length of a period
    :param path: file to write
    :raises SettingsError: if matplotlib is not installed or the file cannot be written
    """
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        raise SettingsError(
            "--plot needs matplotlib", "pip install 'briardock[plots]'"
        ) from error
    periods = report.by_period(period_s)
    figure = Figure(figsize=(8, 2 * len(periods)), layout="constrained")
    axes = figure.subplots(len(periods), sharex=True, squeeze=False)[:, 0]
    for axis, (route, rows) in zip(axes, periods.items(), strict=True):
        times_s = [row["from_s"] for row in rows]
        counts = [[row[outcome] / period_s for row in rows] for outcome in OUTCOMES]
        axis.stackplot(times_s, *counts, labels=OUTCOMES, step="post")
        axis.set_ylabel(f"{route}\nrequests/s")
    axes[0].legend(loc="upper right", ncols=len(OUTCOMES), fontsize="small")
    axes[-1].set_xlabel("time of the first attempt, s")
    try:
        figure.savefig(path)
    except (OSError, ValueError) as error:
        message = f"cannot write {path}: {error}"
        raise SettingsError(message, "name another file") from error
